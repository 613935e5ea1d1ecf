"""Every setting of the daemon: its default, unit, bounds and meaning.

The defaults, the validation and the operators' page are derived from it.
"""

from typing import Any, NamedTuple

from cuminwall import timings

SECONDS = "s"
BYTES = "bytes"
REQUIRED = None


class Setting(NamedTuple):
    """One setting.

    Attributes:
      section: The section that it belongs to, or "" for the top level.
      name: Its name in the section.
      default: Its default; `REQUIRED` when it has none.
      unit: The unit of a number, or "".
      meaning: Its description on the operators' page.
      minimum: The smallest number allowed.
      maximum: The largest number allowed.
      choices: The strings allowed; empty allows all.
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
    """Returns a string setting."""
    return Setting(section, name, default, "", meaning, choices=choices)


def _port(section: str, default: int, meaning: str) -> Setting:
    """Returns a port setting."""
    return Setting(section, "port", default, "", meaning, 0, 65535, kind=int)


def _time(name: str, minimum: float, maximum: float, meaning: str) -> Setting:
    """Returns a timing in seconds with the default from `timings.DEFAULTS`."""
    default = getattr(timings.DEFAULTS, name)
    return Setting(
        "timings",
        name,
        default,
        SECONDS,
        meaning,
        minimum,
        maximum,
        kind=float,
    )


def _limit(
    name: str,
    default: int,
    unit: str,
    minimum: int,
    maximum: int,
    meaning: str,
) -> Setting:
    """Returns an integer limit."""
    return Setting(
        "limits", name, default, unit, meaning, minimum, maximum, kind=int
    )


TABLE: tuple[Setting, ...] = (
    _text(
        "",
        "instance",
        "",
        "The id of this instance; if empty, a new id is made at each start.",
    ),
    _text("", "zone", REQUIRED, "The availability zone of this instance."),
    Setting(
        "",
        "shards",
        4,
        "",
        "The number of shards into which services and workspaces are divided "
        "among the stewards; it must be the same on every instance.",
        1,
        1024,
        kind=int,
    ),
    _text("listen", "host", "0.0.0.0", "The IP address for callers."),
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
        "The IP address at which other instances reach this one.",
    ),
    _text(
        "peers",
        "secret",
        REQUIRED,
        "The shared secret with which instances authenticate to each other.",
    ),
    _port("peers", 7432, "The port for other instances."),
    _text(
        "http",
        "host",
        "0.0.0.0",
        "The IP address for health, metrics and status; `cuminctl key "
        "withdraw --wait` queries `http.port` on the host of `peers`.",
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
        "The lowest level that is logged.",
        ("debug", "info", "warning", "error"),
    ),
    _text(
        "log", "format", "text", "The format of a log line.", ("text", "json")
    ),
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
        "The largest message accepted from a caller.",
    ),
    _time(
        "tick_s",
        0.005,
        1,
        "How often timeouts and other time-based conditions are checked.",
    ),
    _time(
        "probe_interval_s",
        0.01,
        60,
        "How often each backend server is probed for its state and position.",
    ),
    _time(
        "probe_timeout_s", 0.01, 60, "How long each step of a probe may take."
    ),
    _time(
        "write_lease_s",
        0.1,
        60,
        "The duration of a write lease; a change of primary waits for it to "
        "expire when a holder is unreachable.",
    ),
    _time("lease_renew_s", 0.01, 30, "How often write leases are renewed."),
    _time(
        "steward_lease_s",
        2,
        60,
        "The duration of a steward's lease in the platform's store, in whole "
        "seconds.",
    ),
    _time("steward_renew_s", 0.1, 30, "How often a steward renews it."),
    _time(
        "promise_s",
        0.5,
        60,
        "How long a successor promises not to acquire a shard while the store "
        "is unavailable.",
    ),
    _time(
        "successor_delay_s",
        0.01,
        10,
        "How much later each next successor tries to acquire a shard without "
        "a steward.",
    ),
    _time(
        "orphan_s",
        1,
        600,
        "How long any other instance waits before it acquires a shard whose "
        "steward and successors are all gone.",
    ),
    _time(
        "report_age_s",
        0.1,
        60,
        "How old a home's report of a backend server may be to be used.",
    ),
    _time(
        "permit_s",
        0.1,
        60,
        "How long an order to promote a backend server is valid.",
    ),
    _time(
        "planned_drain_s",
        0,
        600,
        "How long open transactions may delay a planned change of primary.",
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
        "How long a request waits for a backend server that can serve it.",
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
        "How often the newest version of the configuration is requested.",
    ),
    _time(
        "fresh_s",
        0.5,
        60,
        "How long requests with a key are served after the configuration was "
        "last confirmed, not counting the workspace's grace period.",
    ),
    _time(
        "withdrawn_grace_s",
        0,
        60,
        "How long a running statement may continue after its key was "
        "withdrawn.",
    ),
    _time(
        "idle_grace_s",
        0,
        600,
        "How long an idle session that may get no new work stays open, so "
        "that its next request gets an error instead of a closed connection.",
    ),
    _time(
        "members_keep_s",
        0,
        600,
        "How long an instance is kept after it vanished from the instance "
        "list.",
    ),
    _time(
        "home_retry_s",
        0.05,
        60,
        "How long a home that did not answer is not used.",
    ),
    _time(
        "share_lease_s",
        0.5,
        60,
        "How long an instance may use its share of a workspace's rate "
        "without hearing from the steward; after that only its floor is left.",
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
        "How long a request that exceeds its instance's share of the rate "
        "waits for a token.",
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
        "How long a connection in use may stay open after its share expired "
        "before another home may open one in its place.",
    ),
    _time(
        "store_timeout_s",
        0.05,
        60,
        "How long a call to the platform's store may take.",
    ),
    _time(
        "list_interval_s",
        0.05,
        60,
        "How often the instance list is read and this instance's entry "
        "renewed.",
    ),
    _time(
        "drain_s",
        0,
        3600,
        "How long a graceful shutdown waits for open requests and "
        "transactions.",
    ),
)
