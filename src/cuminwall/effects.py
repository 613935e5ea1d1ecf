"""Everything the reducer can ask the engine to do, as data."""

from typing import NamedTuple

from cuminwall import messages, outcomes, work


class Admit(NamedTuple):
    """Let the session in."""

    session: int


class Reject(NamedTuple):
    """Don't let the session in."""

    session: int
    failure: outcomes.Failure


class CloseSession(NamedTuple):
    """End a session between rounds, with a reason."""

    session: int
    failure: outcomes.Failure


class Dispatch(NamedTuple):
    """Send a round to a home on another instance."""

    number: int
    home: str
    request: work.RoundRequest


class Execute(NamedTuple):
    """Run a round on a backend server.

    Attributes:
      key: The work.
      service: The database service.
      server: The id of the backend server.
      workspace: The workspace that it runs for.
      pinned: Whether the session's transaction is open already.
      pin: The session whose connection to use or keep, at the entry instance.
      wants_position: Whether the log position behind the round is needed.
      pipelines_position: Whether to ask for it in the same write.
    """

    key: work.RoundKey
    service: str
    server: str
    workspace: str
    pinned: bool
    pin: tuple[str, int]
    wants_position: bool
    pipelines_position: bool


class Answer(NamedTuple):
    """Give a home's answer to the entry instance (maybe this one)."""

    key: work.RoundKey
    answer: work.HomeAnswer


class Complete(NamedTuple):
    """End a round towards the caller."""

    number: int
    end: work.RoundEnd


class Unpin(NamedTuple):
    """Close a session's backend connection, rolling its transaction back."""

    pin: tuple[str, int]


class Probe(NamedTuple):
    """Probe a backend server at once."""

    service: str
    server: str


class WatchServers(NamedTuple):
    """Probe these backend servers regularly, and no others.

    Attributes:
      servers: Pairs of service and server id.
    """

    servers: frozenset[tuple[str, str]]


class SetPermits(NamedTuple):
    """The number of connections this instance may have to a server."""

    service: str
    server: str
    permits: int


class SendToPeer(NamedTuple):
    """Send a message to a peer on the control link."""

    instance: str
    message: messages.Message


class SwapValue(NamedTuple):
    """Compare-and-swap a JSON value of the store.

    Attributes:
      call: Comes back with the answer.
      key: The store key.
      expected_revision: 0 if the key must not exist.
      value: The JSON value, or None to delete.
      lease_id: The store lease that the key hangs on, or 0.
    """

    call: int
    key: str
    expected_revision: int
    value: dict | None
    lease_id: int = 0


class GrantStoreLease(NamedTuple):
    """Ask the store for a new lease."""

    call: int
    ttl_s: int


class RenewStoreLease(NamedTuple):
    """Renew a lease of the store."""

    call: int
    lease_id: int


class ReadValue(NamedTuple):
    """Read a value of the store."""

    call: int
    key: str


class ReadPrefix(NamedTuple):
    """Read all values of the store under a prefix."""

    call: int
    prefix: str


class RevokeStoreLease(NamedTuple):
    """End a lease of the store; nobody waits for the answer."""

    lease_id: int


class CancelRound(NamedTuple):
    """Ask the backend server to cancel what runs for a session."""

    session: int


class AbortRound(NamedTuple):
    """Cut the connection on which a session's round runs here."""

    pin: tuple[str, int]


class ReleasePin(NamedTuple):
    """Tell a home that a session is gone."""

    home: str
    session: int


class Promote(NamedTuple):
    """Order a backend server to become primary, unless it is too late.

    Attributes:
      service: The database service.
      server: The id of the backend server.
      term: The term that the order belongs to.
      not_after: The monotonic second after which it must not be sent.
    """

    service: str
    server: str
    term: int
    not_after: float


class FetchConfig(NamedTuple):
    """Load the configuration of the given version or a later one."""

    version: int


class Log(NamedTuple):
    """Write one line for a decision.

    Attributes:
      part: The prefix.
      text: A short sentence.
    """

    part: str
    text: str


class Count(NamedTuple):
    """Add one to a metric.

    Attributes:
      name: The metric.
      label: Its label value.
    """

    name: str
    label: str


Effect = (
    Admit
    | Reject
    | CloseSession
    | Dispatch
    | Execute
    | Answer
    | Complete
    | Unpin
    | Probe
    | WatchServers
    | SetPermits
    | SendToPeer
    | SwapValue
    | GrantStoreLease
    | RenewStoreLease
    | ReadValue
    | ReadPrefix
    | RevokeStoreLease
    | CancelRound
    | AbortRound
    | ReleasePin
    | Promote
    | FetchConfig
    | Log
    | Count
)
