"""Drives a single reducer as a home, an entry instance or a steward."""

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
    """Returns the zones of a document, one of them out of service."""
    zones: dict[str, dict] = {name: {} for name in ZONES}
    zones[zone] = {"state": "out"}
    return zones


def make_record(*terms: tuple[int, str, int, int], active: bool = True) -> Any:
    """Returns a group record from terms given as tuples."""
    entries = tuple(messages.TermEntry(*term) for term in terms)
    return messages.GroupRecord("ledger", active, entries)


def _is_hidden(effect: Any) -> bool:
    """Returns whether an effect is hidden from the tests."""
    if isinstance(effect, effects.SendToPeer):
        return isinstance(effect.message, messages.ShareRequest)
    return isinstance(effect, effects.Log | effects.SetPermits)


def grant_shares(known: state.State) -> None:
    """Grants ample shares of limits that have none yet."""
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
      now: The clock, advanced by the test.
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

        Log lines, permits and requests for shares are left out: here all
        shares are ample, and other tests cover how they are granted.
        """
        found = reducer.reduce(self.state, make(self.now, *fields))
        grant_shares(self.state)
        return [item for item in found if not _is_hidden(item)]

    def receive_message(self, sender: str, message: Any) -> list[Any]:
        """Feeds a message from a peer."""
        return self.reduce(events.PeerMessageReceived, sender, message)

    def tick(self, after_s: float = 0.0) -> list[Any]:
        """Advances the clock and feeds a tick."""
        self.now += after_s
        return self.reduce(events.Tick)

    def load_config(self, version: int, **changes: Any) -> list[Any]:
        """Puts a configuration in force."""
        return self.reduce(events.ConfigLoaded, make_config(version, **changes))

    def list_instances(self, *names: str, leaving: str = "") -> list[Any]:
        """Feeds an instance list."""
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
        """Feeds an answered probe that was sent just now."""
        answer = probes.ProbeAnswer(in_recovery, lsn, timeline)
        return self.reduce(
            events.ServerProbed, "ledger", server, self.now, answer
        )

    def fail_probe(self, server: str) -> list[Any]:
        """Feeds a failed probe that was sent just now."""
        return self.reduce(
            events.ServerProbed, "ledger", server, self.now, outcomes.NO_SERVER
        )

    def grant_write_lease(
        self, term: int = 1, until: float = NOW + 1000.0
    ) -> None:
        """Sets the write lease."""
        self.group.lease_term = term
        self.group.lease_until = until

    def receive_round(self, number: int, **fields: Any) -> list[Any]:
        """Feeds a round that the entry instance b-0 sent to this home."""
        key = work.RoundKey("b-0", number)
        return self.reduce(events.HomeRoundArrived, key, make_request(**fields))

    def return_result(self, number: int, **fields: Any) -> list[Any]:
        """Feeds a backend server's result of a round from b-0."""
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
        """Feeds a round of a caller of this instance."""
        access = fields.get("access", work.Access.READ)
        return self.reduce(
            events.RoundArrived,
            session,
            number,
            access,
            fields.get("begins_transaction", False),
            fields.get("ends", False),
            None,
            fields.get("tables", ()),
        )


def make_home(term_record: Any = RECORD, **changes: Any) -> Harness:
    """Returns a home with a write lease; its servers are at position 1000."""
    home = Harness(**changes)
    home.receive_message("b-0", messages.RecordUpdate(term_record))
    home.grant_write_lease(term_record.terms[-1].term)
    primary = term_record.terms[-1].primary
    timeline = term_record.terms[-1].timeline
    for server in SERVERS:
        home.probe(server, 1000, server != primary, timeline)
    return home


def make_request(**fields: Any) -> work.RoundRequest:
    """Returns the request of a write, with the given fields changed."""
    values: dict[str, Any] = {
        "service": "ledger",
        "workspace": "clerks",
        "session": 7,
        "access": work.Access.WRITE,
        "begins_transaction": False,
        "ends_transaction": False,
        "pinned": False,
        "floor": None,
        "max_age_s": None,
        "config_version": 1,
    }
    values.update(fields)
    return work.RoundRequest(**values)


def make_result(**fields: Any) -> work.ServerResult:
    """Returns a successful result, with the given fields changed."""
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
    """Returns the messages of a type with their receivers."""
    pairs = []
    for item in find(found, effects.SendToPeer):
        if isinstance(item.message, type_):
            pairs.append((item.instance, item.message))
    return pairs


def answer_of(found: list[Any]) -> work.HomeAnswer:
    """Returns the answer to the only round that ended."""
    return only(found, effects.Answer).answer


def make_steward(term_record: Any = RECORD) -> Harness:
    """Returns the instance b-0 as the steward of "ledger"."""
    steward = Harness("b-0")
    stewardship = steward.state.stewardships[0] = state.Stewardship(0)
    stewardship.active = True
    stewardship.active_since = NOW
    stewardship.epoch = 1
    stewardship.lease_id = 9
    stewardship.valid_until = NOW + 1000.0
    stewardship.renewed_at = NOW
    stewardship.record = {
        "shard": 0,
        "epoch": 1,
        "steward": "b-0",
        "successors": ["a-0", "c-0"],
        "write_id": "b-0:1",
    }
    managed_group = stewardship.managed_groups["ledger"] = state.ManagedGroup(
        "ledger"
    )
    managed_group.record = term_record
    managed_group.revision = 4
    return steward


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
    """Sends a steward a home's request for leases, with its reports."""
    known = ((("ledger", 1, True)),)
    ask = messages.LeaseRequest(number, 0, home[0], known, tuple(reports))
    return steward.receive_message(home, ask)


def granted_s(found: list[Any]) -> float:
    """Returns the length of the only lease that a steward granted."""
    ((_, answer),) = sent_messages(found, messages.LeaseReply)
    (grant,) = answer.grants
    return grant.duration_s


LONG_AGO = leases.NEVER
