"""Which reads may accept data of which age.

The rule that names a table goes before the rule for any table, and of two
such rules the one that names the workspace goes before the one for all
workspaces. A read of several tables gets the strictest of their ages.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cuminwall.crosschecks import ANY_WORKSPACE
from cuminwall.document import RuleDocument


class AgeLimits(NamedTuple):
    """The rules for one service and workspace, ages in seconds.

    Attributes:
      default_s: The age for a table that no rule names.
      tables_s: The age of each named table.
      unqualified_tables_s: The strictest age by table name without its schema.
      strictest_s: The age for a read of unknown tables.
    """

    default_s: float
    tables_s: Mapping[str, float]
    unqualified_tables_s: Mapping[str, float]
    strictest_s: float


def max_age_of_read(ages: AgeLimits, tables: tuple[str, ...]) -> float:
    """Returns the oldest data in seconds that a read of `tables` accepts."""
    if not tables:
        return ages.strictest_s
    return min(_age_of_table(ages, table) for table in tables)


def _age_of_table(ages: AgeLimits, table: str) -> float:
    """Returns the age for one table.

    A name may come with its schema here and without it in a rule, or the
    other way round. It is then unclear whether both mean one table, so the
    strictest age counts.
    """
    age_s = ages.tables_s.get(table)
    if age_s is not None and "." in table:
        return age_s
    bare_age_s = ages.unqualified_tables_s.get(_bare(table))
    if bare_age_s is None:
        return ages.default_s
    if age_s is not None:
        return bare_age_s
    return min(bare_age_s, ages.default_s)


def _bare(table: str) -> str:
    """Returns a table's name without its schema."""
    return table.rpartition(".")[2]


def merge_rules(
    rules: Iterable[RuleDocument],
) -> dict[tuple[str, str], AgeLimits]:
    """Returns the rules by service and workspace.

    Each workspace that some rule names has an entry of its own, into which
    the rules for all workspaces are merged; `ANY_WORKSPACE` has the rest.
    """
    named: dict[tuple[str, str], dict[str, float]] = {}
    defaults: dict[tuple[str, str], float] = {}
    for rule in rules:
        scope = (rule["service"], rule["workspace"])
        tables = named.setdefault(scope, {})
        if "tables" not in rule:
            defaults[scope] = float(rule["max_age_s"])
            continue
        for table in rule["tables"]:
            tables[table] = float(rule["max_age_s"])
    ages = {}
    for scope, tables in named.items():
        general = (scope[0], ANY_WORKSPACE)
        merged = {**named.get(general, {}), **tables}
        default_s = defaults.get(scope, defaults.get(general, 0.0))
        ages[scope] = _make_ages(default_s, merged)
    return ages


def _make_ages(default_s: float, tables_s: dict[str, float]) -> AgeLimits:
    """Returns the ages with what lookups need beside them."""
    bare_tables_s: dict[str, float] = {}
    for table, age_s in tables_s.items():
        bare = _bare(table)
        bare_tables_s[bare] = min(age_s, bare_tables_s.get(bare, age_s))
    strictest_s = min([default_s, *tables_s.values()])
    return AgeLimits(default_s, tables_s, bare_tables_s, strictest_s)
