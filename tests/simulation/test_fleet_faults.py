"""Faults that are put into the programs of the whole system, each found by a check of the control side."""

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


def timing(**changed: float) -> AbstractContextManager:
    """Replicas with other times, in seconds."""
    return mock.patch.object(ReplicaCore.__init__, "__defaults__", (0.0, Timing(**changed)))


class Planted(unittest.TestCase):
    """A scenario finds nothing without its fault, and a breach of the rule, that says so, with it."""

    def found(self, rule, why, scenario, *patches, seeds=("f",), **given):
        """With each of the ``seeds`` nothing without the fault, and with one of them at least the breach with it."""

        async def main(fleet):
            fleet.server("other")
            await fleet.start()
            await scenario(fleet)

        for seed in seeds:
            self.assertEqual([str(breach) for breach in play(main, seed, **given)[1].breaches()], [])
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        breaches = [breach for seed in seeds for breach in play(main, seed, strict=False, **given)[1].breaches()]
        said = [breach for breach in breaches if breach.rule == rule and why in breach.why]
        self.assertTrue(said, [str(breach) for breach in breaches])

    def test_the_budget_of_repeats_never_refuses(self):
        async def scenario(fleet):
            for n in range(16):
                fleet.client(f"c{n}", REPEATED, "key-1", 0.05)
            for server in fleet.servers:
                server.answer_lost(0.9)
            await trio.sleep(6)

        self.found(
            "BUDGET", "repeats", scenario, mock.patch.object(RetryBudget, "try_withdraw", lambda budget, now: True)
        )

    def test_a_router_cuts_its_open_requests_at_sigterm(self):
        async def scenario(fleet):
            for n in range(6):
                fleet.client(f"c{n}", (RESUMED, ONCE)[n % 2], "key-1", 0.05, 400)
            await trio.sleep(1)
            router = fleet.routers[0]
            await fleet.until(lambda: router.program.frontend.open_requests >= 2)  # streams that are cut
            fleet.terminate(router)
            await trio.sleep(4)

        self.found(
            "LOST",
            "SIGTERM",
            scenario,
            mock.patch.multiple(drain, NOTICE_SECONDS=0.05, END_RESERVE_SECONDS=8.0, END_RESERVE_MAX_FRACTION=1.0),
        )

    def test_a_router_closes_kept_connections_without_an_answer(self):
        true, begun = ResponseWriter.send, []

        async def cut(writer, data):
            if not writer.bytes_written:
                begun.append(writer)
                if not len(begun) % 5:
                    raise ClientDisconnected
            await true(writer, data)

        async def scenario(fleet):
            begun.clear()
            for n in range(6):
                fleet.client(f"c{n}", REPEATED, "key-1", 0.05)
            await trio.sleep(4)

        self.found("LOST", "kept connection", scenario, mock.patch.object(ResponseWriter, "send", cut))

    def test_a_router_takes_an_older_update(self):
        true, first = ControlCache.apply, {}

        def take(cache, update, asked_at):
            taken = true(cache, update, asked_at)
            if update.has_state and update.revision == 1:
                first[cache] = update
            elif not update.has_state and cache.routing_table.revision == 2:
                older = msgspec.structs.replace(
                    first[cache], fingerprint=update.fingerprint, has_server_records=False, has_peers=False
                )
                true(cache, older, asked_at)
            return taken

        async def scenario(fleet):
            fleet.client("c", ONCE, "key-1", 0.05)
            await trio.sleep(1)
            routes = routes_of()
            routes[1]["backend"] = "other"
            await fleet.put(config_of(2, routes=routes))
            await trio.sleep(3)

        self.found("CONFIG", "was seen at", scenario, mock.patch.object(ControlCache, "apply", take))

    def test_a_primary_forgets_the_orders_that_it_took(self):
        true = CHANGES[b"PUT"]

        def forgetting(state, if_match, body):
            return true(replace(state, orders=EMPTY_ORDER_HISTORY), if_match, body)

        async def scenario(fleet):
            await fleet.put(config_of(2))
            fleet.kill(fleet.primary())
            await fleet.send_again(1)

        self.found("CONFIG", "sent again", scenario, mock.patch.dict(CHANGES, {b"PUT": forgetting}))

    def test_an_order_is_refused_whose_acknowledgement_was_lost(self):
        true = CHANGES[b"PUT"]

        def forgetting(state, if_match, body):
            return true(replace(state, orders=EMPTY_ORDER_HISTORY), if_match, body)

        async def scenario(fleet):
            fleet.operator.lost_acknowledgements = 1.0
            with trio.move_on_after(1.5):
                await fleet.put(config_of(2))
            fleet.operator.lost_acknowledgements = 0.0
            await fleet.put(config_of(2))

        self.found("CONFIG", "sent again", scenario, mock.patch.dict(CHANGES, {b"PUT": forgetting}))

    def test_a_primary_that_is_cut_off_acknowledges_alone(self):
        true = ReplicaRunner.change

        async def alone(replica_runner, made, within):
            replica = replica_runner.replica
            if replica.is_primary and replica_runner.lease_remaining() == 0.0:
                return made(replica.committed_state) or replica.committed_state
            return await true(replica_runner, made, within)

        async def scenario(fleet):
            unit = fleet.primary()
            fleet.cut(unit)
            await trio.sleep(3)
            for _ in range(6):
                await fleet.put(config_of(fleet.sent + 1))
            fleet.join(unit)
            await trio.sleep(1)

        self.found(
            "CONFIG",
            "is primary of epoch",
            scenario,
            mock.patch.object(ReplicaRunner, "change", alone),
            timing(quorum_loss_seconds=1000.0),
        )

    def test_duties_are_held_after_the_lease(self):
        async def scenario(fleet):
            await fleet.name_version(2)
            await trio.sleep(0.5)
            unit = fleet.primary()
            fleet.cut(unit)
            await trio.sleep(8)
            fleet.join(unit)

        self.found(
            "ONE",
            "after",
            scenario,
            timing(lease_seconds=1000.0, quorum_loss_seconds=1000.0),
            seeds=("f", "1", "2", "3", "4", "5"),  # the two holders must take turns at one server
            servers=6,
            load=2.0,
            fencing=False,
        )


if __name__ == "__main__":
    unittest.main()
