"""The items of the metadata store, their history and their leases."""

import base64
import bisect
import json
from typing import NamedTuple

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
FIRST_REVISION = 100


class Item(NamedTuple):
    """An item.

    Attributes:
      key: Its key.
      value: Its bytes, in base64.
      revision: The revision of its last change.
      created: The revision of its creation.
      lease: The lease that it is bound to; 0 for none.
      encoded: How calls report it.
    """

    key: str
    value: str
    revision: int
    created: int
    lease: int
    encoded: str


class Page(NamedTuple):
    """A page of items.

    Attributes:
      items: The items.
      has_more: Whether others follow.
    """

    items: list[Item]
    has_more: bool


class Items:
    """The content of the store.

    Attributes:
      revision: The revision of the last change.
      by_key: The present items.
      forgotten: The revision up to which the history has been dropped.
      leases: Time to live of each lease, in milliseconds.
    """

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.by_key: dict[str, Item] = {}
        self.forgotten = 0
        self.leases: dict[int, int] = {}
        self.event_revisions: list[int] = []
        self.events: list[str] = []

    def write(
        self, puts: list[tuple[str, str, int]], removed: list[str]
    ) -> int:
        """Writes and removes items in one change; returns its revision.

        Args:
          puts: The key, the value in base64 and the lease of each.
          removed: The keys to remove.
        """
        self.revision += 1
        for key, value, lease in puts:
            self._put(key, value, lease)
        for key in removed:
            if self.by_key.pop(key, None) is not None:
                self._add_event(_encode_removal(key, self.revision))
        return self.revision

    def write_json(self, key: str, value: object) -> int:
        """Writes one item as JSON; returns the revision."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return self.write([(key, data, 0)], [])

    def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        self.revision += 1
        self.leases[self.revision] = ttl_ms
        return self.revision

    def end_lease(self, lease: int) -> None:
        """Ends a lease, which removes its items."""
        self.leases.pop(lease, None)
        bound = []
        for key, item in self.by_key.items():
            if item.lease == lease:
                bound.append(key)
        self.write([], bound)

    def drop_history(self) -> None:
        """Drops the history up to now."""
        self.forgotten = self.revision
        self.events.clear()
        self.event_revisions.clear()

    def find_events(self, after: int, up_to: int) -> list[str]:
        """Returns the changes in a range of revisions, as calls report them."""
        first = bisect.bisect_right(self.event_revisions, after)
        last = bisect.bisect_right(self.event_revisions, up_to)
        return self.events[first:last]

    def read_page(self, prefix: str, after: str) -> Page:
        """Returns the items that follow a key."""
        page: list[Item] = []
        size = 0
        for key in sorted(self.by_key):
            if key <= after or not key.startswith(prefix):
                continue
            item = self.by_key[key]
            size += len(item.encoded)
            if len(page) == PAGE_ITEMS or (page and size > PAGE_BYTES):
                return Page(page, True)
            page.append(item)
        return Page(page, False)

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self.by_key.get(key)
        created = before.created if before else self.revision
        fields = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        encoded = json.dumps(fields)
        self.by_key[key] = Item(
            key, value, self.revision, created, lease, encoded
        )
        self._add_event(encoded)

    def _add_event(self, encoded: str) -> None:
        self.events.append(encoded)
        self.event_revisions.append(self.revision)


def _encode_removal(key: str, revision: int) -> str:
    fields = {"Key": key, "Revision": revision, "Tombstone": True}
    return json.dumps(fields)
