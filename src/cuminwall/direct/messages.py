"""The messages between instances.

A type's position in `TYPES` is its number on the wire.
"""

from typing import NamedTuple

from cuminwall import codec
from cuminwall.messages import ShareGrant, ShareLine


class Missed(NamedTuple):
    """A server that the sender can't reach.

    Attributes:
      server: Its id.
      age_s: For how long it has been unreachable.
    """

    server: str
    age_s: float


class Ask(NamedTuple):
    """An instance asks the coordinator for shares and reports what it sees.

    Attributes:
      number: The number of the request, rising within the sender's process.
      boot: Identifies the sender's process.
      epoch: The coordinator's epoch, as the sender knows it.
      is_complete: Whether `lines` has every share that the sender holds.
      lines: The shares that it holds and needs.
      missed: The servers that it can't reach.
      config_version: The version of its configuration.
      is_leaving: Whether it is shutting down.
      free_s: How long ago it last sent a request to an earlier coordinator.
    """

    number: int
    boot: str
    epoch: int
    is_complete: bool
    lines: tuple[ShareLine, ...]
    missed: tuple[Missed, ...]
    config_version: int
    is_leaving: bool
    free_s: float


class Grants(NamedTuple):
    """The coordinator's reply to an `Ask`.

    Attributes:
      number: The number of the request.
      epoch: The coordinator's epoch.
      grants: The shares that it grants.
      config_version: The version of its configuration.
    """

    number: int
    epoch: int
    grants: tuple[ShareGrant, ...]
    config_version: int


class Seek(NamedTuple):
    """An instance that gets no replies asks a peer who coordinates.

    Attributes:
      revision: The store's revision of the newest coordinator that it knows.
    """

    revision: int


class Leader(NamedTuple):
    """A peer names a newer coordinator, in reply to a `Seek`.

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
    ShareLine,
    ShareGrant,
    Missed,
    Ask,
    Grants,
    Seek,
    Leader,
)
CODEC = codec.Codec(TYPES)
