"""Each check of the system's rules on a valid history and on variants that violate it."""

import unittest
from dataclasses import replace

from rowanshift.invariants import system as rules
from rowanshift.invariants.system import (
    Answered,
    Asked,
    Began,
    Bounds,
    CacheHit,
    ConfigAnswered,
    ConfigRead,
    ConfigSent,
    Listed,
    Lost,
    Made,
    Ordered,
    Piece,
    Reached,
    Surplus,
    VersionNamed,
    digest_of,
)

OF = digest_of("POST", "/a/x", b"{}")


def config_of(revision, service="s1", keys=("k1",), isolated=False, prefix="/a/"):
    return {
        "revision": revision,
        "tenants": [{"name": "t1", "apiKeys": list(keys), "isolated": isolated}],
        "routes": [{"hostname": "h", "pathPrefix": prefix, "public": False, "backend": service}],
    }


ASKED = Asked(10.0, "r1", "h", "POST", "/a/x", b"{}", "t1", "k1")
BEGAN = Began(10.1, "r1", "i1", "s1", "i1/1", "seal", "h", "POST", "/a/x", b"{}", "t1", "", "m", 1)
PIECES = (Piece(10.2, "r1", 0, 4, OF, "i1/1"), Piece(10.3, "r1", 4, 8, OF, "i1/1", True))
ANSWERED = Answered(10.4, "r1", 200, "seal", "r1")
SENT, ACKED = ConfigSent(1.0, "c1", 0, 1, config_of(1)), ConfigAnswered(1.1, "c1", 0, 1, 200)
MADE = Made(10.2, "r1", "i1/1", 0, 4, "m", 1)
REACHED = Reached(10.05, "r1", "i1", "s1")
VALID_HISTORY = [SENT, ACKED, ASKED, REACHED, BEGAN, MADE, *PIECES, ANSWERED]
SECOND = replace(BEGAN, at=10.5, run="i2/1", instance="i2", stamp="seal2")


class Requests(unittest.TestCase):
    def assert_violation(self, rule, check, *facts):
        """Assert that the check finds exactly one violation in these events, and return it."""
        found = check(list(facts))
        self.assertEqual([violation.rule for violation in found], [rule], [str(violation) for violation in found])
        return found[0]

    def test_a_valid_history_has_no_violations(self):
        self.assertEqual(rules.check(VALID_HISTORY), [])
        self.assertEqual(rules.check(VALID_HISTORY[::-1]), [])  # facts come in any order
        self.assertEqual(rules.check([]), [])

    def test_twice(self):
        found = self.assert_violation("TWICE", rules.twice, *VALID_HISTORY, SECOND)
        self.assertEqual((found.ids, found.at), (("r1",), 10.5))
        self.assertIn("i2/1", str(found))
        self.assertEqual(rules.twice([replace(ASKED, repeatable=True), BEGAN, SECOND]), [])

    def test_refused(self):
        rejection = replace(ANSWERED, status=503)
        self.assertEqual(self.assert_violation("REFUSED", rules.refused, ASKED, BEGAN, rejection).ids, ("r1",))
        late = replace(BEGAN, at=11.0)
        self.assert_violation("REFUSED", rules.refused, ASKED, rejection, late)  # it runs after the rejection
        for allowed in (
            [ASKED, rejection],
            [replace(ASKED, repeatable=True), BEGAN, rejection],
            [ASKED, BEGAN, replace(ANSWERED, status=502)],
        ):
            self.assertEqual(rules.refused(allowed), [])

    def test_mixed(self):
        for violating in (
            [ASKED, BEGAN, replace(ANSWERED, stamp="")],
            [ASKED, BEGAN, replace(ANSWERED, echoed="r2")],
            [ASKED, BEGAN, replace(ANSWERED, echoed="")],
            [ASKED, BEGAN, replace(PIECES[0], of="other"), ANSWERED],
            [ASKED, BEGAN, replace(PIECES[0], run="i9/9"), ANSWERED],
            [ASKED, BEGAN, ANSWERED, replace(ANSWERED, at=10.5)],
            [ASKED, BEGAN, ANSWERED, Surplus(11.0, "r1", b"more")],
            [ASKED, Lost(11.0, "r1", "garbled")],
            [BEGAN, ANSWERED],
        ):
            self.assertEqual(self.assert_violation("MIXED", rules.mixed, *violating).ids[0], "r1")
        resumed = replace(PIECES[1], run="i2/1")  # the answer keeps the stamp of its first run
        self.assertEqual(rules.mixed([ASKED, BEGAN, SECOND, PIECES[0], resumed, ANSWERED]), [])
        self.assertEqual(rules.mixed([ASKED, replace(ANSWERED, status=503, stamp="", echoed="")]), [])

    def test_unasked(self):
        for change in (
            dict(id="r9"),
            dict(method="PUT"),
            dict(target="/a/y"),
            dict(body=b"{ }"),
            dict(tenant="t2"),
            dict(key="Bearer k1"),
            dict(host="g"),
        ):
            self.assert_violation("UNASKED", rules.unasked, ASKED, replace(BEGAN, **change))
        self.assertEqual(rules.unasked([ASKED, BEGAN]), [])

    def test_order(self):
        first, last = PIECES
        for violating in (
            [replace(first, first=4, last=8)],
            [first, replace(last, first=8, last=12)],
            [first, replace(first, at=10.25), last],
            [first, replace(last, run="i2/1")],
        ):
            self.assertEqual(self.first_violated_rule(rules.order([ASKED, *violating])), "ORDER")
        found = self.assert_violation("ORDER", rules.order, ASKED, first, ANSWERED)  # ends before the last piece
        self.assertEqual(found.at, ANSWERED.at)
        self.assertEqual(rules.order([ASKED, first, replace(ANSWERED, whole=False)]), [])
        resumable = replace(ASKED, repeatable=True)
        self.assertEqual(rules.order([resumable, first, replace(last, run="i2/1"), ANSWERED]), [])
        self.assertEqual(rules.order([replace(resumable, since=4), last, ANSWERED]), [])
        self.assert_violation("ORDER", rules.order, replace(resumable, since=4), first, last, ANSWERED)

    def first_violated_rule(self, found):
        return found[0].rule if found else None

    def test_route(self):
        self.assert_violation("ROUTE", rules.route, SENT, ASKED, replace(BEGAN, service="s2"))
        self.assert_violation("ROUTE", rules.route, SENT, replace(ASKED, key="k9"), BEGAN)
        later = ConfigSent(20.0, "c2", 1, 2, config_of(2, "s2"))
        self.assert_violation("ROUTE", rules.route, SENT, later, ASKED, replace(BEGAN, service="s2"))  # not yet sent
        self.assertEqual(rules.route([SENT, later, ASKED, replace(BEGAN, service="s2", at=21.0)]), [])

    def test_the_longest_prefix_is_the_route(self):
        config = config_of(1)
        config["routes"].append(
            dict(
                hostname="h",
                pathPrefix="/a/x/",
                public=True,
                trafficSplit=[dict(backend="s2", weight=1), dict(backend="s3", weight=0)],
            )
        )
        self.assertEqual(rules.services_of(config, "h", "/a/x/y?q=/", ""), {"s2"})
        self.assertEqual(rules.services_of(config, "h", "/a/x", "k1"), {"s1"})
        self.assertEqual(rules.services_of(config, "h", "/a/x", ""), frozenset())
        self.assertEqual(rules.services_of(config, "g", "/a/x", "k1"), frozenset())


class Configuration(unittest.TestCase):
    SENT2 = ConfigSent(2.0, "c2", 1, 2, config_of(2, "s2"))
    ACKED2 = ConfigAnswered(2.5, "c2", 1, 2, 200)

    def check(self, *facts):
        return [violation.why for violation in rules.config([SENT, ACKED, *facts], 2.0)]

    def test_two_acknowledged_on_one_base(self):
        rival = ConfigSent(2.1, "c3", 1, 3, config_of(3, "s3"))
        [why] = self.check(self.SENT2, self.ACKED2, rival, ConfigAnswered(2.6, "c3", 1, 3, 200))
        self.assertIn("on top of 1", why)
        self.assertEqual(self.check(self.SENT2, self.ACKED2, rival, ConfigAnswered(2.6, "c3", 1, 3, 412)), [])
        same_number = ConfigSent(2.1, "c3", 1, 2, config_of(2, "s3"))
        [why] = self.check(self.SENT2, self.ACKED2, same_number, ConfigAnswered(2.6, "c3", 1, 2, 200))
        self.assertIn("on top of 1", why)

    def test_an_invalid_configuration_is_acknowledged(self):
        self.assertEqual(
            self.check(replace(self.SENT2, valid=False), self.ACKED2), ["an invalid configuration was acknowledged"]
        )

    def test_an_acknowledged_configuration_is_read_back(self):
        facts = self.SENT2, self.ACKED2
        for read, count in ((config_of(2, "s2"), 0), (config_of(1), 1), (None, 1), (config_of(2, "s9"), 1)):
            self.assertEqual(len(self.check(*facts, ConfigRead(9.0, 8.9, read))), count, read)
        unclear = ConfigAnswered(2.5, "c2", 1, 2, 0)  # the configuration may or may not be in force
        for read in (config_of(1), config_of(2, "s2")):
            self.assertEqual(self.check(self.SENT2, unclear, ConfigRead(9.0, 8.9, read)), [])
        lost = ConfigAnswered(2.5, "c2", 1, 2, 412)
        self.assertEqual(len(self.check(self.SENT2, lost, ConfigRead(9.0, 8.9, config_of(2, "s2")))), 1)

    def test_an_old_configuration_is_in_force_too_long(self):
        facts = self.SENT2, self.ACKED2
        old, new = BEGAN, replace(BEGAN, service="s2")  # at 10 s, long after the acknowledgement
        self.assertEqual(len(self.check(*facts, ASKED, old)), 1)
        self.assertEqual(self.check(*facts, ASKED, new), [])
        soon = replace(ASKED, at=4.0)
        self.assertEqual(self.check(*facts, soon, replace(old, at=4.1)), [])
        denied = replace(ANSWERED, status=404)
        self.assertEqual(len(self.check(*facts, ASKED, denied)), 1)
        self.assertEqual(self.check(*facts, replace(ASKED, key="k9"), denied), [])


class Servers(unittest.TestCase):
    def test_stale(self):
        hit = CacheHit(10.1, "r1", "i1", "m", 2, "t1", "", "p", 2, "t1")
        self.assertEqual(rules.stale([hit]), [])
        [found] = rules.stale([hit, replace(hit, made_revision=1)])
        self.assertEqual(found.ids, ("r1", "i1"))

    def test_wall(self):
        hit = CacheHit(10.1, "r1", "i1", "m", 2, "t1", "", "p", 2, "t2")
        self.assertEqual(len(rules.wall([hit], {"t1"})), 1)
        self.assertEqual(len(rules.wall([hit], {"t2"})), 1)
        self.assertEqual(rules.wall([hit], {"t3"}) + rules.wall([replace(hit, made_tenant="t1")], {"t1"}), [])
        walled = ConfigSent(1.0, "c", 0, 1, config_of(1, isolated=True))
        self.assertEqual([len(rules.wall([hit, sent])) for sent in (walled, SENT)], [1, 0])

    def test_version(self):
        named = VersionNamed(2.0, "m", 2)
        self.assertEqual(len(rules.version([named, BEGAN, MADE], 8.0)), 1)
        self.assertEqual(len(rules.version([named, BEGAN], 8.0)), 1)  # there is no token yet
        for allowed in (
            [replace(named, at=2.3), BEGAN, MADE],
            [replace(named, model="n"), BEGAN, MADE],
            [named, replace(BEGAN, at=9.0), replace(MADE, at=9.5), replace(MADE, at=12.0, first=4)],
            [named, replace(BEGAN, revision=2), replace(MADE, revision=2)],
        ):
            self.assertEqual(rules.version(allowed, 8.0), [])

    def test_one(self):
        def orders(*rows):
            return rules.one([Ordered(*row) for row in rows], 3.0)

        self.assertEqual(orders((1, "i1", "a", 1, 202), (2, "i1", "b", 2, 202), (2, "i2", "a", 1, 200)), [])
        for violating in (
            [(1, "i1", "a", 1, 202), (2, "i1", "b", 1, 409)],
            [(1, "i1", "a", 2, 202), (2, "i1", "a", 1, 202)],
            [(1, "i1", "a", 1, 202), (2, "i1", "b", 2, 202), (3, "i1", "a", 3, 202)],
        ):
            self.assertEqual([violation.rule for violation in orders(*violating)], ["ONE"], violating)
        self.assertEqual(orders((1, "i1", "a", 2, 202), (2, "i1", "b", 1, 412), (9, "i1", "b", 3, 202)), [])
        self.assertEqual(orders((1, "i1", "a", 1, 202), (2, "i1", "b", 2, 202), (4.5, "i1", "a", 3, 202)), [])
        apart = [Ordered(1, "i1", "a", 1, 202), Ordered(2, "i2", "b", 1, 202)]
        self.assertEqual([len(rules.one(apart, 3.0, everywhere)) for everywhere in (False, True)], [0, 1])

    def test_drain(self):
        shown = Listed(6.0, "i1", "draining")
        self.assertEqual(len(rules.drain([shown, replace(shown, at=9.0, state="gone"), REACHED], 3.0)), 1)
        for allowed in (
            [replace(shown, at=8.0), REACHED],
            [replace(shown, state="up"), REACHED],
            [shown, replace(REACHED, refused=421)],
            [replace(shown, instance="i2"), REACHED],
        ):
            self.assertEqual(rules.drain(allowed, 3.0), [])

    def test_violations_of_all_checks_are_sorted_by_time(self):
        shown = Listed(6.0, "i1", "draining")
        found = rules.check([*VALID_HISTORY, SECOND, shown, VersionNamed(1.5, "m", 2)], Bounds(version=8.0, drain=3.0))
        self.assertEqual([violation.rule for violation in found], ["DRAIN", "VERSION", "TWICE", "VERSION"])


if __name__ == "__main__":
    unittest.main()
