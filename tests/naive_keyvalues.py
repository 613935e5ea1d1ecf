"""A naive key-value store that keeps the whole state of every revision.

It implements the JSON calls range, put, deleterange and txn, as a model for
tests of the stand-in platform.
"""

import base64


def encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


class NaiveKeyValues:
    """Stores each revision as a dict from keys to their fields."""

    def __init__(self):
        self.states = [{}, {}]

    @property
    def revision(self):
        return len(self.states) - 1

    def call(self, path, body):
        """Returns the answer without its header, or None if it is refused."""
        if path != "/v3/kv/txn":
            names = {
                "/v3/kv/range": "range",
                "/v3/kv/put": "put",
                "/v3/kv/deleterange": "delete_range",
            }
            kind = names[path]
            answers = self._run([{f"request_{kind}": body}])
            return None if answers is None else answers[0][f"response_{kind}"]
        success = body.get("success", [])
        failure = body.get("failure", [])
        if self._is_refused(success) or self._is_refused(failure):
            return None
        succeeded = True
        for compare in body.get("compare", []):
            succeeded = succeeded and self._holds(compare)
        answers = self._run(success if succeeded else failure)
        answer = {}
        if succeeded:
            answer["succeeded"] = True
        if answers:
            answer["responses"] = answers
        return answer

    def _select_keys(self, state, body):
        start = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        keys = []
        for key in sorted(state):
            if end == b"" and key != start:
                continue
            if end == b"\0" and key < start:
                continue
            if end not in (b"", b"\0") and not start <= key < end:
                continue
            keys.append(key)
        return keys

    def _holds(self, compare):
        state = self.states[-1]
        key = base64.b64decode(compare["key"])
        target = compare["target"]
        if target == "VALUE":
            if key not in state:
                return False
            found, expected = state[key]["value"], compare["value"]
        else:
            field = {
                "MOD": "mod_revision",
                "CREATE": "create_revision",
                "VERSION": "version",
            }[target]
            found = state[key][field] if key in state else 0
            expected = int(compare[field])
        if target == "VALUE":
            found = base64.b64decode(found)
            expected = base64.b64decode(expected)
        return {
            "EQUAL": found == expected,
            "NOT_EQUAL": found != expected,
            "LESS": found < expected,
            "GREATER": found > expected,
        }[compare["result"]]

    def _is_refused(self, operations):
        puts = []
        for operation in operations:
            if "request_put" in operation:
                puts.append(operation["request_put"]["key"])
        if len(set(puts)) < len(puts):
            return True
        for operation in operations:
            if "request_delete_range" not in operation:
                continue
            put_state = {base64.b64decode(key): {} for key in puts}
            if self._select_keys(put_state, operation["request_delete_range"]):
                return True
        return False

    def _run(self, operations):
        if self._is_refused(operations):
            return None
        state = dict(self.states[-1])
        revision = self.revision + 1
        changed = False
        answers = []
        for operation in operations:
            ((name, body),) = operation.items()
            answer = {}
            if name == "request_put":
                changed = True
                key = base64.b64decode(body["key"])
                old = state.get(key, {"create_revision": revision})
                state[key] = {
                    "create_revision": old["create_revision"],
                    "mod_revision": revision,
                    "version": old.get("version", 0) + 1,
                    "value": body.get("value", ""),
                }
            elif name == "request_delete_range":
                keys = self._select_keys(state, body)
                for key in keys:
                    changed = True
                    del state[key]
                if keys:
                    answer["deleted"] = str(len(keys))
            else:
                answer = self._range(state, body)
            answers.append({name.replace("request", "response"): answer})
        if changed:
            self.states.append(state)
        return answers

    def _range(self, state, body):
        keys = self._select_keys(state, body)
        limit = int(body.get("limit", 0))
        kvs = []
        for key in keys:
            if limit and len(kvs) == limit:
                break
            entry = {"key": encode(key)}
            for field in ("create_revision", "mod_revision", "version"):
                entry[field] = str(state[key][field])
            if state[key]["value"] and not body.get("keys_only"):
                entry["value"] = state[key]["value"]
            kvs.append(entry)
        answer = {}
        if kvs:
            answer["kvs"] = kvs
        if len(kvs) < len(keys):
            answer["more"] = True
        if keys:
            answer["count"] = str(len(keys))
        return answer

    def changes(self, first, last):
        """Returns (revision, key, value or None) between two revisions."""
        found = []
        for revision in range(first, last + 1):
            old, new = self.states[revision - 1], self.states[revision]
            for key in sorted({*old, *new}):
                entry = new.get(key)
                if entry is None:
                    found.append((revision, key, None))
                elif entry["mod_revision"] == revision:
                    value = base64.b64decode(entry["value"])
                    found.append((revision, key, value))
        return found
