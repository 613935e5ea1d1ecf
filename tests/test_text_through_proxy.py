"""Property tests of the path from a caller to a stand-in database and back.

A caller's bytes are cut anywhere, and so are those of the database. Rounds run
on two backend connections in turn, so that each statement and each setting is
needed on a connection that has not seen it.
"""

import asyncio
import struct
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
from loguru import logger

from cuminwall import (
    backend,
    backend_channel,
    caller_connection,
    front_end,
    logins,
    wire,
    work,
)
from cuminwall_standins import database, messages, session
from cuminwall_standins import settings as server_settings
from tests import fake_service

GUARD_S = 5.0
CONNECTIONS = 2
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)
OID_BYTEA = 17
OID_TEXT = 25
ANSWER_TAGS = (b"T", b"D", b"C", b"E", b"I", b"t")

PIECES = st.one_of(
    st.sampled_from(["  ", " ", "\t", "\r\n", ";", "'", '"', "\\", "\u00a0"]),
    st.characters(exclude_categories=("Cs",), exclude_characters="\0"),
)
TEXTS = st.lists(PIECES, max_size=12).map("".join)
BLANKS = st.text(" \t\n\r\f", max_size=4)
NAMES = st.one_of(st.just(""), TEXTS)
SIZES = st.lists(st.integers(1, 40), max_size=20)


def quote(text):
    """Returns a literal; one with a backslash is of the escape form."""
    quoted = "'" + text.replace("'", "''").replace("\\", "\\\\") + "'"
    return "E" + quoted if "\\" in text else quoted


@st.composite
def selects(draw):
    """Draws a SELECT of a literal, with blanks and a comment around it."""
    comment = draw(TEXTS).replace("/", "").replace("*", "")
    parts = (
        draw(BLANKS),
        "SELECT ",
        quote(draw(TEXTS)),
        f" /* {comment} */",
        draw(BLANKS),
        draw(st.sampled_from(["", ";", " ;\t", "-- x "])),
        draw(BLANKS),
    )
    return "".join(parts)


STATEMENTS = st.one_of(selects(), TEXTS)


def setUpModule():  # noqa: N802
    logger.disable("cuminwall")
    logger.disable("cuminwall_standins")


def tearDownModule():  # noqa: N802
    logger.enable("cuminwall")
    logger.enable("cuminwall_standins")


def cut(data, sizes):
    """Yields the data in pieces of these sizes; the rest follows whole."""
    start = 0
    for size in sizes:
        if start >= len(data):
            return
        yield data[start : start + size]
        start += size
    if start < len(data):
        yield data[start:]


class CallerTransport:
    """The transport of a caller's connection; keeps what it is sent."""

    def __init__(self):
        self.framer = wire.Framer()
        self.received = []
        self.ready = asyncio.Event()
        self.closed = False

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def write(self, data):
        for message in self.framer.feed(data):
            self.received.append(message)
            if message.tag == b"Z":
                self.ready.set()

    def close(self):
        self.closed = True
        self.ready.set()

    abort = close


class ProxiedService(fake_service.FakeService):
    """Runs each round on the next one of several backend connections."""

    def __init__(self):
        super().__init__()
        self.connections = []
        self.next = 0

    async def run(self, session, round_, sink):
        connection = self.connections[self.next]
        if connection.status == b"I":
            self.next = (self.next + 1) % len(self.connections)
            connection = self.connections[self.next]
        answer = await connection.run_steps(
            round_.steps, round_.prepared, round_.settings, sink, GUARD_S
        )
        await sink(answer.completion)
        return work.RoundEnd(answer.status, None, "", "server")


class ProxyTestCase(unittest.TestCase):
    """A front end over a stand-in database; notes what that receives."""

    def setUp(self):
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        self.at_server = []
        self.from_server = []
        self.server_cuts = ()
        self.patch(session.Session, "answer", self.note_received)
        self.patch(messages, "send", self.note_sent)
        self.patch(backend_channel.Channel, "data_received", self.cut_received)
        self.runner.run(self.start())
        self.addCleanup(lambda: self.runner.run(self.server.stop(True)))

    def patch(self, owner, name, replace):
        """Replaces a function by one that is given the original first."""
        original = getattr(owner, name)

        def call(*args):
            return replace(original, *args)

        patcher = mock.patch.object(owner, name, call)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def note_received(self, original, served, message):
        self.at_server.append(message)
        await original(served, message)

    def note_sent(self, original, writer, data):
        self.from_server.append(data)
        original(writer, data)

    def cut_received(self, original, channel, data):
        for piece in cut(data, self.server_cuts):
            original(channel, piece)

    async def start(self):
        options = database.Options(primary=True, connect_delay_s=0.0)
        self.server = database.DatabaseServer(options)
        await self.server.start()

    async def connect_service(self):
        """Returns a serving side with new backend connections."""
        service = ProxiedService()
        target = backend.Target(
            "s", "127.0.0.1", self.server.port, "cuminwall", "cuminwall", "d"
        )
        for _ in range(CONNECTIONS):
            deadline = asyncio.get_running_loop().time() + GUARD_S
            connection = await backend.connect(target, deadline)
            service.connections.append(connection)
        return service

    async def exchange(
        self, requests, caller_cuts, server_cuts=(), parameters=None
    ):
        """Sends each request of a new session and waits for ReadyForQuery."""
        service = await self.connect_service()
        try:
            return await self.run_session(
                service, requests, caller_cuts, server_cuts, parameters or {}
            )
        finally:
            for opened in service.connections:
                await opened.close()

    async def run_session(
        self, service, requests, caller_cuts, server_cuts, parameters
    ):
        """Runs the session of `exchange` on a serving side."""
        server = front_end.FrontEnd(service)
        connection = caller_connection.CallerConnection(server)
        transport = CallerTransport()
        connection.connection_made(transport)
        self.server_cuts = server_cuts
        names = {
            "user": logins.OPEN_USER,
            "database": fake_service.OPEN_SERVICE,
        }
        connection.data_received(wire.startup_packet(names | parameters))
        self.assertTrue(transport.ready.is_set())
        transport.received.clear()
        self.at_server.clear()
        self.from_server.clear()
        for request in requests:
            self.assertFalse(transport.closed, transport.received)
            transport.ready.clear()
            for piece in cut(request, caller_cuts):
                connection.data_received(piece)
                await asyncio.sleep(0)
            async with asyncio.timeout(GUARD_S):
                await transport.ready.wait()
        self.assertFalse(transport.closed, transport.received)
        connection.connection_lost(None)
        return transport.received

    def run_exchange(self, *args):
        return self.runner.run(self.exchange(*args))

    def server_answers(self):
        """Returns the answers that the server sent."""
        sent = wire.Framer().feed(b"".join(self.from_server))
        return [item for item in sent if item.tag in ANSWER_TAGS]


def answers(received):
    return [item for item in received if item.tag in ANSWER_TAGS]


class SimpleQueryTest(ProxyTestCase):
    """Simple queries."""

    @SETTINGS
    @hypothesis.given(st.lists(STATEMENTS, max_size=4), SIZES, SIZES)
    def test_text_or_row_changes_on_the_way(self, texts, cuts, server_cuts):
        requests = [wire.query(text) for text in texts]
        received = self.run_exchange(requests, cuts, server_cuts)
        sent = [item for item in self.at_server if item.tag == b"Q"]
        self.assertEqual([item.encode() for item in sent], requests)
        self.assertEqual(answers(received), self.server_answers())


class ExtendedQueryTest(ProxyTestCase):
    """Prepared statements and their parameters."""

    @SETTINGS
    @hypothesis.given(
        st.lists(st.tuples(NAMES, STATEMENTS), max_size=4), SIZES, SIZES
    )
    def test_prepared_text_changes_on_the_way(self, parsed, cuts, server_cuts):
        requests = []
        texts = []
        names = set()
        for name, text in parsed:
            if name in names:
                continue
            names.add(name)
            texts.append(text)
            requests.append(wire.parse_message(name, text) + wire.sync())
        self.run_exchange(requests, cuts, server_cuts)
        sent = []
        for item in self.at_server:
            if item.tag != b"P":
                continue
            _, offset = wire.read_cstring(item.payload)
            sent.append(item.payload[offset:])
        known = [wire.cstring(text) + b"\0\0" for text in texts]
        # One text under two names is sent once to each connection.
        self.assertEqual(set(sent), set(known))

    @SETTINGS
    @hypothesis.given(
        NAMES,
        NAMES,
        st.lists(st.one_of(st.none(), st.binary(max_size=20)), max_size=3),
        st.sampled_from([OID_BYTEA, OID_TEXT]),
        SIZES,
        SIZES,
    )
    def test_parameter_or_row_changes_on_the_way(
        self, name, portal, values, oid, cuts, server_cuts
    ):
        numbers = range(1, len(values) + 1)
        text = "SELECT 1, " + ", ".join(f"${number}" for number in numbers)
        text = text.rstrip(", ") + " "
        oids = [oid] * len(values)
        parse = wire.parse_message(name, text, oids)
        parsed = wire.cstring(text) + struct.pack(
            f"!h{len(oids)}I", len(oids), *oids
        )
        bound = _bound_values(values)
        bind = wire.cstring(portal) + wire.cstring(name) + bound
        request = wire.Message(b"B", bind).encode()
        request += wire.Message(b"D", b"P" + wire.cstring(portal)).encode()
        execute = wire.cstring(portal) + b"\0\0\0\0"
        request += wire.Message(b"E", execute).encode() + wire.sync()
        # The statement is needed on the connection that has not parsed it.
        received = self.run_exchange(
            [parse + wire.sync(), request, request], cuts, server_cuts
        )
        sent = [item.payload for item in self.at_server if item.tag == b"B"]
        self.assertEqual(len(sent), 2)
        for payload in sent:
            self.assertTrue(payload.startswith(wire.cstring(portal)))
            _, offset = wire.read_cstring(payload, len(wire.cstring(portal)))
            self.assertEqual(payload[offset:], bound)
        self.assertEqual(answers(received), self.server_answers())
        for item in self.at_server:
            if item.tag == b"P":
                _, offset = wire.read_cstring(item.payload)
                self.assertEqual(item.payload[offset:], parsed)
        rows = [item.payload for item in received if item.tag == b"D"]
        if oid == OID_BYTEA:
            self.assertEqual(
                [wire.read_data_row(row)[1:] for row in rows], [values] * 2
            )


def _bound_values(values):
    """Returns what follows the names in a Bind, all in binary format."""
    data = struct.pack("!hhh", 1, 1, len(values))
    for value in values:
        if value is None:
            data += struct.pack("!i", -1)
            continue
        data += struct.pack("!i", len(value)) + value
    return data + struct.pack("!hh", 1, 1)


class SettingTest(ProxyTestCase):
    """Values of settings that are set again on another connection."""

    @SETTINGS
    @hypothesis.given(
        TEXTS.filter(bool),
        st.sampled_from(["a", "user", "order", "b$c", "é"]),
        SIZES,
        SIZES,
    )
    def test_value_changes_on_another_connection(
        self, value, word, cuts, server_cuts
    ):
        name = f'app."{word}"'
        requests = [wire.query(f"SET {name} = {quote(value)} ")]
        for _ in range(CONNECTIONS * 2):
            requests.append(wire.query(f"SHOW {name}"))
        received = self.run_exchange(requests, cuts, server_cuts)
        rows = [item.payload for item in received if item.tag == b"D"]
        shown = [wire.read_data_row(row)[0] for row in rows]
        self.assertEqual(shown, [value.encode()] * CONNECTIONS * 2)

    def test_requested_value_is_taken_for_the_default_of_the_server(self):
        # An operator may have set other defaults for the database.
        defaults = {"timezone": "Europe/Bucharest", "datestyle": "SQL, DMY"}
        wanted = {"TimeZone": "UTC", "DateStyle": "ISO, MDY"}
        requests = [wire.query("SHOW timezone"), wire.query("SHOW datestyle")]
        with mock.patch.dict(server_settings.DEFAULTS, defaults):
            received = self.run_exchange(requests, (), (), wanted)
        rows = [item.payload for item in received if item.tag == b"D"]
        shown = [wire.read_data_row(row) for row in rows]
        self.assertEqual(shown, [[b"UTC"], [b"ISO, MDY"]])


if __name__ == "__main__":
    unittest.main()
