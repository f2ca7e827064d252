"""Polls of routers of former releases."""

import unittest

import trio
from loguru import logger

from rowanshift.simulation.fleet import Fleet, play
from rowanshift.simulation.fleet_settings import INNER
from rowanshift.transport.record_links import RecordClient
from rowanshift.wire.control_updates import (
    CONTROL_UPDATE_CODEC,
    Poll,
    PollOfFormat2,
    PollOfFormat3,
    Update,
    UpdateOfFormat1,
    UpdateOfFormat2,
)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class FormerRouters(unittest.TestCase):
    def test_each_gets_the_answer_that_it_can_read(self) -> None:
        async def main(fleet: Fleet) -> list[UpdateOfFormat1]:
            await fleet.start()
            caller = RecordClient(fleet.outside, CONTROL_UPDATE_CODEC, (fleet.primary().machine.address, INNER[0]))
            nothing = (0, 0), 0, (0, 0), (0, 0), (0, 0), 0
            await fleet.name_version(2)
            kinds = PollOfFormat2, PollOfFormat3, Poll
            answers = [await caller.call(poll(1, 1, *nothing), 2.0) for poll in kinds]
            caller.close()
            await trio.lowlevel.checkpoint()
            return answers

        first, second, third = play(main, "former routers", routers=1)[0]
        self.assertEqual(
            [type(answer) for answer in (first, second, third)], [UpdateOfFormat1, UpdateOfFormat2, Update]
        )
        self.assertEqual([(name.model, name.version) for name in second.announcements], [("m", 2)])
        self.assertEqual([(name.version, name.is_dated) for name in third.announcements], [(2, True)])

    def test_a_poll_of_a_former_router_is_held_while_there_is_nothing_newer(self) -> None:
        async def main(fleet: Fleet) -> float:
            await fleet.start()
            caller = RecordClient(fleet.outside, CONTROL_UPDATE_CODEC, (fleet.primary().machine.address, INNER[0]))
            await trio.sleep(4.0)  # until its members have settled
            nothing = (0, 0), 0, (0, 0), (0, 0), (0, 0), 0
            found = await caller.call(PollOfFormat3(1, 1, *nothing), 2.0)
            has = (
                found.state_version,
                found.fingerprint,
                found.registry_version,
                found.prefix_holdings_version,
                found.peers_version,
            )
            asked_at = fleet.now()
            await caller.call(PollOfFormat3(1, 1, *has, 400), 2.0)
            caller.close()
            return fleet.now() - asked_at

        self.assertGreater(play(main, "held", routers=1)[0], 0.35)


if __name__ == "__main__":
    unittest.main()
