"""The named versions of models with their times, and what both roles make of them."""

import random
import unittest

import trio
from loguru import logger

from rowanshift.controlplane.poll_endpoint import version_announcements
from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.server_registry import (
    ANNOUNCEMENT_RETENTION_SECONDS,
    FAILED_LOAD_PENALTY_SECONDS,
    ServerRegistry,
)
from rowanshift.simulation.fleet import Fleet, play
from rowanshift.simulation.fleet_settings import INNER
from rowanshift.transport.record_links import RecordClient
from rowanshift.wire.control_updates import (
    CONTROL_UPDATE_CODEC,
    ModelVersionAnnouncement,
    Poll,
    PollOfFormat2,
    PollOfFormat3,
    Update,
    UpdateOfFormat1,
    UpdateOfFormat2,
)
from rowanshift.wire.version_announcements import (
    MAX_ANNOUNCED_AGE_MS,
    MAX_ANNOUNCED_MODELS,
    MAX_ANNOUNCEMENTS_PER_MODEL,
    VersionAnnouncement,
    VersionAnnouncements,
)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def announcements_of(*named: tuple[int, float]) -> VersionAnnouncements:
    made = VersionAnnouncements()
    for version, announced_at in named:
        made.record(VersionAnnouncement("m", version, announced_at))
    return made


class Announcements(unittest.TestCase):
    def test_each_has_its_own_time(self) -> None:
        made = announcements_of((2, 10.0), (3, 12.0), (5, 20.0))
        self.assertEqual([made.required_version("m", at) for at in (9.9, 10.0, 12.0, 19.9, 20.0)], [0, 2, 3, 3, 5])
        self.assertEqual([made.missing_since("m", version) for version in range(1, 6)], [10.0, 12.0, 20.0, 20.0, None])
        self.assertEqual((made.required_version("n", 99.0), made.missing_since("n", 0)), (0, None))

    def test_the_earlier_of_two_times_counts(self) -> None:
        for order in ((10.0, 11.0), (11.0, 10.0)):
            made = announcements_of(*((2, at) for at in order))
            self.assertEqual(made.missing_since("m", 1), 10.0)

    def test_a_newer_one_of_an_earlier_time_takes_the_place_of_an_older_one(self) -> None:
        for order in (((2, 10.0), (3, 9.0)), ((3, 9.0), (2, 10.0))):
            self.assertEqual([name.version for name in announcements_of(*order).all()], [3])

    def test_whatever_comes_in_any_order_it_says_what_a_plain_list_says(self) -> None:
        random_source = random.Random(1)
        for _ in range(200):
            named = [
                (random_source.randrange(1, 12), float(random_source.randrange(20)))
                for _ in range(random_source.randrange(1, 12))
            ]
            made = announcements_of(*named)
            for at in range(-1, 21):
                newest = max((version for version, announced_at in named if announced_at <= at), default=0)
                self.assertEqual(made.required_version("m", at), newest, (named, at))
            for version in range(12):
                since = min((announced_at for other, announced_at in named if other > version), default=None)
                self.assertEqual(made.missing_since("m", version), since, (named, version))

    def test_one_too_many_makes_it_no_laxer(self) -> None:
        named = [(version, float(version)) for version in range(1, MAX_ANNOUNCEMENTS_PER_MODEL + 2)]
        made = announcements_of(*named)
        self.assertEqual(len(made.all()), MAX_ANNOUNCEMENTS_PER_MODEL)
        self.assertEqual(made.required_version("m", 1.0), 2)  # version 1 was wanted from then on
        self.assertEqual(made.missing_since("m", 0), 1.0)
        self.assertEqual(made.required_version("m", 3.0), 3)

    def test_models_beyond_the_limit_are_not_kept(self) -> None:
        made = VersionAnnouncements()
        for number in range(MAX_ANNOUNCED_MODELS + 1):
            made.record(VersionAnnouncement(f"m{number}", 1, 0.0))
        self.assertEqual(
            (len(made.all()), made.required_version(f"m{MAX_ANNOUNCED_MODELS}", 1.0)), (MAX_ANNOUNCED_MODELS, 0)
        )
        made.record(VersionAnnouncement("m0", 2, 1.0))
        self.assertEqual(made.required_version("m0", 1.0), 2)

    def test_what_is_forgotten_changes_no_later_answer(self) -> None:
        made = announcements_of((2, 10.0), (3, 12.0), (5, 20.0))
        made.discard_superseded_before(12.5)
        self.assertEqual([name.version for name in made.all()], [3, 5])
        self.assertEqual([made.required_version("m", at) for at in (12.5, 20.0)], [3, 5])


def server(id: str, version: int, **more: float) -> RegisteredServer:
    return RegisteredServer(id, "s", "10.0.0.1:80", "z", 1, False, {"m": version}, **more)


class AtThePrimary(unittest.TestCase):
    def registry(self, *servers: RegisteredServer) -> ServerRegistry:
        made = ServerRegistry(rollout_seconds=5.0)
        made.apply_list([*servers])
        return made

    def test_a_failure_puts_a_server_back_and_does_not_starve_it(self) -> None:
        for apart, first in ((FAILED_LOAD_PENALTY_SECONDS - 0.5, "b"), (FAILED_LOAD_PENALTY_SECONDS + 0.5, "a")):
            made = self.registry(server("a", 1), server("b", 2))
            made.record_versions({}, 0.0)  # no former primary has left a name
            made.record_versions({"m": 2}, 100.0)
            made.record_versions({"m": 3}, 100.0 + apart)
            made.load_failed("a", "m", 100.0)
            self.assertEqual(made.next_load({"m": 3}, 110.0)[0].id, first)

    def test_servers_behind_and_for_how_long(self) -> None:
        made = self.registry(server("a", 2), server("b", 1, loading=True), server("c", 3))
        made.record_versions({"m": 2}, 100.0)
        made.record_versions({"m": 3}, 104.0)
        found = [(row.id, row.version, row.lag_seconds, row.loading) for row in made.servers_behind({"m": 3}, 105.0)]
        self.assertEqual(found, [("b", 1, 5.0, True), ("a", 2, 1.0, False)])

    def test_names_are_kept_for_a_while_after_newer_ones(self) -> None:
        made = self.registry()
        for version, at in ((2, 0.0), (3, 1.0), (4, 2.0)):
            made.record_versions({"m": version}, at)
        made.record_versions({"m": 4}, 1.0 + ANNOUNCEMENT_RETENTION_SECONDS)
        self.assertEqual([name.version for name in made.announcements.all()], [3, 4])

    def test_ages_as_routers_are_told_them(self) -> None:
        registry = self.registry()
        registry.record_versions({"m": 2}, 10.0)  # a former primary named it
        told = [version_announcements(registry, now)[0] for now in (12.5, 9.0, 1e9)]
        self.assertEqual(
            told, [ModelVersionAnnouncement("m", 2, age, is_dated=False) for age in (2500, 0, MAX_ANNOUNCED_AGE_MS)]
        )
        registry.record_versions({"m": 3}, 11.0)
        self.assertEqual(
            version_announcements(registry, 12.5)[1], ModelVersionAnnouncement("m", 3, 1500, is_dated=True)
        )


class FormerRouters(unittest.TestCase):
    def test_each_gets_the_answer_that_it_can_read(self) -> None:
        async def main(fleet: Fleet) -> list[UpdateOfFormat1]:
            await fleet.start()
            caller = RecordClient(fleet.outside, CONTROL_UPDATE_CODEC, (fleet.primary().machine.address, INNER[0]))
            nothing = (0, 0), 0, (0, 0), (0, 0), (0, 0), 0
            await fleet.name_version(2)
            kinds = PollOfFormat2, PollOfFormat3, Poll
            answers = [await caller.ask(poll(1, 1, *nothing), 2.0) for poll in kinds]
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
            found = await caller.ask(PollOfFormat3(1, 1, *nothing), 2.0)
            has = (
                found.state_version,
                found.fingerprint,
                found.registry_version,
                found.prefix_holdings_version,
                found.peers_version,
            )
            asked_at = fleet.now()
            await caller.ask(PollOfFormat3(1, 1, *has, 400), 2.0)
            caller.close()
            return fleet.now() - asked_at

        self.assertGreater(play(main, "held", routers=1)[0], 0.35)


if __name__ == "__main__":
    unittest.main()
