"""Types of results and expressions, as far as the statement shows them.

SQLite has no types for expressions, but clients ask for them before a statement
runs. What isn't evident is text, as PostgreSQL does for unknown literals.
"""

import functools
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from pglast import ast, enums

from cuminwall_standins import values


class Field(NamedTuple):
    """One column of a relation or a result."""

    name: str
    oid: int


Relation = tuple[Field, ...]
Scope = Mapping[str, Relation]
# Gives the columns of a table; none for a table that does not exist.
Catalog = Callable[[str], Relation]

_FUNCTION_OIDS = {
    "count": values.INT8,
    "avg": values.FLOAT8,
    "length": values.INT4,
    "now": values.TIMESTAMPTZ,
    "pg_is_in_recovery": values.BOOL,
    "pg_promote": values.BOOL,
    "pg_sleep": values.VOID,
    "pg_advisory_unlock_all": values.VOID,
    "pg_backend_pid": values.INT4,
    "row_number": values.INT8,
    "random": values.FLOAT8,
}
_SAME_AS_ARGUMENT = ("min", "max", "abs", "round", "lag", "lead", "nullif")
_SUMMED_AS_INT8 = (values.INT2, values.INT4, values.INT8)
_COMPARISONS = ("=", "<>", "!=", "<", ">", "<=", ">=", "~~", "!~~")
_WIDTHS = (
    values.INT2,
    values.INT4,
    values.INT8,
    values.NUMERIC,
    values.FLOAT4,
    values.FLOAT8,
)
_BOOLEANS = (ast.BoolExpr, ast.NullTest, ast.BooleanTest)
_TIMES = (
    enums.SQLValueFunctionOp.SVFOP_CURRENT_TIMESTAMP,
    enums.SQLValueFunctionOp.SVFOP_LOCALTIMESTAMP,
)
_SELECTS = (ast.SelectStmt,)
_UNNAMED = "?column?"
_FIXED_NAMES = {
    ast.CaseExpr: "case",
    ast.CoalesceExpr: "coalesce",
}
_EXPRESSION_LINK = enums.SubLinkType.EXPR_SUBLINK


def result_fields(
    node: Any, catalog: Catalog, outer: Scope | None = None
) -> Relation:
    """Returns the columns of a statement's result; none if it has no rows."""
    scope = dict(outer or {})
    if node.withClause:
        for cte in node.withClause.ctes:
            scope[cte.ctename] = result_fields(cte.ctequery, catalog, scope)
    if type(node) in _SELECTS:
        return _select_fields(node, catalog, scope)
    if not node.returningClause:
        return ()
    own = scope_of(node, catalog, scope)
    return _target_fields(node.returningClause.exprs, own, scope | own, catalog)


def _select_fields(node: Any, catalog: Catalog, scope: Scope) -> Relation:
    if node.larg:
        return result_fields(node.larg, catalog, scope)
    if node.valuesLists:
        fields = []
        for index, value in enumerate(node.valuesLists[0]):
            oid = expression_oid(value, scope, catalog)
            fields.append(Field(f"column{index + 1}", oid))
        return tuple(fields)
    own = scope_of(node, catalog, scope)
    return _target_fields(node.targetList or (), own, {**scope, **own}, catalog)


def _target_fields(
    targets: Any, own: Scope, scope: Scope, catalog: Catalog
) -> Relation:
    fields: list[Field] = []
    for target in targets:
        value = target.val
        last = (getattr(value, "fields", None) or (None,))[-1]
        if isinstance(last, ast.A_Star):
            fields.extend(_star(value, own))
            continue
        name = target.name or _default_name(value)
        fields.append(Field(name, expression_oid(value, scope, catalog)))
    return tuple(fields)


def _star(node: Any, scope: Scope) -> Iterator[Field]:
    if len(node.fields) > 1:
        yield from scope.get(node.fields[-2].sval, ())
        return
    for relation in scope.values():
        yield from relation


@functools.singledispatch
def scope_of(node: Any, catalog: Catalog, outer: Scope) -> dict[str, Relation]:
    """Returns the relations that a node names itself."""
    return {}


@scope_of.register(ast.RangeVar)
def _(node: Any, catalog: Catalog, outer: Scope) -> dict[str, Relation]:
    alias = node.alias.aliasname if node.alias else node.relname
    return {alias: outer.get(node.relname) or catalog(node.relname)}


@scope_of.register(ast.RangeSubselect)
def _(node: Any, catalog: Catalog, outer: Scope) -> dict[str, Relation]:
    name = node.alias.aliasname if node.alias else ""
    return {name: result_fields(node.subquery, catalog, outer)}


@scope_of.register(ast.JoinExpr)
def _(node: Any, catalog: Catalog, outer: Scope) -> dict[str, Relation]:
    left = scope_of(node.larg, catalog, outer)
    shared = [name.sval for name in node.usingClause or ()]
    for alias, fields in scope_of(node.rarg, catalog, outer).items():
        left[alias] = tuple(x for x in fields if x.name not in shared)
    return left


@scope_of.register(ast.SelectStmt)
def _(node: Any, catalog: Catalog, outer: Scope) -> dict[str, Relation]:
    found: dict[str, Relation] = {}
    for item in node.fromClause or ():
        found |= scope_of(item, catalog, outer)
    return found


@scope_of.register(ast.InsertStmt)
@scope_of.register(ast.UpdateStmt)
@scope_of.register(ast.DeleteStmt)
def _(node: Any, catalog: Catalog, outer: Scope) -> dict[str, Relation]:
    found = scope_of(node.relation, catalog, outer)
    for item in getattr(node, "fromClause", None) or ():
        found |= scope_of(item, catalog, outer)
    return found


@functools.singledispatch
def _default_name(node: Any) -> str:
    """Returns the name of a result column that has no alias."""
    return _FIXED_NAMES.get(type(node), _UNNAMED)


@_default_name.register(ast.ColumnRef)
def _(node: Any) -> str:
    return node.fields[-1].sval


@_default_name.register(ast.FuncCall)
def _(node: Any) -> str:
    return node.funcname[-1].sval


@_default_name.register(ast.TypeCast)
def _(node: Any) -> str:
    name = _default_name(node.arg)
    return node.typeName.names[-1].sval if name == _UNNAMED else name


@_default_name.register(ast.SubLink)
def _(node: Any) -> str:
    if node.subLinkType is not _EXPRESSION_LINK:
        return "exists"
    if not node.subselect.targetList:
        return _UNNAMED
    target = node.subselect.targetList[0]
    return target.name or _default_name(target.val)


@_default_name.register(ast.SQLValueFunction)
def _(node: Any) -> str:
    return node.op.name.removeprefix("SVFOP_").lower()


def first_operand_oid(nodes: Any, scope: Scope, catalog: Catalog) -> int:
    """Returns the type of the first operand that is no bare parameter."""
    for node in nodes:
        if isinstance(node, ast.ParamRef) or node is None:
            continue
        return expression_oid(node, scope, catalog)
    return values.TEXT


def _common_oid(nodes: Any, scope: Scope, catalog: Catalog) -> int:
    """Returns the type that a CASE or its kin gives all its branches."""
    oids = []
    for node in nodes:
        if node is None or isinstance(node, (ast.ParamRef, ast.A_Const)):
            continue
        oids.append(expression_oid(node, scope, catalog))
    if not oids:
        return first_operand_oid(nodes, scope, catalog)
    return values.TEXT if values.TEXT in oids else oids[0]


@functools.singledispatch
def expression_oid(node: Any, scope: Scope, catalog: Catalog) -> int:
    """Returns the type of an expression."""
    if isinstance(node, _BOOLEANS):
        return values.BOOL
    return values.TEXT


@expression_oid.register(ast.ColumnRef)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    name = getattr(node.fields[-1], "sval", "")
    relations = list(scope.values())
    if len(node.fields) > 1 and node.fields[-2].sval in scope:
        relations.insert(0, scope[node.fields[-2].sval])
    for relation in relations:
        for field in relation:
            if field.name == name:
                return field.oid
    return values.TEXT


@expression_oid.register(ast.A_Const)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    if isinstance(node.val, ast.Integer):
        return values.INT4
    if isinstance(node.val, ast.Boolean):
        return values.BOOL
    if isinstance(node.val, ast.Float):
        return values.INT8 if str(node.val.fval).isdigit() else values.FLOAT8
    return values.TEXT


@expression_oid.register(ast.TypeCast)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    return values.type_oid(node.typeName.names[-1].sval)


@expression_oid.register(ast.FuncCall)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    name = node.funcname[-1].sval
    if name in _SAME_AS_ARGUMENT and node.args:
        return expression_oid(node.args[0], scope, catalog)
    if name == "sum":
        oid = expression_oid(node.args[0], scope, catalog)
        return values.INT8 if oid in _SUMMED_AS_INT8 else oid
    return _FUNCTION_OIDS.get(name, values.TEXT)


@expression_oid.register(ast.A_Expr)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    operator = node.name[-1].sval
    if node.kind is enums.A_Expr_Kind.AEXPR_NULLIF:
        return expression_oid(node.lexpr, scope, catalog)
    if node.kind is not enums.A_Expr_Kind.AEXPR_OP or operator in _COMPARISONS:
        return values.BOOL
    if operator == "||":
        return values.TEXT
    widest = -1
    for operand in (node.lexpr, node.rexpr):
        if operand is None or isinstance(operand, ast.ParamRef):
            continue
        oid = expression_oid(operand, scope, catalog)
        if oid in _WIDTHS:
            widest = max(widest, _WIDTHS.index(oid))
    return _WIDTHS[widest] if widest >= 0 else values.TEXT


@expression_oid.register(ast.CaseExpr)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    results = [branch.result for branch in node.args]
    return _common_oid([*results, node.defresult], scope, catalog)


@expression_oid.register(ast.CoalesceExpr)
@expression_oid.register(ast.MinMaxExpr)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    return _common_oid(node.args, scope, catalog)


@expression_oid.register(ast.SubLink)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    if node.subLinkType is not _EXPRESSION_LINK:
        return values.BOOL
    fields = result_fields(node.subselect, catalog, scope)
    return fields[0].oid if fields else values.TEXT


@expression_oid.register(ast.SQLValueFunction)
def _(node: Any, scope: Scope, catalog: Catalog) -> int:
    return values.TIMESTAMPTZ if node.op in _TIMES else values.TEXT
