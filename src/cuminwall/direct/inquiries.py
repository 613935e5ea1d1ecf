"""Asking one backend server something on a connection of its own.

The coordinator asks before it decides about a primary. A connection that was
open may have gone silent for good, so each question gets a fresh one.
"""

from cuminwall.direct import connections, groups
from cuminwall.direct.answers import Answer, Status
from cuminwall.direct.commands import AskStatus, Command, StepDown
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
    """Asks a server for its role and position."""
    _begin(state, server, AskStatus(), out)


def order_step_down(
    state: State, server: Server, term: int, out: list[Effect]
) -> None:
    """Makes a primary of a term below `term` a replica."""
    _begin(state, server, StepDown(term), out)


def handle_opened(state: State, inquiry: Inquiry, out: list[Effect]) -> None:
    """Sends the question on its connection."""
    out.append(SendCommands(inquiry.number, (inquiry.command,)))


def handle_answer(
    state: State, inquiry: Inquiry, answer: Answer, out: list[Effect]
) -> None:
    """Takes in an answer."""
    groups.record_answer(state, inquiry.server)
    out.append(CloseConnection(inquiry.number))
    _finish(state, inquiry, answer.status, True, out)


def handle_failure(
    state: State, inquiry: Inquiry, is_refusal: bool, out: list[Effect]
) -> None:
    """Takes in that no answer will come.

    Args:
      state: The state.
      inquiry: The question.
      is_refusal: Whether the server said so itself, and so lives.
      out: The effects.
    """
    _finish(state, inquiry, None, is_refusal, out)


def handle_timer(state: State, number: int, out: list[Effect]) -> None:
    """Gives up a question that has not been answered in time."""
    inquiry = state.inquiries.get(number)
    if inquiry is None:
        return
    out.append(CloseConnection(number))
    _finish(state, inquiry, None, False, out)


def _begin(
    state: State, server: Server, command: Command, out: list[Effect]
) -> None:
    """Opens a connection for a question, unless one is open for it."""
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
    """Keeps what a question has brought."""
    state.inquiries.pop(inquiry.number, None)
    server = inquiry.server
    server.status = status
    server.status_at = state.now
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
