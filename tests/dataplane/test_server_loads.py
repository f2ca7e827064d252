"""The loads of the servers that a router owns: pending tokens, and servers to avoid."""

import random
import unittest

from rowanshift.dataplane.load_datagrams import MAX_DATAGRAM_TOKENS, DatagramKind
from rowanshift.dataplane.server_loads import (
    AVOIDED_SERVER_TOKENS,
    MAX_PENDING_REQUESTS,
    PENDING_REQUEST_TTL_SECONDS,
    ServerLoads,
)

FIRST_ROUTER, SECOND_ROUTER = ("10.0.0.1", 7002), ("10.0.0.2", 7002)


class Loads(unittest.TestCase):
    def setUp(self):
        self.loads = ServerLoads()

    def test_added_and_removed_requests(self):
        self.loads.add(FIRST_ROUTER, 1, 7, 100, 0.0)
        self.loads.add(FIRST_ROUTER, 2, 7, 20, 0.0)
        self.loads.add(SECOND_ROUTER, 1, 7, 3, 0.0)
        self.loads.add(SECOND_ROUTER, 2, 8, 5, 0.0)
        self.assertEqual(
            (self.loads.pending_tokens(7, 1.0), self.loads.pending_tokens(8, 1.0), self.loads.pending_tokens(9, 1.0)),
            (123, 5, 0),
        )
        self.loads.remove(FIRST_ROUTER, 1)
        self.assertEqual(self.loads.pending_tokens(7, 1.0), 23)

    def test_removing_twice_or_without_an_add(self):
        self.loads.add(FIRST_ROUTER, 1, 7, 100, 0.0)
        self.loads.add(FIRST_ROUTER, 2, 7, 20, 0.0)
        for _ in range(3):
            self.loads.remove(FIRST_ROUTER, 1)
            self.loads.remove(SECOND_ROUTER, 1)
            self.loads.remove(FIRST_ROUTER, 9)
        self.assertEqual(self.loads.pending_tokens(7, 0.0), 20)

    def test_a_request_added_twice_counts_once(self):
        self.loads.add(FIRST_ROUTER, 1, 7, 100, 0.0)
        self.loads.add(FIRST_ROUTER, 1, 7, 100, 0.0)
        self.assertEqual(self.loads.pending_tokens(7, 0.0), 100)
        self.loads.add(FIRST_ROUTER, 1, 8, 50, 0.0)
        self.assertEqual((self.loads.pending_tokens(7, 0.0), self.loads.pending_tokens(8, 0.0)), (0, 50))

    def test_requests_expire(self):
        self.loads.add(FIRST_ROUTER, 1, 7, 100, 1.0)
        self.loads.add(FIRST_ROUTER, 2, 7, 20, 2.0)
        self.assertEqual(self.loads.pending_tokens(7, 1.0 + PENDING_REQUEST_TTL_SECONDS), 120)
        self.assertEqual(self.loads.pending_tokens(7, 1.01 + PENDING_REQUEST_TTL_SECONDS), 20)
        self.assertEqual(self.loads.pending_tokens(7, 2.01 + PENDING_REQUEST_TTL_SECONDS), 0)
        self.loads.remove(FIRST_ROUTER, 1)
        self.assertEqual((self.loads.pending, self.loads.tokens), ({}, {}))

    def test_expired_requests_are_removed_without_a_query(self):
        for n in range(500):
            self.loads.add(FIRST_ROUTER, n, n, 1, float(n))
        self.assertLessEqual(len(self.loads.pending), PENDING_REQUEST_TTL_SECONDS + 2)
        self.assertEqual(len(self.loads.tokens), len(self.loads.pending))

    def test_pending_requests_are_bounded(self):
        for n in range(MAX_PENDING_REQUESTS + 50):
            self.loads.add(FIRST_ROUTER, n, n % 3, 1, 0.0)
        self.assertEqual(len(self.loads.pending), MAX_PENDING_REQUESTS)
        self.assertEqual(sum(self.loads.tokens.values()), MAX_PENDING_REQUESTS)
        self.assertNotIn((FIRST_ROUTER, 49), self.loads.pending)  # the oldest was dropped

    def test_a_server_with_overdue_requests_is_avoided(self):
        for n in range(4):
            self.loads.add(FIRST_ROUTER, n, 7, 1, 0.1 * n)
            self.loads.add(SECOND_ROUTER, n, 8, 1, 0.1 * n)
            self.loads.end(SECOND_ROUTER, n, DatagramKind.FIRST_BYTES_RECEIVED, 0.1 * n + 0.05)
        self.assertEqual([self.loads.reported_tokens(server, 0.35, False) for server in (7, 8)], [4, 0])
        self.assertEqual(
            [self.loads.reported_tokens(server, 0.75, False) for server in (7, 8)], [AVOIDED_SERVER_TOKENS + 4, 0]
        )

    def test_one_probe_at_a_time(self):
        for n in range(4):
            self.loads.add(FIRST_ROUTER, n, 7, 1, 0.0)
            self.loads.end(FIRST_ROUTER, n, DatagramKind.REQUEST_FAILED, 0.1)
        reported = [
            self.loads.reported_tokens(7, at, may_probe)
            for at, may_probe in ((0.2, False), (0.2, True), (0.2, True), (0.75, True))
        ]
        self.assertEqual(reported, [AVOIDED_SERVER_TOKENS, 0, AVOIDED_SERVER_TOKENS, 0])

    def test_an_avoided_server_is_offered_again_after_a_while(self):
        for n in range(4):
            self.loads.add(FIRST_ROUTER, n, 7, 1, 0.0)
            self.loads.end(FIRST_ROUTER, n, DatagramKind.REQUEST_FAILED, 0.1)
        self.assertEqual([self.loads.reported_tokens(7, at, False) for at in (1.0, 2.0)], [AVOIDED_SERVER_TOKENS, 0])

    def test_a_response_after_the_due_time_counts_once_and_as_a_failure(self):
        self.loads.add(FIRST_ROUTER, 1, 7, 1, 0.0)
        self.loads.reported_tokens(7, 1.0, False)
        self.loads.end(FIRST_ROUTER, 1, DatagramKind.FIRST_BYTES_RECEIVED, 1.0)
        health = self.loads.health.servers[7]
        self.assertEqual((health.succeeded, health.failed), (0, 1))
        self.assertEqual((self.loads.pending, self.loads.tokens, self.loads.overdue), ({}, {}, {}))

    def test_a_slow_server_that_answers_other_requests_is_not_avoided(self):
        for n in range(9):
            self.loads.add(FIRST_ROUTER, n, 7, 1, 0.0)
        for n in range(3):
            self.loads.end(FIRST_ROUTER, n, DatagramKind.FIRST_BYTES_RECEIVED, 0.3)
        self.assertEqual(self.loads.reported_tokens(7, 0.9, False), 6)
        for n in range(3, 9):
            self.loads.end(FIRST_ROUTER, n, DatagramKind.REQUEST_FAILED, 1.0)
        self.assertEqual(self.loads.reported_tokens(7, 1.0, False), AVOIDED_SERVER_TOKENS)

    def test_the_queue_of_requests_not_yet_overdue_is_bounded(self):
        self.loads.add(
            FIRST_ROUTER, 0, 7, MAX_DATAGRAM_TOKENS, 0.0
        )  # due in a day; delays the check of those behind it
        queue_lengths = []
        for n in range(1, MAX_PENDING_REQUESTS + 50):
            self.loads.add(FIRST_ROUTER, n, 7, 1, 0.1)
            self.loads.remove(FIRST_ROUTER, n)
            queue_lengths.append(len(self.loads.not_overdue))
        self.assertEqual(max(queue_lengths), MAX_PENDING_REQUESTS)

    def test_a_request_due_late_delays_others_only_until_it_expires(self):
        self.loads.add(FIRST_ROUTER, 0, 7, MAX_DATAGRAM_TOKENS, 0.0)
        self.loads.add(FIRST_ROUTER, 1, 8, 1, 0.1)
        self.loads.add(SECOND_ROUTER, 0, 9, 1, 1.0 + PENDING_REQUEST_TTL_SECONDS)
        self.assertEqual(len(self.loads.not_overdue), 1)

    def test_abandoned_requests_say_nothing_about_the_server(self):
        for n in range(9):
            self.loads.add(FIRST_ROUTER, n, 7, 1, 0.0)
            self.loads.end(FIRST_ROUTER, n, DatagramKind.REQUEST_ABANDONED, 0.1)
        self.assertEqual(self.loads.health.servers, {})

    def test_random_calls_against_a_reference_sum(self):
        random_source, now, requests = random.Random(1), 0.0, {}
        for _ in range(5000):
            now += random_source.expovariate(20)
            router, number = random_source.choice((FIRST_ROUTER, SECOND_ROUTER)), random_source.randrange(200)
            if random_source.random() < 0.6:
                requests[router, number] = (
                    random_source.randrange(4),
                    random_source.randrange(3000),
                    now + PENDING_REQUEST_TTL_SECONDS,
                )
                self.loads.add(router, number, *requests[router, number][:2], now)
            else:
                requests.pop((router, number), None)
                self.loads.remove(router, number)
            server = random_source.randrange(4)
            expected = sum(
                tokens
                for request_server, tokens, until in requests.values()
                if request_server == server and until >= now
            )
            self.assertEqual(self.loads.pending_tokens(server, now), expected)


if __name__ == "__main__":
    unittest.main()
