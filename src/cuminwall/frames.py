"""The frames on the data link between an entry instance and a home."""

from typing import NamedTuple

from cuminwall import codec, work


class Run(NamedTuple):
    """The entry instance sends a round to a home.

    Attributes:
      number: The round's number at the entry instance.
      request: What the home needs to schedule the round.
      round_: The caller's messages.
    """

    number: int
    request: work.RoundRequest
    round_: work.Round


class Chunk(NamedTuple):
    """The home sends part of an answer."""

    number: int
    data: bytes


class Acknowledged(NamedTuple):
    """The entry instance has passed on `size` more bytes of an answer."""

    number: int
    size: int


class End(NamedTuple):
    """The home has sent the whole answer of a round."""

    number: int
    answer: work.HomeAnswer


class SessionGone(NamedTuple):
    """The caller of a session is gone; its transaction is to be ended."""

    session: int


class Cancel(NamedTuple):
    """The caller requests to cancel the running round of its session."""

    session: int


class ValueRequest(NamedTuple):
    """An instance requests a configuration value from a peer.

    Attributes:
      number: The request number.
      key: The store key of the configuration's head or of one of its parts.
    """

    number: int
    key: str


class ValueReply(NamedTuple):
    """A peer's reply to a ValueRequest.

    Attributes:
      number: The request number.
      is_known: Whether the peer has the value.
      value: The bytes as kept in the store.
    """

    number: int
    is_known: bool
    value: bytes


LINK_LOST = Chunk(0, b"")  # Queued instead of a frame when the link ended.

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
    *LINK_FRAMES,
    work.Position,
    work.Prepared,
    work.Step,
    work.Round,
    work.RoundRequest,
    work.HomeAnswer,
)

CODEC = codec.Codec(TYPES)
