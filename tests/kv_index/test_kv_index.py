"""The index of prefix blocks: reports of holders, updates for routers, and the choice of a store.

A wrong entry in the index costs only superfluous headers.
"""

import random
import unittest

from rowanshift.kv_index.block_hashes import (
    block_hash,
    pack_block_hashes,
    presence_hash,
    store_for_prefix,
    unpack_block_hashes,
)
from rowanshift.kv_index.block_holder import MAX_HELD_BLOCKS, BlockHolder
from rowanshift.kv_index.errors import MalformedHoldings
from rowanshift.kv_index.prefix_holdings import MAX_CHANGES, HoldingsUpdate, PrefixHoldings

ADDRESS = "10.0.0.1:9000"


def list_answer(held, boot=1, next_event=5):
    return {"bootEpoch": boot, "nextToken": next_event, "held": held}


def events_answer(events, boot=1, next_event=9, lost=False):
    return {"bootEpoch": boot, "nextToken": next_event, "lost": lost, "events": events}


def hash_of(block_id, salt="v1.", model="m"):
    return block_hash(ADDRESS, model, salt, block_id)


class Holders(unittest.TestCase):
    def setUp(self):
        self.holder = BlockHolder(ADDRESS)
        self.holder.apply_list(list_answer([["v1.", "a", 64, "m"], ["v1.", "b", 32, "m"]]))

    def test_no_hashes_before_the_list(self):
        self.assertEqual(BlockHolder(ADDRESS).hashes(), set())

    def test_a_list(self):
        self.assertEqual(self.holder.hashes(), {hash_of("a"), hash_of("b"), presence_hash(ADDRESS)})
        self.assertEqual((self.holder.boot_epoch, self.holder.next_event), (1, 5))
        self.assertEqual(self.holder.blocks[hash_of("a")], 64)

    def test_a_holder_without_blocks_is_present(self):
        holder = BlockHolder(ADDRESS)
        holder.apply_list(list_answer([], boot=0))
        self.assertEqual(holder.hashes(), {presence_hash(ADDRESS)})

    def test_a_second_list_replaces_the_first(self):
        self.holder.apply_list(list_answer([["v2.", "a", 1, "m"]]))
        self.assertEqual(self.holder.hashes(), {hash_of("a", "v2."), presence_hash(ADDRESS)})

    def test_events_are_applied(self):
        events = [[6, "+", "v1.", "c", 10, "m"], [7, "-", "v1.", "a", 0, "m"], [8, "-", "v1.", "none", 0, "m"]]
        self.assertTrue(self.holder.apply_events(events_answer(events)))
        self.assertEqual(self.holder.hashes(), {hash_of("b"), hash_of("c"), presence_hash(ADDRESS)})
        self.assertEqual(self.holder.next_event, 9)

    def test_events_are_applied_in_order(self):
        events = [
            [6, "-", "v1.", "a", 0, "m"],
            [7, "+", "v1.", "a", 8, "m"],
            [8, "+", "v1.", "c", 8, "m"],
            [9, "-", "v1.", "c", 0, "m"],
        ]
        self.assertTrue(self.holder.apply_events(events_answer(events)))
        self.assertEqual(self.holder.hashes(), {hash_of("a"), hash_of("b"), presence_hash(ADDRESS)})

    def test_lost_events_and_restarts_reset_the_holder(self):
        for gap in (
            events_answer([], lost=True),
            events_answer([], boot=2),
            events_answer([[6, "+", "v1.", "c", 1, "m"]], boot=0),
        ):
            self.setUp()
            self.assertFalse(self.holder.apply_events(gap))
            self.assertEqual((self.holder.hashes(), self.holder.boot_epoch, self.holder.next_event), (set(), -1, 0))
            self.holder.apply_list(list_answer([["v1.", "c", 1, "m"]], boot=2))
            self.assertEqual(self.holder.hashes(), {hash_of("c"), presence_hash(ADDRESS)})

    def test_block_hashes_depend_on_every_field(self):
        self.assertEqual(
            len(
                {
                    block_hash(*fields)
                    for fields in (
                        (ADDRESS, "m", "v1.", "a"),
                        ("b:1", "m", "v1.", "a"),
                        (ADDRESS, "n", "v1.", "a"),
                        (ADDRESS, "m", "v2.", "a"),
                        (ADDRESS, "m", "v1.x", "a"),
                        (ADDRESS, "m", "v1.", "b"),
                    )
                }
            ),
            6,
        )

    def test_malformed_answers_are_rejected_and_change_nothing(self):
        malformed = [
            None,
            1,
            "x",
            [],
            {},
            {"bootEpoch": 1},
            list_answer(None),
            list_answer([1]),
            list_answer([[]]),
            list_answer("ab"),
            list_answer([["v", "a", "x", "m"]]),
            list_answer([["v", "a", 1]]),
            list_answer([], boot="x"),
            list_answer([], next_event=None),
            list_answer([["v", "a", None, "m"]]),
            list_answer([["v", "a", [], "m"]]),
        ]
        events = [
            events_answer(None),
            events_answer([1]),
            events_answer([[]]),
            events_answer([[1, "+", "v", "a", "x", "m"]]),
            events_answer([["+"]]),
            events_answer([], boot=None),
            events_answer([], next_event={}),
            {"bootEpoch": 1, "nextToken": 1, "events": []},
        ]
        before = self.holder.hashes()
        for apply, answers in ((self.holder.apply_list, malformed), (self.holder.apply_events, malformed + events)):
            for answer in answers:
                with self.assertRaises(MalformedHoldings, msg=repr(answer)):
                    apply(answer)
                self.assertEqual((self.holder.hashes(), self.holder.boot_epoch, self.holder.next_event), (before, 1, 5))

    def test_random_answers_are_applied_or_rejected_without_a_change(self):
        random_source = random.Random(1)

        def value(depth=3):
            kind = random_source.randrange(9 if depth else 6)
            if kind == 6:
                return [value(depth - 1) for _ in range(random_source.randrange(5))]
            if kind >= 7:
                names = random_source.sample(("bootEpoch", "nextToken", "lost", "held", "events", "x"), 5)
                return {name: value(depth - 1) for name in names}
            return random_source.choice((None, True, -1, 2**70, 0.5, "", "+", "12", "\ud800"))

        for _ in range(3000):
            holder = BlockHolder(ADDRESS)
            for apply in (holder.apply_list, holder.apply_events):
                before = holder.hashes()
                try:
                    apply(value())
                except MalformedHoldings:
                    self.assertEqual(holder.hashes(), before)

    def test_the_number_of_blocks_is_limited(self):
        self.holder.apply_list(list_answer([["v", str(n), 1, "m"] for n in range(MAX_HELD_BLOCKS + 10)]))
        self.assertEqual(len(self.holder.blocks), MAX_HELD_BLOCKS)
        self.assertNotIn(hash_of("9", "v"), self.holder.blocks)
        events = [[1, "+", "v", "10", 1, "m"], [2, "+", "v", "new", 1, "m"]]
        self.assertTrue(self.holder.apply_events(events_answer(events)))
        self.assertEqual(len(self.holder.blocks), MAX_HELD_BLOCKS)
        self.assertIn(hash_of("10", "v"), self.holder.blocks)  # reported again
        self.assertNotIn(hash_of("11", "v"), self.holder.blocks)


class Holdings(unittest.TestCase):
    def apply_update(self, holdings, had, serial):
        """The holdings of a router after an update, given those that it had at ``serial``."""
        update = holdings.since(serial)
        stored, removed = set(update.stored), set(update.removed)
        self.assertFalse(stored & removed)
        return stored if update.is_complete else (had | stored) - removed

    def test_equal_holdings_are_no_change(self):
        holdings = PrefixHoldings()
        self.assertTrue(holdings.update({1, 2}))
        serial = holdings.serial
        self.assertFalse(holdings.update({2, 1}))
        self.assertEqual(holdings.serial, serial)
        self.assertEqual(holdings.since(serial), HoldingsUpdate(False, [], []))

    def test_without_a_known_serial_the_update_is_complete(self):
        holdings = PrefixHoldings()
        self.assertEqual(holdings.since(0), HoldingsUpdate(True, [], []))
        holdings.update({3, 1})
        for serial in (0, holdings.serial + 1, 2**60):
            self.assertEqual(holdings.since(serial), HoldingsUpdate(True, [1, 3], []))

    def test_updates_from_every_serial_lead_to_the_current_holdings(self):
        for seed, max_changes in ((1, 3), (2, 40), (3, 400)):
            random_source, holdings = random.Random(seed), PrefixHoldings()
            holdings_by_serial = {holdings.serial: set()}
            for _ in range(120):
                held = set(holdings.block_hashes)
                for _ in range(random_source.randrange(max_changes) + 1):
                    held ^= {random_source.randrange(1000)}
                holdings.update(held)
                holdings_by_serial[holdings.serial] = held
            complete_updates = 0
            for serial, had in holdings_by_serial.items():
                self.assertEqual(self.apply_update(holdings, had, serial), holdings.block_hashes)
                complete_updates += holdings.since(serial).is_complete
            self.assertLessEqual(len(holdings.changes), MAX_CHANGES)
            self.assertEqual(complete_updates > 0, max_changes == 400)  # serials before the history

    def test_a_change_larger_than_the_history(self):
        for size in (MAX_CHANGES - 1, MAX_CHANGES, MAX_CHANGES + 1, 3 * MAX_CHANGES):
            holdings, before = PrefixHoldings(), set(range(5))
            holdings.update(before)
            serial = holdings.serial
            holdings.update(set(range(100, 100 + size)))
            self.assertEqual(self.apply_update(holdings, before, serial), holdings.block_hashes)
            self.assertEqual(self.apply_update(holdings, set(), serial - 1), holdings.block_hashes)

    def test_an_update_contains_only_net_changes(self):
        holdings = PrefixHoldings()
        holdings.update({1})
        serial = holdings.serial
        holdings.update({1, 2})
        holdings.update({2})
        holdings.update({1})
        update = holdings.since(serial)
        self.assertEqual((update.is_complete, sorted(update.stored), sorted(update.removed)), (False, [1], [2]))

    def test_hashes_are_packed_and_unpacked(self):
        hashes = [0, 1, 2**64 - 1, presence_hash(ADDRESS)]
        self.assertEqual(unpack_block_hashes(pack_block_hashes(hashes)), tuple(hashes))
        self.assertEqual(unpack_block_hashes(pack_block_hashes([])), ())
        self.assertEqual(unpack_block_hashes(pack_block_hashes(hashes)[:-3]), tuple(hashes[:-1]))


class Stores(unittest.TestCase):
    def test_the_loss_of_a_store_moves_only_its_own_prefixes(self):
        stores = [f"10.0.1.{n}:9000" for n in range(5)]
        before = {f"p{n}": store_for_prefix(stores, f"p{n}") for n in range(2000)}
        for lost in stores:
            remaining = [store for store in stores if store != lost]
            share = sum(store == lost for store in before.values())
            self.assertTrue(250 < share < 550, share)
            for prefix, store in before.items():
                moved = store_for_prefix(reversed(remaining), prefix)
                self.assertTrue(moved == store if store != lost else moved in remaining)

    def test_without_stores_there_is_none(self):
        self.assertIsNone(store_for_prefix([], "p"))


if __name__ == "__main__":
    unittest.main()
