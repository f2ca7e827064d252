"""Selection of backups by a candidate: preferences, and too few live machines."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from tests.support.replication_rig import FOURTH, ME, OTHER, RECORD, THIRD, epoch_of, single_replica

NOW = 10.0


class Selection(unittest.TestCase):
    def setUp(self) -> None:
        """Create a candidate that has just received a message and a vote from each of three other machines."""
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

    def test_a_machine_that_voted_is_preferred_to_one_that_only_sent_a_message(self) -> None:
        self.candidacy.votes -= {OTHER, THIRD}
        self.assertEqual(self.selected(), (FOURTH,))

    def test_a_leaving_machine_is_not_preferred(self) -> None:
        self.replica.receive(OTHER, replication.Leave(OTHER), NOW)
        self.assertEqual(self.selected(), (THIRD,))

    def test_a_machine_that_did_not_store_in_time_is_not_preferred(self) -> None:
        self.candidacy.timed_out_backups = {OTHER, THIRD}
        self.assertEqual(self.selected(), (FOURTH,))

    def test_a_machine_with_objections_is_selected_if_there_is_no_other(self) -> None:
        self.candidacy.votes = {ME, OTHER}
        self.candidacy.timed_out_backups = {OTHER}
        for machine in (THIRD, FOURTH):
            del self.replica._last_heard_at[machine]
        self.assertEqual(self.selected(), (OTHER,))

    def test_no_backups_are_selected_while_too_few_machines_are_alive(self) -> None:
        self.candidacy.votes = {ME}
        self.replica.tick(NOW + timing.ALIVE_SECONDS)
        self.assertIsNone(self.selected())


if __name__ == "__main__":
    unittest.main()
