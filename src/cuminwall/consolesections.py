"""The pages of the console and their columns."""

from typing import NamedTuple

NAME_COLUMN = "name"

TEXT = "text"
NUMBER = "number"
NAMES = "names"
STATE = "state"


class Column(NamedTuple):
    """One field of each row.

    Attributes:
      name: The name of the field in the document.
      label: The column's heading, with the unit.
      kind: How the value is converted to and from text.
      is_key: Whether it is part of the item's name instead of its content.
      is_optional: Whether it may be left empty.
    """

    name: str
    label: str
    kind: str = TEXT
    is_key: bool = False
    is_optional: bool = False


class Section(NamedTuple):
    """One page with a form.

    Attributes:
      name: The section of the document.
      title: Its title.
      help: A short explanation for the operator.
      columns: The fields of a row.
      path: The path of its items in the document; "*" matches every name.
    """

    name: str
    title: str
    help: str
    columns: tuple[Column, ...]
    path: tuple[str, ...]


SECTIONS = (
    Section(
        "workspaces",
        "Workspaces",
        "Rate and burst apply to all instances together.",
        (
            Column(NAME_COLUMN, "Workspace", is_key=True),
            Column("rate", "Rate (requests/s)", NUMBER),
            Column("burst", "Burst (requests)", NUMBER),
            Column(
                "services",
                "Services (empty: all)",
                NAMES,
                is_optional=True,
            ),
            Column(
                "keys_grace_s",
                "Grace period of keys (s)",
                NUMBER,
                is_optional=True,
            ),
        ),
        ("workspaces",),
    ),
    Section(
        "rules",
        "Rules",
        "The maximum age of the data that reads may accept. A rule that names "
        "tables takes precedence over one for any table.",
        (
            Column("service", "Service"),
            Column("workspace", "Workspace (*: all)"),
            Column("tables", "Tables (empty: any)", NAMES, is_optional=True),
            Column("max_age_s", "Maximum age (s)", NUMBER),
        ),
        ("rules",),
    ),
    Section(
        "open_routes",
        "Open routes",
        "Tables that anyone may read without a key.",
        (
            Column("service", "Service"),
            Column("tables", "Tables (empty: all)", NAMES, is_optional=True),
        ),
        ("open_routes",),
    ),
    Section(
        "zones",
        "Availability zones",
        "A zone that is out of service gets no new work after a few seconds.",
        (
            Column(NAME_COLUMN, "Zone", is_key=True),
            Column("state", "State", STATE),
        ),
        ("zones",),
    ),
    Section(
        "servers",
        "Backend servers",
        "A server that is out of service gets no new work after a few seconds.",
        (
            Column("service", "Service", is_key=True),
            Column(NAME_COLUMN, "Server", is_key=True),
            Column("host", "Host"),
            Column("port", "Port", NUMBER),
            Column("zone", "Zone"),
            Column("state", "State", STATE),
        ),
        ("services", "*", "servers"),
    ),
)
