"""The endpoints that a router knows, and the selection of one for a prompt prefix."""

import random
import unittest
from collections import Counter
from itertools import count
from unittest import mock

from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.kv_transfers import MIN_HOME_FETCH_TOKENS, transfer_source
from rowanshift.placement.hot_keys import HOT_EPOCHS, MIN_SAMPLES, SHADOW_LEASE_SECONDS
from rowanshift.placement.shadows import (
    INITIAL_BACKOFF_SECONDS,
    LOAD_THRESHOLD_TOKENS,
    MAX_ALTERNATIVES,
    MAX_BACKOFF_SECONDS,
    MAX_SUCCESSORS,
    MOVE_COST_FRACTION,
    OVERLOAD_FACTOR,
    OVERLOAD_SLACK_REQUESTS,
    SILENCE_SECONDS,
    accepts_requests,
    back_off,
    least_loaded,
    ring_position,
)

SERVICE, MODEL = "s", "m"


def endpoint(number, version=1, service=SERVICE, **fields):
    return Endpoint(f"i-{number}", service, f"10.0.0.{number}:80", "z", 4, {MODEL: version}, **fields)


def endpoints_of(size=6, seed=1, **fields):
    endpoints = Endpoints(random.Random(seed))
    endpoints.apply_listed([endpoint(n, **fields) for n in range(size)])
    return endpoints


def ring_positions(size=300):
    return [ring_position(MODEL, b"p%d" % n) for n in range(size)]


def one_time_positions():
    """Ring positions of prefixes that occur only once."""
    return (ring_position(MODEL, b"cold-%d" % n) for n in count())


class Case(unittest.TestCase):
    def setUp(self):
        self.endpoints = endpoints_of()
        self.pool = self.endpoints.pool(SERVICE)
        self.position = ring_position(MODEL, b"prefix")
        self.walk = self.pool.ring.successors(self.position, 6)

    def pick(self, position=None, now=0.0, version=1, excluded=()):
        return self.pool.select(self.position if position is None else position, now, MODEL, version, excluded)


class Homes(Case):
    def test_a_prefix_stays_at_its_home(self):
        self.assertIs(self.pick(), self.walk[0])
        self.assertIs(self.pick(), self.pool.home(self.position))

    def test_all_routers_choose_the_same_home(self):
        other = Endpoints(random.Random(9))
        other.apply_listed([endpoint(n) for n in reversed(range(6))])
        for position in ring_positions():
            self.assertEqual(other.pool(SERVICE).select(position, 0.0, MODEL, 1, ()).id, self.pick(position).id)

    def test_prefixes_are_spread(self):
        counts = Counter(self.pick(position).id for position in ring_positions(2000))
        self.assertEqual(len(counts), 6)
        self.assertTrue(all(200 < prefixes < 540 for prefixes in counts.values()), counts)

    def test_an_added_or_removed_server_moves_only_its_own_prefixes(self):
        before = {position: self.pick(position).id for position in ring_positions()}
        self.endpoints.apply_listed([endpoint(n) for n in range(5)])
        for position, id in before.items():
            self.assertTrue(self.pick(position).id == id or id == "i-5")
        self.endpoints.apply_listed([endpoint(n) for n in range(7)])
        moved = [self.pick(position).id for position, id in before.items() if self.pick(position).id != id]
        self.assertEqual(set(moved), {"i-6"})

    def test_models_and_prefixes_have_distinct_positions(self):
        places = {ring_position(model, prefix) for model in "mn" for prefix in (b"a", b"b", b"\xff")}
        self.assertEqual(len(places), 6)
        self.assertLess(self.position, 2**32)


class SkippedServers(Case):
    def test_unavailable_servers(self):
        for name, value in (("draining", True), ("loading", True), ("listed", False), ("backed_off_until", 5.0)):
            self.setUp()
            setattr(self.walk[0], name, value)
            self.assertFalse(accepts_requests(self.walk[0], 1.0))
            self.assertIs(self.pick(now=1.0), self.walk[1], name)

    def test_excluded_servers(self):
        self.assertIs(self.pick(excluded={self.walk[0].id, self.walk[1].id}), self.walk[2])

    def test_servers_with_an_older_version(self):
        for server in self.walk[1:]:
            server.versions = {MODEL: 2}
        self.assertIs(self.pick(version=2), self.walk[1])
        self.walk[1].versions = {MODEL: 3}
        self.assertIs(self.pick(version=2), self.walk[1])
        self.walk[1].versions = {"other": 9}
        self.assertIs(self.pick(version=2), self.walk[2])

    def test_a_silent_server(self):
        server = self.walk[0]
        server.on_request_sent(0.0)
        self.assertTrue(accepts_requests(server, SILENCE_SECONDS))
        self.assertFalse(accepts_requests(server, SILENCE_SECONDS + 0.01))
        server.on_bytes_received(11.0)
        self.assertTrue(accepts_requests(server, 11.0))
        server.on_request_ended()
        self.assertTrue(accepts_requests(server, 100.0))  # no request is open
        server.on_request_sent(100.0)
        self.assertTrue(accepts_requests(server, 99.99 + SILENCE_SECONDS))

    def test_back_off_does_not_shorten_a_longer_one(self):
        server = endpoint(1)
        server.backed_off_until = 100.0
        back_off(server, 10.0)
        self.assertEqual(server.backed_off_until, 100.0)

    def test_back_off_doubles_to_its_bound(self):
        server, delays = self.walk[0], []
        for _ in range(20):
            back_off(server, 10.0)
            delays.append(server.backed_off_until - 10.0)
        self.assertEqual(
            delays[:3], [INITIAL_BACKOFF_SECONDS, 2 * INITIAL_BACKOFF_SECONDS, 4 * INITIAL_BACKOFF_SECONDS]
        )
        self.assertEqual(delays[-1], MAX_BACKOFF_SECONDS)
        self.assertFalse(accepts_requests(server, 10.1))
        server.on_bytes_received(10.2)
        self.assertTrue(accepts_requests(server, 10.2))
        back_off(server, 10.0)
        self.assertEqual(server.backed_off_until, 10.0 + INITIAL_BACKOFF_SECONDS)

    def test_no_suitable_server(self):
        self.assertIsNone(self.pick(version=2))
        self.assertIsNone(self.pick(excluded={server.id for server in self.walk}))
        for server in self.walk:
            server.loading = True
        self.assertIsNone(self.pick())
        self.assertIsNone(self.endpoints.pool("unknown").select(self.position, 0.0, MODEL, 0, ()))
        self.assertIsNone(self.endpoints.pool("unknown").home(self.position))

    def test_beyond_the_walk_the_server_with_the_fewest_open_requests(self):
        self.endpoints = endpoints_of(MAX_SUCCESSORS + 4)
        self.pool = self.endpoints.pool(SERVICE)
        walk = self.pool.ring.successors(self.position, MAX_SUCCESSORS + 4)
        for server in walk[:MAX_SUCCESSORS]:
            server.draining = True
        for n, server in enumerate(walk[MAX_SUCCESSORS:]):
            server.open_requests = 5 - n
        self.assertIs(self.pick(), walk[-1])


class LoadLimit(Case):
    def test_over_the_limit_the_next_server_on_the_walk(self):
        limit = next(n for n in range(100) if n >= OVERLOAD_FACTOR * n / 6 + OVERLOAD_SLACK_REQUESTS)
        self.walk[0].open_requests = limit - 1
        self.assertIs(self.pick(), self.walk[0])
        self.walk[0].open_requests = limit
        self.assertIs(self.pick(), self.walk[1])
        self.walk[1].open_requests = self.walk[0].open_requests = 20
        self.assertIs(self.pick(), self.walk[2])

    def test_all_servers_over_the_limit(self):
        """With one server the mean is its own load, so only the additive slack can be exceeded."""
        for server in self.walk[1:]:
            server.draining = True
        self.walk[0].open_requests = 1000
        self.assertIs(self.pick(), self.walk[0])

    def test_an_even_load_moves_nothing(self):
        for server in self.walk:
            server.open_requests = 50
        self.assertIs(self.pick(), self.walk[0])


class HotKey(Case):
    def make_hot(self, epochs=HOT_EPOCHS, now=0.0, share=0.5):
        """Record ``epochs`` epochs in which one prefix has a ``share`` of the requests."""
        others = one_time_positions()
        for _ in range(epochs):
            self.assertGreaterEqual(self.pool.hot_keys.epoch_ends_at, now)
            for n in range(4 * MIN_SAMPLES):
                hot = n < 4 * MIN_SAMPLES * share
                self.pool.record_access(self.position if hot else next(others), now + 0.1 + n / 1000)
            now += 1.0
            self.pool.record_access(next(others), now + 0.05)
            now += 0.05
        return now

    def shadows(self):
        hot = self.pool.hot_keys.get(self.position)
        return hot.shadows if hot is not None else 0

    def test_four_epochs_above_one_share_make_a_prefix_hot(self):
        self.make_hot(HOT_EPOCHS - 1)
        self.assertEqual(self.shadows(), 0)
        self.setUp()
        now = self.make_hot()
        self.assertEqual(self.shadows(), 1)
        self.assertIn(self.pick(now=now), self.walk[:2])
        self.make_hot(3, now)
        self.assertIn(self.shadows(), (2, 3))

    def test_a_prefix_below_one_share_stays_at_its_home(self):
        now = self.make_hot(8, share=0.1)
        self.assertEqual(self.shadows(), 0)
        self.assertIs(self.pick(now=now), self.walk[0])

    def test_shadows_are_never_more_than_other_servers(self):
        self.make_hot(12, share=1.0)
        self.assertEqual(self.shadows(), 5)

    def test_a_replica_is_kept(self):
        seen = set()
        for seed in range(20):
            self.setUp()
            self.pool.random_source.seed(seed)
            now = self.make_hot()
            first = self.pick(now=now)
            self.assertEqual({self.pick(now=now) for _ in range(50)}, {first})
            seen.add(self.walk.index(first))
        self.assertEqual(seen, {0, 1})

    def test_a_hot_prefix_moves_to_another_replica_over_the_limit(self):
        now = self.make_hot()
        first = self.pick(now=now)
        (other,) = (server for server in self.walk[:2] if server is not first)
        first.open_requests, first.last_received_at = 30, now
        self.assertIs(self.pick(now=now), other)
        first.open_requests = 0
        self.assertIs(self.pick(now=now), other)  # the new replica is kept
        first.open_requests, other.open_requests, other.last_received_at = 30, 40, now
        self.assertIs(self.pick(now=now), first)

    def test_an_unavailable_replica_is_not_kept(self):
        now = self.make_hot()
        first = self.pick(now=now)
        first.loading = True
        self.assertIsNot(self.pick(now=now), first)
        first.loading = False
        self.endpoints.apply_listed([endpoint(n) for n in range(6) if f"i-{n}" != first.id])
        self.assertNotIn(first, self.pool.replica_by_position.values())
        self.assertIsNot(self.pick(now=now), first)

    def test_the_shadow_lease_expires(self):
        now, others = self.make_hot(), one_time_positions()
        until = now + SHADOW_LEASE_SECONDS + 3.0
        while now < until:
            for _ in range(2 * MIN_SAMPLES):
                self.pool.record_access(next(others), now)
            now += 1.01
        self.assertEqual(self.shadows(), 0)
        self.assertIs(self.pick(now=now), self.walk[0])


class LeastLoaded(Case):
    def least_loaded(self, first, *others, shared_tokens=0):
        """The index of the server chosen with these pending tokens at the first and other servers; None: unknown."""
        known = zip(self.walk, (first, *others), strict=False)
        pending_tokens = {server.id: tokens for server, tokens in known if tokens is not None}
        found = least_loaded(self.walk[0], self.walk[1 : 1 + len(others)], pending_tokens, shared_tokens)
        return self.walk.index(found)

    def test_only_above_the_load_threshold(self):
        self.assertEqual(self.least_loaded(LOAD_THRESHOLD_TOKENS, 0), 0)
        self.assertEqual(self.least_loaded(LOAD_THRESHOLD_TOKENS + 1, 0), 1)

    def test_ties_keep_the_picked_server(self):
        self.assertEqual(self.least_loaded(LOAD_THRESHOLD_TOKENS + 1, LOAD_THRESHOLD_TOKENS + 1), 0)
        self.assertEqual(self.least_loaded(LOAD_THRESHOLD_TOKENS + 1, LOAD_THRESHOLD_TOKENS), 1)
        self.assertEqual(self.least_loaded(9000, 5, 5), 1)

    def test_the_cost_of_moving_shared_tokens_counts(self):
        self.assertEqual(self.least_loaded(4000, 1000, shared_tokens=int(3000 / MOVE_COST_FRACTION)), 0)
        self.assertEqual(self.least_loaded(4001, 1000, shared_tokens=int(3000 / MOVE_COST_FRACTION)), 1)

    def test_the_least_loaded_server(self):
        self.assertEqual(self.least_loaded(9000, 500, 400), 2)
        self.assertEqual(self.least_loaded(9000, 9500, 9100), 0)

    def test_unknown_loads(self):
        self.assertEqual(self.least_loaded(None, 0), 0)
        self.assertEqual(self.least_loaded(9000, None), 0)
        self.assertEqual(self.least_loaded(9000, None, 5000), 2)
        self.assertEqual(self.least_loaded(None, None), 0)
        self.assertEqual(self.least_loaded(9000), 0)

    def test_alternatives(self):
        def others(excluded=()):
            return self.pool.alternatives(self.position, 1.0, MODEL, self.walk[0], excluded)

        self.assertEqual(others(), self.walk[1 : 1 + MAX_ALTERNATIVES])
        self.walk[1].loading = True
        self.assertEqual(others(), self.walk[2 : 2 + MAX_ALTERNATIVES])
        self.assertEqual(others({self.walk[2].id}), self.walk[3 : 3 + MAX_ALTERNATIVES])
        for server in self.walk[:2]:
            server.versions, server.loading = {MODEL: 2}, False
        self.assertEqual(others(), [self.walk[1]])


class Sources(Case):
    """The server from which another may fetch the shared blocks of a prompt."""

    def source(self, endpoint, shared_tokens=MIN_HOME_FETCH_TOKENS, version=1):
        request = mock.Mock(model=MODEL, shared_tokens=shared_tokens)
        return transfer_source(self.pool, request, self.position, version, endpoint, 0.0)

    def test_the_home_is_the_source_for_other_servers(self):
        self.assertEqual([self.source(other, 10) for other in self.walk[1:]], [self.walk[0]] * 5)

    def test_the_next_server_is_the_source_for_the_home(self):
        self.assertIs(self.source(self.walk[0]), self.walk[1])
        self.assertIsNone(self.source(self.walk[0], MIN_HOME_FETCH_TOKENS - 1))

    def test_unavailable_servers_and_other_versions_are_skipped(self):
        self.walk[1].loading = True
        self.assertIs(self.source(self.walk[0]), self.walk[2])
        self.walk[0].versions = {MODEL: 2}
        self.assertIs(self.source(self.walk[1]), self.walk[2])
        self.walk[2].draining = True
        self.assertIsNone(self.source(self.walk[1]))  # the fourth server is no candidate


class AppliedLists(Case):
    def apply(self, *endpoints):
        return self.endpoints.apply_listed([endpoint(n) for n in range(1, 6)] + list(endpoints))

    def test_an_unchanged_list(self):
        before = dict(self.endpoints.by_id)
        self.assertEqual(self.apply(endpoint(0)), [])
        self.assertEqual(self.endpoints.by_id, before)

    def test_the_state_of_a_listed_server_is_kept(self):
        server = self.endpoints.by_id["i-0"]
        server.on_request_sent(5.0)
        self.assertEqual(self.apply(endpoint(0, 7, loading=True)), [])
        self.assertIs(self.endpoints.by_id["i-0"], server)
        self.assertEqual((server.open_requests, server.versions, server.loading), (1, {MODEL: 7}, True))

    def test_a_server_is_removed(self):
        server = self.endpoints.by_id["i-0"]
        self.assertEqual(self.apply(), [server])
        self.assertFalse(server.listed or "i-0" in self.endpoints.by_id or server in self.pool.servers)
        self.assertNotIn(server, {self.pick(position) for position in ring_positions()})

    def test_all_servers_are_removed(self):
        self.assertEqual(len(self.endpoints.apply_listed([])), 6)
        self.assertIsNone(self.pick())

    def test_an_address_with_a_new_id(self):
        old, new = self.endpoints.by_id["i-0"], endpoint(0)
        new.id = "i-0-next"
        self.assertEqual(self.apply(new), [old])
        self.assertFalse(old.listed)
        self.assertIs(self.endpoints.by_id["i-0-next"], new)
        self.assertTrue(new.listed and new in self.pool.servers and old not in self.pool.servers)

    def test_an_id_with_a_new_address_or_service(self):
        for name, value in (("address", "10.9.9.9:80"), ("service", "t")):
            self.setUp()
            old, new = self.endpoints.by_id["i-0"], endpoint(0)
            own_positions = [position for position in ring_positions() if self.pick(position) is old]
            setattr(new, name, value)
            self.assertEqual(self.apply(new), [old])
            self.assertFalse(old.listed)
            self.assertIs(self.endpoints.by_id["i-0"], new)
            self.assertEqual(new in self.pool.servers, name == "address")
            for position in own_positions:
                self.assertEqual(self.pick(position) is new, name == "address")
        self.assertIs(self.endpoints.pool("t").select(self.position, 0.0, MODEL, 1, ()), new)

    def test_draining_and_back(self):
        server = self.endpoints.by_id["i-0"]
        own_positions = [position for position in ring_positions() if self.pick(position) is server]
        self.assertTrue(own_positions)
        self.assertEqual(self.apply(endpoint(0, draining=True)), [])
        self.assertTrue(server.listed and server.draining and server not in self.pool.servers)
        self.assertNotIn(server, {self.pick(position) for position in own_positions})
        self.assertEqual(self.apply(endpoint(0)), [])
        self.assertEqual({self.pick(position) for position in own_positions}, {server})

    def test_removed_and_back(self):
        old = self.endpoints.by_id["i-0"]
        self.apply()
        self.assertEqual(self.apply(endpoint(0)), [])
        self.assertIsNot(self.endpoints.by_id["i-0"], old)
        self.assertIn(self.endpoints.by_id["i-0"], self.pool.servers)

    def test_random_lists(self):
        random_source = random.Random(4)
        for _ in range(150):
            wanted = [
                endpoint(
                    n, random_source.randrange(3), random_source.choice("st"), draining=random_source.random() < 0.2
                )
                for n in range(12)
                if random_source.random() < 0.7
            ]
            before = set(self.endpoints.by_id.values())
            removed = self.endpoints.apply_listed(wanted)
            now = set(self.endpoints.by_id.values())
            self.assertEqual(set(removed), before - now)
            self.assertEqual(len(removed), len(set(removed)))
            self.assertFalse(any(server.listed for server in removed))
            self.assertTrue(all(server.listed for server in now))
            self.assertEqual(
                {(server.id, server.service, server.draining, *server.versions.items()) for server in now},
                {(server.id, server.service, server.draining, *server.versions.items()) for server in wanted},
            )
            for service in "st":
                ready = {server for server in now if server.service == service and not server.draining}
                pool = self.endpoints.pool(service)
                self.assertEqual((set(pool.servers), set(pool.ring.points_by_owner)), (ready, ready))


if __name__ == "__main__":
    unittest.main()
