"""Asks each instance for its status over HTTP."""

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
    """What one instance said of itself.

    Attributes:
      record: How the platform's list shows it.
      report: Its status; None when it gave no usable answer.
      failure: Why it gave none, or "".
    """

    record: InstanceRecord
    report: Mapping[str, Any] | None
    failure: str

    @property
    def version(self) -> int:
        """The version of the configuration in force there, or 0."""
        if self.report is None:
            return 0
        version = self.report.get("config_version")
        return version if isinstance(version, int) else 0


class RolloutStatus(NamedTuple):
    """How far a version has spread.

    Attributes:
      reached: The instances at or past the version.
      missing: The last word of each instance that is not known to be.
      is_listed: Whether the list of instances could be read at the end.
    """

    reached: tuple[InstanceRecord, ...]
    missing: tuple[InstanceStatus, ...]
    is_listed: bool

    @property
    def is_complete(self) -> bool:
        """Whether each listed instance, and at least one, is known to be."""
        return self.is_listed and bool(self.reached) and not self.missing


StatusQuery = Callable[[InstanceRecord], Awaitable[Mapping[str, Any]]]


def make_status_query(
    session: aiohttp.ClientSession, port: int, timeout_s: float
) -> StatusQuery:
    """Returns a function that asks an instance over HTTP.

    It raises `AnswerTimeoutError` when no usable answer comes.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def ask(record: InstanceRecord) -> Mapping[str, Any]:
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
            raise AnswerTimeoutError("the answer is not a status")
        if report.get("instance") != record.instance:
            raise AnswerTimeoutError("another instance answers there")
        return report

    return ask


async def query_each(
    records: list[InstanceRecord], ask: StatusQuery
) -> list[InstanceStatus]:
    """Returns what each instance says, in the order of the records."""

    async def ask_one(record: InstanceRecord) -> InstanceStatus:
        try:
            return InstanceStatus(record, await ask(record), "")
        except AnswerTimeoutError as error:
            return InstanceStatus(record, None, str(error))

    return list(await asyncio.gather(*(ask_one(item) for item in records)))


async def wait_for_version(
    instances: InstanceListPort,
    ask: StatusQuery,
    version: int,
    timeout_s: float,
) -> RolloutStatus:
    """Asks every instance until each is at or past `version`.

    The list is read again each time, since instances come and go.
    """
    deadline = time.monotonic() + timeout_s
    reached: dict[str, InstanceRecord] = {}
    spread = RolloutStatus((), (), False)
    while True:
        with contextlib.suppress(StoreUnavailableError):
            spread = await _ask_missing(instances, ask, version, reached)
        if spread.is_complete or time.monotonic() >= deadline:
            return spread
        # An answer from an earlier round says nothing of the list now.
        spread = spread._replace(is_listed=False)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _ask_missing(
    instances: InstanceListPort,
    ask: StatusQuery,
    version: int,
    reached: dict[str, InstanceRecord],
) -> RolloutStatus:
    """Asks the listed instances that are not in `reached` yet."""
    records = await instances.list_instances()
    open_records = [item for item in records if item.instance not in reached]
    missing = []
    for status in await query_each(open_records, ask):
        if status.version >= version:
            reached[status.record.instance] = status.record
            continue
        missing.append(status)
    return RolloutStatus(tuple(reached.values()), tuple(missing), True)
