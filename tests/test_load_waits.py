"""Tests of what is not worth waiting for."""

import unittest

from cuminwall.load import waits

MEAN_S = 0.04


class TestServiceTime(unittest.TestCase):
    """What is learned of the time that statements take."""

    def observe(self, seconds, count, now=0.0, known=waits.UNKNOWN):
        """Returns what is known after several observations."""
        for _ in range(count):
            known = waits.observe(known, seconds, now)
        return known

    def test_too_little_known(self):
        """The load: an instance that has just started."""
        self.assertIsNone(waits.mean_s(waits.UNKNOWN))
        self.assertIsNone(waits.mean_s(self.observe(MEAN_S, 1)))

    def test_server_becomes_slow(self):
        """The load: one of three servers becomes five times slower."""
        known = self.observe(MEAN_S, 20)
        known = self.observe(5 * MEAN_S, 20, 10.0, known)
        self.assertGreater(waits.mean_s(known), 4 * MEAN_S)

    def test_old_observations_count_no_more(self):
        """The load: none for long, then none is hopeless for old reasons."""
        known = self.observe(MEAN_S, 20)
        known = self.observe(MEAN_S, 1, 60.0, known)
        self.assertIsNone(waits.mean_s(known))


class TestHopelessWaits(unittest.TestCase):
    """Work that can't be reached in time."""

    def test_long_queue(self):
        """The load: three connections, 24 waiting, statements of 40 ms.

        The wait is 320 ms, so a request that may wait 200 ms is hopeless, and
        one that may wait 400 ms is not.
        """
        queue = waits.Queue(24, 3, 0.0)
        self.assertTrue(waits.is_hopeless(queue, MEAN_S, 0.2))
        self.assertFalse(waits.is_hopeless(queue, MEAN_S, 0.4))

    def test_server_without_room(self):
        """The load: a server refuses connections for longer than the target."""
        queue = waits.Queue(0, 0, 0.4)
        self.assertTrue(waits.is_hopeless(queue, None, 0.2))
        self.assertFalse(waits.is_hopeless(queue, None, 0.5))

    def test_capacity_about_to_come(self):
        """The load: two wait for a connection that is free in 40 ms."""
        queue = waits.Queue(1, 1, 0.0)
        self.assertFalse(waits.is_hopeless(queue, MEAN_S, 0.1))

    def test_nothing_known(self):
        """A queue alone is no reason while service times are unknown."""
        queue = waits.Queue(24, 1, 0.0)
        self.assertFalse(waits.is_hopeless(queue, None, 0.1))


class TestShortRoom(unittest.TestCase):
    """A server that lately had no room for more."""

    def test_room_is_short_for_a_while(self):
        """The load: a connection is refused about once a second."""
        self.assertTrue(waits.is_room_short(10.0, 10.5))
        self.assertFalse(waits.is_room_short(10.0, 13.0))
        self.assertFalse(waits.is_room_short(-1e9, 0.0))


if __name__ == "__main__":
    unittest.main()
