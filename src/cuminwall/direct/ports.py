"""The interfaces between the decisions and what the platform offers.

Each has one adapter, which knows the platform's protocol and names.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from cuminwall import exceptions
from cuminwall.direct.answers import Answer, Failure
from cuminwall.direct.commands import Command
from cuminwall.direct.effects import CompareAndSwap
from cuminwall.direct.events import PromotionOutcome
from cuminwall.direct.statements import Statement


class HistoryLostError(exceptions.CuminwallError):
    """The store no longer has the changes since a revision."""


class Login(NamedTuple):
    """A caller's first message: its database and its key."""

    database: str
    key: str


class Terminate(NamedTuple):
    """A caller's last message."""


CallerMessage = Login | Terminate | Statement


class CallerCodec(Protocol):
    """One caller's connection: from bytes to messages and back."""

    def feed(self, data: bytes) -> list[CallerMessage]:
        """Returns the messages that are whole now.

        Raises:
          exceptions.ProtocolError: The bytes are no messages.
        """

    def encode_acceptance(self) -> bytes:
        """Returns what tells that the session is open."""

    def encode_rejection(self, failure: Failure) -> bytes:
        """Returns what tells that the session is refused."""

    def encode_answer(self, answer: Answer) -> bytes:
        """Returns the answer to a statement."""


class Opened(NamedTuple):
    """A backend server took the connection."""


ServerMessage = Opened | Failure | Answer


class ServerCodec(Protocol):
    """One connection to a backend server: from bytes to messages and back."""

    def encode_login(self, service: str, workspace: str, server: str) -> bytes:
        """Returns the first message of a connection."""

    def encode_command(self, command: Command) -> bytes:
        """Returns a command's bytes."""

    def feed(self, data: bytes) -> list[ServerMessage]:
        """Returns the messages that are whole now.

        Raises:
          exceptions.ProtocolError: The bytes are no messages.
        """


class StoreItem(NamedTuple):
    """One item of the store; an event of the reducer without its time.

    Attributes:
      kind: What it is about.
      name: Of which server, availability zone or shared value.
      value: What it says, None if it is gone; its type depends on the kind.
      revision: The store's revision of the change.
    """

    kind: "ItemKind"
    name: str
    value: object
    revision: int


class ItemKind(enum.Enum):
    """The kinds of facts."""

    CATALOG = enum.auto()
    SERVER = enum.auto()
    ZONE_OUT = enum.auto()
    SHARED = enum.auto()


class StoreItems(NamedTuple):
    """Facts, and the revision up to which they are complete."""

    items: Sequence[StoreItem]
    revision: int


class StorePort(Protocol):
    """The platform's store.

    Every method raises `exceptions.StoreUnavailableError` when no usable
    answer came; whether a write took effect is then unknown.
    """

    async def read_all(self) -> StoreItems:
        """Returns everything in the store."""

    async def watch(self, after: int, wait_s: float) -> StoreItems:
        """Returns what changed after a revision, waiting for some change.

        Raises:
          HistoryLostError: The store no longer knows.
        """

    async def swap(self, call: CompareAndSwap) -> int:
        """Writes shared values if all have the expected revisions.

        Returns:
          The revision of the change; 0 if it did not take effect.
        """

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Returns the id of a new lease and how long it holds, in seconds."""

    async def keep_lease(self, lease: int) -> float:
        """Renews a lease; returns how long it holds, 0 if it is over."""

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its values."""


class PromotionPort(Protocol):
    """Where a change of primary is ordered."""

    async def promote(
        self, holder: str, service: str, server: str, fencing_token: int
    ) -> PromotionOutcome:
        """Orders that a server takes the lead of its service.

        Raises:
          exceptions.StoreUnavailableError: No usable answer came; the order
            may still be carried out.
        """
