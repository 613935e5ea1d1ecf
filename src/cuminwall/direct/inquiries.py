"""Status queries and step-down orders to backend servers.

The coordinator queries servers before it decides about a primary. A
connection that was already open may be dead without notice, so each inquiry
opens a new one.
"""

from cuminwall.direct import connections, groups
from cuminwall.direct.answers import Answer, Reason, Status
from cuminwall.direct.commands import (
    AskStatus,
    Command,
    Hold,
    Release,
    StepDown,
)
from cuminwall.direct.effects import (
    CloseConnection,
    Effect,
    Note,
    SendCommands,
)
from cuminwall.direct.servers_state import Inquiry, Server
from cuminwall.direct.state import State, TimerKind

PART = "inquiries"


def query_status(state: State, server: Server, out: list[Effect]) -> None:
    """Queries a server's role and position."""
    _start(state, server, AskStatus(), out)


def order_step_down(
    state: State, server: Server, term: int, out: list[Effect]
) -> None:
    """Orders a primary of a term below `term` to become a replica."""
    _start(state, server, StepDown(term), out)


def hold(state: State, server: Server, term: int, out: list[Effect]) -> None:
    """Orders a replica to receive no more commits, for a new term."""
    _start(state, server, Hold(term), out)


def release(state: State, server: Server, out: list[Effect]) -> None:
    """Orders a replica that was held to receive commits again."""
    _start(state, server, Release(), out)


def handle_opened(state: State, inquiry: Inquiry, out: list[Effect]) -> None:
    """Sends the command of an inquiry on its new connection."""
    out.append(SendCommands(inquiry.number, (inquiry.command,)))


def handle_answer(
    state: State, inquiry: Inquiry, answer: Answer, out: list[Effect]
) -> None:
    """Handles the answer to an inquiry."""
    groups.record_answer(state, inquiry.server)
    out.append(CloseConnection(inquiry.number))
    is_unknown = answer.failure is not None and (
        answer.failure.reason is Reason.MALFORMED
    )
    _finish(state, inquiry, answer.status, True, out)
    if is_unknown and isinstance(inquiry.command, Hold):
        inquiry.server.refuses_hold = True
        query_status(state, inquiry.server, out)


def handle_failure(
    state: State, inquiry: Inquiry, is_refusal: bool, out: list[Effect]
) -> None:
    """Handles the end of an inquiry's connection without an answer.

    Args:
      state: The state.
      inquiry: The inquiry.
      is_refusal: Whether the server refused it, which shows that it is alive.
      out: The effects.
    """
    _finish(state, inquiry, None, is_refusal, out)


def handle_timer(state: State, number: int, out: list[Effect]) -> None:
    """Cancels an inquiry that has timed out."""
    inquiry = state.inquiries.get(number)
    if inquiry is None:
        return
    out.append(CloseConnection(number))
    _finish(state, inquiry, None, False, out)


def _start(
    state: State, server: Server, command: Command, out: list[Effect]
) -> None:
    """Opens a connection for an inquiry, unless the same one is running."""
    for other in state.inquiries.values():
        if other.server is server and type(other.command) is type(command):
            return
    workspaces = state.catalog.workspaces
    if not workspaces:
        return
    number = state.next_number()
    inquiry = Inquiry(number, server, command, state.now)
    state.inquiries[number] = inquiry
    workspace = next(iter(workspaces))
    out.append(connections.make_open_effect(number, server, workspace))
    due_at = state.now + state.limits.inquiry_timeout_s
    state.set_timer(due_at, TimerKind.INQUIRY, number)


def _finish(
    state: State,
    inquiry: Inquiry,
    status: Status | None,
    is_alive: bool,
    out: list[Effect],
) -> None:
    """Records the outcome of an inquiry as the server's status."""
    state.inquiries.pop(inquiry.number, None)
    server = inquiry.server
    server.status = status
    server.status_at = state.now
    server.status_asked_at = inquiry.sent_at
    server.status_alive = is_alive
    out.append(
        Note(
            PART,
            "answered",
            {
                "server": server.entry.server,
                "command": type(inquiry.command).__name__,
                "alive": is_alive,
                "status": status,
                "ms": round(1000 * (state.now - inquiry.sent_at), 1),
            },
        )
    )
