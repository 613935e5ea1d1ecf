"""Classifies one SQL statement by the root node of its syntax tree.

Statements that would leave session state on a server connection, which many
callers share, are either rewritten so that they leave none, or refused.
"""

import enum
import functools
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

from pglast import ast, enums

from cuminwall import (
    outcomes,
    session_effects,
    settings_syntax,
    statement_nodes,
)
from cuminwall.work import Access

# A no-op that succeeds on any server, inside or outside a transaction.
NO_OP_SQL = "UNLISTEN *"

_SET_CONFIG = re.compile(
    r"(?:pg_catalog\s*\.\s*)?set_config\s*\("
    r"\s*'(?:[^'\\]|'')*'\s*,\s*(?:'(?:[^'\\]|'')*'|\$\d+)\s*,\s*(false)\s*\)",
    re.IGNORECASE,
)
_FALSE_VALUES = frozenset({"false", "off", "0"})
_UNTRACKED_SETTING = "jit"
_SETTINGS_VIEWS = frozenset({"pg_settings", "pg_catalog.pg_settings"})


class Command(enum.Enum):
    """The family of a statement."""

    EMPTY = "empty"
    QUERY = "query"
    TRANSACTION = "transaction"
    SETTING = "setting"
    UTILITY = "utility"


class Edit(NamedTuple):
    """A replacement of the characters from `start` to `end`."""

    start: int
    end: int
    text: str


class Part(NamedTuple):
    """The classification of one statement of a text.

    Attributes:
      access: READ if it is proved to be a read, else WRITE.
      command: Its family.
      begins_transaction: Whether it starts an explicit transaction.
      ends_transaction: Whether it ends an explicit transaction.
      tables: The tables read, empty for a write.
      effects: Its changes to the session.
      sql: The statement to send instead, or None to send it unchanged.
      edits: Replacements within the whole text.
      refusal: Why it is refused, or None.
    """

    access: Access = Access.WRITE
    command: Command = Command.UTILITY
    begins_transaction: bool = False
    ends_transaction: bool = False
    tables: tuple[str, ...] = ()
    effects: tuple[session_effects.SessionEffect, ...] = ()
    sql: str | None = None
    edits: tuple[Edit, ...] = ()
    refusal: outcomes.Refusal | None = None


def _refuse(
    detail: str, failure: outcomes.Failure = outcomes.NOT_CARRIED
) -> Part:
    return Part(refusal=outcomes.Refusal(failure, detail))


@functools.singledispatch
def classify(node: Any, sql: str) -> Part:
    """Classifies one statement; a kind without its own rule is a write."""
    findings = statement_nodes.analyze(node)
    refused = _find_refusal(findings)
    if refused is not None:
        return refused
    return Part()


def _find_refusal(findings: statement_nodes.Findings) -> Part | None:
    """Returns a refusal if the statement would leave session state behind."""
    if findings.uses_temporary:
        return _refuse("temporary tables last longer than a transaction")
    if findings.executes_prepared:
        return _refuse("EXECUTE")
    if findings.session_function:
        return _refuse(f"{findings.session_function}() uses session state")
    if findings.set_config_calls:
        return _refuse("set_config() for a session inside another statement")
    return None


@classify.register(ast.SelectStmt)
def _classify_select(node: Any, sql: str) -> Part:
    findings = statement_nodes.analyze(node)
    edits: tuple[Edit, ...] = ()
    effects: tuple[session_effects.SessionEffect, ...] = ()
    if findings.set_config_calls:
        part = _localize_set_config(node, sql, findings)
        if part.refusal is not None:
            return part
        edits, effects = part.edits, part.effects
        findings = findings._replace(set_config_calls=())
    refused = _find_refusal(findings)
    if refused is not None:
        return refused
    if not findings.proved_read:
        return Part(command=Command.QUERY, effects=effects, edits=edits)
    return Part(
        access=Access.READ,
        command=Command.QUERY,
        tables=findings.tables,
        effects=effects,
        edits=edits,
    )


def _localize_set_config(
    node: Any, sql: str, findings: statement_nodes.Findings
) -> Part:
    """Makes set_config() calls local and records the settings they change."""
    is_single_row = node.fromClause is None and node.whereClause is None
    targets = [target.val for target in node.targetList or ()]
    edits = []
    effects = []
    for call in findings.set_config_calls:
        match = _SET_CONFIG.match(sql, call.location)
        name, value = statement_nodes.literal_arguments(call)
        if (
            not is_single_row
            or call not in targets
            or match is None
            or name is None
        ):
            return _refuse("set_config() for a session, not in a plain SELECT")
        edits.append(Edit(match.start(1), match.end(1), "true"))
        if name.lower() == _UNTRACKED_SETTING:
            continue
        if value is None:
            return _refuse("set_config() whose value is not a literal")
        detail = settings_syntax.find_refused_setting(name, value)
        if detail:
            return _refuse(detail)
        name = settings_syntax.fold_name(name)
        effects.append(session_effects.SettingChanged(name, value))
    return Part(effects=tuple(effects), edits=tuple(edits))


@classify.register(ast.InsertStmt)
@classify.register(ast.UpdateStmt)
@classify.register(ast.DeleteStmt)
@classify.register(ast.MergeStmt)
def _classify_data_change(node: Any, sql: str) -> Part:
    findings = statement_nodes.analyze(node)
    refused = _find_refusal(findings)
    if refused is not None:
        return refused
    if not _SETTINGS_VIEWS.isdisjoint(findings.tables):
        return _refuse("a change of pg_settings")
    return Part(command=Command.QUERY)


@classify.register(ast.ExplainStmt)
def _classify_explain(node: Any, sql: str) -> Part:
    inner = classify(node.query, sql)
    if inner.refusal is not None:
        return inner
    if inner.edits:
        return _refuse("EXPLAIN of set_config()")
    access = Access.READ
    for option in node.options or ():
        if option.defname != "analyze":
            continue
        access = inner.access if _is_option_on(option.arg) else Access.READ
    return Part(access=access, command=Command.QUERY, tables=inner.tables)


def _is_option_on(argument: ast.Node | None) -> bool:
    if argument is None:
        return True
    value = getattr(argument, "sval", None)
    if value is None:
        value = str(getattr(argument, "ival", ""))
    return value.lower() not in _FALSE_VALUES


_BEGINNING = (
    enums.TransactionStmtKind.TRANS_STMT_BEGIN,
    enums.TransactionStmtKind.TRANS_STMT_START,
)
_ENDING = (
    enums.TransactionStmtKind.TRANS_STMT_COMMIT,
    enums.TransactionStmtKind.TRANS_STMT_ROLLBACK,
)


@classify.register(ast.TransactionStmt)
def _classify_transaction(node: Any, sql: str) -> Part:
    control = Part(access=Access.READ, command=Command.TRANSACTION)
    kind = node.kind
    if kind in _BEGINNING:
        access = _access_of_modes(node.options or ())
        return control._replace(access=access, begins_transaction=True)
    if kind in _ENDING:
        # A chained transaction has the modes of the one before it.
        access = Access.WRITE if node.chain else Access.READ
        return control._replace(
            access=access,
            begins_transaction=bool(node.chain),
            ends_transaction=True,
            effects=(session_effects.TransactionEnded(),),
        )
    if kind == enums.TransactionStmtKind.TRANS_STMT_SAVEPOINT:
        effect = session_effects.SavepointSet(node.savepoint_name)
        return control._replace(effects=(effect,))
    if kind == enums.TransactionStmtKind.TRANS_STMT_ROLLBACK_TO:
        restored = session_effects.SavepointRestored(node.savepoint_name)
        return control._replace(effects=(restored,))
    if kind == enums.TransactionStmtKind.TRANS_STMT_RELEASE:
        released = session_effects.SavepointReleased(node.savepoint_name)
        return control._replace(effects=(released,))
    return _refuse("two-phase commit")


def _access_of_modes(options: Iterable[Any]) -> Access:
    """Returns READ if a replica can serve a transaction of these modes."""
    read_only = False
    for option in options:
        if option.defname == "transaction_read_only":
            read_only = bool(option.arg.val.ival)
            continue
        if option.defname == "transaction_deferrable":
            return Access.WRITE
        if option.arg.val.sval == "serializable":
            return Access.WRITE
    return Access.READ if read_only else Access.WRITE


@classify.register(ast.VariableSetStmt)
def _classify_set(node: Any, sql: str) -> Part:
    change = settings_syntax.parse_set(node)
    if isinstance(change, settings_syntax.RefusedChange):
        failure = outcomes.NOT_CARRIED
        if change.bad_value:
            failure = outcomes.BAD_SETTING
        return _refuse(change.detail, failure)
    if isinstance(change, settings_syntax.PassedThrough):
        access = Access.WRITE if change.may_write else Access.READ
        return Part(access=access, command=Command.TRANSACTION)
    return Part(
        access=Access.READ,
        command=Command.SETTING,
        effects=(change.effect,),
        sql=change.sql or NO_OP_SQL,
    )


@classify.register(ast.DeallocateStmt)
def _classify_deallocate(node: Any, sql: str) -> Part:
    return Part(
        access=Access.READ,
        effects=(session_effects.StatementsDropped(node.name),),
        sql=NO_OP_SQL,
    )


@classify.register(ast.DiscardStmt)
def _classify_discard(node: Any, sql: str) -> Part:
    effects: tuple[session_effects.SessionEffect, ...] = ()
    if node.target == enums.DiscardMode.DISCARD_ALL:
        effects = (
            session_effects.SettingsReset(),
            session_effects.StatementsDropped(None),
        )
    return Part(access=Access.READ, effects=effects, sql=NO_OP_SQL)


@classify.register(ast.DeclareCursorStmt)
def _classify_cursor(node: Any, sql: str) -> Part:
    if node.options & statement_nodes.CURSOR_OPT_HOLD:
        return _refuse("DECLARE CURSOR WITH HOLD")
    return classify(node.query, sql)


@classify.register(ast.FetchStmt)
@classify.register(ast.ClosePortalStmt)
@classify.register(ast.UnlistenStmt)
@classify.register(ast.VariableShowStmt)
def _classify_read(node: ast.Node, sql: str) -> Part:
    return Part(access=Access.READ)


_REFUSED_KINDS = {
    ast.CopyStmt: "COPY",
    ast.ListenStmt: "LISTEN",
    ast.NotifyStmt: "NOTIFY",
    ast.PrepareStmt: "PREPARE",
    ast.ExecuteStmt: "EXECUTE",
    ast.LoadStmt: "LOAD",
}


def _classify_refused(node: ast.Node, sql: str) -> Part:
    return _refuse(_REFUSED_KINDS[type(node)])


for _kind in _REFUSED_KINDS:
    classify.register(_kind, _classify_refused)
