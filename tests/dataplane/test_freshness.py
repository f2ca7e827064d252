"""How recent a router takes its knowledge to be."""

import unittest

from rowanshift.dataplane.freshness import Freshness


class KnownAsOf(unittest.TestCase):
    def test_an_answer_counts_from_when_it_was_asked_for(self) -> None:
        freshness = Freshness(0.0, 1.5)
        self.assertTrue(freshness.confirm(10.0))
        self.assertEqual(
            (freshness.known_as_of, freshness.may_refuse(11.5), freshness.may_refuse(11.6)), (10, True, False)
        )

    def test_a_late_answer_to_an_earlier_poll_takes_nothing_back(self) -> None:
        freshness = Freshness(0.0, 1.5)
        freshness.confirm(10.0)
        freshness.confirm(9.0)
        self.assertEqual(freshness.known_as_of, 10.0)

    def test_a_doubt_is_ended_by_what_was_asked_after_it_began(self) -> None:
        freshness = Freshness(0.0, 1.5)
        freshness.confirm(10.0)
        freshness.mark_stale(10.5)
        self.assertFalse(freshness.confirm(10.4))
        self.assertEqual((freshness.is_stale, freshness.may_refuse(10.6)), (True, False))
        self.assertTrue(freshness.confirm(10.5))
        self.assertEqual((freshness.is_stale, freshness.may_refuse(10.6)), (False, True))

    def test_nothing_is_known_at_the_start(self) -> None:
        freshness = Freshness(3.0, 1.5)
        self.assertEqual((freshness.is_stale, freshness.may_refuse(3.0)), (True, False))


if __name__ == "__main__":
    unittest.main()
