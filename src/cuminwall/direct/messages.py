"""The messages between instances.

A type's position in `TYPES` is its number on the wire.
"""

from typing import NamedTuple

from cuminwall import codec
from cuminwall.messages import ShareGrant, ShareReport


class UnreachableServer(NamedTuple):
    """A server that the sender can't reach.

    Attributes:
      server: Its id.
      age_s: For how long it has been unreachable.
    """

    server: str
    age_s: float


class ShareRequest(NamedTuple):
    """An instance asks the coordinator for shares and reports what it sees.

    Attributes:
      number: The number of the request, rising within the sender's process.
      boot: Identifies the sender's process.
      epoch: The coordinator's epoch, as the sender knows it.
      is_complete: Whether `reports` has every share that the sender holds.
      reports: The shares that it holds and needs.
      unreachable: The servers that it can't reach.
      config_version: The version of its configuration.
      is_shutting_down: Whether it is shutting down.
      since_earlier_request_s: How long ago it last sent a request to an
        earlier coordinator.
    """

    number: int
    boot: str
    epoch: int
    is_complete: bool
    reports: tuple[ShareReport, ...]
    unreachable: tuple[UnreachableServer, ...]
    config_version: int
    is_shutting_down: bool
    since_earlier_request_s: float


class ShareReply(NamedTuple):
    """The coordinator's reply to a `ShareRequest`.

    Attributes:
      number: The number of the request.
      epoch: The coordinator's epoch.
      grants: The shares that it grants.
      config_version: The version of its configuration.
      interval_s: The minimum time between two requests of one instance.
      is_reported: Whether the coordinator knows all shares that the receiver
        holds.
    """

    number: int
    epoch: int
    grants: tuple[ShareGrant, ...]
    config_version: int
    interval_s: float
    is_reported: bool


class FindCoordinator(NamedTuple):
    """An instance that gets no replies asks a peer who coordinates.

    Attributes:
      revision: The store's revision of the newest coordinator that it knows.
    """

    revision: int


class CoordinatorInfo(NamedTuple):
    """A peer names a newer coordinator, in reply to `FindCoordinator`.

    Attributes:
      instance: The coordinator.
      boot: Identifies its process.
      epoch: Its epoch.
      revision: The store's revision of its value.
    """

    instance: str
    boot: str
    epoch: int
    revision: int


TYPES: tuple[type, ...] = (
    ShareReport,
    ShareGrant,
    UnreachableServer,
    ShareRequest,
    ShareReply,
    FindCoordinator,
    CoordinatorInfo,
)
CODEC = codec.Codec(TYPES)
