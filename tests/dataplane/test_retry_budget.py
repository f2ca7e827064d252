"""The retry budget: the retries of all routers together, in any window."""

import random
import unittest
from bisect import bisect_left, bisect_right
from collections import deque

from rowanshift.dataplane.retry_budget import SPENDABLE_FRACTION, RetryBudget

RATIO, SLACK, WINDOW = 0.2, 10.0, 10.0


def budgets(count, router_count=None, slack=SLACK):
    result = [RetryBudget(RATIO, slack, WINDOW) for _ in range(count)]
    for budget in result:
        budget.router_count = count if router_count is None else router_count
    return result


def max_excess_by_rule(requests, retries, window=WINDOW):
    """The maximum excess by the operators' rule: the number of requests is the largest of those of the window itself,
    of the window before it and of the window that begins half a window earlier. Windows begin or end with a retry."""
    requests, retries = sorted(requests), sorted(retries)

    def count_inside(times, start):
        return bisect_right(times, start + window) - bisect_left(times, start)

    return max(
        (
            count_inside(retries, start)
            - RATIO * max(count_inside(requests, start - offset) for offset in (0.0, window / 2, window))
            for at in retries
            for start in (at, at - window)
        ),
        default=0.0,
    )


def max_excess(requests, retries, window=WINDOW, ends=(False, True)):
    """The maximum by which the retries of a window, which begins or ends with one, exceed ratio x its requests."""
    requests, retries = sorted(requests), sorted(retries)
    excess = 0.0
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
            excess = max(excess, n + 1 - first - RATIO * len(inside))
    return excess


class Case(unittest.TestCase):
    def run_all(self, routers, seed, rate, until=25.0, wanted=1.0):
        """Send random requests to random routers and try ``wanted`` retries for each; return the times of both."""
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
    """At a constant rate of requests, the limit is kept in any window."""

    def check_constant_rate(self, count):
        requests, retries = self.run_all(budgets(count), count, lambda now: 40.0)
        self.assertLessEqual(max_excess(requests, retries), SLACK)

    def test_one_router(self):
        self.check_constant_rate(1)

    def test_six_routers(self):
        self.check_constant_rate(6)

    def test_eighty_routers(self):
        self.check_constant_rate(80)

    def test_a_thousand_routers(self):
        self.check_constant_rate(1000)

    def test_one_router_spends_most_of_its_share(self):
        requests, retries = self.run_all(budgets(1), 3, lambda now: 40.0)
        self.assertGreater(len(retries), 0.5 * SPENDABLE_FRACTION * RATIO * len(requests))

    def test_each_retry_is_covered_by_requests_in_the_window_that_ends_with_it(self):
        """At any rate: at each retry, the router's retries in the window are covered by its own requests there."""
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
                    inside = sum(
                        now - WINDOW - 0.5 <= at for at in requests
                    )  # one bucket longer, as buckets are not divided
                    spent = sum(now - WINDOW <= at for at in retries)
                    self.assertLessEqual(spent, RATIO * inside + SLACK)


class AnyWindow(Case):
    """Rates that rise and drop: windows without the requests that allowed a retry."""

    def stopped_requests(self, late):
        """A thousand requests within a second, and all retries that are allowed ``late`` seconds later."""
        (budget,) = budgets(1)
        requests, retries = [n / 1000 for n in range(1000)], []
        for at in requests:
            budget.record_request(at)
        while budget.try_withdraw(1.0 + late):
            retries.append(1.0 + late)
        return requests, retries

    def test_requests_stop_and_the_window_ends_with_a_retry(self):
        for late in (0.0, 5.0, WINDOW - 0.6, WINDOW - 0.1):
            with self.subTest(late):
                self.assertLessEqual(max_excess(*self.stopped_requests(late), ends=(False,)), SLACK)

    def test_requests_stop_and_the_window_begins_with_a_retry(self):
        for late in (0.0, 5.0, WINDOW - 0.1):
            with self.subTest(late):
                self.assertLessEqual(max_excess_by_rule(*self.stopped_requests(late)), SLACK)

    def test_a_rate_that_drops_to_a_tenth(self):
        for count in (1, 80):
            requests, retries = self.run_all(budgets(count), count, lambda now: 60.0 if now % 20 < 10 else 6.0)
            self.assertLessEqual(max_excess(requests, retries), SLACK, f"{count} routers")


class Slack(Case):
    def test_an_unknown_router_count_gives_no_slack(self):
        for count in (1, 6, 80, 1000):
            granted = [budget.try_withdraw(now) for budget in budgets(count, 0) for now in (0.0, 1.0, 20.0)]
            self.assertNotIn(True, granted)

    def test_own_requests_count_while_the_router_count_is_unknown(self):
        (budget,) = budgets(1, 0)
        for _ in range(100):
            budget.record_request(1.0)
        self.assertEqual(
            sum(budget.try_withdraw(1.0) for _ in range(100)), int(SPENDABLE_FRACTION * RATIO * 100 + 1e-9)
        )

    def test_the_slack_is_divided_by_the_router_count(self):
        for count in (1, 2, 6, 80, 1000):
            granted = sum(budget.try_withdraw(1.0) for budget in budgets(count) for _ in range(20))
            self.assertEqual(granted, count * int(SPENDABLE_FRACTION * SLACK / count + 1e-9))

    def test_a_router_count_that_changes(self):
        """The part of the slack follows the known router count; earlier retries still count."""
        (budget,) = budgets(1)
        self.assertEqual(sum(budget.try_withdraw(1.0) for _ in range(20)), int(SPENDABLE_FRACTION * SLACK))
        budget.router_count = 2
        self.assertFalse(budget.try_withdraw(2.0))
        budget.router_count = 1
        self.assertFalse(budget.try_withdraw(2.0))
        budget.router_count = 0
        self.assertFalse(budget.try_withdraw(2.0))

    def test_routers_that_join_one_after_another(self):
        random_source = random.Random(1)
        routers = budgets(20, 20)
        requests, retries, now = [], [], 0.0
        for n in range(2000):
            now += 0.02
            budget = random_source.choice(routers)
            budget.record_request(now)
            requests.append(now)
            if n % 200 == 0:  # one joins without slack, and the others learn the new count
                routers += budgets(1, 0)
                for other in routers[:-1]:
                    other.router_count = len(routers)
            for _ in range(2):
                if random_source.choice(routers).try_withdraw(now):
                    retries.append(now)
        self.assertLessEqual(max_excess(requests, retries), SLACK)


class Expiry(Case):
    def test_requests_leave_the_window(self):
        (budget,) = budgets(1, slack=0.0)
        for _ in range(100):
            budget.record_request(0.25)
        self.assertTrue(budget.try_withdraw(WINDOW))
        self.assertFalse(budget.try_withdraw(WINDOW + 1.0))
        self.assertFalse(budget.requests)

    def test_retries_leave_the_window_later_than_requests(self):
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

    def test_without_a_ratio_or_slack_no_retry_is_sent(self):
        budget = RetryBudget(0.0, 0.0, WINDOW)
        budget.router_count = 1
        for _ in range(100):
            budget.record_request(1.0)
        self.assertFalse(budget.try_withdraw(1.0))


if __name__ == "__main__":
    unittest.main()
