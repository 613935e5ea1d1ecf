"""Interfaces to the platform's store and instance list.

Each port has one adapter for the published protocol and small fakes in tests.
"""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol


class StoreEntry(NamedTuple):
    """An entry of the platform's store.

    Attributes:
      key: The full key.
      value: The stored bytes, at most 1 MB.
      revision: The store revision of the last change of this key.
    """

    key: str
    value: bytes
    revision: int


class Swapped(NamedTuple):
    """A compare-and-swap succeeded at `revision`."""

    revision: int


class SwapConflict(NamedTuple):
    """A compare-and-swap failed; `current` is the key's entry, if any."""

    current: StoreEntry | None


class ValueReader(Protocol):
    """An interface to read single values."""

    async def get(self, key: str) -> StoreEntry | None:
        """Returns the entry of `key`, or None.

        Raises:
          exceptions.StoreUnavailableError: No valid answer was received.
        """


class StorePort(Protocol):
    """The platform's key-value service.

    Every method raises `exceptions.StoreUnavailableError` if no valid answer
    was received; whether a write took effect is then unknown.
    """

    async def get(self, key: str) -> StoreEntry | None:
        """Returns the entry of `key`, or None."""

    async def get_prefix(self, prefix: str) -> list[StoreEntry]:
        """Returns all entries whose key starts with `prefix`."""

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        lease_id: int = 0,
    ) -> Swapped | SwapConflict:
        """Writes `value` if the key's revision is `expected_revision`.

        Revision 0 means that the key must not exist. None deletes the key.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Returns the id of a new lease of `ttl_s` seconds."""

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renews a lease and returns its new time to live in seconds.

        Returns 0 if the lease has expired.
        """

    async def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[list[StoreEntry]]:
        """Yields changes under `prefix` from `from_revision` on.

        A deleted key is yielded with an empty value.
        """


class InstanceRecord(NamedTuple):
    """An instance in the platform's list, which may be out of date.

    Attributes:
      instance: The instance's id; a replaced instance has a new one.
      zone: Its availability zone.
      host: The IP address for its peers.
      port: The port for its peers.
      leaving: Whether the platform announced that it is shutting down.
    """

    instance: str
    zone: str
    host: str
    port: int
    leaving: bool


class InstanceListPort(Protocol):
    """The platform's list of instances, which may be out of date."""

    async def list_instances(self) -> list[InstanceRecord]:
        """Returns the list.

        Raises:
          exceptions.StoreUnavailableError: No valid answer was received.
        """

    async def announce(self, record: InstanceRecord) -> None:
        """Registers or renews this instance, or marks it as leaving.

        Raises:
          exceptions.StoreUnavailableError: No valid answer was received.
        """

    async def withdraw(self, instance: str) -> None:
        """Removes this instance from the list.

        Raises:
          exceptions.StoreUnavailableError: No valid answer was received.
        """
