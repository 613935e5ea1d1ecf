"""The platform's key-value service over the etcd v3 JSON gateway.

Only published paths are used: range, txn, lease and watch. Keys and values
travel as base64 and 64-bit integers as strings.
"""

import base64
import contextlib
import json
from collections.abc import AsyncGenerator, Callable
from typing import Any, NamedTuple, TypeVar

from cuminwall import ports, storehttp

LOG_PREFIX = "store"
RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

# After so much silence a watch goes on over a new connection.
WATCH_IDLE_S = 5.0

_HTTP_NOT_FOUND = 404
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)

_Json = dict[str, Any]
_T = TypeVar("_T")


class Snapshot(NamedTuple):
    """The entries of a prefix at one revision of the whole store.

    A watch from `revision` + 1 misses nothing that came after.
    """

    entries: list[ports.StoreEntry]
    revision: int


class EtcdStore:
    """Implements `ports.StorePort`.

    It repeats no call: whether a repetition is safe is the caller's to know.
    """

    def __init__(
        self,
        endpoint: str,
        zone: str,
        timeout_s: float,
        watch_idle_s: float = WATCH_IDLE_S,
    ):
        """Opens nothing yet.

        Args:
          endpoint: Scheme, host and port of the gateway.
          zone: This instance's availability zone.
          timeout_s: The limit of each call.
          watch_idle_s: After how much silence a watch reconnects.
        """
        self.watch_idle_s = watch_idle_s
        self.channel = storehttp.HttpChannel(
            LOG_PREFIX, endpoint, zone, timeout_s
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        await self.channel.close()

    async def get(self, key: str) -> ports.StoreEntry | None:
        """Returns the entry of `key`, or None."""
        body = {"key": _encode(key.encode())}
        snapshot = await self._post(RANGE_PATH, body, _parse_snapshot)
        return snapshot.entries[0] if snapshot.entries else None

    async def get_prefix(self, prefix: str) -> list[ports.StoreEntry]:
        """Returns all entries whose key starts with `prefix`."""
        return (await self.read_prefix(prefix)).entries

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Returns `get_prefix` with the revision at which it was read.

        Raises:
          exceptions.StoreUnavailableError: No usable answer came.
        """
        body = _prefix_range(prefix)
        return await self._post(RANGE_PATH, body, _parse_snapshot)

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        lease_id: int = 0,
    ) -> ports.Swapped | ports.SwapConflict:
        """Writes `value` if the key's revision is `expected_revision`."""
        encoded_key = _encode(key.encode())
        compare = {
            "key": encoded_key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        body = {
            "compare": [compare],
            "success": [_change(encoded_key, value, lease_id)],
            "failure": [{"request_range": {"key": encoded_key}}],
        }
        return await self._post(TXN_PATH, body, _parse_swap)

    async def grant_lease(self, ttl_s: int) -> int:
        """Returns the id of a new lease of `ttl_s` seconds."""
        return await self._post(GRANT_PATH, {"TTL": str(ttl_s)}, _parse_grant)

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renews a lease; returns its time to live in seconds, or 0."""
        body = {"ID": str(lease_id)}
        return await self._post(KEEPALIVE_PATH, body, _parse_keepalive)

    async def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys; a lapsed one is no error."""
        body = json.dumps({"ID": str(lease_id)}).encode()
        answer = await self.channel.call("POST", REVOKE_PATH, body)
        if answer.status not in (storehttp.HTTP_OK, _HTTP_NOT_FOUND):
            raise self.channel.record_unexpected(REVOKE_PATH, answer)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[list[ports.StoreEntry], None]:
        """Yields changes under `prefix` from `from_revision` on.

        Revision 0 means from now on. The changes of one revision come
        together. A silent connection is replaced without a gap.

        Raises:
          exceptions.StoreUnavailableError: The watch ended or was refused.
        """
        next_revision = from_revision
        while True:
            request = _prefix_range(prefix)
            request["start_revision"] = str(next_revision)
            body = json.dumps({"create_request": request}).encode()
            lines = self.channel.stream_lines(
                WATCH_PATH, body, self.watch_idle_s
            )
            async with contextlib.aclosing(lines):
                async for line in lines:
                    answer = storehttp.Answer(storehttp.HTTP_OK, line)
                    news = self._parse(WATCH_PATH, answer, _parse_watch)
                    if news.entries:
                        next_revision = news.entries[-1].revision + 1
                        yield news.entries
                    elif not next_revision:
                        next_revision = news.revision + 1

    async def _post(
        self, path: str, body: _Json, parse: Callable[[_Json], _T]
    ) -> _T:
        encoded = json.dumps(body).encode()
        answer = await self.channel.call("POST", path, encoded)
        if answer.status != storehttp.HTTP_OK:
            raise self.channel.record_unexpected(path, answer)
        return self._parse(path, answer, parse)

    def _parse(
        self,
        path: str,
        answer: storehttp.Answer,
        parse: Callable[[_Json], _T],
    ) -> _T:
        try:
            return parse(json.loads(answer.body))
        except _MALFORMED as error:
            raise self.channel.record_unexpected(path, answer) from error


def prefix_end(prefix: bytes) -> bytes:
    """Returns the first key after all that start with `prefix`."""
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return b"\0"
    return stem[:-1] + bytes([stem[-1] + 1])


def _prefix_range(prefix: str) -> _Json:
    key = prefix.encode() or b"\0"
    end = prefix_end(prefix.encode())
    return {"key": _encode(key), "range_end": _encode(end)}


def _change(encoded_key: str, value: bytes | None, lease_id: int) -> _Json:
    if value is None:
        return {"request_delete_range": {"key": encoded_key}}
    put = {"key": encoded_key, "value": _encode(value)}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def _encode(octets: bytes) -> str:
    return base64.b64encode(octets).decode()


def _parse_entry(kv: _Json) -> ports.StoreEntry:
    return ports.StoreEntry(
        base64.b64decode(kv["key"], validate=True).decode(),
        base64.b64decode(kv.get("value", ""), validate=True),
        int(kv["mod_revision"]),
    )


def _parse_snapshot(answer: _Json) -> Snapshot:
    entries = [_parse_entry(kv) for kv in answer.get("kvs", [])]
    if answer.get("more"):
        raise ValueError("the range is cut short")
    return Snapshot(entries, int(answer["header"]["revision"]))


def _parse_swap(answer: _Json) -> ports.Swapped | ports.SwapConflict:
    if answer.get("succeeded", False):
        return ports.Swapped(int(answer["header"]["revision"]))
    (response,) = answer["responses"]
    kvs = response["response_range"].get("kvs", [])
    return ports.SwapConflict(_parse_entry(kvs[0]) if kvs else None)


def _parse_grant(answer: _Json) -> int:
    return int(answer["ID"])


def _parse_keepalive(answer: _Json) -> float:
    result = answer["result"]
    # Only an answer about a lease tells by its missing TTL that it lapsed.
    int(result["ID"])
    return float(result.get("TTL", 0))


def _parse_watch(message: _Json) -> Snapshot:
    """Returns the changes of one message, and the store's revision.

    A watch that the store ended, for example because the revision is
    compacted, counts as malformed.
    """
    result = message["result"]
    if result.get("canceled"):
        raise ValueError("the store ended the watch")
    entries = [_parse_event(event) for event in result.get("events", [])]
    return Snapshot(entries, int(result["header"]["revision"]))


def _parse_event(event: _Json) -> ports.StoreEntry:
    entry = _parse_entry(event["kv"])
    if event.get("type", "PUT") == "DELETE":
        return entry._replace(value=b"")
    return entry
