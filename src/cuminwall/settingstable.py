"""Every setting of the daemon: its default, unit, bounds and meaning.

This one table drives the defaults, the check and the page for operators.
"""

from typing import Any, NamedTuple

SECONDS = "s"
BYTES = "bytes"
REQUIRED = None


class Setting(NamedTuple):
    """One setting.

    Attributes:
      section: The section that it stands in, or "" for the top.
      name: Its name in the section.
      default: Its default; `REQUIRED` when it has none.
      unit: The unit of a number, or "".
      meaning: What it does, for the operators' page.
      minimum: The least number allowed.
      maximum: The greatest number allowed.
      choices: The texts allowed; empty allows all.
      kind: The type of the value.
    """

    section: str
    name: str
    default: Any
    unit: str
    meaning: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    kind: type = str


def _text(
    section: str,
    name: str,
    default: str | None,
    meaning: str,
    choices: tuple[str, ...] = (),
) -> Setting:
    """Returns a setting that holds a text."""
    return Setting(section, name, default, "", meaning, choices=choices)


def _port(section: str, default: int, meaning: str) -> Setting:
    """Returns a setting that holds a port."""
    return Setting(section, "port", default, "", meaning, 0, 65535, kind=int)


def _time(
    name: str, default: float, least: float, most: float, meaning: str
) -> Setting:
    """Returns a timing, in seconds."""
    return Setting(
        "timings", name, default, SECONDS, meaning, least, most, kind=float
    )


def _limit(
    name: str, default: int, unit: str, least: int, most: int, meaning: str
) -> Setting:
    """Returns a limit that is a whole number."""
    return Setting(
        "limits", name, default, unit, meaning, least, most, kind=int
    )


TABLE: tuple[Setting, ...] = (
    _text(
        "",
        "instance",
        "",
        "The id of this instance; without one a new id is made at each start.",
    ),
    _text("", "zone", REQUIRED, "The availability zone of this instance."),
    Setting(
        "",
        "shards",
        4,
        "",
        "Into how many shards stewards divide services and workspaces; it "
        "must be the same on every instance.",
        1,
        1024,
        kind=int,
    ),
    _text("listen", "host", "0.0.0.0", "The IP number for callers."),
    _port("listen", 5432, "The port for callers; 0 lets the system choose."),
    _text(
        "listen",
        "tls_cert",
        "",
        "The file of the TLS certificate chain; without it there is no TLS.",
    ),
    _text("listen", "tls_key", "", "The file of the TLS private key."),
    _text(
        "peers",
        "host",
        REQUIRED,
        "The IP number on which other instances reach this one.",
    ),
    _text(
        "peers",
        "secret",
        REQUIRED,
        "The fleet's secret, by which instances know each other.",
    ),
    _port("peers", 7432, "The port for other instances."),
    _text(
        "http",
        "host",
        "0.0.0.0",
        "The IP number for health, metrics and status; `cuminctl key "
        "withdraw --wait` asks there on the host of `peers`.",
    ),
    _port("http", 9432, "The port for health, metrics and status."),
    _text(
        "platform",
        "endpoint",
        REQUIRED,
        "The URL of the platform's key-value service and instance list.",
    ),
    _text(
        "log",
        "level",
        "info",
        "The least level that is logged.",
        ("debug", "info", "warning", "error"),
    ),
    _text("log", "format", "text", "The form of a log line.", ("text", "json")),
    Setting(
        "limits",
        "login_deadline_s",
        10.0,
        SECONDS,
        "How long a caller may take to log in.",
        0.1,
        300,
        kind=float,
    ),
    Setting(
        "limits",
        "queue_timeout_s",
        5.0,
        SECONDS,
        "How long a request waits for a connection to a backend server.",
        0.01,
        300,
        kind=float,
    ),
    _limit("max_sessions", 5000, "callers", 1, 1_000_000, "Callers at once."),
    _limit(
        "max_waiting",
        1000,
        "requests",
        0,
        1_000_000,
        "Requests that may wait for a connection at a time.",
    ),
    _limit(
        "max_message_bytes",
        16_777_216,
        BYTES,
        1024,
        1_073_741_824,
        "The largest message taken from a caller.",
    ),
    _limit(
        "buffer_bytes",
        262_144,
        BYTES,
        4096,
        67_108_864,
        "Bytes of an answer held for a caller that reads slowly.",
    ),
    _limit(
        "statement_cache",
        10_000,
        "statements",
        1,
        10_000_000,
        "Classified statements that are remembered.",
    ),
    _limit(
        "prepared_per_connection",
        200,
        "statements",
        1,
        100_000,
        "Prepared statements kept on one connection to a backend server.",
    ),
    _time(
        "probe_interval_s",
        0.25,
        0.01,
        60,
        "How often each backend server is asked for its state and position.",
    ),
    _time(
        "probe_timeout_s",
        1.0,
        0.01,
        60,
        "How long a probe waits for its answer.",
    ),
    _time(
        "connect_timeout_s",
        2.0,
        0.01,
        60,
        "How long opening a connection may take.",
    ),
    _time(
        "answer_timeout_s",
        30.0,
        0.1,
        86_400,
        "How long a connection may stay silent while it owes an answer, "
        "before it is probed.",
    ),
    _time(
        "write_lease_s",
        2.0,
        0.1,
        60,
        "How long a granted write lease holds; a failover waits for it.",
    ),
    _time(
        "rate_lease_s",
        2.0,
        0.1,
        60,
        "How long a granted share of a workspace's rate holds.",
    ),
    _time(
        "connection_lease_s",
        5.0,
        0.1,
        60,
        "How long a granted share of a backend server's connections holds.",
    ),
    _time(
        "steward_lease_s",
        5.0,
        2,
        60,
        "How long a steward's lease in the platform's store holds; it is "
        "rounded up to whole seconds.",
    ),
    _time(
        "renew_interval_s",
        0.5,
        0.01,
        30,
        "How often leases of every kind are renewed.",
    ),
    _time(
        "drift_margin_s",
        0.1,
        0.001,
        10,
        "What a holder takes off each lease for the difference of clocks.",
    ),
    _time(
        "freshness_bound_s",
        5.0,
        0.5,
        60,
        "How long keyed requests go on after the configuration was last "
        "confirmed, before the grace of the workspace.",
    ),
    _time(
        "heartbeat_interval_s",
        0.5,
        0.01,
        30,
        "How often an instance sends a sign of life to its peers.",
    ),
    _time(
        "peer_timeout_s",
        2.0,
        0.05,
        60,
        "How long a peer may stay silent before its connection is replaced.",
    ),
    _time(
        "store_timeout_s",
        1.0,
        0.05,
        60,
        "How long a call of the platform's store may take.",
    ),
    _time(
        "announce_interval_s",
        2.0,
        0.1,
        60,
        "How often this instance renews its place in the instance list.",
    ),
)
