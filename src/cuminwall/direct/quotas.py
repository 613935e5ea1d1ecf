"""Tokens of the workspaces: each operation takes one before it runs."""

from cuminwall.direct import works
from cuminwall.direct.effects import Effect
from cuminwall.direct.state import State, Work


def take(state: State, work: Work, out: list[Effect]) -> None:
    """Takes a token for an operation, or lets it wait or refuses it."""
    del out
    works.admit(state, work)
