"""The operators' one document: its shape, its schema and its defaults.

The document is the whole of the configuration. It is checked as a whole:
`check` returns every fault at once, those of the schema and those between
fields (`cuminwall.crosschecks`).
"""

from typing import Any, NotRequired, TypedDict, cast

import jsonschema

from cuminwall import crosschecks, faults
from cuminwall.crosschecks import ANY_TABLE
from cuminwall.faults import Fault
from cuminwall.redaction import HIDDEN

SERVING = "serving"
OUT = "out"
ACKNOWLEDGE_PRIMARY = "primary"
ACKNOWLEDGE_REPLICA = "replica"

MAPPED_SECTIONS = ("zones", "workspaces", "services", "keys")
LISTED_SECTIONS = ("rules", "open_routes")
SECTIONS = MAPPED_SECTIONS + LISTED_SECTIONS

DEFAULT_SLOTS = 3
DEFAULT_HOME_COUNT_PER_ZONE = 2
DEFAULT_RESERVED_CONNECTIONS = 2
DEFAULT_ACKNOWLEDGE = ACKNOWLEDGE_REPLICA
DEFAULT_KEYS_GRACE_S = 0
MAX_KEYS_GRACE_S = 300
MAX_RATE_PER_S = 1_000_000
MAX_CONNECTIONS = 10_000
MAX_AGE_LIMIT_S = 7 * 24 * 3600


class ZoneDocument(TypedDict):
    """An availability zone."""

    state: NotRequired[str]


class ServerDocument(TypedDict):
    """A backend server of a database service."""

    host: str
    port: int
    zone: str
    state: NotRequired[str]


class ServiceDocument(TypedDict):
    """A database service: one database group and how it is used."""

    servers: dict[str, ServerDocument]
    database: str
    user: str
    password: NotRequired[str]
    password_env: NotRequired[str]
    connections_per_server: int
    reserved_connections: NotRequired[int]
    slots: NotRequired[int]
    acknowledge: NotRequired[str]
    home_count_per_zone: NotRequired[int]


class WorkspaceDocument(TypedDict):
    """A workspace; without `services` it may use them all."""

    rate: float
    burst: float
    services: NotRequired[list[str]]
    keys_grace_s: NotRequired[float]


class KeyDocument(TypedDict):
    """A key, by its verifier alone."""

    workspace: str
    verifier: str


class RuleDocument(TypedDict):
    """Which reads may accept data of which age."""

    service: str
    workspace: str
    tables: NotRequired[list[str]]
    max_age_s: float


class OpenRouteDocument(TypedDict):
    """What may be read without a key; without `tables`, all of it."""

    service: str
    tables: NotRequired[list[str]]


class Document(TypedDict):
    """The whole configuration."""

    zones: dict[str, ZoneDocument]
    workspaces: dict[str, WorkspaceDocument]
    services: dict[str, ServiceDocument]
    keys: dict[str, KeyDocument]
    rules: list[RuleDocument]
    open_routes: list[OpenRouteDocument]


NAME_PATTERN = r"^[a-z0-9][a-z0-9_-]{0,62}\Z"
NAME = {
    "type": "string",
    "pattern": NAME_PATTERN,
    "description": (
        "1 to 63 lower-case letters, digits, - and _, "
        "beginning with a letter or digit"
    ),
}
TEXT = {"type": "string", "minLength": 1, "maxLength": 255}
PASSWORD = {
    **TEXT,
    "not": {"const": HIDDEN},
    "description": f"the password itself; {HIDDEN} stands for a hidden one",
}
STATE = {"enum": [SERVING, OUT]}
TABLES = {
    "type": "array",
    "items": {
        "type": "string",
        "pattern": r"^[^\s,/*\"]{1,127}\Z",
        "description": 'the name of a table, without blanks and , / * "',
    },
    "minItems": 1,
    "uniqueItems": True,
}
VERIFIER = {
    "type": "string",
    "pattern": (
        r"^SCRAM-SHA-256\$[1-9][0-9]{3,6}:[A-Za-z0-9+/]{16,}={0,2}"
        r"\$[A-Za-z0-9+/]{43}=:[A-Za-z0-9+/]{43}=\Z"
    ),
    "description": "a verifier SCRAM-SHA-256$rounds:salt$stored:server",
}


def _integer(minimum: int, maximum: int) -> dict[str, Any]:
    """Returns the schema of a whole number."""
    return {"type": "integer", "minimum": minimum, "maximum": maximum}


def _object(required: dict[str, Any], optional: dict[str, Any]) -> dict:
    """Returns the schema of an object without unknown fields."""
    return {
        "type": "object",
        "properties": {**required, **optional},
        "required": list(required),
        "additionalProperties": False,
    }


def _mapping(item: dict[str, Any]) -> dict[str, Any]:
    """Returns the schema of a mapping from names to items."""
    return {
        "type": "object",
        "propertyNames": NAME,
        "additionalProperties": item,
    }


SERVER_SCHEMA = _object(
    {"host": TEXT, "port": _integer(1, 65535), "zone": NAME},
    {"state": STATE},
)
SERVICE_SCHEMA = _object(
    {
        "servers": {**_mapping(SERVER_SCHEMA), "minProperties": 1},
        "database": TEXT,
        "user": TEXT,
        "connections_per_server": _integer(1, MAX_CONNECTIONS),
    },
    {
        "password": PASSWORD,
        "password_env": TEXT,
        "reserved_connections": _integer(0, MAX_CONNECTIONS),
        "slots": _integer(1, 100),
        "acknowledge": {"enum": [ACKNOWLEDGE_PRIMARY, ACKNOWLEDGE_REPLICA]},
        "home_count_per_zone": _integer(1, 100),
    },
)
WORKSPACE_SCHEMA = _object(
    {
        "rate": {
            "type": "number",
            "exclusiveMinimum": 0,
            "maximum": MAX_RATE_PER_S,
            "description": "requests a second",
        },
        "burst": {
            "type": "number",
            "minimum": 1,
            "maximum": MAX_RATE_PER_S,
            "description": "requests",
        },
    },
    {
        # An empty list might be read as "all" or as "none".
        "services": {
            "type": "array",
            "items": NAME,
            "minItems": 1,
            "uniqueItems": True,
        },
        "keys_grace_s": {
            "type": "number",
            "minimum": 0,
            "maximum": MAX_KEYS_GRACE_S,
            "description": "seconds",
        },
    },
)
RULE_SCHEMA = _object(
    {
        "service": NAME,
        "workspace": {
            "type": "string",
            "pattern": rf"^\*\Z|{NAME_PATTERN}",
            "description": "the name of a workspace, or *",
        },
        "max_age_s": {
            "type": "number",
            "minimum": 0,
            "maximum": MAX_AGE_LIMIT_S,
            "description": "seconds",
        },
    },
    {"tables": TABLES},
)
SCHEMA = _object(
    {},
    {
        "zones": _mapping(_object({}, {"state": STATE})),
        "workspaces": _mapping(WORKSPACE_SCHEMA),
        "services": _mapping(SERVICE_SCHEMA),
        "keys": _mapping(
            _object({"workspace": NAME, "verifier": VERIFIER}, {})
        ),
        "rules": {"type": "array", "items": RULE_SCHEMA},
        "open_routes": {
            "type": "array",
            "items": _object({"service": NAME}, {"tables": TABLES}),
        },
    },
)
VALIDATOR = jsonschema.Draft202012Validator(SCHEMA)


def check(value: Any) -> Document | list[Fault]:
    """Returns `value` as a normal document, or every fault in it."""
    found = faults.collect(VALIDATOR, value)
    if isinstance(value, dict):
        found += crosschecks.check(value)
    if found:
        return faults.sort_distinct(found)
    return normalize(value)


def normalize(value: dict[str, Any]) -> Document:
    """Returns a document with every section and its lists in order.

    The order of rules and open routes has no meaning.
    """
    document: dict[str, Any] = {}
    for section in MAPPED_SECTIONS:
        document[section] = dict(value.get(section, {}))
    for section in LISTED_SECTIONS:
        items = value.get(section, [])
        document[section] = sorted(items, key=item_name)
    return cast(Document, document)


def empty() -> Document:
    """Returns the document that holds nothing."""
    return normalize({})


def item_name(item: Any) -> str:
    """Returns the name that tells a rule or open route from the others.

    `item` is a `RuleDocument` or an `OpenRouteDocument`.
    """
    parts = [item["service"]]
    if "workspace" in item:
        parts.append(item["workspace"])
    parts.append(",".join(sorted(item.get("tables", [ANY_TABLE]))))
    return "/".join(parts)
