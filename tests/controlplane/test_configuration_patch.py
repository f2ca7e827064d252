"""``PATCH /config``: the resulting configuration, rejected patches, and repeated patches."""

import copy
import random
import unittest
from typing import Any
from unittest import mock

import orjson
import trio

from rowanshift.controlplane import configuration_change, control_state
from rowanshift.controlplane.configuration_change import patch_config, put_config
from rowanshift.controlplane.configuration_patch import MAX_QUOTED_NAME_CHARACTERS, NAMED_LISTS, apply_patch
from rowanshift.controlplane.control_state import ControlState, unpack
from rowanshift.controlplane.errors import InvalidConfiguration, OrderTooOld, StaleMatch
from rowanshift.invariants.facts import ConfigAnswered, ConfigRead, OrderReplied
from rowanshift.simulation.fleet import Fleet, config_of, play, routes_of


def route(name: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "hostname": "h.test", "pathPrefix": f"/{name}/", "backend": "s", "timeoutMs": 10} | more


def sample_configuration(revision: int = 1, **more: Any) -> dict[str, Any]:
    return {
        "revision": revision,
        "routes": [route("a"), route("b"), route("c")],
        "backends": [{"name": "s"}, {"name": "t", "zone": "z"}],
        "tenants": [{"name": "x", "apiKeys": ["k1"]}, {"name": "y", "apiKeys": ["k2"]}],
        "limits": {"maxBodyBytes": 1000},
        "unknown": [1],
    } | more


def state_with(config: dict[str, Any] | None = None) -> ControlState:
    result = put_config(ControlState(), "0", orjson.dumps(sample_configuration() if config is None else config))
    assert result is not None
    return result[0]


def state_after_patch(
    state: ControlState, document: dict[str, Any], if_match: str | None = None
) -> ControlState | None:
    result = patch_config(state, str(state.revision) if if_match is None else if_match, orjson.dumps(document))
    return None if result is None else result[0]


class AppliedPatches(unittest.TestCase):
    """The configurations that result from patches."""

    def patched_config(self, document: dict[str, Any], base: dict[str, Any] | None = None) -> dict[str, Any]:
        state = state_after_patch(state_with(base), {"revision": 2} | document)
        assert state is not None
        self.assertEqual(state.revision, 2)
        return orjson.loads(state.config)

    def test_an_item_replaces_the_one_of_its_name(self) -> None:
        new = route("b", timeoutMs=99)
        self.assertEqual(
            self.patched_config({"upsert": {"routes": [new]}}),
            sample_configuration(2, routes=[route("a"), new, route("c")]),
        )

    def test_a_new_item_is_added_at_the_end(self) -> None:
        self.assertEqual(
            self.patched_config({"upsert": {"routes": [route("d")], "backends": [{"name": "u"}]}}),
            sample_configuration(
                2,
                routes=[*sample_configuration()["routes"], route("d")],
                backends=[*sample_configuration()["backends"], {"name": "u"}],
            ),
        )

    def test_named_items_are_removed(self) -> None:
        self.assertEqual(
            self.patched_config({"remove": {"routes": ["a", "c"], "backends": ["t"], "tenants": ["y"]}}),
            sample_configuration(
                2, routes=[route("b")], backends=[{"name": "s"}], tenants=sample_configuration()["tenants"][:1]
            ),
        )

    def test_removing_an_absent_name_changes_nothing(self) -> None:
        self.assertEqual(self.patched_config({"remove": {"routes": ["never"]}}), sample_configuration(2))

    def test_an_empty_patch_changes_the_revision_alone(self) -> None:
        for document in ({}, {"upsert": {}, "remove": {}}, {"upsert": None}, {"upsert": {"routes": []}}, {"more": 3}):
            with self.subTest(document=document):
                self.assertEqual(self.patched_config(document), sample_configuration(2))

    def test_all_tenants_are_removed(self) -> None:
        """With an empty list of tenants no API key is valid; without the list, keys would not be checked."""
        self.assertEqual(self.patched_config({"remove": {"tenants": ["x", "y"]}}), sample_configuration(2, tenants=[]))

    def test_absent_lists_are_created(self) -> None:
        base = {"revision": 1}
        result = self.patched_config({"upsert": {"backends": [{"name": "s"}], "routes": [route("a")]}}, base)
        self.assertEqual(result, {"revision": 2, "backends": [{"name": "s"}], "routes": [route("a")]})
        self.assertEqual(self.patched_config({"remove": {"tenants": ["x"]}}, base), {"revision": 2, "tenants": []})

    def test_a_service_moves_with_its_route(self) -> None:
        moved = [route(name, backend="u") for name in "abc"]
        result = self.patched_config(
            {"upsert": {"routes": moved, "backends": [{"name": "u"}]}, "remove": {"backends": ["s", "t"]}}
        )
        self.assertEqual(result, sample_configuration(2, routes=moved, backends=[{"name": "u"}]))

    def test_items_with_the_same_name_become_one_or_none(self) -> None:
        base = sample_configuration(routes=[route("a"), route("a", pathPrefix="/2/"), route("b")])
        new = route("a", pathPrefix="/3/")
        self.assertEqual(
            self.patched_config({"upsert": {"routes": [new]}}, base), sample_configuration(2, routes=[new, route("b")])
        )
        self.assertEqual(
            self.patched_config({"remove": {"routes": ["a"]}}, base), sample_configuration(2, routes=[route("b")])
        )

    def test_a_patch_may_be_the_first_configuration(self) -> None:
        state = state_after_patch(ControlState(), {"revision": 3, "upsert": {"backends": [{"name": "s"}]}})
        assert state is not None
        self.assertEqual(orjson.loads(state.config), {"revision": 3, "backends": [{"name": "s"}]})

    def test_the_base_is_not_changed(self) -> None:
        base = sample_configuration()
        before = copy.deepcopy(base)
        apply_patch(base, {"revision": 2, "upsert": {"routes": [route("b"), route("d")]}, "remove": {"routes": ["a"]}})
        self.assertEqual(base, before)

    def test_random_patches_match_a_dictionary_model(self) -> None:
        random_source = random.Random(31)
        for _ in range(300):
            names = [f"n{n}" for n in random_source.sample(range(12), random_source.randrange(12))]
            base = {"revision": 1, "routes": [route(name) for name in names]}
            changed = random_source.sample(range(16), random_source.randrange(6))
            items = [route(f"n{n}", timeoutMs=random_source.randrange(1, 9)) for n in changed]
            removed_names = [
                f"n{n}" for n in random_source.sample(range(16), random_source.randrange(6)) if n not in changed
            ]
            result = apply_patch(
                base, {"revision": 2, "upsert": {"routes": items}, "remove": {"routes": removed_names}}
            )
            expected_items = {
                item["name"]: item for item in [*base["routes"], *items] if item["name"] not in removed_names
            }
            self.assertEqual(result["routes"], list(expected_items.values()))


INVALID = {  # invalid patches, each with the expected path and reason
    "no revision": ({}, "revision: expected an integer, found null"),
    "revision not above": ({"revision": 1}, "revision: expected a revision above the current 1, found 1"),
    "revision out of range": ({"revision": 0}, "revision: expected a number from 1"),
    "upsert is not an object": ({"upsert": [1]}, "upsert: expected an object, found list"),
    "remove is not an object": ({"remove": "a"}, "remove: expected an object, found str"),
    "unknown list": ({"upsert": {"limits": []}}, "upsert.limits: unknown list, expected one of"),
    "unknown list of names": ({"remove": {"keys": []}}, "remove.keys: unknown list, expected one of"),
    "items are not a list": ({"upsert": {"routes": {}}}, "upsert.routes: expected a list, found dict"),
    "names are not a list": ({"remove": {"routes": "a"}}, "remove.routes: expected a list, found str"),
    "item is not an object": ({"upsert": {"routes": [1]}}, "upsert.routes[0]: expected an object, found int"),
    "item without a name": ({"upsert": {"routes": [{}]}}, "upsert.routes[0].name: expected a non-empty string as name"),
    "item with an empty name": (
        {"upsert": {"routes": [route("")]}},
        "upsert.routes[0].name: expected a non-empty string as name",
    ),
    "name is not a string": ({"remove": {"routes": ["a", 1]}}, "remove.routes[1]: expected a non-empty string as name"),
    "name twice in upsert": (
        {"upsert": {"routes": [route("d"), route("d")]}},
        "upsert.routes[1].name: duplicate name 'd'",
    ),
    "name twice in remove": ({"remove": {"routes": ["a", "a"]}}, "remove.routes[1]: duplicate name 'a'"),
    "name in upsert and remove": (
        {"upsert": {"routes": [route("a")]}, "remove": {"routes": ["a"]}},
        "remove.routes: 'a' is also in upsert.routes",
    ),
    "a service that routes need": ({"remove": {"backends": ["s"]}}, "routes[0].backend: unknown service 's'"),
    "an unknown service": ({"upsert": {"routes": [route("a", backend="u")]}}, "routes[0].backend: unknown service 'u'"),
    "the host and prefix of another route": (
        {"upsert": {"routes": [route("d", pathPrefix="/a/")]}},
        "routes[3]: has the same host and path prefix as routes[0]",
    ),
    "no time": (
        {"upsert": {"routes": [route("c", timeoutMs=0)]}},
        "routes[2].timeoutMs: expected a time above 0 ms, found 0",
    ),
    "no weight": (
        {"upsert": {"routes": [route("c", trafficSplit=[{"backend": "s", "weight": 0}])]}},
        "routes[2].trafficSplit: expected a sum of weights above 0, found 0",
    ),
    "an API key of another tenant": (
        {"upsert": {"tenants": [{"name": "z", "apiKeys": ["k1"]}]}},
        "tenants[2].apiKeys: contains an API key that also belongs to tenants[0]",
    ),
    "a field of a wrong type": (
        {"upsert": {"routes": [route("c", public=1)]}},
        "routes[2].public: expected true or false",
    ),
}


class InvalidPatches(unittest.TestCase):
    def test_an_error_has_a_path_and_a_reason(self) -> None:
        state = state_with()
        for name, (document, expected_error) in INVALID.items():
            with self.subTest(name), self.assertRaises(InvalidConfiguration) as caught:
                state_after_patch(state, ({} if name == "no revision" else {"revision": 2}) | document)
            self.assertIn(expected_error, str(caught.exception))

    def test_a_long_name_is_truncated_in_the_error(self) -> None:
        name = "n" * (MAX_QUOTED_NAME_CHARACTERS + 1)
        with self.assertRaises(InvalidConfiguration) as caught:
            state_after_patch(state_with(), {"revision": 2, "upsert": {name: []}})
        self.assertIn("." + name[:MAX_QUOTED_NAME_CHARACTERS] + ":", str(caught.exception))
        self.assertNotIn(name, str(caught.exception))

    def test_a_body_that_is_not_a_json_object_is_rejected(self) -> None:
        for body in (b"", b"[]", b'{"revision":2', b"\xff"):
            with self.subTest(body=body), self.assertRaises(InvalidConfiguration):
                patch_config(state_with(), "1", body)

    def test_a_patch_of_another_revision_is_stale(self) -> None:
        for if_match in ("0", "2", "x", None):
            with self.subTest(if_match=if_match), self.assertRaises(StaleMatch):
                patch_config(state_with(), if_match, orjson.dumps({"revision": 2}))

    def test_a_stale_match_is_reported_before_an_invalid_patch(self) -> None:
        """Items that the patch refers to may have been removed since, so its base revision is checked first."""
        state = state_after_patch(state_with(), {"revision": 2, "upsert": {"backends": [{"name": "u"}]}})
        assert state is not None
        with self.assertRaises(StaleMatch):
            state_after_patch(state, {"revision": 3, "upsert": {"routes": [route("d", backend="v")]}}, "1")

    def test_the_lists_of_named_items(self) -> None:
        self.assertEqual(NAMED_LISTS, ("routes", "backends", "tenants"))


class RepeatedOrders(unittest.TestCase):
    """A patch is applied once and acknowledged each time it is received."""

    def test_an_applied_patch_is_recognized_after_other_changes(self) -> None:
        document = {"revision": 2, "upsert": {"routes": [route("d")]}}
        state = state_after_patch(state_with(), document)
        assert state is not None
        for revision in range(3, 40):
            later = (
                put_config(state, str(state.revision), orjson.dumps(sample_configuration(revision)))
                if revision % 3
                else patch_config(state, str(state.revision), orjson.dumps({"revision": revision}))
            )
            assert later is not None
            state = later[0]
            for if_match in ("1", "2", str(state.revision)):
                self.assertIsNone(state_after_patch(state, document, if_match))

    def test_a_put_and_a_patch_with_the_same_body_are_two_orders(self) -> None:
        body = orjson.dumps({"revision": 2})
        state, _ = put_config(state_with(), "1", body)
        with self.assertRaises(StaleMatch):
            patch_config(state, "1", body)
        state, _ = patch_config(state_with(), "1", body)
        with self.assertRaises(StaleMatch):
            put_config(state, "1", body)

    def test_a_patch_older_than_the_history_is_not_rejected(self) -> None:
        state = state_with()
        document = {"revision": 2, "remove": {"routes": ["a"]}}
        with mock.patch("rowanshift.controlplane.order_history.MAX_REMEMBERED_ORDERS", 2):
            for revision in (2, 3, 4, 5):
                state = state_after_patch(state, document | {"revision": revision})
            with self.assertRaises(OrderTooOld):
                state_after_patch(state, document, "1")

    def test_an_applied_patch_is_recognized_after_a_restart(self) -> None:
        document = {"revision": 2, "remove": {"routes": ["a"]}}
        state = unpack(state_after_patch(state_with(), document).pack())
        self.assertIsNone(state_after_patch(state, document, "1"))
        self.assertEqual([row["name"] for row in orjson.loads(state.config)["routes"]], ["b", "c"])


class PatchesOfAFleet(unittest.TestCase):
    """Patches in the simulated network, where invariants of the configuration are checked."""

    async def patch_under(self, fleet: Fleet, seconds: float, fault: str = "") -> None:
        """Send changes for ``seconds``; half of the acknowledgements are lost, and orders are repeated."""
        fleet.server("other")
        await fleet.start()
        for operator in fleet.operators:
            operator.lost_acknowledgements = 0.5
        fleet.nursery.start_soon(fleet.keep_changing, 0.3)
        if fault:
            fleet.nursery.start_soon(self.inject_fault, fleet, fault, seconds / 3)
        until = fleet.now() + seconds
        while fleet.now() < until or fleet.open:
            await trio.sleep(0.4)
            await fleet.send_again(1, fleet.random_source.randrange(4))
        await fleet.operator.read_config()

    async def inject_fault(self, fleet: Fleet, name: str, after: float) -> None:
        """Inject a fault at the primary for 5 s."""
        await trio.sleep(after)
        primary = fleet.primary()
        assert primary is not None
        recover = {"kill": fleet.back, "cut": fleet.join, "freeze": fleet.thaw}[name]
        getattr(fleet, name)(primary)
        await trio.sleep(5.0)
        recover(primary)

    def rejected(self, fleet: Fleet) -> list[int]:
        return [fact.status for fact in fleet.of(OrderReplied) if fact.status not in (200, 0, 412, 503, 307)]

    def test_lost_acknowledgements_and_repeated_orders(self) -> None:
        for fault in ("", "kill", "cut", "freeze"):
            for seed in range(3):
                with self.subTest(fault=fault, seed=seed):
                    _, fleet = play(lambda fleet, fault=fault: self.patch_under(fleet, 12.0, fault), str(seed))
                    self.assertEqual((fleet.breaches(), self.rejected(fleet)), ([], []))
                    accepted = {fact.revision for fact in fleet.of(ConfigAnswered) if fact.status == 200}
                    self.assertGreater(len(accepted), 10)
                    self.assertTrue(any(revision % 2 for revision in accepted))  # patches have odd revisions
                    self.assertGreaterEqual(fleet.of(ConfigRead)[-1].config["revision"], max(accepted))

    async def race_changes(self, fleet: Fleet) -> list[list[int]]:
        await fleet.start()
        statuses = []
        for number in range(2, 22):
            patch_body, config = fleet.patch_of(number, [routes_of()[0] | {"targetLatencyMs": 100 + number}])
            statuses.append(await fleet.race(config_of(number), config, patches=[None, patch_body]))
            await fleet.operator.read_config()
        return statuses

    def test_a_put_and_a_patch_on_the_same_base_race(self) -> None:
        statuses, fleet = play(self.race_changes, "race")
        self.assertEqual({tuple(sorted(pair)) for pair in statuses}, {(200, 412)})
        self.assertEqual(len({pair.index(200) for pair in statuses}), 2)  # each of them wins at least once
        self.assertEqual(fleet.breaches(), [])

    def test_a_patch_missing_in_the_history_is_detected(self) -> None:
        def patch_without_history(state: ControlState, if_match: str | None, body: bytes) -> Any:
            result = patch_config(state, if_match, body)
            return result and result._replace(state=control_state.replace(result.state, orders=state.orders))

        with mock.patch.dict(configuration_change.CHANGES, {b"PATCH": patch_without_history}):
            _, fleet = play(lambda fleet: self.patch_under(fleet, 8.0), "forgets")
        self.assertIn("CONFIG", {violation.rule for violation in fleet.breaches()})

    def test_a_patch_that_loses_items_is_detected(self) -> None:
        def patch_that_loses_items(state: ControlState, if_match: str | None, body: bytes) -> Any:
            result = patch_config(state, if_match, body)
            if result is None:
                return None
            config = orjson.loads(result.state.config)
            config["routes"].pop()
            return result._replace(state=control_state.replace(result.state, config=orjson.dumps(config)))

        with mock.patch.dict(configuration_change.CHANGES, {b"PATCH": patch_that_loses_items}):
            _, fleet = play(lambda fleet: self.patch_under(fleet, 4.0), "loses")
        self.assertIn("CONFIG", {violation.rule for violation in fleet.breaches()})


if __name__ == "__main__":
    unittest.main()
