"""Graceful shutdown: what a draining router still admits in each phase, on both sides of each bound."""

import unittest

from rowanshift.dataplane.drain import (
    DURATION_SPAN_SECONDS,
    END_RESERVE_MAX_FRACTION,
    END_RESERVE_SECONDS,
    MAX_DURATIONS_PER_KIND,
    MAX_LATE_FRACTION,
    MAX_REQUEST_KINDS,
    NOTICE_SECONDS,
    Drain,
    DrainPhase,
    RequestDurations,
    request_kind,
)

GRACE, BEGAN = 8.0, 100.0
KIND = request_kind("chat", 50)
LONG = 15.0  # seconds that a request has


def draining(longest: float = 0.0) -> Drain:
    """A drain that began at ``BEGAN``; requests of ``KIND`` took ``longest`` seconds at most."""
    drain = Drain(GRACE)
    if longest:
        drain.durations.record(KIND, longest, BEGAN)
    drain.begin(BEGAN)
    return drain


class Phases(unittest.TestCase):
    def test_a_router_serves_until_the_signal(self) -> None:
        drain = Drain(GRACE)
        self.assertEqual(drain.phase(BEGAN, 0), DrainPhase.SERVING)
        self.assertTrue(drain.may_send(BEGAN, BEGAN, BEGAN + 3600, KIND))

    def test_phases_follow_each_other(self) -> None:
        drain, notice, end = draining(), BEGAN + NOTICE_SECONDS, BEGAN + GRACE - END_RESERVE_SECONDS
        for at, open_requests, phase in (
            (BEGAN, 0, DrainPhase.ANNOUNCED),
            (notice - 0.001, 0, DrainPhase.ANNOUNCED),
            (notice, 1, DrainPhase.REFUSING),
            (notice, 0, DrainPhase.FINISHED),
            (end - 0.001, 1, DrainPhase.REFUSING),
            (end, 1, DrainPhase.FINISHED),
        ):
            with self.subTest(at=at, open=open_requests):
                self.assertEqual(drain.phase(at, open_requests), phase)

    def test_a_second_signal_changes_nothing(self) -> None:
        drain = draining()
        drain.begin(BEGAN + 5.0)
        self.assertEqual(drain.work_ends_at, BEGAN + GRACE - END_RESERVE_SECONDS)

    def test_a_short_grace_shortens_the_notice(self) -> None:
        drain = Drain(3.0)
        drain.begin(BEGAN)
        self.assertEqual(drain.notice_ends_at, BEGAN + 1.0)

    def test_a_short_grace_shortens_the_reserve(self) -> None:
        for grace in (0.5, 4.0):
            drain = Drain(grace)
            drain.begin(BEGAN)
            end = BEGAN + grace * (1 - END_RESERVE_MAX_FRACTION)
            for at, phase in ((end - 0.001, DrainPhase.REFUSING), (end + 0.001, DrainPhase.FINISHED)):
                with self.subTest(grace=grace, at=at):
                    self.assertEqual(drain.phase(at, 3), phase)

    def test_no_grace_leaves_no_time(self) -> None:
        drain = Drain(0.0)
        drain.begin(BEGAN)
        self.assertEqual(drain.phase(BEGAN, 3), DrainPhase.FINISHED)


class Admission(unittest.TestCase):
    def test_announced_admits_what_it_expects_to_finish(self) -> None:
        left = GRACE - END_RESERVE_SECONDS
        for came, longest, taken in (
            (0.0, left, True),
            (0.0, left + 0.01, False),
            (2.5, 4.8, True),
            (2.5, 4.81, False),
        ):
            with self.subTest(came=came, longest=longest):
                now = BEGAN + came
                self.assertEqual(draining(longest).may_send(now, now, now + LONG, KIND), taken)

    def test_announced_admits_what_it_knows_nothing_of(self) -> None:
        self.assertTrue(draining().may_send(BEGAN + 1.0, BEGAN + 1.0, BEGAN + 1.0 + LONG, KIND))

    def test_a_rare_long_one_does_not_turn_the_others_away(self) -> None:
        """Up to ``MAX_LATE_FRACTION`` of them may take longer than is left."""
        now, few = BEGAN + 1.0, int(MAX_LATE_FRACTION * MAX_DURATIONS_PER_KIND)
        for late, taken in ((few, True), (few + 1, False)):
            with self.subTest(late=late):
                drain = draining()
                for number in range(MAX_DURATIONS_PER_KIND):
                    drain.durations.record(KIND, 7.0 if number < late else 1.0, BEGAN)
                self.assertEqual(drain.may_send(now, now, now + LONG, KIND), taken)
                self.assertFalse(drain.may_send(BEGAN + NOTICE_SECONDS, BEGAN + NOTICE_SECONDS, now + LONG, KIND))

    def test_one_that_waited_is_weighed_again_before_it_is_sent(self) -> None:
        came = BEGAN + 1.0
        self.assertTrue(draining(3.0).may_send(BEGAN + 4.0, came, came + LONG, KIND))
        self.assertFalse(draining(3.0).may_send(BEGAN + 4.4, came, came + LONG, KIND))
        self.assertFalse(draining().may_send(BEGAN + NOTICE_SECONDS, came, came + LONG, KIND))

    def test_refusing_admits_what_ends_in_time_by_its_own_deadline(self) -> None:
        now, end = BEGAN + NOTICE_SECONDS, BEGAN + GRACE - END_RESERVE_SECONDS
        self.assertTrue(draining(0.1).may_send(now, now, end, KIND))
        self.assertFalse(draining(0.1).may_send(now, now, end + 0.001, KIND))

    def test_nothing_is_admitted_once_the_process_is_about_to_end(self) -> None:
        drain = draining()
        drain.stop_admitting()
        self.assertFalse(drain.may_send(BEGAN, BEGAN, BEGAN + 0.1, KIND))


class Durations(unittest.TestCase):
    def test_the_share_is_known_for_one_to_two_spans(self) -> None:
        durations = RequestDurations()
        for number in range(10):
            durations.record(KIND, 2.0 if number < 3 else 1.0, 1.0 + number)
        for at, seconds, share in (
            (11.0, 0.9, 1.0),
            (11.0, 1.0, 0.3),
            (11.0, 2.0, 0.0),
            (DURATION_SPAN_SECONDS + 1.0, 1.0, 0.3),
            (2 * DURATION_SPAN_SECONDS + 2.0, 1.0, None),
        ):
            with self.subTest(at=at, seconds=seconds):
                self.assertEqual(durations.late_fraction(KIND, at, at + seconds), share)

    def test_both_spans_count(self) -> None:
        durations = RequestDurations()
        durations.record(KIND, 2.0, 1.0)
        durations.record(KIND, 1.0, DURATION_SPAN_SECONDS + 1.0)
        self.assertEqual(durations.late_fraction(KIND, DURATION_SPAN_SECONDS + 2.0, DURATION_SPAN_SECONDS + 3.5), 0.5)

    def test_a_long_silence_forgets_all(self) -> None:
        durations = RequestDurations()
        durations.record(KIND, 2.0, 1.0)
        self.assertIsNone(durations.late_fraction(KIND, 5 * DURATION_SPAN_SECONDS, 5 * DURATION_SPAN_SECONDS + 1.0))

    def test_durations_of_a_kind_are_bounded(self) -> None:
        durations = RequestDurations()
        for number in range(MAX_DURATIONS_PER_KIND + 5):
            durations.record(KIND, 2.0 if number < 5 else 1.0, 1.0)
        self.assertEqual(len(durations.current[KIND]), MAX_DURATIONS_PER_KIND)
        self.assertEqual(durations.late_fraction(KIND, 1.0, 2.5), 0.0)

    def test_kinds_are_bounded(self) -> None:
        durations = RequestDurations()
        for number in range(MAX_REQUEST_KINDS + 5):
            durations.record(request_kind(f"service-{number}", 50), 1.0, 1.0)
        self.assertEqual(len(durations.current), MAX_REQUEST_KINDS)

    def test_answers_of_another_length_are_another_kind(self) -> None:
        self.assertEqual(request_kind("chat", 33), KIND)
        self.assertNotEqual(request_kind("chat", 9), KIND)


if __name__ == "__main__":
    unittest.main()
