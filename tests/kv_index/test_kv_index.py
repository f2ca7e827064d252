"""The index of prefix blocks: what holders report, and what routers get; a lie of it costs only headers."""

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

AT = "10.0.0.1:9000"


def listed(held, boot=1, following=5):
    return {"bootEpoch": boot, "nextToken": following, "held": held}


def told(events, boot=1, following=9, lost=False):
    return {"bootEpoch": boot, "nextToken": following, "lost": lost, "events": events}


def hash_of(id, salt="v1.", model="m"):
    return block_hash(AT, model, salt, id)


class Holders(unittest.TestCase):
    def setUp(self):
        self.holder = BlockHolder(AT)
        self.holder.apply_list(listed([["v1.", "a", 64, "m"], ["v1.", "b", 32, "m"]]))

    def test_nothing_before_the_list(self):
        self.assertEqual(BlockHolder(AT).hashes(), set())

    def test_the_list(self):
        self.assertEqual(self.holder.hashes(), {hash_of("a"), hash_of("b"), presence_hash(AT)})
        self.assertEqual((self.holder.boot_epoch, self.holder.next_event), (1, 5))
        self.assertEqual(self.holder.blocks[hash_of("a")], 64)

    def test_a_holder_of_nothing_is_there(self):
        holder = BlockHolder(AT)
        holder.apply_list(listed([], boot=0))
        self.assertEqual(holder.hashes(), {presence_hash(AT)})

    def test_another_list_takes_the_place_of_the_first(self):
        self.holder.apply_list(listed([["v2.", "a", 1, "m"]]))
        self.assertEqual(self.holder.hashes(), {hash_of("a", "v2."), presence_hash(AT)})

    def test_events(self):
        events = [[6, "+", "v1.", "c", 10, "m"], [7, "-", "v1.", "a", 0, "m"], [8, "-", "v1.", "none", 0, "m"]]
        self.assertTrue(self.holder.apply_events(told(events)))
        self.assertEqual(self.holder.hashes(), {hash_of("b"), hash_of("c"), presence_hash(AT)})
        self.assertEqual(self.holder.next_event, 9)

    def test_events_in_their_order(self):
        events = [
            [6, "-", "v1.", "a", 0, "m"],
            [7, "+", "v1.", "a", 8, "m"],
            [8, "+", "v1.", "c", 8, "m"],
            [9, "-", "v1.", "c", 0, "m"],
        ]
        self.assertTrue(self.holder.apply_events(told(events)))
        self.assertEqual(self.holder.hashes(), {hash_of("a"), hash_of("b"), presence_hash(AT)})

    def test_gaps(self):
        for gap in (told([], lost=True), told([], boot=2), told([[6, "+", "v1.", "c", 1, "m"]], boot=0)):
            self.setUp()
            self.assertFalse(self.holder.apply_events(gap))
            self.assertEqual((self.holder.hashes(), self.holder.boot_epoch, self.holder.next_event), (set(), -1, 0))
            self.holder.apply_list(listed([["v1.", "c", 1, "m"]], boot=2))
            self.assertEqual(self.holder.hashes(), {hash_of("c"), presence_hash(AT)})

    def test_hashes_tell_all_apart(self):
        self.assertEqual(
            len(
                {
                    block_hash(*fields)
                    for fields in (
                        (AT, "m", "v1.", "a"),
                        ("b:1", "m", "v1.", "a"),
                        (AT, "n", "v1.", "a"),
                        (AT, "m", "v2.", "a"),
                        (AT, "m", "v1.x", "a"),
                        (AT, "m", "v1.", "b"),
                    )
                }
            ),
            6,
        )

    def test_junk_is_refused_and_changes_nothing(self):
        junk = [
            None,
            1,
            "x",
            [],
            {},
            {"bootEpoch": 1},
            listed(None),
            listed([1]),
            listed([[]]),
            listed("ab"),
            listed([["v", "a", "x", "m"]]),
            listed([["v", "a", 1]]),
            listed([], boot="x"),
            listed([], following=None),
            listed([["v", "a", None, "m"]]),
            listed([["v", "a", [], "m"]]),
        ]
        events = [
            told(None),
            told([1]),
            told([[]]),
            told([[1, "+", "v", "a", "x", "m"]]),
            told([["+"]]),
            told([], boot=None),
            told([], following={}),
            {"bootEpoch": 1, "nextToken": 1, "events": []},
        ]
        before = self.holder.hashes()
        for apply, answers in ((self.holder.apply_list, junk), (self.holder.apply_events, junk + events)):
            for answer in answers:
                with self.assertRaises(MalformedHoldings, msg=repr(answer)):
                    apply(answer)
                self.assertEqual((self.holder.hashes(), self.holder.boot_epoch, self.holder.next_event), (before, 1, 5))

    def test_drawn_junk(self):
        random_source = random.Random(1)

        def value(deep=3):
            kind = random_source.randrange(9 if deep else 6)
            if kind == 6:
                return [value(deep - 1) for _ in range(random_source.randrange(5))]
            if kind >= 7:
                names = random_source.sample(("bootEpoch", "nextToken", "lost", "held", "events", "x"), 5)
                return {name: value(deep - 1) for name in names}
            return random_source.choice((None, True, -1, 2**70, 0.5, "", "+", "12", "\ud800"))

        for _ in range(3000):
            holder = BlockHolder(AT)
            for apply in (holder.apply_list, holder.apply_events):
                before = holder.hashes()
                try:
                    apply(value())
                except MalformedHoldings:
                    self.assertEqual(holder.hashes(), before)

    def test_blocks_are_bounded(self):
        self.holder.apply_list(listed([["v", str(n), 1, "m"] for n in range(MAX_HELD_BLOCKS + 10)]))
        self.assertEqual(len(self.holder.blocks), MAX_HELD_BLOCKS)
        self.assertNotIn(hash_of("9", "v"), self.holder.blocks)
        events = [[1, "+", "v", "10", 1, "m"], [2, "+", "v", "new", 1, "m"]]
        self.assertTrue(self.holder.apply_events(told(events)))
        self.assertEqual(len(self.holder.blocks), MAX_HELD_BLOCKS)
        self.assertIn(hash_of("10", "v"), self.holder.blocks)  # told of again
        self.assertNotIn(hash_of("11", "v"), self.holder.blocks)


class Holdings(unittest.TestCase):
    def through(self, holdings, had, serial):
        """What one has after an answer, who had that."""
        update = holdings.since(serial)
        stored, removed = set(update.stored), set(update.removed)
        self.assertFalse(stored & removed)
        return stored if update.is_complete else (had | stored) - removed

    def test_nothing_changed(self):
        holdings = PrefixHoldings()
        self.assertTrue(holdings.update({1, 2}))
        serial = holdings.serial
        self.assertFalse(holdings.update({2, 1}))
        self.assertEqual(holdings.serial, serial)
        self.assertEqual(holdings.since(serial), HoldingsUpdate(False, [], []))

    def test_one_who_has_none_or_an_unknown_one_gets_all(self):
        holdings = PrefixHoldings()
        self.assertEqual(holdings.since(0), HoldingsUpdate(True, [], []))
        holdings.update({3, 1})
        for serial in (0, holdings.serial + 1, 2**60):
            self.assertEqual(holdings.since(serial), HoldingsUpdate(True, [1, 3], []))

    def test_every_serial(self):
        for seed, many in ((1, 3), (2, 40), (3, 400)):
            random_source, holdings = random.Random(seed), PrefixHoldings()
            past = {holdings.serial: set()}
            for _ in range(120):
                held = set(holdings.block_hashes)
                for _ in range(random_source.randrange(many) + 1):
                    held ^= {random_source.randrange(1000)}
                holdings.update(held)
                past[holdings.serial] = held
            wholes = 0
            for serial, had in past.items():
                self.assertEqual(self.through(holdings, had, serial), holdings.block_hashes)
                wholes += holdings.since(serial).is_complete
            self.assertLessEqual(len(holdings.changes), MAX_CHANGES)
            self.assertEqual(wholes > 0, many == 400)  # older than what is kept

    def test_one_change_larger_than_what_is_kept(self):
        for size in (MAX_CHANGES - 1, MAX_CHANGES, MAX_CHANGES + 1, 3 * MAX_CHANGES):
            holdings, before = PrefixHoldings(), set(range(5))
            holdings.update(before)
            serial = holdings.serial
            holdings.update(set(range(100, 100 + size)))
            self.assertEqual(self.through(holdings, before, serial), holdings.block_hashes)
            self.assertEqual(self.through(holdings, set(), serial - 1), holdings.block_hashes)

    def test_the_net_of_what_came_and_went(self):
        holdings = PrefixHoldings()
        holdings.update({1})
        serial = holdings.serial
        holdings.update({1, 2})
        holdings.update({2})
        holdings.update({1})
        update = holdings.since(serial)
        self.assertEqual((update.is_complete, sorted(update.stored), sorted(update.removed)), (False, [1], [2]))

    def test_hashes_there_and_back(self):
        hashes = [0, 1, 2**64 - 1, presence_hash(AT)]
        self.assertEqual(unpack_block_hashes(pack_block_hashes(hashes)), tuple(hashes))
        self.assertEqual(unpack_block_hashes(pack_block_hashes([])), ())
        self.assertEqual(unpack_block_hashes(pack_block_hashes(hashes)[:-3]), tuple(hashes[:-1]))


class Stores(unittest.TestCase):
    def test_a_lost_store_moves_only_its_own_prefixes(self):
        stores = [f"10.0.1.{n}:9000" for n in range(5)]
        before = {f"p{n}": store_for_prefix(stores, f"p{n}") for n in range(2000)}
        for lost in stores:
            left = [at for at in stores if at != lost]
            share = sum(at == lost for at in before.values())
            self.assertTrue(250 < share < 550, share)
            for prefix, at in before.items():
                moved = store_for_prefix(reversed(left), prefix)
                self.assertTrue(moved == at if at != lost else moved in left)

    def test_no_store(self):
        self.assertIsNone(store_for_prefix([], "p"))


if __name__ == "__main__":
    unittest.main()
