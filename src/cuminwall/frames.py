"""The frames on the data link between an entry instance and a home."""

from typing import NamedTuple

from cuminwall import codec, work


class Run(NamedTuple):
    """The entry instance sends a round.

    Attributes:
      number: The work's number at the entry instance.
      order: What the home needs to place it.
      round_: The caller's messages.
    """

    number: int
    order: work.WorkOrder
    round_: work.Round


class Chunk(NamedTuple):
    """The home sends a part of an answer."""

    number: int
    data: bytes


class Took(NamedTuple):
    """The entry instance has passed on so many more bytes of an answer."""

    number: int
    size: int


class End(NamedTuple):
    """The home has sent all of an answer."""

    number: int
    answer: work.WorkAnswer


class Gone(NamedTuple):
    """The caller of a session is gone; its transaction ends."""

    session: int


class Cancel(NamedTuple):
    """The caller wants what runs for its session canceled."""

    session: int


class ConfigAsk(NamedTuple):
    """An instance asks a peer for its configuration.

    Attributes:
      number: The number of the ask.
      version: The version that the asker has.
    """

    number: int
    version: int


class ConfigAnswer(NamedTuple):
    """A peer's configuration.

    Attributes:
      number: The number of the ask.
      version: Its version; 0 if it has none beyond the asker's.
      document: The JSON document, or empty.
    """

    number: int
    version: int
    document: bytes


LOST = Chunk(0, b"")  # Put in place of a frame when the link has ended.

LINK_FRAMES = (Run, Chunk, Took, End, Gone, Cancel, ConfigAsk, ConfigAnswer)

TYPES: tuple[type, ...] = (
    Run,
    Chunk,
    Took,
    End,
    Gone,
    Cancel,
    ConfigAsk,
    ConfigAnswer,
    work.Position,
    work.Prepared,
    work.Step,
    work.Round,
    work.WorkOrder,
    work.WorkAnswer,
)

CODEC = codec.Codec(TYPES)
