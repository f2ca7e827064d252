"""How recent a router considers its control state to be."""

import unittest

from rowanshift.dataplane.freshness import Freshness


class KnownAsOf(unittest.TestCase):
    def test_the_age_of_an_answer_counts_from_when_its_poll_was_sent(self) -> None:
        freshness = Freshness(0.0, 1.5)
        self.assertTrue(freshness.confirm(10.0))
        self.assertEqual(
            (freshness.known_as_of, freshness.may_refuse(11.5), freshness.may_refuse(11.6)), (10, True, False)
        )

    def test_a_late_answer_to_an_earlier_poll_has_no_effect(self) -> None:
        freshness = Freshness(0.0, 1.5)
        freshness.confirm(10.0)
        freshness.confirm(9.0)
        self.assertEqual(freshness.known_as_of, 10.0)

    def test_stale_state_is_confirmed_only_by_a_poll_sent_since_then(self) -> None:
        freshness = Freshness(0.0, 1.5)
        freshness.confirm(10.0)
        freshness.mark_stale(10.5)
        self.assertFalse(freshness.confirm(10.4))
        self.assertEqual((freshness.is_stale, freshness.may_refuse(10.6)), (True, False))
        self.assertTrue(freshness.confirm(10.5))
        self.assertEqual((freshness.is_stale, freshness.may_refuse(10.6)), (False, True))

    def test_the_state_is_stale_at_the_start(self) -> None:
        freshness = Freshness(3.0, 1.5)
        self.assertEqual((freshness.is_stale, freshness.may_refuse(3.0)), (True, False))


if __name__ == "__main__":
    unittest.main()
