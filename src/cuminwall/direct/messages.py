"""What instances say to each other. A type's place in `TYPES` is its number."""

from typing import NamedTuple

from cuminwall import codec
from cuminwall.messages import ShareGrant, ShareReport


class UnreachableServer(NamedTuple):
    """A server that the sender can't reach.

    Attributes:
      server: Its id.
      age_s: For how long.
    """

    server: str
    age_s: float


class ShareRequest(NamedTuple):
    """An instance tells the coordinator what it holds, needs and sees.

    Attributes:
      number: Running number of the asker's process.
      boot: Tells the process from an earlier one of the same instance.
      epoch: The coordinator's, as the asker knows it.
      is_complete: Whether every share that the asker holds is stated.
      reports: Shares.
      unreachable: The servers that it can't reach.
      config_version: The version of its configuration.
      is_shutting_down: Whether it is about to end.
      since_earlier_request_s: For how long its instance has asked no earlier coordinator.
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
    """The coordinator's answer to an ask.

    Attributes:
      number: The number of the ask.
      epoch: The coordinator's.
      grants: Shares.
      config_version: The version of its configuration.
    """

    number: int
    epoch: int
    grants: tuple[ShareGrant, ...]
    config_version: int


class FindCoordinator(NamedTuple):
    """An instance that gets no answers asks a peer who coordinates.

    Attributes:
      revision: The store's revision of the newest coordinator that it knows.
    """

    revision: int


class CoordinatorInfo(NamedTuple):
    """A peer tells of a newer coordinator.

    Attributes:
      instance: The coordinator.
      boot: Its process.
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
