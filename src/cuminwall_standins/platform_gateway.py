"""The published JSON form of the etcd v3 calls over `platform_keys`.

Keys and values are base64, 64-bit integers are strings, and fields with their
default value are left out, as in answers of the real gateway.
"""

import base64
import operator
from collections.abc import Callable
from typing import Any

from cuminwall_standins import platform_keys as pk

MAX_VALUE_BYTES = 1_000_000
WATCH_BATCH_EVENTS = 500

_COMPARE_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
    "LEASE": "lease",
}
_RELATIONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "GREATER": operator.gt,
    "LESS": operator.lt,
    "NOT_EQUAL": operator.ne,
}

Json = dict[str, Any]


def handle_call(keys: pk.KeyValues, path: str, body: Json, now: float) -> Json:
    """Returns the answer to the call of `path`, one of `CALLS`.

    Raises:
      pk.RefusedError: The call is not allowed and had no effect.
    """
    try:
        return CALLS[path](keys, body, now)
    except (AttributeError, TypeError, ValueError) as error:
        raise pk.RefusedError(pk.INVALID_ARGUMENT, str(error)) from error


def call_group(path: str, body: Json) -> str:
    """Returns as what a call counts: "reads", "writes" or "keepalives"."""
    if path.endswith("/keepalive"):
        return "keepalives"
    if path.endswith(("/put", "/deleterange", "/grant", "/revoke")):
        return "writes"
    for name in ("success", "failure"):
        for operation in body.get(name, []):
            if "request_range" not in operation:
                return "writes"
    return "reads"


class Watch:
    """One watch: which range it covers and what it still has to send."""

    def __init__(self, keys: pk.KeyValues, body: Json):
        request = body["create_request"]
        self.keys = keys
        self.start = _octets(request, "key")
        self.range_end = _octets(request, "range_end")
        self.next_revision = _integer(request, "start_revision")
        if not self.next_revision:
            self.next_revision = keys.revision + 1

    def next_events(self) -> list[Json]:
        """Returns the next changes; never cuts through a revision."""
        events: list[Json] = []
        for event in self.keys.events_from(
            self.next_revision, self.start, self.range_end
        ):
            revision = event.entry.mod_revision
            if (
                len(events) >= WATCH_BATCH_EVENTS
                and revision >= self.next_revision
            ):
                break
            answer: Json = {"kv": _encode_entry(event.entry)}
            if event.deleted:
                answer["type"] = "DELETE"
            events.append(answer)
            self.next_revision = revision + 1
        return events


def header(keys: pk.KeyValues) -> Json:
    """Returns the header of an answer at the present revision."""
    revision = str(keys.revision)
    return {"cluster_id": "1", "member_id": "1", "revision": revision}


def _octets(body: Json, field: str) -> bytes:
    return base64.b64decode(body.get(field, ""), validate=True)


def _integer(body: Json, field: str) -> int:
    return int(body.get(field, 0))


def _encode_octets(octets: bytes) -> str:
    return base64.b64encode(octets).decode()


def _encode_entry(entry: pk.KeyValue) -> Json:
    answer: Json = {"key": _encode_octets(entry.key)}
    for field in ("create_revision", "mod_revision", "version", "lease"):
        number = getattr(entry, field)
        if number:
            answer[field] = str(number)
    if entry.value:
        answer["value"] = _encode_octets(entry.value)
    return answer


def _run_put(keys: pk.KeyValues, body: Json) -> None:
    lease = _integer(body, "lease")
    keys.write(_octets(body, "key"), _octets(body, "value"), lease)


def _run_range(keys: pk.KeyValues, body: Json) -> Json:
    found = keys.find(_octets(body, "key"), _octets(body, "range_end"))
    shown = found[: _integer(body, "limit") or None]
    if body.get("keys_only"):
        shown = [entry._replace(value=b"") for entry in shown]
    answer: Json = {}
    if shown:
        answer["kvs"] = [_encode_entry(entry) for entry in shown]
    if len(shown) < len(found):
        answer["more"] = True
    if found:
        answer["count"] = str(len(found))
    return answer


def _run_delete(keys: pk.KeyValues, body: Json) -> Json:
    found = keys.find(_octets(body, "key"), _octets(body, "range_end"))
    for entry in found:
        keys.remove(entry.key)
    return {"deleted": str(len(found))} if found else {}


_OPERATIONS: dict[str, Callable[[pk.KeyValues, Json], Json | None]] = {
    "put": _run_put,
    "range": _run_range,
    "delete_range": _run_delete,
}


def _split_operation(operation: Json) -> tuple[str, Json]:
    """Returns the kind and the body of one operation of a txn."""
    ((name, body),) = operation.items()
    kind = name.removeprefix("request_")
    if kind not in _OPERATIONS:
        raise pk.RefusedError(pk.UNIMPLEMENTED, f"{name} is not carried")
    return kind, body


def _check_operations(operations: list[tuple[str, Json]]) -> None:
    """Refuses what etcd refuses before it looks at the keys."""
    put_keys: list[bytes] = []
    deleted: list[tuple[bytes, bytes]] = []
    for kind, body in operations:
        key, range_end = _octets(body, "key"), _octets(body, "range_end")
        _integer(body, "limit")
        if not key:
            raise ValueError("etcdserver: key is not provided")
        if kind == "delete_range":
            deleted.append((key, range_end))
        if kind != "put":
            continue
        _integer(body, "lease")
        if len(_octets(body, "value")) > MAX_VALUE_BYTES:
            raise ValueError("etcdserver: request is too large")
        if key in put_keys:
            raise ValueError("etcdserver: duplicate key given in txn request")
        put_keys.append(key)
    for key in put_keys:
        if any(pk.in_range(key, *bounds) for bounds in deleted):
            raise ValueError("etcdserver: duplicate key given in txn request")


def _run_all(
    keys: pk.KeyValues, operations: list[tuple[str, Json]]
) -> list[Json]:
    """Carries out all operations under one revision, or none."""
    for kind, body in operations:
        if kind == "put" and _integer(body, "lease"):
            keys.check_lease(_integer(body, "lease"))
    answers = [_OPERATIONS[kind](keys, body) or {} for kind, body in operations]
    keys.complete_revision()
    return [{"header": header(keys)} | answer for answer in answers]


def _alone(kind: str) -> Callable[[pk.KeyValues, Json, float], Json]:
    """Returns the call that carries out one operation by itself."""

    def call(keys: pk.KeyValues, body: Json, now: float) -> Json:
        _check_operations([(kind, body)])
        return _run_all(keys, [(kind, body)])[0]

    return call


def _holds(keys: pk.KeyValues, compare: Json) -> bool:
    """Returns whether a condition is met; no value equals no key."""
    field = _COMPARE_FIELDS.get(compare.get("target", "VERSION"))
    relation = _RELATIONS.get(compare.get("result", "EQUAL"))
    if field is None or relation is None or compare.get("range_end"):
        raise pk.RefusedError(pk.UNIMPLEMENTED, "compare is not carried")
    key = _octets(compare, "key")
    if field == "value":
        operand: int | bytes = _octets(compare, field)
        if key not in keys.entries:
            return False
    else:
        operand = _integer(compare, field)
    entry = keys.entries.get(key) or pk.KeyValue(key)
    return relation(getattr(entry, field), operand)


def _txn(keys: pk.KeyValues, body: Json, now: float) -> Json:
    branches = {}
    for name in ("success", "failure"):
        branches[name] = [_split_operation(one) for one in body.get(name, [])]
        _check_operations(branches[name])
    held = [_holds(keys, compare) for compare in body.get("compare", [])]
    succeeded = all(held)
    operations = branches["success" if succeeded else "failure"]
    answers = _run_all(keys, operations)
    answer: Json = {"header": header(keys)}
    if succeeded:
        answer["succeeded"] = True
    if answers:
        answer["responses"] = []
    for (kind, _), one in zip(operations, answers, strict=True):
        answer["responses"].append({f"response_{kind}": one})
    return answer


def _grant(keys: pk.KeyValues, body: Json, now: float) -> Json:
    ttl_s = _integer(body, "TTL")
    if ttl_s <= 0:
        raise ValueError("TTL must be positive")
    granted = {"ID": str(keys.grant(ttl_s, now)), "TTL": str(ttl_s)}
    return {"header": header(keys)} | granted


def _keepalive(keys: pk.KeyValues, body: Json, now: float) -> Json:
    lease_id = _integer(body, "ID")
    ttl_s = keys.keep_alive(lease_id, now)
    result: Json = {"header": header(keys), "ID": str(lease_id)}
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return {"result": result}


def _revoke(keys: pk.KeyValues, body: Json, now: float) -> Json:
    keys.revoke(_integer(body, "ID"))
    return {"header": header(keys)}


CALLS: dict[str, Callable[[pk.KeyValues, Json, float], Json]] = {
    "/v3/kv/range": _alone("range"),
    "/v3/kv/put": _alone("put"),
    "/v3/kv/deleterange": _alone("delete_range"),
    "/v3/kv/txn": _txn,
    "/v3/lease/grant": _grant,
    "/v3/lease/keepalive": _keepalive,
    "/v3/lease/revoke": _revoke,
    "/v3/kv/lease/revoke": _revoke,
}
