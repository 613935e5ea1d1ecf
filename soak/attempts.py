"""One attempt at an operation: its statements, in their order."""

import asyncio
from collections.abc import Callable

from soak import drawing, records
from soak.caller_sessions import Caller, Statement
from soak.drawing import Operation, Prepared

SESSION_VERBS = ("SET", "PREPARE", "DEALLOCATE")


class Attempt:
    """An attempt at an operation on a session.

    Attributes:
      number: The attempt, among all of the callers.
      transaction: The caller's transaction, or records.NO_TRANSACTION.
      is_decided: Whether its COMMIT or its single write was sent.
      is_over: Whether the session must be closed.
    """

    def __init__(
        self,
        caller: Caller,
        operation: Operation,
        number: int,
        make_id: Callable[[], str],
        make_item: Callable[[int], str],
    ):
        self.caller = caller
        self.operation = operation
        self.number = number
        self.transaction = number if operation.begin else records.NO_TRANSACTION
        self.make_id = make_id
        self.make_item = make_item
        self.prepared = dict(caller.prepared)
        self.is_decided = False
        self.is_over = False

    async def run(self) -> str:
        """Runs it; returns the code of its first error, or "".

        Raises:
          LostError: The connection ended.
        """
        statements = self._make_statements()
        end = self.operation.end if self.operation.begin else drawing.COMMIT
        if end == drawing.LEAVE:
            self.is_over = True
        if self.operation.is_together:
            code = await self._run_together(statements)
        else:
            code = await self._run_one_by_one(statements)
        if self.is_over:
            return code
        if self.caller.state != "I":
            text = self._make(b"ROLLBACK", self.transaction)
            await self.caller.ask(text, False)
            self.is_over = self.caller.state != "I"
        return code

    async def _run_together(self, statements: list[Statement]) -> str:
        """Sends all statements at once; a caller that leaves doesn't wait."""
        self.is_decided = any(self._decides(each) for each in statements)
        await self.caller.send(statements, self.operation.is_in_pieces)
        if self.is_over:
            return ""
        first_code = ""
        for statement in statements:
            code = await self.caller.receive()
            first_code = first_code or code
            if code and statement.verb in SESSION_VERBS:
                self.is_over = True
        return first_code

    async def _run_one_by_one(self, statements: list[Statement]) -> str:
        for statement in statements:
            await asyncio.sleep(self.operation.pause_s)
            self.is_decided = self.is_decided or self._decides(statement)
            code = await self.caller.ask(statement, self.operation.is_in_pieces)
            if code and statement.verb in SESSION_VERBS:
                self.is_over = True
            if code:
                return code
        return ""

    def _decides(self, statement: Statement) -> bool:
        """Returns whether a statement may make a write take effect."""
        if statement.verb == "COMMIT":
            return True
        return not self.operation.begin and statement.writes

    def _make(
        self, text: bytes, transaction: int, prepared: Prepared | None = None
    ) -> Statement:
        return Statement(
            self.make_id(), text, self.number, transaction, prepared
        )

    def _make_statements(self) -> list[Statement]:
        """Returns all statements of the attempt."""
        operation = self.operation
        settings = []
        for name, value in operation.settings:
            text = b"SET " + name + b" " + value
            settings.append(self._make(text, records.NO_TRANSACTION))
        statements = self._deallocate() if operation.deallocates else []
        if not operation.sets_inside:
            statements.extend(settings)
        if operation.begin:
            statements.append(self._make(operation.begin, self.transaction))
        if operation.sets_inside:
            statements.extend(settings)
        for index in range(len(operation.steps)):
            statements.extend(self._make_step(index))
        if operation.begin and operation.end != drawing.LEAVE:
            end = operation.end.encode()
            statements.append(self._make(end, self.transaction))
        return statements

    def _deallocate(self) -> list[Statement]:
        """Returns statements that drop a prepared statement, if any is."""
        for name, prepared in self.prepared.items():
            del self.prepared[name]
            text = b"DEALLOCATE " + name
            return [self._make(text, records.NO_TRANSACTION, prepared)]
        return []

    def _make_step(self, index: int) -> list[Statement]:
        """Returns a read or write, after the PREPARE that it needs."""
        step = self.operation.steps[index]
        result = []
        found = step.prepared
        if found is not None and self.prepared.get(found.name) != found:
            self.prepared[found.name] = found
            kind = b"WRITE " if found.writes else b"READ "
            text = b"PREPARE " + found.name + b" " + kind + found.shape
            result.append(self._make(text, records.NO_TRANSACTION, found))
        number = self.make_id()
        text = drawing.render_step(step, self.make_item(index), len(number))
        result.append(
            Statement(number, text, self.number, self.transaction, found)
        )
        return result
