"""Applying the control plane's updates to a router's copy of the control state."""

import random
import unittest
import zlib
from typing import Any

import orjson
import trio
from loguru import logger
from msgspec.structs import replace
from trio.testing import MockClock

from rowanshift.dataplane.control_cache import (
    FRESHNESS_WAIT_SECONDS,
    STARTUP_WAIT_FRACTION,
    STARTUP_WAIT_SECONDS,
    ControlCache,
)
from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.kv_index.block_hashes import pack_block_hashes
from rowanshift.process.node_settings import RuleBounds
from rowanshift.wire.control_updates import SERVER_DRAINING, SERVER_UP, ServerRecord, Update

ASKED_AT = 10.0  # seconds


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def update_of(**fields: Any) -> Update:
    """An update with these fields and nothing else."""
    empty = Update((1, 1), 0, False, 0, b"", {}, (0, 0), False)
    return replace(empty, **fields)


def state_fields(revision: int, config: bytes | None = None) -> dict[str, Any]:
    document = {"backends": [{"name": "s"}], "routes": [{"hostname": "h", "pathPrefix": "/", "backend": "s"}]}
    packed = zlib.compress(orjson.dumps(document) if config is None else config)
    return {"has_state": True, "fingerprint": revision, "revision": revision, "config": packed, "versions": {"m": 2}}


def record(name: str, state: int = SERVER_UP) -> ServerRecord:
    return ServerRecord(name, "s", f"{name}:80", "z", 4, state, {"m": 1})


class Updates(unittest.TestCase):
    def setUp(self) -> None:
        self.unavailable: list[Endpoint] = []
        self.peers: list[tuple[int, ...]] = []
        self.cache = ControlCache(RuleBounds(), random.Random(1), self.unavailable.append, self.peers.append)

    def apply(self, **fields: Any) -> bool:
        return trio.run(self._apply, update_of(**fields))

    async def _apply(self, update: Update) -> bool:
        return self.cache.apply(update, ASKED_AT)

    def test_a_new_state(self) -> None:
        self.assertTrue(self.apply(state_version=(2, 7), **state_fields(3)))
        self.assertEqual((self.cache.routing_table.revision, self.cache.fingerprint), (3, 3))
        self.assertEqual(self.cache.state_version, (2, 7))
        self.assertIsNotNone(self.cache.routing_table.find_route(b"h", b"/x"))

    def test_an_unreadable_state_leaves_the_previous_one(self) -> None:
        self.apply(state_version=(2, 7), **state_fields(3))
        unreadable = state_fields(4) | {"config": b"not compressed"}
        for fields in (unreadable, state_fields(4, b"[]"), state_fields(4, b'{"routes": [{}]}')):
            self.assertFalse(self.apply(state_version=(2, 8), **fields))
            self.assertEqual((self.cache.routing_table.revision, self.cache.fingerprint), (3, 3))
            self.assertEqual(self.cache.state_version, (2, 7))

    def test_complete_and_incremental_prefix_holdings(self) -> None:
        stored = pack_block_hashes([1, 2])
        self.apply(prefix_holdings_version=(1, 1), prefix_holdings_complete=True, stored_block_hashes=stored)
        self.assertEqual(self.cache.stored_block_hashes, {1, 2})
        stored, removed = pack_block_hashes([3]), pack_block_hashes([1, 9])
        self.apply(prefix_holdings_version=(1, 2), stored_block_hashes=stored, removed_block_hashes=removed)
        self.assertEqual((self.cache.stored_block_hashes, self.cache.prefix_holdings_version), ({2, 3}, (1, 2)))
        stored = pack_block_hashes([5])
        self.apply(prefix_holdings_version=(2, 1), prefix_holdings_complete=True, stored_block_hashes=stored)
        self.assertEqual(self.cache.stored_block_hashes, {5})

    def test_servers_that_get_no_more_requests_are_reported(self) -> None:
        listed = (record("a"), record("b"), record("c"))
        self.apply(has_server_records=True, registry_version=(1, 1), server_records=listed)
        self.assertEqual(({*self.cache.endpoints.by_id}, self.unavailable), ({"a", "b", "c"}, []))
        listed = (record("a"), record("b", SERVER_DRAINING))
        self.apply(has_server_records=True, registry_version=(1, 2), server_records=listed)
        self.assertEqual([endpoint.id for endpoint in self.unavailable], ["c", "b"])

    def test_an_older_list_of_servers_is_ignored(self) -> None:
        self.apply(has_server_records=True, registry_version=(2, 1), server_records=(record("a"),))
        self.apply(has_server_records=True, registry_version=(1, 9), server_records=())
        self.assertEqual(({*self.cache.endpoints.by_id}, self.cache.registry_version), ({"a"}, (2, 1)))

    def test_members_and_replicas(self) -> None:
        self.apply(has_peers=True, peers_version=(1, 1), peer_machines=(7, 8), member_count=2, core_machines=(1, 2))
        self.apply(member_count=0)  # a new primary does not know the number yet
        self.assertEqual((self.peers, self.cache.member_count), ([(7, 8)], 2))
        self.assertEqual((self.cache.core_machines, self.cache.peer_machines), ((1, 2), (7, 8)))


class Waiting(unittest.TestCase):
    def cache(self) -> ControlCache:
        return ControlCache(RuleBounds(), random.Random(1), lambda endpoint: None, lambda peers: None)

    def test_a_confirming_update_ends_the_wait(self) -> None:
        async def main() -> float:
            cache = self.cache()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cache.wait_until_fresh, 60.0)
                await trio.sleep(0.1)
                cache.apply(update_of(**state_fields(1)), trio.current_time())
                cache.confirm(trio.current_time())
                confirmed_at = trio.current_time()
            return trio.current_time() - confirmed_at

        self.assertLess(trio.run(main, clock=MockClock(autojump_threshold=0)), 0.01)

    def test_maximum_waits(self) -> None:
        async def main(revision: int, timeout: float) -> float:
            cache = self.cache()
            if revision:
                cache.apply(update_of(**state_fields(revision)), trio.current_time())
            started_at = trio.current_time()
            await cache.wait_until_fresh(timeout)
            return trio.current_time() - started_at

        for revision, timeout, max_wait in (
            (0, 60.0, STARTUP_WAIT_SECONDS),
            (0, 4.0, STARTUP_WAIT_FRACTION * 4.0),
            (0, 0.1, FRESHNESS_WAIT_SECONDS),
            (1, 60.0, FRESHNESS_WAIT_SECONDS),
        ):
            waited = trio.run(main, revision, timeout, clock=MockClock(autojump_threshold=0))
            self.assertAlmostEqual(waited, max_wait, places=3)


if __name__ == "__main__":
    unittest.main()
