"""The checks of retries, planned maintenance, orders and pauses on handwritten histories near each bound."""

import unittest
from dataclasses import replace

from rowanshift.invariants import system as rules
from rowanshift.invariants.breaches import NO_FAULTS, KnownFaults
from rowanshift.invariants.system import (
    Answered,
    Asked,
    Began,
    Bounds,
    ConfigAnswered,
    ConfigSent,
    Finished,
    Lost,
    Ordered,
    OrderReplied,
    PrimaryBecame,
    Reached,
    Resumed,
    RouterStarted,
    Signalled,
)

FRONT, OTHER_FRONT = "127.1.0.1:8080", "127.1.0.2:8080"
CONTROL, OTHER_CONTROL = "127.1.0.3:8090", "127.1.0.4:8090"
BOUNDS = Bounds(retry_ratio=0.2, retry_slack=2.0, retry_window=10.0)


def config_of(revision, service="s1", **more):
    route = {"hostname": "h", "pathPrefix": "/a/", "public": True, "backend": service} | more
    return {"revision": revision, "routes": [route]}


def sent(at, revision, service="s1", call="", **more):
    return ConfigSent(at, call or f"c{revision}", revision - 1, revision, config_of(revision, service, **more))


def acknowledged(at, revision, call=""):
    return ConfigAnswered(at, call or f"c{revision}", revision - 1, revision, 200)


def asked(at, id, front=FRONT, within=6.0):
    return Asked(at, id, "h", "POST", "/a/x", b"{}", front=front, within=within)


def began(at, id, service="s1"):
    return Began(at, id, "i1", service, f"i1/{id}", "seal", "h", "POST", "/a/x", b"{}")


def descriptions(breaches):
    return [violation.why for violation in breaches]


class Budget(unittest.TestCase):
    """In any 10 s, 2 retries are allowed and 0.2 more per request."""

    def found(self, requests, repeats):
        facts = [sent(0.0, 1), acknowledged(0.1, 1)]
        facts += [asked(at, f"q{n}") for n, at in enumerate(requests)]
        facts += [Reached(10.0, "r", "i1", "s1")]
        facts += [Reached(at, "r", "i2", "s1", 503) for at in repeats]  # refused arrivals count as well
        return rules.budget(facts, BOUNDS)

    def test_the_slack_alone(self):
        self.assertEqual(self.found([], [11.0, 12.0]), [])
        [violation] = self.found([], [11.0, 12.0, 20.9])
        self.assertEqual((violation.rule, violation.ids, violation.at), ("BUDGET", ("s1",), 20.9))
        self.assertEqual(self.found([], [11.0, 12.0, 21.0]), [])  # never three within 10 s

    def test_requests_of_the_window_or_one_before_allow_more(self):
        """The windows that contain all three retries end at 30.2 s to just before 40 s."""
        repeats = [30.0, 30.1, 30.2]
        for at in (30.0, 25.0, 20.0):
            self.assertEqual(self.found([at] * 5, repeats), [], at)
            self.assertEqual(len(self.found([at] * 4, repeats)), 1, at)
        [violation] = self.found([19.9] * 5, repeats)  # allows the retries no longer, before they are past
        self.assertEqual(violation.at, 39.9)
        [violation] = self.found([9.0] * 5, repeats)
        self.assertEqual(violation.at, 30.2)

    def test_the_window_half_a_window_before(self):
        """The five requests in it are split between the other two windows that are counted."""
        split = [34.5, 34.5, 34.5, 35.5, 35.5]
        self.assertEqual(self.found(split, [40.1, 40.2, 40.3]), [])
        self.assertEqual(len(self.found(split[1:], [40.1, 40.2, 40.3])), 1)

    def test_requests_for_another_service_allow_nothing(self):
        facts = [sent(0.0, 1, "s2"), acknowledged(0.1, 1), *[asked(9.0, f"q{n}") for n in range(50)]]
        facts += [Reached(10.0 + n, "r", "i1", "s1") for n in range(4)]
        self.assertEqual([violation.ids for violation in rules.budget(facts, BOUNDS)], [("s1",)])
        self.assertEqual(rules.budget(facts[:-1], BOUNDS), [])


class PlannedWork(unittest.TestCase):
    """A SIGTERM at 10 s; the grace is 8 s."""

    TERM = Signalled(10.0, "router-0", FRONT, "SIGTERM")

    def found(self, *facts):
        return rules.lost([*facts], BOUNDS)

    def cut(self, at, since=9.5, front=FRONT, **more):
        return [asked(since, "r", front, **more), Reached(since + 0.1, "r", "i1", "s1"), Lost(at, "r", "closed")]

    def test_a_cut_after_sigterm(self):
        [violation] = self.found(self.TERM, *self.cut(10.5))
        self.assertEqual((violation.rule, violation.ids), ("LOST", ("r",)))
        for allowed in (
            self.cut(9.9),  # before it
            self.cut(19.1, 18.0),  # after the whole period
            self.cut(10.5, front=OTHER_FRONT),
            self.cut(10.5, within=0.9),  # its deadline was reached
            [asked(9.5, "r"), Reached(9.6, "r", "i1", "s1"), Lost(10.5, "r", "left")],  # the client disconnected
            [*self.cut(10.5), began(9.7, "r"), Finished(10.4, "r", "i1/r", "crash")],
        ):
            self.assertEqual(self.found(self.TERM, *allowed), [])

    def test_a_cut_of_a_started_answer(self):
        facts = [asked(9.5, "r"), Reached(9.6, "r", "i1", "s1"), Answered(10.5, "r", 200, whole=False)]
        self.assertEqual(len(self.found(self.TERM, *facts)), 1)
        self.assertEqual(self.found(self.TERM, *facts[:2], replace(facts[2], left=True)), [])
        self.assertEqual(self.found(self.TERM, *facts[:2], replace(facts[2], whole=True)), [])

    def test_a_request_that_was_not_passed_on_counts_after_the_slack(self):
        self.assertEqual(self.found(self.TERM, asked(10.4, "r"), Lost(10.5, "r", "closed")), [])
        self.assertEqual(len(self.found(self.TERM, asked(10.2, "r"), Lost(10.5, "r", "closed"))), 1)

    def test_a_server_at_work_in_the_last_sixth_of_the_grace(self):
        """The last sixth begins at 16.667 s. An earlier version of the rule exempted the second half, from 14 s on."""
        work = began(9.7, "r")
        self.assertEqual(self.found(self.TERM, work, *self.cut(16.67, within=9.0)), [])
        for at in (13.9, 14.1, 16.66):
            self.assertEqual(len(self.found(self.TERM, work, *self.cut(at, within=9.0))), 1, at)

    def test_a_server_that_finished_before_the_last_sixth(self):
        work = began(9.7, "r")
        for finished_at, breaches in ((16.66, 1), (16.67, 0)):
            done = Finished(finished_at, "r", "i1/r", "done")
            self.assertEqual(len(self.found(self.TERM, work, done, *self.cut(17.0, within=9.0))), breaches, finished_at)

    def test_a_server_that_began_only_after_the_grace(self):
        for at, breaches in ((18.0, 0), (18.01, 1)):
            self.assertEqual(len(self.found(self.TERM, began(at, "r"), *self.cut(18.5, within=9.5))), breaches, at)

    def test_no_server_was_at_work(self):
        self.assertEqual(len(self.found(self.TERM, *self.cut(17.0, within=9.0))), 1)

    def test_a_long_request_that_was_sent_too_late_after_sigterm(self):
        """It is exempt only if it was sent at most 3 s after SIGTERM."""
        for at, breaches in ((13.0, 0), (13.01, 1)):
            facts = [self.TERM, began(at + 0.2, "r"), *self.cut(17.0, at)]
            self.assertEqual(len(self.found(*facts)), breaches, at)

    def test_until_when_a_sigterm_counts(self):
        for at, breaches in ((19.0, 1), (19.01, 0)):
            self.assertEqual(len(self.found(self.TERM, *self.cut(at, 14.0))), breaches, at)

    def test_a_cut_after_sighup(self):
        hangup = Signalled(10.0, "router-0", FRONT, "SIGHUP")
        self.assertEqual(len(self.found(hangup, *self.cut(14.0, 11.9))), 1)
        self.assertEqual(self.found(hangup, *self.cut(14.0, 12.1)), [])

    def test_a_cut_around_a_configuration(self):
        """The router cuts all its requests at that time, or as many as at other times."""
        change = [sent(9.0, 1, timeoutMs=6000), acknowledged(9.2, 1)]
        self.assertEqual(len(self.found(*change, *self.cut(10.5))), 1)
        self.assertEqual(self.found(*change, *self.cut(12.3, 12.0)), [])  # 3 s after the acknowledgement
        self.assertEqual(self.found(*change, *self.cut(12.1, 7.5)), [])  # over 0.7 of its time limit had passed
        before = [replace(fact, at=fact.at - 9.0, id="r0") for fact in self.cut(10.5)]
        self.assertEqual(self.found(*change, *before, *self.cut(10.5)), [])


class KeptConnections(unittest.TestCase):
    """A router may close three reused connections without an answer."""

    def cut(self, n, kept=True, front=FRONT, refused=0, end=None):
        id, at = f"r{n}", 10.0 + n
        facts = [replace(asked(at, id, front), kept=kept), Reached(at + 0.1, id, "i1", "s1", "", refused)]
        return [*facts, end or Lost(at + 0.5, id, "closed")]

    def found(self, facts, troubles=NO_FAULTS):
        return rules.lost_on_kept_connections(facts, BOUNDS, troubles)

    def of_cuts(self, count, **more):
        return [fact for n in range(count) for fact in self.cut(n, **more)]

    def test_more_than_three(self):
        self.assertEqual(self.found(self.of_cuts(3)), [])
        [violation] = self.found(self.of_cuts(4))
        self.assertEqual((violation.rule, violation.ids, violation.at), ("LOST", ("r3",), 13.5))
        self.assertEqual([violation.ids for violation in self.found(self.of_cuts(5))], [("r3",), ("r4",)])
        self.assertIn(violation, rules.check(self.of_cuts(4), BOUNDS))

    def test_each_machine_is_counted_separately(self):
        self.assertEqual(self.found(self.of_cuts(3) + self.cut(3, front=OTHER_FRONT)), [])

    def test_cuts_that_do_not_count(self):
        three = self.of_cuts(3)
        for allowed in (
            self.cut(3, kept=False),
            self.cut(3, refused=503),  # no server accepted it
            [
                fact for fact in self.cut(3) if type(fact) is not Reached
            ],  # the request crossed the close of the connection
            self.cut(3, end=Answered(13.5, "r3", 200, whole=False)),  # an answer had begun
            self.cut(3, end=Lost(13.5, "r3", "left")),
            [*self.cut(3), began(13.1, "r3"), Finished(13.4, "r3", "i1/r3", "crash")],  # the server caused the end
            self.cut(3, end=Lost(19.01, "r3", "closed")),  # its deadline was reached
        ):
            self.assertEqual(self.found(three + allowed), [])
        self.assertEqual(len(self.found(three + self.cut(3, end=Lost(18.99, "r3", "closed")))), 1)

    def test_a_disconnected_machine(self):
        for until, breaches in ((9.0, 1), (10.0, 0)):
            troubles = KnownFaults(out_of_touch=lambda front, since, _, until=until: since <= until)
            self.assertEqual(len(self.found(self.of_cuts(4), troubles)), breaches, until)


class Regression(unittest.TestCase):
    """Versions 1 and 3 name one service, 2 another."""

    VERSIONS = (sent(1.0, 1), sent(2.0, 2, "s2"), sent(8.0, 3))
    LIFE = RouterStarted(0.0, "router-0", FRONT)
    SEEN = (asked(3.0, "new"), began(3.1, "new", "s2"))

    def found(self, *facts):
        return rules.regressed([self.LIFE, *self.VERSIONS, *self.SEEN, *facts], 0.25)

    def test_a_request_that_only_an_older_version_allows(self):
        [violation] = self.found(asked(3.4, "old"), began(3.5, "old"))
        self.assertEqual((violation.rule, violation.ids), ("CONFIG", ("old", "i1")))
        self.assertIn("only up to 1; 2 was seen", violation.why)

    def test_handling_that_is_no_regression(self):
        self.assertEqual(self.found(asked(3.3, "soon"), began(3.5, "soon")), [])  # within the slack
        self.assertEqual(self.found(asked(3.4, "again"), began(3.5, "again", "s2")), [])
        self.assertEqual(self.found(asked(8.5, "newer"), began(8.6, "newer")), [])  # version 3 allows it
        self.assertEqual(self.found(asked(3.4, "there", OTHER_FRONT), began(3.5, "there")), [])
        self.assertEqual(self.found(replace(self.LIFE, at=3.3), asked(3.4, "life"), began(3.5, "life")), [])

    def test_a_denial_that_only_an_older_version_allows(self):
        closed = sent(1.0, 1, pathPrefix="/b/")
        facts = [self.LIFE, closed, *self.VERSIONS[1:], *self.SEEN, asked(3.4, "old"), Answered(3.5, "old", 404)]
        self.assertEqual(len(rules.regressed(facts, 0.25)), 1)
        self.assertEqual(rules.regressed([*facts[:-1], Answered(3.5, "old", 503)], 0.25), [])


class Orders(unittest.TestCase):
    FIRST = (sent(1.0, 1, call="a"), ConfigAnswered(1.2, "a", 0, 1, 200))

    def test_an_accepted_order_is_refused(self):
        for status in (409, 412, 429):
            again = [sent(2.0, 1, call="b"), ConfigAnswered(2.1, "b", 0, 1, status)]
            [why] = descriptions(rules.refused_again([*self.FIRST, *again]))
            self.assertIn(f"answered {status}", why)
        for allowed in (
            [sent(2.0, 1, call="b"), ConfigAnswered(2.1, "b", 0, 1, 200)],
            [sent(2.0, 1, call="b"), ConfigAnswered(2.1, "b", 0, 1, 0)],
            [sent(2.0, 1, call="b"), ConfigAnswered(2.1, "b", 0, 1, 503)],
            [
                sent(2.0, 1, "s2", "b"),
                ConfigAnswered(2.1, "b", 0, 1, 412),
            ],  # another configuration with the same revision
            [sent(1.1, 1, call="b"), ConfigAnswered(1.3, "b", 0, 1, 412)],  # sent before it was acknowledged
        ):
            self.assertEqual(rules.refused_again([*self.FIRST, *allowed]), [])

    def test_a_lost_acknowledgement_is_binding(self):
        facts = [
            sent(1.0, 1, call="a"),
            OrderReplied(1.2, "a", 1.0, CONTROL, 200, lost=True),
            OrderReplied(1.5, "a", 1.3, OTHER_CONTROL, 412),
            ConfigAnswered(1.5, "a", 0, 1, 412),
        ]
        [why] = descriptions(rules.refused_again(facts))
        self.assertIn("acknowledged at 1.200 s", why)
        self.assertEqual(rules.refused_again([facts[0], *facts[2:]]), [])

    def test_an_order_is_acknowledged_by_a_deposed_primary(self):
        epochs = [PrimaryBecame(0.5, CONTROL, 5), PrimaryBecame(2.0, OTHER_CONTROL, 7)]
        change = sent(1.0, 1, call="a")

        def found(at, control, *more):
            return rules.acknowledged_by_deposed(
                [*epochs, change, OrderReplied(at, "a", 1.0, control, 200), *more], 0.3
            )

        self.assertEqual(found(1.5, CONTROL), [])
        self.assertEqual(found(2.5, OTHER_CONTROL), [])
        self.assertEqual(found(2.04, CONTROL), [])  # in transit
        self.assertEqual([violation.rule for violation in found(2.1, CONTROL)], ["CONFIG"])
        self.assertEqual(found(2.1, CONTROL, Resumed(1.9, "core-0", CONTROL)), [])
        self.assertEqual(len(found(2.3, CONTROL, Resumed(1.9, "core-0", CONTROL))), 1)


class Holders(unittest.TestCase):
    def found(self, *rows, resumed=()):
        orders = [Ordered(at, "i1", holder, fence, 202) for at, holder, fence in rows]
        return descriptions(rules.one([*orders, *resumed], 3.0, thaw=0.3))

    def test_holders_that_alternate_with_a_third_between(self):
        self.assertEqual(self.found((1.0, "a", 1), (2.0, "b", 2), (3.0, "c", 3), (3.9, "a", 4)), ["holders take turns"])
        self.assertEqual(self.found((1.0, "a", 1), (2.0, "b", 2), (3.0, "c", 3), (4.0, "a", 4)), [])

    def test_orders_that_arrive_late_after_a_pause(self):
        rows = (1.0, "a", 1), (6.0, "b", 2), (7.0, "a", 1)
        self.assertEqual(len(self.found(*rows)), 1)
        self.assertEqual(self.found(*rows, resumed=[Resumed(6.8, "a")]), [])
        self.assertEqual(len(self.found(*rows, resumed=[Resumed(6.6, "a")])), 1)
        self.assertEqual(len(self.found(*rows, resumed=[Resumed(6.8, "b")])), 1)


if __name__ == "__main__":
    unittest.main()
