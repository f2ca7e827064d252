"""Parsing requests, encoding them for servers, and parsing the routing table."""

import random
import unittest
from contextlib import suppress

import orjson

from rowanshift.dataplane.cache_pools import cache_salt
from rowanshift.dataplane.errors import UnreadableConfiguration
from rowanshift.dataplane.requests import (
    MAX_DEADLINE_MS,
    ServerFields,
    effective_priority,
    parse_prompt_blocks,
    parse_request,
    parse_token_count,
    serialize_request,
)
from rowanshift.dataplane.routing_table import RoutingTable, Tenant, parse_routing_table
from rowanshift.transport.http_connection import MalformedMessage, Message

CONFIG = {
    "limits": {"maxBodyBytes": 1000, "headerTimeoutMs": 500, "idleTimeoutMs": 2000},
    "backends": [
        {"name": "a", "healthCheck": "/up", "maxConnections": 7, "engine": {"kvTokenBytes": 16}},
        {"name": "b"},
        {"name": "k", "kvStoreAddress": "10.0.0.7:9000"},
    ],
    "routes": [
        {"name": "root", "hostname": "H.example", "pathPrefix": "/", "backend": "a"},
        {
            "name": "deep",
            "hostname": "h.example",
            "pathPrefix": "/v1/chat",
            "backend": "a",
            "priority": 4,
            "routeType": "streaming",
            "resumable": True,
            "retries": 3,
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
        },
        {
            "name": "v1",
            "hostname": "h.example",
            "pathPrefix": "/v1",
            "routeType": "idempotent",
            "trafficSplit": [{"backend": "a", "weight": 3}, {"backend": "b", "weight": 1}],
        },
        {"name": "other", "hostname": "o.example", "pathPrefix": "/x", "backend": "b", "public": True},
    ],
    "tenants": [
        {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 8},
        {"name": "t2", "apiKeys": ["k3"], "isolated": True},
    ],
}
ID = (b"request-id", b"r-1")


def routing_table(config=CONFIG):
    return parse_routing_table(3, orjson.dumps(config), {"m": 2})


def parse(*fields, target=b"/v1/chat", method=b"POST", body=b"{}", now=100.0):
    return parse_request(Message(method, target, fields=list(fields), body=body), now)


def encoded(request, tenant=None, seconds_left=1.0, version=2, last_event_id=None, fetch=None, save=None, priority=5):
    data = serialize_request(
        request, tenant, ServerFields("i-0-1", seconds_left, version, last_event_id, fetch, save, priority)
    )
    head, _, body = data.partition(b"\r\n\r\n")
    request_line, *lines = head.split(b"\r\n")
    return request_line, [tuple(line.split(b": ", 1)) for line in lines], body


class RoutingTables(unittest.TestCase):
    def test_the_longest_prefix(self):
        for path, name in (
            (b"/v1/chat/x", "deep"),
            (b"/v1/chat", "deep"),
            (b"/v1/cha", "v1"),
            (b"/v2", "root"),
            (b"/", "root"),
        ):
            self.assertEqual(routing_table().find_route(b"h.example", path).name, name)

    def test_the_order_of_routes_does_not_matter(self):
        random_source = random.Random(1)
        for _ in range(50):
            rows = random_source.sample(CONFIG["routes"], len(CONFIG["routes"]))
            table = routing_table({**CONFIG, "routes": rows})
            self.assertEqual(table.find_route(b"h.example", b"/v1/chat/x").name, "deep")
            self.assertEqual(table.find_route(b"h.example", b"/v1").name, "v1")

    def test_no_route(self):
        self.assertIsNone(routing_table().find_route(b"o.example", b"/y"))
        self.assertIsNone(routing_table().find_route(b"none", b"/"))
        self.assertIsNone(routing_table().find_route(b"h.example", b""))

    def test_all_fields(self):
        table = routing_table()
        route = table.find_route(b"h.example", b"/v1/chat")
        self.assertEqual((route.timeout, route.target_latency, route.max_attempts, route.priority), (1.5, 0.2, 3, 4))
        self.assertTrue(route.is_streaming and route.is_repeatable and not route.public)
        self.assertEqual((table.max_body_bytes, table.header_timeout, table.idle_timeout), (1000, 0.5, 2.0))
        self.assertEqual((table.services["a"].health_path, table.services["a"].max_connections), (b"/up", 7))
        self.assertEqual((table.services["k"].store_address, table.services["a"].kv_token_bytes), ("10.0.0.7:9000", 16))
        self.assertEqual((table.revision, table.versions), (3, {"m": 2}))
        self.assertIs(table.tenants[b"k1"], table.tenants[b"k2"])
        self.assertTrue(table.tenants[b"k3"].isolated)
        self.assertTrue(table.find_route(b"o.example", b"/x").public)

    def test_repeatable_routes(self):
        for kind, resumable, expected in (
            ("streaming", True, True),
            ("streaming", False, False),
            ("idempotent", False, True),
            ("", True, False),
        ):
            row = {"hostname": "h", "pathPrefix": "/", "backend": "a", "routeType": kind, "resumable": resumable}
            self.assertEqual(routing_table({"routes": [row]}).find_route(b"h", b"/").is_repeatable, expected)

    def test_without_tenants_no_keys_are_required(self):
        self.assertIsNone(routing_table({}).tenants)
        self.assertEqual(routing_table({"tenants": []}).tenants, {})

    def test_weights(self):
        route = routing_table().find_route(b"h.example", b"/v1")
        self.assertEqual([route.choose_service(n / 1000) for n in range(1000)].count("a"), 750)
        self.assertEqual((route.choose_service(0.0), route.choose_service(1.0)), ("a", "b"))

    def test_a_weight_of_zero_gets_nothing(self):
        for weights in ((0, 1, 0), (0, 0, 2), (5, 0, 0)):
            split = [{"backend": name, "weight": weight} for name, weight in zip("xyz", weights, strict=True)]
            row = {"hostname": "h", "pathPrefix": "/", "trafficSplit": split}
            route = routing_table({"routes": [row]}).find_route(b"h", b"/")
            only = "xyz"[[weight > 0 for weight in weights].index(True)]
            self.assertEqual({route.choose_service(n / 100) for n in range(101)}, {only})

    def test_priority(self):
        route = routing_table().find_route(b"h.example", b"/v1/chat")
        for tenant, expected in (
            (None, 4),
            (Tenant(b"t", None, False), 4),
            (Tenant(b"t", 0, False), 0),
            (Tenant(b"t", 99, False), 9),
            (Tenant(b"t", -3, False), 0),
        ):
            self.assertEqual(effective_priority(route, tenant), expected)

    def test_no_configuration(self):
        self.assertEqual(parse_routing_table(9, b"", {"m": 1}), RoutingTable(versions={"m": 1}))

    def test_invalid_configurations(self):
        for data in (
            b"x",
            b"null",
            b"[]",
            b"1",
            b"\xff",
            b'{"routes": [1]}',
            b'{"routes": [{}]}',
            b'{"limits": 1}',
            b'{"backends": [{}]}',
            b'{"backends": [{"name": []}]}',
            b'{"tenants": [{"name": 1}]}',
            b'{"tenants": 1}',
            b'{"backends": [{"name": "a", "maxConnections": "x"}]}',
        ):
            with self.assertRaises(UnreadableConfiguration, msg=data):
                parse_routing_table(1, data, {})
        random_source, good = random.Random(2), orjson.dumps(CONFIG)
        for _ in range(3000):
            corrupted = bytearray(good)
            corrupted[random_source.randrange(len(corrupted))] = random_source.randrange(256)
            with suppress(UnreadableConfiguration):
                parse_routing_table(1, bytes(corrupted), {})


class Parsing(unittest.TestCase):
    def assert_rejected(self, *fields, **arguments):
        with self.assertRaises(MalformedMessage) as caught:
            parse(*fields, **arguments)
        self.assertEqual(caught.exception.status, 400)

    def test_a_request_with_all_fields(self):
        request = parse(
            ID,
            (b"host", b"H.example:80"),
            (b"authorization", b"Bearer k1"),
            (b"model-name", b"m"),
            (b"deadline-remaining", b"1500"),
            (b"prompt-prefix", b"a:10, b:20,c:5"),
            (b"token-count", b"35, 100"),
            (b"last-event-id", b"7"),
            target=b"/v1/chat?x=/y",
        )
        self.assertEqual((request.id, request.host, request.api_key), (b"r-1", b"h.example", b"k1"))
        self.assertEqual(request.model, "m")
        self.assertEqual((request.path, request.target), (b"/v1/chat", b"/v1/chat?x=/y"))
        self.assertEqual((request.deadline, request.received_at), (101.5, 100.0))
        self.assertEqual((request.prompt_blocks, request.prefix), (((b"a", 10), (b"b", 20), (b"c", 5)), b"b"))
        self.assertEqual((request.token_count, request.last_event_id), ((35, 100), b"7"))

    def test_the_prefix(self):
        self.assertEqual(parse(ID).prefix, b"r-1")
        self.assertEqual(parse(ID, (b"prompt-prefix", b"a:1")).prefix, b"a")
        self.assertEqual(parse(ID, (b"prompt-prefix", b"a:1,b:2")).prefix, b"a")

    def test_a_missing_request_id(self):
        self.assert_rejected()
        self.assert_rejected((b"request-id", b""))

    def test_repeated_headers(self):
        for name, value in (
            ID,
            (b"deadline-remaining", b"5"),
            (b"authorization", b"Bearer k1"),
            (b"prompt-prefix", b"a:1"),
        ):
            fields = [pair for pair in (ID,) if pair[0] != name]
            self.assert_rejected(*fields, (name, value), (name, value))
            self.assert_rejected(*fields, (name, value), (b"x", b"y"), (name, b"other"))
        parse(ID, (b"x-any", b"1"), (b"x-any", b"2"))

    def test_deadlines(self):
        for text, seconds in ((b"0", 0.0), (b"1", 0.001), (b"2.5", 0.0025), (b"1e3", 1.0), (b"9" * 40, 3600.0)):
            self.assertAlmostEqual(parse(ID, (b"deadline-remaining", text)).deadline, 100.0 + seconds)
        self.assertEqual(parse(ID).deadline, 160.0)
        self.assertEqual(MAX_DEADLINE_MS, 3_600_000)

    def test_invalid_deadlines(self):
        for text in (
            b"",
            b"x",
            b"-1",
            b"nan",
            b"inf",
            b"-inf",
            b"Infinity",
            b"1e999",
            b"1,2",
            b"0x10",
            b"\xff",
            b"1 2",
            b"5s",
        ):
            self.assert_rejected(ID, (b"deadline-remaining", text))

    def test_invalid_prompt_prefixes(self):
        for text in (
            b"",
            b"a",
            b"a:",
            b"a:x",
            b"a:-1",
            b"a:1.5",
            b"a:1,",
            b",a:1",
            b"a:1,,b:2",
            b"a:1,b",
            b":",
            b"a:1;b:2",
            b"a: 1",
            b"a:\xb2",
            b"\xff",
        ):
            self.assertEqual(parse_prompt_blocks(text), (), text)
            self.assertEqual(parse(ID, (b"prompt-prefix", text)).prompt_blocks, ())

    def test_excessive_numbers_of_tokens(self):
        """A header of 16 KiB can hold a number that Python refuses to parse, and one too large for a float."""
        for digits in (5000, 400):
            text = b"9" * digits
            with self.subTest("parts", digits=digits):
                tokens = sum(size for _, size in parse_prompt_blocks(b"a:1,b:" + text))
                self.assertLess(float(tokens), float("inf"))
            with self.subTest("tokens", digits=digits):
                self.assertLess(float(sum(parse_token_count(text + b"," + text))), float("inf"))

    def test_random_prompt_prefixes_and_counts(self):
        random_source = random.Random(3)
        for _ in range(5000):
            text = bytes(random_source.choices(b"ab:,0 9-.\xff", k=random_source.randrange(14)))
            self.assertTrue(all(tokens >= 0 for _, tokens in parse_prompt_blocks(text)))
            self.assertTrue(min(parse_token_count(text)) >= 0)

    def test_token_counts(self):
        for text, tokens in (
            (b"", (0, 0)),
            (b"5", (5, 0)),
            (b"5,7", (5, 7)),
            (b",7", (0, 7)),
            (b"x,7", (0, 7)),
            (b"-5,7", (0, 7)),
            (b"5,7,9", (5, 0)),
        ):
            self.assertEqual(parse_token_count(text), tokens)

    def test_keys(self):
        for text, key in (
            (b"Bearer k1", b"k1"),
            (b"bearer  k1 ", b"k1"),
            (b"BEARER k1", b"k1"),
            (b"Basic k1", None),
            (b"k1", None),
            (b"", None),
        ):
            self.assertEqual(parse(ID, (b"authorization", text)).api_key, key)
        self.assertIsNone(parse(ID).api_key)

    def test_absolute_targets(self):
        for target, path in ((b"http://h.example/v1?q=1", b"/v1"), (b"HTTPS://h:80/", b"/"), (b"http://h", b"/")):
            self.assertEqual(parse(ID, target=target).path, path)
        self.assertEqual(parse(ID, target=b"http://h/v1?q=http://x/y").target, b"/v1?q=http://x/y")

    def test_an_absolute_target_without_a_path_keeps_its_query(self):
        for query in (b"?q=1", b"?q=/v1/chat"):
            request = parse(ID, target=b"http://h" + query)
            self.assertEqual((request.path, request.target), (b"/", b"/" + query))

    def test_invalid_targets(self):
        for target in (b"", b"*", b"v1", b"h:80", b"ftp://h/v1", b"://h/v1", b"?q"):
            self.assert_rejected(ID, target=target)


class Encoding(unittest.TestCase):
    FORGED_FIELDS = (
        (b"tenant-name", b"evil"),
        (b"expect-instance", b"evil"),
        (b"expect-version", b"evil"),
        (b"cache-salt", b"evil"),
        (b"kv-fetch", b"evil"),
        (b"kv-save", b"evil"),
        (b"priority", b"evil"),
        (b"deadline-remaining", b"77777"),
        (b"authorization", b"Bearer evil"),
        (b"last-event-id", b"evil"),
    )

    def test_forwarded_fields(self):
        request = parse(
            ID,
            (b"host", b"h"),
            (b"x-any", b"1"),
            (b"x-any", b"2"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"1"),
            target=b"/v1?q=1",
        )
        request_line, lines, body = encoded(request, Tenant(b"t1", None, False), 1.25, fetch=b"f:1", save=b"s:1")
        self.assertEqual((request_line, body), (b"POST /v1?q=1 HTTP/1.1", b"{}"))
        self.assertEqual(
            lines,
            [
                (b"request-id", b"r-1"),
                (b"host", b"h"),
                (b"x-any", b"1"),
                (b"x-any", b"2"),
                (b"Deadline-Remaining", b"1250"),
                (b"Expect-Instance", b"i-0-1"),
                (b"Tenant-Name", b"t1"),
                (b"Expect-Version", b"2"),
                (b"Cache-Salt", b"v2."),
                (b"Kv-Fetch", b"f:1"),
                (b"Kv-Save", b"s:1"),
                (b"Priority", b"5"),
                (b"Content-Length", b"2"),
            ],
        )

    def test_fields_for_the_server_are_forwarded_unchanged(self):
        client_fields = ((b"model-name", b"m"), (b"token-count", b"12,3"), (b"prompt-prefix", b"ab:10, cd:2"))
        _, lines, _ = encoded(parse(ID, *client_fields), Tenant(b"t", None, True))
        self.assertEqual([line for line in lines if line[0] in dict(client_fields)], list(client_fields))

    def test_router_fields_from_clients_are_not_forwarded(self):
        request = parse(ID, *self.FORGED_FIELDS)
        for tenant in (None, Tenant(b"t", None, True)):
            for version in (0, 2):
                data = serialize_request(request, tenant, ServerFields("i", 1.0, version))
                self.assertNotIn(b"evil", data)
                self.assertNotIn(b"77777", data)

    def test_each_field_occurs_once(self):
        _, lines, _ = encoded(
            parse(ID, *self.FORGED_FIELDS), Tenant(b"t", None, True), last_event_id=b"9", fetch=b"f", save=b"s"
        )
        names = [name.lower() for name, _ in lines]
        self.assertEqual(len(names), len(set(names)))
        self.assertEqual(dict(lines)[b"Last-Event-Id"], b"9")

    def test_the_key_is_never_forwarded(self):
        for scheme in (b"Bearer ", b"bearer  ", b"Basic ", b""):
            request = parse(ID, (b"authorization", scheme + b"secret"))
            data = serialize_request(request, Tenant(b"t", None, False), ServerFields("i", 1.0, 1))
            self.assertNotIn(b"secret", data)

    def test_salts(self):
        table = RoutingTable(1)
        tenants = (None, Tenant(b"a", None, False), Tenant(b"b", 1, False))
        isolated = (Tenant(b"a", None, True), Tenant(b"b", None, True), Tenant(b"1.a", None, True))
        for version in (1, 2, 11):
            self.assertEqual(len({cache_salt(table.cache_pool(tenant), version) for tenant in tenants}), 1)
        salts = [
            cache_salt(table.cache_pool(tenant), version) for version in (1, 2, 11, 12) for tenant in (None, *isolated)
        ]
        self.assertEqual(len(set(salts)), len(salts))

    def test_without_a_version_there_are_no_cache_fields(self):
        names = {name for name, _ in encoded(parse(ID), version=0, fetch=b"f", save=b"s")[1]}
        self.assertFalse(names & {b"Expect-Version", b"Cache-Salt", b"Kv-Fetch", b"Kv-Save"})

    def test_the_deadline_is_at_least_a_millisecond(self):
        for seconds_left, text in (
            (-5.0, b"1"),
            (0.0, b"1"),
            (0.0004, b"1"),
            (0.0019, b"1"),
            (0.002, b"2"),
            (3.0, b"3000"),
        ):
            self.assertEqual(dict(encoded(parse(ID), seconds_left=seconds_left)[1])[b"Deadline-Remaining"], text)

    def test_the_length_of_the_body(self):
        for method, body, expected in (
            (b"POST", b"", b"0"),
            (b"PUT", b"abc", b"3"),
            (b"GET", b"", None),
            (b"GET", b"ab", b"2"),
            (b"DELETE", b"", None),
        ):
            _, lines, encoded_body = encoded(parse(ID, (b"content-length", b"99"), method=method, body=body))
            self.assertEqual((dict(lines).get(b"Content-Length"), encoded_body), (expected, body))


if __name__ == "__main__":
    unittest.main()
