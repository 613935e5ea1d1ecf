"""Types of parameters, as far as the statement shows them."""

import functools
from collections.abc import Iterator
from typing import Any

from pglast import ast

from cuminwall_standins import inference, sql, values

# A node, and the type it must have.
Hint = tuple[Any, int]

_PARAMETER_OIDS = {"pg_sleep": values.FLOAT8}


def parameter_oids(
    node: Any, count: int, catalog: inference.Catalog
) -> list[int]:
    """Returns the type of each of a statement's parameters."""
    scope: dict[str, inference.Relation] = {}
    for inner in sql.walk(node):
        scope |= inference.scope_of(inner, catalog, scope)
    found: dict[int, int] = {}
    for inner in sql.walk(node):
        for parameter, oid in _hints(inner, scope, catalog):
            if isinstance(parameter, ast.ParamRef):
                found.setdefault(parameter.number or 0, oid)
    return [found.get(number + 1, values.TEXT) for number in range(count)]


@functools.singledispatch
def _hints(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    """Yields direct children of a node, each with the type it must have."""
    yield from ()


@_hints.register(ast.TypeCast)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    yield node.arg, inference.expression_oid(node, scope, catalog)


@_hints.register(ast.SelectStmt)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    yield node.limitCount, values.INT8
    yield node.limitOffset, values.INT8


@_hints.register(ast.FuncCall)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    oid = _PARAMETER_OIDS.get(node.funcname[-1].sval, values.TEXT)
    for argument in node.args or ():
        yield argument, oid


@_hints.register(ast.CoalesceExpr)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    oid = inference.first_operand_oid(node.args, scope, catalog)
    for argument in node.args:
        yield argument, oid


@_hints.register(ast.ResTarget)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    if node.name:
        reference = ast.ColumnRef(fields=(ast.String(sval=node.name),))
        yield node.val, inference.expression_oid(reference, scope, catalog)


@_hints.register(ast.A_Expr)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    left = node.lexpr if isinstance(node.lexpr, tuple) else (node.lexpr,)
    right = node.rexpr if isinstance(node.rexpr, tuple) else (node.rexpr,)
    oid = inference.first_operand_oid(left + right, scope, catalog)
    for operand in left + right:
        yield operand, oid


@_hints.register(ast.InsertStmt)
def _(
    node: Any, scope: inference.Scope, catalog: inference.Catalog
) -> Iterator[Hint]:
    fields = catalog(node.relation.relname)
    if node.cols:
        known = {field.name: field for field in fields}
        names = [target.name for target in node.cols]
        fields = tuple(
            known.get(x, inference.Field(x, values.TEXT)) for x in names
        )
    if not node.selectStmt:
        return
    rows = list(node.selectStmt.valuesLists or ())
    if node.selectStmt.targetList:
        rows.append([x.val for x in node.selectStmt.targetList])
    for row in rows:
        for value, field in zip(row, fields, strict=False):
            yield value, field.oid
