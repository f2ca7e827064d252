"""The transfers of prefix blocks that a request names; a wrong index changes only those headers."""

import random
import unittest
from types import SimpleNamespace

from rowanshift.dataplane.cache_pools import SHARED_POOL_OF_ALL, tenant_pool
from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.kv_transfers import KvTransferPlanner
from rowanshift.dataplane.requests import ServerFields, parse_request, serialize_request
from rowanshift.dataplane.routing_table import RoutingTable, Service
from rowanshift.kv_index.block_hashes import block_hash, presence_hash
from rowanshift.transport.http_connection import Message


class Transfers(unittest.TestCase):
    """Whatever the index contains, encoded requests differ only in their transfer headers."""

    STORES = ("10.0.1.1:9000", "10.0.1.2:9000")

    def planner(self, stored):
        services = {at: Service(at, b"", 8, at, 64) for at in self.STORES}
        state = SimpleNamespace(
            routing_table=RoutingTable(1, services=services), stored_block_hashes=stored, endpoints=None
        )
        return KvTransferPlanner(state)

    def request(self, prefix):
        return parse_request(
            Message(
                b"POST",
                b"/v1",
                fields=[(b"request-id", b"r"), (b"host", b"h"), (b"model-name", b"m"), (b"prompt-prefix", prefix)],
                body=b"{}",
            ),
            0.0,
        )

    def encode(self, stored, prefix, source, tenant=None):
        request = self.request(prefix)
        fetch, save = self.planner(stored).plan(request, SHARED_POOL_OF_ALL, 3, source, 1.0)
        data = serialize_request(request, tenant, ServerFields("i-1", 2.0, 3, None, fetch, save, 5))
        lines = data.split(b"\r\n")
        transfers = [line for line in lines if line.startswith((b"Kv-Fetch: ", b"Kv-Save: "))]
        return [line for line in lines if line not in transfers], transfers

    def test_any_index_changes_only_the_transfer_headers(self):
        random_source = random.Random(1)
        home = Endpoint("i-0", "s", "10.0.2.1:80", "z", 1, {"m": 3})
        known_hashes = [presence_hash(at) for at in self.STORES] + [
            block_hash(at, "m", salt, id)
            for at in self.STORES
            for salt in ("v3.", "v2.", "v3.t")
            for id in ("a", "b", "c")
        ]
        allowed = {b"Kv-Fetch: " + at.encode() for at in (*self.STORES, home.address)} | {
            b"Kv-Save: " + at.encode() for at in self.STORES
        }
        for prefix in (b"a:100,b:64,c:7", b"a:1,b:2", b"a:9", b""):
            plain, _ = self.encode(set(), prefix, None)
            seen = set()
            for _ in range(300):
                stored = set(random_source.sample(known_hashes, random_source.randrange(len(known_hashes) + 1)))
                stored |= {random_source.getrandbits(64) for _ in range(3)}
                lines, transfers = self.encode(stored, prefix, random_source.choice((None, home)))
                self.assertEqual(lines, plain)
                self.assertLessEqual(set(transfers), allowed)
                self.assertLessEqual(len(transfers), 2)
                seen.update(transfers)
            if prefix in (b"a:9", b""):
                self.assertEqual(seen, set())  # no blocks are shared

    def test_an_unavailable_store_is_not_used(self):
        hashes = {block_hash(at, "m", "v3.", "a") for at in self.STORES}
        self.assertEqual(self.encode(hashes, b"a:100,b:1", None)[1], [])

    def test_saved_blocks_are_not_saved_again_at_once(self):
        planner, request = self.planner({presence_hash(self.STORES[0])}), self.request(b"a:100,b:1")
        address = self.STORES[0].encode()
        save = [planner.plan(request, SHARED_POOL_OF_ALL, 3, None, at)[1] for at in (1.0, 2.0, 20.0)]
        self.assertEqual(save, [address, None, address])
        self.assertEqual(planner.plan(request, tenant_pool(b"t"), 3, None, 20.0)[1], address)
        self.assertEqual(planner.plan(request, None, 0, None, 40.0), (None, None))

    def test_some_blocks_are_fetched_from_the_store_that_holds_them(self):
        address, home = self.STORES[0].encode(), Endpoint("i-0", "s", "10.0.2.1:80", "z", 1, {"m": 3})
        stored = {presence_hash(self.STORES[0]), block_hash(self.STORES[0], "m", "v3.", "a")}
        planner = self.planner(stored)
        self.assertEqual(planner.plan(self.request(b"a:100,b:1"), SHARED_POOL_OF_ALL, 3, None, 1.0), (address, None))
        self.assertEqual(planner.plan(self.request(b"a:100,b:1"), SHARED_POOL_OF_ALL, 3, home, 1.0), (address, None))
        fetch, save = planner.plan(self.request(b"a:100,c:50,b:1"), SHARED_POOL_OF_ALL, 3, home, 1.0)
        self.assertEqual((fetch, save), (home.address.encode(), address))


if __name__ == "__main__":
    unittest.main()
