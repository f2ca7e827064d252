"""Servers from entries of the platform's endpoint list: parsing, and rejection of invalid entries."""

import random
import unittest

from rowanshift.controlplane.errors import BadEndpointList
from rowanshift.controlplane.registered_server import RegisteredServer, parse_registered_server
from rowanshift.wire.control_updates import (
    CONTROL_UPDATE_CODEC,
    SERVER_DRAINING,
    SERVER_LOADING,
    SERVER_UP,
    ServerRecord,
    Update,
)


def entry(id="i-0-1", version=1, service="s", **fields):
    return {
        "id": id,
        "backend": service,
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": "up",
        "models": [{"name": "m", "revision": version}],
        **fields,
    }


class ListEntries(unittest.TestCase):
    def test_an_entry_is_parsed(self):
        record = ServerRecord("i-0-1", "s", "10.0.0.1:80", "z", 4, SERVER_UP, {"m": 1})
        self.assertEqual(parse_registered_server(entry()).record(), record)

    def test_optional_fields_may_be_absent(self):
        server = parse_registered_server({"id": "i", "backend": "s", "address": "a:1"})
        self.assertEqual(server.record(), ServerRecord("i", "s", "a:1", "", 1, SERVER_UP, {}))
        self.assertEqual(
            parse_registered_server(entry(models=[{"name": "m"}, {"name": "n", "revision": None}])).versions,
            {"m": 0, "n": 0},
        )

    def test_an_entrys_state_is_up_draining_or_loading(self):
        server = parse_registered_server(entry(state="draining"))
        self.assertEqual(server.record().state, SERVER_DRAINING)
        server.loading = True
        self.assertEqual(server.record().state, SERVER_DRAINING | SERVER_LOADING)
        self.assertEqual(parse_registered_server(entry(state="unheard of")).record().state, SERVER_UP)

    def test_an_invalid_entry_is_rejected(self):
        for invalid in (
            None,
            1,
            "x",
            [],
            {},
            {"id": "i"},
            entry(models=1),
            entry(models=["m"]),
            entry(models=[{}]),
            entry(models=[None]),
            entry(slots="many"),
            entry(slots=[1]),
            entry(slots=float("nan")),
            entry(models=[{"name": "m", "revision": "x"}]),
        ):
            with self.assertRaises(BadEndpointList, msg=repr(invalid)):
                parse_registered_server(invalid)

    def random_value(self, random_source, depth=2):
        kind = random_source.randrange(8 if depth else 6)
        if kind == 6:
            return [self.random_value(random_source, depth - 1) for _ in range(random_source.randrange(3))]
        if kind == 7:
            names = random_source.sample(("id", "name", "revision", "x"), 3)
            return {name: self.random_value(random_source, depth - 1) for name in names}
        return random_source.choice((None, True, 0, -1, 3, 0.5, "", "draining", "12", "x"))

    def test_any_values_are_parsed_or_rejected(self):
        random_source, rejected = random.Random(1), 0
        for _ in range(5000):
            invalid = entry()
            for name in random_source.sample(sorted(invalid), random_source.randrange(1, 4)):
                if random_source.random() < 0.3:
                    del invalid[name]
                else:
                    invalid[name] = self.random_value(random_source)
            try:
                self.assertIsInstance(parse_registered_server(invalid), RegisteredServer)
            except BadEndpointList:
                rejected += 1
        self.assertGreater(rejected, 500)

    def test_parsed_entries_can_be_sent_to_routers(self):
        """A server that cannot be encoded would prevent the complete registry from being sent to routers."""
        for invalid in (
            entry(slots=-1),
            entry(slots=2**64),
            entry(version=-1),
            entry(version=2**64),
            entry(id="i" * 65_536),
            entry(zone="z" * 65_536),
        ):
            with self.subTest(str(invalid)[:200]):
                try:
                    record = parse_registered_server(invalid).record()
                except BadEndpointList:
                    continue
                CONTROL_UPDATE_CODEC.pack(Update((0, 0), 0, False, 0, b"", {}, (1, 1), True, (record,)))


if __name__ == "__main__":
    unittest.main()
