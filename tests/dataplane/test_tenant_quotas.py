"""The limits of a tenant, ``ratePerS`` and ``burst``, which hold over all routers together.

Two deployments set them, but the routers do not read them: of a tenant with a limit of 1 request per second, 906
requests were executed in six seconds, and none was answered with 429.
"""

import unittest

from loguru import logger

from rowanshift.invariants.facts import Answered
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_settings import KEYS, REPEATED

SECONDS = 6.0
RATE, BURST = 1.0, 0.0  # of the tenant: requests per second, requests
OVERSHOOT, SLACK = 1.1, 20.0  # tolerances of the operators' rule
CLIENTS, PAUSE_SECONDS = 6, 0.02


def limited_config() -> dict:
    config = config_of(1)
    config["tenants"][0] |= {"ratePerS": RATE, "burst": BURST}
    return config


class Quotas(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")

    def test_a_tenant_gets_no_more_than_its_limit_over_all_routers(self) -> None:
        async def main(fleet: Fleet) -> list[int]:
            await fleet.start(limited_config())
            began = fleet.now()
            for number in range(CLIENTS):
                fleet.client(f"c{number}", REPEATED, KEYS["t1"][0], PAUSE_SECONDS, out=2)
            await fleet.until(lambda: fleet.now() > began + SECONDS)
            return [fact.status for fact in fleet.of(Answered)]

        statuses, _ = play(main, routers=2)
        self.assertLessEqual(statuses.count(200), (RATE * SECONDS + BURST) * OVERSHOOT + SLACK)
        self.assertIn(429, statuses)


if __name__ == "__main__":
    unittest.main()
