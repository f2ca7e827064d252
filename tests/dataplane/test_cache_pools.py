"""Prefix blocks over changes of the configuration: no request uses blocks of a tenant that a wall parts it from.

Guards against a wall that has no effect on what servers and stores kept before it came up.
"""

import unittest
from dataclasses import dataclass, field
from itertools import pairwise

import orjson
from hypothesis import given
from hypothesis import strategies as st

from rowanshift.dataplane.cache_pools import cache_salt, shared_pool, tenant_pool
from rowanshift.dataplane.routing_table import RoutingTable, Tenant, parse_routing_table
from rowanshift.invariants.facts import CacheHit
from rowanshift.kv_index.block_hashes import block_hash
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_settings import APPLY_SECONDS, KEYS

CLINIC, SHOP, BANK = "clinic", "shop", "bank"
Walls = dict[str, bool]  # the tenants of a configuration, and whether each is isolated


def table_of(walls: Walls) -> RoutingTable:
    tenants = [{"name": name, "apiKeys": [f"key-{name}"], "isolated": isolated} for name, isolated in walls.items()]
    document = {"routes": [], "backends": [], "tenants": tenants}
    return parse_routing_table(1, orjson.dumps(document), {})


@dataclass
class Keeper:
    """A server or a store: it finds a block under the text of the salt alone, and never drops one."""

    makers: dict[bytes, set[str]] = field(default_factory=dict)  # of the block, by salt

    def run(self, table: RoutingTable, name: str, tenant: Tenant | None = None) -> set[str]:
        """Run a request of a tenant; returns whose blocks it uses."""
        tenant = tenant or (table.tenants or {})[f"key-{name}".encode()]
        makers = self.makers.setdefault(cache_salt(table.cache_pool(tenant), 1), set())
        used = set(makers)
        if not makers:
            makers.add(name)
        return used

    def run_all(self, walls: Walls) -> dict[str, set[str]]:
        """Run a request of each tenant; returns whose blocks each used."""
        return {name: self.run(table_of(walls), name) for name in walls}


def across(walls: Walls, name: str, used: set[str]) -> set[str]:
    """The tenants whose blocks were used though a wall of this configuration parts them from the user."""
    isolated = {tenant for tenant, is_isolated in walls.items() if is_isolated}
    return {maker for maker in used if maker != name and {maker, name} & isolated}


class OrdersOfEvents(unittest.TestCase):
    """Each tenant sends the same blocks under each configuration in turn."""

    def assert_walls_hold(self, *configurations: Walls, keeper: Keeper | None = None) -> Keeper:
        keeper = keeper or Keeper()
        for number, walls in enumerate(configurations):
            for name, used in keeper.run_all(walls).items():
                self.assertEqual(across(walls, name, used), set(), (number, name))
        return keeper

    def test_a_wall_that_comes_up(self) -> None:
        self.assert_walls_hold({CLINIC: False, SHOP: False}, {CLINIC: True, SHOP: False})

    def test_on_off_and_on_again(self) -> None:
        on, off = {CLINIC: True, SHOP: False}, {CLINIC: False, SHOP: False}
        self.assert_walls_hold(on, off, on, off, on)
        self.assert_walls_hold(off, on, off, on, off)

    def test_two_tenants_one_after_the_other(self) -> None:
        self.assert_walls_hold(
            {CLINIC: False, BANK: False, SHOP: False},
            {CLINIC: True, BANK: False, SHOP: False},
            {CLINIC: True, BANK: True, SHOP: False},
            {CLINIC: False, BANK: True, SHOP: False},
            {CLINIC: True, BANK: False, SHOP: False},
        )

    def test_a_tenant_taken_out_and_back(self) -> None:
        for before in (False, True):
            for after in (False, True):
                self.assert_walls_hold({CLINIC: before, SHOP: False}, {SHOP: False}, {CLINIC: after, SHOP: False})

    def test_a_key_given_to_another_tenant(self) -> None:
        """The pool is the tenant's, whichever key its request bears."""
        table = table_of({CLINIC: True, SHOP: True})
        tenants = table.tenants or {}
        moved = Tenant(SHOP.encode(), None, True)
        self.assertEqual(table.cache_pool(moved), table.cache_pool(tenants[b"key-shop"]))
        self.assertNotEqual(table.cache_pool(moved), table.cache_pool(tenants[b"key-clinic"]))

    def test_a_router_that_was_cut_off_fills_no_pool_of_the_new_configuration(self) -> None:
        old, new = {CLINIC: False, SHOP: False}, {CLINIC: True, SHOP: False}
        keeper = Keeper()
        keeper.run(table_of(old), CLINIC)
        self.assertEqual(keeper.run(table_of(new), SHOP), set())
        keeper.run(table_of(old), CLINIC)  # by the router that has not heard of the change
        self.assert_walls_hold(new, new, keeper=keeper)

    def test_a_request_that_was_admitted_before_the_change(self) -> None:
        """It is sent to a second server, to resume its stream, after the change."""
        for admitted_isolated in (False, True):
            for isolated in (False, True):
                admitted = Tenant(CLINIC.encode(), None, admitted_isolated)
                walls = {CLINIC: isolated, SHOP: False}
                keeper = Keeper()
                keeper.run(table_of({CLINIC: False, SHOP: False}), SHOP)
                keeper.run(table_of(walls), SHOP)
                self.assertEqual(across(walls, CLINIC, keeper.run(table_of(walls), CLINIC, admitted)), set())

    def test_a_router_of_the_program_before_beside_one_of_this(self) -> None:
        """It keeps its blocks under the salt of old; no wall stands while that is in use here."""

        def salt_of_old(walls: Walls, name: str) -> bytes:
            return b"v1." + (name.encode() if walls[name] else b"")

        keeper, off, on = Keeper(), {CLINIC: False, SHOP: False}, {CLINIC: True, SHOP: False}
        for walls in (off, on, off, on):
            for name in walls:
                keeper.makers.setdefault(salt_of_old(walls, name), set()).add(name)
            self.assert_walls_hold(walls, keeper=keeper)
        self.assertEqual(
            cache_salt(table_of(off).cache_pool(None), 1), b"v1."
        )  # blocks outlive the new program's start

    def test_a_change_of_something_else_throws_nothing_away(self) -> None:
        walls = {CLINIC: True, SHOP: False, BANK: False}
        pools = [table_of(each).shared_pool for each in (walls, walls | {"new": False}, {CLINIC: True, SHOP: False})]
        self.assertEqual(len(set(pools)), 1)

    def test_a_wall_throws_away_nothing_of_isolated_tenants(self) -> None:
        before, after = {CLINIC: True, SHOP: False, BANK: False}, {CLINIC: True, SHOP: False, BANK: True}
        keeper = Keeper()
        keeper.run_all(before)
        self.assertEqual(keeper.run(table_of(after), CLINIC), {CLINIC})


class RandomOrders(unittest.TestCase):
    """Configurations in any order, and routers that go by any earlier one."""

    @given(
        st.lists(st.dictionaries(st.sampled_from((CLINIC, SHOP, BANK)), st.booleans(), min_size=1), min_size=1),
        st.data(),
    )
    def test_no_wall_is_crossed_by_a_router_that_knows_of_it(self, configurations: list[Walls], data) -> None:
        keeper = Keeper()
        for number, walls in enumerate(configurations):
            late = configurations[data.draw(st.integers(0, number))]
            keeper.run_all(late)
            for name, used in keeper.run_all(walls).items():
                self.assertEqual(across(walls, name, used), set())


class Names(unittest.TestCase):
    """Names with separators: different tenants, sets of tenants and blocks have different texts."""

    NAMES = (b"", b"%", b"+", b"a", b"a,b", b"b", b"a|b", b"a%7Cb", b"a%2Cb", b"+ab", b"1.a", b"\xc3\xa9", b"a\r\nX: b")

    def test_pools(self) -> None:
        pools = [tenant_pool(name) for name in self.NAMES]
        pools += [shared_pool([]), *(shared_pool([name]) for name in self.NAMES)]
        pools += [shared_pool(pair) for pair in pairwise(self.NAMES)]
        self.assertEqual(len(set(pools)), len(pools))
        for pool in pools:
            self.assertRegex(pool, rb"\A[!-~]*\Z")  # fit for a header

    def test_the_pool_does_not_depend_on_the_order_of_the_tenants(self) -> None:
        self.assertEqual(shared_pool([b"a", b"b"]), shared_pool([b"b", b"a", b"b"]))

    def test_block_hashes(self) -> None:
        texts = ("", "|", "%", "a", "a|b", "b", "%7C", "a%7Cb")
        hashes = {block_hash("h:1", model, salt, id) for model in texts for salt in texts for id in texts}
        self.assertEqual(len(hashes), len(texts) ** 3)


class BlocksOverAChange(unittest.TestCase):
    """In the virtual network: what is used of servers' kept blocks before and after a wall comes up."""

    def test_no_block_of_the_time_before_is_used_and_sharing_begins_anew(self) -> None:
        async def main(fleet: Fleet) -> tuple[list, list, list]:
            tenants = [{"name": name, "apiKeys": list(keys), "isolated": False} for name, keys in KEYS.items()]
            await fleet.start(config_of(1, tenants=tenants))
            fleet.start_clients(9)
            await fleet.until(lambda: fleet.now() > 6.0)
            walled = [tenant | {"isolated": tenant["name"] == "t2"} for tenant in tenants]
            began = fleet.now()
            self.assertEqual(await fleet.put(config_of(2, tenants=walled)), 200)
            in_force = fleet.now() + APPLY_SECONDS
            await fleet.until(lambda: fleet.now() > in_force + 6.0)
            return began, in_force, fleet.of(CacheHit)

        (began, in_force, hits), _ = play(main, routers=2)
        before = [hit for hit in hits if hit.at < began]
        after = [hit for hit in hits if hit.at > in_force]
        self.assertTrue(any(hit.made_tenant != hit.tenant for hit in before))
        self.assertEqual(
            [hit for hit in after if hit.made_tenant != hit.tenant and "t2" in (hit.made_tenant, hit.tenant)], []
        )
        self.assertTrue(any(hit.made_tenant != hit.tenant for hit in after))  # the others share
        self.assertGreater(len(after), 0.8 * len(before))


if __name__ == "__main__":
    unittest.main()
