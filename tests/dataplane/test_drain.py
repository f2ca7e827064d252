"""Graceful shutdown: which requests a draining router admits in each phase, on both sides of each bound."""

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
LONG_TIMEOUT = 15.0  # seconds from the arrival of a request to its deadline, longer than the grace period


def draining(longest: float = 0.0) -> Drain:
    """A drain that began at ``BEGAN``, after one request of ``KIND`` that took ``longest`` seconds (0: none)."""
    drain = Drain(GRACE)
    if longest:
        drain.durations.record(KIND, longest, BEGAN)
    drain.begin(BEGAN)
    return drain


class Phases(unittest.TestCase):
    def test_a_router_serves_until_sigterm(self) -> None:
        drain = Drain(GRACE)
        self.assertEqual(drain.phase(BEGAN, 0), DrainPhase.SERVING)
        self.assertTrue(drain.may_send(BEGAN, BEGAN, BEGAN + 3600, KIND))

    def test_order_of_phases(self) -> None:
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

    def test_a_second_sigterm_has_no_effect(self) -> None:
        drain = draining()
        drain.begin(BEGAN + 5.0)
        self.assertEqual(drain.work_ends_at, BEGAN + GRACE - END_RESERVE_SECONDS)

    def test_a_short_grace_period_shortens_the_notice(self) -> None:
        drain = Drain(3.0)
        drain.begin(BEGAN)
        self.assertEqual(drain.notice_ends_at, BEGAN + 1.0)

    def test_a_short_grace_period_shortens_the_reserve(self) -> None:
        for grace in (0.5, 4.0):
            drain = Drain(grace)
            drain.begin(BEGAN)
            end = BEGAN + grace * (1 - END_RESERVE_MAX_FRACTION)
            for at, phase in ((end - 0.001, DrainPhase.REFUSING), (end + 0.001, DrainPhase.FINISHED)):
                with self.subTest(grace=grace, at=at):
                    self.assertEqual(drain.phase(at, 3), phase)

    def test_without_a_grace_period_the_router_finishes_at_once(self) -> None:
        drain = Drain(0.0)
        drain.begin(BEGAN)
        self.assertEqual(drain.phase(BEGAN, 3), DrainPhase.FINISHED)


class Admission(unittest.TestCase):
    def test_announced_admits_requests_that_are_expected_to_finish(self) -> None:
        left = GRACE - END_RESERVE_SECONDS
        for arrival, longest, admitted in (
            (0.0, left, True),
            (0.0, left + 0.01, False),
            (2.5, 4.8, True),
            (2.5, 4.81, False),
        ):
            with self.subTest(arrival=arrival, longest=longest):
                now = BEGAN + arrival
                self.assertEqual(draining(longest).may_send(now, now, now + LONG_TIMEOUT, KIND), admitted)

    def test_announced_admits_requests_of_unknown_duration(self) -> None:
        self.assertTrue(draining().may_send(BEGAN + 1.0, BEGAN + 1.0, BEGAN + 1.0 + LONG_TIMEOUT, KIND))

    def test_rare_long_requests_do_not_cause_refusals_of_others(self) -> None:
        """Up to ``MAX_LATE_FRACTION`` of the durations may be longer than the time left."""
        now, few = BEGAN + 1.0, int(MAX_LATE_FRACTION * MAX_DURATIONS_PER_KIND)
        for late, admitted in ((few, True), (few + 1, False)):
            with self.subTest(late=late):
                drain = draining()
                for number in range(MAX_DURATIONS_PER_KIND):
                    drain.durations.record(KIND, 7.0 if number < late else 1.0, BEGAN)
                self.assertEqual(drain.may_send(now, now, now + LONG_TIMEOUT, KIND), admitted)
                self.assertFalse(
                    drain.may_send(BEGAN + NOTICE_SECONDS, BEGAN + NOTICE_SECONDS, now + LONG_TIMEOUT, KIND)
                )

    def test_a_request_that_waited_is_checked_again_before_it_is_sent(self) -> None:
        received_at = BEGAN + 1.0
        self.assertTrue(draining(3.0).may_send(BEGAN + 4.0, received_at, received_at + LONG_TIMEOUT, KIND))
        self.assertFalse(draining(3.0).may_send(BEGAN + 4.4, received_at, received_at + LONG_TIMEOUT, KIND))
        self.assertFalse(draining().may_send(BEGAN + NOTICE_SECONDS, received_at, received_at + LONG_TIMEOUT, KIND))

    def test_refusing_admits_requests_whose_deadline_is_early_enough(self) -> None:
        now, end = BEGAN + NOTICE_SECONDS, BEGAN + GRACE - END_RESERVE_SECONDS
        self.assertTrue(draining(0.1).may_send(now, now, end, KIND))
        self.assertFalse(draining(0.1).may_send(now, now, end + 0.001, KIND))

    def test_nothing_is_admitted_once_the_process_is_about_to_exit(self) -> None:
        drain = draining()
        drain.stop_admitting()
        self.assertFalse(drain.may_send(BEGAN, BEGAN, BEGAN + 0.1, KIND))


class Durations(unittest.TestCase):
    def test_the_late_fraction_is_known_for_one_to_two_spans(self) -> None:
        durations = RequestDurations()
        for number in range(10):
            durations.record(KIND, 2.0 if number < 3 else 1.0, 1.0 + number)
        for at, seconds, fraction in (
            (11.0, 0.9, 1.0),
            (11.0, 1.0, 0.3),
            (11.0, 2.0, 0.0),
            (DURATION_SPAN_SECONDS + 1.0, 1.0, 0.3),
            (2 * DURATION_SPAN_SECONDS + 2.0, 1.0, None),
        ):
            with self.subTest(at=at, seconds=seconds):
                self.assertEqual(durations.late_fraction(KIND, at, at + seconds), fraction)

    def test_both_spans_count(self) -> None:
        durations = RequestDurations()
        durations.record(KIND, 2.0, 1.0)
        durations.record(KIND, 1.0, DURATION_SPAN_SECONDS + 1.0)
        self.assertEqual(durations.late_fraction(KIND, DURATION_SPAN_SECONDS + 2.0, DURATION_SPAN_SECONDS + 3.5), 0.5)

    def test_all_durations_are_dropped_after_a_long_idle_period(self) -> None:
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

    def test_requests_with_responses_of_another_length_are_another_kind(self) -> None:
        self.assertEqual(request_kind("chat", 33), KIND)
        self.assertNotEqual(request_kind("chat", 9), KIND)


if __name__ == "__main__":
    unittest.main()
