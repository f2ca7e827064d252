"""Coordination in the simulated system: random faults of the core under load, and bugs planted in the service."""

import unittest
from unittest import mock

from loguru import logger

from rowanshift.controlplane.coordination import state_machine
from rowanshift.controlplane.coordination.state_machine import Applied, CoordinationStateMachine, Effect
from rowanshift.controlplane.coordination_runner import CoordinationRunner, PendingCall
from rowanshift.controlplane.errors import NotConfirmed
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.simulation.core_draw import draw_core_scenario
from rowanshift.simulation.core_play import CoreRunResult, run_core_scenario
from rowanshift.simulation.core_scenario import CoreFault, CoreLoad, CoreScenario

SEEDS = range(400, 403)  # in CI; for more, run `simulate --core --applications 2 --seeds`
FAULT_SEEDS = range(1, 9)  # at least one of these must expose a planted bug
APPLICATIONS = 3
KILLS = [CoreFault(at_s, "kill", "coordinator", 1.2) for at_s in (2.0, 5.0, 8.0, 11.0)]
FREEZES = [CoreFault(at_s, "freeze", "coordinator", 2.5) for at_s in (2.0, 6.0, 10.0)]
CUTS = [CoreFault(at_s, "cut", "coordinator", 2.5) for at_s in (2.0, 5.0, 8.0, 11.0)]


def run_applications(faults: list[CoreFault], seconds: float = 16.0, seed: int = 1) -> CoreRunResult:
    load = CoreLoad(clients=0, change_every_s=0.0, applications=APPLICATIONS)
    return run_core_scenario(CoreScenario(seed=seed, seconds=seconds, load=load, trouble=faults))


def first_broken_rules(faults: list[CoreFault], *rules: str, seconds: float = 16.0) -> set[str]:
    """Return which of these rules are broken by the first seed that breaks any; an empty set if no seed does."""
    for seed in FAULT_SEEDS:
        run = run_applications(faults, seconds, seed)
        assert not run.error, run.error
        if found := {violation.rule for violation in run.breaches} & {*rules}:
            return found
    return set()


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class RandomFaults(unittest.TestCase):
    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = run_core_scenario(draw_core_scenario(seed, applications=2))
                self.assertEqual((run.error, run.breaches, run.unmet), ("", [], []))

    def test_same_seed_gives_same_run(self) -> None:
        first, again = (run_applications(KILLS, 6.0).digest for _ in range(2))
        self.assertEqual(first, again)


class PlantedFaults(unittest.TestCase):
    """Each planted bug is found: without it no rule is broken, with it one is."""

    def test_no_rule_is_broken_without_a_planted_bug(self) -> None:
        for faults in (KILLS, CUTS, FREEZES):
            run = run_applications(faults)
            self.assertEqual((run.error, run.breaches, run.unmet), ("", [], []))

    def test_fencing_token_reused_after_a_takeover(self) -> None:
        created = CoordinationStateMachine.__init__

        def create(self: CoordinationStateMachine, packed: bytes, now: float, history_seconds: float) -> None:
            created(self, packed, now, history_seconds)
            self.state.last_token = 0

        with mock.patch.object(CoordinationStateMachine, "__init__", create):
            self.assertTrue(first_broken_rules(KILLS, "ONE"))

    def test_lock_granted_early_after_a_takeover(self) -> None:
        created = CoordinationStateMachine.__init__

        def create(self: CoordinationStateMachine, packed: bytes, now: float, history_seconds: float) -> None:
            created(self, packed, now, history_seconds)
            self._held_until = dict.fromkeys(self._held_until, now)

        with mock.patch.object(CoordinationStateMachine, "__init__", create):
            self.assertTrue(first_broken_rules(KILLS, "ONE"))

    def test_lock_granted_before_its_hold_has_ended(self) -> None:
        with mock.patch.object(state_machine, "_hold_seconds", lambda hold_ms: 0.5 * hold_ms / 1000):
            self.assertTrue(first_broken_rules([], "ONE"))

    def test_response_before_the_state_is_replicated(self) -> None:
        async def commit(self: ReplicaRunner, state: bytes, role_changes: int) -> bool:
            self.nursery.start_soon(self._propose, state)
            return True

        with mock.patch.object(ReplicaRunner, "commit", commit):
            self.assertTrue(first_broken_rules(KILLS, "ONE", "ORDER", "STALE", "MIXED", "REFUSED", "LOST"))

    def test_watch_omits_a_put(self) -> None:
        committed_events = CoordinationStateMachine.committed_events

        def leave_out(self: CoordinationStateMachine, group: str, after: int):
            return committed_events(self, group, after + 1)

        with mock.patch.object(CoordinationStateMachine, "committed_events", leave_out):
            self.assertTrue(first_broken_rules([], "ORDER"))

    def test_watch_history_lost_in_a_takeover(self) -> None:
        created = CoordinationStateMachine.__init__

        def create(self: CoordinationStateMachine, packed: bytes, now: float, history_seconds: float) -> None:
            created(self, packed, now, history_seconds)
            list(self.state.history.drop_before(now + 1.0))

        with mock.patch.object(CoordinationStateMachine, "__init__", create):
            self.assertTrue(first_broken_rules(KILLS, "ORDER"))

    def test_put_refused_but_applied(self) -> None:
        def not_confirmed(self: PendingCall) -> Exception:
            return NotConfirmed()

        end = CoordinationRunner._answer

        def refuse_some(self: CoordinationRunner, machine: CoordinationStateMachine, batch: list[PendingCall]) -> None:
            changing = [call for call in batch if call.applied is not None and call.applied.effect is Effect.STATE]
            for pending in changing[:1]:
                pending.fail(not_confirmed(pending))
                batch.remove(pending)
            end(self, machine, batch)

        with mock.patch.object(CoordinationRunner, "_answer", refuse_some):
            self.assertTrue(first_broken_rules([], "REFUSED"))

    def test_put_overwrites_a_later_revision(self) -> None:
        put = CoordinationStateMachine._put

        def put_anyway(self: CoordinationStateMachine, call, now: float) -> Applied:
            return put(self, type(call)(call.key, call.value, None), now)

        with mock.patch.object(CoordinationStateMachine, "_put", put_anyway):
            self.assertTrue(first_broken_rules([], "ORDER"))

    def test_put_applied_twice(self) -> None:
        with mock.patch.object(CoordinationStateMachine, "_first_revision", lambda self, call, key: None):
            self.assertTrue(first_broken_rules(KILLS, "MIXED", "ORDER"))


if __name__ == "__main__":
    unittest.main()
