"""Builds a round from a caller's messages, with a handler for each type.

A handler returns why the round is refused, or None. Pure: no I/O.
"""

import struct
from collections.abc import Iterable
from typing import TYPE_CHECKING

from cuminwall import (
    outcomes,
    rounds,
    session_effects,
    statements,
    wire,
    work,
)

if TYPE_CHECKING:
    from cuminwall import session_rounds

_UINT16 = struct.Struct("!H")


class RoundBuilder:
    """A round under construction.

    It changes the session only once the round is complete.
    """

    __slots__ = (
        "access",
        "begins_transaction",
        "size",
        "executes",
        "uses_portal",
        "expected",
        "max_age_s",
        "drops_warning",
        "only_ends_transaction",
        "changed_statements",
        "parsed_names",
        "portals",
        "prepared",
        "request_id",
        "session",
        "steps",
        "tables",
        "token",
        "writes",
    )

    def __init__(self, session: "session_rounds.SessionRounds"):
        self.access = work.Access.READ
        self.begins_transaction = False
        self.size = 0
        self.executes = False
        # Whether it creates or uses a portal; a Sync may close portals.
        self.uses_portal = False
        self.expected: list[rounds.ExpectedCompletion] = []
        self.max_age_s = session.max_age_s
        self.drops_warning = False
        self.only_ends_transaction = False
        self.changed_statements: dict[str, rounds.CallerStatement | None] = {}
        self.parsed_names: set[str] = set()
        self.portals: dict[str, statements.Statement | None] = {}
        self.prepared: dict[str, work.Prepared] = {}
        self.request_id = session.request_id
        self.session = session
        self.steps: list[work.Step] = []
        self.tables: dict[str, None] = {}
        self.token = ""
        self.writes = False

    def add_statement(self, statement: statements.Statement) -> None:
        """Adds a statement's access and tables to those of the round."""
        self.access = max(self.access, statement.access)
        self.tables.update(dict.fromkeys(statement.tables))

    def add_execution(
        self, statement: statements.Statement, parts: Iterable[tuple]
    ) -> None:
        """Adds the run of a statement; the server completes each of `parts`."""
        self.add_statement(statement)
        is_first = not self.executes
        self.only_ends_transaction = _only_ends_transaction(statement) and (
            is_first or self.only_ends_transaction
        )
        self.executes = True
        self.uses_portal = True
        self.begins_transaction = (
            self.begins_transaction or statement.begins_transaction
        )
        self.writes = self.writes or statement.may_write
        for effects in parts:
            self.expected.append(rounds.ExpectedCompletion(b"C", effects))
            for effect in effects:
                self.apply_proxy_setting(effect)

    def apply_proxy_setting(
        self, effect: session_effects.SessionEffect
    ) -> None:
        """Applies an effect on a proxy setting, from this round on."""
        if isinstance(effect, session_effects.SessionTokenSet):
            self.token = effect.token
        elif isinstance(effect, session_effects.MaxAgeChanged):
            self.max_age_s = effect.max_age_s
        elif isinstance(effect, session_effects.RequestIdSet):
            self.request_id = effect.request_id
        elif isinstance(effect, session_effects.SettingChanged):
            self.drops_warning = True

    def _find_statement(self, name: str) -> rounds.CallerStatement | None:
        if name in self.changed_statements:
            return self.changed_statements[name]
        return self.session.statements.get(name)

    def _find_portal(self, name: str) -> statements.Statement:
        """Returns the statement of a portal.

        An unknown portal may be a declared cursor, so it counts as a write.
        """
        if name in self.portals:
            return self.portals[name] or _UNKNOWN_PORTAL
        return self.session.portals.get(name, _UNKNOWN_PORTAL)

    def add_query(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a simple Query."""
        sql, _ = wire.read_cstring(payload)
        statement = self.session.cache.classify(sql)
        refusal = self._check(statement)
        if refusal is not None:
            return refusal
        self.add_execution(statement, statement.effects)
        if (
            statement.sets_only_proxy_settings
            and not self.steps
            and not self.session.unsynced
        ):
            return None
        message = wire.query(statement.sql)
        self.steps.append(work.Step(message))
        return None

    def _check(
        self, statement: statements.Statement
    ) -> outcomes.Refusal | None:
        """Returns why a statement is refused, or None."""
        if statement.refusal is not None:
            return outcomes.Refusal(*statement.refusal)
        settings = self.session.settings.current()
        for effects in statement.effects:
            for effect in effects:
                if not isinstance(effect, session_effects.SettingChanged):
                    continue
                if len(effect.value or "") > rounds.MAX_SETTING_CHARACTERS:
                    return outcomes.Refusal(outcomes.BAD_SETTING, "too long")
                if (
                    effect.name in settings
                    or len(settings) < rounds.MAX_SETTINGS
                ):
                    continue
                return outcomes.Refusal(
                    outcomes.BAD_SETTING, "too many settings"
                )
        return None

    def add_parse(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a Parse under a name derived from its content."""
        name, offset = wire.read_cstring(payload)
        sql, offset = wire.read_cstring(payload, offset)
        (count,) = _UINT16.unpack_from(payload, offset)
        type_oids = struct.unpack_from(f"!{count}I", payload, offset + 2)
        statement = self.session.cache.classify(sql)
        refusal = self._check(statement)
        if refusal is not None:
            return refusal
        if name and self._find_statement(name) is not None:
            return outcomes.Refusal(outcomes.DUPLICATE_STATEMENT, name)
        prepared = rounds.make_prepared(statement.sql, type_oids)
        characters = len(name) + len(sql)
        characters += rounds.CHARACTERS_PER_TYPE * len(type_oids)
        known = rounds.CallerStatement(prepared, statement, characters)
        if name and not self._has_room(known):
            return outcomes.Refusal(outcomes.TOO_MANY_STATEMENTS, "")
        self.changed_statements[name] = known
        self.add_statement(statement)
        self.expected.append(
            rounds.ExpectedCompletion(b"1", name=name, statement=known)
        )
        server_name = prepared.name
        if server_name in self.parsed_names:
            # An earlier Parse of this round prepares it. This one, without a
            # name, only makes the server check the text and answer.
            server_name = ""
        message = wire.parse_message(server_name, statement.sql, type_oids)
        self.steps.append(work.Step(message, server_name))
        self.parsed_names.add(prepared.name)
        return None

    def _has_room(self, known: rounds.CallerStatement) -> bool:
        """Returns whether the session may keep one more named statement."""
        limits = self.session.limits
        if (
            len(self.session.statements) + len(self.changed_statements)
            >= limits.statements
        ):
            return False
        characters = self.session.statement_characters + known.characters
        for statement in self.changed_statements.values():
            if statement is not None:
                characters += statement.characters
        return characters <= limits.statement_characters

    def add_bind(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a Bind of a prepared statement."""
        portal, offset = wire.read_cstring(payload)
        name, offset = wire.read_cstring(payload, offset)
        known = self._find_statement(name)
        if known is None:
            return outcomes.Refusal(outcomes.UNKNOWN_STATEMENT, name)
        portals = len(self.session.portals) + len(self.portals)
        if (
            portal not in self.session.portals
            and portals >= self.session.limits.portals
        ):
            return outcomes.Refusal(outcomes.TOO_MANY_STATEMENTS, "")
        self.uses_portal = True
        self.portals[portal] = known.statement
        self._use_prepared(known)
        body = wire.cstring(portal) + wire.cstring(known.prepared.name)
        message = wire.Message(b"B", body + payload[offset:])
        self.steps.append(work.Step(message.encode()))
        return None

    def _use_prepared(self, known: rounds.CallerStatement) -> None:
        """Adds a statement; unless parsed here, it must be prepared first."""
        self.add_statement(known.statement)
        name = known.prepared.name
        if name not in self.parsed_names:
            self.prepared[name] = known.prepared

    def add_describe(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a Describe of a statement or portal."""
        kind = payload[:1]
        name, _ = wire.read_cstring(payload, 1)
        if kind == b"S":
            known = self._find_statement(name)
            if known is None:
                return outcomes.Refusal(outcomes.UNKNOWN_STATEMENT, name)
            self._use_prepared(known)
            payload = kind + wire.cstring(known.prepared.name)
        else:
            self.uses_portal = True
            self.add_statement(self._find_portal(name))
        self.steps.append(work.Step(wire.Message(b"D", payload).encode()))
        return None

    def add_execute(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds an Execute."""
        name, offset = wire.read_cstring(payload)
        struct.unpack_from("!i", payload, offset)
        statement = self._find_portal(name)
        effects = tuple(effect for part in statement.effects for effect in part)
        self.add_execution(statement, (effects,))
        message = wire.Message(b"E", payload)
        self.steps.append(work.Step(message.encode()))
        return None

    def add_close(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a Close.

        Sessions share the prepared statements of a server connection, so a
        statement is closed only for this session.
        """
        kind = payload[:1]
        name, _ = wire.read_cstring(payload, 1)
        if kind == b"S":
            self.changed_statements[name] = None
            self.expected.append(rounds.ExpectedCompletion(b"3", name=name))
            message = wire.close_statement(rounds.ABSENT_STATEMENT)
        else:
            self.uses_portal = True
            self.portals[name] = None
            self.expected.append(rounds.ExpectedCompletion(b"3"))
            message = wire.Message(b"C", payload).encode()
        self.steps.append(work.Step(message))
        return None

    def add_sync(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a Sync."""
        self.steps.append(work.Step(wire.sync()))
        return None

    def add_flush(self, payload: bytes) -> outcomes.Refusal | None:
        """Adds a Flush, unless the round has no other messages."""
        if self.steps:
            message = wire.Message(b"H", b"")
            self.steps.append(work.Step(message.encode()))
        return None

    def refuse_function_call(self, payload: bytes) -> outcomes.Refusal | None:
        """Refuses a FunctionCall."""
        return outcomes.Refusal(
            outcomes.NOT_CARRIED, "the function call message"
        )


_UNKNOWN_PORTAL = statements.classify("CALL unknown_portal()")

HANDLERS = {
    b"B": RoundBuilder.add_bind,
    b"C": RoundBuilder.add_close,
    b"D": RoundBuilder.add_describe,
    b"E": RoundBuilder.add_execute,
    b"F": RoundBuilder.refuse_function_call,
    b"H": RoundBuilder.add_flush,
    b"P": RoundBuilder.add_parse,
    b"Q": RoundBuilder.add_query,
    b"S": RoundBuilder.add_sync,
}
ENDING_TAGS = frozenset({b"Q", b"S", b"H"})
SELF_CONTAINED_TAGS = frozenset({b"Q", b"F"})


def _only_ends_transaction(statement: statements.Statement) -> bool:
    """Returns whether a statement does nothing but end a transaction."""
    is_alone = len(statement.effects) == 1
    return (
        statement.ends_transaction
        and is_alone
        and not statement.begins_transaction
    )
