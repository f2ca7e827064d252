"""Bugs planted in the programs of the complete system, each of which a rule of the control plane must find."""

import unittest
from contextlib import AbstractContextManager
from dataclasses import replace
from unittest import mock

import msgspec
import trio
from loguru import logger

from rowanshift.controlplane.configuration_change import CHANGES
from rowanshift.controlplane.order_history import EMPTY_ORDER_HISTORY
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.controlplane.replication.timing import Timing
from rowanshift.dataplane import drain
from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.dataplane.response_writer import ClientDisconnected, ResponseWriter
from rowanshift.dataplane.retry_budget import RetryBudget
from rowanshift.simulation.fleet import ONCE, REPEATED, RESUMED, config_of, play, routes_of


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


def patched_timing(**times: float) -> AbstractContextManager:
    """Patch the timing of replicas; values in seconds."""
    return mock.patch.object(ReplicaCore.__init__, "__defaults__", (0.0, Timing(**times)))


class PlantedFaults(unittest.TestCase):
    """Each scenario breaks no rule without its planted bug, and the expected rule with it."""

    def assert_found(self, rule, reason, scenario, *patches, seeds=("f",), **options):
        """Without the bug no seed breaks a rule; with it at least one seed breaks ``rule`` for the given reason."""

        async def main(fleet):
            fleet.server("other")
            await fleet.start()
            await scenario(fleet)

        for seed in seeds:
            self.assertEqual([str(violation) for violation in play(main, seed, **options)[1].breaches()], [])
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        breaches = [
            violation for seed in seeds for violation in play(main, seed, strict=False, **options)[1].breaches()
        ]
        matching = [violation for violation in breaches if violation.rule == rule and reason in violation.why]
        self.assertTrue(matching, [str(violation) for violation in breaches])

    def test_retry_budget_never_refuses(self):
        async def scenario(fleet):
            for n in range(16):
                fleet.client(f"c{n}", REPEATED, "key-1", 0.05)
            for server in fleet.servers:
                server.answer_lost(0.9)
            await trio.sleep(6)

        self.assert_found(
            "BUDGET", "repeats", scenario, mock.patch.object(RetryBudget, "try_withdraw", lambda budget, now: True)
        )

    def test_router_cuts_open_requests_at_sigterm(self):
        async def scenario(fleet):
            for n in range(6):
                fleet.client(f"c{n}", (RESUMED, ONCE)[n % 2], "key-1", 0.05, 400)
            await trio.sleep(1)
            router = fleet.routers[0]
            await fleet.until(lambda: router.program.frontend.open_requests >= 2)  # streams that the shutdown will cut
            fleet.terminate(router)
            await trio.sleep(4)

        self.assert_found(
            "LOST",
            "SIGTERM",
            scenario,
            mock.patch.multiple(drain, NOTICE_SECONDS=0.05, END_RESERVE_SECONDS=8.0, END_RESERVE_MAX_FRACTION=1.0),
        )

    def test_router_closes_kept_connections_without_a_response(self):
        original, first_sends = ResponseWriter.send, []

        async def cut(writer, data):
            if not writer.bytes_written:
                first_sends.append(writer)
                if not len(first_sends) % 5:
                    raise ClientDisconnected
            await original(writer, data)

        async def scenario(fleet):
            first_sends.clear()
            for n in range(6):
                fleet.client(f"c{n}", REPEATED, "key-1", 0.05)
            await trio.sleep(4)

        self.assert_found("LOST", "kept connection", scenario, mock.patch.object(ResponseWriter, "send", cut))

    def test_router_applies_an_older_update(self):
        original, first_updates = ControlCache.apply, {}

        def apply(cache, update, asked_at):
            applied = original(cache, update, asked_at)
            if update.has_state and update.revision == 1:
                first_updates[cache] = update
            elif not update.has_state and cache.routing_table.revision == 2:
                older = msgspec.structs.replace(
                    first_updates[cache], fingerprint=update.fingerprint, has_server_records=False, has_peers=False
                )
                original(cache, older, asked_at)
            return applied

        async def scenario(fleet):
            fleet.client("c", ONCE, "key-1", 0.05)
            await trio.sleep(1)
            routes = routes_of()
            routes[1]["backend"] = "other"
            await fleet.put(config_of(2, routes=routes))
            await trio.sleep(3)

        self.assert_found("CONFIG", "was seen at", scenario, mock.patch.object(ControlCache, "apply", apply))

    def test_primary_forgets_its_order_history_at_a_takeover(self):
        original = CHANGES[b"PUT"]

        def put_without_history(state, if_match, body):
            return original(replace(state, orders=EMPTY_ORDER_HISTORY), if_match, body)

        async def scenario(fleet):
            await fleet.put(config_of(2))
            fleet.kill(fleet.primary())
            await fleet.send_again(1)

        self.assert_found("CONFIG", "sent again", scenario, mock.patch.dict(CHANGES, {b"PUT": put_without_history}))

    def test_repeated_put_is_refused_after_a_lost_acknowledgement(self):
        original = CHANGES[b"PUT"]

        def put_without_history(state, if_match, body):
            return original(replace(state, orders=EMPTY_ORDER_HISTORY), if_match, body)

        async def scenario(fleet):
            fleet.operator.lost_acknowledgements = 1.0
            with trio.move_on_after(1.5):
                await fleet.put(config_of(2))
            fleet.operator.lost_acknowledgements = 0.0
            await fleet.put(config_of(2))

        self.assert_found("CONFIG", "sent again", scenario, mock.patch.dict(CHANGES, {b"PUT": put_without_history}))

    def test_isolated_primary_acknowledges_alone(self):
        original = ReplicaRunner.change

        async def change_alone(replica_runner, make_next, timeout):
            replica = replica_runner.replica
            if replica.is_primary and replica_runner.lease_remaining() == 0.0:
                return make_next(replica.committed_state) or replica.committed_state
            return await original(replica_runner, make_next, timeout)

        async def scenario(fleet):
            unit = fleet.primary()
            fleet.cut(unit)
            await trio.sleep(3)
            for _ in range(6):
                await fleet.put(config_of(fleet.sent + 1))
            fleet.join(unit)
            await trio.sleep(1)

        self.assert_found(
            "CONFIG",
            "is primary of epoch",
            scenario,
            mock.patch.object(ReplicaRunner, "change", change_alone),
            patched_timing(quorum_loss_seconds=1000.0),
        )

    def test_singleton_tasks_continue_after_the_lease(self):
        async def scenario(fleet):
            await fleet.name_version(2)
            await trio.sleep(0.5)
            unit = fleet.primary()
            fleet.cut(unit)
            await trio.sleep(8)
            fleet.join(unit)

        self.assert_found(
            "ONE",
            "after",
            scenario,
            patched_timing(lease_seconds=1000.0, quorum_loss_seconds=1000.0),
            seeds=("f", "1", "2", "3", "4", "5"),  # in one of these, both lease holders give orders to the same server
            servers=6,
            load=2.0,
            fencing=False,
        )


if __name__ == "__main__":
    unittest.main()
