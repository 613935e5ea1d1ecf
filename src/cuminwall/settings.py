"""The daemon's settings, read from JSON with comments and checked whole."""

import hashlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import jsonschema

from cuminwall import faults, jsontext, timings
from cuminwall.document import NAME_PATTERN
from cuminwall.faults import Fault
from cuminwall.settingstable import REQUIRED, TABLE, Setting

INSTANCE_ID_CHARS = 16


class Listen(NamedTuple):
    """Where callers connect; without a certificate there is no TLS."""

    host: str
    port: int
    tls_cert: str
    tls_key: str


class Address(NamedTuple):
    """An address that the instance listens on."""

    host: str
    port: int


class Peers(NamedTuple):
    """Where other instances connect, and the secret that they share."""

    host: str
    port: int
    secret: str


class Platform(NamedTuple):
    """Where the platform's services are."""

    endpoint: str


class Credentials(NamedTuple):
    """The daemon's own credentials towards one service's backend servers.

    An empty field leaves what the configuration says.
    """

    user: str
    password: str
    password_env: str


class Log(NamedTuple):
    """What is logged and in which form."""

    level: str
    format: str


class Limits(NamedTuple):
    """Bounds on what the instance holds; times in seconds."""

    login_deadline_s: float
    max_sessions: int
    max_message_bytes: int


class Settings(NamedTuple):
    """The settings of one daemon.

    Attributes:
      instance: The id of this instance.
      zone: Its availability zone.
      shards: Into how many shards stewards divide the services; the same on
        every instance.
      listen: Where callers connect.
      peers: Where other instances connect.
      http: Where health, metrics and status are served.
      platform: Where the platform's services are.
      credentials: Own credentials by service, before the configuration's.
      log: What is logged.
      limits: Bounds on what the instance holds.
      timings: Intervals, timeouts and durations of leases.
    """

    instance: str
    zone: str
    shards: int
    listen: Listen
    peers: Peers
    http: Address
    platform: Platform
    credentials: Mapping[str, Credentials]
    log: Log
    limits: Limits
    timings: timings.Timings


SECTIONS: dict[str, Any] = {
    "listen": Listen,
    "peers": Peers,
    "http": Address,
    "platform": Platform,
    "log": Log,
    "limits": Limits,
    "timings": timings.Timings,
}
# Each lease and the interval at which it is renewed.
LEASES = (
    ("write_lease_s", "lease_renew_s"),
    ("steward_lease_s", "steward_renew_s"),
    ("promise_s", "steward_renew_s"),
    ("fresh_s", "relay_ask_s"),
)
RENEWALS_PER_LEASE = 2
CREDENTIALS_SCHEMA = {
    "type": "object",
    "additionalProperties": {
        "type": "object",
        "properties": {
            "user": {"type": "string", "minLength": 1},
            "password": {"type": "string", "minLength": 1},
            "password_env": {"type": "string", "minLength": 1},
        },
        "additionalProperties": False,
    },
}


def _field_schema(setting: Setting) -> dict[str, Any]:
    """Returns the schema of one setting."""
    if setting.kind is str:
        schema: dict[str, Any] = {"type": "string"}
        if setting.choices:
            schema["enum"] = list(setting.choices)
        if setting.default is REQUIRED:
            schema["minLength"] = 1
        if setting.name == "zone":
            schema["pattern"] = NAME_PATTERN
            schema["description"] = "the name of an availability zone"
        return schema
    return {
        "type": "integer" if setting.kind is int else "number",
        "minimum": setting.minimum,
        "maximum": setting.maximum,
        "description": setting.unit or "a port",
    }


def _section_schema() -> dict[str, Any]:
    """Returns the schema of a section that has no settings yet."""
    return {
        "type": "object",
        "properties": {},
        "required": [],
        "additionalProperties": False,
    }


def _make_schema() -> dict[str, Any]:
    """Returns the schema of a whole settings file with all its sections."""
    schema = _section_schema()
    sections = schema["properties"]
    sections["credentials"] = CREDENTIALS_SCHEMA
    for setting in TABLE:
        section = schema
        if setting.section:
            section = sections.setdefault(setting.section, _section_schema())
        section["properties"][setting.name] = _field_schema(setting)
        if setting.default is REQUIRED:
            section["required"].append(setting.name)
    return schema


VALIDATOR = jsonschema.Draft202012Validator(_make_schema())


def read(text: str, entropy: bytes) -> Settings | list[Fault]:
    """Returns the settings in a text, or every fault in it.

    Args:
      text: The settings file.
      entropy: Random bytes, from which an instance without a set id gets one.
    """
    source = jsontext.read(text)
    if isinstance(source, list):
        return source
    given = source.value
    if isinstance(given, dict):
        given = {**{name: {} for name in SECTIONS}, **given}
    found = faults.collect(VALIDATOR, given)
    if found:
        return found
    values = _with_defaults(given)
    found = _cross_check(values)
    if found:
        return faults.sort_distinct(found)
    return _build(values, entropy)


def _with_defaults(given: dict[str, Any]) -> dict[str, Any]:
    """Returns every setting by section, with defaults where none is given."""
    values: dict[str, Any] = {"": {}}
    for setting in TABLE:
        source = given[setting.section] if setting.section else given
        section = values.setdefault(setting.section, {})
        value = source.get(setting.name, setting.default)
        section[setting.name] = setting.kind(value)
    values["credentials"] = given.get("credentials", {})
    return values


def _cross_check(values: dict[str, Any]) -> list[Fault]:
    """Returns the faults between settings."""
    found = []
    listen = values["listen"]
    if bool(listen["tls_cert"]) != bool(listen["tls_key"]):
        expected = "tls_cert and tls_key together, or neither"
        found.append(Fault(("listen", "tls_key"), "one of them", expected))
    for service, item in values["credentials"].items():
        if "password" in item and "password_env" in item:
            expected = "password or password_env, not both"
            path = ("credentials", service, "password_env")
            found.append(Fault(path, "both", expected))
    found += _check_timings(values["timings"])
    return found


def _check_timings(values: dict[str, float]) -> list[Fault]:
    """Returns a fault for each lease that is too short to be renewed."""
    found = []
    for lease, renewal in LEASES:
        least_s = RENEWALS_PER_LEASE * values[renewal]
        if values[lease] >= least_s:
            continue
        expected = f"at least {least_s:g}, {RENEWALS_PER_LEASE} x {renewal}"
        found.append(Fault(("timings", lease), f"{values[lease]:g}", expected))
    return found


def _build(values: dict[str, Any], entropy: bytes) -> Settings:
    """Returns the settings of checked values."""
    sections = {}
    for name, section in SECTIONS.items():
        sections[name] = section(**values[name])
    credentials = {}
    for service, item in values["credentials"].items():
        credentials[service] = Credentials(
            item.get("user", ""),
            item.get("password", ""),
            item.get("password_env", ""),
        )
    top = values[""]
    return Settings(
        instance=top["instance"] or make_instance_id(entropy),
        zone=top["zone"],
        shards=top["shards"],
        credentials=credentials,
        **sections,
    )


def make_instance_id(entropy: bytes) -> str:
    """Returns an id made from random bytes."""
    return hashlib.sha256(entropy).hexdigest()[:INSTANCE_ID_CHARS]
