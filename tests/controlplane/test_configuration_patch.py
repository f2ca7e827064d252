"""``PATCH /config``: what it makes of a configuration, what is refused, and that it is taken once."""

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


def whole(revision: int = 1, **more: Any) -> dict[str, Any]:
    return {
        "revision": revision,
        "routes": [route("a"), route("b"), route("c")],
        "backends": [{"name": "s"}, {"name": "t", "zone": "z"}],
        "tenants": [{"name": "x", "apiKeys": ["k1"]}, {"name": "y", "apiKeys": ["k2"]}],
        "limits": {"maxBodyBytes": 1000},
        "unknown": [1],
    } | more


def state_of(config: dict[str, Any] | None = None) -> ControlState:
    made = put_config(ControlState(), "0", orjson.dumps(whole() if config is None else config))
    assert made is not None
    return made[0]


def patch(state: ControlState, sent: dict[str, Any], if_match: str | None = None) -> ControlState | None:
    made = patch_config(state, str(state.revision) if if_match is None else if_match, orjson.dumps(sent))
    return None if made is None else made[0]


class AppliedPatches(unittest.TestCase):
    """What a patch makes of a configuration."""

    def made(self, sent: dict[str, Any], base: dict[str, Any] | None = None) -> dict[str, Any]:
        state = patch(state_of(base), {"revision": 2} | sent)
        assert state is not None
        self.assertEqual(state.revision, 2)
        return orjson.loads(state.config)

    def test_an_item_replaces_the_one_of_its_name(self) -> None:
        new = route("b", timeoutMs=99)
        self.assertEqual(self.made({"upsert": {"routes": [new]}}), whole(2, routes=[route("a"), new, route("c")]))

    def test_a_new_item_is_added_at_the_end(self) -> None:
        self.assertEqual(
            self.made({"upsert": {"routes": [route("d")], "backends": [{"name": "u"}]}}),
            whole(2, routes=[*whole()["routes"], route("d")], backends=[*whole()["backends"], {"name": "u"}]),
        )

    def test_named_items_are_removed(self) -> None:
        self.assertEqual(
            self.made({"remove": {"routes": ["a", "c"], "backends": ["t"], "tenants": ["y"]}}),
            whole(2, routes=[route("b")], backends=[{"name": "s"}], tenants=whole()["tenants"][:1]),
        )

    def test_removing_an_absent_name_changes_nothing(self) -> None:
        self.assertEqual(self.made({"remove": {"routes": ["never"]}}), whole(2))

    def test_an_empty_patch_changes_the_revision_alone(self) -> None:
        for sent in ({}, {"upsert": {}, "remove": {}}, {"upsert": None}, {"upsert": {"routes": []}}, {"more": 3}):
            with self.subTest(sent=sent):
                self.assertEqual(self.made(sent), whole(2))

    def test_all_tenants_are_removed(self) -> None:
        """Then no key is known, whereas without the list none would be asked for."""
        self.assertEqual(self.made({"remove": {"tenants": ["x", "y"]}}), whole(2, tenants=[]))

    def test_absent_lists_are_made(self) -> None:
        base = {"revision": 1}
        made = self.made({"upsert": {"backends": [{"name": "s"}], "routes": [route("a")]}}, base)
        self.assertEqual(made, {"revision": 2, "backends": [{"name": "s"}], "routes": [route("a")]})
        self.assertEqual(self.made({"remove": {"tenants": ["x"]}}, base), {"revision": 2, "tenants": []})

    def test_a_service_moves_with_its_route(self) -> None:
        moved = [route(name, backend="u") for name in "abc"]
        made = self.made({"upsert": {"routes": moved, "backends": [{"name": "u"}]}, "remove": {"backends": ["s", "t"]}})
        self.assertEqual(made, whole(2, routes=moved, backends=[{"name": "u"}]))

    def test_items_of_one_name_become_one_or_none(self) -> None:
        base = whole(routes=[route("a"), route("a", pathPrefix="/2/"), route("b")])
        new = route("a", pathPrefix="/3/")
        self.assertEqual(self.made({"upsert": {"routes": [new]}}, base), whole(2, routes=[new, route("b")]))
        self.assertEqual(self.made({"remove": {"routes": ["a"]}}, base), whole(2, routes=[route("b")]))

    def test_a_patch_may_be_the_first_configuration(self) -> None:
        state = patch(ControlState(), {"revision": 3, "upsert": {"backends": [{"name": "s"}]}})
        assert state is not None
        self.assertEqual(orjson.loads(state.config), {"revision": 3, "backends": [{"name": "s"}]})

    def test_the_base_is_not_changed(self) -> None:
        base = whole()
        before = copy.deepcopy(base)
        apply_patch(base, {"revision": 2, "upsert": {"routes": [route("b"), route("d")]}, "remove": {"routes": ["a"]}})
        self.assertEqual(base, before)

    def test_drawn_patches_against_items_by_name(self) -> None:
        draw = random.Random(31)
        for _ in range(300):
            names = [f"n{n}" for n in draw.sample(range(12), draw.randrange(12))]
            base = {"revision": 1, "routes": [route(name) for name in names]}
            changed = draw.sample(range(16), draw.randrange(6))
            items = [route(f"n{n}", timeoutMs=draw.randrange(1, 9)) for n in changed]
            gone = [f"n{n}" for n in draw.sample(range(16), draw.randrange(6)) if n not in changed]
            made = apply_patch(base, {"revision": 2, "upsert": {"routes": items}, "remove": {"routes": gone}})
            wanted = {item["name"]: item for item in [*base["routes"], *items] if item["name"] not in gone}
            self.assertEqual(made["routes"], list(wanted.values()))


INVALID = {  # patches, and the place and reason that are told
    "no revision": ({}, "revision: a whole number expected, not null"),
    "revision not above": ({"revision": 1}, "revision: 1 is not above the current 1"),
    "revision out of range": ({"revision": 0}, "revision: a number from 1"),
    "upsert is no object": ({"upsert": [1]}, "upsert: an object expected, not list"),
    "remove is no object": ({"remove": "a"}, "remove: an object expected, not str"),
    "unknown list": ({"upsert": {"limits": []}}, "upsert.limits: no list with names"),
    "unknown list of names": ({"remove": {"keys": []}}, "remove.keys: no list with names"),
    "items are no list": ({"upsert": {"routes": {}}}, "upsert.routes: a list expected, not dict"),
    "names are no list": ({"remove": {"routes": "a"}}, "remove.routes: a list expected, not str"),
    "item is no object": ({"upsert": {"routes": [1]}}, "upsert.routes[0]: an object expected, not int"),
    "item without a name": ({"upsert": {"routes": [{}]}}, "upsert.routes[0].name: a name expected"),
    "item with an empty name": ({"upsert": {"routes": [route("")]}}, "upsert.routes[0].name: a name expected"),
    "name is no text": ({"remove": {"routes": ["a", 1]}}, "remove.routes[1]: a name expected"),
    "twice to add": (
        {"upsert": {"routes": [route("d"), route("d")]}},
        "upsert.routes[1].name: 'd' stands there twice",
    ),
    "twice to remove": ({"remove": {"routes": ["a", "a"]}}, "remove.routes[1]: 'a' stands there twice"),
    "to add and to remove": (
        {"upsert": {"routes": [route("a")]}, "remove": {"routes": ["a"]}},
        "remove.routes: 'a' stands in upsert as well",
    ),
    "a service that routes need": ({"remove": {"backends": ["s"]}}, "routes[0].backend: unknown service 's'"),
    "an unknown service": ({"upsert": {"routes": [route("a", backend="u")]}}, "routes[0].backend: unknown service 'u'"),
    "the place of another": (
        {"upsert": {"routes": [route("d", pathPrefix="/a/")]}},
        "routes[3]: has host and prefix of routes[0]",
    ),
    "no time": ({"upsert": {"routes": [route("c", timeoutMs=0)]}}, "routes[2].timeoutMs: a time above 0 expected"),
    "no weight": (
        {"upsert": {"routes": [route("c", trafficSplit=[{"backend": "s", "weight": 0}])]}},
        "routes[2].trafficSplit: the weights add up to 0",
    ),
    "a key of another": (
        {"upsert": {"tenants": [{"name": "z", "apiKeys": ["k1"]}]}},
        "tenants[2].apiKeys: shares a key with tenants[0]",
    ),
    "a field of another type": ({"upsert": {"routes": [route("c", public=1)]}}, "routes[2].public: true or false"),
}


class InvalidPatches(unittest.TestCase):
    def test_a_refusal_has_a_path_and_a_reason(self) -> None:
        state = state_of()
        for name, (sent, told) in INVALID.items():
            with self.subTest(name), self.assertRaises(InvalidConfiguration) as caught:
                patch(state, ({} if name == "no revision" else {"revision": 2}) | sent)
            self.assertIn(told, str(caught.exception))

    def test_a_long_name_is_cut_short_in_the_reason(self) -> None:
        name = "n" * (MAX_QUOTED_NAME_CHARACTERS + 1)
        with self.assertRaises(InvalidConfiguration) as caught:
            patch(state_of(), {"revision": 2, "upsert": {name: []}})
        self.assertIn("." + name[:MAX_QUOTED_NAME_CHARACTERS] + ":", str(caught.exception))
        self.assertNotIn(name, str(caught.exception))

    def test_a_body_that_is_no_json_object_is_refused(self) -> None:
        for body in (b"", b"[]", b'{"revision":2', b"\xff"):
            with self.subTest(body=body), self.assertRaises(InvalidConfiguration):
                patch_config(state_of(), "1", body)

    def test_a_patch_of_another_revision_is_stale(self) -> None:
        for if_match in ("0", "2", "x", None):
            with self.subTest(if_match=if_match), self.assertRaises(StaleMatch):
                patch_config(state_of(), if_match, orjson.dumps({"revision": 2}))

    def test_a_stale_match_is_reported_before_an_invalid_patch(self) -> None:
        """What it names may have been removed since: its base is looked at before its outcome."""
        state = patch(state_of(), {"revision": 2, "upsert": {"backends": [{"name": "u"}]}})
        assert state is not None
        with self.assertRaises(StaleMatch):
            patch(state, {"revision": 3, "upsert": {"routes": [route("d", backend="v")]}}, "1")

    def test_every_list_that_has_names(self) -> None:
        self.assertEqual(NAMED_LISTS, ("routes", "backends", "tenants"))


class RepeatedOrders(unittest.TestCase):
    """A patch is taken once, and acknowledged as often as it comes."""

    def test_an_applied_patch_is_known_after_other_changes(self) -> None:
        sent = {"revision": 2, "upsert": {"routes": [route("d")]}}
        state = patch(state_of(), sent)
        assert state is not None
        for revision in range(3, 40):
            later = (
                put_config(state, str(state.revision), orjson.dumps(whole(revision)))
                if revision % 3
                else patch_config(state, str(state.revision), orjson.dumps({"revision": revision}))
            )
            assert later is not None
            state = later[0]
            for if_match in ("1", "2", str(state.revision)):
                self.assertIsNone(patch(state, sent, if_match))

    def test_a_put_and_a_patch_of_one_body_are_two_orders(self) -> None:
        body = orjson.dumps({"revision": 2})
        state, _ = put_config(state_of(), "1", body)
        with self.assertRaises(StaleMatch):
            patch_config(state, "1", body)
        state, _ = patch_config(state_of(), "1", body)
        with self.assertRaises(StaleMatch):
            put_config(state, "1", body)

    def test_a_patch_older_than_the_history_is_not_refused(self) -> None:
        state = state_of()
        sent = {"revision": 2, "remove": {"routes": ["a"]}}
        with mock.patch("rowanshift.controlplane.order_history.MAX_REMEMBERED_ORDERS", 2):
            for revision in (2, 3, 4, 5):
                state = patch(state, sent | {"revision": revision})
            with self.assertRaises(OrderTooOld):
                patch(state, sent, "1")

    def test_an_applied_patch_is_known_after_a_restart(self) -> None:
        sent = {"revision": 2, "remove": {"routes": ["a"]}}
        state = unpack(patch(state_of(), sent).pack())
        self.assertIsNone(patch(state, sent, "1"))
        self.assertEqual([row["name"] for row in orjson.loads(state.config)["routes"]], ["b", "c"])


class PatchesOfAFleet(unittest.TestCase):
    """Patches in the virtual network, where the checks know the rules of configurations."""

    async def patched_under(self, fleet: Fleet, seconds: float, trouble: str = "") -> None:
        """One change after another for so many seconds, half of the acknowledgements lost, orders sent again."""
        fleet.server("other")
        await fleet.start()
        for operator in fleet.operators:
            operator.lost_acknowledgements = 0.5
        fleet.nursery.start_soon(fleet.keep_changing, 0.3)
        if trouble:
            fleet.nursery.start_soon(self.trouble, fleet, trouble, seconds / 3)
        until = fleet.now() + seconds
        while fleet.now() < until or fleet.open:
            await trio.sleep(0.4)
            await fleet.send_again(1, fleet.random_source.randrange(4))
        await fleet.operator.read_config()

    async def trouble(self, fleet: Fleet, name: str, after: float) -> None:
        """The primary meets a trouble, for 5 s."""
        await trio.sleep(after)
        first = fleet.primary()
        assert first is not None
        ending = {"kill": fleet.back, "cut": fleet.join, "freeze": fleet.thaw}[name]
        getattr(fleet, name)(first)
        await trio.sleep(5.0)
        ending(first)

    def rejected(self, fleet: Fleet) -> list[int]:
        return [fact.status for fact in fleet.of(OrderReplied) if fact.status not in (200, 0, 412, 503, 307)]

    def test_lost_acknowledgements_and_orders_sent_again(self) -> None:
        for trouble in ("", "kill", "cut", "freeze"):
            for seed in range(3):
                with self.subTest(trouble=trouble, seed=seed):
                    _, fleet = play(lambda fleet, trouble=trouble: self.patched_under(fleet, 12.0, trouble), str(seed))
                    self.assertEqual((fleet.breaches(), self.rejected(fleet)), ([], []))
                    taken = {fact.revision for fact in fleet.of(ConfigAnswered) if fact.status == 200}
                    self.assertGreater(len(taken), 10)
                    self.assertTrue(any(revision % 2 for revision in taken))  # patches are among them
                    self.assertGreaterEqual(fleet.of(ConfigRead)[-1].config["revision"], max(taken))

    async def raced(self, fleet: Fleet) -> list[list[int]]:
        await fleet.start()
        statuses = []
        for number in range(2, 22):
            patch, config = fleet.patch_of(number, [routes_of()[0] | {"targetLatencyMs": 100 + number}])
            statuses.append(await fleet.race(config_of(number), config, patches=[None, patch]))
            await fleet.operator.read_config()
        return statuses

    def test_a_put_and_a_patch_race_for_one_base(self) -> None:
        statuses, fleet = play(self.raced, "race")
        self.assertEqual({tuple(sorted(pair)) for pair in statuses}, {(200, 412)})
        self.assertEqual(len({pair.index(200) for pair in statuses}), 2)  # either wins at times
        self.assertEqual(fleet.breaches(), [])

    def test_a_patch_that_is_not_remembered_is_found(self) -> None:
        def forgets(state: ControlState, if_match: str | None, body: bytes) -> Any:
            made = patch_config(state, if_match, body)
            return made and made._replace(state=control_state.replace(made.state, orders=state.orders))

        with mock.patch.dict(configuration_change.CHANGES, {b"PATCH": forgets}):
            _, fleet = play(lambda fleet: self.patched_under(fleet, 8.0), "forgets")
        self.assertIn("CONFIG", {breach.rule for breach in fleet.breaches()})

    def test_a_patch_that_loses_items_is_found(self) -> None:
        def loses(state: ControlState, if_match: str | None, body: bytes) -> Any:
            made = patch_config(state, if_match, body)
            if made is None:
                return None
            config = orjson.loads(made.state.config)
            config["routes"].pop()
            return made._replace(state=control_state.replace(made.state, config=orjson.dumps(config)))

        with mock.patch.dict(configuration_change.CHANGES, {b"PATCH": loses}):
            _, fleet = play(lambda fleet: self.patched_under(fleet, 4.0), "loses")
        self.assertIn("CONFIG", {breach.rule for breach in fleet.breaches()})


if __name__ == "__main__":
    unittest.main()
