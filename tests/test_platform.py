"""Tests of the platform adapter: wire, settings, store, provider."""

import asyncio
import base64
import copy
import json
import math
import pathlib
import sys
import unittest
from typing import Any

import hypothesis
from hypothesis import strategies as st
from loguru import logger

from cuminwall import exceptions, plainhttp
from cuminwall.direct import (
    catalog,
    commands,
    effects,
    events,
    follower,
    ports,
    reducer,
    revisions,
    state,
    statements,
    store_view,
)
from cuminwall.direct.answers import (
    Answer,
    Failure,
    Phase,
    Position,
    Reason,
    Status,
    failed,
)
from cuminwall.direct.catalog import Freshness

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A package named `platform` would clash with the standard library's module.
sys.path.insert(0, str(ROOT / "platform"))

from fleet import (  # noqa: E402
    lines,
    provider,
    settings,
    store,
    store_items,
)
from fleet.line_buffer import MAX_LINE_BYTES  # noqa: E402
from tests import direct_world  # noqa: E402

SETTINGS = """
NodeName = "edge-1"
Ip = "10.1.0.26"
Zone = "sediu"
PortRange = [7560, 7575]
Unknown = "ignored"
[ListenAddrs]
Frontend = "10.1.0.26:8465"
Ready = "10.1.0.26:8460"
[Limits]
CpuQuota = 0.5
Cores = 3
MemoryMb = 200
MaxFds = 4300
[Bounds]
GracePeriodS = 9
[platform]
Address = "10.200.1.7:8466"
[Provider]
Address = "10.200.0.2:8467"
"""
ENTRY = {
    "Service": "s",
    "Address": "10.128.0.9:8080",
    "Zone": "sediu",
    "Version": "v1",
    "Capacity": 3,
    "State": "ready",
    "WarmupLeftMs": 1500,
    "DbRole": "replica",
    "Sequence": 4,
    "born": 1700000000000,
}
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r",
            "Host": "db",
            "Kind": "own",
            "TimeoutMs": 800,
            "TargetLatencyMs": 250,
            "Priority": 2,
            "Service": "s",
            "MaxStalenessMs": 2500,
            "Public": False,
        }
    ],
    "Services": [{"Name": "s", "MaxConns": 22, "WarmupPerS": 0.0}],
    "Limits": {"TxIdleMs": 3000},
    "Tenants": [
        {"Name": "t", "ApiKeys": ["k1", "k2"], "RatePerS": 66, "Burst": 5}
    ],
}


def feed_line(codec: lines.CallerLines, size: int, pieces: int) -> Any:
    """Returns the message in a READ of so many bytes before its line end."""
    data = b"QUERY 1 READ ".ljust(size, b"x") + b"\r\n"
    found = []
    step = len(data) // pieces + 1
    for start in range(0, len(data), step):
        found.extend(codec.feed(data[start : start + step]))
    (message,) = found
    return message


class CallerLinesTest(unittest.TestCase):
    """The protocol towards callers."""

    def test_each_statement(self) -> None:
        shape = statements.Shape(True, "q2c")
        expected = {
            "BEGIN": statements.Begin("1", "BEGIN", False),
            "BEGIN READ": statements.Begin("1", "BEGIN READ", True),
            "COMMIT": statements.Commit("1", "COMMIT"),
            "ROLLBACK": statements.Rollback("1", "ROLLBACK"),
            "READ 1a4": statements.Read("1", "READ 1a4"),
            "WRITE 1a4 a b": statements.Write("1", "WRITE 1a4 a b"),
            "SET n a b": statements.Assign("1", "SET n a b", "n", "a b"),
            "PREPARE s1 WRITE q2c": statements.Prepare(
                "1", "PREPARE s1 WRITE q2c", "s1", shape
            ),
            "EXECUTE s1 1a4 x": statements.Execute(
                "1", "EXECUTE s1 1a4 x", "s1"
            ),
            "DEALLOCATE s1": statements.Deallocate("1", "DEALLOCATE s1", "s1"),
        }
        for text, statement in expected.items():
            with self.subTest(text):
                self.assertEqual(lines.parse_statement("1", text), statement)

    def test_malformed_statements(self) -> None:
        for text in ("", "read 1", "BEGIN WRITE", "SET n", "PREPARE s READ"):
            with self.subTest(text):
                result = lines.parse_statement("1", text)
                self.assertIsInstance(result, statements.Malformed)

    def test_bytes_in_any_pieces(self) -> None:
        data = b"STARTUP db key\r\nQUERY 1 WRITE 1 \xff\xfe x\r\nTERMINATE\r\n"
        whole = lines.CallerLines().feed(data)
        codec = lines.CallerLines()
        pieces = []
        for index in range(len(data)):
            pieces.extend(codec.feed(data[index : index + 1]))
        self.assertEqual(whole, pieces)
        self.assertEqual(whole[0], ports.Login("db", "key"))
        command = commands.Forward(whole[1], None)
        sent = lines.ServerLines().encode_command(command)
        self.assertEqual(sent, b"QUERY 1 WRITE 1 \xff\xfe x\r\n")

    def test_endless_line(self) -> None:
        codec = lines.CallerLines()
        for _ in range(5):
            self.assertEqual(codec.feed(b"x" * MAX_LINE_BYTES), [])
            self.assertLessEqual(len(codec.buffer.rest), MAX_LINE_BYTES + 1)
        (message,) = codec.feed(b"\r\n")
        self.assertIsInstance(message, statements.Malformed)
        (message,) = codec.feed(b"QUERY 1 READ 2\r\n")
        self.assertEqual(message, statements.Read("1", "READ 2"))

    def test_statements_sent_ahead_are_decoded_a_few_at_a_time(self) -> None:
        codec = lines.CallerLines()
        data = b"QUERY 1 READ 2\r\n"
        found = codec.feed(5 * data + data[:4], 2)
        self.assertEqual((len(found), codec.count_held()), (2, 52))
        found = [*codec.feed(b"", 2), *codec.feed(b"", 2)]
        self.assertEqual((len(found), codec.count_held()), (3, 4))
        self.assertEqual(codec.feed(data[4:], 2), [found[0]])

    def test_line_at_the_limit(self) -> None:
        for pieces in (1, 3):
            codec = lines.CallerLines()
            found = feed_line(codec, MAX_LINE_BYTES, pieces)
            self.assertEqual(len(found.text), MAX_LINE_BYTES - len("QUERY 1 "))
            self.assertIsInstance(found, statements.Read)

    def test_line_over_the_limit_whose_end_is_there(self) -> None:
        for pieces in (1, 3):
            codec = lines.CallerLines()
            found = feed_line(codec, MAX_LINE_BYTES + 1, pieces)
            self.assertIsInstance(found, statements.Malformed)
            self.assertEqual((found.request, found.text), ("1", ""))

    def test_no_message_outgrows_the_limit_by_another_name(self) -> None:
        for text in ("EXECUTE s 1 ", "PREPARE s WRITE "):
            for size in range(MAX_LINE_BYTES - 6, MAX_LINE_BYTES + 1):
                line = f"QUERY 1 {text}".encode().ljust(size, b"\xff")
                (found,) = lines.CallerLines().feed(line + b"\r\n")
                room = size + commands.MAX_NAME_CHARS - 1 <= MAX_LINE_BYTES
                is_refused = isinstance(found, statements.Malformed)
                self.assertEqual(is_refused, not room, (text, size))

    def test_empty_value_and_shape(self) -> None:
        value = lines.parse_statement("1", "SET n ")
        self.assertEqual(value, statements.Assign("1", "SET n ", "n", ""))
        text = "PREPARE s READ "
        empty = statements.Shape(False, "")
        expected = statements.Prepare("1", text, "s", empty)
        self.assertEqual(lines.parse_statement("1", text), expected)

    def test_error_of_a_server_does_not_outgrow_the_limit(self) -> None:
        detail = "x" * MAX_LINE_BYTES
        answer = failed(Reason.FAILED, detail, Phase.IDLE)
        data = lines.CallerLines().encode_answer(answer)
        error, ready, _ = data.split(b"\r\n")
        self.assertEqual(len(error), MAX_LINE_BYTES)
        self.assertEqual(ready, b"READY I -")

    def test_messages_that_are_not_allowed(self) -> None:
        junk = (
            b"",
            b" ",
            b"QUERY",
            b"QUERY ",
            b"QUERY 1",
            b"QUERY - READ 1",
            b"QUERY  READ 1",
            b"query 1 READ 1",
            b"\xff\x00",
        )
        for line in junk:
            with self.subTest(line):
                (message,) = lines.CallerLines().feed(line + b"\r\n")
                self.assertIsInstance(message, statements.Malformed)

    def test_answers(self) -> None:
        codec = lines.CallerLines()
        good = Answer(("a b",), "7.1f3", None, Phase.OPEN, Position(3, 9))
        self.assertEqual(
            codec.encode_answer(good),
            b"ROW a b\r\nCOMPLETE 7.1f3\r\nREADY T 3.9\r\n",
        )
        failure = Failure(Reason.OVERLOADED, "over the rate")
        bad = Answer(("a",), "", failure, Phase.IDLE, None)
        self.assertEqual(
            codec.encode_answer(bad),
            b"ERROR BUSY over the rate\r\nREADY I -\r\n",
        )


class ServerLinesTest(unittest.TestCase):
    """The protocol towards backend servers."""

    def open(self) -> lines.ServerLines:
        codec = lines.ServerLines()
        self.assertEqual(
            codec.encode_login("s", "t", "i-7"), b"STARTUP s t i-7\r\n"
        )
        self.assertEqual(codec.feed(b"READY I 3.1\r\n"), [ports.Opened()])
        return codec

    def test_endless_line(self) -> None:
        codec = self.open()
        with self.assertRaises(exceptions.ProtocolError):
            codec.feed(b"x" * (MAX_LINE_BYTES + 2))

    def test_line_over_the_limit_whose_end_is_there(self) -> None:
        codec = self.open()
        with self.assertRaises(exceptions.ProtocolError):
            codec.feed(b"ROW ".ljust(MAX_LINE_BYTES + 1, b"x") + b"\r\n")

    def test_refused_connection(self) -> None:
        codec = lines.ServerLines()
        result = codec.feed(b"ERROR TOOMANY 22\r\n")
        self.assertEqual(result, [Failure(Reason.TOO_MANY_CONNECTIONS, "22")])

    def test_commands(self) -> None:
        codec = self.open()
        read = statements.Read("5c", "READ 1a4")
        run = statements.Execute("6c", "EXECUTE s1 1a4 x", "s1")
        position = Position(3, 1207)
        expected = [
            (commands.Forward(read, position), b"5c AFTER 3.1207 READ 1a4"),
            (commands.ForwardExecute(run, "w7", None), b"6c EXECUTE w7 1a4 x"),
            (
                commands.OpenTransaction(True, position),
                b"- AFTER 3.1207 BEGIN READ",
            ),
            (commands.OpenTransaction(False, None), b"- BEGIN"),
            (commands.EndTransaction(), b"- ROLLBACK"),
            (commands.ResetConnection(), b"- RESET"),
            (commands.AssignValue("n", "a b"), b"- SET n a b"),
            (commands.AskStatus(), b"- STATUS"),
            (commands.StepDown(4), b"- STEPDOWN 4"),
            (commands.Hold(5), b"- PAUSE 5"),
            (commands.Release(), b"- RESUME"),
        ]
        for command, text in expected:
            sent = codec.encode_command(command)
            self.assertEqual(sent, b"QUERY " + text + b"\r\n")

    def test_answer_cut_off_is_no_answer(self) -> None:
        codec = self.open()
        codec.encode_command(commands.AskStatus())
        self.assertEqual(codec.feed(b"ROW a\r\nCOMPLETE 7\r\n"), [])
        codec = self.open()
        with self.assertRaises(exceptions.ProtocolError):
            codec.feed(b"ROW a\r\nREADY I 3.1\r\n")

    def test_status(self) -> None:
        codec = self.open()
        codec.encode_command(commands.AskStatus())
        result = codec.feed(
            b"ROW replica 3 3.1209 5 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1\r\n"
        )
        status = Status(False, 5, Position(3, 1209), 5)
        self.assertEqual(result[0].status, status)


class FactsTest(unittest.TestCase):
    """Decoding the items of the store."""

    def test_statement_smuggled_in_a_name_of_an_entry(self) -> None:
        smuggled = "x\r\nQUERY 1 WRITE 1 x"
        for key in ("servers/" + smuggled, "servers/i-7 x"):
            self.assertTrue(self.decode(key, ENTRY).is_malformed)
        for service in (smuggled, "billing db", "billing\n"):
            self.check_malformed({**ENTRY, "Service": service})

    def decode(self, key: str, value: object) -> ports.StoreItem | None:
        return store_items.decode(key, json.dumps(value).encode(), 5)

    def test_server(self) -> None:
        entry = self.decode("servers/i-7", ENTRY).value
        self.assertEqual((entry.host, entry.port), ("10.128.0.9", 8080))
        self.assertEqual((entry.cold_s, entry.slots), (1.5, 3))
        self.assertFalse(entry.is_primary)

    def test_entries_of_another_writer_name_no_server(self) -> None:
        for name in ENTRY:
            if name in ("Version", "Sequence", "born"):
                continue
            for value in (None, [], {}, -1, True):
                with self.subTest(f"{name} {value}"):
                    self.check_malformed({**ENTRY, name: value})
        self.check_malformed([1])
        item = store_items.decode("servers/i-7", b"\xff{", 5)
        self.assertEqual((item.value, item.is_malformed), (None, True))

    def check_malformed(self, value: object) -> None:
        """Checks that an entry names no server and counts as malformed."""
        item = self.decode("servers/i-7", value)
        self.assertEqual((item.value, item.is_malformed), (None, True))

    def test_entry_with_a_number_out_of_range_names_no_server(self) -> None:
        for port in ("70000", "-1", "0", "1e3", "9" * 400):
            with self.subTest(port[:9]):
                address = f"10.128.0.9:{port}"
                self.check_malformed({**ENTRY, "Address": address})
        for name in ("Capacity", "WarmupLeftMs", "born"):
            with self.subTest(name):
                self.check_malformed({**ENTRY, name: 10**400})
        deep = b"[" * 100_000
        item = store_items.decode("servers/i-7", deep, 5)
        self.assertEqual((item.value, item.is_malformed), (None, True))

    def test_number_too_large_in_a_configuration_is_bounded(self) -> None:
        whole = self.decode("op/config", CONFIG).value
        tenant = {**CONFIG["Tenants"][0], "RatePerS": 10**400}
        changed = {**CONFIG, "Tenants": [tenant]}
        workspace = whole.workspaces["t"]._replace(rate=catalog.NO_LIMIT)
        expected = whole._replace(workspaces={"t": workspace})
        self.assertEqual(self.decode("op/config", changed).value, expected)
        for version in (math.inf, 10**400, 2**63):
            text = json.dumps({**CONFIG, "Version": version}).encode()
            self.assertIsNone(store_items.decode("op/config", text, 5))

    def test_catalog(self) -> None:
        read = self.decode("op/config", CONFIG).value
        route = read.routes["db"]
        self.assertIs(route.freshness, Freshness.OWN)
        self.assertEqual((route.max_age_s, route.timeout_s), (2.5, 0.8))
        self.assertEqual(read.keys, {"k1": "t", "k2": "t"})

    def test_replicas_that_a_commit_must_have(self) -> None:
        read = self.decode("op/config", CONFIG).value
        self.assertEqual(read.services["s"].sync_replicas, 0)
        service = {**CONFIG["Services"][0], "SyncReplicas": 1}
        changed = {**CONFIG, "Services": [service]}
        read = self.decode("op/config", changed).value
        self.assertEqual(read.services["s"].sync_replicas, 1)

    def test_malformed_catalog_changes_nothing(self) -> None:
        self.assertIsNone(self.decode("op/config", {"Version": 8}))

    def test_zone(self) -> None:
        item = store_items.decode("op/evacuate/sediu", None, 5)
        self.assertEqual((item.name, item.value), ("sediu", None))


def make_large_config() -> dict[str, Any]:
    """Returns a configuration with two parts of each kind."""
    config = copy.deepcopy(CONFIG)
    config["Routes"].append(
        {**config["Routes"][0], "Name": "r2", "Host": "db2", "Service": "s2"}
    )
    config["Services"].append({**config["Services"][0], "Name": "s2"})
    config["Tenants"].append(
        {"Name": "t2", "ApiKeys": ["k3"], "RatePerS": 7, "Burst": 8}
    )
    return config


def decode_config(config: object) -> catalog.Catalog | None:
    """Returns a configuration as the store's item is decoded."""
    text = json.dumps(config).encode()
    item = store_items.decode("op/config", text, 5)
    return None if item is None else item.value


class DroppedPartsTest(unittest.TestCase):
    """A part that can't be read is dropped; all others are read."""

    def setUp(self) -> None:
        self.config = make_large_config()
        self.whole = decode_config(self.config)

    def test_route_that_cannot_be_read_runs_nothing(self) -> None:
        values = (None, [], {}, -1, True, math.nan, "x")
        for name in ("Host", "Service", "Kind", "TimeoutMs"):
            self.check_route(name, *values[:6])
        for name in ("Kind", "TimeoutMs", "TargetLatencyMs", "MaxStalenessMs"):
            self.check_route(name, *values[1:])
        self.check_route("Public", "false", 1, [], {})
        self.config["Routes"][0] = None
        self.check_only_route_lost()

    def check_route(self, name: str, *values: object) -> None:
        """Checks that a route with one of these values is dropped."""
        route = self.config["Routes"][0]
        for value in values:
            with self.subTest(f"{name} {value}"):
                self.config["Routes"][0] = {**route, name: value}
                self.check_only_route_lost()
        self.config["Routes"][0] = route

    def check_only_route_lost(self) -> None:
        """Checks that the first route is lost and nothing else."""
        routes = {"db2": self.whole.routes["db2"]}
        expected = self.whole._replace(routes=routes)
        self.assertEqual(decode_config(self.config), expected)

    def test_service_that_cannot_be_read_has_the_strictest_limits(self) -> None:
        strictest = catalog.strictest_limits("s")
        cases = {
            "MaxConns": {"connections": strictest.connections},
            "WarmupPerS": {"warmup_rate": strictest.warmup_rate},
            "SyncReplicas": {"sync_replicas": strictest.sync_replicas},
        }
        service = self.config["Services"][0]
        for name, change in cases.items():
            for value in (None, "1", [], -1, True, math.nan):
                with self.subTest(f"{name} {value}"):
                    self.config["Services"][0] = {**service, name: value}
                    limits = self.whole.services["s"]._replace(**change)
                    services = {**self.whole.services, "s": limits}
                    expected = self.whole._replace(services=services)
                    self.assertEqual(decode_config(self.config), expected)

    def test_service_that_is_not_listed_has_the_strictest_limits(self) -> None:
        for services in ([], None, [{"Name": 5}], "none"):
            with self.subTest(services):
                self.config["Services"] = services
                read = decode_config(self.config)
                self.assertEqual(read.routes, self.whole.routes)
                for name in ("s", "s2"):
                    limits = catalog.strictest_limits(name)
                    self.assertEqual(read.services[name], limits)

    def test_workspace_whose_limit_cannot_be_read_runs_nothing(self) -> None:
        workspace = self.config["Tenants"][0]
        for name in ("RatePerS", "Burst"):
            for value in (None, "66", [], -1, True, math.nan):
                with self.subTest(f"{name} {value}"):
                    self.config["Tenants"][0] = {**workspace, name: value}
                    limited = {
                        **self.whole.workspaces,
                        "t": catalog.refused_workspace("t"),
                    }
                    expected = self.whole._replace(workspaces=limited)
                    self.assertEqual(decode_config(self.config), expected)

    def test_workspace_whose_keys_cannot_be_read_admits_nobody(self) -> None:
        for value in (None, "k1", {"k1": 1}, 5, [], [["k1"], 1, None, ""]):
            with self.subTest(value):
                self.config["Tenants"][0]["ApiKeys"] = value
                expected = self.whole._replace(keys={"k3": "t2"})
                self.assertEqual(decode_config(self.config), expected)
        del self.config["Tenants"][0]["ApiKeys"]
        self.assertEqual(decode_config(self.config), expected)

    def test_key_that_cannot_be_read_withdraws_no_other(self) -> None:
        self.config["Tenants"][0]["ApiKeys"] = [None, "k1", ["k2"]]
        expected = self.whole._replace(keys={"k1": "t", "k3": "t2"})
        self.assertEqual(decode_config(self.config), expected)

    def test_workspace_without_a_name_admits_nobody(self) -> None:
        for name in (None, "", 5, [], "a b", "a\r\nQUERY", "\ud800"):
            with self.subTest(name):
                self.config["Tenants"][0]["Name"] = name
                read = decode_config(self.config)
                self.assertEqual(read.keys, {"k3": "t2"})
                self.assertEqual(list(read.workspaces), ["t2"])

    def test_idle_time_that_cannot_be_read(self) -> None:
        for limits in (None, {}, [], 5, {"TxIdleMs": "9"}, {"TxIdleMs": None}):
            with self.subTest(limits):
                self.config["Limits"] = limits
                self.assertEqual(decode_config(self.config), self.whole)
        del self.config["Limits"]
        self.assertEqual(decode_config(self.config), self.whole)

    def test_number_that_is_too_long_spoils_no_other_part(self) -> None:
        self.config["Routes"][0]["MaxStalenessMs"] = "LONG"
        text = json.dumps(self.config).replace('"LONG"', "9" * 5000)
        read = store_items.decode("op/config", text.encode(), 5).value
        self.assertEqual(read.routes["db2"], self.whole.routes["db2"])
        self.assertEqual(read.keys, self.whole.keys)

    def test_parts_that_are_null_or_absent(self) -> None:
        for name in ("Routes", "Tenants"):
            for value in (None, [], {}, "x", "ABSENT"):
                with self.subTest(f"{name} {value}"):
                    changed = {**self.config, name: value}
                    if value == "ABSENT":
                        del changed[name]
                    read = decode_config(changed)
                    self.assertEqual(read.version, 7)
                    is_kept = name != "Routes"
                    self.assertEqual(bool(read.routes), is_kept)
                    self.assertEqual(bool(read.keys), not is_kept)

    def test_whole_that_cannot_be_read_changes_nothing(self) -> None:
        for version in (None, "7", [], True, -1, 7.5, math.inf, math.nan):
            with self.subTest(version):
                self.config["Version"] = version
                self.assertIsNone(decode_config(self.config))
        del self.config["Version"]
        for config in (self.config, {"Version": 8}, [], None, 5, "x"):
            self.assertIsNone(decode_config(config))

    def test_name_that_two_parts_have_is_no_permission(self) -> None:
        route = {**self.config["Routes"][0], "Service": "s2"}
        for other in (route, {"Host": "db"}):
            changed = {**self.config, "Routes": [*self.config["Routes"], other]}
            self.assertEqual(list(decode_config(changed).routes), ["db2"])
        workspace = {**self.config["Tenants"][0], "RatePerS": 99}
        service = {**self.config["Services"][0], "MaxConns": 99}
        self.config["Tenants"].append(workspace)
        self.config["Services"].append(service)
        read = decode_config(self.config)
        self.assertEqual(read.workspaces["t"], catalog.refused_workspace("t"))
        self.assertEqual(read.services["s"], catalog.strictest_limits("s"))
        self.assertEqual(read.keys, self.whole.keys)

    def test_part_that_is_listed_twice(self) -> None:
        for name in ("Routes", "Services", "Tenants"):
            self.config[name] = [*self.config[name], *self.config[name]]
        self.assertEqual(decode_config(self.config), self.whole)

    def test_key_of_two_workspaces_admits_nobody(self) -> None:
        self.config["Tenants"][1]["ApiKeys"] = ["k1", "k3"]
        read = decode_config(self.config)
        self.assertEqual(read.keys, {"k2": "t", "k3": "t2"})

    def test_workspace_with_half_a_limit_has_a_limit(self) -> None:
        workspace = self.config["Tenants"][0]
        self.config["Tenants"][0] = {**workspace, "Burst": 5}
        del self.config["Tenants"][0]["RatePerS"]
        read = decode_config(self.config).workspaces["t"]
        self.assertEqual((read.rate, read.burst), (0.0, 5.0))
        self.config["Tenants"][0] = {**workspace, "RatePerS": 66}
        del self.config["Tenants"][0]["Burst"]
        read = decode_config(self.config).workspaces["t"]
        self.assertEqual((read.rate, read.burst), (66.0, 1.0))

    def test_workspace_is_refused_only_until_its_limit_is_read(self) -> None:
        server = direct_world.FakeServer("p")
        server.is_primary = True
        world = direct_world.World(("a", "b"), (server,))
        world.run(4.0)
        caller = world.instances["a"].caller()
        known = world.config
        refused = known._replace(
            version=2, workspaces={"w": catalog.refused_workspace("w")}
        )
        for config, is_served in (
            (known, True),
            (refused, False),
            (known._replace(version=3), True),
        ):
            world.configure(config)
            world.run(2.0)
            del caller.answers[:]
            for number in range(10):
                caller.send(statements.Read(f"r{number}", "READ 1"))
                world.run(0.2)
            expected = None if is_served else Reason.OVERLOADED
            self.assertEqual(caller.reasons(), [expected] * 10)

    def test_workspace_without_a_limit_is_served(self) -> None:
        workspace = self.config["Tenants"][0]
        del workspace["RatePerS"], workspace["Burst"]
        read = decode_config(self.config).workspaces["t"]
        server = direct_world.FakeServer("p")
        server.is_primary = True
        config = direct_world.make_catalog(1, read.rate, read.burst)
        world = direct_world.World(("a",), (server,), config=config)
        world.run(4.0)
        caller = world.instances["a"].caller()
        for number in range(20):
            caller.send(statements.Read(f"r{number}", "READ 1"))
            world.run(0.2)
        self.assertEqual(caller.reasons(), [None] * 20)

    def test_one_warning_tells_what_was_dropped_and_no_key(self) -> None:
        route = {**self.config["Routes"][0], "Kind": "x" * 1000}
        for number in range(100):
            host = f"many{number}" + "y" * 1000
            self.config["Routes"].append({**route, "Host": host})
        self.config["Tenants"][0]["ApiKeys"] = ["secret", 5]
        self.config["Tenants"][1]["ApiKeys"] = ["secret"]
        lines_logged: list[str] = []
        number = logger.add(lines_logged.append, level="WARNING")
        try:
            self.assertIsNotNone(decode_config(self.config))
        finally:
            logger.remove(number)
        self.assertEqual(len(lines_logged), 1)
        self.assertIn("version 7: 102 parts", lines_logged[0])
        self.assertIn("many0", lines_logged[0])
        self.assertNotIn("secret", lines_logged[0])
        self.assertLess(len(lines_logged[0]), 1000)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from([10**400, 2**63 - 1, 7.0, "", "s", "t2", "k3", "own"])
    | st.text(max_size=3),
    lambda each: (
        st.lists(each, max_size=2)
        | st.dictionaries(st.text(max_size=3), each, max_size=2)
    ),
    max_leaves=4,
)
PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=400
)
SECTION_FIELDS = {
    "Routes": (
        "Host",
        "Service",
        "Kind",
        "TimeoutMs",
        "TargetLatencyMs",
        "MaxStalenessMs",
        "Priority",
        "Public",
        "Unknown",
    ),
    "Services": ("Name", "MaxConns", "WarmupPerS", "SyncReplicas", "Unknown"),
    "Tenants": ("Name", "ApiKeys", "RatePerS", "Burst", "Priority", "Unknown"),
}


@st.composite
def changes_of_items(draw: st.DrawFn) -> tuple[str, str, Any]:
    """Returns a section, a field of its first item and a value for it."""
    section = draw(st.sampled_from(sorted(SECTION_FIELDS)))
    name = draw(st.sampled_from(SECTION_FIELDS[section]))
    value = draw(JSON_VALUES | st.just("REMOVED"))
    return section, name, value


def is_number(value: object) -> bool:
    """Returns whether a JSON value is a number that is not negative."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return value >= 0


class AnyConfigurationTest(unittest.TestCase):
    """Configurations with any value anywhere."""

    def setUp(self) -> None:
        logger.disable("fleet")
        self.addCleanup(logger.enable, "fleet")

    @PROPERTY_SETTINGS
    @hypothesis.given(changes_of_items())
    def test_one_odd_value_spoils_no_other_part(
        self, change: tuple[str, str, Any]
    ) -> None:
        section, name, value = change
        config = make_large_config()
        whole = decode_config(config)
        config[section][0][name] = value
        if value == "REMOVED":
            del config[section][0][name]
        read = decode_config(config)
        self.assertEqual(read.version, 7)
        self.assertEqual(read.transaction_idle_s, whole.transaction_idle_s)
        self.check_true(config, read)
        takes_name = value in ("db2", "s2", "t2")
        if section == "Routes" or not takes_name:
            self.assertEqual(read.workspaces["t2"], whole.workspaces["t2"])
            self.assertEqual(read.services["s2"], whole.services["s2"])
        if section != "Routes":
            self.assertEqual(read.routes, whole.routes)
        elif not takes_name:
            self.assertEqual(read.routes["db2"], whole.routes["db2"])
        if section != "Tenants":
            self.assertEqual(read.keys, whole.keys)
        elif not (isinstance(value, list) and "k3" in value):
            self.assertEqual(read.keys["k3"], "t2")
        if name == "Unknown":
            self.assertEqual(read, whole)

    @PROPERTY_SETTINGS
    @hypothesis.given(
        st.fixed_dictionaries(
            {"Version": st.integers(0, 2**63 - 1)},
            optional={
                "Routes": JSON_VALUES,
                "Services": JSON_VALUES,
                "Tenants": JSON_VALUES,
                "Limits": JSON_VALUES,
                "Unknown": JSON_VALUES,
            },
        ),
        st.lists(changes_of_items(), max_size=4),
    )
    def test_nothing_runs_that_no_part_allows(
        self, odd: dict[str, Any], changes: list[tuple[str, str, Any]]
    ) -> None:
        config = make_large_config()
        for section, name, value in changes:
            config[section][0][name] = value
        for name, value in odd.items():
            config[name] = value
        read = decode_config(config)
        self.assertEqual(read.version, odd["Version"])
        self.check_true(config, read)

    @PROPERTY_SETTINGS
    @hypothesis.given(JSON_VALUES)
    def test_any_whole_is_read_or_changes_nothing(self, value: Any) -> None:
        self.assertIsNone(decode_config(value))

    def check_true(self, config: dict[str, Any], read: catalog.Catalog) -> None:
        """Checks that what is read runs only what the configuration says."""
        for database, route in read.routes.items():
            items = self.find(config, "Routes", "Host", database)
            self.assertTrue(items)
            for item in items:
                self.assertEqual(item["Service"], route.service)
                self.assertTrue(is_number(item["TimeoutMs"]))
                self.assertIs(item.get("Public") is True, route.is_open)
                is_primary = item["Kind"] == "primary"
                self.assertIs(route.freshness is Freshness.ALL, is_primary)
                self.assertTrue(math.isfinite(sum(route[3:6])))
                self.assertIn(route.service, read.services)
        for key, name in read.keys.items():
            for item in config["Tenants"]:
                keys = item.get("ApiKeys") if isinstance(item, dict) else None
                if isinstance(keys, list) and key in keys:
                    self.assertEqual(item["Name"], name)
            self.assertIn(name, read.workspaces)
            self.assertTrue(key and name)
        for name, workspace in read.workspaces.items():
            self.assertTrue(math.isfinite(workspace.rate + workspace.burst))
            for item in self.find(config, "Tenants", "Name", name):
                if "RatePerS" not in item and "Burst" not in item:
                    continue
                rate = item.get("RatePerS", 0)
                self.assertLessEqual(
                    workspace.rate, rate if is_number(rate) else 0
                )
                burst = item.get("Burst", 1)
                self.assertLessEqual(
                    workspace.burst, burst if is_number(burst) else 0
                )

    def find(
        self, config: dict[str, Any], section: str, name: str, value: str
    ) -> list[dict[str, Any]]:
        """Returns the items of a section with one name."""
        found = []
        for item in config[section]:
            if isinstance(item, dict) and item.get(name) == value:
                found.append(item)
        return found


class SettingsTest(unittest.TestCase):
    """The settings file."""

    def test_read(self) -> None:
        own = settings.read(SETTINGS.encode())
        self.assertEqual(own.callers, ("10.1.0.26", 8465))
        self.assertEqual(own.peers, ("10.1.0.26", 7560))
        self.assertEqual(own.limits.grace_s, 9.0)
        self.assertEqual(own.limits.cores, 1.5)
        self.assertEqual(own.limits.memory_bytes, 200_000_000)
        self.assertEqual(own.limits.descriptors, 4300)

    def test_usage_is_reported_where_window_and_duty_are_named(self) -> None:
        windows = (
            "[Bounds]\nReportWindowS = 5\nUsageDelayS = 10\nLeaseMs = 2000"
        )
        named = SETTINGS.replace("[Bounds]", windows)
        reported = settings.read(named.encode()).limits
        self.assertEqual(reported.usage_window_s, 5.0)
        self.assertEqual(reported.usage_delay_s, 10.0)
        self.assertEqual(reported.duty_lease_s, 2.0)
        other = settings.read(f'{named}Duties = ["failover"]\n'.encode()).limits
        self.assertEqual(other.usage_window_s, 0.0)
        self.assertEqual(
            settings.read(SETTINGS.encode()).limits.usage_window_s, 0.0
        )

    def test_faults(self) -> None:
        for text in ("", "x = ", SETTINGS.replace("Zone", "Zine")):
            with self.assertRaises(exceptions.SettingsError):
                settings.read(text.encode())


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """What each answer of the store means."""

    async def asyncSetUp(self) -> None:
        self.answers: list[tuple[int, object]] = []
        self.paths: list[str] = []
        self.era = 0

        async def answer(request: plainhttp.Request) -> plainhttp.Response:
            self.paths.append(request.path)
            status, body = self.answers.pop(0)
            headers = (("Store-Era", str(self.era)),) if self.era else ()
            return plainhttp.Response(
                status, json.dumps(body).encode(), headers
            )

        self.server = await plainhttp.serve("127.0.0.1", 0, answer)
        port = self.server.sockets[0].getsockname()[1]
        self.store = store.Store("127.0.0.1", port)
        self.provider = provider.Provider("127.0.0.1", port)

    async def asyncTearDown(self) -> None:
        for client in (self.store.client, self.store.watcher):
            client.close_idle()
        self.server.close()

    async def swap(self) -> int:
        return await self.store.swap(
            effects.CompareAndSwap(
                1, {"a": 0}, {"a": b"v"}, frozenset(), 0, frozenset()
            )
        )

    async def test_pages(self) -> None:
        value = base64.b64encode(b"v").decode()
        one = {"Key": "cuminwall/a", "Value": value, "Revision": 3}
        two = {"Key": "cuminwall/b", "Value": value, "Revision": 4}
        self.answers = [
            (200, {"items": [one], "HasMore": True, "AsOf": 7}),
            (200, {"items": [two], "HasMore": False, "AsOf": 9}),
        ]
        result = await self.store.read_all()
        self.assertEqual([item.name for item in result.items], ["a", "b"])
        # Changes made after the first page was read may be missing from it.
        self.assertEqual(result.revision, 7)
        self.assertIn("after=cuminwall%2Fa", self.paths[1])

    async def test_swap(self) -> None:
        self.answers = [(200, {"Revision": 412}), (412, {"items": []})]
        self.assertEqual(await self.swap(), 412)
        self.assertEqual(await self.swap(), 0)

    async def test_lease_over(self) -> None:
        granted = {"Lease": 3, "TtlMs": 1000}
        self.answers = [(200, granted), (404, {}), (404, {})]
        await self.store.grant_lease(1.0)
        self.assertEqual(await self.swap(), 0)
        self.assertEqual(await self.store.keep_lease(3), 0.0)

    async def test_refused_calls(self) -> None:
        self.answers = [(503, {}), (429, {})]
        for _ in range(2):
            with self.assertRaises(exceptions.StoreUnavailableError):
                await self.swap()

    async def test_lost_history(self) -> None:
        self.answers = [(410, {})]
        with self.assertRaises(ports.HistoryLostError):
            await self.store.watch(3, 0.1)

    async def test_tombstone(self) -> None:
        event = {"Key": "servers/i-7", "Revision": 9, "Tombstone": True}
        self.answers = [(200, {"events": [event], "AsOf": 9})]
        result = await self.store.watch(3, 0.1)
        self.assertEqual(result.items[0].value, None)

    async def test_promote(self) -> None:
        self.answers = [(200, {}), (409, {}), (503, {})]
        done = await self.provider.promote("a", "s", "i-7", 4, lambda: True)
        refused = await self.provider.promote("a", "s", "i-7", 4, lambda: True)
        self.assertTrue(done.is_done)
        self.assertTrue(refused.is_refused)
        with self.assertRaises(exceptions.StoreUnavailableError):
            await self.provider.promote("a", "s", "i-7", 4, lambda: True)

    async def test_report_usage(self) -> None:
        async def report() -> events.UsageOutcome:
            return await self.provider.report_usage(
                "a", 7, {"w": 3}, 4, lambda: True
            )

        self.answers = [(200, {}), (409, {}), (429, {})]
        self.assertIs(await report(), events.UsageOutcome.ACCEPTED)
        self.assertIs(await report(), events.UsageOutcome.REFUSED)
        with self.assertRaises(exceptions.StoreUnavailableError):
            await report()
        self.assertEqual(["/usage"] * 3, self.paths)


class RestoredStoreTest(StoreTest):
    """The store comes back from a copy: it has lost its latest changes.

    Numbers of revisions and ids of leases are given out again.
    """

    async def read_all(self, number: int, *items: object) -> ports.StoreItems:
        """Reads the whole store, whose newest change has this number."""
        page = {"items": items, "HasMore": False, "AsOf": number}
        self.answers.append((200, page))
        return await self.store.read_all()

    async def restore(self) -> None:
        """Makes an answer tell of the next era."""
        self.era += 1
        self.answers.append((503, {}))
        with self.assertRaises(exceptions.StoreUnavailableError):
            await self.store.grant_lease(1.0)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.era = 1

    def server_item(self, number: int, **changes: object) -> object:
        """Returns the item of a server's entry."""
        value = json.dumps({**ENTRY, **changes}).encode()
        text = base64.b64encode(value).decode()
        return {"Key": "servers/i-7", "Value": text, "Revision": number}

    async def test_swap(self) -> None:
        self.answers = [(200, {"Revision": 412}), (412, {"items": []})]
        self.assertEqual(revisions.number_of(await self.swap()), 412)
        self.assertEqual(await self.swap(), 0)

    async def test_pages(self) -> None:
        result = await self.read_all(7)
        self.assertEqual(result.revision, revisions.compose(1, 7))

    async def test_lost_history(self) -> None:
        result = await self.read_all(3)
        self.answers = [(410, {})]
        with self.assertRaises(ports.HistoryLostError):
            await self.store.watch(result.revision, 0.1)

    async def test_tombstone(self) -> None:
        result = await self.read_all(3)
        event = {"Key": "servers/i-7", "Revision": 9, "Tombstone": True}
        self.answers = [(200, {"events": [event], "AsOf": 9})]
        changes = await self.store.watch(result.revision, 0.1)
        self.assertEqual(changes.items[0].value, None)

    async def test_entry_written_again_counts_as_newer(self) -> None:
        # The entry of before had a higher number than the one written since.
        known = state.State("a", "sediu")
        before = await self.read_all(30, self.server_item(30))
        self.era = 2
        changed = self.server_item(21, State="draining")
        after = await self.read_all(21, changed)
        for result in (before, after):
            for item in result.items:
                event = events.ServerSeen(1.0, item.value)
                reducer.reduce(known, event)
        self.assertTrue(known.servers["i-7"].entry.is_leaving)

    async def test_watch_does_not_go_on_from_a_number_given_out_twice(
        self,
    ) -> None:
        before = await self.read_all(30)
        self.era = 2
        self.answers = [(200, {"events": [], "AsOf": 35})]
        with self.assertRaises(ports.HistoryLostError):
            await self.store.watch(before.revision, 0.1)

    async def test_condition_on_a_number_given_out_twice_does_not_hold(
        self,
    ) -> None:
        await self.read_all(30)
        known = revisions.compose(1, 30)
        await self.restore()
        call = effects.CompareAndSwap(
            1, {"a": known}, {"a": b"v"}, frozenset(), 0, frozenset()
        )
        self.answers = [(200, {"Revision": 31})]
        self.assertEqual(await self.store.swap(call), 0)

    async def test_answer_of_before_is_not_taken(self) -> None:
        await self.read_all(30)
        await self.restore()
        self.era = 1
        with self.assertRaises(exceptions.StoreUnavailableError):
            await self.read_all(30)

    async def hold_lease(self) -> dict[str, object]:
        """Writes a value under a lease; returns its item."""
        self.answers = [(200, {"Lease": 3, "TtlMs": 1000})]
        lease, _ = await self.store.grant_lease(1.0)
        self.answers = [(200, {"Revision": 31})]
        await self.store.swap(
            effects.CompareAndSwap(
                1, {"a": 0}, {"a": b"v"}, frozenset({"a"}), lease, frozenset()
            )
        )
        value = base64.b64encode(b"v").decode()
        key = "cuminwall/a"
        return {"Key": key, "Value": value, "Revision": 31, "Lease": lease}

    async def test_lost_lease_is_not_renewed_under_its_id(self) -> None:
        # Another process may have been granted the same id since.
        item = await self.hold_lease()
        await self.restore()
        self.answers = [(200, {"TtlMs": 1000})]
        with self.assertRaises(exceptions.StoreUnavailableError):
            await self.store.keep_lease(3)
        self.answers.clear()
        other = base64.b64encode(b"other").decode()
        await self.read_all(21, {**item, "Value": other})
        self.assertEqual(await self.store.keep_lease(3), 0.0)

    async def test_lease_that_was_in_the_copy_is_renewed(self) -> None:
        item = await self.hold_lease()
        await self.restore()
        await self.read_all(31, item)
        self.answers = [(200, {"TtlMs": 1000})]
        self.assertEqual(await self.store.keep_lease(3), 1.0)


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Following the store."""

    async def test_odd_entry_hides_no_other_and_removes_no_server(self) -> None:
        # Another writer replaces the entry of one server by an odd one, which
        # is there when the whole store is read again.
        known = state.State("a", "sediu")
        entries = {"servers/i-7": ENTRY, "servers/i-8": ENTRY}
        odd = {**ENTRY, "WarmupLeftMs": 10**400}
        stores = [entries, {**entries, "servers/i-7": odd}]

        class Fake:
            async def read_all(self) -> ports.StoreItems:
                if not stores:
                    await asyncio.sleep(30)
                items = []
                for key, entry in stores.pop(0).items():
                    value = json.dumps(entry).encode()
                    items.append(store_items.decode(key, value, 5))
                return ports.StoreItems(items, 7)

            async def watch(
                self, after: int, wait_s: float
            ) -> ports.StoreItems:
                raise ports.HistoryLostError("gone")

        follow = follower.Follower(
            Fake(), lambda event: reducer.reduce(known, event), lambda: 1.0
        )
        task = asyncio.create_task(follow.follow())
        await asyncio.sleep(0.1)
        task.cancel()
        self.assertEqual(stores, [])
        self.assertEqual(sorted(known.servers), ["i-7", "i-8"])
        for server in known.servers.values():
            self.assertFalse(server.is_gone)

    async def test_lost_history_is_read_anew(self) -> None:
        calls: list[str] = []
        received: list[object] = []

        class Fake:
            async def read_all(self) -> ports.StoreItems:
                calls.append("all")
                return ports.StoreItems([], 7)

            async def watch(
                self, after: int, wait_s: float
            ) -> ports.StoreItems:
                calls.append(f"after {after}")
                if len(calls) == 2:
                    raise ports.HistoryLostError("gone")
                if len(calls) == 4:
                    raise exceptions.StoreUnavailableError("down")
                await asyncio.sleep(30)
                return ports.StoreItems([], 8)

        follow = follower.Follower(Fake(), received.append, lambda: 1.0)
        task = asyncio.create_task(follow.follow())
        await asyncio.sleep(0.3)
        task.cancel()
        # An answer before the failed call may have left a change out, so all is
        # read again.
        expected_calls = ["all", "after 7", "all", "after 7", "all", "after 7"]
        self.assertEqual(calls, expected_calls)
        store_events = [
            e for e in received if isinstance(e, events.StoreStatusReported)
        ]
        self.assertIn(False, [event.is_up for event in store_events])


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """Following a store that leaves a watch unanswered.

    Attributes:
      is_silent: Whether calls that come now are never answered.
      version: The configuration's version, also its revision.
    """

    CONTACT_S = 4.0  # After an outage; then changes must be seen in time.

    async def asyncSetUp(self) -> None:
        self.is_silent = False
        self.version = 7
        self.watch_count = 0

        async def answer(request: plainhttp.Request) -> plainhttp.Response:
            is_watch = request.path.startswith("/v1/kv-watch")
            self.watch_count += is_watch
            if self.is_silent:
                await asyncio.sleep(60.0)
            if is_watch and f"after={self.version}&" in request.path:
                await asyncio.sleep(60.0)
            value = json.dumps({**CONFIG, "Version": self.version}).encode()
            item = {
                "Key": "op/config",
                "Value": base64.b64encode(value).decode(),
                "Revision": self.version,
                "Lease": 0,
            }
            body = {"HasMore": False, "AsOf": self.version}
            body["events" if is_watch else "items"] = [item]
            return plainhttp.Response(200, json.dumps(body).encode())

        self.server = await plainhttp.serve("127.0.0.1", 0, answer)
        port = self.server.sockets[0].getsockname()[1]
        self.store = store.Store("127.0.0.1", port)

    async def asyncTearDown(self) -> None:
        for client in (self.store.client, self.store.watcher):
            client.close_idle()
        self.server.close()

    # A watch that was sent to a silent store must not hide the changes after
    # the store is back: withdrawn keys stayed in use for 22 s.
    async def test_coordinator_sees_a_change_after_an_outage(self) -> None:
        versions: list[int] = []

        def record(event: events.Event) -> None:
            if isinstance(event, events.CatalogSeen):
                versions.append(event.catalog.version)

        follow = follower.Follower(
            self.store,
            record,
            lambda: 1.0,
            find_wait_s=lambda: store_view.SHORT_WAIT_S,
        )
        task = asyncio.create_task(follow.follow())
        while not versions:
            await asyncio.sleep(0.01)
        self.is_silent = True
        while not self.watch_count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        self.is_silent = False
        self.version = 8
        await asyncio.sleep(self.CONTACT_S)
        task.cancel()
        self.assertIn(8, versions)


class FolderTest(unittest.TestCase):
    """Only the adapter knows the platform's names."""

    NAMES = (
        "kv-txn",
        "MaxStalenessMs",
        "X-Fencing-Token",
        "MISROUTED",
        "DbRole",
    )

    def test_names_stay_in_the_adapter(self) -> None:
        for path in (ROOT / "src" / "cuminwall").rglob("*.py"):
            text = path.read_text(encoding="utf-8")
            for name in self.NAMES:
                self.assertFalse(name in text, f"{name} in {path}")


if __name__ == "__main__":
    unittest.main()
