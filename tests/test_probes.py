"""Tests of probes and promotion."""

import asyncio
import time
import unittest
from unittest import mock

from cuminwall import (
    backend_channel,
    exceptions,
    prober,
    probes,
    promotion,
    wire,
)
from cuminwall.prober import ProbeFailureReason
from cuminwall.promotion import PromotionOutcome
from tests import fake_server

SILENCE_S = 0.1


class AnswerTest(unittest.TestCase):
    """The answer to the position query, in PostgreSQL's forms."""

    def test_lsn_round_trip(self):
        for lsn in (0, 0xFFFFFFFF, 0x16_00B374D8):
            text = probes.format_lsn(lsn).encode()
            self.assertEqual(probes.parse_lsn(text), lsn)

    def test_primary(self):
        row = [b"f", b"16/B374D848", b"0000000A0000001600000016"]
        self.assertEqual(
            probes.parse_answer(row),
            probes.ProbeAnswer(False, 0x16_B374D848, 10),
        )

    def test_replica(self):
        self.assertEqual(
            probes.parse_answer([b"t", b"0/3000060", b"12"]),
            probes.ProbeAnswer(True, 0x3000060, 12),
        )

    def test_replica_that_streams_from_nobody(self):
        self.assertEqual(
            probes.parse_answer([b"t", None, None]),
            probes.ProbeAnswer(True, 0, probes.TIMELINE_UNKNOWN),
        )

    def test_malformed_rows(self):
        wal_file = b"0000000A0000001600000016"
        for row in (
            [],
            [b"x", b"0/0", b"1"],
            [b"t", b"0", b"1"],
            [b"t", b"0/123456789", b"1"],
            [b"f", b"0/0", None],
            [b"f", b"0/0", b"12"],
            # The server was promoted between two columns.
            [b"t", b"0/0", wal_file],
        ):
            with self.assertRaises(exceptions.ProtocolError):
                probes.parse_answer(row)


class ProberTest(fake_server.ServerTestCase):
    """What the prober reports of a server."""

    async def asyncSetUp(self):  # noqa: N802
        await super().asyncSetUp()
        self.reports = []
        self.prober = prober.Prober(self.add_report, 0.005, SILENCE_S)

    async def asyncTearDown(self):  # noqa: N802
        await self.prober.close()
        await super().asyncTearDown()

    def add_report(self, server, sent_at, answer):
        self.reports.append((server, sent_at, answer))

    async def next_report(self):
        count = len(self.reports)
        await self.until(lambda: len(self.reports) > count)
        return self.reports[-1]

    async def test_positions_over_one_connection(self):
        self.prober.set_targets([self.target])
        before = time.monotonic()
        server, sent_at, answer = await self.next_report()
        self.assertEqual((server, answer), ("server", self.server.position))
        self.assertLessEqual(before, sent_at)
        self.server.position = probes.ProbeAnswer(True, 77, 4)
        await self.next_report()
        self.assertEqual((await self.next_report())[2].lsn, 77)
        self.assertEqual(self.server.opened, 1)

    async def test_silent_connection_is_replaced_without_a_failure(self):
        self.prober.set_targets([self.target])
        await self.next_report()
        silent_since = []

        async def stay_silent(session, message):
            if session.number == 1 and message.tag == b"Q":
                silent_since.append(time.monotonic())
                return True
            return False

        self.server.hook = stay_silent
        await self.until(lambda: silent_since)
        count = len(self.reports)
        await self.until(lambda: len(self.reports) > count)
        _, sent_at, answer = self.reports[count]
        self.assertEqual(answer, self.server.position)
        # The age of the answer counts from the probe on the new connection.
        self.assertGreater(sent_at, silent_since[0])
        self.assertEqual(self.server.opened, 2)

    async def test_silent_server(self):
        self.server.accepting = False
        self.prober.set_targets([self.target])
        failure = (await self.next_report())[2]
        self.assertIs(failure.reason, ProbeFailureReason.SILENT)

    # Closing the prober hung in about one run of ten: a connection attempt that
    # was canceled after the socket had opened waited for its end for ever.
    async def test_canceled_as_the_socket_opens(self):
        self.server.accepting = False
        made = backend_channel.Channel.connection_made
        opened = asyncio.Event()

        def cancel(channel, transport):
            made(channel, transport)
            self.loop.call_soon(self.prober.tasks["server"].cancel)
            opened.set()

        with mock.patch.object(
            backend_channel.Channel, "connection_made", cancel
        ):
            self.prober.set_targets([self.target])
            await opened.wait()
            async with asyncio.timeout(2.0):
                await self.prober.close()

    async def test_dead_server(self):
        await self.server.stop()
        self.prober.set_targets([self.target])
        failure = (await self.next_report())[2]
        self.assertIs(failure.reason, ProbeFailureReason.UNREACHABLE)

    async def test_server_that_refuses(self):
        self.server.login_method = "refuse"
        self.prober.set_targets([self.target])
        failure = (await self.next_report())[2]
        self.assertIs(failure.reason, ProbeFailureReason.REFUSED)

    async def test_removed_server_is_left_alone(self):
        self.prober.set_targets([self.target])
        await self.next_report()
        self.prober.set_targets([])
        await self.until(lambda: self.server.open_now == 0)
        self.assertEqual(self.prober.server_probes, {})


class PromotionTest(fake_server.ServerTestCase):
    """The outcome of a promotion request."""

    def answer(self, data: bytes, hang_up: bool = False):
        async def send_answer(session, message):
            if message.tag != b"Q":
                return False
            session.send(data)
            if hang_up:
                session.writer.close()
            return True

        self.server.hook = send_answer

    def rows(self, value: bytes) -> bytes:
        data = wire.row_description([wire.Column("pg_promote")])
        data += wire.data_row([value]) + wire.command_complete("SELECT 1")
        return data + wire.ready_for_query(b"I")

    async def outcome(self):
        promoted = await promotion.promote(
            self.target, SILENCE_S, fake_server.GUARD_S
        )
        return promoted.outcome

    async def test_done(self):
        self.answer(self.rows(b"t"))
        self.assertIs(await self.outcome(), PromotionOutcome.DONE)

    async def test_not_promoted_in_time(self):
        self.answer(self.rows(b"f"))
        self.assertIs(await self.outcome(), PromotionOutcome.UNKNOWN)

    async def test_refused(self):
        error = wire.error_response("55000", "recovery is not in progress")
        self.answer(error + wire.ready_for_query(b"I"))
        self.assertIs(await self.outcome(), PromotionOutcome.REFUSED)

    async def test_wait_canceled_at_the_server(self):
        error = wire.error_response("57014", "canceled")
        self.answer(error + wire.ready_for_query(b"I"))
        self.assertIs(await self.outcome(), PromotionOutcome.UNKNOWN)

    async def test_answer_lost(self):
        self.answer(b"", hang_up=True)
        self.assertIs(await self.outcome(), PromotionOutcome.UNKNOWN)

    async def test_silence(self):
        self.answer(b"")
        self.assertIs(await self.outcome(), PromotionOutcome.UNKNOWN)

    async def test_never_asked(self):
        await self.server.stop()
        self.assertIs(await self.outcome(), PromotionOutcome.REFUSED)


if __name__ == "__main__":
    unittest.main()
