"""Cold servers get only a bounded rate from all instances together."""

import collections
import unittest

from cuminwall.direct import statements
from tests import direct_world

RATE = 10.0
OVERAGE = 1.5
TOLERANCE = 5
NAMES = ("a", "b", "c", "d", "e")


class ColdServerTest(unittest.TestCase):
    """A replica that has just started."""

    def test_rate_of_all_instances(self) -> None:
        config = direct_world.make_catalog()
        service = config.services["s"]._replace(warmup_rate=RATE)
        config = config._replace(services={"s": service})
        primary = direct_world.FakeServer("p")
        primary.is_primary = True
        cold = direct_world.FakeServer("q")
        world = direct_world.World(NAMES, (primary, cold), config=config)
        world.run(4.0)
        world.write_entry(cold, cold_s=5.0, born_ms=2)
        world.run(0.1)
        for instance in world.instances.values():
            callers = [instance.caller("aged") for _ in range(4)]
            for caller in callers:
                for number in range(100):
                    request = f"{instance.name}{caller.session}.{number}"
                    world.schedule(
                        0.04 * number,
                        lambda caller=caller, request=request: (
                            caller.send_to_peer(
                                statements.Read(request, "READ 1")
                            )
                        ),
                    )
        world.run(4.5)
        seconds: collections.Counter[int] = collections.Counter()
        for _, _, at in cold.statements_run:
            seconds[int(at * 2)] += 1
        self.assertGreater(len(cold.statements_run), 10)
        windows = [seconds[at] + seconds[at + 1] for at in seconds]
        self.assertLessEqual(max(windows), RATE * OVERAGE + TOLERANCE)


if __name__ == "__main__":
    unittest.main()
