"""The operator's configuration: which ones are rejected, with path and reason, and which ones must be accepted."""

import random
import unittest
from typing import Any

import orjson

from rowanshift.controlplane.configuration import TrafficSplit
from rowanshift.controlplane.configuration_reader import body_digest, parse_configuration
from rowanshift.controlplane.errors import InvalidConfiguration, StaleMatch
from rowanshift.controlplane.revision_match import check_change


def sample_configuration() -> dict[str, Any]:
    """Return a configuration with two routes, one of them with a traffic split."""
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


def sample_with(*path: Any, to: Any = ABSENT) -> bytes:
    """Return the sample configuration with the value at ``path`` replaced by ``to``, or removed."""
    config = sample_configuration()
    parent: Any = config
    for step in path[:-1]:
        parent = parent[step]
    if to is ABSENT:
        del parent[path[-1]]
    else:
        parent[path[-1]] = to
    return orjson.dumps(config)


class InvalidConfigurations(unittest.TestCase):
    def assert_rejected(self, body: bytes, expected_path: str, reason: str = "") -> None:
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_configuration(body)
        self.assertEqual(caught.exception.path, expected_path, str(caught.exception))
        self.assertIn(reason, caught.exception.reason)
        self.assertTrue(caught.exception.reason)
        self.assertEqual(caught.exception.status, 400)

    def test_a_truncated_body_is_rejected(self) -> None:
        body = orjson.dumps(sample_configuration())
        for length in range(len(body)):
            self.assert_rejected(body[:length], "", "expected a JSON object")

    def test_a_body_that_is_not_a_json_object_is_rejected(self) -> None:
        for body in (b"", b"null", b"[]", b"7", b'"x"', b"\xff\xfe", b'{"revision": NaN}', b"{} {}"):
            self.assert_rejected(body, "", "expected a JSON object")

    def test_an_unknown_service_is_rejected(self) -> None:
        self.assert_rejected(sample_with("routes", 0, "backend", to="s9"), "routes[0].backend", "unknown service 's9'")
        self.assert_rejected(sample_with("routes", 0, "backend", to="S1"), "routes[0].backend", "unknown service")
        self.assert_rejected(sample_with("routes", 0, "backend", to=""), "routes[0].backend", "unknown service")
        self.assert_rejected(
            sample_with("routes", 1, "trafficSplit", 1, "backend", to="s9"),
            "routes[1].trafficSplit[1].backend",
            "unknown service 's9'",
        )
        self.assert_rejected(
            sample_with("routes", 1, "trafficSplit", 1, to={"backend": "s9", "weight": 0}),
            "routes[1].trafficSplit[1].backend",
            "unknown service 's9'",
        )
        self.assert_rejected(sample_with("routes", 1, "backend", to="s9"), "routes[1].backend", "unknown service 's9'")
        self.assert_rejected(sample_with("backends", to=[]), "routes[0].backend", "unknown service 's1'")
        self.assert_rejected(sample_with("backends"), "routes[0].backend", "unknown service 's1'")

    def test_a_route_without_a_service_is_rejected(self) -> None:
        self.assert_rejected(
            sample_with("routes", 0, "backend"),
            "routes[0]",
            "expected a service in backend or trafficSplit, found none",
        )
        self.assert_rejected(
            sample_with("routes", 0, "backend", to=None),
            "routes[0]",
            "expected a service in backend or trafficSplit, found none",
        )
        self.assert_rejected(
            sample_with("routes", 1, "trafficSplit", to=[]),
            "routes[1]",
            "expected a service in backend or trafficSplit, found none",
        )

    def test_two_routes_with_the_same_host_and_prefix_are_rejected(self) -> None:
        self.assert_rejected(
            sample_with("routes", 1, "pathPrefix", to="/x/"), "routes[1]", "host and path prefix as routes[0]"
        )
        upper_case_host = sample_configuration()
        upper_case_host["routes"][1] |= {"pathPrefix": "/x/", "hostname": "A.Test"}
        self.assert_rejected(orjson.dumps(upper_case_host), "routes[1]", "host and path prefix as routes[0]")

    def test_negative_weights_and_a_zero_sum_are_rejected(self) -> None:
        split_path = "routes[1].trafficSplit"
        for zero_weight in (0, 0.0, -0.0):
            splits = [{"backend": "s1", "weight": zero_weight}, {"backend": "s2", "weight": 0}]
            self.assert_rejected(
                sample_with("routes", 1, "trafficSplit", to=splits), split_path, "expected a sum of weights above 0"
            )
        splits = [{"backend": "s1", "weight": 5}, {"backend": "s2", "weight": -1}]
        self.assert_rejected(
            sample_with("routes", 1, "trafficSplit", to=splits), split_path + "[1].weight", "0 or more"
        )
        self.assert_rejected(sample_with("routes", 1, "trafficSplit", 0, "weight"), split_path + "[0]", "weight")
        body = sample_with("routes", 1, "trafficSplit", 0, "weight", to="3")
        self.assert_rejected(body, split_path + "[0].weight", "a number")

    def test_a_timeout_that_is_not_positive_is_rejected(self) -> None:
        for timeout in (0, 0.0, -1, -0.5):
            self.assert_rejected(sample_with("routes", 1, "timeoutMs", to=timeout), "routes[1].timeoutMs", "above 0")

    def test_a_revision_out_of_bounds_is_rejected(self) -> None:
        for value in (0, -4, 2**63, 2**70):
            self.assert_rejected(
                sample_with("revision", to=value)
                if value < 2**64
                else sample_with("revision").replace(b"{", b'{"revision":%d,' % value, 1),
                "revision",
                "a number from 1",
            )
        for value in (1.5, "3", True, [], {}):
            self.assert_rejected(sample_with("revision", to=value), "revision", "expected an integer")
        self.assert_rejected(sample_with("revision"), "", "revision")
        self.assert_rejected(sample_with("revision", to=None), "revision", "expected an integer")

    def test_an_api_key_of_two_tenants_is_rejected(self) -> None:
        body = sample_with("tenants", 1, "apiKeys", to=["k3", "k2"])
        self.assert_rejected(body, "tenants[1].apiKeys", "contains an API key that also belongs to tenants[0]")
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_configuration(body)
        self.assertNotIn("k2", str(caught.exception))  # API keys are secrets

    def test_values_of_a_wrong_type_are_rejected_with_their_path(self) -> None:
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
        for path, value, expected_path in cases:
            with self.subTest(path=path, value=value):
                self.assert_rejected(sample_with(*path, to=value), expected_path, "expected")
        for path in (
            ("routes", 1, "hostname"),
            ("routes", 1, "pathPrefix"),
            ("backends", 2, "name"),
            ("tenants", 1, "name"),
        ):
            self.assert_rejected(sample_with(*path), f"{path[0]}[{path[1]}]", path[2])

    def test_any_value_in_any_field_is_accepted_or_rejected(self) -> None:
        """No value in a field raises any error other than ``InvalidConfiguration``."""
        random_source = random.Random(20260)
        unusual_values: list[Any] = [None, True, 0, -1, 2**63, 1.5, 1e308, "", "s1", [], [[]], {}, {"name": None}]
        rejected_count = 0
        for _ in range(3000):
            config: Any = sample_configuration()
            parent, key = config, random_source.choice(list(config))
            while isinstance(parent[key], dict | list) and parent[key] and random_source.random() < 0.75:
                parent = parent[key]
                key = (
                    random_source.choice(list(parent))
                    if isinstance(parent, dict)
                    else random_source.randrange(len(parent))
                )
            parent[key] = random_source.choice(unusual_values)
            try:
                parse_configuration(orjson.dumps(config))
            except InvalidConfiguration as error:
                rejected_count += 1
                self.assertTrue(error.reason)
        self.assertGreater(rejected_count, 300)


class ValidConfigurations(unittest.TestCase):
    def test_every_field_is_read(self) -> None:
        config = parse_configuration(orjson.dumps(sample_configuration()))
        plain_route, split_route = config.routes
        self.assertEqual(config.revision, 3)
        self.assertEqual(
            (plain_route.hostname, plain_route.path_prefix, plain_route.timeout_ms), ("a.test", "/x/", 900.0)
        )
        self.assertEqual(plain_route.targets, [TrafficSplit("s1", 1.0)])
        self.assertEqual(split_route.targets, [TrafficSplit("s1", 3.0), TrafficSplit("s2", 1.0)])
        self.assertEqual(
            (split_route.gap_aim_ms, split_route.target_latency_ms, split_route.priority), (200.0, 500.0, 2.0)
        )
        self.assertEqual((plain_route.retries, plain_route.public, plain_route.sticky), (2, True, False))
        self.assertTrue(
            split_route.sticky and split_route.resumable and split_route.repeatable and plain_route.repeatable
        )
        self.assertEqual(config.services["s1"].health_check, "/up")
        engine = config.services["s2"].engine
        assert engine is not None
        self.assertEqual((engine.slots, engine.link_mbps, engine.models[0].name), (4, 10.5, "m"))
        store = config.services["kept"]
        self.assertEqual(
            (store.kv_store_address, store.zone, store.kv_token_capacity, store.health_check),
            ("10.0.0.9:1", "z", 5000.0, None),
        )
        self.assertEqual((config.limits.max_body_bytes, config.limits.idle_timeout_ms), (65536, 5000.0))
        assert config.tenants is not None
        self.assertEqual((config.tenants[0].api_keys, config.tenants[0].isolated), (["k1", "k2"], True))
        self.assertEqual((config.tenants[1].priority, config.tenants[1].isolated), (None, False))

    def test_unusual_configurations_that_are_valid(self) -> None:
        split = [{"backend": "s1", "weight": 0.25}, {"backend": "s1", "weight": 0}]
        cases: dict[str, bytes] = {
            "fraction in a time": sample_with("routes", 0, "timeoutMs", to=0.5),
            "large": sample_with("routes", 0, "timeoutMs", to=2**62),
            "whole number as a fraction": sample_with("revision", to=4.0),
            "retries as a fraction": sample_with("routes", 0, "retries", to=2.0),
            "weights as fractions, one service twice": sample_with("routes", 1, "trafficSplit", to=split),
            "null backend beside a split": sample_with("routes", 1, "backend", to=None),
            "empty backend beside a split": sample_with("routes", 1, "backend", to=""),
            "backend and split": sample_with("routes", 1, "backend", to="s1"),
            "null split beside a backend": sample_with("routes", 0, "trafficSplit", to=None),
            "empty split beside a backend": sample_with("routes", 0, "trafficSplit", to=[]),
            "no routes": sample_with("routes", to=[]),
            "routes absent": sample_with("routes"),
            "no limits": sample_with("limits"),
            "limits empty": sample_with("limits", to={}),
            "engine null": sample_with("backends", 1, "engine", to=None),
            "engine empty": sample_with("backends", 1, "engine", to={}),
            "unknown fields": sample_with("colour", to={"deep": [1]}),
            "unknown field of a route": sample_with("routes", 0, "colour", to=[1]),
            "unknown field of an engine": sample_with("backends", 1, "engine", "colour", to=1),
            "unknown route type": sample_with("routes", 0, "routeType", to="of a later release"),
            "priority with a fraction": sample_with("routes", 0, "priority", to=1.5),
            "host in capitals": sample_with("routes", 0, "hostname", to="A.TEST"),
            "host with a port": sample_with("routes", 1, "hostname", to="a.test:8080"),
            "one prefix inside another": sample_with("routes", 1, "pathPrefix", to="/x/x/"),
            "the root prefix": sample_with("routes", 1, "pathPrefix", to="/"),
            "prefixes of other case": sample_with("routes", 1, "pathPrefix", to="/X/"),
            "two routes of one name": sample_with("routes", 1, "name", to="plain"),
            "two services of one name": sample_with("backends", 2, "name", to="s1"),
            "names of any text": sample_with("routes", 0, "name", to='é \u2028"\\/ 漢'),
            "a tenant with one key twice": sample_with("tenants", 1, "apiKeys", to=["k3", "k3"]),
            "a tenant without keys": sample_with("tenants", 1, "apiKeys", to=[]),
            "tenants of one name": sample_with("tenants", 1, "name", to="t1"),
        }
        for name, body in cases.items():
            with self.subTest(name):
                parse_configuration(body)

    def test_absent_tenants_differ_from_an_empty_list(self) -> None:
        self.assertIsNone(parse_configuration(sample_with("tenants")).tenants)
        self.assertIsNone(parse_configuration(sample_with("tenants", to=None)).tenants)
        self.assertEqual(parse_configuration(sample_with("tenants", to=[])).tenants, [])

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
        self.assertFalse(parse_configuration(sample_with("routes", 1, "resumable", to=False)).routes[1].repeatable)


class RevisionMatch(unittest.TestCase):
    def test_a_match_of_the_current_revision_is_accepted(self) -> None:
        config = parse_configuration(orjson.dumps(sample_configuration()))
        for if_match in ("2", '"2"', ' "2" ', 'W/"2"', "02"):
            check_change(2, if_match, config.revision)
        check_change(0, "0", config.revision)

    def test_a_match_of_another_revision_is_stale(self) -> None:
        config = parse_configuration(orjson.dumps(sample_configuration()))
        for if_match in ("1", "3", "0", "", None, "*", "two", "-2", "+2", "2.0", "٢", "2, 3", '"', "9" * 5000):
            with self.subTest(if_match=if_match), self.assertRaises(StaleMatch) as caught:
                check_change(2, if_match, config.revision)
            self.assertEqual((caught.exception.status, caught.exception.current), (412, 2))
            self.assertIn("revision 2 is current", str(caught.exception))

    def test_a_revision_that_is_not_above_the_current_one_is_rejected(self) -> None:
        config = parse_configuration(orjson.dumps(sample_configuration()))
        for current in (3, 4):
            with self.assertRaises(InvalidConfiguration) as caught:
                check_change(current, str(current), config.revision)
            self.assertEqual(caught.exception.path, "revision")
            self.assertIn("expected a revision above the current", caught.exception.reason)

    def test_a_stale_match_is_reported_before_the_revision(self) -> None:
        with self.assertRaises(StaleMatch):
            check_change(5, "4", parse_configuration(orjson.dumps(sample_configuration())).revision)


class Digests(unittest.TestCase):
    def test_the_order_of_fields_and_white_space_do_not_matter(self) -> None:
        config = sample_configuration()
        reversed_fields = dict(reversed(config.items()))
        spaced = orjson.dumps(reversed_fields, option=orjson.OPT_INDENT_2)
        self.assertEqual(body_digest(orjson.dumps(config)), body_digest(spaced))
        self.assertEqual(len(body_digest(spaced)), 32)

    def test_any_difference_changes_the_digest(self) -> None:
        digests = {body_digest(orjson.dumps(sample_configuration()))}
        others = [
            sample_with("revision", to=4),
            sample_with("colour", to=1),
            sample_with("tenants"),
            sample_with("tenants", to=[]),
            sample_with("tenants", to=None),
            sample_with("routes", to=list(reversed(sample_configuration()["routes"]))),
            sample_with("routes", 0, "timeoutMs", to=901),
            sample_with("tenants", 0, "apiKeys", to=["k2", "k1"]),
        ]
        digests |= {body_digest(body) for body in others}
        self.assertEqual(len(digests), len(others) + 1)

    def test_a_body_that_is_not_a_json_object_has_no_digest(self) -> None:
        with self.assertRaises(InvalidConfiguration):
            body_digest(b"{")


if __name__ == "__main__":
    unittest.main()
