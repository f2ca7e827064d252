"""The registry of servers as the primary keeps it, and which of them loads next."""

import random
import unittest

from rowanshift.controlplane.registered_server import FailedLoads, RegisteredServer
from rowanshift.controlplane.server_registry import (
    FAILED_LOAD_RETRY_SECONDS,
    MAX_LOADING_FRACTION,
    ServerRegistry,
)


def known(id, version=1, service="s", draining=False, **more):
    return RegisteredServer(id, service, f"10.0.0.1:{id[-1]}", "z", 1, draining, {"m": version}, **more)


def registry(*servers):
    made = ServerRegistry()
    made.apply_list(list(servers))
    return made


class AppliedLists(unittest.TestCase):
    def test_a_list_is_applied(self):
        made = registry(known("a"), known("b"))
        self.assertEqual([row.id for row in made.records()], ["a", "b"])
        self.assertEqual(made.serial, 1)

    def test_an_empty_first_list_counts_as_read(self):
        made = ServerRegistry()
        self.assertTrue(made.apply_list([]))
        self.assertEqual(made.serial, 1)
        self.assertFalse(made.apply_list([]))

    def test_the_same_list_changes_nothing(self):
        made = registry(known("a"), known("b"))
        self.assertFalse(made.apply_list([known("b"), known("a")]))
        self.assertEqual(made.serial, 1)

    def test_each_change_of_a_list_raises_the_serial(self):
        for servers in (
            [known("a")],
            [known("a"), known("b"), known("c")],
            [known("a"), known("b", 2)],
            [known("a"), known("b", draining=True)],
            [known("a"), known("b", service="t")],
        ):
            made = registry(known("a"), known("b"))
            self.assertTrue(made.apply_list(servers))
            self.assertEqual(made.serial, 2)

    def test_versions_never_go_back_for_an_incarnation(self):
        made = registry(known("a", 3))
        self.assertFalse(made.apply_list([known("a", 2)]))
        self.assertEqual(made.servers["a"].versions, {"m": 3})
        made.load_succeeded("a", "m", 5, 0.0)
        made.load_succeeded("a", "m", 4, 0.0)
        made.apply_list([known("a", 3)])
        self.assertEqual(made.servers["a"].versions, {"m": 5})
        made.apply_list([known("b", 1)])  # the next one begins as it says
        self.assertEqual(made.servers["b"].versions, {"m": 1})
        made.apply_list([known("a", 2)])
        self.assertEqual(made.servers["a"].versions, {"m": 2})

    def test_versions_never_go_back_whatever_comes(self):
        random_source, made, best = random.Random(2), ServerRegistry(), {}
        for _ in range(2000):
            id, version = random_source.choice("abc"), random_source.randrange(50)
            if random_source.random() < 0.5:
                made.apply_list([known(each, random_source.randrange(50)) for each in "abc"])
            else:
                made.load_succeeded(id, "m", version, 0.0)
            for each, server in made.servers.items():
                self.assertGreaterEqual(server.versions["m"], best.get(each, 0))
                best[each] = server.versions["m"]

    def test_a_model_that_the_list_lost_stays(self):
        made = registry(known("a", 3))
        one = known("a")
        one.versions = {}
        made.apply_list([one])
        self.assertEqual(made.servers["a"].versions, {"m": 3})

    def test_the_course_of_a_load_outlives_a_list(self):
        made = registry(known("a"))
        made.load_started(made.servers["a"], 0.0)
        made.apply_list([known("a")])
        self.assertTrue(made.servers["a"].loading)
        made.load_failed("a", "m", 10.0)
        made.apply_list([known("a")])
        server = made.servers["a"]
        self.assertEqual(
            (server.loading, server.failed_loads), (False, {"m": FailedLoads(1, 10.0 + FAILED_LOAD_RETRY_SECONDS)})
        )

    def test_a_load_that_ends_at_an_unlisted_server_changes_nothing(self):
        made = registry(known("a"))
        made.load_failed("gone", "m", 1.0)
        made.load_succeeded("gone", "m", 2, 0.0)
        self.assertEqual((made.serial, set(made.servers)), (1, {"a"}))


class NextLoads(unittest.TestCase):
    def begun(self, made, version=2, now=0.0):
        ids = []
        while (order := made.next_load({"m": version}, now)) is not None:
            self.assertEqual(order[1:], ("m", version))
            made.load_started(order[0], 0.0)
            ids.append(order[0].id)
        return ids

    def test_a_fraction_of_servers_loads_at_once_and_one_at_least(self):
        for count in range(1, 30):
            made = registry(*(known(f"i{n:02}") for n in range(count)))
            self.assertEqual(len(self.begun(made)), max(1, int(MAX_LOADING_FRACTION * count)))

    def rolled_out(self, count, takes, within, ends_at=1000.0):
        """The most that loaded at once, and when the last had loaded, where each load takes so long."""
        made = registry(*(known(f"i{n:02}") for n in range(count)))
        made.rollout_seconds = within
        ends, most, now = {}, 0, 0.0
        while any(server.versions["m"] < 2 for server in made.servers.values()):
            while (order := made.next_load({"m": 2}, now)) is not None:
                made.load_started(order[0], now)
                ends[order[0].id] = now + takes
            most = max(most, len(ends))
            now = min(ends.values())
            for id in [id for id, at in ends.items() if at <= now]:
                made.load_succeeded(id, "m", 2, now)
                del ends[id]
        return most, now

    def test_as_few_at_once_as_end_in_time(self):
        for count, takes, within, fewer_than in (
            (23, 1.5, 9.0, 7),
            (70, 1.2, 6.0, 22),
            (5, 1.0, 4.8, 3),
            (23, 0.5, 9.0, 5),
        ):
            most, at = self.rolled_out(count, takes, within)
            self.assertLess(most, fewer_than)
            self.assertLessEqual(at, within + takes)

    def test_without_a_bound_as_many_load_as_may(self):
        most, _ = self.rolled_out(20, 1.0, 0.0)
        self.assertEqual(most, int(MAX_LOADING_FRACTION * 20))

    def test_as_many_load_as_may_where_loads_take_longer_than_the_bound(self):
        most, _ = self.rolled_out(20, 30.0, 9.0)
        self.assertEqual(most, int(MAX_LOADING_FRACTION * 20))

    def test_as_many_load_as_may_where_another_primary_began_the_rollout(self):
        made = registry(known("a", 2), *(known(f"i{n:02}") for n in range(19)))
        made.rollout_seconds = 1000.0
        self.assertEqual(len(self.begun(made)), int(MAX_LOADING_FRACTION * 20))

    def test_each_service_has_its_own_fraction(self):
        made = registry(*(known(f"{service}{n}", service=service) for service in "st" for n in range(5)))
        self.assertEqual(sorted(self.begun(made)), ["s0", "s1", "t0", "t1"])

    def test_all_have_it_in_the_end(self):
        made, rounds = registry(*(known(f"i{n:02}") for n in range(17))), 0
        while ids := self.begun(made):
            rounds += 1
            self.assertLessEqual(len(ids), int(MAX_LOADING_FRACTION * 17))
            for id in ids:
                made.load_succeeded(id, "m", 2, 0.0)
        self.assertEqual({server.versions["m"] for server in made.servers.values()}, {2})
        self.assertEqual(rounds, 3)

    def test_no_load_where_all_servers_have_the_version(self):
        made = registry(known("a", 2), known("b", 3))
        self.assertIsNone(made.next_load({"m": 2}, 0.0))
        self.assertIsNone(made.next_load({}, 0.0))
        self.assertIsNone(made.next_load({"other": 9}, 0.0))
        self.assertIsNone(ServerRegistry().next_load({"m": 2}, 0.0))

    def test_a_draining_server_is_not_ordered(self):
        made = registry(known("a", draining=True), known("b"))
        self.assertEqual(self.begun(made), ["b"])
        self.assertEqual(self.begun(registry(known("a", draining=True))), [])

    def test_draining_servers_do_not_count_for_the_fraction(self):
        made = registry(*(known(f"d{n}", draining=True) for n in range(10)), known("a"), known("b"))
        self.assertEqual(self.begun(made), ["a"])

    def test_servers_with_failed_loads_come_last(self):
        made = registry(known("a"), known("b"), known("c"))
        for id in "aab":
            made.load_failed(id, "m", 0.0)
        order = []
        while (found := made.next_load({"m": 2}, 100.0)) is not None:
            order.append(found[0].id)
            made.load_started(found[0], 0.0)
            made.load_succeeded(found[0].id, "m", 2, 0.0)
        self.assertEqual(order, ["c", "b", "a"])

    def test_a_failed_load_is_retried_after_a_while(self):
        made = registry(known("a"))
        made.load_started(made.servers["a"], 0.0)
        made.load_failed("a", "m", 5.0)
        self.assertIsNone(made.next_load({"m": 2}, 5.0))
        self.assertIsNone(made.next_load({"m": 2}, 5.0 + FAILED_LOAD_RETRY_SECONDS - 0.01))
        self.assertEqual(made.next_load({"m": 2}, 5.0 + FAILED_LOAD_RETRY_SECONDS)[0].id, "a")

    def test_a_failed_load_lets_another_begin(self):
        made = registry(known("a"), known("b"))
        self.assertEqual(self.begun(made), ["a"])
        made.load_failed("a", "m", 0.0)
        self.assertEqual(self.begun(made), ["b"])

    def test_a_failed_load_of_one_model_delays_no_other(self):
        one = known("a")
        one.versions["n"] = 1
        made = registry(one)
        made.load_failed("a", "n", 5.0)
        self.assertEqual((made.next_load({"m": 2, "n": 2}, 5.0) or (None, None))[1], "m")
        self.assertEqual(made.next_load({"n": 2}, 5.0), None)
        self.assertEqual(made.next_load({"n": 2}, 5.0 + FAILED_LOAD_RETRY_SECONDS)[1], "n")

    def test_failures_of_one_model_put_a_server_back_for_no_other(self):
        first, second = known("a"), known("b")
        first.versions["n"] = second.versions["n"] = 1
        made = registry(first, second)
        made.load_failed("a", "n", 0.0)
        self.assertEqual(made.next_load({"m": 2}, 100.0)[0].id, "a")
        self.assertEqual(made.next_load({"n": 2}, 100.0)[0].id, "b")

    def test_a_load_of_one_model_ends_no_failures_of_another(self):
        one = known("a")
        one.versions["n"] = 1
        made = registry(one)
        made.load_failed("a", "n", 0.0)
        made.load_succeeded("a", "m", 2, 0.1)
        self.assertIsNone(made.next_load({"n": 2}, 0.2))

    def test_a_server_may_run_a_second_model(self):
        one = known("a", 2)
        one.versions["n"] = 1
        found = registry(one).next_load({"m": 2, "n": 4}, 0.0)
        self.assertEqual((found[0].id, *found[1:]), ("a", "n", 4))


if __name__ == "__main__":
    unittest.main()
