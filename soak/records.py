"""What callers and backend servers note of each statement.

Texts are compared by digest, so that long ones need not be kept.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

DIGEST_BYTES = 8
SHOWN_BYTES = 24  # Of each end of a text, in reports.
NO_TRANSACTION = 0
PRIMARY = "primary"
REPLICA = "replica"


class Asked(NamedTuple):
    """A statement that a caller sent, and what it was answered.

    Attributes:
      number: Its request id.
      session: The caller's session.
      attempt: The attempt at an operation that it belongs to.
      transaction: The caller's transaction, or NO_TRANSACTION.
      verb: Its first word.
      writes: Whether it writes.
      digest: Of its text, without the name of a prepared statement.
      text: Its text, shortened.
      values: Digest of the session values acknowledged before its answer; None
        if it was not answered.
      shape: Digest of the acknowledged definition that an EXECUTE runs; "" if
        there is none, None if it was not answered.
      code: Code of its error, "" after a success, None without an answer.
      proof: The proof that it was answered.
      rows: Digest of the rows that it was answered.
    """

    number: str
    session: str
    attempt: int
    transaction: int
    verb: str
    writes: bool
    digest: str
    text: str
    values: str | None = None
    shape: str | None = None
    code: str | None = None
    proof: str = ""
    rows: str = ""


class Run(NamedTuple):
    """A read, write or commit that a backend server ran.

    Attributes:
      number: Its request id.
      server: The server.
      connection: The server's connection.
      transaction: The server's transaction, or NO_TRANSACTION.
      digest: Of its text, without AFTER and the name of a prepared statement.
      text: Its text, shortened.
      writes: Whether it writes.
      values: Digest of the connection's values.
      shape: Digest of the definition that ran, or "".
      proof: Its proof.
      rows: Digest of its rows.
    """

    number: str
    server: str
    connection: int
    transaction: int
    digest: str
    text: str
    writes: bool
    values: str
    shape: str
    proof: str
    rows: str


class Position(NamedTuple):
    """A position in the log of a service."""

    term: int
    number: int


class Commit(NamedTuple):
    """A commit that writes, in the log of a service.

    Attributes:
      number: The request id of the COMMIT, or of the single write.
      service: The service.
      position: Its position in the log.
      writes: The writes that took effect with it.
    """

    number: str
    service: str
    position: Position
    writes: tuple[Run, ...]


class ServerRecords:
    """What all backend servers ran and committed.

    Attributes:
      runs: The statements that ran.
      commits: The commits that are in the logs.
      oversized: Sizes in bytes of the messages that were too long.
    """

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.commits: list[Commit] = []
        self.oversized: list[int] = []
        self.last_connection = 0
        self.last_transaction = NO_TRANSACTION

    def new_connection(self) -> int:
        """Returns the number of a new connection."""
        self.last_connection += 1
        return self.last_connection

    def new_transaction(self) -> int:
        """Returns the number of a new transaction."""
        self.last_transaction += 1
        return self.last_transaction

    def drop_after(self, service: str, position: Position) -> None:
        """Drops the commits that a promoted server had not received."""
        kept = []
        for commit in self.commits:
            if commit.service != service or commit.position <= position:
                kept.append(commit)
        self.commits = kept


def make_digest(text: bytes) -> str:
    """Returns the digest of a text."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def digest_all(parts: Iterable[bytes]) -> str:
    """Returns the digest of texts in their order."""
    return make_digest(repr(list(parts)).encode())


def digest_values(values: Mapping[bytes, bytes]) -> str:
    """Returns the digest of session values."""
    return make_digest(repr(sorted(values.items())).encode())


def digest_shape(writes: bool, shape: bytes) -> str:
    """Returns the digest of the definition of a prepared statement."""
    return make_digest((b"WRITE " if writes else b"READ ") + shape)


def remove_name(text: bytes) -> bytes:
    """Returns the text of a statement without the name of an EXECUTE."""
    verb, _, rest = text.partition(b" ")
    if verb != b"EXECUTE":
        return text
    end = rest.find(b" ")
    return verb if end < 0 else verb + rest[end:]


def shorten(text: bytes) -> str:
    """Returns a text for reports, without the middle of a long one."""
    if len(text) <= 4 * SHOWN_BYTES:
        return repr(text)
    beginning, end = text[: 3 * SHOWN_BYTES], text[-SHOWN_BYTES:]
    return f"{beginning!r}..{end!r} of {len(text)} bytes"
