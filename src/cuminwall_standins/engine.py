"""The data, the log and the timelines of one backend server.

Two SQLite databases in memory hold the data: `committed` holds what the log
holds and serves reads, `writer` also holds what the one open writing
transaction has changed. A commit appends a record to the log and replays it on
`committed`, as a replica does; so no reader meets uncommitted rows or waits.
The isolation level is READ COMMITTED, and one transaction writes at a time.
"""

import asyncio
import bisect
import secrets
import sqlite3
import time
from collections.abc import Sequence
from typing import NamedTuple

import cbor2

from cuminwall_standins import (
    errors,
    functions,
    inference,
    sql,
    timelines,
    values,
)
from cuminwall_standins import (
    parameters as parameter_types,
)

MIN_RECORD_BYTES = 8
CACHED_STATEMENTS = 512
MAX_CACHED_TYPES = 4096

_CHANGES = ("insert", "update", "delete", "with")
_MESSAGE_CODES = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("FOREIGN KEY constraint", "23503"),
    ("CHECK constraint", "23514"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("has no column", "42703"),
    ("already exists", "42P07"),
    ("no such function", "42883"),
    ("ambiguous column", "42702"),
)


class Result(NamedTuple):
    """The rows of a statement, and how many rows it met."""

    rows: list[tuple]
    row_count: int


class Types(NamedTuple):
    """What a statement takes and gives."""

    parameter_oids: list[int]
    fields: inference.Relation


Change = tuple[str, Sequence[values.Value]]


class Engine:
    """One backend server's data.

    Attributes:
      write_lock: Held by the transaction that uses `writer`.
      recovery_end_lsn: Where recovery ended at the last promotion, or None.
      table_statements: How many statements named a table of the callers.
      generation: Grows with each demotion, which ends all transactions.
      committed_event: Set, and replaced, when the log or the role changes.
    """

    def __init__(self, is_primary: bool):
        self.is_primary = is_primary
        self.history = [timelines.FIRST]
        self.records: list[timelines.Record] = []
        self.lsn = timelines.FIRST.start_lsn
        self.recovery_end_lsn: int | None = None
        self.received_lsn = timelines.FIRST.start_lsn
        self.is_streaming = False
        self.highest_timeline = timelines.FIRST.timeline
        self.generation = 0
        self.table_statements = 0
        self.now_s = time.time()
        self.caller: functions.Caller | None = None
        self.function_error: errors.SqlError | None = None
        self.cached_types: dict[tuple[str, bool], Types] = {}
        self.write_lock = asyncio.Lock()
        self.committed_event = asyncio.Event()
        self.committed = self.connect()
        self.writer = self.connect()

    @property
    def timeline(self) -> int:
        """Returns the timeline of the log's end."""
        return timelines.timeline_at(self.history, self.lsn)

    @property
    def received_timeline(self) -> int | None:
        """Returns the timeline received; None when no primary streams."""
        if not self.is_streaming:
            return None
        return timelines.timeline_at(self.history, self.received_lsn)

    def connect(self) -> sqlite3.Connection:
        """Returns a new empty database."""
        connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            cached_statements=CACHED_STATEMENTS,
        )
        connection.execute("PRAGMA foreign_keys = ON")
        connection.execute("PRAGMA case_sensitive_like = ON")
        functions.register(connection, self)
        return connection

    def infer_types(self, statement: sql.Statement, is_writing: bool) -> Types:
        """Returns the types of a statement, as the tables are now.

        Raises:
          errors.SqlError: It names a table or column that does not exist.
        """
        key = (statement.source, is_writing)
        found = self.cached_types.get(key)
        if found:
            return found
        database = self.writer if is_writing else self.committed

        def catalog(table: str) -> inference.Relation:
            return _columns(database, table)

        oids = parameter_types.parameter_oids(
            statement.node, statement.parameter_count, catalog
        )
        fields: inference.Relation = ()
        if statement.has_row_count:
            _check_names(database, statement)
            fields = inference.result_fields(statement.node, catalog)
        if len(self.cached_types) >= MAX_CACHED_TYPES:
            self.cached_types.clear()
        self.cached_types[key] = Types(oids, fields)
        return self.cached_types[key]

    def execute(
        self,
        statement: sql.Statement,
        parameters: Sequence[values.Value],
        is_writing: bool,
    ) -> Result:
        """Runs a statement on one of the databases.

        Raises:
          errors.SqlError: The statement failed and changed nothing.
        """
        database = self.writer if is_writing else self.committed
        if statement.kind is sql.Kind.WRITE and not statement.has_row_count:
            self.cached_types.clear()
        self.function_error = None
        rows: list[tuple] = []
        count = 0
        try:
            for text in statement.texts:
                cursor = database.execute(text, parameters)
                rows = cursor.fetchall()
                count = len(rows) if cursor.description else cursor.rowcount
        except (sqlite3.Error, OverflowError) as error:
            raise self.function_error or _sql_error(error) from error
        return Result(rows, count)

    def commit(self, now_s: float, changes: Sequence[Change]) -> None:
        """Ends the writing transaction and appends its record.

        Raises:
          errors.SqlError: A constraint refused it; it is still open.
        """
        try:
            self.writer.execute("COMMIT")
        except sqlite3.Error as error:
            raise _sql_error(error) from error
        if not changes:
            return
        payload = cbor2.dumps([now_s, changes])
        end_lsn = self.lsn + max(MIN_RECORD_BYTES, len(payload))
        self.append(timelines.Record(end_lsn, payload))

    def append(self, record: timelines.Record) -> None:
        """Replays a record and puts it at the end of the log."""
        self.replay(record)
        self.records.append(record)
        self.lsn = record.end_lsn
        self.received_lsn = max(self.received_lsn, self.lsn)
        self.notify()

    def replay(self, record: timelines.Record) -> None:
        """Runs the statements of a record on the committed data."""
        self.now_s, changes = cbor2.loads(record.payload)
        # Any other text may have changed a table.
        if any(not text.lower().startswith(_CHANGES) for text, _ in changes):
            self.cached_types.clear()
        self.committed.execute("BEGIN")
        for text, parameters in changes:
            self.committed.execute(text, parameters).fetchall()
        self.committed.execute("COMMIT")

    def notify(self) -> None:
        """Wakes all who wait for the log or the role to change."""
        event = self.committed_event
        self.committed_event = asyncio.Event()
        event.set()

    def records_after(self, lsn: int) -> list[timelines.Record]:
        """Returns the records that end behind `lsn`."""
        index = bisect.bisect_right(self.records, lsn, key=lambda x: x.end_lsn)
        return self.records[index:]

    def promote(self) -> None:
        """Makes the replica a primary, on a new timeline from here on."""
        timeline = max(self.timeline, self.highest_timeline) + 1
        # A follower knows of forks that its own log has not reached.
        reached = [x for x in self.history if x.start_lsn <= self.lsn]
        fork = timelines.Timeline(timeline, self.lsn, secrets.token_hex(8))
        self.history = [*reached, fork]
        self.highest_timeline = timeline
        self.is_streaming = False
        self.received_lsn = self.lsn
        self.recovery_end_lsn = self.lsn
        self.reset_writer()
        self.is_primary = True
        self.notify()

    def demote(self) -> None:
        """Makes the primary a replica; the open transaction is lost."""
        self.is_primary = False
        self.generation += 1
        self.write_lock = asyncio.Lock()
        self.reset_writer()
        self.notify()

    def reset_writer(self) -> None:
        """Gives the writer's database the committed data."""
        self.cached_types.clear()
        self.writer = self.connect()
        self.committed.backup(self.writer)

    def adopt_history(
        self, history: Sequence[timelines.Timeline], common_lsn: int
    ) -> None:
        """Takes over a primary's history, without what lies behind it.

        Args:
          history: The history of the primary.
          common_lsn: The last position that both logs share.
        """
        self.history = list(history)
        self.received_lsn = min(self.lsn, common_lsn)
        if self.lsn <= common_lsn:
            return
        kept = len(self.records) - len(self.records_after(common_lsn))
        del self.records[kept:]
        self.lsn = common_lsn
        self.committed = self.connect()
        self.cached_types.clear()
        for record in self.records:
            self.replay(record)


def _check_names(
    database: sqlite3.Connection, statement: sql.Statement
) -> None:
    parameters = [None] * statement.parameter_count
    try:
        # EXPLAIN compiles a statement without running it.
        database.execute(f"EXPLAIN {statement.texts[0]}", parameters)
    except sqlite3.Error as error:
        raise _sql_error(error) from error


def _columns(database: sqlite3.Connection, table: str) -> inference.Relation:
    if table in functions.VIEWS:
        return functions.VIEWS[table]
    fields = []
    quoted = table.replace('"', '""')
    for row in database.execute(f'PRAGMA table_info("{quoted}")'):
        fields.append(inference.Field(row[1], values.type_oid(row[2])))
    return tuple(fields)


def _sql_error(error: Exception) -> errors.SqlError:
    message = str(error)
    if isinstance(error, OverflowError):
        return errors.SqlError("22003", message)
    for part, sqlstate in _MESSAGE_CODES:
        if part in message:
            return errors.SqlError(sqlstate, message)
    return errors.SqlError("42601", message)
