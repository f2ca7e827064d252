"""Types and messages of the errors of a replica."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication


class Errors(unittest.TestCase):
    def test_all_errors_are_replication_errors(self) -> None:
        for error in (replication.NotPrimary, replication.ProposalInProgress, replication.StateTooLarge):
            self.assertTrue(issubclass(error, replication.ReplicationError), error)

    def test_not_primary_names_the_presumed_primary(self) -> None:
        self.assertIn("machine 3", str(replication.NotPrimary(3)))
        self.assertIn("no primary is known", str(replication.NotPrimary(0)))

    def test_state_too_large_gives_the_size_and_the_limit(self) -> None:
        text = str(replication.StateTooLarge(99_000_000))
        self.assertIn("99000000", text)
        self.assertIn(str(replication.STATE_LIMIT_BYTES), text)


if __name__ == "__main__":
    unittest.main()
