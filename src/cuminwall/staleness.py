"""Rules for the greatest age of the data that a read accepts.

A rule that names a table takes precedence over a rule for any table; of two
such rules, the one that names the workspace takes precedence over the one for
all workspaces. A read of several tables gets the strictest of their ages.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cuminwall.crosschecks import ANY_WORKSPACE
from cuminwall.document import RuleDocument


class AgeLimits(NamedTuple):
    """The greatest ages for one service and workspace, in seconds.

    Attributes:
      default_s: The age for a table that no rule names.
      tables_s: The age of each named table.
      unqualified_tables_s: The strictest age of each table name without its
        schema.
      strictest_s: The smallest age, for a read of unknown tables.
    """

    default_s: float
    tables_s: Mapping[str, float]
    unqualified_tables_s: Mapping[str, float]
    strictest_s: float


def max_age_of_read(ages: AgeLimits, tables: tuple[str, ...]) -> float:
    """Returns the greatest age that a read of `tables` accepts, in seconds."""
    if not tables:
        return ages.strictest_s
    return min(_age_of_table(ages, table) for table in tables)


def _age_of_table(ages: AgeLimits, table: str) -> float:
    """Returns the age for one table.

    If only one of the name here and the name in a rule has a schema, it is
    unclear whether they mean the same table, so the strictest age applies.
    """
    age_s = ages.tables_s.get(table)
    if age_s is not None and "." in table:
        return age_s
    unqualified_age_s = ages.unqualified_tables_s.get(_unqualified(table))
    if unqualified_age_s is None:
        return ages.default_s
    if age_s is not None:
        return unqualified_age_s
    return min(unqualified_age_s, ages.default_s)


def _unqualified(table: str) -> str:
    """Returns a table's name without its schema."""
    return table.rpartition(".")[2]


def merge_rules(
    rules: Iterable[RuleDocument],
) -> dict[tuple[str, str], AgeLimits]:
    """Returns the merged rules by service and workspace.

    The entry of a workspace that some rule names includes the rules for all
    workspaces; the entry `ANY_WORKSPACE` is for all other workspaces.
    """
    tables_by_scope: dict[tuple[str, str], dict[str, float]] = {}
    defaults: dict[tuple[str, str], float] = {}
    for rule in rules:
        scope = (rule["service"], rule["workspace"])
        tables = tables_by_scope.setdefault(scope, {})
        if "tables" not in rule:
            defaults[scope] = float(rule["max_age_s"])
            continue
        for table in rule["tables"]:
            tables[table] = float(rule["max_age_s"])
    ages = {}
    for scope, tables in tables_by_scope.items():
        general = (scope[0], ANY_WORKSPACE)
        merged = {**tables_by_scope.get(general, {}), **tables}
        default_s = defaults.get(scope, defaults.get(general, 0.0))
        ages[scope] = _make_ages(default_s, merged)
    return ages


def _make_ages(default_s: float, tables_s: dict[str, float]) -> AgeLimits:
    """Returns the ages with the derived values that lookups use."""
    bare_tables_s: dict[str, float] = {}
    for table, age_s in tables_s.items():
        unqualified = _unqualified(table)
        bare_tables_s[unqualified] = min(
            age_s, bare_tables_s.get(unqualified, age_s)
        )
    strictest_s = min([default_s, *tables_s.values()])
    return AgeLimits(default_s, tables_s, bare_tables_s, strictest_s)
