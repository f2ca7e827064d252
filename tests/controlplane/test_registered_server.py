"""Entries of the platform's list as servers: what is read, and what is refused."""

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


def entry(id="i-0-1", version=1, service="s", **more):
    return {
        "id": id,
        "backend": service,
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": "up",
        "models": [{"name": "m", "revision": version}],
        **more,
    }


class ListEntries(unittest.TestCase):
    def test_an_entry_is_read(self):
        record = ServerRecord("i-0-1", "s", "10.0.0.1:80", "z", 4, SERVER_UP, {"m": 1})
        self.assertEqual(parse_registered_server(entry()).record(), record)

    def test_optional_fields_may_be_absent(self):
        made = parse_registered_server({"id": "i", "backend": "s", "address": "a:1"})
        self.assertEqual(made.record(), ServerRecord("i", "s", "a:1", "", 1, SERVER_UP, {}))
        self.assertEqual(
            parse_registered_server(entry(models=[{"name": "m"}, {"name": "n", "revision": None}])).versions,
            {"m": 0, "n": 0},
        )

    def test_an_entrys_state_is_up_draining_or_loading(self):
        made = parse_registered_server(entry(state="draining"))
        self.assertEqual(made.record().state, SERVER_DRAINING)
        made.loading = True
        self.assertEqual(made.record().state, SERVER_DRAINING | SERVER_LOADING)
        self.assertEqual(parse_registered_server(entry(state="unheard of")).record().state, SERVER_UP)

    def test_an_entry_that_cannot_be_read_is_refused(self):
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

    def random_value(self, random_source, deep=2):
        kind = random_source.randrange(8 if deep else 6)
        if kind == 6:
            return [self.random_value(random_source, deep - 1) for _ in range(random_source.randrange(3))]
        if kind == 7:
            names = random_source.sample(("id", "name", "revision", "x"), 3)
            return {name: self.random_value(random_source, deep - 1) for name in names}
        return random_source.choice((None, True, 0, -1, 3, 0.5, "", "draining", "12", "x"))

    def test_any_values_are_read_or_refused(self):
        random_source, refused = random.Random(1), 0
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
                refused += 1
        self.assertGreater(refused, 500)

    def test_what_is_read_can_be_sent_to_routers(self):
        """A server that has no record would keep the complete registry from every router."""
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
                    row = parse_registered_server(invalid).record()
                except BadEndpointList:
                    continue
                CONTROL_UPDATE_CODEC.pack(Update((0, 0), 0, False, 0, b"", {}, (1, 1), True, (row,)))


if __name__ == "__main__":
    unittest.main()
