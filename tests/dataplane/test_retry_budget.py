"""The retry budget: retries that all routers send together, in any window."""

import random
import unittest
from bisect import bisect_left, bisect_right
from collections import deque

from rowanshift.dataplane.retry_budget import SPENDABLE_FRACTION, RetryBudget

RATIO, SLACK, WINDOW = 0.2, 10.0, 10.0


def budgets(count, router_count=None, slack=SLACK):
    made = [RetryBudget(RATIO, slack, WINDOW) for _ in range(count)]
    for budget in made:
        budget.router_count = count if router_count is None else router_count
    return made


def worst_by_rule(requests, retries, window=WINDOW):
    """The same by the operators' rule: for a window's requests count its own, those of the window before it
    or those of the one half a window before it, whichever are most. Windows begin or end with a retry."""
    requests, retries = sorted(requests), sorted(retries)

    def inside(times, start):
        return bisect_right(times, start + window) - bisect_left(times, start)

    return max(
        (
            inside(retries, start) - RATIO * max(inside(requests, start - back) for back in (0.0, window / 2, window))
            for at in retries
            for start in (at, at - window)
        ),
        default=0.0,
    )


def worst(requests, retries, window=WINDOW, ends=(False, True)):
    """The most by which retries of any window that ends or begins with one exceed ratio x requests in it."""
    requests, retries = sorted(requests), sorted(retries)
    most = 0.0
    for from_end in ends:
        asked = [-at for at in reversed(requests)] if from_end else requests
        spent = [-at for at in reversed(retries)] if from_end else retries
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
    def run_all(self, routers, seed, rate, until=25.0, wanted=1.0):
        """Drawn requests at drawn routers, each of which wants so many retries; the times of both."""
        random_source, now, requests, retries = random.Random(seed), 0.0, [], []
        while (now := now + random_source.expovariate(rate(now))) < until:
            budget = random_source.choice(routers)
            budget.record_request(now)
            requests.append(now)
            for _ in range(int(wanted + random_source.random())):
                if random_source.choice(routers).try_withdraw(now):
                    retries.append(now)
        return requests, retries


class Shares(Case):
    """At a rate that does not break off, any window holds."""

    def holds(self, count):
        requests, retries = self.run_all(budgets(count), count, lambda now: 40.0)
        self.assertLessEqual(worst(requests, retries), SLACK)

    def test_one_router(self):
        self.holds(1)

    def test_six_routers(self):
        self.holds(6)

    def test_eighty_routers(self):
        self.holds(80)

    def test_a_thousand_routers(self):
        self.holds(1000)

    def test_one_router_spends_most_of_its_share(self):
        requests, retries = self.run_all(budgets(1), 3, lambda now: 40.0)
        self.assertGreater(len(retries), 0.5 * SPENDABLE_FRACTION * RATIO * len(requests))

    def test_each_retry_has_its_requests_in_the_window_that_ends_with_it(self):
        """Whatever the rate: what a router spent when it sends one more is worth its own requests."""
        for seed in range(4):
            random_source = random.Random(seed)
            (budget,) = budgets(1)
            requests, retries, now = [], [], 0.0
            for _ in range(500):
                now += random_source.choice((0.0, 0.003, 0.05, 0.4, 3.0)) * random_source.random()
                if random_source.random() < 0.6:
                    budget.record_request(now)
                    requests.append(now)
                elif budget.try_withdraw(now):
                    retries.append(now)
                    inside = sum(now - WINDOW - 0.5 <= at for at in requests)  # as far as buckets tell
                    spent = sum(now - WINDOW <= at for at in retries)
                    self.assertLessEqual(spent, RATIO * inside + SLACK)


class AnyWindow(Case):
    """Rates that rise and break off: a window without the requests that a retry was allowed for."""

    def broken_off(self, late):
        """A thousand requests in a second, and all the retries that are allowed some time later."""
        (budget,) = budgets(1)
        requests, retries = [n / 1000 for n in range(1000)], []
        for at in requests:
            budget.record_request(at)
        while budget.try_withdraw(1.0 + late):
            retries.append(1.0 + late)
        return requests, retries

    def test_requests_break_off_and_the_window_ends_with_a_retry(self):
        for late in (0.0, 5.0, WINDOW - 0.6, WINDOW - 0.1):
            with self.subTest(late):
                self.assertLessEqual(worst(*self.broken_off(late), ends=(False,)), SLACK)

    def test_requests_break_off_and_the_window_begins_with_a_retry(self):
        for late in (0.0, 5.0, WINDOW - 0.1):
            with self.subTest(late):
                self.assertLessEqual(worst_by_rule(*self.broken_off(late)), SLACK)

    def test_a_rate_that_falls_to_a_tenth(self):
        for count in (1, 80):
            requests, retries = self.run_all(budgets(count), count, lambda now: 60.0 if now % 20 < 10 else 6.0)
            self.assertLessEqual(worst(requests, retries), SLACK, f"{count} routers")


class Slack(Case):
    def test_an_unknown_router_count_gives_none(self):
        for count in (1, 6, 80, 1000):
            taken = [budget.try_withdraw(now) for budget in budgets(count, 0) for now in (0.0, 1.0, 20.0)]
            self.assertNotIn(True, taken)

    def test_own_requests_count_while_the_router_count_is_unknown(self):
        (budget,) = budgets(1, 0)
        for _ in range(100):
            budget.record_request(1.0)
        self.assertEqual(
            sum(budget.try_withdraw(1.0) for _ in range(100)), int(SPENDABLE_FRACTION * RATIO * 100 + 1e-9)
        )

    def test_it_is_divided_by_the_router_count(self):
        for count in (1, 2, 6, 80, 1000):
            taken = sum(budget.try_withdraw(1.0) for budget in budgets(count) for _ in range(20))
            self.assertEqual(taken, count * int(SPENDABLE_FRACTION * SLACK / count + 1e-9))

    def test_a_router_count_that_changes(self):
        """A share follows the known router count; what was withdrawn before still counts."""
        (budget,) = budgets(1)
        self.assertEqual(sum(budget.try_withdraw(1.0) for _ in range(20)), int(SPENDABLE_FRACTION * SLACK))
        budget.router_count = 2
        self.assertFalse(budget.try_withdraw(2.0))
        budget.router_count = 1
        self.assertFalse(budget.try_withdraw(2.0))
        budget.router_count = 0
        self.assertFalse(budget.try_withdraw(2.0))

    def test_routers_that_join_in_turn(self):
        random_source = random.Random(1)
        routers = budgets(20, 20)
        requests, retries, now = [], [], 0.0
        for n in range(2000):
            now += 0.02
            budget = random_source.choice(routers)
            budget.record_request(now)
            requests.append(now)
            if n % 200 == 0:  # one joins without slack, and all hear of it
                routers += budgets(1, 0)
                for other in routers[:-1]:
                    other.router_count = len(routers)
            for _ in range(2):
                if random_source.choice(routers).try_withdraw(now):
                    retries.append(now)
        self.assertLessEqual(worst(requests, retries), SLACK)


class Ageing(Case):
    def test_requests_leave_the_window(self):
        (budget,) = budgets(1, slack=0.0)
        for _ in range(100):
            budget.record_request(0.25)
        self.assertTrue(budget.try_withdraw(WINDOW))
        self.assertFalse(budget.try_withdraw(WINDOW + 1.0))
        self.assertFalse(budget.requests)

    def test_retries_leave_it_later_than_requests(self):
        (budget,) = budgets(1)
        while budget.try_withdraw(0.25):
            pass
        self.assertFalse(budget.try_withdraw(0.25 + WINDOW))
        self.assertTrue(budget.try_withdraw(1.5 + WINDOW))

    def test_memory_is_bounded(self):
        (budget,) = budgets(1)
        for n in range(4000):
            budget.record_request(n / 20)
            budget.try_withdraw(n / 20)
        self.assertLess(len(budget.requests) + len(budget.retries), 50)

    def test_without_a_ratio_or_slack_nothing_is_sent(self):
        budget = RetryBudget(0.0, 0.0, WINDOW)
        budget.router_count = 1
        for _ in range(100):
            budget.record_request(1.0)
        self.assertFalse(budget.try_withdraw(1.0))


if __name__ == "__main__":
    unittest.main()
