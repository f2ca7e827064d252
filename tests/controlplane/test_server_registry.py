"""The primary's registry of servers, and the choice of the next server to load."""

import random
import unittest

from rowanshift.controlplane.registered_server import FailedLoads, RegisteredServer
from rowanshift.controlplane.server_registry import (
    FAILED_LOAD_RETRY_SECONDS,
    MAX_LOADING_FRACTION,
    ServerRegistry,
)


def listed_server(id, version=1, service="s", draining=False, **fields):
    return RegisteredServer(id, service, f"10.0.0.1:{id[-1]}", "z", 1, draining, {"m": version}, **fields)


def registry_with(*servers):
    registry = ServerRegistry()
    registry.apply_list(list(servers))
    return registry


class AppliedLists(unittest.TestCase):
    def test_a_list_is_applied(self):
        registry = registry_with(listed_server("a"), listed_server("b"))
        self.assertEqual([record.id for record in registry.records()], ["a", "b"])
        self.assertEqual(registry.serial, 1)

    def test_an_empty_first_list_counts_as_read(self):
        registry = ServerRegistry()
        self.assertTrue(registry.apply_list([]))
        self.assertEqual(registry.serial, 1)
        self.assertFalse(registry.apply_list([]))

    def test_the_same_list_changes_nothing(self):
        registry = registry_with(listed_server("a"), listed_server("b"))
        self.assertFalse(registry.apply_list([listed_server("b"), listed_server("a")]))
        self.assertEqual(registry.serial, 1)

    def test_each_change_of_a_list_raises_the_serial(self):
        for servers in (
            [listed_server("a")],
            [listed_server("a"), listed_server("b"), listed_server("c")],
            [listed_server("a"), listed_server("b", 2)],
            [listed_server("a"), listed_server("b", draining=True)],
            [listed_server("a"), listed_server("b", service="t")],
        ):
            registry = registry_with(listed_server("a"), listed_server("b"))
            self.assertTrue(registry.apply_list(servers))
            self.assertEqual(registry.serial, 2)

    def test_versions_never_decrease_for_an_incarnation(self):
        registry = registry_with(listed_server("a", 3))
        self.assertFalse(registry.apply_list([listed_server("a", 2)]))
        self.assertEqual(registry.servers["a"].versions, {"m": 3})
        registry.load_succeeded("a", "m", 5, 0.0)
        registry.load_succeeded("a", "m", 4, 0.0)
        registry.apply_list([listed_server("a", 3)])
        self.assertEqual(registry.servers["a"].versions, {"m": 5})
        registry.apply_list([listed_server("b", 1)])  # a new incarnation starts with the version in the list
        self.assertEqual(registry.servers["b"].versions, {"m": 1})
        registry.apply_list([listed_server("a", 2)])
        self.assertEqual(registry.servers["a"].versions, {"m": 2})

    def test_versions_never_decrease_after_random_lists_and_loads(self):
        random_source, registry, highest_versions = random.Random(2), ServerRegistry(), {}
        for _ in range(2000):
            id, version = random_source.choice("abc"), random_source.randrange(50)
            if random_source.random() < 0.5:
                registry.apply_list([listed_server(each, random_source.randrange(50)) for each in "abc"])
            else:
                registry.load_succeeded(id, "m", version, 0.0)
            for each, server in registry.servers.items():
                self.assertGreaterEqual(server.versions["m"], highest_versions.get(each, 0))
                highest_versions[each] = server.versions["m"]

    def test_a_model_that_is_missing_in_a_later_list_is_kept(self):
        registry = registry_with(listed_server("a", 3))
        server_without_models = listed_server("a")
        server_without_models.versions = {}
        registry.apply_list([server_without_models])
        self.assertEqual(registry.servers["a"].versions, {"m": 3})

    def test_the_state_of_a_load_survives_a_new_list(self):
        registry = registry_with(listed_server("a"))
        registry.load_started(registry.servers["a"], 0.0)
        registry.apply_list([listed_server("a")])
        self.assertTrue(registry.servers["a"].loading)
        registry.load_failed("a", "m", 10.0)
        registry.apply_list([listed_server("a")])
        server = registry.servers["a"]
        self.assertEqual(
            (server.loading, server.failed_loads), (False, {"m": FailedLoads(1, 10.0 + FAILED_LOAD_RETRY_SECONDS)})
        )

    def test_a_load_that_ends_at_an_unlisted_server_changes_nothing(self):
        registry = registry_with(listed_server("a"))
        registry.load_failed("gone", "m", 1.0)
        registry.load_succeeded("gone", "m", 2, 0.0)
        self.assertEqual((registry.serial, set(registry.servers)), (1, {"a"}))


class NextLoads(unittest.TestCase):
    def start_loads(self, registry, version=2, now=0.0):
        ids = []
        while (order := registry.next_load({"m": version}, now)) is not None:
            self.assertEqual(order[1:], ("m", version))
            registry.load_started(order[0], 0.0)
            ids.append(order[0].id)
        return ids

    def test_a_fraction_of_the_servers_and_at_least_one_loads_at_once(self):
        for count in range(1, 30):
            registry = registry_with(*(listed_server(f"i{n:02}") for n in range(count)))
            self.assertEqual(len(self.start_loads(registry)), max(1, int(MAX_LOADING_FRACTION * count)))

    def roll_out(self, count, load_seconds, bound_seconds, ends_at=1000.0):
        """Roll out a version, with loads of ``load_seconds`` each.

        Returns the maximum number of concurrent loads and the time at which the last one ended.
        """
        registry = registry_with(*(listed_server(f"i{n:02}") for n in range(count)))
        registry.rollout_seconds = bound_seconds
        end_times, max_loads, now = {}, 0, 0.0
        while any(server.versions["m"] < 2 for server in registry.servers.values()):
            while (order := registry.next_load({"m": 2}, now)) is not None:
                registry.load_started(order[0], now)
                end_times[order[0].id] = now + load_seconds
            max_loads = max(max_loads, len(end_times))
            now = min(end_times.values())
            for id in [id for id, at in end_times.items() if at <= now]:
                registry.load_succeeded(id, "m", 2, now)
                del end_times[id]
        return max_loads, now

    def test_as_few_servers_load_at_once_as_meet_the_bound(self):
        for count, load_seconds, bound_seconds, load_limit in (
            (23, 1.5, 9.0, 7),
            (70, 1.2, 6.0, 22),
            (5, 1.0, 4.8, 3),
            (23, 0.5, 9.0, 5),
        ):
            max_loads, at = self.roll_out(count, load_seconds, bound_seconds)
            self.assertLess(max_loads, load_limit)
            self.assertLessEqual(at, bound_seconds + load_seconds)

    def test_without_a_bound_the_allowed_maximum_loads(self):
        max_loads, _ = self.roll_out(20, 1.0, 0.0)
        self.assertEqual(max_loads, int(MAX_LOADING_FRACTION * 20))

    def test_the_allowed_maximum_loads_if_loads_take_longer_than_the_bound(self):
        max_loads, _ = self.roll_out(20, 30.0, 9.0)
        self.assertEqual(max_loads, int(MAX_LOADING_FRACTION * 20))

    def test_the_allowed_maximum_loads_if_another_primary_began_the_rollout(self):
        registry = registry_with(listed_server("a", 2), *(listed_server(f"i{n:02}") for n in range(19)))
        registry.rollout_seconds = 1000.0
        self.assertEqual(len(self.start_loads(registry)), int(MAX_LOADING_FRACTION * 20))

    def test_each_service_has_its_own_fraction(self):
        registry = registry_with(
            *(listed_server(f"{service}{n}", service=service) for service in "st" for n in range(5))
        )
        self.assertEqual(sorted(self.start_loads(registry)), ["s0", "s1", "t0", "t1"])

    def test_all_servers_have_the_version_in_the_end(self):
        registry, rounds = registry_with(*(listed_server(f"i{n:02}") for n in range(17))), 0
        while ids := self.start_loads(registry):
            rounds += 1
            self.assertLessEqual(len(ids), int(MAX_LOADING_FRACTION * 17))
            for id in ids:
                registry.load_succeeded(id, "m", 2, 0.0)
        self.assertEqual({server.versions["m"] for server in registry.servers.values()}, {2})
        self.assertEqual(rounds, 3)

    def test_no_load_if_all_servers_have_the_version(self):
        registry = registry_with(listed_server("a", 2), listed_server("b", 3))
        self.assertIsNone(registry.next_load({"m": 2}, 0.0))
        self.assertIsNone(registry.next_load({}, 0.0))
        self.assertIsNone(registry.next_load({"other": 9}, 0.0))
        self.assertIsNone(ServerRegistry().next_load({"m": 2}, 0.0))

    def test_a_draining_server_is_not_ordered(self):
        registry = registry_with(listed_server("a", draining=True), listed_server("b"))
        self.assertEqual(self.start_loads(registry), ["b"])
        self.assertEqual(self.start_loads(registry_with(listed_server("a", draining=True))), [])

    def test_draining_servers_do_not_count_for_the_fraction(self):
        registry = registry_with(
            *(listed_server(f"d{n}", draining=True) for n in range(10)), listed_server("a"), listed_server("b")
        )
        self.assertEqual(self.start_loads(registry), ["a"])

    def test_servers_with_failed_loads_are_ordered_last(self):
        registry = registry_with(listed_server("a"), listed_server("b"), listed_server("c"))
        for id in "aab":
            registry.load_failed(id, "m", 0.0)
        order = []
        while (pending := registry.next_load({"m": 2}, 100.0)) is not None:
            order.append(pending[0].id)
            registry.load_started(pending[0], 0.0)
            registry.load_succeeded(pending[0].id, "m", 2, 0.0)
        self.assertEqual(order, ["c", "b", "a"])

    def test_a_failed_load_is_retried_after_a_delay(self):
        registry = registry_with(listed_server("a"))
        registry.load_started(registry.servers["a"], 0.0)
        registry.load_failed("a", "m", 5.0)
        self.assertIsNone(registry.next_load({"m": 2}, 5.0))
        self.assertIsNone(registry.next_load({"m": 2}, 5.0 + FAILED_LOAD_RETRY_SECONDS - 0.01))
        self.assertEqual(registry.next_load({"m": 2}, 5.0 + FAILED_LOAD_RETRY_SECONDS)[0].id, "a")

    def test_after_a_failed_load_another_server_may_load(self):
        registry = registry_with(listed_server("a"), listed_server("b"))
        self.assertEqual(self.start_loads(registry), ["a"])
        registry.load_failed("a", "m", 0.0)
        self.assertEqual(self.start_loads(registry), ["b"])

    def test_a_failed_load_of_one_model_does_not_delay_another(self):
        server_with_two_models = listed_server("a")
        server_with_two_models.versions["n"] = 1
        registry = registry_with(server_with_two_models)
        registry.load_failed("a", "n", 5.0)
        self.assertEqual((registry.next_load({"m": 2, "n": 2}, 5.0) or (None, None))[1], "m")
        self.assertEqual(registry.next_load({"n": 2}, 5.0), None)
        self.assertEqual(registry.next_load({"n": 2}, 5.0 + FAILED_LOAD_RETRY_SECONDS)[1], "n")

    def test_failures_of_one_model_do_not_postpone_another(self):
        first, second = listed_server("a"), listed_server("b")
        first.versions["n"] = second.versions["n"] = 1
        registry = registry_with(first, second)
        registry.load_failed("a", "n", 0.0)
        self.assertEqual(registry.next_load({"m": 2}, 100.0)[0].id, "a")
        self.assertEqual(registry.next_load({"n": 2}, 100.0)[0].id, "b")

    def test_a_load_of_one_model_keeps_the_failures_of_another(self):
        server_with_two_models = listed_server("a")
        server_with_two_models.versions["n"] = 1
        registry = registry_with(server_with_two_models)
        registry.load_failed("a", "n", 0.0)
        registry.load_succeeded("a", "m", 2, 0.1)
        self.assertIsNone(registry.next_load({"n": 2}, 0.2))

    def test_a_server_may_run_a_second_model(self):
        server_with_two_models = listed_server("a", 2)
        server_with_two_models.versions["n"] = 1
        pending = registry_with(server_with_two_models).next_load({"m": 2, "n": 4}, 0.0)
        self.assertEqual((pending[0].id, *pending[1:]), ("a", "n", 4))


if __name__ == "__main__":
    unittest.main()
