"""PostgreSQL's functions and system views, defined on SQLite connections."""

import datetime
import sqlite3
from collections.abc import Callable
from typing import Any, Protocol

from cuminwall_standins import errors, inference, settings, values

WAL_SEGMENT_BYTES = 16 * 1024 * 1024
_SEGMENTS_PER_FILE_GROUP = 0x100000000 // WAL_SEGMENT_BYTES

VERSION = "PostgreSQL 16.4 (cuminwall stand-in)"
DATABASE_NAME = "standin"

VIEWS = {
    "pg_stat_wal_receiver": (
        inference.Field("status", values.TEXT),
        inference.Field("received_tli", values.INT4),
        inference.Field("flushed_lsn", values.TEXT),
    ),
}
_VIEW_TEXTS = (
    "CREATE TEMP VIEW pg_stat_wal_receiver AS SELECT 'streaming' AS status,"
    " received_tli() AS received_tli,"
    " pg_last_wal_receive_lsn() AS flushed_lsn"
    " WHERE received_tli() IS NOT NULL",
)


class Caller(Protocol):
    """The session state that functions may read and change."""

    process_id: int
    user: str
    sleep_s: float
    settings: settings.Settings


class Host(Protocol):
    """What the functions need from the engine."""

    is_primary: bool
    lsn: int
    recovery_end_lsn: int | None
    received_lsn: int
    now_s: float
    caller: Caller | None
    function_error: errors.SqlError | None

    @property
    def timeline(self) -> int:
        """Returns the timeline at the end of the log."""

    @property
    def received_timeline(self) -> int | None:
        """Returns the timeline being received, or None if none is streamed."""

    def promote(self) -> None:
        """Makes the replica a primary."""


def format_lsn(lsn: int) -> str:
    """Returns a log position in PostgreSQL's form "X/Y"."""
    return f"{lsn >> 32:X}/{lsn & 0xFFFFFFFF:X}"


def parse_lsn(text: str) -> int:
    """Returns the log position of a text "X/Y".

    Raises:
      errors.SqlError: The text is malformed.
    """
    high, _, low = text.partition("/")
    try:
        return (int(high, 16) << 32) | int(low, 16)
    except ValueError as error:
        raise errors.SqlError("22P02", f"invalid pg_lsn: {text}") from error


def _walfile_name(timeline: int, lsn: int) -> str:
    segment = max(lsn - 1, 0) // WAL_SEGMENT_BYTES
    group, rest = divmod(segment, _SEGMENTS_PER_FILE_GROUP)
    return f"{timeline:08X}{group:08X}{rest:08X}"


def _to_bool(value: Any) -> int | None:
    if value is None:
        return None
    if isinstance(value, str):
        return values.parse_bool(value)
    return int(value != 0)


def _to_int(value: Any) -> int | None:
    if value is None:
        return None
    try:
        return int(value) if isinstance(value, str) else round(value)
    except (ValueError, OverflowError) as error:
        raise errors.SqlError(
            "22P02", f'invalid input syntax for type integer: "{value}"'
        ) from error


def _to_bytea(value: Any) -> bytes | None:
    return values.parse_bytea(value) if isinstance(value, str) else value


class _Functions:
    def __init__(self, host: Host):
        self.host = host

    def check_role(self, is_primary: bool) -> None:
        if self.host.is_primary is is_primary:
            return
        state = "is not" if not is_primary else "is"
        raise errors.SqlError("55000", f"recovery {state} in progress")

    def current_lsn(self) -> str:
        self.check_role(True)
        return format_lsn(self.host.lsn)

    def replayed_lsn(self) -> str | None:
        if not self.host.is_primary:
            return format_lsn(self.host.lsn)
        # Stays at the end of recovery, which an initial primary never had.
        ended = self.host.recovery_end_lsn
        return None if ended is None else format_lsn(ended)

    def received_lsn(self) -> str | None:
        if self.host.is_primary:
            return None
        return format_lsn(self.host.received_lsn)

    def walfile_name(self, lsn: str) -> str:
        self.check_role(True)
        return _walfile_name(self.host.timeline, parse_lsn(lsn))

    def promote(self, *_: Any) -> int:
        self.check_role(False)
        self.host.promote()
        return 1

    def now(self) -> str:
        moment = datetime.datetime.fromtimestamp(self.host.now_s, datetime.UTC)
        return values.format_time(moment)

    def sleep(self, seconds: float) -> str:
        # Waiting in SQLite would block the event loop; the session waits.
        if self.host.caller:
            self.host.caller.sleep_s += seconds
        return ""

    def setting(self, name: str, *_: Any) -> str | None:
        caller = self.host.caller
        return caller.settings.values.get(name.lower()) if caller else None

    def by_name(self) -> dict[str, tuple[int, Callable[..., Any]]]:
        host = self.host
        return {
            "pg_is_in_recovery": (0, lambda: int(not host.is_primary)),
            "pg_current_wal_lsn": (0, self.current_lsn),
            "pg_current_wal_flush_lsn": (0, self.current_lsn),
            "pg_last_wal_replay_lsn": (0, self.replayed_lsn),
            "pg_last_wal_receive_lsn": (0, self.received_lsn),
            "pg_walfile_name": (1, self.walfile_name),
            "pg_wal_lsn_diff": (2, lambda a, b: parse_lsn(a) - parse_lsn(b)),
            "received_tli": (0, lambda: host.received_timeline),
            "pg_promote": (-1, self.promote),
            "pg_sleep": (1, self.sleep),
            "pg_backend_pid": (
                0,
                lambda: host.caller.process_id if host.caller else 0,
            ),
            "pg_advisory_unlock_all": (0, lambda: ""),
            "version": (0, lambda: VERSION),
            "now": (0, self.now),
            "transaction_timestamp": (0, self.now),
            "current_user": (
                0,
                lambda: host.caller.user if host.caller else "",
            ),
            "current_database": (0, lambda: DATABASE_NAME),
            "current_schema": (0, lambda: "public"),
            "current_setting": (-1, self.setting),
            "to_bool": (1, _to_bool),
            "to_bytea": (1, _to_bytea),
            "to_int": (1, _to_int),
        }


def register(connection: sqlite3.Connection, host: Host) -> None:
    """Defines the functions and views on a connection."""
    for name, (count, function) in _Functions(host).by_name().items():
        connection.create_function(name, count, _save_error(function, host))
    for text in _VIEW_TEXTS:
        connection.execute(text)


def _save_error(function: Callable[..., Any], host: Host) -> Callable[..., Any]:
    """Saves an error of a function, because SQLite does not keep its type."""

    def run(*arguments: Any) -> Any:
        try:
            return function(*arguments)
        except errors.SqlError as error:
            host.function_error = error
            raise

    return run
