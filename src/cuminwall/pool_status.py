"""The limits of a pool of connections, and what it tells of itself."""

from typing import NamedTuple

from cuminwall import backend_errors

OPEN_TIMEOUT_S = 1.0
PING_TIMEOUT_S = 0.25
# A connection that was idle for longer is tried before it is used.
PING_AFTER_S = 5.0
MAX_WAITERS = 1000


class Limits(NamedTuple):
    """The times and sizes of a pool.

    Attributes:
      spare: How many idle connections to keep ready, within the permits.
      open_timeout_s: For how long an opening may take.
      ping_after_s: After how long an idle connection is tried before use.
      ping_timeout_s: For how long such a trial may take.
      max_waiters: How many requests may wait for a connection.
    """

    spare: int = 2
    open_timeout_s: float = OPEN_TIMEOUT_S
    ping_after_s: float = PING_AFTER_S
    ping_timeout_s: float = PING_TIMEOUT_S
    max_waiters: int = MAX_WAITERS


class PoolStatus(NamedTuple):
    """What the decisions may know of a pool.

    A server is suspected for failures of fresh connections only. A silent
    connection beside fresh ones that work says nothing of the server.

    Attributes:
      permits: The share in force.
      idle: Connections that are ready.
      busy: Connections that were given out, or are being tried.
      opening: Connections that are being opened.
      closing: Connections that are being closed.
      waiting: Requests that wait for a connection.
      failures: Fresh connections that failed since the last that worked.
      last_failure: Why the last of them failed, or None.
      silent: Connections that fell silent while idle, in all.
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
