"""A walk over the tree of one statement, for what its nodes give away."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from pglast import ast, enums

from cuminwall import read_functions

# From PostgreSQL's parsenodes.h.
CURSOR_OPT_HOLD = 0x0020

_TEMPORARY = "t"
_TEMPORARY_SCHEMA = "pg_temp"

# A tree of these alone reads, if its functions do.
_READ_NODES = frozenset(
    {
        ast.Alias,
        ast.A_ArrayExpr,
        ast.A_Const,
        ast.A_Expr,
        ast.A_Indices,
        ast.A_Indirection,
        ast.A_Star,
        ast.BitString,
        ast.BoolExpr,
        ast.Boolean,
        ast.BooleanTest,
        ast.CaseExpr,
        ast.CaseWhen,
        ast.CoalesceExpr,
        ast.CollateClause,
        ast.ColumnDef,
        ast.ColumnRef,
        ast.CommonTableExpr,
        ast.CTECycleClause,
        ast.CTESearchClause,
        ast.Float,
        ast.FuncCall,
        ast.GroupingFunc,
        ast.GroupingSet,
        ast.Integer,
        ast.JoinExpr,
        ast.MinMaxExpr,
        ast.NamedArgExpr,
        ast.NullTest,
        ast.ParamRef,
        ast.RangeFunction,
        ast.RangeSubselect,
        ast.RangeVar,
        ast.ResTarget,
        ast.RowExpr,
        ast.SelectStmt,
        ast.SortBy,
        ast.SQLValueFunction,
        ast.String,
        ast.SubLink,
        ast.TypeCast,
        ast.TypeName,
        ast.WindowDef,
        ast.WithClause,
    }
)
_LEAVES = frozenset(
    {ast.A_Const, ast.ColumnRef, ast.ParamRef, ast.String, ast.TypeName}
)


class Findings(NamedTuple):
    """What the nodes of a statement give away.

    Attributes:
      proved_read: Whether it can only read.
      tables: The names of the tables it uses.
      uses_temporary: Whether it makes or uses an object of the server's session.
      executes_prepared: Whether it runs a statement prepared by PREPARE.
      session_function: The name of a function that uses session state, or "".
      set_config_calls: The calls that set a setting for the session.
    """

    proved_read: bool
    tables: tuple[str, ...]
    uses_temporary: bool
    executes_prepared: bool
    session_function: str
    set_config_calls: tuple[Any, ...]


class _Walk:
    """The findings while a walk is under way."""

    def __init__(self) -> None:
        self.proved_read = True
        self.tables: list[str] = []
        self.temporary = False
        self.executes = False
        self.session_function = ""
        self.set_config_calls: list[Any] = []

    def visit(self, node: Any, scope: frozenset[str]) -> None:
        kind = type(node)
        if kind not in _READ_NODES:
            self.proved_read = False
        if kind is ast.FuncCall:
            self.visit_call(node)
        elif kind is ast.RangeVar:
            self.visit_table(node, scope)
        elif kind is ast.ExecuteStmt:
            self.executes = True
        elif kind is ast.CreateFunctionStmt:
            self.temporary |= _is_temporary_name(node.funcname)

    def visit_call(self, node: Any) -> None:
        names = [part.sval.lower() for part in node.funcname]
        name = names[-1]
        if names[:-1] not in ([], ["pg_catalog"]):
            self.proved_read = False
            return
        if name == "set_config":
            if not _is_local(node):
                self.set_config_calls.append(node)
            return
        if name in read_functions.SESSION_FUNCTIONS:
            self.session_function = name
        if name in read_functions.UNLOCK_FUNCTIONS:
            return
        if name not in read_functions.READ_FUNCTIONS:
            self.proved_read = False

    def visit_table(self, node: Any, scope: frozenset[str]) -> None:
        schema = node.schemaname or ""
        if schema.startswith(_TEMPORARY_SCHEMA):
            self.temporary = True
        name = node.relname
        if schema:
            self.tables.append(f"{schema}.{name}")
        elif name not in scope:
            self.tables.append(name)


def _is_local(call: Any) -> bool:
    """Returns whether a set_config() call certainly ends with its transaction.

    Its name must be known too, since a few settings are refused.
    """
    arguments: tuple[Any, ...] = call.args or ()
    if len(arguments) != 3 or not isinstance(arguments[2], ast.A_Const):
        return False
    flag = arguments[2].val
    if not isinstance(flag, ast.Boolean) or not flag.boolval:
        return False
    name, _ = literal_arguments(call)
    return name is not None and name.lower() not in REFUSED_LOCALLY


REFUSED_LOCALLY = frozenset(
    {
        "role",
        "session_authorization",
        "client_encoding",
        "standard_conforming_strings",
        "synchronous_commit",
        "transaction_read_only",
    }
)


def literal_arguments(call: Any) -> tuple[str | None, str | None]:
    """Returns the first two arguments where they are string literals."""
    values: list[str | None] = []
    for argument in (*(call.args or ()), None, None)[:2]:
        value = None
        if isinstance(argument, ast.A_Const):
            value = getattr(argument.val, "sval", None)
        values.append(value)
    return values[0], values[1]


def _is_temporary_name(names: Any) -> bool:
    return bool(names) and names[0].sval.startswith(_TEMPORARY_SCHEMA)


def _lasts_beyond_transaction(node: Any) -> bool:
    """Returns whether `node` makes a temporary object that a commit keeps."""
    target = None
    commit = None
    if isinstance(node, ast.CreateStmt):
        target, commit = node.relation, node.oncommit
    elif isinstance(node, ast.IntoClause):
        target, commit = node.rel, node.onCommit
    elif isinstance(node, ast.ViewStmt):
        target = node.view
    elif isinstance(node, ast.CreateSeqStmt):
        target = node.sequence
    if target is None or target.relpersistence != _TEMPORARY:
        return False
    return commit != enums.OnCommitAction.ONCOMMIT_DROP


def _scoped_children(
    node: Any, scope: frozenset[str]
) -> Iterator[tuple[object, frozenset[str]]]:
    """Yields the children, each with the common tables that it sees."""
    with_clause = getattr(node, "withClause", None)
    if with_clause is not None:
        everything = scope | {item.ctename for item in with_clause.ctes}
        for item in with_clause.ctes:
            yield item, everything if with_clause.recursive else scope
            scope = scope | {item.ctename}
    for name in node:
        if name != "withClause":
            yield getattr(node, name), scope


def analyze(statement: Any) -> Findings:
    """Returns what the nodes of `statement` give away."""
    walk = _Walk()
    pending: list[tuple[object, frozenset[str]]] = [(statement, frozenset())]
    while pending:
        node, scope = pending.pop()
        if isinstance(node, tuple):
            pending.extend((item, scope) for item in node)
            continue
        if not isinstance(node, ast.Node):
            continue
        walk.visit(node, scope)
        walk.temporary = walk.temporary or _lasts_beyond_transaction(node)
        if type(node) in _LEAVES:
            continue
        pending.extend(_scoped_children(node, scope))
    return Findings(
        proved_read=walk.proved_read,
        tables=tuple(dict.fromkeys(walk.tables)),
        uses_temporary=walk.temporary,
        executes_prepared=walk.executes,
        session_function=walk.session_function,
        set_config_calls=tuple(walk.set_config_calls),
    )
