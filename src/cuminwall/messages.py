"""The control messages between instances.

Their number on the wire is their place in `TYPES`.
"""

from typing import NamedTuple

from cuminwall import codec


class ServerReport(NamedTuple):
    """What a home knows of one backend server.

    Attributes:
      service: The database service.
      server: The id of the backend server.
      reachable: Whether fresh connections get answers.
      in_recovery: What the server says of itself.
      timeline: Its timeline; 0 if it never answered.
      lsn: Its log position.
      age_s: Time since the probe that gave this was sent, in seconds.
    """

    service: str
    server: str
    reachable: bool
    in_recovery: bool
    timeline: int
    lsn: int
    age_s: float


class LeaseRequest(NamedTuple):
    """A home asks a steward for write leases and reports its servers.

    Attributes:
      number: Running number of the asker; older answers are ignored.
      shard: The shard of the services.
      zone: The asker's availability zone.
      terms: Service, highest term known and whether it is confirmed there,
        for each service asked for.
      reports: What the asker knows of the backend servers; those of a service
        without any still stand.
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
      fork_lsn: Where its log left that of the term before.
    """

    term: int
    primary: str
    timeline: int
    fork_lsn: int


class GroupRecord(NamedTuple):
    """The agreed state of a database group.

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
      term: The term that it holds for.
      duration_s: Its length; 0 means that none is granted now.
    """

    service: str
    term: int
    duration_s: float


class LeaseReply(NamedTuple):
    """A steward's answer to a LeaseAsk.

    Attributes:
      number: The number of the ask.
      shard: The shard.
      grants: One for each service asked for.
      records: The records that are newer than what the asker knows.
    """

    number: int
    shard: int
    grants: tuple[WriteGrant, ...]
    records: tuple[GroupRecord, ...]


class Recall(NamedTuple):
    """A steward asks for a write lease back.

    Attributes:
      shard: The shard.
      service: The database service.
      term: The term of the lease.
      planned: Whether open transactions shall be let to end first.
    """

    shard: int
    service: str
    term: int
    planned: bool


class LeaseRelease(NamedTuple):
    """A home gives its write lease of a term back and uses it no more."""

    shard: int
    service: str
    term: int


class RecordUpdate(NamedTuple):
    """A steward tells a home of a new term."""

    record: GroupRecord


class PromotionOrder(NamedTuple):
    """A steward wants a home to promote a backend server."""

    shard: int
    service: str
    server: str
    term: int


class PermitRequest(NamedTuple):
    """A home asks whether the order still stands, before it acts."""

    number: int
    shard: int
    service: str
    server: str
    term: int


class PermitGrant(NamedTuple):
    """The order stands for this long, counted from before the ask."""

    number: int
    service: str
    server: str
    term: int
    duration_s: float


class PromotionReport(NamedTuple):
    """How an order to promote ended.

    Attributes:
      shard: The shard.
      service: The database service.
      server: The id of the backend server.
      term: The term of the order.
      done: Whether the server now says that it is primary.
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
    """A steward without store asks a successor to hold still."""

    number: int
    shard: int
    epoch: int


class PromiseReply(NamedTuple):
    """A successor's promise; duration 0 is a refusal."""

    number: int
    shard: int
    epoch: int
    duration_s: float


class ShardRecord(NamedTuple):
    """Who is the steward of a shard, and who may follow.

    Attributes:
      shard: The shard's number.
      epoch: Counts up with each change of steward.
      steward: The instance that lends.
      successors: The instances that may take over.
      held: Whether the steward's key stands in the store.
      revision: The highest store revision of both.
    """

    shard: int
    epoch: int
    steward: str
    successors: tuple[str, ...]
    held: bool
    revision: int


class RelayRequest(NamedTuple):
    """An instance asks its relay for what is new.

    Attributes:
      number: Running number of the asker.
      version: The configuration version that the asker has.
      revision: The highest shard revision that it knows.
    """

    number: int
    version: int
    revision: int


class RelayReply(NamedTuple):
    """What a relay knows.

    Attributes:
      number: The number of the ask, or 0 for unasked news.
      version: The newest configuration version that the relay has.
      age_s: How long ago that version was surely current; -1 if unknown.
      shards: The shard records that are newer than what the asker knows.
    """

    number: int
    version: int
    age_s: float
    shards: tuple[ShardRecord, ...]


class ShareReport(NamedTuple):
    """What a holder states of one shared limit.

    Attributes:
      name: The limit, for example "rate:clerks".
      accepted_number: The number of the last ask whose answer the holder took.
      held: What it holds for a short time, for example rate and burst.
      floor: What it holds for long beside it.
      wanted: What it would like to hold in all.
      level: The tokens that it has.
      shortfall: The tokens that it lacks for requests that wait.
      prefetch: The tokens that it would like to have beyond these.
      returned: The tokens that it has ever given back.
      is_final: Whether it gives all back and wants nothing.
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
    """A holder states what it holds and what it needs of shared limits.

    Attributes:
      number: Running number of the asker.
      shard: The shard of the limits.
      epoch: The lender's epoch, as the holder knows it.
      started_at: When the asker started, on its own clock in seconds; tells
        it from an earlier process of the same name.
      reports: One for each limit.
    """

    number: int
    shard: int
    epoch: int
    started_at: float
    reports: tuple[ShareReport, ...]


class ShareGrant(NamedTuple):
    """What a holder may have of one shared limit.

    Attributes:
      name: The limit.
      held: What it holds from now on for a short time.
      floor: What it holds for long beside it.
      level: The tokens that come with it.
      lease_s: How long `held` is lent, from before the ask.
      floor_s: How long the floor is lent, from before the ask.
    """

    name: str
    held: tuple[float, ...]
    floor: tuple[float, ...]
    level: float
    lease_s: float
    floor_s: float


class ShareReply(NamedTuple):
    """A lender's answer.

    Attributes:
      number: The number of the ask.
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
    """Returns the message that `data` holds.

    Raises:
      exceptions.ProtocolError: The bytes are no message of this protocol.
    """
    return CODEC.decode(data)
