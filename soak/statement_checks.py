"""Checks of statements, from what callers and backend servers saw alone."""

import collections
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from soak.records import NO_TRANSACTION, Asked, Commit, Run, ServerRecords

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")
UNASKED = "UNASKED"
MIXED = "MIXED"
PINNED = "PINNED"
TWICE = "TWICE"
REFUSED = "REFUSED"
SIZE = "SIZE"  # Of a message, over what the wire allows.
RULES = (UNASKED, MIXED, PINNED, TWICE, REFUSED, SIZE)


class StatementCase(NamedTuple):
    """A broken rule.

    Attributes:
      rule: One of RULES.
      what: What happened.
      number: The request id.
      sent: What the caller sent, shortened; "" if none did.
      ran: What ran, shortened; "" if nothing did.
    """

    rule: str
    what: str
    number: str
    sent: str = ""
    ran: str = ""


class Evidence:
    """What callers and servers saw, by request id and by transaction.

    Attributes:
      asked: What callers sent, by request id.
      runs: What ran, in its order.
      commits: The commits that are in the logs.
      runs_by_number: The runs of each request id.
      runs_by_transaction: The runs of each transaction of a server.
      oversized: Sizes of messages that were too long, in bytes.
    """

    def __init__(self, asked: Iterable[Asked], seen: ServerRecords):
        self.asked = {each.number: each for each in asked}
        self.runs = seen.runs
        self.commits = seen.commits
        self.oversized = seen.oversized
        self.runs_by_number: dict[str, list[Run]] = {}
        self.runs_by_transaction: dict[int, list[Run]] = {}
        for run in self.runs:
            self.runs_by_number.setdefault(run.number, []).append(run)
            if run.transaction != NO_TRANSACTION:
                group = self.runs_by_transaction.setdefault(run.transaction, [])
                group.append(run)


def check(evidence: Evidence) -> list[StatementCase]:
    """Returns all cases."""
    cases: list[StatementCase] = []
    for find in (
        find_unasked,
        find_mixed,
        find_unpinned,
        find_twice,
        find_refused,
        find_oversized,
    ):
        cases.extend(find(evidence))
    return cases


def find_unasked(evidence: Evidence) -> Iterator[StatementCase]:
    """Finds what ran or was committed though no caller sent it so."""
    for run in evidence.runs:
        asked = evidence.asked.get(run.number)
        if asked is None:
            yield _make_case(UNASKED, "no such request id", run)
        elif asked.digest != run.digest:
            yield _make_case(UNASKED, "changed text", run, asked)
    for commit in evidence.commits:
        asked = evidence.asked.get(commit.number)
        for run in commit.writes:
            if run.number == commit.number:
                continue
            writer = evidence.asked.get(run.number)
            if asked is None or asked.verb != "COMMIT":
                yield _make_case(UNASKED, "committed unasked", run, writer)
            elif writer is not None and writer.transaction != asked.transaction:
                yield _make_case(
                    UNASKED, "committed by another's COMMIT", run, writer
                )


def find_mixed(evidence: Evidence) -> Iterator[StatementCase]:
    """Finds successes without the server's proof and rows."""
    for asked in evidence.asked.values():
        if asked.code != "" or asked.verb not in _FORWARDED:
            continue
        runs = evidence.runs_by_number.get(asked.number, [])
        proven = [run for run in runs if run.proof == asked.proof]
        if not proven:
            what = f"success with proof {asked.proof}"
            yield StatementCase(MIXED, what, asked.number, asked.text)
        elif all(run.rows != asked.rows for run in proven):
            yield _make_case(MIXED, "other rows", proven[0], asked)


def find_unpinned(evidence: Evidence) -> Iterator[StatementCase]:
    """Finds statements on a wrong connection or with wrong session state."""
    first_runs: dict[int, Run] = {}
    for run in evidence.runs:
        asked = evidence.asked.get(run.number)
        if asked is None:
            continue
        if asked.values is not None and asked.values != run.values:
            yield _make_case(PINNED, "other session values", run, asked)
        if asked.shape is not None and asked.shape != run.shape:
            yield _make_case(PINNED, "another definition", run, asked)
        if _is_in_others_transaction(evidence, run, asked):
            yield _make_case(PINNED, "in another's transaction", run, asked)
        if asked.transaction == NO_TRANSACTION:
            continue
        if run.transaction == NO_TRANSACTION:
            yield _make_case(PINNED, "outside its transaction", run, asked)
        first = first_runs.setdefault(asked.transaction, run)
        place = (run.connection, run.transaction)
        if place != (first.connection, first.transaction):
            yield _make_case(PINNED, "on another connection", run, asked)
    for asked in evidence.asked.values():
        if asked.code == "NOSTMT" and asked.shape:
            what = "unknown name though it was acknowledged"
            yield StatementCase(PINNED, what, asked.number, asked.text)


def find_twice(evidence: Evidence) -> Iterator[StatementCase]:
    """Finds writes that took effect twice."""
    counts: collections.Counter[str] = collections.Counter()
    for run in _find_effective(evidence.commits):
        counts[run.number] += 1
        if counts[run.number] == 2:
            asked = evidence.asked.get(run.number)
            yield _make_case(TWICE, "took effect twice", run, asked)


def find_refused(evidence: Evidence) -> Iterator[StatementCase]:
    """Finds writes that were committed though an answer promised not."""
    codes: dict[tuple[str, int], str] = {}
    for asked in evidence.asked.values():
        if asked.code in PROMISES:
            codes[asked.session, asked.attempt] = asked.code
    for run in _find_effective(evidence.commits):
        writer = evidence.asked.get(run.number)
        if writer is None:
            continue
        code = codes.get((writer.session, writer.attempt))
        if code is not None:
            yield _make_case(REFUSED, f"committed after {code}", run, writer)


def find_oversized(evidence: Evidence) -> Iterator[StatementCase]:
    """Finds messages that are longer than the wire allows."""
    for size in evidence.oversized:
        yield StatementCase(SIZE, f"a message of {size} bytes", "")


_FORWARDED = ("READ", "WRITE", "EXECUTE", "COMMIT")


def _is_in_others_transaction(
    evidence: Evidence, run: Run, asked: Asked
) -> bool:
    """Returns whether a statement of another caller ran in its transaction."""
    for other in evidence.runs_by_transaction.get(run.transaction, ()):
        if other.number == run.number:
            continue
        sender = evidence.asked.get(other.number)
        if sender is None or asked.transaction == NO_TRANSACTION:
            return True
        if sender.transaction != asked.transaction:
            return True
    return False


def _find_effective(commits: Iterable[Commit]) -> Iterator[Run]:
    """Returns the writes that took effect."""
    for commit in commits:
        yield from commit.writes


def _make_case(
    rule: str, what: str, run: Run, asked: Asked | None = None
) -> StatementCase:
    sent = "" if asked is None else asked.text
    where = f"{what} at {run.server}"
    return StatementCase(rule, where, run.number, sent, run.text)
