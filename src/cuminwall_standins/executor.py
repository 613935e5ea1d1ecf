"""Runs the statements of one session in its transactions."""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import Any, NamedTuple

from pglast import ast, enums

from cuminwall_standins import (
    engine,
    errors,
    inference,
    settings,
    sql,
    transactions,
    values,
)

_KINDS = enums.TransactionStmtKind
_BEGINS = (_KINDS.TRANS_STMT_BEGIN, _KINDS.TRANS_STMT_START)
_ENDS = (
    _KINDS.TRANS_STMT_COMMIT,
    _KINDS.TRANS_STMT_ROLLBACK,
    _KINDS.TRANS_STMT_ROLLBACK_TO,
)
_NO_OPERATIONS = {
    ast.ClosePortalStmt: "CLOSE CURSOR",
    ast.UnlistenStmt: "UNLISTEN",
}


class Outcome(NamedTuple):
    """What a statement gave; without fields it has no rows to send."""

    rows: list[tuple]
    fields: inference.Relation
    tag: str


class Prepared(NamedTuple):
    """A prepared statement; without a statement it is empty."""

    statement: sql.Statement | None
    type_oids: list[int]


class Executor:
    """The state of one session's transactions and settings.

    Attributes:
      in_block: Whether the client opened the transaction with BEGIN.
      has_failed: Whether only the end of the transaction is accepted.
      waiting: What a cancel request would interrupt.
      sleep_s: What pg_sleep() asked for, in seconds.
      prepared: The prepared statements by name.
    """

    def __init__(
        self,
        data: engine.Engine,
        process_id: int,
        user: str,
        initial: dict[str, str],
    ):
        self.data = data
        self.process_id = process_id
        self.user = user
        self.settings = settings.Settings(initial)
        self.transaction: transactions.Transaction | None = None
        self.in_block = False
        self.has_failed = False
        self.waiting: asyncio.Future | None = None
        self.sleep_s = 0.0
        self.prepared: dict[str, Prepared] = {}

    @property
    def status(self) -> bytes:
        """Returns the transaction status of a ReadyForQuery."""
        if not self.in_block:
            return b"I"
        return b"E" if self.has_failed else b"T"

    @property
    def is_writing(self) -> bool:
        """Returns whether the open transaction holds the writer's lock."""
        return self.transaction is not None and self.transaction.is_writing

    def check_accepted(self, statement: sql.Statement) -> None:
        """Refuses what a failed transaction does not take.

        Raises:
          errors.SqlError: Only the end of the transaction is accepted.
        """
        if not self.has_failed:
            return
        is_control = statement.kind is sql.Kind.TRANSACTION
        if is_control and statement.node.kind in _ENDS:
            return
        raise errors.SqlError(
            "25P02", "current transaction is aborted until it ends"
        )

    async def run(
        self, statement: sql.Statement, parameters: Sequence[values.Value]
    ) -> Outcome:
        """Runs one statement.

        Raises:
          errors.SqlError: It failed; `fail` must be called.
        """
        self.check_accepted(statement)
        if statement.kind is sql.Kind.TRANSACTION:
            return Outcome([], (), self.control(statement.node))
        if statement.kind is sql.Kind.SESSION:
            return self.run_session(statement.node)
        self.data.table_statements += statement.uses_table
        transaction = self.open_transaction()
        if statement.kind is not sql.Kind.READ:
            transaction.check_writable(statement)
            if not transaction.is_writing:
                await self.interruptible(transaction.begin_writing())
        fields = self.data.infer_types(statement, transaction.is_writing).fields
        self.data.caller = self
        result = transaction.execute(statement, parameters)
        if self.sleep_s:
            duration_s, self.sleep_s = self.sleep_s, 0.0
            await self.interruptible(asyncio.sleep(duration_s))
        if result.rows and len(result.rows[0]) != len(fields):
            raise errors.SqlError("0A000", "these columns are not supported")
        tag = statement.tag
        if statement.has_row_count:
            tag = f"{tag} {result.row_count}"
        return Outcome(result.rows, fields, tag)

    def open_transaction(self) -> transactions.Transaction:
        """Returns the open transaction, or a new one."""
        if self.transaction is None:
            mode = self.settings.values["default_transaction_read_only"]
            self.transaction = transactions.Transaction(
                self.data, mode in ("on", "true", "1")
            )
            self.settings.begin()
        return self.transaction

    async def interruptible(self, awaitable: Awaitable[None]) -> None:
        """Waits in a way that `cancel` can end.

        Raises:
          errors.SqlError: The client cancelled the statement.
        """
        waiting = asyncio.ensure_future(awaitable)
        self.waiting = waiting
        try:
            await waiting
        except asyncio.CancelledError:
            # The session's own end cancels the task that waits here too.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                waiting.cancel()
                raise
            raise errors.SqlError(
                "57014", "canceling statement due to user request"
            ) from None
        finally:
            self.waiting = None

    def cancel(self) -> None:
        """Interrupts the statement that waits, if one does."""
        if self.waiting:
            self.waiting.cancel()

    def fail(self) -> None:
        """Takes note that a statement failed."""
        if self.in_block:
            self.has_failed = True
        else:
            self.end(is_committed=False)

    def finish_implicit(self) -> None:
        """Commits the transaction that no BEGIN opened."""
        if not self.in_block:
            self.end(is_committed=True)

    def end(self, is_committed: bool) -> None:
        """Commits or rolls back, and leaves the block."""
        transaction, self.transaction = self.transaction, None
        self.in_block = False
        self.has_failed = False
        if transaction is None:
            return
        try:
            if is_committed:
                transaction.commit()
        finally:
            transaction.rollback()
            self.settings.end(is_committed)

    def control(self, node: Any) -> str:
        """Carries out BEGIN, COMMIT and their kin; returns the tag."""
        if node.kind in _BEGINS:
            return self.begin(node)
        if node.kind is _KINDS.TRANS_STMT_COMMIT:
            has_failed = self.has_failed
            self.end(is_committed=not has_failed)
            return "ROLLBACK" if has_failed else "COMMIT"
        if node.kind is _KINDS.TRANS_STMT_ROLLBACK:
            self.end(is_committed=False)
            return "ROLLBACK"
        if not self.in_block or self.transaction is None:
            raise errors.SqlError("25P01", "there is no transaction block")
        if node.kind is _KINDS.TRANS_STMT_SAVEPOINT:
            self.transaction.set_savepoint(node.savepoint_name)
            return "SAVEPOINT"
        if node.kind is _KINDS.TRANS_STMT_RELEASE:
            self.transaction.release_savepoint(node.savepoint_name)
            return "RELEASE"
        if node.kind is _KINDS.TRANS_STMT_ROLLBACK_TO:
            self.transaction.rollback_to(node.savepoint_name)
            self.has_failed = False
            return "ROLLBACK"
        raise errors.SqlError("0A000", f"{node.kind.name} is not supported")

    def begin(self, node: Any) -> str:
        """Opens a transaction block."""
        transaction = self.open_transaction()
        transaction.is_read_only = settings.is_read_only(
            node.options, transaction.is_read_only
        )
        self.in_block = True
        return "BEGIN"

    def run_session(self, node: Any) -> Outcome:
        """Carries out SET, SHOW and their kin."""
        if isinstance(node, ast.DeallocateStmt):
            self.deallocate(node.name)
            return Outcome([], (), "DEALLOCATE")
        for kind, tag in _NO_OPERATIONS.items():
            if isinstance(node, kind):
                return Outcome([], (), tag)
        fields = session_fields(node)
        if fields:
            value = self.show(node.name)
            return Outcome([(value,)], fields, "SHOW")
        if isinstance(node, ast.VariableSetStmt) and node.name == "TRANSACTION":
            transaction = self.open_transaction()
            transaction.is_read_only = settings.is_read_only(
                node.args, transaction.is_read_only
            )
            return Outcome([], (), "SET")
        if isinstance(node, ast.DiscardStmt) and self.in_block:
            raise errors.SqlError(
                "25001", "DISCARD ALL cannot run inside a transaction block"
            )
        if isinstance(node, ast.DiscardStmt):
            self.prepared.clear()
        self.open_transaction()
        return Outcome([], (), self.settings.apply(node))

    def deallocate(self, name: str | None) -> None:
        """Forgets one prepared statement, or all."""
        if name is None:
            self.prepared.clear()
            return
        if self.prepared.pop(name, None) is None:
            raise errors.SqlError(
                "26000", f'prepared statement "{name}" does not exist'
            )

    def show(self, name: str) -> str:
        """Returns the value of a setting or a state."""
        if name == "in_hot_standby":
            return "off" if self.data.is_primary else "on"
        if name == "transaction_read_only":
            transaction = self.transaction
            is_only = transaction is not None and transaction.is_read_only
            is_only = is_only or not self.data.is_primary
            return "on" if is_only else "off"
        return self.settings.show(name)


def session_fields(node: Any) -> inference.Relation:
    """Returns the columns of a statement about the session."""
    if isinstance(node, ast.VariableShowStmt):
        return (inference.Field(node.name or "", values.TEXT),)
    return ()
