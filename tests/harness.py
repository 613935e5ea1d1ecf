"""One reducer alone, as a home, an entry instance or a steward."""

from typing import Any

from cuminwall import (
    configuration,
    connectionshares,
    document,
    effects,
    events,
    leases,
    messages,
    outcomes,
    ports,
    probes,
    rates,
    reducer,
    state,
    timings,
    work,
)

NOW = 100.0
TIMES = timings.DEFAULTS
ZONES = ("a", "b", "c")
SERVERS = ("sa", "sb", "sc")
FIRST = messages.TermEntry(1, "sa", 1, 0)
FOREVER = 1e9
CONNECTIONS = 5.0
REQUESTS = 1000.0
RECORD = messages.GroupRecord("ledger", True, (FIRST,))


def make_document(**changes: Any) -> document.Document:
    """Returns a document of three zones and the service "ledger"."""
    servers = {}
    for zone in ZONES:
        servers[f"s{zone}"] = {"host": "h", "port": 1, "zone": zone}
    value = {
        "zones": {zone: {} for zone in ZONES},
        "workspaces": {"clerks": {"rate": 1000, "burst": 1000}},
        "services": {
            "ledger": {
                "servers": servers,
                "database": "ledger",
                "user": "u",
                "connections_per_server": 20,
                "acknowledge": changes.pop("acknowledge", "primary"),
            }
        },
        "keys": {"key": {"workspace": "clerks", "verifier": "v"}},
    }
    value.update(changes)
    return document.normalize(value)


def make_config(
    version: int = 1, **changes: Any
) -> configuration.Configuration:
    """Returns a configuration in force."""
    return configuration.parse(make_document(**changes), version)


def zones_without(zone: str) -> dict[str, dict]:
    """Returns the zones of a document with one taken out."""
    zones: dict[str, dict] = {name: {} for name in ZONES}
    zones[zone] = {"state": "out"}
    return zones


def make_record(*terms: tuple[int, str, int, int], active: bool = True) -> Any:
    """Returns a group record from plain terms."""
    entries = tuple(messages.TermEntry(*term) for term in terms)
    return messages.GroupRecord("ledger", active, entries)


def _is_left_out(effect: Any) -> bool:
    """Returns whether an effect is not for the tests to look at."""
    if isinstance(effect, effects.SendToPeer):
        return isinstance(effect.message, messages.ShareRequest)
    return isinstance(effect, effects.Log | effects.SetPermits)


def grant_shares(known: state.State) -> None:
    """Lends ample shares of what is new."""
    for group in known.groups.values():
        for server in group.servers.values():
            if server.share.floor_until < FOREVER:
                server.share.floor = (CONNECTIONS,)
                server.share.floor_until = FOREVER
                connectionshares.apply_share(known, group, server, [])
    for workspace in known.config.workspaces:
        bucket = rates.get_bucket(known, workspace)
        if bucket is not None and bucket.share.until < FOREVER:
            bucket.share.held = (REQUESTS, REQUESTS)
            bucket.share.until = FOREVER
            bucket.level = REQUESTS


class Harness:
    """A reducer that knows three instances and the service "ledger".

    Attributes:
      state: Its state.
      now: The clock; the test moves it.
    """

    def __init__(self, instance: str = "a-0", **changes: Any):
        zone = instance[0]
        self.now = NOW
        self.state = state.State(instance, zone, TIMES, 1, NOW - 60.0)
        self.state.now = NOW
        self.state.fresh_until = NOW + 1000.0
        shard = messages.ShardRecord(0, 1, "b-0", ("a-0", "c-0"), True, 5)
        self.state.shards[0] = shard
        self.list_instances("a-0", "b-0", "c-0")
        self.load_config(1, **changes)

    def reduce(self, make: Any, *fields: Any) -> list[Any]:
        """Feeds an event and returns its effects.

        Log lines are left out, and so are the asks for shares, which the
        tests of the shares look at: here all shares are ample.
        """
        found = reducer.reduce(self.state, make(self.now, *fields))
        grant_shares(self.state)
        return [item for item in found if not _is_left_out(item)]

    def receive_message(self, sender: str, message: Any) -> list[Any]:
        """Feeds a peer's message."""
        return self.reduce(events.PeerMessageReceived, sender, message)

    def tick(self, after_s: float = 0.0) -> list[Any]:
        """Lets time go on."""
        self.now += after_s
        return self.reduce(events.Tick)

    def load_config(self, version: int, **changes: Any) -> list[Any]:
        """Puts a configuration in force."""
        return self.reduce(events.ConfigLoaded, make_config(version, **changes))

    def list_instances(self, *names: str, leaving: str = "") -> list[Any]:
        """Shows the instance list."""
        records = []
        for name in names:
            line = ports.InstanceRecord(name, name[0], "", 0, name == leaving)
            records.append(line)
        return self.reduce(events.InstancesListed, tuple(records))

    @property
    def group(self) -> state.Group:
        """The group that it is a home of."""
        return self.state.groups["ledger"]

    def probe(
        self,
        server: str,
        lsn: int,
        in_recovery: bool = True,
        timeline: int = 1,
    ) -> list[Any]:
        """Shows an answered probe that was sent just now."""
        answer = probes.ProbeAnswer(in_recovery, lsn, timeline)
        return self.reduce(
            events.ServerProbed, "ledger", server, self.now, answer
        )

    def fail_probe(self, server: str) -> list[Any]:
        """Shows a probe without answer."""
        return self.reduce(
            events.ServerProbed, "ledger", server, self.now, outcomes.NO_SERVER
        )

    def grant_write_lease(
        self, term: int = 1, until: float = NOW + 1000.0
    ) -> None:
        """Lends the write lease of a term."""
        self.group.lease_term = term
        self.group.lease_until = until

    def receive_round(self, number: int, **fields: Any) -> list[Any]:
        """Brings a round of the entry instance b-0 to this home."""
        key = work.RoundKey("b-0", number)
        return self.reduce(events.HomeRoundArrived, key, make_request(**fields))

    def return_result(self, number: int, **fields: Any) -> list[Any]:
        """Brings a backend server's answer."""
        key = work.RoundKey("b-0", number)
        return self.reduce(events.RoundExecuted, key, make_result(**fields))

    def open_session(self, number: int = 7, **fields: Any) -> Any:
        """Opens a session; returns the failure or None."""
        values = {
            "service": "ledger",
            "key_id": "key",
            "workspace": "clerks",
            "token": "",
            "client": "test",
        }
        values.update(fields)
        login = work.Login(**values)
        found = self.reduce(events.SessionOpened, number, login)
        return only(found, effects.Reject, effects.Admit)

    def send_round(
        self, number: int, session: int = 7, **fields: Any
    ) -> list[Any]:
        """Sends a round of a caller here."""
        access = fields.get("access", work.Access.READ)
        return self.reduce(
            events.RoundArrived,
            session,
            number,
            access,
            fields.get("begins", False),
            fields.get("ends", False),
            None,
            fields.get("tables", ()),
        )


def make_home(term_record: Any = RECORD, **changes: Any) -> Harness:
    """Returns a home with a lease, whose servers all stand at 1000."""
    lone = Harness(**changes)
    lone.receive_message("b-0", messages.RecordUpdate(term_record))
    lone.grant_write_lease(term_record.terms[-1].term)
    primary = term_record.terms[-1].primary
    timeline = term_record.terms[-1].timeline
    for server in SERVERS:
        lone.probe(server, 1000, server != primary, timeline)
    return lone


def make_request(**fields: Any) -> work.RoundRequest:
    """Returns an order of a write, with the given fields changed."""
    values: dict[str, Any] = {
        "service": "ledger",
        "workspace": "clerks",
        "session": 7,
        "access": work.Access.WRITE,
        "begins": False,
        "ends_transaction": False,
        "pinned": False,
        "floor": None,
        "max_age_s": None,
        "config_version": 1,
    }
    values.update(fields)
    return work.RoundRequest(**values)


def make_result(**fields: Any) -> work.ServerResult:
    """Returns a server's success, with the given fields changed."""
    values: dict[str, Any] = {
        "status": b"I",
        "loss": work.Loss.NONE,
        "delivered": False,
        "errored": False,
        "in_recovery": False,
        "lsn": 1001,
    }
    values.update(fields)
    return work.ServerResult(**values)


def find(found: list[Any], *types: type) -> list[Any]:
    """Returns the effects of the given types."""
    return [item for item in found if isinstance(item, types)]


def only(found: list[Any], *types: type) -> Any:
    """Returns the single effect of the given types."""
    (item,) = find(found, *types)
    return item


def sent_messages(found: list[Any], type_: type) -> list[Any]:
    """Returns who is sent which message of a type."""
    pairs = []
    for item in find(found, effects.SendToPeer):
        if isinstance(item.message, type_):
            pairs.append((item.instance, item.message))
    return pairs


def answer_of(found: list[Any]) -> work.HomeAnswer:
    """Returns the answer to the single round that ended."""
    return only(found, effects.Answer).answer


def make_steward(term_record: Any = RECORD) -> Harness:
    """Returns the instance b-0 as the steward of "ledger"."""
    lone = Harness("b-0")
    hold = lone.state.stewardships[0] = state.Stewardship(0)
    hold.active = True
    hold.active_since = NOW
    hold.epoch = 1
    hold.lease_id = 9
    hold.valid_until = NOW + 1000.0
    hold.renewed_at = NOW
    hold.record = {
        "shard": 0,
        "epoch": 1,
        "steward": "b-0",
        "successors": ["a-0", "c-0"],
        "write_id": "b-0:1",
    }
    charge = hold.managed_groups["ledger"] = state.ManagedGroup("ledger")
    charge.record = term_record
    charge.revision = 4
    return lone


def make_report(
    server: str,
    reachable: bool = True,
    lsn: int = 1000,
    primary: bool = False,
    timeline: int = 1,
) -> messages.ServerReport:
    """Returns a home's report of a server."""
    return messages.ServerReport(
        "ledger", server, reachable, not primary, timeline, lsn, 0.0
    )


def send_reports(
    steward: Harness,
    home: str,
    *reports: messages.ServerReport,
    number: int = 1,
) -> list[Any]:
    """Sends a steward an ask of a home with its reports."""
    known = ((("ledger", 1, True)),)
    ask = messages.LeaseRequest(number, 0, home[0], known, tuple(reports))
    return steward.receive_message(home, ask)


def granted_s(found: list[Any]) -> float:
    """Returns the length of the lease in the single answer of a steward."""
    ((_, answer),) = sent_messages(found, messages.LeaseReply)
    (grant,) = answer.grants
    return grant.duration_s


LONG_AGO = leases.NEVER
