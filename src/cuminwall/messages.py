"""The control messages between instances.

A message's type number on the wire is its index in `TYPES`.
"""

from typing import NamedTuple

from cuminwall import codec


class ServerReport(NamedTuple):
    """The state of a backend server as a home last saw it.

    Attributes:
      service: The database service.
      server: The id of the backend server.
      reachable: Whether fresh connections get answers.
      in_recovery: Whether the server says that it is in recovery.
      timeline: Its timeline; 0 if it never answered.
      lsn: Its log position.
      age_s: Seconds since the probe that found this was sent.
    """

    service: str
    server: str
    reachable: bool
    in_recovery: bool
    timeline: int
    lsn: int
    age_s: float


class LeaseRequest(NamedTuple):
    """A home requests write leases from a steward and reports its servers.

    Attributes:
      number: Sequence number of the sender; older replies are ignored.
      shard: The shard of the services.
      zone: The sender's availability zone.
      terms: Service, highest known term and whether it is confirmed at the
        sender, for each service requested.
      reports: The state of the backend servers. If a service has none here,
        its last reports are still valid.
    """

    number: int
    shard: int
    zone: str
    terms: tuple[tuple[str, int, bool], ...]
    reports: tuple[ServerReport, ...]


class TermEntry(NamedTuple):
    """One term of a database group.

    Attributes:
      term: Counts up with each change of primary.
      primary: The id of the backend server.
      timeline: The primary's timeline.
      fork_lsn: Where its log forked from that of the term before.
    """

    term: int
    primary: str
    timeline: int
    fork_lsn: int


class GroupRecord(NamedTuple):
    """The agreed terms of a database group.

    Attributes:
      service: The database service.
      active: Whether the newest term's primary is confirmed.
      terms: The terms in order, the newest last.
    """

    service: str
    active: bool
    terms: tuple[TermEntry, ...]


class WriteGrant(NamedTuple):
    """A write lease for one service.

    Attributes:
      service: The database service.
      term: The term that it is valid for.
      duration_s: Its length; 0 means that it is refused for now.
    """

    service: str
    term: int
    duration_s: float


class LeaseReply(NamedTuple):
    """A steward's reply to a request for write leases.

    Attributes:
      number: The number of the request.
      shard: The shard.
      grants: One for each service requested.
      records: The records that are newer than those of the home.
    """

    number: int
    shard: int
    grants: tuple[WriteGrant, ...]
    records: tuple[GroupRecord, ...]


class Recall(NamedTuple):
    """A steward recalls a write lease.

    Attributes:
      shard: The shard.
      service: The database service.
      term: The term of the lease.
      planned: Whether open transactions may end first.
    """

    shard: int
    service: str
    term: int
    planned: bool


class LeaseRelease(NamedTuple):
    """A home releases its write lease of a term and no longer relies on it."""

    shard: int
    service: str
    term: int


class RecordUpdate(NamedTuple):
    """A steward sends a home the new record of a group."""

    record: GroupRecord


class PromotionOrder(NamedTuple):
    """A steward orders a home to promote a backend server."""

    shard: int
    service: str
    server: str
    term: int


class PermitRequest(NamedTuple):
    """A home asks whether an order is still valid, before it promotes."""

    number: int
    shard: int
    service: str
    server: str
    term: int


class PermitGrant(NamedTuple):
    """The order is valid for this long, from when the request was sent."""

    number: int
    service: str
    server: str
    term: int
    duration_s: float


class PromotionReport(NamedTuple):
    """The result of an order to promote.

    Attributes:
      shard: The shard.
      service: The database service.
      server: The id of the backend server.
      term: The term of the order.
      done: Whether the server now reports that it is primary.
      timeline: Its timeline afterwards.
      fork_lsn: Its log position when it was promoted.
    """

    shard: int
    service: str
    server: str
    term: int
    done: bool
    timeline: int
    fork_lsn: int


class PromiseRequest(NamedTuple):
    """A steward that cannot reach the store asks a successor for a promise.

    The successor promises not to take over the shard for a time.
    """

    number: int
    shard: int
    epoch: int


class PromiseReply(NamedTuple):
    """A successor's promise not to take over; duration 0 is a refusal."""

    number: int
    shard: int
    epoch: int
    duration_s: float


class ShardRecord(NamedTuple):
    """The steward of a shard and its possible successors.

    Attributes:
      shard: The shard's number.
      epoch: Counts up with each change of steward.
      steward: The instance that grants the shard's leases.
      successors: The instances that may take over.
      held: Whether the steward's key exists in the store.
      revision: The highest store revision of the record and the key.
    """

    shard: int
    epoch: int
    steward: str
    successors: tuple[str, ...]
    held: bool
    revision: int


class RelayRequest(NamedTuple):
    """An instance asks its relay for updates.

    Attributes:
      number: Sequence number of the sender.
      version: The configuration version that the sender has.
      revision: The highest shard revision that it knows.
    """

    number: int
    version: int
    revision: int


class RelayReply(NamedTuple):
    """A relay's reply, or a pushed update.

    Attributes:
      number: The number of the request, or 0 for a pushed update.
      version: The newest configuration version that the relay has.
      age_s: Seconds since that version was known to be current; -1 if
        unknown.
      shards: The shard records that are newer than those of the receiver.
    """

    number: int
    version: int
    age_s: float
    shards: tuple[ShardRecord, ...]


class ShareReport(NamedTuple):
    """What a holder reports and requests of one shared limit.

    Attributes:
      name: The limit, for example "rate:clerks".
      accepted_number: The number of the last request whose reply the holder
        used.
      held: What it holds on a short lease, for example rate and burst.
      floor: What it holds on a long lease in addition.
      wanted: What it would like to hold in total.
      level: The tokens that it has.
      shortfall: The tokens that it lacks for requests that wait.
      prefetch: The tokens that it would like to have beyond these.
      returned: The tokens that it has returned since it started.
      is_final: Whether it returns everything and wants nothing.
    """

    name: str
    accepted_number: int
    held: tuple[float, ...]
    floor: tuple[float, ...]
    wanted: tuple[float, ...]
    level: float
    shortfall: float
    prefetch: float
    returned: float
    is_final: bool


class ShareRequest(NamedTuple):
    """A holder reports what it holds of shared limits and what it needs.

    Attributes:
      number: Sequence number of the sender.
      shard: The shard of the limits.
      epoch: The lender's epoch, as the holder knows it.
      started_at: When the sender started, in seconds of its own clock; tells
        it apart from an earlier process of the same name.
      reports: One for each limit.
    """

    number: int
    shard: int
    epoch: int
    started_at: float
    reports: tuple[ShareReport, ...]


class ShareGrant(NamedTuple):
    """What a holder may hold of one shared limit.

    Attributes:
      name: The limit.
      held: What it holds on a short lease from now on.
      floor: What it holds on a long lease in addition.
      level: The tokens that are granted with it.
      lease_s: Lease length of `held`, from when the request was sent.
      floor_s: Lease length of the floor, from when the request was sent.
      retry_s: After what time to ask again for tokens that are missing.
    """

    name: str
    held: tuple[float, ...]
    floor: tuple[float, ...]
    level: float
    lease_s: float
    floor_s: float
    retry_s: float = 0.0


class ShareReply(NamedTuple):
    """A lender's reply to a holder.

    Attributes:
      number: The number of the request.
      shard: The shard of the limits.
      grants: One for each limit that the lender knows.
    """

    number: int
    shard: int
    grants: tuple[ShareGrant, ...]


TYPES: tuple[type, ...] = (
    ServerReport,
    LeaseRequest,
    TermEntry,
    GroupRecord,
    WriteGrant,
    LeaseReply,
    Recall,
    LeaseRelease,
    RecordUpdate,
    PromotionOrder,
    PermitRequest,
    PermitGrant,
    PromotionReport,
    PromiseRequest,
    PromiseReply,
    ShardRecord,
    RelayRequest,
    RelayReply,
    ShareReport,
    ShareRequest,
    ShareGrant,
    ShareReply,
)

Message = (
    LeaseRequest
    | LeaseReply
    | Recall
    | LeaseRelease
    | RecordUpdate
    | PromotionOrder
    | PermitRequest
    | PermitGrant
    | PromotionReport
    | PromiseRequest
    | PromiseReply
    | RelayRequest
    | RelayReply
    | ShareRequest
    | ShareReply
)

CODEC = codec.Codec(TYPES)


def encode(message: NamedTuple) -> bytes:
    """Returns the CBOR form of a message."""
    return CODEC.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message encoded in `data`.

    Raises:
      exceptions.ProtocolError: The bytes are not a message of this protocol.
    """
    return CODEC.decode(data)
