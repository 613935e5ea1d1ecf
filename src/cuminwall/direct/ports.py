"""The interfaces to the platform, each implemented by an adapter.

Only the adapters know the platform's protocols and names.
"""

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from cuminwall import exceptions
from cuminwall.direct.answers import Answer, Failure
from cuminwall.direct.commands import Command
from cuminwall.direct.effects import CompareAndSwap
from cuminwall.direct.events import PromotionOutcome, UsageOutcome
from cuminwall.direct.statements import Statement


class HistoryLostError(exceptions.CuminwallError):
    """The store no longer has all changes since a revision."""


class TooManyChangesError(exceptions.CuminwallError):
    """The changes since a revision are larger than the whole store."""


class Login(NamedTuple):
    """A caller's first message: its database and its key."""

    database: str
    key: str


class Terminate(NamedTuple):
    """A caller's last message."""


CallerMessage = Login | Terminate | Statement


class CallerCodec(Protocol):
    """Decodes and encodes the messages of one caller's connection."""

    def feed(self, data: bytes, most: int) -> list[CallerMessage]:
        """Returns complete messages; keeps those beyond `most`.

        What is kept is returned by later calls, which may bring no bytes.
        What is no valid message is returned as `statements.Malformed`.
        """

    def count_held(self) -> int:
        """Returns how many bytes were received and not returned yet."""

    def encode_acceptance(self) -> bytes:
        """Returns the encoded message that the session is open."""

    def encode_rejection(self, failure: Failure) -> bytes:
        """Returns the encoded message that the session is refused."""

    def encode_answer(self, answer: Answer) -> bytes:
        """Returns the encoded answer to a statement."""


class Opened(NamedTuple):
    """A backend server accepted the connection."""


ServerMessage = Opened | Failure | Answer


class ServerCodec(Protocol):
    """Decodes and encodes the messages of one backend server connection."""

    def encode_login(self, service: str, workspace: str, server: str) -> bytes:
        """Returns the encoded login message."""

    def encode_command(self, command: Command) -> bytes:
        """Returns an encoded command."""

    def feed(self, data: bytes) -> list[ServerMessage]:
        """Returns the messages that the bytes complete.

        Raises:
          exceptions.ProtocolError: The bytes are not valid messages.
        """

    def count_held(self) -> int:
        """Returns how many bytes of an unfinished answer there are."""


class StoreItem(NamedTuple):
    """One decoded item of the store.

    Attributes:
      kind: What kind of item it is.
      name: The name of the server, availability zone or shared value.
      value: The decoded value, whose type depends on the kind; None if the
        item was removed.
      revision: The store's revision of the change.
      is_malformed: Whether there is a value that can't be decoded. It changes
        nothing.
    """

    kind: "ItemKind"
    name: str
    value: object
    revision: int
    is_malformed: bool = False


class ItemKind(enum.Enum):
    """The kinds of store items."""

    CATALOG = enum.auto()
    SERVER = enum.auto()
    ZONE_OUT = enum.auto()
    SHARED = enum.auto()


class StoreItems(NamedTuple):
    """Store items, and the revision up to which they are complete."""

    items: Sequence[StoreItem]
    revision: int


class StorePort(Protocol):
    """The platform's store.

    Every method raises `exceptions.StoreUnavailableError` if no usable answer
    came; whether a write took effect is then unknown.
    """

    async def read_all(self) -> StoreItems:
        """Returns all items of the store."""

    async def watch(self, after: int, wait_s: float) -> StoreItems:
        """Returns the items changed after a revision; waits for a change.

        Raises:
          HistoryLostError: The store no longer has all these changes.
          TooManyChangesError: To read the whole store takes less time.
        """

    def is_answer_arriving(self) -> bool:
        """Returns whether a part of the answer to `watch` has just arrived."""

    async def swap(self, call: CompareAndSwap) -> int:
        """Writes shared values if all have the expected revisions.

        Returns:
          The revision of the change; 0 if it did not take effect.
        """

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Returns the id of a new lease and its time to live, in seconds."""

    async def keep_lease(self, lease: int) -> float:
        """Renews a lease; returns its time to live, 0 if it has expired."""

    async def end_lease(self, lease: int) -> None:
        """Ends a lease, which removes the values bound to it."""


class ProviderPort(Protocol):
    """The platform's interface for what one instance does for all.

    The fencing tokens of each kind of call rise with each new holder.
    """

    async def promote(
        self,
        holder: str,
        service: str,
        server: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> PromotionOutcome:
        """Orders that a server becomes the primary of its service.

        The order is not sent if `may_send` is false at the last moment.

        Raises:
          exceptions.StoreUnavailableError: No usable answer came; the order
            may still be carried out.
        """

    async def report_usage(
        self,
        holder: str,
        window: int,
        counts: Mapping[str, int],
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> UsageOutcome:
        """Reports the requests that began to run in a window, by workspace.

        The report is not sent if `may_send` is false at the last moment.

        Raises:
          exceptions.StoreUnavailableError: No usable answer came; the report
            may still be accepted.
        """
