"""The position query: its SQL, its answer, and log sequence numbers as text.

The same query is used for probes and after commits. It returns whether the
server is in recovery, its log position and its timeline.
"""

import re
from collections.abc import Sequence
from typing import NamedTuple

from cuminwall import exceptions

POSITION_SQL = (
    "SELECT pg_is_in_recovery(),"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_lsn() END,"
    " CASE WHEN pg_is_in_recovery()"
    " THEN (SELECT received_tli FROM pg_stat_wal_receiver)::text"
    " ELSE pg_walfile_name(pg_current_wal_lsn()) END"
)

# A replica without a WAL receiver reports no timeline.
TIMELINE_UNKNOWN = 0

_LSN = re.compile(rb"([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})")
_WAL_FILE_NAME = re.compile(rb"[0-9A-Fa-f]{24}")
_TIMELINE_DIGITS = 8


class ProbeAnswer(NamedTuple):
    """A server's answer to the position query.

    Attributes:
      in_recovery: Whether it is a replica.
      lsn: Its replay or write position, in bytes; 0 if unknown.
      timeline: Its timeline, or TIMELINE_UNKNOWN.
    """

    in_recovery: bool
    lsn: int
    timeline: int


def parse_lsn(text: bytes) -> int:
    """Parses a log sequence number such as "16/B374D8" into bytes.

    Raises:
      exceptions.ProtocolError: The text is not a log sequence number.
    """
    match = _LSN.fullmatch(text)
    if match is None:
        raise exceptions.ProtocolError(f"{text!r} is not a log position")
    return int(match[1], 16) << 32 | int(match[2], 16)


def format_lsn(lsn: int) -> str:
    """Returns a log sequence number in PostgreSQL's text form."""
    return f"{lsn >> 32:X}/{lsn & 0xFFFFFFFF:X}"


def parse_answer(row: Sequence[bytes | None]) -> ProbeAnswer:
    """Parses the row that POSITION_SQL returns.

    Raises:
      exceptions.ProtocolError: The row is malformed.
    """
    if len(row) != 3 or row[0] not in (b"t", b"f"):
        raise exceptions.ProtocolError("malformed answer to a position query")
    in_recovery = row[0] == b"t"
    # A replica that has replayed nothing since its start answers NULL.
    lsn = 0 if row[1] is None else parse_lsn(row[1])
    return ProbeAnswer(in_recovery, lsn, _parse_timeline(in_recovery, row[2]))


def _parse_timeline(in_recovery: bool, text: bytes | None) -> int:
    if in_recovery and text is None:
        return TIMELINE_UNKNOWN
    # If the server is promoted while the query runs, the columns contradict
    # each other; such a row is rejected.
    if in_recovery and text is not None and text.isdigit():
        return int(text)
    if not in_recovery and text and _WAL_FILE_NAME.fullmatch(text):
        return int(text[:_TIMELINE_DIGITS], 16)
    raise exceptions.ProtocolError(f"{text!r} is not a timeline")
