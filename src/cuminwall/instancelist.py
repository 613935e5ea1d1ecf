"""The platform's lagging list of instances, as JSON over HTTP."""

import json
import urllib.parse
from typing import Any

from cuminwall import ports, storehttp

LOG_PREFIX = "instance list"
LIST_PATH = "/instances"

_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


class HttpInstanceList:
    """Implements `ports.InstanceListPort`.

    Attributes:
      channel: The connections to the platform.
      body: The last well-formed answer, or None.
      records: The instances in it.
    """

    def __init__(self, endpoint: str, zone: str, timeout_s: float):
        """Opens nothing yet.

        Args:
          endpoint: Scheme, host and port of the list.
          zone: This instance's availability zone.
          timeout_s: The limit of each call.
        """
        self.channel = storehttp.HttpChannel(
            LOG_PREFIX, endpoint, zone, timeout_s
        )
        self.body: bytes | None = None
        self.records: list[ports.InstanceRecord] = []

    async def close(self) -> None:
        """Closes the idle connections."""
        await self.channel.close()

    async def list_instances(self) -> list[ports.InstanceRecord]:
        """Returns the list."""
        answer = await self._call("GET", LIST_PATH)
        if answer.body == self.body:
            return list(self.records)
        try:
            found = [_parse_record(item) for item in json.loads(answer.body)]
        except _MALFORMED as error:
            raise self.channel.record_unexpected(LIST_PATH, answer) from error
        self.body = answer.body
        self.records = found
        return list(found)

    async def announce(self, record: ports.InstanceRecord) -> None:
        """Registers or renews this instance, or marks it as leaving."""
        body = json.dumps(record._asdict()).encode()
        await self._call("PUT", _record_path(record.instance), body)

    async def withdraw(self, instance: str) -> None:
        """Removes this instance from the list."""
        await self._call("DELETE", _record_path(instance))

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> storehttp.Answer:
        answer = await self.channel.call(method, path, body)
        if answer.status != storehttp.HTTP_OK:
            raise self.channel.record_unexpected(path, answer)
        return answer


def _record_path(instance: str) -> str:
    return f"{LIST_PATH}/{urllib.parse.quote(instance, safe='')}"


def _parse_record(item: dict[str, Any]) -> ports.InstanceRecord:
    return ports.InstanceRecord(
        str(item["instance"]),
        str(item["zone"]),
        str(item["host"]),
        int(item["port"]),
        bool(item["leaving"]),
    )
