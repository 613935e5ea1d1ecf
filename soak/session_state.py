"""What a backend server keeps of one connection."""

from soak import records
from soak.drawing import Prepared


class ConnectionState:
    """Values, prepared statements and the transaction of a connection.

    Attributes:
      number: The connection, among those of all servers.
      phase: I, T or E, as READY tells it.
      values: The session values.
      prepared: The prepared statements, by name.
      transaction: The open transaction, or NO_TRANSACTION.
      may_write: Whether that was opened without READ.
      writes: What ran in it and writes.
    """

    def __init__(self, server_records: records.ServerRecords):
        self.records = server_records
        self.number = server_records.new_connection()
        self.phase = "I"
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Prepared] = {}
        self.transaction = records.NO_TRANSACTION
        self.may_write = False
        self.writes: list[records.Run] = []

    def begin(self, may_write: bool) -> None:
        """Opens a transaction."""
        self.phase = "T"
        self.transaction = self.records.new_transaction()
        self.may_write = may_write
        self.writes = []

    def end(self) -> None:
        """Ends the transaction; what it wrote is dropped or committed."""
        self.phase = "I"
        self.transaction = records.NO_TRANSACTION
        self.writes = []

    def reset(self) -> None:
        """Drops values and prepared statements."""
        self.values = {}
        self.prepared = {}

    def assign(self, tail: bytes) -> None:
        """Sets a value; takes what follows SET."""
        name, _, value = tail.partition(b" ")
        self.values[name] = value

    def prepare(self, tail: bytes) -> None:
        """Prepares a statement; takes what follows PREPARE."""
        name, _, definition = tail.partition(b" ")
        kind, _, shape = definition.partition(b" ")
        self.prepared[name] = Prepared(name, kind == b"WRITE", shape)
