"""The frames on the data link between an entry instance and a home."""

from typing import NamedTuple

from cuminwall import codec, work


class Run(NamedTuple):
    """The entry instance sends a round.

    Attributes:
      number: The work's number at the entry instance.
      request: What the home needs to place it.
      round_: The caller's messages.
    """

    number: int
    request: work.RoundRequest
    round_: work.Round


class Chunk(NamedTuple):
    """The home sends a part of an answer."""

    number: int
    data: bytes


class Acknowledged(NamedTuple):
    """The entry instance has passed on so many more bytes of an answer."""

    number: int
    size: int


class End(NamedTuple):
    """The home has sent all of an answer."""

    number: int
    answer: work.HomeAnswer


class SessionGone(NamedTuple):
    """The caller of a session is gone; its transaction ends."""

    session: int


class Cancel(NamedTuple):
    """The caller wants what runs for its session canceled."""

    session: int


class ValueRequest(NamedTuple):
    """An instance asks a peer for a value of the configuration.

    Attributes:
      number: The number of the ask.
      key: The store key of the head or of a part.
    """

    number: int
    key: str


class ValueReply(NamedTuple):
    """A peer's answer to a ValueAsk.

    Attributes:
      number: The number of the ask.
      is_known: Whether the peer has the value.
      value: The bytes as they stand in the store.
    """

    number: int
    is_known: bool
    value: bytes


LINK_LOST = Chunk(0, b"")  # Put in place of a frame when the link has ended.

LINK_FRAMES = (
    Run,
    Chunk,
    Acknowledged,
    End,
    SessionGone,
    Cancel,
    ValueRequest,
    ValueReply,
)

TYPES: tuple[type, ...] = (
    Run,
    Chunk,
    Acknowledged,
    End,
    SessionGone,
    Cancel,
    ValueRequest,
    ValueReply,
    work.Position,
    work.Prepared,
    work.Step,
    work.Round,
    work.RoundRequest,
    work.HomeAnswer,
)

CODEC = codec.Codec(TYPES)
