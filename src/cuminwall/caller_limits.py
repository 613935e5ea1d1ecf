"""The bounds of the caller side."""

from typing import NamedTuple

from cuminwall import rounds

LOGIN_TIMEOUT_S = 10.0
MESSAGE_TIMEOUT_S = 60.0
ANSWER_STALL_TIMEOUT_S = 60.0
CLOSE_TIMEOUT_S = 5.0
DRAIN_IDLE_S = 2.0
MAX_LOGINS = 1000
MAX_CONNECTIONS = 20_000
PAUSE_BYTES = 256 * 1024
WRITE_BUFFER_BYTES = 256 * 1024


class Limits(NamedTuple):
    """The bounds of the caller side.

    Attributes:
      login_timeout_s: From the connection to the end of the login.
      message_timeout_s: From the first to the last byte of a message.
      answer_stall_timeout_s: How long a caller may leave answers unread.
      close_timeout_s: How long a closing connection may take to send the rest.
      drain_idle_s: How long an idle session stays open during a drain, so
        that its next request is refused and not cut.
      max_logins: Connections that have not logged in.
      max_connections: Connections in all.
      pause_bytes: Bytes queued for one session before reading is paused.
      write_buffer_bytes: Bytes of answers before the server is not read.
      session: What one session may keep.
    """

    login_timeout_s: float = LOGIN_TIMEOUT_S
    message_timeout_s: float = MESSAGE_TIMEOUT_S
    answer_stall_timeout_s: float = ANSWER_STALL_TIMEOUT_S
    close_timeout_s: float = CLOSE_TIMEOUT_S
    drain_idle_s: float = DRAIN_IDLE_S
    max_logins: int = MAX_LOGINS
    max_connections: int = MAX_CONNECTIONS
    pause_bytes: int = PAUSE_BYTES
    write_buffer_bytes: int = WRITE_BUFFER_BYTES
    session: rounds.Limits = rounds.DEFAULT_LIMITS


DEFAULT_LIMITS = Limits()
