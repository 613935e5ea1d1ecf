"""Cuts a caller's messages into rounds, one at a time. Pure: no I/O.

Prepared statements get names derived from their content, so that they can be
made again on whatever server connection runs the next round. Statements and
settings count for the session once the server has answered that they do.
"""

import hashlib
import struct
from collections.abc import Iterable
from typing import NamedTuple

from cuminwall import (
    answers,
    exceptions,
    outcomes,
    session_effects,
    session_settings,
    statements,
    wire,
    work,
)

MAX_ROUND_BYTES = 16 * 1024 * 1024
MAX_STATEMENTS = 1000
MAX_PORTALS = 1000
MAX_SETTINGS = 100
MAX_SETTING_CHARACTERS = 4096
MESSAGE_OVERHEAD_BYTES = 256

STATEMENT_PREFIX = "cw_"
# No statement has this name, so a Close of it only yields a CloseComplete.
ABSENT_STATEMENT = "cw_absent"

_STATUS_IDLE = b"I"
_COPY_TAGS = frozenset({b"d", b"c", b"f"})
_INT16 = struct.Struct("!h")


class Limits(NamedTuple):
    """What one session may keep.

    Attributes:
      round_bytes: Bytes of the messages of one round.
      statements: Prepared statements.
      portals: Open portals.
    """

    round_bytes: int = MAX_ROUND_BYTES
    statements: int = MAX_STATEMENTS
    portals: int = MAX_PORTALS


DEFAULT_LIMITS = Limits()


class Known(NamedTuple):
    """A statement that the caller prepared."""

    prepared: work.Prepared
    statement: statements.Statement


class Mark(NamedTuple):
    """What the session takes over with one completion from the server.

    Attributes:
      tag: The tag of the completion: b"1", b"3", or b"C" for a statement.
      effects: The effects of a statement.
      name: The caller's name of the statement made or closed, or None.
      known: The statement made.
    """

    tag: bytes
    effects: tuple[session_effects.SessionEffect, ...] = ()
    name: str | None = None
    known: Known | None = None


class RoundReady(NamedTuple):
    """A round to run.

    Attributes:
      round_: The round.
      marks: What the completions bring, in order.
      token: A session token to take over first, or "".
      watched: Whether the server's answer must be read.
      muted: Whether to drop the warning that our SET LOCAL causes.
    """

    round_: work.Round
    marks: tuple[Mark, ...]
    token: str = ""
    watched: bool = False
    muted: bool = False


class LocalAnswer(NamedTuple):
    """Messages answered without a server.

    Attributes:
      data: The answer, without ReadyForQuery.
      synced: Whether a ReadyForQuery follows.
      token: A session token to take over first, or "".
    """

    data: bytes
    synced: bool
    token: str = ""


class Refused(NamedTuple):
    """Messages that are answered with an error; none of the round is sent.

    Attributes:
      failure: The typed failure.
      detail: What caused it, for the caller.
      synced: Whether a ReadyForQuery follows.
      closing: A Sync to run first, after an earlier Flush; or None.
    """

    failure: outcomes.Failure
    detail: str
    synced: bool
    closing: RoundReady | None = None


Cut = RoundReady | LocalAnswer | Refused


class _Refusal(NamedTuple):
    failure: outcomes.Failure
    detail: str


class _Building:
    """The round under construction."""

    __slots__ = (
        "access",
        "begins",
        "bytes",
        "executes",
        "marks",
        "max_age_s",
        "muted",
        "only_ends",
        "overlay",
        "parsed",
        "portals",
        "prepared",
        "request_id",
        "steps",
        "tables",
        "token",
        "writes",
    )

    def __init__(self, max_age_s: float | None, request_id: str):
        self.access = work.Access.READ
        self.begins = False
        self.bytes = 0
        self.executes = False
        self.marks: list[Mark] = []
        self.max_age_s = max_age_s
        self.muted = False
        self.only_ends = False
        self.overlay: dict[str, Known | None] = {}
        self.parsed: set[str] = set()
        self.portals: dict[str, statements.Statement | None] = {}
        self.prepared: dict[str, work.Prepared] = {}
        self.request_id = request_id
        self.steps: list[work.Step] = []
        self.tables: dict[str, None] = {}
        self.token = ""
        self.writes = False

    def use(self, statement: statements.Statement) -> None:
        """Takes over what a statement means for the whole round."""
        self.access = max(self.access, statement.access)
        self.tables.update(dict.fromkeys(statement.tables))

    def execute(
        self, statement: statements.Statement, parts: Iterable[tuple]
    ) -> None:
        """Takes over that a statement is run, with one mark for each part."""
        self.use(statement)
        is_first = not self.executes
        self.only_ends = _is_end(statement) and (is_first or self.only_ends)
        self.executes = True
        self.begins = self.begins or statement.begins
        self.writes = self.writes or statement.writes
        for effects in parts:
            self.marks.append(Mark(b"C", effects))
            for effect in effects:
                self.take_own(effect)

    def take_own(self, effect: session_effects.SessionEffect) -> None:
        """Applies one of cuminwall's own settings, from this round on."""
        if isinstance(effect, session_effects.TokenBrought):
            self.token = effect.token
        elif isinstance(effect, session_effects.MaxAgeChanged):
            self.max_age_s = effect.max_age_s
        elif isinstance(effect, session_effects.RequestIdGiven):
            self.request_id = effect.request_id
        elif isinstance(effect, session_effects.SettingChanged):
            self.muted = True


def _is_end(statement: statements.Statement) -> bool:
    """Returns whether a statement does nothing but end a transaction."""
    is_alone = len(statement.effects) == 1
    return statement.ends and is_alone and not statement.begins


class SessionRounds:
    """Cuts one session's messages and keeps what the session has prepared.

    `add` takes messages until it returns a Cut. A RoundReady must be ended by
    `finish` before the next message is added.

    Attributes:
      status: The transaction status last reported to the caller.
      skipping: Whether messages are dropped up to the next Sync.
      unsynced: Whether the server waits for a Sync after a Flush.
      executed: Whether statements ran since the last Sync.
      failed: Whether a round failed since the last Sync.
    """

    __slots__ = (
        "building",
        "cache",
        "executed",
        "failed",
        "limits",
        "max_age_s",
        "portals",
        "request_id",
        "settings",
        "skipping",
        "statements",
        "status",
        "unsynced",
    )

    def __init__(
        self,
        cache: statements.StatementCache,
        startup: dict[str, str] | None = None,
        max_age_s: float | None = None,
        limits: Limits = DEFAULT_LIMITS,
    ):
        self.building: _Building | None = None
        self.cache = cache
        self.executed = False
        self.failed = False
        self.limits = limits
        self.max_age_s = max_age_s
        self.portals: dict[str, statements.Statement] = {}
        self.request_id = ""
        self.settings = session_settings.SessionSettings(startup or {})
        self.skipping = False
        self.statements: dict[str, Known] = {}
        self.status = _STATUS_IDLE
        self.unsynced = False

    def add(self, message: wire.Message) -> Cut | None:
        """Returns what the round became if `message` ends it, else None.

        Raises:
          exceptions.ProtocolError: The message is malformed or unknown.
        """
        tag = message.tag
        if tag in _COPY_TAGS:
            return None
        if self.skipping:
            return self._skip(tag)
        building = self.building
        if building is None:
            building = _Building(self.max_age_s, self.request_id)
            self.building = building
        building.bytes += len(message.payload) + MESSAGE_OVERHEAD_BYTES
        if building.bytes > self.limits.round_bytes and tag != b"S":
            failure = outcomes.ROUND_TOO_LARGE
            return self._refuse(_Refusal(failure, ""), tag)
        handler = _HANDLERS.get(tag)
        if handler is None:
            raise exceptions.ProtocolError(f"unknown message {tag!r}")
        try:
            refusal = handler(self, building, message.payload)
        except struct.error as error:
            raise exceptions.ProtocolError(f"malformed {tag!r}") from error
        if refusal is not None:
            return self._refuse(refusal, tag)
        if tag not in _ENDING_TAGS:
            return None
        return self._end(building, tag)

    def _skip(self, tag: bytes) -> Cut | None:
        """Drops messages after a failure, up to a Sync."""
        if tag != b"S":
            return None
        self.skipping = False
        if self.unsynced:
            return self._closing_sync()
        return LocalAnswer(b"", synced=True)

    def _closing_sync(self) -> RoundReady:
        round_ = work.Round(work.Access.READ, (work.Step(wire.sync()),))
        return RoundReady(round_, (), watched=True)

    def _refuse(self, refusal: _Refusal, tag: bytes) -> Refused:
        """Ends the round with an error; the server gets nothing of it."""
        self.building = None
        # A Query or function call is followed by ReadyForQuery at once.
        synced = tag in _SELF_CONTAINED_TAGS
        if self.unsynced and self.executed:
            failure = outcomes.REFUSED_IN_PIPELINE
            return Refused(failure, refusal.failure.reason, synced)
        closing = None
        if synced and self.unsynced:
            closing = self._closing_sync()
        self.skipping = not synced
        return Refused(refusal.failure, refusal.detail, synced, closing)

    def _end(self, building: _Building, tag: bytes) -> Cut:
        """Returns the round that `tag` ends."""
        self.building = None
        synced = tag != b"H"
        bare_sync = tag == b"S" and len(building.steps) == 1
        for_server = building.steps and not bare_sync
        if not for_server and not (synced and self.unsynced):
            return self._answer_locally(building, synced)
        self._keep_own(building)
        self._keep_portals(building)
        access = building.access
        if self._is_serializable():
            # A replica refuses to run these.
            access = work.Access.WRITE
        is_read = access is work.Access.READ
        request_id = ""
        if building.writes:
            request_id = self.request_id
            self.request_id = ""
        round_ = work.Round(
            access=access,
            steps=tuple(building.steps),
            prepared=tuple(building.prepared.values()),
            synced=synced,
            begins=building.begins,
            ends_transaction=building.only_ends,
            settings=tuple(self.settings.in_force.items()),
            max_age_s=self.max_age_s,
            tables=tuple(building.tables) if is_read else (),
            request_id=request_id,
        )
        self.executed = self.executed or building.executes
        return RoundReady(
            round_,
            tuple(building.marks),
            token=building.token,
            watched=self._is_watched(building, synced),
            muted=building.muted,
        )

    def _answer_locally(self, building: _Building, synced: bool) -> LocalAnswer:
        """Answers a round that no server needs to see."""
        self._keep_own(building)
        data = wire.command_complete("SET") * len(building.marks)
        return LocalAnswer(data, synced, building.token)

    def _keep_own(self, building: _Building) -> None:
        self.max_age_s = building.max_age_s
        self.request_id = building.request_id

    def _is_serializable(self) -> bool:
        name = "default_transaction_isolation"
        return self.settings.in_force.get(name) == "serializable"

    def _is_watched(self, building: _Building, synced: bool) -> bool:
        """Returns whether the session depends on the server's answer."""
        if not synced or self.unsynced or not self.settings.is_quiet():
            return True
        return any(mark.effects or mark.tag != b"C" for mark in building.marks)

    def _find(self, building: _Building, name: str) -> Known | None:
        if name in building.overlay:
            return building.overlay[name]
        return self.statements.get(name)

    def _find_portal(
        self, building: _Building, name: str
    ) -> statements.Statement:
        """Returns the statement of a portal; it may be a declared cursor."""
        if name in building.portals:
            return building.portals[name] or _UNKNOWN_PORTAL
        return self.portals.get(name, _UNKNOWN_PORTAL)

    def _keep_portals(self, building: _Building) -> None:
        for name, statement in building.portals.items():
            if statement is None:
                self.portals.pop(name, None)
            else:
                self.portals[name] = statement

    def add_query(self, building: _Building, payload: bytes) -> _Refusal | None:
        """Adds a simple Query."""
        sql, _ = wire.read_cstring(payload)
        statement = self.cache.classify(sql)
        refusal = self._check(statement)
        if refusal is not None:
            return refusal
        building.execute(statement, statement.effects)
        if statement.local and not building.steps and not self.unsynced:
            return None
        message = wire.query(statement.sql)
        building.steps.append(work.Step(message))
        return None

    def _check(self, statement: statements.Statement) -> _Refusal | None:
        """Returns why a statement is not carried, or None."""
        if statement.refusal is not None:
            return _Refusal(*statement.refusal)
        settings = self.settings.view()
        for effects in statement.effects:
            for effect in effects:
                if not isinstance(effect, session_effects.SettingChanged):
                    continue
                if len(effect.value or "") > MAX_SETTING_CHARACTERS:
                    return _Refusal(outcomes.BAD_SETTING, "too long")
                if effect.name in settings or len(settings) < MAX_SETTINGS:
                    continue
                return _Refusal(outcomes.BAD_SETTING, "too many settings")
        return None

    def add_parse(self, building: _Building, payload: bytes) -> _Refusal | None:
        """Adds a Parse under a name derived from its content."""
        name, offset = wire.read_cstring(payload)
        sql, offset = wire.read_cstring(payload, offset)
        (count,) = _INT16.unpack_from(payload, offset)
        type_oids = struct.unpack_from(
            f"!{max(count, 0)}I", payload, offset + 2
        )
        statement = self.cache.classify(sql)
        refusal = self._check(statement)
        if refusal is not None:
            return refusal
        if name and self._find(building, name) is not None:
            return _Refusal(outcomes.DUPLICATE_STATEMENT, name)
        kept = len(self.statements) + len(building.overlay)
        if name not in self.statements and kept >= self.limits.statements:
            return _Refusal(outcomes.TOO_MANY_STATEMENTS, "")
        prepared = prepare(statement.sql, type_oids)
        known = Known(prepared, statement)
        building.overlay[name] = known
        building.use(statement)
        building.marks.append(Mark(b"1", name=name, known=known))
        server_name = prepared.name
        if server_name in building.parsed:
            # The server has it by now; this only checks and is answered.
            server_name = ""
        message = wire.parse_message(server_name, statement.sql, type_oids)
        building.steps.append(work.Step(message, server_name))
        building.parsed.add(prepared.name)
        return None

    def add_bind(self, building: _Building, payload: bytes) -> _Refusal | None:
        """Adds a Bind of a known statement."""
        portal, offset = wire.read_cstring(payload)
        name, offset = wire.read_cstring(payload, offset)
        known = self._find(building, name)
        if known is None:
            return _Refusal(outcomes.UNKNOWN_STATEMENT, name)
        kept = len(self.portals) + len(building.portals)
        if portal not in self.portals and kept >= self.limits.portals:
            return _Refusal(outcomes.TOO_MANY_STATEMENTS, "")
        building.portals[portal] = known.statement
        self._need(building, known)
        body = wire.cstring(portal) + wire.cstring(known.prepared.name)
        message = wire.Message(b"B", body + payload[offset:])
        building.steps.append(work.Step(message.encode()))
        return None

    def _need(self, building: _Building, known: Known) -> None:
        """Notes that the round uses a statement."""
        building.use(known.statement)
        name = known.prepared.name
        if name not in building.parsed:
            building.prepared[name] = known.prepared

    def add_describe(
        self, building: _Building, payload: bytes
    ) -> _Refusal | None:
        """Adds a Describe of a statement or portal."""
        kind = payload[:1]
        name, _ = wire.read_cstring(payload, 1)
        if kind == b"S":
            known = self._find(building, name)
            if known is None:
                return _Refusal(outcomes.UNKNOWN_STATEMENT, name)
            self._need(building, known)
            payload = kind + wire.cstring(known.prepared.name)
        else:
            building.use(self._find_portal(building, name))
        building.steps.append(work.Step(wire.Message(b"D", payload).encode()))
        return None

    def add_execute(
        self, building: _Building, payload: bytes
    ) -> _Refusal | None:
        """Adds an Execute."""
        name, offset = wire.read_cstring(payload)
        struct.unpack_from("!i", payload, offset)
        statement = self._find_portal(building, name)
        effects = tuple(e for part in statement.effects for e in part)
        building.execute(statement, (effects,))
        message = wire.Message(b"E", payload)
        building.steps.append(work.Step(message.encode()))
        return None

    def add_close(self, building: _Building, payload: bytes) -> _Refusal | None:
        """Adds a Close; callers share statements, so none is closed there."""
        kind = payload[:1]
        name, _ = wire.read_cstring(payload, 1)
        if kind == b"S":
            building.overlay[name] = None
            building.marks.append(Mark(b"3", name=name))
            message = wire.close_statement(ABSENT_STATEMENT)
        else:
            building.portals[name] = None
            building.marks.append(Mark(b"3"))
            message = wire.Message(b"C", payload).encode()
        building.steps.append(work.Step(message))
        return None

    def add_end(self, building: _Building, payload: bytes) -> _Refusal | None:
        """Adds a Sync; a Flush needs no message of its own."""
        building.steps.append(work.Step(wire.sync()))
        return None

    def add_flush(self, building: _Building, payload: bytes) -> _Refusal | None:
        """Adds a Flush after other messages."""
        if building.steps:
            message = wire.Message(b"H", b"")
            building.steps.append(work.Step(message.encode()))
        return None

    def refuse_call(
        self, building: _Building, payload: bytes
    ) -> _Refusal | None:
        """Refuses the fast-path function call."""
        return _Refusal(outcomes.NOT_CARRIED, "the function call message")

    def finish(
        self, ready: RoundReady, seen: answers.Seen, end: work.RoundEnd
    ) -> dict[str, str]:
        """Takes over what a round did to the session.

        Args:
          ready: The round.
          seen: What the server answered, if the round was watched.
          end: How the round ended.

        Returns:
          Settings to report to the caller, by their reported names.
        """
        reported = self._take_completions(ready.marks, seen)
        failed = self.failed or seen.failed or end.failure is not None
        if not ready.round_.synced:
            self.failed = failed
            self.skipping = failed
            self.unsynced = end.failure is None
            return reported
        self.unsynced = False
        self.executed = False
        self.failed = False
        self.status = end.status
        if end.status != _STATUS_IDLE:
            return reported
        self.portals.clear()
        if failed:
            self.settings.roll_back()
        else:
            reported.update(self.settings.commit())
        return reported

    def abandon(self, ready: RoundReady) -> None:
        """Notes that a round was refused after it had been cut."""
        if not ready.round_.synced:
            self.skipping = True

    def _take_completions(
        self, marks: tuple[Mark, ...], seen: answers.Seen
    ) -> dict[str, str]:
        """Applies the marks whose completion was seen, in order."""
        reported: dict[str, str] = {}
        for mark, completion in zip(marks, seen.completions, strict=False):
            if mark.name is not None:
                self._take_statement(mark.name, mark.known)
            if completion.suspended:
                continue
            for effect in mark.effects:
                if isinstance(effect, session_effects.TransactionEnded):
                    if completion.command == answers.ROLLBACK:
                        self.settings.roll_back()
                    else:
                        reported.update(self.settings.commit())
                elif isinstance(effect, session_effects.StatementsDropped):
                    self._drop_statements(effect.name)
                else:
                    session_settings.apply(effect, self.settings)
        return reported

    def _take_statement(self, name: str, known: Known | None) -> None:
        if known is None:
            self.statements.pop(name, None)
        else:
            self.statements[name] = known

    def _drop_statements(self, name: str | None) -> None:
        if name is None:
            self.statements.clear()
        else:
            self.statements.pop(name, None)


_UNKNOWN_PORTAL = statements.classify("CALL unknown_portal()")

_HANDLERS = {
    b"B": SessionRounds.add_bind,
    b"C": SessionRounds.add_close,
    b"D": SessionRounds.add_describe,
    b"E": SessionRounds.add_execute,
    b"F": SessionRounds.refuse_call,
    b"H": SessionRounds.add_flush,
    b"P": SessionRounds.add_parse,
    b"Q": SessionRounds.add_query,
    b"S": SessionRounds.add_end,
}
_ENDING_TAGS = frozenset({b"Q", b"S", b"H"})
_SELF_CONTAINED_TAGS = frozenset({b"Q", b"F"})


def prepare(sql: str, type_oids: tuple[int, ...]) -> work.Prepared:
    """Returns a statement under the name that its content gives it."""
    digest = hashlib.sha256(sql.encode())
    digest.update(b"\0" + repr(type_oids).encode())
    name = STATEMENT_PREFIX + digest.hexdigest()[:32]
    return work.Prepared(name, sql, type_oids)
