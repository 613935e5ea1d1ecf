"""The messages between instances.

A type's position in `TYPES` is its number on the wire.
"""

import math
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


class SharedWatermark(NamedTuple):
    """A log position that every earlier commit of a service is at or below.

    It is sent as a plain tuple, which a process of an earlier version can
    decode.

    Attributes:
      service: The database service.
      age_s: How long ago its statement was sent to the primary, when this was
        sent.
      term: The term of the position.
      number: Its number.
    """

    service: str
    age_s: float
    term: int
    number: int


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
      sent_no_earlier_than: A time on the coordinator's clock before which this
        was certainly not sent, however long it was held up on its way.
      clock_s: The time by the sender's own wall clock; 0 if not told.
      usage_until: Up to which wall-clock time the sender has told all its
        counts of usage, with this and earlier requests; 0 if this has none.
      usage: For each window the requests that began to run, by workspace,
        as far as they were not acknowledged. Plain tuples, which a process of
        an earlier version can decode.
      usage_recorded: The newest window whose report the sender has seen.
      watermarks: The newest watermarks that it has not told before.
      wanted_watermarks: The services whose newest one it asks for.
      was_answered_earlier: Whether an earlier coordinator has ever replied to
        the sender's process. If not, that holds nothing of it.
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
    sent_no_earlier_than: float
    clock_s: float = 0.0
    usage_until: float = 0.0
    usage: tuple[tuple[int, tuple[tuple[str, int], ...]], ...] = ()
    usage_recorded: int = -1
    watermarks: tuple[SharedWatermark, ...] = ()
    wanted_watermarks: tuple[str, ...] = ()
    was_answered_earlier: bool = True


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
      sent_at: When the reply was sent, on the coordinator's clock.
      newest_change: The store's revision of the newest change that it knows.
      view_age_s: How long ago the store confirmed that there was no newer one;
        infinite if the coordinator does not tell.
      watermarks: The newest of the services that were asked for.
      clock_s: The time by the clock that the instances agreed on; 0 if none.
      is_usage_taken: Whether the coordinator has the usage of the request.
    """

    number: int
    epoch: int
    grants: tuple[ShareGrant, ...]
    config_version: int
    interval_s: float
    is_reported: bool
    sent_at: float
    newest_change: int = 0
    view_age_s: float = math.inf
    watermarks: tuple[SharedWatermark, ...] = ()
    clock_s: float = 0.0
    is_usage_taken: bool = False


class FindCoordinator(NamedTuple):
    """An instance that gets no replies asks a peer who coordinates.

    Attributes:
      revision: The store's revision of the newest coordinator that it knows.
    """

    revision: int


class CoordinatorInfo(NamedTuple):
    """A peer names a newer coordinator.

    It does so in reply to `FindCoordinator`, or as it takes over.

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


class HeldLease(NamedTuple):
    """A lease on a primary that the sender relies on.

    Attributes:
      service: The database service.
      order: The order that made the server primary.
    """

    service: str
    order: int


class PrimaryLease(NamedTuple):
    """A lease on the primary of a service.

    Attributes:
      service: The database service.
      server: The primary.
      order: The store's revision of the order that made it primary; 0 for the
        first one.
    """

    service: str
    server: str
    order: int


class PrimaryLeaseRequest(NamedTuple):
    """An instance asks the coordinator for leases on all primaries.

    Attributes:
      number: The number of the request, rising within the sender's process.
      boot: Identifies the sender's process.
      epoch: The coordinator's epoch, as the sender knows it.
      held: All leases that the sender relies on. It will not rely on any other
        that was granted in reply to an earlier request.
    """

    number: int
    boot: str
    epoch: int
    held: tuple[HeldLease, ...]


class PrimaryLeaseReply(NamedTuple):
    """The coordinator's reply to a `PrimaryLeaseRequest`.

    Attributes:
      number: The number of the request.
      epoch: The coordinator's epoch.
      duration_s: How long the leases are valid from when the request was sent.
      leases: The leases.
    """

    number: int
    epoch: int
    duration_s: float
    leases: tuple[PrimaryLease, ...]


class PrimaryLeaseRecall(NamedTuple):
    """The coordinator recalls a lease, to replace the primary.

    Attributes:
      epoch: The coordinator's epoch.
      service: The database service.
      order: The order that made the server primary.
    """

    epoch: int
    service: str
    order: int


class PrimaryLeaseRelease(NamedTuple):
    """An instance no longer relies on a lease.

    Attributes:
      number: The number of the sender's latest request; it ignores the lease
        in replies up to that one.
      boot: Identifies the sender's process.
      epoch: The coordinator's epoch.
      service: The database service.
      order: The order that made the server primary.
    """

    number: int
    boot: str
    epoch: int
    service: str
    order: int


class PrimaryLeaseOffer(NamedTuple):
    """The coordinator tells that a service has a new primary to ask for.

    Attributes:
      epoch: The coordinator's epoch.
    """

    epoch: int


TYPES: tuple[type, ...] = (
    ShareReport,
    ShareGrant,
    UnreachableServer,
    ShareRequest,
    ShareReply,
    FindCoordinator,
    CoordinatorInfo,
    HeldLease,
    PrimaryLease,
    PrimaryLeaseRequest,
    PrimaryLeaseReply,
    PrimaryLeaseRecall,
    PrimaryLeaseRelease,
    PrimaryLeaseOffer,
)
CODEC = codec.Codec(TYPES)
