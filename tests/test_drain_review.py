"""Orders of events around SIGTERM in which a request could end wrongly, each played at one frontend in the virtual
network. Times are seconds from the SIGTERM on."""

import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import trio
from exchange_rig import Behaviour, Client, Got, Rig, play, request_bytes
from loguru import logger

from rowanshift.dataplane.drain import END_RESERVE, request_kind
from rowanshift.dataplane.request_endings import RequestEndings
from rowanshift.dataplane.service import DataPlaneService

GIVEN_UP_AT = 8.0 - END_RESERVE
LASTS = 5.5  # seconds that requests of the kind of these tests took lately
WITHIN = 7.9  # seconds that a client waits, longer than the router stays
NO_TOKENS = request_kind("s", 0)  # the kind of each request of the rig


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


async def leave(rig: Rig) -> None:
    """What the service does from SIGTERM on; the end of the play is the end of the process."""
    service = SimpleNamespace(drain=rig.front.drain, told_at=trio.current_time())
    await DataPlaneService._leave(service, rig.front, rig.front.budget)


def until_its_end(
    clients: Callable[[Rig], Awaitable[None]], *behaviours: Behaviour, longest: float = 0.0
) -> RequestEndings:
    """The endings at a router that gets SIGTERM as ``clients`` start."""

    async def main(rig: Rig) -> RequestEndings:
        rig.behaviours += behaviours
        if longest:
            rig.front.drain.durations.finished(NO_TOKENS, longest, trio.current_time())
        rig.nursery.start_soon(clients, rig)
        await leave(rig)
        return rig.front.endings

    return play(main, servers=2)


class Silence(unittest.TestCase):
    """A server's silence is no reason to end an answer sooner."""

    def got(self, longest: float) -> Got:
        """What the client of a repeatable request gets that a server answers after a silence, before the end."""
        answers: list[Got] = []

        async def clients(rig: Rig) -> None:
            await trio.sleep(1.5)
            answers.append(await Client(rig).ask("idempotent", "r1", within=WITHIN))

        until_its_end(clients, Behaviour(wait=4.0), longest=longest)
        return answers[0]

    def test_a_silent_server_is_waited_for_where_no_other_may_be_asked(self) -> None:
        for longest in (0.0, LASTS):
            with self.subTest(longest=longest):
                self.assertEqual(self.got(longest).status, 200)


class LastAnswers(unittest.TestCase):
    def test_a_request_read_at_the_very_end_is_refused_at_once(self) -> None:
        """Its route is not known, and what is known could not be confirmed before the process ends."""
        for path in ("idempotent", "nowhere"):

            async def clients(rig: Rig, path: str = path) -> None:
                rig.front.state.may_refuse = lambda: False
                rig.front.state.confirmed = trio.sleep
                data = request_bytes(path, "r1", within=WITHIN)
                client = Client(rig)
                await client.send(data[:-1])
                await trio.sleep(GIVEN_UP_AT + 0.1)
                await client.send(data[-1:])

            with self.subTest(path=path):
                endings = until_its_end(clients)
                self.assertEqual(endings.violated(), 0, endings.counts())
                self.assertIn("leaving_refusal=1", endings.counts())


if __name__ == "__main__":
    unittest.main()
