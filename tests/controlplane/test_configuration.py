"""The operator's configuration: what is refused, with its place and reason, and what must not be refused."""

import random
import unittest
from typing import Any

import orjson

from rowanshift.controlplane.configuration import TrafficSplit
from rowanshift.controlplane.configuration_reader import body_digest, parse_configuration
from rowanshift.controlplane.errors import InvalidConfiguration, StaleMatch
from rowanshift.controlplane.revision_match import check_change


def small() -> dict[str, Any]:
    """A configuration of two routes, one of them split."""
    return {
        "revision": 3,
        "routes": [
            {
                "name": "plain",
                "hostname": "a.test",
                "pathPrefix": "/x/",
                "routeType": "idempotent",
                "timeoutMs": 900,
                "targetLatencyMs": 80,
                "priority": 0,
                "backend": "s1",
                "retries": 2,
                "public": True,
            },
            {
                "name": "shared",
                "hostname": "a.test",
                "pathPrefix": "/y/",
                "routeType": "streaming",
                "timeoutMs": 4000,
                "targetLatencyMs": 500,
                "priority": 2,
                "retries": 1,
                "sticky": True,
                "resumable": True,
                "gap_aim_ms": 200,
                "trafficSplit": [{"backend": "s1", "weight": 3}, {"backend": "s2", "weight": 1}],
            },
        ],
        "backends": [
            {"name": "s1", "healthCheck": "/up", "maxConnections": 12, "protocol": "h1", "tls": False},
            {
                "name": "s2",
                "engine": {"slots": 4, "kvTokenCapacity": 1000, "linkMbps": 10.5, "models": [{"name": "m"}]},
            },
            {"name": "kept", "kvStoreAddress": "10.0.0.9:1", "zone": "z", "kvTokenCapacity": 5000},
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
        "tenants": [
            {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1, "isolated": True},
            {"name": "t2", "apiKeys": ["k3"]},
        ],
    }


ABSENT = object()


def changed(*path: Any, to: Any = ABSENT) -> bytes:
    """The small configuration with what is at ``path`` set ``to`` something, or left out."""
    config = small()
    inner: Any = config
    for step in path[:-1]:
        inner = inner[step]
    if to is ABSENT:
        del inner[path[-1]]
    else:
        inner[path[-1]] = to
    return orjson.dumps(config)


class InvalidConfigurations(unittest.TestCase):
    def assert_refused(self, body: bytes, place: str, reason: str = "") -> None:
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_configuration(body)
        self.assertEqual(caught.exception.path, place, str(caught.exception))
        self.assertIn(reason, caught.exception.reason)
        self.assertTrue(caught.exception.reason)
        self.assertEqual(caught.exception.status, 400)

    def test_a_body_cut_short_at_any_byte_is_refused(self) -> None:
        body = orjson.dumps(small())
        for length in range(len(body)):
            self.assert_refused(body[:length], "", "can't be read whole")

    def test_a_body_that_is_no_json_object_is_refused(self) -> None:
        for body in (b"", b"null", b"[]", b"7", b'"x"', b"\xff\xfe", b'{"revision": NaN}', b"{} {}"):
            self.assert_refused(body, "", "can't be read whole")

    def test_an_unknown_service_is_refused(self) -> None:
        self.assert_refused(changed("routes", 0, "backend", to="s9"), "routes[0].backend", "unknown service 's9'")
        self.assert_refused(changed("routes", 0, "backend", to="S1"), "routes[0].backend", "unknown service")
        self.assert_refused(changed("routes", 0, "backend", to=""), "routes[0].backend", "unknown service")
        self.assert_refused(
            changed("routes", 1, "trafficSplit", 1, "backend", to="s9"),
            "routes[1].trafficSplit[1].backend",
            "unknown service 's9'",
        )
        self.assert_refused(
            changed("routes", 1, "trafficSplit", 1, to={"backend": "s9", "weight": 0}),
            "routes[1].trafficSplit[1].backend",
            "unknown service 's9'",
        )
        self.assert_refused(changed("routes", 1, "backend", to="s9"), "routes[1].backend", "unknown service 's9'")
        self.assert_refused(changed("backends", to=[]), "routes[0].backend", "unknown service 's1'")
        self.assert_refused(changed("backends"), "routes[0].backend", "unknown service 's1'")

    def test_a_route_without_a_service_is_refused(self) -> None:
        self.assert_refused(changed("routes", 0, "backend"), "routes[0]", "names no service")
        self.assert_refused(changed("routes", 0, "backend", to=None), "routes[0]", "names no service")
        self.assert_refused(changed("routes", 1, "trafficSplit", to=[]), "routes[1]", "names no service")

    def test_two_routes_of_one_host_and_prefix_are_refused(self) -> None:
        self.assert_refused(changed("routes", 1, "pathPrefix", to="/x/"), "routes[1]", "and prefix of routes[0]")
        upper = small()
        upper["routes"][1] |= {"pathPrefix": "/x/", "hostname": "A.Test"}
        self.assert_refused(orjson.dumps(upper), "routes[1]", "host and prefix of routes[0]")

    def test_weights_below_zero_or_adding_up_to_zero_are_refused(self) -> None:
        place = "routes[1].trafficSplit"
        for zero in (0, 0.0, -0.0):
            splits = [{"backend": "s1", "weight": zero}, {"backend": "s2", "weight": 0}]
            self.assert_refused(changed("routes", 1, "trafficSplit", to=splits), place, "add up to 0")
        splits = [{"backend": "s1", "weight": 5}, {"backend": "s2", "weight": -1}]
        self.assert_refused(changed("routes", 1, "trafficSplit", to=splits), place + "[1].weight", "0 or more")
        self.assert_refused(changed("routes", 1, "trafficSplit", 0, "weight"), place + "[0]", "weight")
        body = changed("routes", 1, "trafficSplit", 0, "weight", to="3")
        self.assert_refused(body, place + "[0].weight", "a number")

    def test_a_timeout_that_is_not_above_zero_is_refused(self) -> None:
        for none in (0, 0.0, -1, -0.5):
            self.assert_refused(changed("routes", 1, "timeoutMs", to=none), "routes[1].timeoutMs", "above 0")

    def test_a_revision_out_of_bounds_is_refused(self) -> None:
        for value in (0, -4, 2**63, 2**70):
            self.assert_refused(
                changed("revision", to=value)
                if value < 2**64
                else changed("revision").replace(b"{", b'{"revision":%d,' % value, 1),
                "revision",
                "a number from 1",
            )
        for value in (1.5, "3", True, [], {}):
            self.assert_refused(changed("revision", to=value), "revision", "a whole number expected")
        self.assert_refused(changed("revision"), "", "revision")
        self.assert_refused(changed("revision", to=None), "revision", "a whole number expected")

    def test_a_key_of_two_tenants_is_refused(self) -> None:
        body = changed("tenants", 1, "apiKeys", to=["k3", "k2"])
        self.assert_refused(body, "tenants[1].apiKeys", "shares a key with tenants[0]")
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_configuration(body)
        self.assertNotIn("k2", str(caught.exception))  # keys are secrets

    def test_values_of_another_type_are_refused_with_their_path(self) -> None:
        cases: list[tuple[tuple[Any, ...], Any, str]] = [
            (("routes",), {}, "routes"),
            (("routes",), "", "routes"),
            (("routes",), 5, "routes"),
            (("routes", 1), None, "routes[1]"),
            (("routes", 1), "r", "routes[1]"),
            (("routes", 1), [], "routes[1]"),
            (("routes", 1, "hostname"), None, "routes[1].hostname"),
            (("routes", 1, "hostname"), 5, "routes[1].hostname"),
            (("routes", 1, "pathPrefix"), [], "routes[1].pathPrefix"),
            (("routes", 1, "timeoutMs"), "5", "routes[1].timeoutMs"),
            (("routes", 1, "timeoutMs"), True, "routes[1].timeoutMs"),
            (("routes", 1, "public"), 1, "routes[1].public"),
            (("routes", 1, "retries"), 1.5, "routes[1].retries"),
            (("routes", 1, "backend"), 7, "routes[1].backend"),
            (("routes", 1, "trafficSplit"), {}, "routes[1].trafficSplit"),
            (("routes", 1, "trafficSplit", 0), "s1", "routes[1].trafficSplit[0]"),
            (("backends",), "s1", "backends"),
            (("backends", 0), "s1", "backends[0]"),
            (("backends", 0, "name"), 1, "backends[0].name"),
            (("backends", 1, "engine"), [], "backends[1].engine"),
            (("backends", 1, "engine", "slots"), "4", "backends[1].engine.slots"),
            (("backends", 1, "engine", "models", 0), "m", "backends[1].engine.models[0]"),
            (("limits",), [], "limits"),
            (("limits", "maxBodyBytes"), "1", "limits.maxBodyBytes"),
            (("tenants",), {}, "tenants"),
            (("tenants", 0), "t", "tenants[0]"),
            (("tenants", 0, "apiKeys"), "k1", "tenants[0].apiKeys"),
            (("tenants", 0, "apiKeys", 1), 5, "tenants[0].apiKeys[1]"),
        ]
        for path, value, place in cases:
            with self.subTest(path=path, value=value):
                self.assert_refused(changed(*path, to=value), place, "expected")
        for path in (
            ("routes", 1, "hostname"),
            ("routes", 1, "pathPrefix"),
            ("backends", 2, "name"),
            ("tenants", 1, "name"),
        ):
            self.assert_refused(changed(*path), f"{path[0]}[{path[1]}]", path[2])

    def test_any_value_anywhere_is_read_or_refused(self) -> None:
        """Whatever stands in a field, nothing but the typed error is raised."""
        draw = random.Random(20260)
        odd: list[Any] = [None, True, 0, -1, 2**63, 1.5, 1e308, "", "s1", [], [[]], {}, {"name": None}]
        refused = 0
        for _ in range(3000):
            config: Any = small()
            inner, key = config, draw.choice(list(config))
            while isinstance(inner[key], dict | list) and inner[key] and draw.random() < 0.75:
                inner = inner[key]
                key = draw.choice(list(inner)) if isinstance(inner, dict) else draw.randrange(len(inner))
            inner[key] = draw.choice(odd)
            try:
                parse_configuration(orjson.dumps(config))
            except InvalidConfiguration as error:
                refused += 1
                self.assertTrue(error.reason)
        self.assertGreater(refused, 300)


class ValidConfigurations(unittest.TestCase):
    def test_every_field_is_read(self) -> None:
        config = parse_configuration(orjson.dumps(small()))
        plain, shared = config.routes
        self.assertEqual(config.revision, 3)
        self.assertEqual((plain.hostname, plain.path_prefix, plain.timeout_ms), ("a.test", "/x/", 900.0))
        self.assertEqual(plain.targets, [TrafficSplit("s1", 1.0)])
        self.assertEqual(shared.targets, [TrafficSplit("s1", 3.0), TrafficSplit("s2", 1.0)])
        self.assertEqual((shared.gap_aim_ms, shared.target_latency_ms, shared.priority), (200.0, 500.0, 2.0))
        self.assertEqual((plain.retries, plain.public, plain.sticky), (2, True, False))
        self.assertTrue(shared.sticky and shared.resumable and shared.repeatable and plain.repeatable)
        self.assertEqual(config.services["s1"].health_check, "/up")
        engine = config.services["s2"].engine
        assert engine is not None
        self.assertEqual((engine.slots, engine.link_mbps, engine.models[0].name), (4, 10.5, "m"))
        kept = config.services["kept"]
        self.assertEqual(
            (kept.kv_store_address, kept.zone, kept.kv_token_capacity, kept.health_check),
            ("10.0.0.9:1", "z", 5000.0, None),
        )
        self.assertEqual((config.limits.max_body_bytes, config.limits.idle_timeout_ms), (65536, 5000.0))
        assert config.tenants is not None
        self.assertEqual((config.tenants[0].api_keys, config.tenants[0].isolated), (["k1", "k2"], True))
        self.assertEqual((config.tenants[1].priority, config.tenants[1].isolated), (None, False))

    def test_unusual_configurations_that_are_valid(self) -> None:
        split = [{"backend": "s1", "weight": 0.25}, {"backend": "s1", "weight": 0}]
        cases: dict[str, bytes] = {
            "fraction in a time": changed("routes", 0, "timeoutMs", to=0.5),
            "large": changed("routes", 0, "timeoutMs", to=2**62),
            "whole number as a fraction": changed("revision", to=4.0),
            "retries as a fraction": changed("routes", 0, "retries", to=2.0),
            "weights as fractions, one service twice": changed("routes", 1, "trafficSplit", to=split),
            "null backend beside a split": changed("routes", 1, "backend", to=None),
            "empty backend beside a split": changed("routes", 1, "backend", to=""),
            "both": changed("routes", 1, "backend", to="s1"),
            "null split beside a backend": changed("routes", 0, "trafficSplit", to=None),
            "empty split beside a backend": changed("routes", 0, "trafficSplit", to=[]),
            "no routes": changed("routes", to=[]),
            "routes absent": changed("routes"),
            "no limits": changed("limits"),
            "limits empty": changed("limits", to={}),
            "engine null": changed("backends", 1, "engine", to=None),
            "engine empty": changed("backends", 1, "engine", to={}),
            "unknown fields": changed("colour", to={"deep": [1]}),
            "unknown field of a route": changed("routes", 0, "colour", to=[1]),
            "unknown field of an engine": changed("backends", 1, "engine", "colour", to=1),
            "unknown route type": changed("routes", 0, "routeType", to="of a later day"),
            "priority with a fraction": changed("routes", 0, "priority", to=1.5),
            "host in capitals": changed("routes", 0, "hostname", to="A.TEST"),
            "host with a port": changed("routes", 1, "hostname", to="a.test:8080"),
            "one prefix inside another": changed("routes", 1, "pathPrefix", to="/x/x/"),
            "the root prefix": changed("routes", 1, "pathPrefix", to="/"),
            "prefixes of other case": changed("routes", 1, "pathPrefix", to="/X/"),
            "two routes of one name": changed("routes", 1, "name", to="plain"),
            "two services of one name": changed("backends", 2, "name", to="s1"),
            "names of any text": changed("routes", 0, "name", to='é \u2028"\\/ 漢'),
            "a tenant with one key twice": changed("tenants", 1, "apiKeys", to=["k3", "k3"]),
            "a tenant without keys": changed("tenants", 1, "apiKeys", to=[]),
            "tenants of one name": changed("tenants", 1, "name", to="t1"),
        }
        for name, body in cases.items():
            with self.subTest(name):
                parse_configuration(body)

    def test_absent_tenants_differ_from_an_empty_list(self) -> None:
        self.assertIsNone(parse_configuration(changed("tenants")).tenants)
        self.assertIsNone(parse_configuration(changed("tenants", to=None)).tenants)
        self.assertEqual(parse_configuration(changed("tenants", to=[])).tenants, [])

    def test_absent_fields_have_their_defaults(self) -> None:
        body = orjson.dumps(
            {
                "revision": 1,
                "backends": [{"name": "s"}],
                "routes": [{"hostname": "h", "pathPrefix": "/", "backend": "s"}],
            }
        )
        route = parse_configuration(body).routes[0]
        self.assertFalse(route.repeatable or route.public or route.sticky or route.streaming)
        self.assertEqual((route.timeout_ms, route.gap_aim_ms), (None, None))
        self.assertEqual((route.retries, route.priority), (1, 5.0))
        first, second = parse_configuration(body), parse_configuration(body)
        first.routes[0].traffic_split.append(None)  # type: ignore[arg-type]
        self.assertEqual(second.routes[0].traffic_split, [])

    def test_a_streaming_route_that_cannot_be_resumed_is_not_repeated(self) -> None:
        self.assertFalse(parse_configuration(changed("routes", 1, "resumable", to=False)).routes[1].repeatable)


class RevisionMatch(unittest.TestCase):
    def test_a_match_of_the_current_revision_is_accepted(self) -> None:
        config = parse_configuration(orjson.dumps(small()))
        for named in ("2", '"2"', ' "2" ', 'W/"2"', "02"):
            check_change(2, named, config.revision)
        check_change(0, "0", config.revision)

    def test_a_match_of_another_revision_is_stale(self) -> None:
        config = parse_configuration(orjson.dumps(small()))
        for named in ("1", "3", "0", "", None, "*", "two", "-2", "+2", "2.0", "٢", "2, 3", '"', "9" * 5000):
            with self.subTest(named=named), self.assertRaises(StaleMatch) as caught:
                check_change(2, named, config.revision)
            self.assertEqual((caught.exception.status, caught.exception.current), (412, 2))
            self.assertIn("revision 2 is current", str(caught.exception))

    def test_a_revision_that_is_not_above_the_current_one_is_refused(self) -> None:
        config = parse_configuration(orjson.dumps(small()))
        for current in (3, 4):
            with self.assertRaises(InvalidConfiguration) as caught:
                check_change(current, str(current), config.revision)
            self.assertEqual(caught.exception.path, "revision")
            self.assertIn("not above", caught.exception.reason)

    def test_a_stale_match_is_reported_before_the_revision(self) -> None:
        with self.assertRaises(StaleMatch):
            check_change(5, "4", parse_configuration(orjson.dumps(small())).revision)


class Digests(unittest.TestCase):
    def test_the_order_of_fields_and_spaces_do_not_count(self) -> None:
        config = small()
        backwards = dict(reversed(config.items()))
        spaced = orjson.dumps(backwards, option=orjson.OPT_INDENT_2)
        self.assertEqual(body_digest(orjson.dumps(config)), body_digest(spaced))
        self.assertEqual(len(body_digest(spaced)), 32)

    def test_any_difference_changes_the_digest(self) -> None:
        seen = {body_digest(orjson.dumps(small()))}
        others = [
            changed("revision", to=4),
            changed("colour", to=1),
            changed("tenants"),
            changed("tenants", to=[]),
            changed("tenants", to=None),
            changed("routes", to=list(reversed(small()["routes"]))),
            changed("routes", 0, "timeoutMs", to=901),
            changed("tenants", 0, "apiKeys", to=["k2", "k1"]),
        ]
        seen |= {body_digest(body) for body in others}
        self.assertEqual(len(seen), len(others) + 1)

    def test_a_body_that_is_no_json_object_has_no_digest(self) -> None:
        with self.assertRaises(InvalidConfiguration):
            body_digest(b"{")


if __name__ == "__main__":
    unittest.main()
