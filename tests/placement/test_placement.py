"""The ring and hotness, built directly, as any front builds them."""

import unittest

from rowanshift.placement.hash_ring import HashRing, stable_hash
from rowanshift.placement.hot_keys import HOT_EPOCHS, MAX_SCORED_KEYS, MIN_SAMPLES, SHADOW_LEASE_SECONDS, HotKeyTracker

OWNERS = [f"server:{n}" for n in range(5)]
MARKS = [stable_hash(f"key:{n}") >> 32 for n in range(2000)]
HOT, COLD = 7, 8  # marks


def ring(owners=OWNERS, points=64) -> HashRing:
    made = HashRing()
    made.set_point_counts(dict.fromkeys(owners, points))
    return made


def homes(ring: HashRing) -> dict[int, object]:
    return {mark: ring.successors(mark, 1)[0] for mark in MARKS}


class RingTest(unittest.TestCase):
    def test_when_an_owner_goes_only_its_keys_move_and_they_move_back(self):
        r = ring()
        before = homes(r)
        r.set_point_counts(dict.fromkeys(OWNERS[1:], 64))
        after = homes(r)
        moved = {mark for mark in MARKS if before[mark] != after[mark]}
        self.assertEqual(moved, {mark for mark in MARKS if before[mark] == OWNERS[0]})
        r.set_point_counts(dict.fromkeys(OWNERS, 64))
        self.assertEqual(homes(r), before)

    def test_when_an_owner_comes_it_takes_its_share_and_no_other_key_moves(self):
        r = ring()
        before = homes(r)
        r.set_point_counts(dict.fromkeys([*OWNERS, "server:new"], 64))
        after = homes(r)
        moved = [mark for mark in MARKS if before[mark] != after[mark]]
        self.assertEqual({after[mark] for mark in moved}, {"server:new"})
        self.assertTrue(0.08 < len(moved) / len(MARKS) < 0.30, len(moved))  # a sixth, by 64 points

    def test_merged_changes_give_the_ring_that_is_laid_anew(self):
        r = ring()
        wanted = {OWNERS[0]: 64, OWNERS[1]: 128, OWNERS[2]: 0, "server:new": 64}
        r.set_point_counts(wanted)
        anew = HashRing()
        anew.set_point_counts(wanted)
        self.assertEqual(r.sorted_points, anew.sorted_points)
        self.assertEqual(r.owner_by_point, anew.owner_by_point)
        self.assertEqual(r.points_by_owner, anew.points_by_owner)
        self.assertNotIn(OWNERS[2], r.points_by_owner)

    def test_a_walk_names_distinct_owners_each_once(self):
        r = ring()
        for mark in MARKS[:100]:
            walk = r.successors(mark, 9)
            self.assertEqual(sorted(walk), OWNERS)
            self.assertEqual(r.successors(mark, 3), walk[:3])
        self.assertEqual(HashRing().successors(MARKS[0], 3), [])

    def test_a_walk_grows_after_a_shorter_one_was_kept(self):
        r = ring()
        first = r.successors(MARKS[0], 2)
        self.assertEqual(len(first), 2)
        self.assertEqual(r.successors(MARKS[0], 4)[:2], first)
        self.assertEqual(len(r.successors(MARKS[0], 4)), 4)

    def test_owners_of_any_kind_go_by_the_text_of_the_name_function(self):
        owners = [("server", n) for n in range(5)]
        r = HashRing(lambda owner: f"{owner[0]}:{owner[1]}")
        r.set_point_counts(dict.fromkeys(owners, 64))
        self.assertEqual({mark: ":".join(map(str, home)) for mark, home in homes(r).items()}, homes(ring()))

    def test_more_points_own_more_keys(self):
        r = HashRing()
        r.set_point_counts({"large": 192, "small": 64})
        large = sum(home == "large" for home in homes(r).values())
        self.assertTrue(0.65 < large / len(MARKS) < 0.85, large)  # three quarters

    def test_the_hash_is_the_same_in_every_process(self):
        self.assertEqual(stable_hash("k"), 0xAC52CB5FF985D463)


class HotnessTest(unittest.TestCase):
    def epochs(self, hotness: HotKeyTracker, reads: int, count: int, samples: int = 100, ready: int = 5):
        """Epochs in each of which ``reads`` of the samples are of one key; what became hot in each."""
        new = []
        for _ in range(count):
            for i in range(samples):
                hotness.record_access(HOT if i < reads else COLD + i)
            now = hotness.epoch_ends_at
            self.assertTrue(hotness.is_epoch_due(now))
            new.append([mark for mark, _ in hotness.end_epoch(now, ready)])
        return new

    def test_a_key_needs_four_epochs_over_one_servers_share(self):
        hotness = HotKeyTracker(0.0)
        self.assertEqual(self.epochs(hotness, 40, HOT_EPOCHS), [[], [], [], [HOT]])
        self.assertEqual(HOT_EPOCHS, 4)
        self.assertEqual(hotness.get(HOT).shadows, 1)

    def test_an_epoch_under_the_share_begins_the_count_anew(self):
        hotness = HotKeyTracker(0.0)
        self.epochs(hotness, 40, 3)
        self.epochs(hotness, 0, 2)
        self.assertEqual(self.epochs(hotness, 60, 3), [[], [], []])

    def test_exactly_one_servers_share_is_not_hot(self):
        for reads, hot in ((20, False), (21, True)):
            with self.subTest(reads=reads):
                hotness = HotKeyTracker(0.0)
                self.epochs(hotness, reads, 8)
                self.assertEqual(hotness.get(HOT).streak > 0, hot)
                self.assertEqual(hotness.get(HOT).lease > 0, hot)

    def test_one_or_two_reads_count_no_epoch_however_many_servers(self):
        for reads, counts in ((2, False), (3, True)):
            with self.subTest(reads=reads):
                hotness = HotKeyTracker(0.0)
                self.epochs(hotness, reads, 1, ready=200)
                self.assertEqual(hotness.get(HOT).streak == 1, counts)

    def test_shadows_grow_one_three_seven_up_to_the_share_and_the_other_servers(self):
        for reads, ready, last in ((50, 40, 20), (100, 5, 4), (100, 1, 0)):
            with self.subTest(reads=reads, ready=ready):
                hotness, seen = HotKeyTracker(0.0), []
                for _ in range(9):
                    self.epochs(hotness, reads, 1, ready=ready)
                    seen.append(hotness.get(HOT).shadows)
                self.assertEqual(seen[3:6], [min(n, last) for n in (1, 3, 7)])
                self.assertEqual(seen[-1], last)

    def test_a_lease_lapses_unless_it_is_renewed(self):
        hotness = HotKeyTracker(0.0)
        self.epochs(hotness, 40, 4)
        self.assertEqual(hotness.get(HOT).lease, 4.0 + SHADOW_LEASE_SECONDS)
        for now, shadows in ((6.0, 1), (4.0 + SHADOW_LEASE_SECONDS, 1), (4.1 + SHADOW_LEASE_SECONDS, 0)):
            for i in range(400):
                hotness.record_access(COLD + i)
            hotness.end_epoch(now, 5)
            hot = hotness.get(HOT)
            self.assertEqual(hot.shadows if hot else 0, shadows, now)

    def test_scores_and_samples_are_halved_and_what_fades_is_forgotten(self):
        hotness = HotKeyTracker(0.0)
        self.epochs(hotness, 8, 1)
        self.assertEqual((hotness.get(HOT).score, hotness.samples), (4.0, 50.0))
        for now in range(2, 6):
            hotness.end_epoch(float(now), 5)
        self.assertIsNone(hotness.get(HOT))
        self.assertFalse(hotness.scores)

    def test_the_table_is_bounded_and_what_is_in_it_goes_on_being_scored(self):
        hotness = HotKeyTracker(0.0)
        for mark in range(3 * MAX_SCORED_KEYS):
            hotness.record_access(mark)
        hotness.add_samples(5, {10**6: 5})
        hotness.record_access(0)
        self.assertEqual(len(hotness.scores), MAX_SCORED_KEYS)
        self.assertEqual((hotness.get(0).score, hotness.get(MAX_SCORED_KEYS)), (2, None))
        self.assertEqual(hotness.samples, 3 * MAX_SCORED_KEYS + 6)

    def test_a_write_lowers_a_score_and_scores_no_new_key(self):
        hotness = HotKeyTracker(0.0)
        hotness.record_access(HOT)
        hotness.record_access(HOT, -1)
        hotness.record_access(COLD, -1)
        self.assertEqual((hotness.get(HOT).score, hotness.get(COLD), hotness.samples), (0, None, 3))

    def test_an_epoch_is_due_after_its_time_with_evidence(self):
        for samples, now, due in ((MIN_SAMPLES, 0.9, False), (MIN_SAMPLES, 1.0, True), (MIN_SAMPLES - 1, 9.0, False)):
            with self.subTest(samples=samples, now=now):
                hotness = HotKeyTracker(0.0)
                for _ in range(samples):
                    hotness.record_access(HOT)
                self.assertEqual(hotness.is_epoch_due(now), due)

    def test_what_others_sampled_counts_as_own_samples_do(self):
        own, told = HotKeyTracker(0.0), HotKeyTracker(0.0)
        for _ in range(30):
            own.record_access(HOT)
        told.add_samples(30, {HOT: 30})
        self.assertEqual((own.scores, own.samples), (told.scores, told.samples))


if __name__ == "__main__":
    unittest.main()
