"""Which logs of a database group a promotion has abandoned.

A promoted server starts a new term from the end of its own log. What other
logs hold beyond that point is rolled back, also on a server that was out of
reach then and comes back later. If such a log led again, commits of the new
term would be lost, and readers would see commits that had gone.
"""

from typing import NamedTuple

from cuminwall.direct.answers import Position


class Fork(NamedTuple):
    """Where a promotion has started a new term.

    Attributes:
      above_term: The new term is higher than this one.
      log_end: The end of the promoted server's log.
    """

    above_term: int
    log_end: Position


def is_abandoned(fork: Fork | None, position: Position) -> bool:
    """Returns whether a log that ends at a position goes on past a fork."""
    if fork is None or position.term > fork.above_term:
        return False
    return position > fork.log_end


def extend(fork: Fork, position: Position) -> Fork:
    """Returns a fork whose server has gone on to a position before its term."""
    if position.term > fork.above_term:
        return fork
    return fork._replace(log_end=max(fork.log_end, position))


def encode(fork: Fork | None) -> list[int] | None:
    """Returns a fork as a JSON value."""
    if fork is None:
        return None
    return [fork.above_term, *fork.log_end]


def decode(value: list[int] | None) -> Fork | None:
    """Returns the fork in a JSON value.

    Raises:
      ValueError: It is malformed.
      TypeError: It is malformed.
    """
    if value is None:
        return None
    above_term, term, number = value
    return Fork(int(above_term), Position(int(term), int(number)))
