"""The extended query protocol of one session: Parse, Bind, Execute."""

from collections.abc import AsyncIterator, Iterator

from cuminwall import exceptions, wire
from cuminwall_standins import (
    errors,
    executor,
    inference,
    messages,
    sql,
    values,
)


class Portal:
    """A bound statement and the rows not yet sent."""

    def __init__(
        self,
        prepared: executor.Prepared,
        parameters: list[values.Value],
        formats: tuple[int, ...],
    ):
        self.prepared = prepared
        self.parameters = parameters
        self.formats = formats
        self.outcome: executor.Outcome | None = None
        self.sent = 0


class Extended:
    """The portals of one session, and the messages about them.

    Each handler yields the messages of its answer.
    """

    def __init__(self, runner: executor.Executor):
        self.executor = runner
        self.portals: dict[str, Portal] = {}
        self.handlers = {
            b"P": self.on_parse,
            b"B": self.on_bind,
            b"D": self.on_describe,
            b"C": self.on_close,
        }

    async def handle(self, message: wire.Message) -> AsyncIterator[bytes]:
        """Yields the answer to a message.

        Raises:
          errors.SqlError: The message failed.
          exceptions.ProtocolError: There is no such message.
        """
        if message.tag == b"E":
            async for part in self.on_execute(message.payload):
                yield part
            return
        if message.tag not in self.handlers:
            raise exceptions.ProtocolError(f"message {message.tag!r}")
        for part in self.handlers[message.tag](message.payload):
            yield part

    def on_parse(self, payload: bytes) -> Iterator[bytes]:
        """Prepares a statement."""
        request = messages.read_parse(payload)
        if request.name and request.name in self.executor.prepared:
            raise errors.SqlError(
                "42P05", f'prepared statement "{request.name}" already exists'
            )
        statements = sql.parse(request.text)
        if len(statements) > 1:
            raise errors.SqlError(
                "42601", "cannot insert multiple commands into a statement"
            )
        statement = statements[0] if statements else None
        oids: list[int] = []
        if statement is not None:
            self.executor.check_accepted(statement)
            oids = self.parameter_oids(statement, request.type_oids)
        self.executor.prepared[request.name] = executor.Prepared(
            statement, oids
        )
        yield messages.PARSE_COMPLETE

    def parameter_oids(
        self, statement: sql.Statement, given: tuple[int, ...]
    ) -> list[int]:
        """Returns the types of the parameters, those given first."""
        if not statement.texts:
            return []
        types = self.executor.data.infer_types(
            statement, self.executor.is_writing
        )
        oids = list(types.parameter_oids)
        for index, oid in enumerate(given[: len(oids)]):
            if oid not in (0, values.UNKNOWN):
                oids[index] = oid
        return oids

    def on_bind(self, payload: bytes) -> Iterator[bytes]:
        """Binds parameters to a prepared statement."""
        request = messages.read_bind(payload)
        prepared = self.find_prepared(request.statement)
        if len(request.values) != len(prepared.type_oids):
            raise errors.SqlError(
                "08P01", "bind message supplies a wrong number of parameters"
            )
        if prepared.statement is not None:
            self.executor.check_accepted(prepared.statement)
        parameters = []
        for index, value in enumerate(request.values):
            code = messages.format_at(request.formats, index)
            oid = prepared.type_oids[index]
            parameters.append(values.decode(value, oid, code))
        portal = Portal(prepared, parameters, request.result_formats)
        self.portals[request.portal] = portal
        yield messages.BIND_COMPLETE

    def on_describe(self, payload: bytes) -> Iterator[bytes]:
        """Describes a prepared statement or a portal."""
        target = messages.read_target(payload)
        formats: tuple[int, ...] = ()
        if target.kind == b"S":
            prepared = self.find_prepared(target.name)
            oids = prepared.type_oids
            yield messages.parameter_description(oids)
        else:
            portal = self.find_portal(target.name)
            prepared = portal.prepared
            formats = portal.formats
        fields = self.fields_of(prepared)
        if fields:
            yield row_description(fields, formats)
        else:
            yield messages.NO_DATA

    def fields_of(self, prepared: executor.Prepared) -> inference.Relation:
        """Returns the columns that a prepared statement gives."""
        statement = prepared.statement
        if statement is None:
            return ()
        if not statement.texts:
            return executor.session_fields(statement.node)
        is_writing = self.executor.is_writing
        return self.executor.data.infer_types(statement, is_writing).fields

    async def on_execute(self, payload: bytes) -> AsyncIterator[bytes]:
        """Runs a portal, or goes on with its rows."""
        request = messages.read_execute(payload)
        portal = self.find_portal(request.portal)
        statement = portal.prepared.statement
        if statement is None:
            yield messages.EMPTY_QUERY
            return
        if portal.outcome is None:
            portal.outcome = await self.executor.run(
                statement, portal.parameters
            )
        outcome = portal.outcome
        start = portal.sent
        portal.sent = len(outcome.rows)
        if request.max_rows:
            portal.sent = min(portal.sent, start + request.max_rows)
        for row in data_rows(outcome, portal.formats, start, portal.sent):
            yield row
        # A server can't know the end before it has looked for one more row.
        if request.max_rows and portal.sent - start == request.max_rows:
            yield messages.PORTAL_SUSPENDED
            return
        tag = outcome.tag
        if start and outcome.tag.startswith("SELECT"):
            tag = f"SELECT {portal.sent - start}"
        yield wire.command_complete(tag)

    def on_close(self, payload: bytes) -> Iterator[bytes]:
        """Forgets a prepared statement or a portal."""
        target = messages.read_target(payload)
        if target.kind == b"S":
            self.executor.prepared.pop(target.name, None)
        else:
            self.portals.pop(target.name, None)
        yield messages.CLOSE_COMPLETE

    def find_prepared(self, name: str) -> executor.Prepared:
        """Returns a prepared statement.

        Raises:
          errors.SqlError: There is none of this name.
        """
        if name in self.executor.prepared:
            return self.executor.prepared[name]
        raise errors.SqlError(
            "26000", f'prepared statement "{name}" does not exist'
        )

    def find_portal(self, name: str) -> Portal:
        """Returns a portal.

        Raises:
          errors.SqlError: There is none of this name.
        """
        if name in self.portals:
            return self.portals[name]
        raise errors.SqlError("34000", f'portal "{name}" does not exist')


def row_description(
    fields: inference.Relation, formats: tuple[int, ...]
) -> bytes:
    """Returns the RowDescription of a result."""
    columns = []
    for index, field in enumerate(fields):
        code = messages.format_at(formats, index)
        columns.append(wire.Column(field.name, field.oid, code))
    return wire.row_description(columns)


def data_rows(
    outcome: executor.Outcome,
    formats: tuple[int, ...],
    start: int,
    end: int | None,
) -> Iterator[bytes]:
    """Yields some rows of a result as DataRow messages."""
    columns = []
    for index, field in enumerate(outcome.fields):
        columns.append((field.oid, messages.format_at(formats, index)))
    for row in outcome.rows[start:end]:
        cells = []
        for value, (oid, code) in zip(row, columns, strict=True):
            cells.append(values.encode(value, oid, code))
        yield wire.data_row(cells)
