"""Translates statements of PostgreSQL into statements of SQLite.

The real PostgreSQL grammar (pglast) splits, checks and classifies; the text is
rewritten token by token where the two dialects differ. Nothing here does I/O.
"""

import enum
import functools
from collections.abc import Iterator
from typing import Any, NamedTuple

from pglast import ast, enums, parser

from cuminwall_standins import errors, rewriting

CATALOG_PREFIX = "pg_"
CACHED_TEXTS = 4096

_READS = (ast.SelectStmt,)
_SESSION = (
    ast.VariableSetStmt,
    ast.VariableShowStmt,
    ast.DiscardStmt,
    ast.DeallocateStmt,
    ast.ClosePortalStmt,
    ast.UnlistenStmt,
)
_WRITE_TAGS = {
    ast.InsertStmt: "INSERT 0",
    ast.UpdateStmt: "UPDATE",
    ast.DeleteStmt: "DELETE",
    ast.CreateStmt: "CREATE TABLE",
    ast.IndexStmt: "CREATE INDEX",
    ast.ViewStmt: "CREATE VIEW",
    ast.AlterTableStmt: "ALTER TABLE",
    ast.RenameStmt: "ALTER TABLE",
    ast.DropStmt: "DROP",
    ast.TruncateStmt: "TRUNCATE TABLE",
}
_CHANGES = (ast.InsertStmt, ast.UpdateStmt, ast.DeleteStmt)
_DROPPED = {
    enums.ObjectType.OBJECT_TABLE: "TABLE",
    enums.ObjectType.OBJECT_INDEX: "INDEX",
    enums.ObjectType.OBJECT_VIEW: "VIEW",
}
_VOLATILE = ("random", "gen_random_uuid", "clock_timestamp")


class Kind(enum.Enum):
    """What a statement needs.

    Attributes:
      READ: Committed data.
      LOCK: The lock of the one writer, without changing anything.
      WRITE: The lock, and a record in the log.
      TRANSACTION: A change of the session's transaction.
      SESSION: A change or an answer of the session's settings.
    """

    READ = "read"
    LOCK = "lock"
    WRITE = "write"
    TRANSACTION = "transaction"
    SESSION = "session"


class Statement(NamedTuple):
    """One statement.

    Attributes:
      kind: What it needs.
      source: Its text as the client sent it.
      node: Its tree of the PostgreSQL grammar.
      texts: What to run on SQLite, in this order.
      tag: Its CommandComplete without the number of rows.
      has_row_count: Whether the number of rows belongs to the tag.
      parameter_count: How many parameters it takes.
      uses_table: Whether it names a table, other than of the catalog.
    """

    kind: Kind
    source: str
    node: Any
    texts: tuple[str, ...]
    tag: str
    has_row_count: bool
    parameter_count: int
    uses_table: bool


def walk(node: Any) -> Iterator[Any]:
    """Yields every node of a tree, the outer ones first."""
    if isinstance(node, tuple):
        for child in node:
            yield from walk(child)
        return
    if not isinstance(node, ast.Node):
        return
    yield node
    for name in node:
        yield from walk(getattr(node, name))


@functools.lru_cache(CACHED_TEXTS)
def parse(text: str) -> tuple[Statement, ...]:
    """Splits and translates a text of any number of statements.

    Raises:
      errors.SqlError: The grammar or the stand-in refuses a statement.
    """
    try:
        roots = parser.parse_sql(text)
    except parser.ParseError as error:
        raise errors.SqlError("42601", str(error.args[0])) from error
    statements = []
    for root in roots:
        start = root.stmt_location or 0
        end = start + root.stmt_len if root.stmt_len else len(text)
        statements.append(_translate(root.stmt, text[start:end]))
    return tuple(statements)


def _translate(node: Any, text: str) -> Statement:
    numbers = [0]
    names_table = False
    for inner in walk(node):
        if isinstance(inner, ast.ParamRef):
            numbers.append(inner.number or 0)
        if isinstance(inner, ast.RangeVar):
            name = inner.relname or ""
            names_table |= not name.startswith(CATALOG_PREFIX)
    kind = _classify(node)
    if kind is Kind.TRANSACTION or kind is Kind.SESSION:
        return Statement(kind, text, node, (), "", False, 0, False)
    _refuse_unsupported(node, kind)
    texts, tag = _render(node, text)
    counted = kind is not Kind.WRITE or isinstance(node, _CHANGES)
    return Statement(
        kind, text, node, texts, tag, counted, max(numbers), names_table
    )


def _classify(node: Any) -> Kind:
    if isinstance(node, ast.TransactionStmt):
        return Kind.TRANSACTION
    if isinstance(node, _SESSION):
        return Kind.SESSION
    if type(node) in _WRITE_TAGS:
        return Kind.WRITE
    if not isinstance(node, _READS) or node.intoClause:
        raise errors.SqlError(
            "0A000", f"{type(node).__name__} is not supported here"
        )
    for inner in walk(node):
        if isinstance(inner, ast.LockingClause):
            return Kind.LOCK
    return Kind.READ


def _refuse_unsupported(node: Any, kind: Kind) -> None:
    relation = getattr(node, "relation", None)
    if getattr(relation, "relpersistence", "") == "t":
        raise errors.SqlError("0A000", "temporary tables are not supported")
    if getattr(node, "removeType", None) not in (None, *_DROPPED):
        raise errors.SqlError("0A000", "this DROP is not supported")
    for inner in walk(node):
        if inner is not node and isinstance(inner, _CHANGES):
            raise errors.SqlError("0A000", "a writing CTE is not supported")
        if _divides_by_zero(inner):
            raise errors.SqlError("22012", "division by zero")
        name = _function_name(inner)
        # A replica runs the same statement, so its result must be the same.
        if kind is Kind.WRITE and name in _VOLATILE:
            raise errors.SqlError("0A000", f"{name}() in a write")


@functools.singledispatch
def _divides_by_zero(node: Any) -> bool:
    """Returns whether a constant divisor is 0, which gives NULL on SQLite."""
    return False


@_divides_by_zero.register(ast.A_Expr)
def _(node: Any) -> bool:
    if node.name[-1].sval not in ("/", "%"):
        return False
    return getattr(getattr(node.rexpr, "val", None), "ival", None) == 0


@functools.singledispatch
def _function_name(node: Any) -> str:
    return ""


@_function_name.register(ast.FuncCall)
def _(node: Any) -> str:
    return node.funcname[-1].sval


@functools.singledispatch
def _render(node: Any, text: str) -> tuple[tuple[str, ...], str]:
    """Returns what to run on SQLite, and the tag of the statement."""
    is_create_table = isinstance(node, ast.CreateStmt)
    texts = (rewriting.rewrite(text, is_create_table),)
    return texts, _WRITE_TAGS.get(type(node), "SELECT")


@_render.register(ast.DropStmt)
def _(node: Any, text: str) -> tuple[tuple[str, ...], str]:
    word = _DROPPED[node.removeType]
    condition = "IF EXISTS " if node.missing_ok else ""
    texts = []
    for names in node.objects:
        texts.append(f'DROP {word} {condition}"{names[-1].sval}"')
    return tuple(texts), f"DROP {word}"


@_render.register(ast.TruncateStmt)
def _(node: Any, text: str) -> tuple[tuple[str, ...], str]:
    texts = tuple(f'DELETE FROM "{x.relname}"' for x in node.relations)
    return texts, _WRITE_TAGS[ast.TruncateStmt]
