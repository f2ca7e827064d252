"""The reader of the platform's endpoint list: when it reads the list, and how it handles invalid responses."""

import unittest
from types import SimpleNamespace
from unittest import mock

import orjson
import trio
import trio.testing
from loguru import logger

from rowanshift.controlplane import endpoint_list
from rowanshift.controlplane.endpoint_list import LIST_INTERVAL_SECONDS, MAX_LIST_PAGES, EndpointListReader
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME

ADDRESS = ("10.0.0.1", 80)


class FakeRunner:
    """A replica runner that holds the lease or does not."""

    holds_lease = True

    def lease_remaining(self) -> float:
        return 1.0 if self.holds_lease else 0.0


class FakePlatform:
    """A platform API that returns the given pages by target; the call fails for a page that is None."""

    def __init__(self, pages: dict[bytes, bytes | None], status: int = 200) -> None:
        self.pages = pages
        self.status = status
        self.targets: list[bytes] = []
        self.on_call = lambda: None

    async def call(self, runtime, memory, address, method, target, **options) -> SimpleNamespace:
        await trio.lowlevel.checkpoint()
        self.targets.append(target)
        self.on_call()
        page = self.pages[target]
        if page is None:
            raise CallFailed("closed", False)
        return SimpleNamespace(status=self.status, body=page)


def page(*ids: str, next_token: str | None = None) -> bytes:
    instances = [{"id": id, "backend": "s", "address": "10.0.1.1:80"} for id in ids]
    return orjson.dumps({"instances": instances, "nextToken": next_token})


class ListReads(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")
        self.runner = FakeRunner()
        self.registry = ServerRegistry()
        self.changes = 0

    def count_change(self) -> None:
        self.changes += 1

    def read(self, platform: FakePlatform, seconds: float = 0.5) -> list[str]:
        """Run the reader for ``seconds`` and return the ids of the registered servers."""

        async def main() -> None:
            reader = EndpointListReader(
                SYSTEM_RUNTIME, MemoryBudget(1), self.runner, ADDRESS, lambda: self.registry, self.count_change
            )
            with trio.move_on_after(seconds):
                await reader.run()
            self.assertEqual(reader.pages_requested, len(platform.targets))

        with mock.patch.object(endpoint_list, "call", platform.call):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return list(self.registry.servers)

    def test_all_pages_are_read_into_one_list(self) -> None:
        platform = FakePlatform({b"/instances": page("a", next_token="t"), b"/instances?pageToken=t": page("b")})
        self.assertEqual(self.read(platform), ["a", "b"])
        self.assertEqual((self.registry.serial, self.changes), (1, 1))

    def test_an_unchanged_list_is_not_reported_as_a_change(self) -> None:
        platform = FakePlatform({b"/instances": page("a")})
        self.read(platform, 3.5 * LIST_INTERVAL_SECONDS)
        self.assertEqual((len(platform.targets), self.changes), (4, 1))

    def test_without_the_lease_the_list_is_not_requested(self) -> None:
        self.runner.holds_lease = False
        platform = FakePlatform({b"/instances": page("a")})
        self.assertEqual(self.read(platform), [])
        self.assertEqual(platform.targets, [])

    def test_a_list_is_not_applied_if_the_lease_expired_during_the_read(self) -> None:
        platform = FakePlatform({b"/instances": page("a")})
        platform.on_call = lambda: setattr(self.runner, "holds_lease", False)
        self.assertEqual(self.read(platform), [])

    def test_an_invalid_response_keeps_the_known_list(self) -> None:
        self.read(FakePlatform({b"/instances": page("a")}))
        for body in (
            None,
            b"",
            b"[]",
            b"{}",
            b'{"instances": 3}',
            b'{"instances": {}}',
            b'{"instances": null}',
            b'{"instances": [{}]}',
            b'{"instances": [null]}',
            b'{"instances": [], "nextToken": 3}',
        ):
            with self.subTest(body=body):
                self.assertEqual(self.read(FakePlatform({b"/instances": body})), ["a"])
        self.assertEqual(self.read(FakePlatform({b"/instances": page("b")}, status=429)), ["a"])
        self.assertEqual(self.registry.serial, 1)

    def test_a_bad_row_hides_no_other_and_leaves_its_own_server_as_it_was(self) -> None:
        """Guards against one row that makes the whole list unreadable."""
        self.read(FakePlatform({b"/instances": page("a", "b")}))
        entry = {"id": "b", "backend": "s", "address": "10.0.1.1:80"}
        for change in (
            {"slots": 1 << 53},
            {"models": 3},
            {"models": [{"name": "m", "revision": 1 << 63}]},
            {"zone": "z" * 2000},
        ):
            instances = [
                {"id": "a", "backend": "s", "address": "10.0.1.1:80"},
                entry | change,
                entry | change | {"id": "new"},
            ]
            platform = FakePlatform({b"/instances": orjson.dumps({"instances": instances})})
            self.assertEqual(self.read(platform), ["a", "b"], change)
        largest = entry | {"models": [{"name": "m", "revision": (1 << 63) - 1}]}
        self.read(FakePlatform({b"/instances": orjson.dumps({"instances": [largest]})}))
        self.assertEqual(self.registry.servers["b"].versions, {"m": (1 << 63) - 1})

    def test_the_token_of_the_next_page_is_escaped(self) -> None:
        pages = {b"/instances": page("a", next_token="a b&c\r\n"), b"/instances?pageToken=a%20b%26c%0D%0A": page("b")}
        self.assertEqual(self.read(FakePlatform(pages)), ["a", "b"])

    def test_a_list_with_too_many_pages_is_abandoned(self) -> None:
        pages = {b"/instances": page("a", next_token="t"), b"/instances?pageToken=t": page("a", next_token="t")}
        platform = FakePlatform(pages)
        self.assertEqual(self.read(platform), [])
        self.assertEqual(len(platform.targets), MAX_LIST_PAGES)


if __name__ == "__main__":
    unittest.main()
