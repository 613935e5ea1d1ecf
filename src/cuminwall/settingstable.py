"""Every setting of the daemon: its default, unit, bounds and meaning.

This one table drives the defaults, the check and the page for operators.
"""

from typing import Any, NamedTuple

from cuminwall import timings

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


def _time(name: str, least: float, most: float, meaning: str) -> Setting:
    """Returns a timing, in seconds; its default is that of `timings`."""
    default = getattr(timings.DEFAULTS, name)
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
    _limit("max_sessions", 5000, "callers", 1, 1_000_000, "Callers at once."),
    _limit(
        "max_message_bytes",
        16_777_216,
        BYTES,
        1024,
        1_073_741_824,
        "The largest message taken from a caller.",
    ),
    _time(
        "tick_s",
        0.005,
        1,
        "How often the decisions are told that time went on.",
    ),
    _time(
        "probe_interval_s",
        0.01,
        60,
        "How often each backend server is asked for its state and position.",
    ),
    _time(
        "probe_timeout_s", 0.01, 60, "How long each step of a probe may take."
    ),
    _time(
        "write_lease_s",
        0.1,
        60,
        "How long a write lease holds; a change of primary waits for "
        "it when a holder is out of reach.",
    ),
    _time("lease_renew_s", 0.01, 30, "How often write leases are renewed."),
    _time(
        "steward_lease_s",
        2,
        60,
        "How long a steward's lease in the platform's store holds, "
        "in whole seconds.",
    ),
    _time("steward_renew_s", 0.1, 30, "How often a steward renews it."),
    _time(
        "promise_s",
        0.5,
        60,
        "How long a successor holds still while the store is away.",
    ),
    _time(
        "successor_delay_s",
        0.01,
        10,
        "How much later each next successor tries to take a vacant shard.",
    ),
    _time(
        "orphan_s",
        1,
        600,
        "How long a shard waits whose steward and successors are all gone.",
    ),
    _time(
        "report_age_s",
        0.1,
        60,
        "How old a home's report of a backend server may be to count.",
    ),
    _time(
        "permit_s",
        0.1,
        60,
        "How long an order to promote a backend server stands.",
    ),
    _time(
        "planned_drain_s",
        0,
        600,
        "How long open transactions may hold up a planned change of primary.",
    ),
    _time(
        "promote_s",
        0.1,
        600,
        "How long a promotion may take before another server is tried.",
    ),
    _time(
        "park_s",
        0.1,
        600,
        "How long a request waits for a backend server that may serve it.",
    ),
    _time(
        "replica_wait_s",
        0,
        10,
        "How long a read waits for a replica to catch up before it "
        "goes to the primary.",
    ),
    _time(
        "replica_ack_s",
        0.1,
        600,
        "How long a write waits for a replica to have it.",
    ),
    _time(
        "relay_ask_s",
        0.05,
        30,
        "How often the newest version of the configuration is asked for.",
    ),
    _time(
        "fresh_s",
        0.5,
        60,
        "How long keyed requests go on after the configuration was "
        "last confirmed, before the grace of the workspace.",
    ),
    _time(
        "withdrawn_grace_s",
        0,
        60,
        "How long a statement that runs may go on after its key was withdrawn.",
    ),
    _time(
        "idle_grace_s",
        0,
        600,
        "How long an idle session stays open where it gets no new work, so "
        "that its next request is refused and not cut.",
    ),
    _time(
        "members_keep_s",
        0,
        600,
        "How long an instance that the list no longer shows is kept.",
    ),
    _time(
        "home_retry_s",
        0.05,
        60,
        "How long a home that did not answer is passed over.",
    ),
    _time(
        "share_lease_s",
        0.5,
        60,
        "How long an instance may use its share of a workspace's rate "
        "without hearing from the steward; after that it has its floor.",
    ),
    _time(
        "share_floor_s",
        60,
        3600,
        "How long an instance that cannot reach the steward keeps its floor "
        "of rates and connections.",
    ),
    _time("share_renew_s", 0.05, 10, "How often shares are renewed."),
    _time(
        "share_wait_s",
        0,
        5,
        "How long a request over its instance's share waits for more.",
    ),
    _time(
        "connection_lease_s",
        1,
        60,
        "How long a home may use its share of a backend server's "
        "connections without hearing from the steward.",
    ),
    _time(
        "connection_drain_s",
        0,
        3600,
        "How long a connection in use may outlast its share before another "
        "home may open one in its place.",
    ),
    _time(
        "store_timeout_s",
        0.05,
        60,
        "How long a call of the platform's store may take.",
    ),
    _time(
        "list_interval_s",
        0.05,
        60,
        "How often the instance list is read and this instance's line renewed.",
    ),
    _time(
        "drain_s", 0, 3600, "How long a graceful shutdown waits for open work."
    ),
)
