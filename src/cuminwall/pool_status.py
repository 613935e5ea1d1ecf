"""The limits and the status of a connection pool."""

from typing import NamedTuple

from cuminwall import backend_errors

OPEN_TIMEOUT_S = 1.0
PING_TIMEOUT_S = 0.25
# A connection that was idle for longer is checked before it is used.
PING_AFTER_S = 5.0
MAX_WAITERS = 1000


class Limits(NamedTuple):
    """The timeouts and sizes of a pool.

    Attributes:
      spare: How many idle connections to keep ready, within the permits.
      open_timeout_s: How long opening a connection may take.
      ping_after_s: How long a connection may be idle before it has to be
        checked before use.
      ping_timeout_s: How long such a check may take.
      max_waiters: How many requests may wait for a connection.
    """

    spare: int = 2
    open_timeout_s: float = OPEN_TIMEOUT_S
    ping_after_s: float = PING_AFTER_S
    ping_timeout_s: float = PING_TIMEOUT_S
    max_waiters: int = MAX_WAITERS


class PoolStatus(NamedTuple):
    """The status of a pool, as used for decisions about its server.

    A server is suspected only if new connections fail. A dead idle connection
    does not indicate a problem of the server while new ones can be opened.

    Attributes:
      permits: The current share.
      idle: Connections that are ready.
      busy: Connections that are in use or being checked.
      opening: Connections that are being opened.
      closing: Connections that are being closed.
      waiting: Requests that wait for a connection.
      failures: How many openings failed since the last successful one.
      last_failure: Why the last of them failed, or None.
      silent: How many idle connections failed a check, in total.
    """

    permits: int
    idle: int
    busy: int
    opening: int
    closing: int
    waiting: int
    failures: int
    last_failure: backend_errors.ExchangeError | None
    silent: int

    @property
    def total(self) -> int:
        """The sockets that count against the permits."""
        return self.idle + self.busy + self.opening + self.closing
