"""Polls of routers from former releases: each router gets the answer format that it can decode."""

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
    def test_each_router_gets_the_answer_format_that_it_can_decode(self) -> None:
        async def main(fleet: Fleet) -> list[UpdateOfFormat1]:
            await fleet.start()
            client = RecordClient(fleet.outside, CONTROL_UPDATE_CODEC, (fleet.primary().machine.address, INNER[0]))
            no_versions = (0, 0), 0, (0, 0), (0, 0), (0, 0), 0
            await fleet.name_version(2)
            poll_types = PollOfFormat2, PollOfFormat3, Poll
            answers = [await client.call(poll(1, 1, *no_versions), 2.0) for poll in poll_types]
            client.close()
            await trio.lowlevel.checkpoint()
            return answers

        first, second, third = play(main, "former routers", routers=1)[0]
        self.assertEqual(
            [type(answer) for answer in (first, second, third)], [UpdateOfFormat1, UpdateOfFormat2, Update]
        )
        self.assertEqual(
            [(announcement.model, announcement.version) for announcement in second.announcements], [("m", 2)]
        )
        self.assertEqual(
            [(announcement.version, announcement.is_dated) for announcement in third.announcements], [(2, True)]
        )

    def test_a_poll_of_a_former_router_is_held_while_there_is_nothing_new(self) -> None:
        async def main(fleet: Fleet) -> float:
            await fleet.start()
            client = RecordClient(fleet.outside, CONTROL_UPDATE_CODEC, (fleet.primary().machine.address, INNER[0]))
            await trio.sleep(4.0)  # until the membership is known
            no_versions = (0, 0), 0, (0, 0), (0, 0), (0, 0), 0
            update = await client.call(PollOfFormat3(1, 1, *no_versions), 2.0)
            known_versions = (
                update.state_version,
                update.fingerprint,
                update.registry_version,
                update.prefix_holdings_version,
                update.peers_version,
            )
            requested_at = fleet.now()
            await client.call(PollOfFormat3(1, 1, *known_versions, 400), 2.0)
            client.close()
            return fleet.now() - requested_at

        self.assertGreater(play(main, "held", routers=1)[0], 0.35)


if __name__ == "__main__":
    unittest.main()
