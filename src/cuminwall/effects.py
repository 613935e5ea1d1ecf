"""Everything that the reducer can ask the engine to do, as data."""

from typing import NamedTuple

from cuminwall import messages, outcomes, work


class Admit(NamedTuple):
    """Admit a session."""

    session: int


class Reject(NamedTuple):
    """Reject a session, with a reason."""

    session: int
    failure: outcomes.Failure


class CloseSession(NamedTuple):
    """Close a caller's session between rounds, with a reason."""

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
      key: The round.
      service: The database service.
      server: The id of the backend server.
      workspace: The workspace that it runs for.
      pinned: Whether the session's transaction is open already.
      pin: The entry instance and the session whose pinned connection to use,
        or to pin if a transaction stays open.
      wants_position: Whether the log position after the round is needed.
      pipelines_position: Whether to pipeline the query for it.
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
    """Send a home's answer to the entry instance, which may be this one."""

    key: work.RoundKey
    answer: work.HomeAnswer


class Complete(NamedTuple):
    """Report the end of a round to the caller."""

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
    """Probe exactly these backend servers regularly.

    Attributes:
      servers: Pairs of service and server id.
    """

    servers: frozenset[tuple[str, str]]


class SetPermits(NamedTuple):
    """Set how many connections this instance may have to a server."""

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
      call: The number of the call, returned with its answer.
      key: The store key.
      expected_revision: 0 if the key must not exist.
      value: The JSON value, or None to delete.
      lease_id: The store lease that the key is attached to, or 0.
    """

    call: int
    key: str
    expected_revision: int
    value: dict | None
    lease_id: int = 0


class GrantStoreLease(NamedTuple):
    """Request a new lease from the store."""

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
    """Revoke a lease of the store; the answer is ignored."""

    lease_id: int


class CancelRound(NamedTuple):
    """Cancel the round that runs or waits for a session."""

    session: int


class AbortRound(NamedTuple):
    """Close the connection on which a session's round runs here."""

    pin: tuple[str, int]


class ReleasePin(NamedTuple):
    """Notify a home that a session has ended."""

    home: str
    session: int


class Promote(NamedTuple):
    """Promote a backend server to primary, unless it is too late.

    Attributes:
      service: The database service.
      server: The id of the backend server.
      term: The term of the order.
      not_after: The monotonic time after which the command must not be sent.
    """

    service: str
    server: str
    term: int
    not_after: float


class FetchConfig(NamedTuple):
    """Load the configuration of the given version or a later one."""

    version: int


class Log(NamedTuple):
    """Write a line to the decision log.

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
