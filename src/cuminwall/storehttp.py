"""HTTP calls to the platform's services, each with a timeout.

The clients `store` and `instancelist` are built on it.
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

# For streams, whose total time is unlimited; `stream_lines` limits each wait.
_NO_LIMITS = aiohttp.ClientTimeout(total=None)


class Answer(NamedTuple):
    """The status and the body of an HTTP response."""

    status: int
    body: bytes


class Pool:
    """The connections of one client session.

    Attributes:
      in_flight: The number of calls that use the session.
      retired: Whether the pool accepts no new calls.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.in_flight = 0
        self.retired = False


class LineBuffer:
    """Splits a stream that arrives in chunks into lines."""

    def __init__(self) -> None:
        self.partial = bytearray()
        self.lines: list[bytes] = []

    def add(self, data: bytes) -> int:
        """Adds a chunk; returns the length of the unfinished line in bytes."""
        self.partial += data
        if b"\n" in data:
            *lines, partial = bytes(self.partial).split(b"\n")
            self.lines += [line for line in lines if line.strip()]
            self.partial = bytearray(partial)
        return len(self.partial)

    def take_lines(self) -> list[bytes]:
        """Removes and returns the finished lines."""
        lines, self.lines = self.lines, []
        return lines


class HttpChannel:
    """Makes calls to one endpoint.

    After a timeout new calls use new connections: the connection may be dead,
    and so may the idle ones of the same pool. Calls in flight keep theirs.
    """

    def __init__(self, part: str, endpoint: str, zone: str, timeout_s: float):
        """Creates the channel; connections are opened by the first call.

        Args:
          part: The prefix of the log lines.
          endpoint: Scheme, host and port, for example "http://10.0.0.1:2379".
          zone: This instance's availability zone, sent with each call.
          timeout_s: The timeout of each call, connecting included.
        """
        self.part = part
        self.endpoint = endpoint.rstrip("/")
        self.zone = zone
        self.timeout_s = timeout_s
        self.failed_calls = 0
        self.pool: Pool | None = None

    async def close(self) -> None:
        """Closes the connections, at the latest after the calls in flight."""
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.retired = True
            await _close_if_unused(pool)

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Answer:
        """Returns the answer to one call, whatever its status.

        Raises:
          exceptions.StoreUnavailableError: No complete answer arrived in time.
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
            self._record_answer()
        return answer

    async def stream_lines(
        self, path: str, body: bytes, idle_s: float
    ) -> AsyncGenerator[bytes, None]:
        """Yields the lines of a streaming answer, on a connection of its own.

        Returns if nothing arrives for `idle_s` seconds after the first line.

        Raises:
          exceptions.StoreUnavailableError: The stream failed or ended, or its
            first line did not arrive within the timeout.
        """
        async with self._new_session(_NO_LIMITS) as session:
            response = await self._open_stream(session, path, body)
            with contextlib.closing(response):
                async for line in self._read_lines(path, response, idle_s):
                    self._record_answer()
                    yield line

    async def _read_lines(
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
                reason = f"a line is longer than {MAX_LINE_BYTES} bytes"
                raise self.record_failure(path, reason)
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
        """Counts a failed call and returns the error to raise.

        Only the first failure since the last answer is logged.
        """
        self.failed_calls += 1
        if self.failed_calls == 1:
            logger.warning("{}: no answer to {}: {}", self.part, path, reason)
        return exceptions.StoreUnavailableError(f"{path}: {reason}")

    def record_unexpected(
        self, path: str, answer: Answer
    ) -> exceptions.StoreUnavailableError:
        """Returns the error to raise for an answer that can't be used.

        A server error counts as a failed call.
        """
        text = answer.body[:LOGGED_BODY_BYTES].decode(errors="replace")
        reason = f"unexpected answer, status {answer.status}: {text}"
        if answer.status >= HTTP_SERVER_ERROR:
            return self.record_failure(path, reason)
        logger.warning("{}: {}: {}", self.part, path, reason)
        return exceptions.StoreUnavailableError(f"{path}: {reason}")

    def _record_answer(self) -> None:
        if not self.failed_calls:
            return
        logger.info(
            "{}: answers again, {} calls failed", self.part, self.failed_calls
        )
        self.failed_calls = 0

    def _current_pool(self) -> Pool:
        if self.pool is None:
            timeouts = aiohttp.ClientTimeout(total=self.timeout_s)
            self.pool = Pool(self._new_session(timeouts))
        return self.pool

    def _retire(self, pool: Pool) -> None:
        pool.retired = True
        if self.pool is pool:
            self.pool = None

    def _new_session(
        self, timeouts: aiohttp.ClientTimeout
    ) -> aiohttp.ClientSession:
        headers = {ZONE_HEADER: self.zone, "Content-Type": "application/json"}
        return aiohttp.ClientSession(headers=headers, timeout=timeouts)

    def _url(self, path: str) -> str:
        return self.endpoint + path


async def _close_if_unused(pool: Pool) -> None:
    if pool.retired and not pool.in_flight:
        await pool.session.close()


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__} {error}".strip()
