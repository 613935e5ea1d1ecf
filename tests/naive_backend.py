"""A connection that sends a caller's messages unchanged, for comparison."""

import asyncio
import struct
from collections.abc import Sequence

from cuminwall import wire


class NaiveConnection:
    """A connection of one session, without sharing or tracking.

    It reads, for each message that it sends, until the last message of the
    answer or an error.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port: int) -> "NaiveConnection":
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(wire.startup_packet({"user": "naive"}))
        connection = cls(reader, writer)
        while (await connection.read()).tag != b"Z":
            continue
        return connection

    async def read(self) -> wire.Message:
        tag, length = struct.unpack("!cI", await self.reader.readexactly(5))
        return wire.Message(tag, await self.reader.readexactly(length - 4))

    async def run(
        self, messages: Sequence[bytes], skipping: bool
    ) -> tuple[list[wire.Message], bool]:
        """Sends messages.

        Returns:
          The answers, and whether the server discards messages up to a Sync.
        """
        self.writer.write(b"".join(messages))
        answers: list[wire.Message] = []
        for message in messages:
            tag = message[:1]
            if tag == b"H" or (skipping and tag != b"S"):
                continue
            last = _last_tags(message)
            while True:
                answer = await self.read()
                answers.append(answer)
                if answer.tag == b"E" and tag != b"Q":
                    skipping = True
                    break
                if answer.tag in last:
                    break
            if tag == b"S":
                skipping = False
        return answers, skipping

    def close(self) -> None:
        self.writer.transport.abort()


def _last_tags(message: bytes) -> tuple[bytes, ...]:
    return {
        b"P": (b"1",),
        b"B": (b"2",),
        b"C": (b"3",),
        b"D": (b"T", b"n"),
        b"E": (b"C", b"I", b"s"),
        b"S": (b"Z",),
        b"Q": (b"Z",),
    }[message[:1]]
