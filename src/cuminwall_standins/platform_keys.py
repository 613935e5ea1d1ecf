"""Keys with revisions, leases and history: the state behind the gateway.

Nothing here does I/O; time comes in as `now`, in seconds.
"""

import bisect
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cuminwall import exceptions

# Above 2**53, so that a client that reads it as a float is found out.
FIRST_LEASE_ID = 7_587_862_094_000_000_001
UNBOUNDED_RANGE_END = b"\0"

INVALID_ARGUMENT = 3
NOT_FOUND = 5
UNIMPLEMENTED = 12


class RefusedError(exceptions.CuminwallError):
    """A request was refused and had no effect; `code` is gRPC's."""

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code


class KeyValue(NamedTuple):
    """One key as it stands; a deleted key has only key and mod_revision."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class Event(NamedTuple):
    """One change of one key, at `entry.mod_revision`."""

    entry: KeyValue
    deleted: bool


class Lease(NamedTuple):
    """A lease and the time at which it lapses unless renewed."""

    ttl_s: int
    expires_at: float


def in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Returns whether `key` is in a range as etcd writes it.

    An empty `range_end` means `start` alone; a zero byte means all from there.
    """
    if not range_end:
        return key == start
    return key >= start and (
        range_end == UNBOUNDED_RANGE_END or key < range_end
    )


class KeyValues:
    """The keys, their leases, and every change since the start.

    `write` and `remove` build the next revision, `complete_revision` ends it.

    Attributes:
      revision: The number of the last change; several keys may share one.
      on_change: Called after each change.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[bytes, KeyValue] = {}
        self.sorted_keys: list[bytes] = []
        self.events: list[Event] = []
        self.leases: dict[int, Lease] = {}
        self.next_lease_id = FIRST_LEASE_ID
        self.on_change: Callable[[], None] = lambda: None

    def write(self, key: bytes, value: bytes, lease: int) -> None:
        """Writes a key under the revision being built."""
        revision = self.revision + 1
        old = self.entries.get(key)
        if old is None:
            bisect.insort(self.sorted_keys, key)
            old = KeyValue(key, create_revision=revision)
        created, version = old.create_revision, old.version + 1
        entry = KeyValue(key, value, created, revision, version, lease)
        self.entries[key] = entry
        self.events.append(Event(entry, False))

    def remove(self, key: bytes) -> None:
        """Deletes a standing key under the revision being built."""
        del self.entries[key]
        del self.sorted_keys[bisect.bisect_left(self.sorted_keys, key)]
        tombstone = KeyValue(key, mod_revision=self.revision + 1)
        self.events.append(Event(tombstone, True))

    def complete_revision(self) -> None:
        """Makes the changes since the last call one revision, if any."""
        if not self.events or (
            self.events[-1].entry.mod_revision == self.revision
        ):
            return
        self.revision += 1
        self.on_change()

    def find(self, start: bytes, range_end: bytes) -> list[KeyValue]:
        """Returns the standing entries of a range in the keys' order."""
        if not range_end:
            return [self.entries[start]] if start in self.entries else []
        found = []
        first = bisect.bisect_left(self.sorted_keys, start)
        for index in range(first, len(self.sorted_keys)):
            key = self.sorted_keys[index]
            if not in_range(key, start, range_end):
                break
            found.append(self.entries[key])
        return found

    def events_from(
        self, revision: int, start: bytes, range_end: bytes
    ) -> Iterator[Event]:
        """Yields the changes of a range from `revision` on, oldest first."""
        first = bisect.bisect_left(
            self.events, revision, key=lambda event: event.entry.mod_revision
        )
        for index in range(first, len(self.events)):
            event = self.events[index]
            if in_range(event.entry.key, start, range_end):
                yield event

    def grant(self, ttl_s: int, now: float) -> int:
        """Returns the id of a new lease."""
        lease_id = self.next_lease_id
        self.next_lease_id += 1
        self.leases[lease_id] = Lease(ttl_s, now + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> int:
        """Renews a lease; returns its time to live, 0 if there is none."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        self.leases[lease_id] = Lease(lease.ttl_s, now + lease.ttl_s)
        return lease.ttl_s

    def check_lease(self, lease_id: int) -> None:
        """Refuses a lease that does not exist or has lapsed."""
        if lease_id not in self.leases:
            raise RefusedError(
                NOT_FOUND, "etcdserver: requested lease not found"
            )

    def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys under one revision."""
        self.check_lease(lease_id)
        del self.leases[lease_id]
        for entry in list(self.entries.values()):
            if entry.lease == lease_id:
                self.remove(entry.key)
        self.complete_revision()

    def expire(self, now: float) -> None:
        """Ends the leases that lapsed at or before `now`."""
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                self.revoke(lease_id)
