"""Which machines a candidate prefers as backups, and when it has too few to choose from."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from tests.support.replication_rig import FOURTH, ME, OTHER, RECORD, THIRD, epoch_of, single_replica

NOW = 10.0


class Selection(unittest.TestCase):
    def setUp(self) -> None:
        """A candidate that has heard of three others just now, and has a vote of each."""
        self.replica = single_replica()
        self.candidacy = replication.Candidacy(
            epoch_of(2, ME),
            renewal=False,
            phase=replication.CandidacyPhase.PREPARE,
            started_at=NOW,
            phase_started_at=NOW,
            sent_at=NOW,
            votes={ME, OTHER, THIRD, FOURTH},
            base=RECORD,
        )
        for machine in (OTHER, THIRD, FOURTH):
            self.replica.receive(machine, replication.Join(machine), NOW)

    def selected(self) -> tuple[int, ...] | None:
        return self.replica._select_backups(self.candidacy)

    def test_an_in_sync_machine_is_preferred(self) -> None:
        self.assertEqual(self.selected(), (OTHER,))

    def test_a_machine_that_voted_is_preferred_to_one_that_was_heard(self) -> None:
        self.candidacy.votes -= {OTHER, THIRD}
        self.assertEqual(self.selected(), (FOURTH,))

    def test_a_leaving_machine_is_not_preferred(self) -> None:
        self.replica.receive(OTHER, replication.Leave(OTHER), NOW)
        self.assertEqual(self.selected(), (THIRD,))

    def test_a_machine_that_did_not_store_in_time_is_not_preferred(self) -> None:
        self.candidacy.timed_out_backups = {OTHER, THIRD}
        self.assertEqual(self.selected(), (FOURTH,))

    def test_a_machine_with_objections_is_chosen_if_there_is_no_other(self) -> None:
        self.candidacy.votes = {ME, OTHER}
        self.candidacy.timed_out_backups = {OTHER}
        for machine in (THIRD, FOURTH):
            del self.replica._last_heard_at[machine]
        self.assertEqual(self.selected(), (OTHER,))

    def test_no_choice_is_made_while_too_few_machines_are_alive(self) -> None:
        self.candidacy.votes = {ME}
        self.replica.tick(NOW + timing.ALIVE_SECONDS)
        self.assertIsNone(self.selected())


if __name__ == "__main__":
    unittest.main()
