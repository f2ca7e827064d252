"""Selection of the machines that become a candidate's backups."""

from __future__ import annotations

from typing import NamedTuple

from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.failure_domains import choose_backups
from rowanshift.controlplane.replication.progress import Candidacy


class BackupCandidates(NamedTuple):
    """Machines that may become backups, in order of preference."""

    alive: list[int]
    reliable: list[int]  # subset of ``alive`` without objections


class BackupObjections(NamedTuple):
    """Reasons against choosing a machine as a backup, the most serious first."""

    timed_out: bool  # it did not store the state in time during this candidacy
    avoided: bool
    leaving: bool
    possibly_down: bool


class BackupSelection(DurableReplica):
    """Selects backups that are alive and spread over failure domains."""

    def _select_backups(self, candidacy: Candidacy) -> tuple[int, ...] | None:
        """The machines that will store the state in addition to this one; None while too few are alive."""
        candidates = self._backup_candidates(candidacy)
        if len(candidates.alive) < self.max_failures:
            return None
        backups = choose_backups(self.me, candidates.reliable, self.failure_domains, self.tolerance)
        others = [machine for machine in candidates.alive if machine not in backups]
        missing = max(0, self.max_failures - len(backups))
        return (*backups, *others[:missing])

    def _backup_candidates(self, candidacy: Candidacy) -> BackupCandidates:
        """Live machines: those without objections first, then in-sync ones, then voters for this candidacy."""
        alive = (self._heard_within(self.timing.alive_seconds) | candidacy.votes) - {self.me}
        # A failed primary may have been heard recently, so a takeover counts only machines that voted as responsive.
        responsive = self._heard_within(self.timing.backup_timeout_seconds) if candidacy.renewal else candidacy.votes

        def objections(machine: int) -> BackupObjections:
            return BackupObjections(
                timed_out=machine in candidacy.timed_out_backups,
                avoided=self._is_avoided(machine),
                leaving=self._is_leaving(machine),
                possibly_down=machine not in responsive,
            )

        def preference(machine: int) -> tuple[BackupObjections, bool, bool, int]:
            return objections(machine), machine not in candidacy.base.in_sync, machine not in candidacy.votes, machine

        in_order = sorted(alive, key=preference)
        return BackupCandidates(in_order, [machine for machine in in_order if not any(objections(machine))])
