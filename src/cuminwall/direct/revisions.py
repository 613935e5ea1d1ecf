"""Revisions that stay in order when the store is restored from a copy.

A restored store gives numbers out again that it had given to changes which are
lost now. Each restore begins a new era. A revision is made up of the era and
the store's number, so everything of a later era is newer than everything of an
earlier one.
"""

NUMBER_BITS = 40  # Of the store's number; with the era, exact as a double.
FIRST_ERA = 1  # Of a store that was never restored.


def compose(era: int, number: int) -> int:
    """Returns the revision of a number in an era; 0, for none, stays 0."""
    return start_of(era) + number if number else 0


def start_of(era: int) -> int:
    """Returns a number that is below all revisions of an era."""
    return era << NUMBER_BITS


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Returns the store's number of a revision."""
    return revision & ((1 << NUMBER_BITS) - 1)
