"""The budget of repeats, cut into parts: what all counters send together, in any window."""

import random
import unittest
from bisect import bisect_left, bisect_right
from collections import deque

from rowanshift.dataplane.retry_budget import SURE, RetryBudget

RATIO, SLACK, WINDOW = 0.2, 10.0, 10.0


def budgets(count, members=None, slack=SLACK):
    made = [RetryBudget(RATIO, slack, WINDOW) for _ in range(count)]
    for budget in made:
        budget.members = count if members is None else members
    return made


def worst_by_rule(requests, repeats, window=WINDOW):
    """The same by the operators' rule: for a window's requests count its own, those of the window before it
    or those of the one half a window before it, whichever are most. Windows begin or end with a repeat."""
    requests, repeats = sorted(requests), sorted(repeats)

    def inside(times, start):
        return bisect_right(times, start + window) - bisect_left(times, start)

    return max(
        (
            inside(repeats, start) - RATIO * max(inside(requests, start - back) for back in (0.0, window / 2, window))
            for at in repeats
            for start in (at, at - window)
        ),
        default=0.0,
    )


def worst(requests, repeats, window=WINDOW, ends=(False, True)):
    """The most by which repeats of any window that ends or begins with one exceed ratio x requests in it."""
    requests, repeats = sorted(requests), sorted(repeats)
    most = 0.0
    for from_end in ends:
        asked = [-at for at in reversed(requests)] if from_end else requests
        spent = [-at for at in reversed(repeats)] if from_end else repeats
        inside, first, r = deque(), 0, 0
        for n, at in enumerate(spent):
            while r < len(asked) and asked[r] <= at:
                inside.append(asked[r])
                r += 1
            while inside and inside[0] < at - window:
                inside.popleft()
            while spent[first] < at - window:
                first += 1
            most = max(most, n + 1 - first - RATIO * len(inside))
    return most


class Case(unittest.TestCase):
    def run_all(self, counters, seed, rate, until=25.0, wanted=1.0):
        """Drawn requests at drawn counters, each of which wants so many repeats; the times of both."""
        random_source, now, requests, repeats = random.Random(seed), 0.0, [], []
        while (now := now + random_source.expovariate(rate(now))) < until:
            budget = random_source.choice(counters)
            budget.request(now)
            requests.append(now)
            for _ in range(int(wanted + random_source.random())):
                if random_source.choice(counters).take(now):
                    repeats.append(now)
        return requests, repeats


class Parts(Case):
    """At a rate that does not break off, any window holds."""

    def holds(self, count):
        requests, repeats = self.run_all(budgets(count), count, lambda now: 40.0)
        self.assertLessEqual(worst(requests, repeats), SLACK)

    def test_one_counter(self):
        self.holds(1)

    def test_six_counters(self):
        self.holds(6)

    def test_eighty_counters(self):
        self.holds(80)

    def test_a_thousand_counters(self):
        self.holds(1000)

    def test_one_counter_spends_most_of_its_part(self):
        requests, repeats = self.run_all(budgets(1), 3, lambda now: 40.0)
        self.assertGreater(len(repeats), 0.5 * SURE * RATIO * len(requests))

    def test_each_repeat_has_its_requests_in_the_window_that_ends_with_it(self):
        """Whatever the rate: what a counter spent when it sends one more is worth its own requests."""
        for seed in range(4):
            random_source = random.Random(seed)
            (budget,) = budgets(1)
            requests, repeats, now = [], [], 0.0
            for _ in range(500):
                now += random_source.choice((0.0, 0.003, 0.05, 0.4, 3.0)) * random_source.random()
                if random_source.random() < 0.6:
                    budget.request(now)
                    requests.append(now)
                elif budget.take(now):
                    repeats.append(now)
                    inside = sum(now - WINDOW - 0.5 <= at for at in requests)  # as far as buckets tell
                    spent = sum(now - WINDOW <= at for at in repeats)
                    self.assertLessEqual(spent, RATIO * inside + SLACK)


class AnyWindow(Case):
    """Rates that rise and break off: a window without the requests that a repeat was allowed for."""

    def broken_off(self, late):
        """A thousand requests in a second, and all the repeats that are allowed some time later."""
        (budget,) = budgets(1)
        requests, repeats = [n / 1000 for n in range(1000)], []
        for at in requests:
            budget.request(at)
        while budget.take(1.0 + late):
            repeats.append(1.0 + late)
        return requests, repeats

    def test_requests_break_off_and_the_window_ends_with_a_repeat(self):
        for late in (0.0, 5.0, WINDOW - 0.6, WINDOW - 0.1):
            with self.subTest(late):
                self.assertLessEqual(worst(*self.broken_off(late), ends=(False,)), SLACK)

    def test_requests_break_off_and_the_window_begins_with_a_repeat(self):
        for late in (0.0, 5.0, WINDOW - 0.1):
            with self.subTest(late):
                self.assertLessEqual(worst_by_rule(*self.broken_off(late)), SLACK)

    def test_a_rate_that_falls_to_a_tenth(self):
        for count in (1, 80):
            requests, repeats = self.run_all(budgets(count), count, lambda now: 60.0 if now % 20 < 10 else 6.0)
            self.assertLessEqual(worst(requests, repeats), SLACK, f"{count} counters")


class Slack(Case):
    def test_members_not_known_give_none(self):
        for count in (1, 6, 80, 1000):
            taken = [budget.take(now) for budget in budgets(count, 0) for now in (0.0, 1.0, 20.0)]
            self.assertNotIn(True, taken)

    def test_own_requests_count_while_members_are_not_known(self):
        (budget,) = budgets(1, 0)
        for _ in range(100):
            budget.request(1.0)
        self.assertEqual(sum(budget.take(1.0) for _ in range(100)), int(SURE * RATIO * 100 + 1e-9))

    def test_it_is_cut_by_the_members(self):
        for count in (1, 2, 6, 80, 1000):
            taken = sum(budget.take(1.0) for budget in budgets(count) for _ in range(20))
            self.assertEqual(taken, count * int(SURE * SLACK / count + 1e-9))

    def test_members_that_change(self):
        """A part follows the members known; what was taken before counts on."""
        (budget,) = budgets(1)
        self.assertEqual(sum(budget.take(1.0) for _ in range(20)), int(SURE * SLACK))
        budget.members = 2
        self.assertFalse(budget.take(2.0))
        budget.members = 1
        self.assertFalse(budget.take(2.0))
        budget.members = 0
        self.assertFalse(budget.take(2.0))

    def test_more_members_in_turn(self):
        random_source = random.Random(1)
        counters = budgets(20, 20)
        requests, repeats, now = [], [], 0.0
        for n in range(2000):
            now += 0.02
            budget = random_source.choice(counters)
            budget.request(now)
            requests.append(now)
            if n % 200 == 0:  # one joins without slack, and all hear of it
                counters += budgets(1, 0)
                for other in counters[:-1]:
                    other.members = len(counters)
            for _ in range(2):
                if random_source.choice(counters).take(now):
                    repeats.append(now)
        self.assertLessEqual(worst(requests, repeats), SLACK)


class Ageing(Case):
    def test_requests_leave_the_window(self):
        (budget,) = budgets(1, slack=0.0)
        for _ in range(100):
            budget.request(0.25)
        self.assertTrue(budget.take(WINDOW))
        self.assertFalse(budget.take(WINDOW + 1.0))
        self.assertFalse(budget.asked)

    def test_repeats_leave_it_later_than_requests(self):
        (budget,) = budgets(1)
        while budget.take(0.25):
            pass
        self.assertFalse(budget.take(0.25 + WINDOW))
        self.assertTrue(budget.take(1.5 + WINDOW))

    def test_what_is_kept_is_bounded(self):
        (budget,) = budgets(1)
        for n in range(4000):
            budget.request(n / 20)
            budget.take(n / 20)
        self.assertLess(len(budget.asked) + len(budget.spent), 50)

    def test_without_a_ratio_or_slack_nothing_is_sent(self):
        budget = RetryBudget(0.0, 0.0, WINDOW)
        budget.members = 1
        for _ in range(100):
            budget.request(1.0)
        self.assertFalse(budget.take(1.0))


if __name__ == "__main__":
    unittest.main()
