"""The transaction of one session: savepoints, the writer's lock, the commit."""

import time
from collections.abc import Sequence

from cuminwall_standins import engine as engines
from cuminwall_standins import errors, sql, values


class Transaction:
    """One transaction, explicit or that of a single statement.

    It uses the committed data until it first needs the writer's lock.

    Attributes:
      is_read_only: Whether it was declared READ ONLY.
      is_writing: Whether it holds the writer's lock.
      now_s: When it began, in seconds since 1970; the value of now().
      changes: The statements for the log.
    """

    def __init__(self, engine: engines.Engine, is_read_only: bool):
        self.engine = engine
        self.generation = engine.generation
        self.is_read_only = is_read_only
        self.is_writing = False
        self.now_s = time.time()
        self.changes: list[engines.Change] = []
        self.savepoints: list[tuple[str, int]] = []

    def check_writable(self, statement: sql.Statement) -> None:
        """Refuses a write on a replica or in a READ ONLY transaction.

        Raises:
          errors.SqlError: The statement may not write.
        """
        if self.engine.is_primary and not self.is_read_only:
            return
        raise errors.SqlError(
            "25006",
            f"cannot execute {statement.tag} in a read-only transaction",
        )

    async def begin_writing(self) -> None:
        """Waits for the writer's lock."""
        lock = self.engine.write_lock
        await lock.acquire()
        if self.engine.write_lock is not lock:
            lock.release()
            raise _lost()
        self.is_writing = True
        self.engine.writer.execute("BEGIN")
        for name, _ in self.savepoints:
            self.engine.writer.execute(f'SAVEPOINT "{name}"')

    def execute(
        self, statement: sql.Statement, parameters: Sequence[values.Value]
    ) -> engines.Result:
        """Runs a statement, and keeps it for the log if it writes."""
        self.check_alive()
        self.engine.now_s = self.now_s
        result = self.engine.execute(statement, parameters, self.is_writing)
        if statement.kind is sql.Kind.WRITE:
            for text in statement.texts:
                self.changes.append((text, parameters))
        return result

    def check_alive(self) -> None:
        """Refuses to go on after the server was demoted.

        Raises:
          errors.SqlError: The transaction is lost.
        """
        if self.generation != self.engine.generation:
            raise _lost()

    def commit(self) -> None:
        """Makes the changes durable and visible."""
        self.check_alive()
        if self.is_writing:
            self.engine.commit(self.now_s, self.changes)
            self.release_lock()

    def rollback(self) -> None:
        """Undoes all changes; does nothing when it has ended before."""
        if not self.is_writing:
            return
        if self.generation == self.engine.generation:
            if self.engine.writer.in_transaction:
                self.engine.writer.execute("ROLLBACK")
            self.engine.cached_types.clear()
            self.release_lock()
        self.is_writing = False

    def release_lock(self) -> None:
        """Lets the next transaction write."""
        self.is_writing = False
        self.engine.write_lock.release()

    def set_savepoint(self, name: str) -> None:
        """Sets a savepoint."""
        self.savepoints.append((name, len(self.changes)))
        self.run_on_writer(f'SAVEPOINT "{name}"')

    def rollback_to(self, name: str) -> None:
        """Undoes the changes since a savepoint, which stays."""
        index = self.find_savepoint(name)
        self.run_on_writer(f'ROLLBACK TO "{name}"')
        del self.changes[self.savepoints[index][1] :]
        del self.savepoints[index + 1 :]

    def release_savepoint(self, name: str) -> None:
        """Forgets a savepoint and those after it."""
        index = self.find_savepoint(name)
        self.run_on_writer(f'RELEASE "{name}"')
        del self.savepoints[index:]

    def find_savepoint(self, name: str) -> int:
        """Returns the index of the last savepoint of this name.

        Raises:
          errors.SqlError: There is none.
        """
        for index in range(len(self.savepoints) - 1, -1, -1):
            if self.savepoints[index][0] == name:
                return index
        raise errors.SqlError("3B001", f'savepoint "{name}" does not exist')

    def run_on_writer(self, text: str) -> None:
        """Runs a command on the writer's database if this one writes."""
        self.check_alive()
        if self.is_writing:
            self.engine.writer.execute(text)


def _lost() -> errors.SqlError:
    return errors.SqlError(
        "57P01", "terminating connection: the server was demoted", "FATAL"
    )
