"""The hash ring and the tracker of hot keys."""

import unittest

from rowanshift.placement.hash_ring import HashRing, stable_hash
from rowanshift.placement.hot_keys import HOT_EPOCHS, MAX_SCORED_KEYS, MIN_SAMPLES, SHADOW_LEASE_SECONDS, HotKeyTracker

OWNERS = [f"server:{n}" for n in range(5)]
POSITIONS = [stable_hash(f"key:{n}") >> 32 for n in range(2000)]
HOT, COLD = 7, 8  # positions of keys; COLD is the first of many


def ring(owners=OWNERS, points=64) -> HashRing:
    result = HashRing()
    result.set_point_counts(dict.fromkeys(owners, points))
    return result


def homes(ring: HashRing) -> dict[int, object]:
    return {position: ring.successors(position, 1)[0] for position in POSITIONS}


class HashRingTest(unittest.TestCase):
    def test_removing_an_owner_moves_only_its_keys_and_adding_it_moves_them_back(self):
        hash_ring = ring()
        before = homes(hash_ring)
        hash_ring.set_point_counts(dict.fromkeys(OWNERS[1:], 64))
        after = homes(hash_ring)
        moved = {position for position in POSITIONS if before[position] != after[position]}
        self.assertEqual(moved, {position for position in POSITIONS if before[position] == OWNERS[0]})
        hash_ring.set_point_counts(dict.fromkeys(OWNERS, 64))
        self.assertEqual(homes(hash_ring), before)

    def test_a_new_owner_gets_its_share_of_keys_and_no_other_key_moves(self):
        hash_ring = ring()
        before = homes(hash_ring)
        hash_ring.set_point_counts(dict.fromkeys([*OWNERS, "server:new"], 64))
        after = homes(hash_ring)
        moved = [position for position in POSITIONS if before[position] != after[position]]
        self.assertEqual({after[position] for position in moved}, {"server:new"})
        self.assertTrue(0.08 < len(moved) / len(POSITIONS) < 0.30, len(moved))  # one sixth is expected

    def test_incremental_changes_give_the_same_ring_as_a_new_one(self):
        hash_ring = ring()
        wanted = {OWNERS[0]: 64, OWNERS[1]: 128, OWNERS[2]: 0, "server:new": 64}
        hash_ring.set_point_counts(wanted)
        anew = HashRing()
        anew.set_point_counts(wanted)
        self.assertEqual(hash_ring.sorted_points, anew.sorted_points)
        self.assertEqual(hash_ring.owner_by_point, anew.owner_by_point)
        self.assertEqual(hash_ring.points_by_owner, anew.points_by_owner)
        self.assertNotIn(OWNERS[2], hash_ring.points_by_owner)

    def test_successors_are_distinct_owners(self):
        hash_ring = ring()
        for position in POSITIONS[:100]:
            walk = hash_ring.successors(position, 9)
            self.assertEqual(sorted(walk), OWNERS)
            self.assertEqual(hash_ring.successors(position, 3), walk[:3])
        self.assertEqual(HashRing().successors(POSITIONS[0], 3), [])

    def test_more_successors_are_found_after_fewer_were_cached(self):
        hash_ring = ring()
        first = hash_ring.successors(POSITIONS[0], 2)
        self.assertEqual(len(first), 2)
        self.assertEqual(hash_ring.successors(POSITIONS[0], 4)[:2], first)
        self.assertEqual(len(hash_ring.successors(POSITIONS[0], 4)), 4)

    def test_owners_of_any_type_are_hashed_by_their_names(self):
        owners = [("server", n) for n in range(5)]
        hash_ring = HashRing(lambda owner: f"{owner[0]}:{owner[1]}")
        hash_ring.set_point_counts(dict.fromkeys(owners, 64))
        self.assertEqual(
            {position: ":".join(map(str, home)) for position, home in homes(hash_ring).items()}, homes(ring())
        )

    def test_more_points_own_more_keys(self):
        hash_ring = HashRing()
        hash_ring.set_point_counts({"large": 192, "small": 64})
        large = sum(home == "large" for home in homes(hash_ring).values())
        self.assertTrue(0.65 < large / len(POSITIONS) < 0.85, large)  # three quarters of the points

    def test_the_hash_is_the_same_in_every_process(self):
        self.assertEqual(stable_hash("k"), 0xAC52CB5FF985D463)


class HotKeyTrackerTest(unittest.TestCase):
    def run_epochs(self, tracker: HotKeyTracker, reads: int, count: int, samples: int = 100, ready: int = 5):
        """Run ``count`` epochs in which ``reads`` of the samples are of one key; return the newly hot keys of each."""
        newly_hot = []
        for _ in range(count):
            for i in range(samples):
                tracker.record_access(HOT if i < reads else COLD + i)
            now = tracker.epoch_ends_at
            self.assertTrue(tracker.is_epoch_due(now))
            newly_hot.append([position for position, _ in tracker.end_epoch(now, ready)])
        return newly_hot

    def test_a_key_is_hot_after_four_epochs_over_the_mean_of_a_server(self):
        tracker = HotKeyTracker(0.0)
        self.assertEqual(self.run_epochs(tracker, 40, HOT_EPOCHS), [[], [], [], [HOT]])
        self.assertEqual(HOT_EPOCHS, 4)
        self.assertEqual(tracker.get(HOT).shadows, 1)

    def test_an_epoch_under_the_threshold_resets_the_streak(self):
        tracker = HotKeyTracker(0.0)
        self.run_epochs(tracker, 40, 3)
        self.run_epochs(tracker, 0, 2)
        self.assertEqual(self.run_epochs(tracker, 60, 3), [[], [], []])

    def test_exactly_the_mean_of_a_server_is_not_over_the_threshold(self):
        for reads, hot in ((20, False), (21, True)):
            with self.subTest(reads=reads):
                tracker = HotKeyTracker(0.0)
                self.run_epochs(tracker, reads, 8)
                self.assertEqual(tracker.get(HOT).streak > 0, hot)
                self.assertEqual(tracker.get(HOT).lease > 0, hot)

    def test_one_or_two_reads_are_no_hot_epoch_with_any_number_of_servers(self):
        for reads, counts in ((2, False), (3, True)):
            with self.subTest(reads=reads):
                tracker = HotKeyTracker(0.0)
                self.run_epochs(tracker, reads, 1, ready=200)
                self.assertEqual(tracker.get(HOT).streak == 1, counts)

    def test_shadows_grow_to_one_three_seven_up_to_the_share_and_the_other_servers(self):
        for reads, ready, last in ((50, 40, 20), (100, 5, 4), (100, 1, 0)):
            with self.subTest(reads=reads, ready=ready):
                tracker, seen = HotKeyTracker(0.0), []
                for _ in range(9):
                    self.run_epochs(tracker, reads, 1, ready=ready)
                    seen.append(tracker.get(HOT).shadows)
                self.assertEqual(seen[3:6], [min(n, last) for n in (1, 3, 7)])
                self.assertEqual(seen[-1], last)

    def test_a_lease_expires_unless_it_is_renewed(self):
        tracker = HotKeyTracker(0.0)
        self.run_epochs(tracker, 40, 4)
        self.assertEqual(tracker.get(HOT).lease, 4.0 + SHADOW_LEASE_SECONDS)
        for now, shadows in ((6.0, 1), (4.0 + SHADOW_LEASE_SECONDS, 1), (4.1 + SHADOW_LEASE_SECONDS, 0)):
            for i in range(400):
                tracker.record_access(COLD + i)
            tracker.end_epoch(now, 5)
            hot = tracker.get(HOT)
            self.assertEqual(hot.shadows if hot else 0, shadows, now)

    def test_scores_and_samples_are_halved_and_low_scores_are_removed(self):
        tracker = HotKeyTracker(0.0)
        self.run_epochs(tracker, 8, 1)
        self.assertEqual((tracker.get(HOT).score, tracker.samples), (4.0, 50.0))
        for now in range(2, 6):
            tracker.end_epoch(float(now), 5)
        self.assertIsNone(tracker.get(HOT))
        self.assertFalse(tracker.scores)

    def test_the_number_of_scored_keys_is_bounded_and_they_are_still_scored_at_the_bound(self):
        tracker = HotKeyTracker(0.0)
        for position in range(3 * MAX_SCORED_KEYS):
            tracker.record_access(position)
        tracker.add_samples(5, {10**6: 5})
        tracker.record_access(0)
        self.assertEqual(len(tracker.scores), MAX_SCORED_KEYS)
        self.assertEqual((tracker.get(0).score, tracker.get(MAX_SCORED_KEYS)), (2, None))
        self.assertEqual(tracker.samples, 3 * MAX_SCORED_KEYS + 6)

    def test_a_write_lowers_a_score_and_adds_no_key(self):
        tracker = HotKeyTracker(0.0)
        tracker.record_access(HOT)
        tracker.record_access(HOT, -1)
        tracker.record_access(COLD, -1)
        self.assertEqual((tracker.get(HOT).score, tracker.get(COLD), tracker.samples), (0, None, 3))

    def test_an_epoch_is_due_after_its_time_if_there_are_enough_samples(self):
        for samples, now, due in ((MIN_SAMPLES, 0.9, False), (MIN_SAMPLES, 1.0, True), (MIN_SAMPLES - 1, 9.0, False)):
            with self.subTest(samples=samples, now=now):
                tracker = HotKeyTracker(0.0)
                for _ in range(samples):
                    tracker.record_access(HOT)
                self.assertEqual(tracker.is_epoch_due(now), due)

    def test_samples_of_other_routers_count_like_own_samples(self):
        own, received = HotKeyTracker(0.0), HotKeyTracker(0.0)
        for _ in range(30):
            own.record_access(HOT)
        received.add_samples(30, {HOT: 30})
        self.assertEqual((own.scores, own.samples), (received.scores, received.samples))


if __name__ == "__main__":
    unittest.main()
