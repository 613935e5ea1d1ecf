"""Queries the status of each instance over HTTP."""

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import aiohttp

from cuminwall.exceptions import AnswerTimeoutError, StoreUnavailableError
from cuminwall.ports import InstanceListPort, InstanceRecord

STATUS_PATH = "/status"
POLL_INTERVAL_S = 0.5


class InstanceStatus(NamedTuple):
    """The status of one instance.

    Attributes:
      record: Its entry in the platform's instance list.
      report: What it answered; None if it gave no usable answer.
      failure: Why it gave none, or "".
    """

    record: InstanceRecord
    report: Mapping[str, Any] | None
    failure: str

    @property
    def version(self) -> int:
        """The version of its configuration, or 0 if unknown."""
        if self.report is None:
            return 0
        version = self.report.get("config_version")
        return version if isinstance(version, int) else 0


class RolloutStatus(NamedTuple):
    """Which instances have a configuration version or a later one.

    Attributes:
      reached: The instances at or past the version.
      missing: The last known status of each other instance.
      is_listed: Whether the last read of the instance list succeeded.
    """

    reached: tuple[InstanceRecord, ...]
    missing: tuple[InstanceStatus, ...]
    is_listed: bool

    @property
    def is_complete(self) -> bool:
        """Whether every listed instance, and at least one, has the version."""
        return self.is_listed and bool(self.reached) and not self.missing


StatusQuery = Callable[[InstanceRecord], Awaitable[Mapping[str, Any]]]


def make_status_query(
    session: aiohttp.ClientSession, port: int, timeout_s: float
) -> StatusQuery:
    """Returns a function that queries an instance over HTTP.

    It raises `AnswerTimeoutError` if there is no usable answer.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def query(record: InstanceRecord) -> Mapping[str, Any]:
        url = f"http://{record.host}:{port}{STATUS_PATH}"
        try:
            async with session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                report = json.loads(await answer.text())
        except TimeoutError as error:
            raise AnswerTimeoutError(f"no answer in {timeout_s:g} s") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AnswerTimeoutError(str(error)) from error
        if not isinstance(report, dict):
            raise AnswerTimeoutError("the answer is not a JSON object")
        if report.get("instance") != record.instance:
            raise AnswerTimeoutError("another instance answers there")
        return report

    return query


async def query_each(
    records: list[InstanceRecord], query_status: StatusQuery
) -> list[InstanceStatus]:
    """Returns the status of each instance, in the order of the records."""

    async def query_one(record: InstanceRecord) -> InstanceStatus:
        try:
            return InstanceStatus(record, await query_status(record), "")
        except AnswerTimeoutError as error:
            return InstanceStatus(record, None, str(error))

    return list(await asyncio.gather(*(query_one(item) for item in records)))


async def wait_for_version(
    instances: InstanceListPort,
    query_status: StatusQuery,
    version: int,
    timeout_s: float,
) -> RolloutStatus:
    """Polls the instances until each is at or past `version`.

    The list is read anew for each poll, since instances come and go.
    """
    deadline = time.monotonic() + timeout_s
    reached: dict[str, InstanceRecord] = {}
    rollout = RolloutStatus((), (), False)
    while True:
        with contextlib.suppress(StoreUnavailableError):
            rollout = await _query_missing(
                instances, query_status, version, reached
            )
        if rollout.is_complete or time.monotonic() >= deadline:
            return rollout
        # The list read by this poll does not count if the next read fails.
        rollout = rollout._replace(is_listed=False)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _query_missing(
    instances: InstanceListPort,
    query_status: StatusQuery,
    version: int,
    reached: dict[str, InstanceRecord],
) -> RolloutStatus:
    """Queries the listed instances that are not in `reached` yet."""
    records = await instances.list_instances()
    pending = [item for item in records if item.instance not in reached]
    missing = []
    for status in await query_each(pending, query_status):
        if status.version >= version:
            reached[status.record.instance] = status.record
            continue
        missing.append(status)
    return RolloutStatus(tuple(reached.values()), tuple(missing), True)
