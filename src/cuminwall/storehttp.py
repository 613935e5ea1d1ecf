"""HTTP calls on the platform's services, each within a timeout.

Used by the adapters `store` and `instancelist`; it knows no call of either.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator
from typing import NamedTuple

import aiohttp
from loguru import logger

from cuminwall import exceptions

ZONE_HEADER = "x-zone"
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
MAX_LINE_BYTES = 64 * 1024 * 1024
LOGGED_BODY_BYTES = 200

# A stream lives long; `stream_lines` limits each wait by itself.
_NO_LIMITS = aiohttp.ClientTimeout(total=None)


class Answer(NamedTuple):
    """The status and the body of an HTTP answer."""

    status: int
    body: bytes


class Pool:
    """The connections of one client session.

    Attributes:
      in_flight: How many calls use the session now.
      retired: Whether new calls must use another pool.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.in_flight = 0
        self.retired = False


class LineBuffer:
    """Joins pieces of a stream into lines."""

    def __init__(self) -> None:
        self.rest = bytearray()
        self.lines: list[bytes] = []

    def add(self, data: bytes) -> int:
        """Adds a piece; returns how many bytes the unfinished line has."""
        self.rest += data
        if b"\n" in data:
            *lines, rest = bytes(self.rest).split(b"\n")
            self.lines += [line for line in lines if line.strip()]
            self.rest = bytearray(rest)
        return len(self.rest)

    def take_lines(self) -> list[bytes]:
        """Returns the finished lines, once."""
        lines, self.lines = self.lines, []
        return lines


class HttpChannel:
    """Calls on one endpoint.

    After a timeout new calls get new connections: an open connection may have
    gone silent for good, and so may the idle ones beside it. Calls in flight
    keep theirs.
    """

    def __init__(self, part: str, endpoint: str, zone: str, timeout_s: float):
        """Opens nothing yet.

        Args:
          part: The prefix of the log lines.
          endpoint: Scheme, host and port, for example "http://10.0.0.1:2379".
          zone: This instance's availability zone, sent with each call.
          timeout_s: The limit of each call, connecting included.
        """
        self.part = part
        self.endpoint = endpoint.rstrip("/")
        self.zone = zone
        self.timeout_s = timeout_s
        self.failed_calls = 0
        self.pool: Pool | None = None

    async def close(self) -> None:
        """Closes the connections; those in use close when their call ends."""
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.retired = True
            await _close_if_unused(pool)

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Answer:
        """Returns the answer to one call, whatever its status.

        Raises:
          exceptions.StoreUnavailableError: No whole answer came in time.
        """
        pool = self._current_pool()
        pool.in_flight += 1
        try:
            async with pool.session.request(
                method, self._url(path), data=body, allow_redirects=False
            ) as response:
                answer = Answer(response.status, await response.read())
        except TimeoutError as error:
            self._retire(pool)
            reason = f"no answer for {self.timeout_s:g} s"
            raise self.record_failure(path, reason) from error
        except (aiohttp.ClientError, OSError) as error:
            raise self.record_failure(path, _describe(error)) from error
        finally:
            pool.in_flight -= 1
            await _close_if_unused(pool)
        if answer.status < HTTP_SERVER_ERROR:
            self._note_answer()
        return answer

    async def stream_lines(
        self, path: str, body: bytes, idle_s: float
    ) -> AsyncGenerator[bytes, None]:
        """Yields the lines of a streaming answer on its own connection.

        Returns when nothing came for `idle_s` seconds after the first line.

        Raises:
          exceptions.StoreUnavailableError: The stream broke off or ended, or
            its first line did not come within the timeout.
        """
        async with self._new_session(_NO_LIMITS) as session:
            response = await self._open_stream(session, path, body)
            with contextlib.closing(response):
                async for line in self._lines(path, response, idle_s):
                    self._note_answer()
                    yield line

    async def _lines(
        self, path: str, response: aiohttp.ClientResponse, idle_s: float
    ) -> AsyncGenerator[bytes, None]:
        lines = LineBuffer()
        started = False
        while True:
            limit_s = idle_s if started else self.timeout_s
            try:
                async with asyncio.timeout(limit_s):
                    data = await response.content.readany()
            except TimeoutError as error:
                if started:
                    return
                reason = f"no first line for {limit_s:g} s"
                raise self.record_failure(path, reason) from error
            except (aiohttp.ClientError, OSError) as error:
                raise self.record_failure(path, _describe(error)) from error
            if not data:
                raise self.record_failure(path, "the stream ended")
            if lines.add(data) > MAX_LINE_BYTES:
                raise self.record_failure(path, "a line is too long")
            for line in lines.take_lines():
                started = True
                yield line

    async def _open_stream(
        self, session: aiohttp.ClientSession, path: str, body: bytes
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(self.timeout_s):
                response = await session.post(
                    self._url(path), data=body, allow_redirects=False
                )
                if response.status != HTTP_OK:
                    answer = Answer(response.status, await response.read())
                    raise self.record_unexpected(path, answer)
        except TimeoutError as error:
            reason = f"no answer for {self.timeout_s:g} s"
            raise self.record_failure(path, reason) from error
        except (aiohttp.ClientError, OSError) as error:
            raise self.record_failure(path, _describe(error)) from error
        return response

    def record_failure(
        self, path: str, reason: str
    ) -> exceptions.StoreUnavailableError:
        """Returns the error to raise; logs the first since an answer."""
        self.failed_calls += 1
        if self.failed_calls == 1:
            logger.warning("{}: no answer to {}: {}", self.part, path, reason)
        return exceptions.StoreUnavailableError(f"{path}: {reason}")

    def record_unexpected(
        self, path: str, answer: Answer
    ) -> exceptions.StoreUnavailableError:
        """Returns the error to raise for an answer that has no use."""
        text = answer.body[:LOGGED_BODY_BYTES].decode(errors="replace")
        reason = f"unexpected answer, status {answer.status}: {text}"
        if answer.status >= HTTP_SERVER_ERROR:
            return self.record_failure(path, reason)
        logger.warning("{}: {}: {}", self.part, path, reason)
        return exceptions.StoreUnavailableError(f"{path}: {reason}")

    def _note_answer(self) -> None:
        if not self.failed_calls:
            return
        logger.info(
            "{}: answers again, {} calls failed", self.part, self.failed_calls
        )
        self.failed_calls = 0

    def _current_pool(self) -> Pool:
        if self.pool is None:
            limits = aiohttp.ClientTimeout(total=self.timeout_s)
            self.pool = Pool(self._new_session(limits))
        return self.pool

    def _retire(self, pool: Pool) -> None:
        pool.retired = True
        if self.pool is pool:
            self.pool = None

    def _new_session(
        self, limits: aiohttp.ClientTimeout
    ) -> aiohttp.ClientSession:
        headers = {ZONE_HEADER: self.zone, "Content-Type": "application/json"}
        return aiohttp.ClientSession(headers=headers, timeout=limits)

    def _url(self, path: str) -> str:
        return self.endpoint + path


async def _close_if_unused(pool: Pool) -> None:
    if pool.retired and not pool.in_flight:
        await pool.session.close()


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__} {error}".strip()
