"""Tests that callers wait while the configuration is unconfirmed."""

import unittest

from cuminwall.direct import events, holds, statements
from tests import direct_world

NAMES = ("a", "b", "c")


class StoodStillTest(unittest.TestCase):
    """A process stood still; it wakes up to statements and news at once.

    The statements come first: they are in the sockets of the callers, and the
    call that would tell of the new version has yet to be made.
    """

    def setUp(self) -> None:
        servers = (direct_world.FakeServer("p"), direct_world.FakeServer("q"))
        servers[0].is_primary = True
        self.world = direct_world.World(NAMES, servers)
        self.world.run(4.0)
        coordinator = self.world.coordinator().name
        name = next(each for each in NAMES if each != coordinator)
        self.instance = self.world.instances[name]
        self.caller = self.instance.caller()
        self.world.run(0.5)

    def wake_up(self, age_s: float) -> None:
        """Makes what the instance knows this old."""
        view = self.instance.state.store_view
        view.answered_at = self.world.now - age_s
        view.confirmed_at = self.world.now - age_s

    def withdraw_key(self) -> None:
        """Withdraws the caller's key, which the instance does not hear of."""
        self.instance.is_watch_dead = True
        config = self.world.config._replace(
            version=self.world.config.version + 1, keys={}
        )
        self.world.configure(config)

    def read(self) -> None:
        """Sends a read."""
        number = len(self.caller.answers)
        self.caller.send(statements.Read(f"r{number}", "READ 1"))

    def test_statement_runs_by_the_version_that_came_meanwhile(self) -> None:
        self.withdraw_key()
        self.wake_up(3.0)
        self.read()
        self.world.run(0.5)
        self.assertTrue(self.caller.is_closed)
        self.assertEqual(self.instance.log_fields("answered"), [])
        (ended,) = self.instance.log_fields("ended")
        self.assertEqual(ended["cause"], "confirmed")
        self.assertLess(ended["held_ms"], 50.0)

    def test_login_is_judged_by_the_version_that_came_meanwhile(self) -> None:
        self.withdraw_key()
        self.wake_up(3.0)
        caller = self.instance.caller()
        self.world.run(0.5)
        self.assertFalse(caller.is_open)
        self.assertIsNotNone(caller.refusal)

    def test_statement_of_an_open_transaction_goes_on(self) -> None:
        self.caller.send(statements.Begin("b", "BEGIN", False))
        self.world.run(0.2)
        self.wake_up(3.0)
        self.caller.send(statements.Write("w", "WRITE 1 x"))
        self.world.run(0.5)
        self.assertEqual(self.instance.log_fields("begun"), [])
        self.assertEqual(self.caller.reasons(), [None, None])

    def test_nothing_waits_while_the_view_is_confirmed(self) -> None:
        for _ in range(100):
            self.read()
            self.world.run(0.1)
        self.assertEqual(self.instance.log_fields("begun"), [])
        self.assertEqual(self.caller.reasons(), [None] * 100)

    def test_store_that_is_silent_delays_once_and_shortly(self) -> None:
        self.instance = self.world.coordinator()
        self.caller = self.instance.caller()
        self.world.run(0.5)
        self.instance.has_store = False
        self.wake_up(3.0)
        self.read()
        self.world.run(holds.MAX_HOLD_S - 0.01)
        self.assertEqual(self.caller.answers, [])
        self.world.run(0.2)
        self.assertEqual(self.caller.reasons(), [None])
        for _ in range(5):
            self.read()
            self.world.run(0.1)
        self.assertEqual(len(self.caller.answers), 6)
        self.assertEqual(len(self.instance.log_fields("begun")), 1)

    def test_store_that_is_lost_ends_the_wait_at_once(self) -> None:
        self.instance.has_store = False
        self.wake_up(3.0)
        self.read()
        self.instance.handle_event(
            events.StoreStatusReported(self.world.now, False, "test")
        )
        self.world.run(0.1)
        self.assertEqual(self.caller.reasons(), [None])


if __name__ == "__main__":
    unittest.main()
