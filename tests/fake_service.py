"""A serving side for tests of the caller side; it keeps no data."""

import asyncio
import struct

from cuminwall import logins, outcomes, wire, work

KEY_ID = "sheds"
KEY = "a-key-of-the-sheds"
OPEN_SERVICE = "notices"
SERVICE = "ledger"


VERIFIER = logins.make_verifier(KEY, b"0123456789abcdef")


class FakeService:
    """Answers each statement with one row that holds its text.

    Attributes:
      rounds: Every round that was run, with its session.
      unblocked: Rounds wait while it is cleared.
      chunks: How many rows each round gives before its answer.
      accepted_chunks: How many of them were taken.
      tokens: Tokens brought by add_token.
    """

    def __init__(self):
        self.rounds = []
        self.logins = []
        self.tokens = []
        self.canceled = []
        self.closed = []
        self.statuses = {}
        self.parsed = {}
        self.portals = {}
        self.failures = {}
        self.answers = {}
        self.chunks = 0
        self.accepted_chunks = 0
        self.token = ""
        self.keys = {KEY_ID: work.KeyEntry("trust", VERIFIER)}
        self.unblocked = asyncio.Event()
        self.unblocked.set()
        self.running = 0

    def find_key(self, key_id):
        return self.keys.get(key_id, outcomes.KEY_REFUSED)

    def is_open(self, service):
        return service == OPEN_SERVICE

    def open_session(self, login):
        if login.service not in (SERVICE, OPEN_SERVICE):
            return outcomes.UNKNOWN_SERVICE
        self.logins.append(login)
        session = len(self.logins)
        self.statuses[session] = b"I"
        return work.Admitted(session)

    def add_token(self, session, token):
        if token == "bad":
            return outcomes.BAD_TOKEN
        self.tokens.append((session, token))
        return None

    async def cancel(self, session):
        self.canceled.append(session)
        self.unblocked.set()

    async def close_session(self, session):
        self.closed.append(session)

    async def run(self, session, round_, sink):
        self.rounds.append((session, round_))
        self.running += 1
        await self.unblocked.wait()
        self.running -= 1
        for _ in range(self.chunks):
            await sink(wire.data_row([b"x" * 1000]))
            self.accepted_chunks += 1
        failure = None
        for prepared in round_.prepared:
            self.parsed[prepared.name] = prepared.sql
        for step in round_.steps:
            tag, body = step.message[:1], step.message[5:]
            if tag == b"P":
                name, offset = wire.read_cstring(body)
                sql, _ = wire.read_cstring(body, offset)
                if step.parsed_name:
                    assert step.parsed_name == name
                self.parsed[name] = sql
            failure = self.failures.get(_sql_of(tag, body))
            answer = self._answer(session, tag, body)
            if failure is not None or answer is None:
                break
            await sink(answer)
        else:
            answer = b""
        if answer is None:
            await sink(wire.error_response("42601", "syntax error"))
            if self.statuses[session] == b"T":
                self.statuses[session] = b"E"
        return work.RoundEnd(
            self.statuses[session], failure, self.token, "server-1"
        )

    def _answer(self, session, tag, body):
        if tag == b"Q":
            sql, _ = wire.read_cstring(body)
            parts = [part for part in sql.split(";") if part.strip()]
            answers = [self._run(session, part) for part in parts]
            if None in answers:
                return None
            return b"".join(answers) or wire.Message(b"I", b"").encode()
        if tag == b"P":
            if _sql_of(tag, body).startswith("selec "):
                return None
            return wire.Message(b"1", b"").encode()
        if tag == b"B":
            portal, offset = wire.read_cstring(body)
            name, _ = wire.read_cstring(body, offset)
            self.portals[portal] = self.parsed[name]
            return wire.Message(b"2", b"").encode()
        if tag == b"D":
            none = struct.pack("!h", 0)
            head = b""
            name, _ = wire.read_cstring(body, 1)
            sql = self.parsed.get(name, "")
            if body[:1] == b"P":
                sql = self.portals[name]
            else:
                head = wire.Message(b"t", none).encode()
            if not sql.lower().startswith("select"):
                return head + wire.Message(b"n", b"").encode()
            return head + wire.row_description([wire.Column("text")])
        if tag == b"E":
            portal, _ = wire.read_cstring(body)
            return self._run(session, self.portals[portal], describe=False)
        if tag == b"C":
            return wire.Message(b"3", b"").encode()
        return b""

    def _run(self, session, sql, describe=True):
        sql = sql.strip()
        word = sql.split()[0].upper()
        if sql in self.answers:
            return self.answers[sql]
        if word == "SELEC":
            return None
        if word == "BEGIN":
            self.statuses[session] = b"T"
        if word in ("COMMIT", "ROLLBACK"):
            failed = self.statuses[session] == b"E"
            self.statuses[session] = b"I"
            return wire.command_complete("ROLLBACK" if failed else word)
        if word == "INSERT":
            return wire.command_complete("INSERT 0 1")
        if word != "SELECT":
            return wire.command_complete(word)
        head = wire.row_description([wire.Column("text")]) if describe else b""
        row = wire.data_row([sql.encode()])
        return head + row + wire.command_complete("SELECT 1")


def _sql_of(tag, body):
    if tag == b"Q":
        return wire.read_cstring(body)[0]
    if tag == b"P":
        return wire.read_cstring(body, body.find(b"\0") + 1)[0]
    return ""
