"""The complete system in the simulation: injected faults, recovery from faults, and planted bugs."""

import dataclasses
import os
import random
import signal
import subprocess
import sys
import unittest
from functools import partial
from pathlib import Path
from tempfile import NamedTemporaryFile
from types import SimpleNamespace
from unittest import mock

import msgspec
import orjson
import trio
from loguru import logger

from rowanshift.controlplane import model_server_client
from rowanshift.controlplane.replication import Replica
from rowanshift.controlplane.service import ControlPlaneService
from rowanshift.controlplane.store import DamagedRecord, StoreClosed, StoreWriteFailed
from rowanshift.controlplane.version_rollout import VersionRollout
from rowanshift.dataplane import control_cache, requests, response_writer, server_attempt
from rowanshift.dataplane.routing_table import Route
from rowanshift.invariants import system as rules
from rowanshift.invariants.system import Answered, Began, Loaded, Ordered, VersionNamed
from rowanshift.process.node_settings import load_node_settings
from rowanshift.simulation.clock import DeterministicScheduling, VirtualClock
from rowanshift.simulation.disk import VirtualDisk
from rowanshift.simulation.fleet import (
    APPLY_SECONDS,
    DRAIN,
    ONCE,
    REPEATED,
    RESUMED,
    SERVICE,
    VERSION,
    Fleet,
    config_of,
    play,
    routes_of,
)
from rowanshift.simulation.network import Network, Paths
from rowanshift.transport.streams import connect


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


def as_text(breaches):
    return [str(violation) for violation in breaches]


async def start_with_load(fleet, clients=5):
    """Start the system with clients and with configurations that are put continuously."""
    fleet.server("other")
    await fleet.start()
    fleet.start_clients(clients)
    fleet.nursery.start_soon(fleet.keep_changing)
    await trio.sleep(1.0)


async def assert_recovered(fleet, read=True):
    """Check that the newest version reaches all servers, and that the configuration can be read."""
    named = max((fact.revision for fact in fleet.of(VersionNamed)), default=1)
    assert await fleet.until(lambda: fleet.is_rolled_out(named)), "the version was not loaded by all servers"
    if read:
        config = await fleet.operator.read_config(15.0)
        assert config is not None, "the configuration could not be read"


async def short_run(fleet):
    fleet.server("other")
    await start_with_load(fleet)
    await fleet.name_version(2)
    await trio.sleep(1.5)
    fleet.kill(fleet.primary())
    await trio.sleep(2)


class Case(unittest.TestCase):
    def run_fault(self, inject, min_served=0.9, settle_seconds=3.0, seed="f", **options):
        """Inject a fault under load, and check the rules and the recovery.

        At least the fraction ``min_served`` of the calls during the fault, and 0.97 of those in the last seconds, must
        get a complete response.
        """

        async def main(fleet):
            await start_with_load(fleet)
            since = fleet.now()
            await inject(fleet)
            until = fleet.now()
            revision = fleet.revision
            changed = await fleet.until(lambda: fleet.revision > revision, 12.0)
            self.assertTrue(changed, "no change was acknowledged")
            await trio.sleep(settle_seconds)
            await assert_recovered(fleet)
            return since, until, fleet.now()

        (since, until, end), fleet = play(main, seed, **options)
        self.assertEqual(as_text(fleet.breaches()), [])
        self.assertEqual(fleet.ended, [])
        self.assertGreaterEqual(fleet.served(since, until), min_served)
        self.assertGreaterEqual(fleet.served(end - 3.0), 0.97)
        return fleet


class WithoutFaults(Case):
    def test_run_without_faults(self):
        async def main(fleet):
            fleet.server("other")  # another server of the service, which serves while the first one loads
            await start_with_load(fleet)
            await trio.sleep(2)
            self.assertEqual(await fleet.name_version(2), 200)
            await trio.sleep(VERSION)
            await assert_recovered(fleet)

        _, fleet = play(main)
        self.assertEqual((as_text(fleet.breaches()), fleet.ended), ([], []))
        self.assertEqual(fleet.served(), 1.0)
        self.assertTrue(fleet.is_rolled_out(2))
        named = fleet.of(VersionNamed)[0].at
        self.assertLess(max(fact.at for fact in fleet.of(Loaded)), named + VERSION)
        holders = {fact.holder for fact in fleet.of(Ordered)}
        self.assertEqual(len(holders), 1)
        self.assertEqual({fact.service for fact in fleet.of(Began)}, {SERVICE, "other"})
        self.assertGreater(len(fleet.of(rules.CacheHit)), 100)

    def test_same_seed_gives_same_run_in_another_process(self):
        """The run must not depend on string hashes, which differ between processes."""
        text = (
            "import test_system_simulation as t, hashlib; t.setUpModule(); "
            "print(hashlib.sha256(repr(t.play(t.short_run, 'a')[1].facts).encode()).hexdigest())"
        )
        path = os.pathsep.join([os.path.dirname(__file__), *sys.path])
        digests = [
            subprocess.run(
                [sys.executable, "-c", text],
                env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in "14"
        ]
        self.assertEqual(digests[0], digests[1])

    def test_same_seed_gives_same_run(self):
        first, again, other = (repr(play(short_run, seed)[1].facts) for seed in ("a", "a", "b"))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)


class MachineFailures(Case):
    """Processes and machines that stop and restart."""

    def stop_and_restart(self, method, select, min_served, seconds=2.0, **options):
        async def inject(fleet):
            unit = select(fleet)
            getattr(fleet, method)(unit)
            await trio.sleep(seconds)
            fleet.back(unit)
            await trio.sleep(2)

        return self.run_fault(inject, min_served, **options)

    def test_a_router_is_killed(self):
        self.stop_and_restart("kill", lambda fleet: fleet.routers[0], 0.7)

    def test_the_primary_is_killed(self):
        self.stop_and_restart("kill", Fleet.primary, 0.97)

    def test_a_backup_is_killed(self):
        self.stop_and_restart("kill", lambda fleet: fleet.backups()[0], 0.97)

    def test_a_router_loses_power(self):
        self.stop_and_restart("cut_power", lambda fleet: fleet.routers[0], 0.5)

    def test_the_primary_loses_power(self):
        self.stop_and_restart("cut_power", Fleet.primary, 0.97)

    def test_the_primary_loses_its_disk(self):
        self.stop_and_restart("empty_disk", Fleet.primary, 0.97)

    def test_a_backup_loses_its_disk(self):
        self.stop_and_restart("empty_disk", lambda fleet: fleet.backups()[0], 0.97)

    def test_a_core_machine_stays_down(self):
        async def inject(fleet):
            fleet.cut_power(fleet.primary())
            await trio.sleep(6)

        self.run_fault(inject, 0.97)

    def test_a_spare_replaces_a_machine_that_stays_down(self):
        async def inject(fleet):
            fleet.cut_power(fleet.primary())
            fleet.spare()
            await trio.sleep(9)  # it recovers its state, joins and becomes a witness
            fleet.cut_power(fleet.primary())
            await trio.sleep(3)

        self.run_fault(inject, 0.97)

    def test_a_router_gets_sigterm(self):
        async def inject(fleet):
            unit = fleet.routers[0]
            fleet.terminate(unit)
            await trio.sleep(7.5)
            self.assertFalse(unit.machine.running)
            fleet.back(unit)
            await trio.sleep(2)

        fleet = self.run_fault(inject, 0.99)
        lost = [fact.id for fact in fleet.of(rules.Lost)]
        broken = [fact.id for fact in fleet.of(Answered) if not fact.whole]
        self.assertEqual([id for id in lost + broken if not self.came_unready(fleet, id)], [])

    def came_unready(self, fleet, id):
        """Whether a request was sent to a router that did not accept new connections any more."""
        return any(fact.id == id and fact.how == "no way" for fact in fleet.of(rules.Lost))

    def test_the_primary_gets_sigterm(self):
        async def inject(fleet):
            unit = fleet.primary()
            fleet.terminate(unit)
            await trio.sleep(1)
            self.assertFalse(unit.machine.running)
            fleet.back(unit)
            await trio.sleep(2)

        self.run_fault(inject, 0.97)


class Freezes(Case):
    def freeze_and_thaw(self, select, min_served, seconds=4.0):
        async def inject(fleet):
            unit = select(fleet)
            fleet.freeze(unit)
            await trio.sleep(seconds)
            fleet.thaw(unit)
            await trio.sleep(2)

        return self.run_fault(inject, min_served)

    def test_the_primary_is_frozen(self):
        self.freeze_and_thaw(Fleet.primary, 0.97)

    def test_a_backup_is_frozen(self):
        self.freeze_and_thaw(lambda fleet: fleet.backups()[0], 0.97)

    def test_a_router_is_frozen(self):
        self.freeze_and_thaw(lambda fleet: fleet.routers[0], 0.5)


class Partitions(Case):
    def cut_and_join(self, select, min_served, seconds=4.0, **directions):
        async def inject(fleet):
            unit = select(fleet)
            fleet.cut(unit, **directions)
            await trio.sleep(seconds)
            fleet.join(unit, **directions)
            await trio.sleep(2)

        return self.run_fault(inject, min_served)

    def test_the_primary_is_cut_off(self):
        self.cut_and_join(Fleet.primary, 0.97)

    def test_messages_from_the_primary_are_lost(self):
        self.cut_and_join(Fleet.primary, 0.97, ways="out")

    def test_messages_to_the_primary_are_lost(self):
        self.cut_and_join(Fleet.primary, 0.97, ways="in")

    def test_a_router_is_cut_off_from_the_core(self):
        self.cut_and_join(lambda fleet: fleet.routers[0], 0.8)

    def test_the_primary_and_a_backup_are_cut_off_from_each_other(self):
        async def inject(fleet):
            one, other = fleet.primary(), fleet.backups()[0]
            fleet.cut(one, [other])
            await trio.sleep(4)
            fleet.join(one, [other])
            await trio.sleep(2)

        self.run_fault(inject, 0.97)

    def test_a_zone_is_cut_off(self):
        async def inject(fleet):
            zone = fleet.primary().zone
            fleet.cut_zone(zone)
            await trio.sleep(5)
            fleet.join_zone(zone)
            await trio.sleep(2)

        self.run_fault(inject, 0.6)


class ClocksAndDisks(Case):
    def test_clocks_step(self):
        async def inject(fleet):
            for n, unit in enumerate(fleet.units):
                fleet.step_clock(unit, 30.0 if n % 2 else -30.0)
            await trio.sleep(2)

        self.run_fault(inject, 0.99)

    def slow_disk_of(self, select, factor=600):
        async def inject(fleet):
            unit = select(fleet)
            fleet.slow_disk(unit, factor)
            await trio.sleep(5)
            fleet.slow_disk(unit, 1)
            await trio.sleep(1)

        self.run_fault(inject, 0.97)

    def test_the_disk_of_the_primary_is_slow(self):
        self.slow_disk_of(Fleet.primary)

    def test_the_disk_of_a_backup_is_slow(self):
        self.slow_disk_of(lambda fleet: fleet.backups()[0])

    def test_the_disk_of_the_primary_hangs(self):
        async def inject(fleet):
            await fleet.hang_disk(fleet.primary(), 4)
            await trio.sleep(1)

        self.run_fault(inject, 0.97)

    def test_the_disk_of_the_primary_refuses_writes(self):
        async def inject(fleet):
            unit = fleet.primary()
            fleet.refuse_writes(unit)
            self.assertTrue(await fleet.until(lambda: fleet.primary() not in (None, unit), 8))
            await trio.sleep(2)
            fleet.refuse_writes(unit, False)
            await trio.sleep(1)

        self.run_fault(inject, 0.97)

    def test_the_disk_of_a_backup_refuses_writes(self):
        async def inject(fleet):
            unit = fleet.backups()[0]
            fleet.refuse_writes(unit)
            await trio.sleep(4)
            fleet.refuse_writes(unit, False)

        self.run_fault(inject, 0.97)

    def test_a_copy_on_the_disk_is_damaged(self):
        async def inject(fleet):
            unit = fleet.primary()
            fleet.kill(unit)
            unit.machine.drive.damage_copy()
            await trio.sleep(1)
            fleet.back(unit)
            await trio.sleep(4)

        self.run_fault(inject, 0.97)


class DiskAtStart(unittest.TestCase):
    """Signals that arrive before a core machine has read its disk."""

    def signal_during_start(self, number, inject):
        async def main(fleet):
            unit = fleet.cores[0]
            inject(unit.machine.drive)
            with NamedTemporaryFile() as file:
                file.write(orjson.dumps(unit.boot))
                file.flush()
                core_service = ControlPlaneService(load_node_settings(file.name), unit.machine, 1)
                ends = []

                async def run():
                    ends.append(await unit.machine.run(core_service.run))

                fleet.nursery.start_soon(run)
                await trio.sleep(0.5)
                unit.machine.signal(number)
                await trio.sleep(2)
            return ends, core_service.replica_runner is not None

        return play(main)[0]

    def test_sighup(self):
        self.assertEqual(self.signal_during_start(signal.SIGHUP, lambda drive: drive.hang(1)), ([], True))

    def test_sigterm_ends_the_process_while_the_disk_refuses_writes(self):
        self.assertEqual(self.signal_during_start(signal.SIGTERM, VirtualDisk.refuse_writes), ([0], False))


class Servers(Case):
    def test_a_server_crashes(self):
        async def inject(fleet):
            fleet.crash(fleet.servers[0])
            await trio.sleep(2)
            fleet.revive(fleet.servers[0])
            await trio.sleep(3)

        self.run_fault(inject, 0.8)

    def test_a_server_is_drained_and_released(self):
        async def inject(fleet):
            await fleet.release(fleet.servers[0], DRAIN)
            await trio.sleep(1)
            fleet.revive(fleet.servers[0])
            await trio.sleep(2)

        fleet = self.run_fault(inject, 1.0)
        self.assertIn("i-0-2", {fact.instance for fact in fleet.of(Began)})

    def test_all_servers_are_full(self):
        async def inject(fleet):
            fleet.client("big", RESUMED, "key-1", 0.05, 200)
            await trio.sleep(3)

        self.run_fault(inject, 0.8, slots=2, queue=0)

    def test_the_primary_is_killed_during_a_rollout(self):
        async def inject(fleet):
            self.assertEqual(await fleet.name_version(2), 200)
            await trio.sleep(0.6)
            unit = fleet.primary()
            fleet.kill(unit)
            await trio.sleep(3)
            fleet.back(unit)
            self.assertTrue(await fleet.until(lambda: fleet.is_rolled_out(2)))

        self.run_fault(inject, 0.95)

    def test_a_server_crashes_during_a_rollout(self):
        async def inject(fleet):
            self.assertEqual(await fleet.name_version(2), 200)
            await fleet.until(lambda: any(server.busy for server in fleet.servers))
            server = next(server for server in fleet.servers if server.busy)
            fleet.crash(server)
            await trio.sleep(1)
            fleet.revive(server)
            await trio.sleep(2)
            self.assertTrue(await fleet.until(lambda: fleet.is_rolled_out(2)))

        self.run_fault(inject, 0.8)


class Configurations(Case):
    def test_a_route_moves_within_the_bound(self):
        async def main(fleet):
            fleet.server("other")
            await fleet.start()
            fleet.start_clients(6)
            await trio.sleep(1)
            routes = routes_of()
            routes[1]["backend"] = "other"
            self.assertEqual(await fleet.put(config_of(2, routes=routes)), 200)
            at = fleet.now()
            await trio.sleep(APPLY_SECONDS + 1)
            return at

        at, fleet = play(main)
        self.assertEqual((as_text(fleet.breaches()), fleet.served()), ([], 1.0))
        moved = [fact.at for fact in fleet.of(Began) if fact.service == "other"]
        self.assertLess(moved[0], at + 1.0)

    def test_two_operators_put_concurrently(self):
        async def main(fleet):
            await fleet.start()
            fleet.start_clients(3)
            await trio.sleep(1)
            seen = [
                await fleet.race(config_of(n, limits={"maxBodyBytes": 70_000}), config_of(n + 1)) for n in (10, 20, 30)
            ]
            config = await fleet.operator.read_config()
            return seen, config["revision"], fleet.revision

        (seen, config, newest), fleet = play(main)
        self.assertEqual([sorted(statuses) for statuses in seen], [[200, 412]] * 3)
        self.assertEqual((config, as_text(fleet.breaches()), fleet.served()), (newest, [], 1.0))

    def test_a_key_is_revoked(self):
        async def main(fleet):
            await fleet.start()
            held = fleet.client("holder", ONCE, "key-1b")
            fleet.client("other", ONCE, "key-1")
            await trio.sleep(1)
            self.assertEqual(await fleet.put(config_of(2, {"t1": ["key-1"], "t2": ["key-2"]})), 200)
            at = fleet.now()
            await trio.sleep(APPLY_SECONDS + 1)
            return at, held

        (at, held), fleet = play(main)
        self.assertEqual((as_text(fleet.breaches()), fleet.served(names=["other"])), ([], 1.0))
        late = [attempt for attempt in held.tries if attempt.asked_at > at + 1.0]
        self.assertEqual({attempt.status for attempt in late}, {401})

    def test_an_invalid_configuration_is_refused(self):
        async def main(fleet):
            await fleet.start()
            routes = routes_of("nobody")
            return await fleet.operator.put_config(config_of(2, routes=routes), 1, valid=False)

        status, fleet = play(main)
        self.assertEqual((status, as_text(fleet.breaches())), (400, []))


class Recovery(Case):
    """After the last fault, acknowledged changes are still there and service recovers."""

    def recover_from(self, fault, seed="f"):
        async def main(fleet):
            await start_with_load(fleet)
            self.assertEqual(await fleet.name_version(2), 200)
            await fleet.until(lambda: fleet.revision < fleet.sent, 5)
            await fleet.until(lambda: fleet.revision == fleet.sent, 5)  # the newest change was acknowledged just now
            fault(fleet)
            await trio.sleep(1)
            for unit in fleet.units:
                fleet.nursery.start_soon(self.restart_later, fleet, unit)
            await trio.sleep(7)
            await assert_recovered(fleet)
            return fleet.now()

        end, fleet = play(main, seed)
        self.assertEqual(as_text(fleet.breaches()), [])
        self.assertTrue(fleet.is_rolled_out(2))
        self.assertGreaterEqual(fleet.served(end - 3.0), 0.97)

    async def restart_later(self, fleet, unit):
        await trio.sleep(0.3 * fleet.random_source.random())
        fleet.back(unit)

    def test_all_are_killed_at_once(self):
        self.recover_from(lambda fleet: fleet.kill(*fleet.units))

    def test_all_lose_power(self):
        for seed in ("f", "g", "h"):
            with self.subTest(seed):
                self.recover_from(lambda fleet: fleet.cut_power(*fleet.units), seed)

    def test_power_is_lost_during_a_change(self):
        """The configuration read back is the last acknowledged one or one that was sent after it."""

        async def main(fleet, after, lost):
            async def change():
                while True:
                    await fleet.put(config_of(fleet.sent + 1), within=0.5)

            await fleet.start()
            with trio.move_on_after(after):
                await change()
            unit = (fleet.primary, lambda: fleet.backups()[0], lambda: fleet.backups()[1])[lost]()
            fleet.cut_power(*(other for other in fleet.cores if other is not unit))
            fleet.empty_disk(unit)
            await trio.sleep(0.2)
            fleet.back(*fleet.cores)
            return (await fleet.operator.read_config(20.0))["revision"], fleet.revision, fleet.sent

        for n in range(18):
            with self.subTest(n):
                scenario = partial(main, after=0.1 + n * 0.0011, lost=n % 3)
                (read, acknowledged, sent), fleet = play(scenario, f"p{n}")
                self.assertEqual(as_text(fleet.breaches()), [])
                self.assertTrue(acknowledged <= read <= sent, (acknowledged, read, sent))

    def test_the_primary_loses_its_disk_and_all_others_lose_power(self):
        def fault(fleet):
            unit = fleet.primary()
            fleet.cut_power(*(other for other in fleet.units if other is not unit))
            fleet.empty_disk(unit)

        self.recover_from(fault)

    def test_a_backup_loses_its_disk_and_all_others_lose_power(self):
        def fault(fleet):
            unit = fleet.backups()[0]
            fleet.cut_power(*(other for other in fleet.units if other is not unit))
            fleet.empty_disk(unit)

        self.recover_from(fault)


class PlantedBugs(unittest.TestCase):
    """Each scenario breaks no rule without its planted bug, and the expected rule with it."""

    def assert_found(self, rule, scenario, patch, **options):
        async def main(fleet):
            fleet.server("other")
            await fleet.start()
            await scenario(fleet)

        self.assertEqual(as_text(play(main, **options)[1].breaches()), [])
        with patch:
            breaches = play(main, strict=False, **options)[1].breaches()
        self.assertIn(rule, {violation.rule for violation in breaches})

    def test_change_acknowledged_before_the_backup_has_stored_it(self):
        original = Replica._on_store_reply

        def commit_early(replica, sender, message):
            original(replica, sender, message)
            proposal = replica._proposal
            if proposal is not None and replica._candidacy is None and replica.me in proposal.stored:
                replica._commit_proposal()

        async def scenario(fleet):
            primary, backup = fleet.primary(), fleet.backups()[0]
            fleet.nursery.start_soon(fleet.hang_disk, backup, 0.4)
            assert await fleet.put(config_of(2)) == 200
            fleet.empty_disk(primary)
            fleet.cut_power(*(unit for unit in fleet.cores if unit is not primary))
            await trio.sleep(1)
            fleet.back(*fleet.cores)
            await fleet.operator.read_config(20.0)

        self.assert_found("CONFIG", scenario, mock.patch.object(Replica, "_on_store_reply", commit_early))

    async def crashes(self, fleet):
        for n in range(6):
            fleet.client(f"once-{n}", ONCE, "key-1", 0.05, 80)
        await trio.sleep(0.5)
        for server in fleet.servers:
            server.answer_lost(0.3)
        await trio.sleep(1)
        for server in fleet.servers[:3]:
            fleet.crash(server)
            await trio.sleep(1)
            fleet.revive(server)
        await trio.sleep(1)

    def test_request_that_may_have_run_is_retried(self):
        self.assert_found("TWICE", self.crashes, mock.patch.object(Route, "is_repeatable", True))

    def test_request_that_may_have_run_is_refused(self):
        original = response_writer.ResponseWriter.refuse

        async def refuse(out, refusal):
            await original(out, response_writer.Refusal(503, refusal.reason) if refusal.status == 502 else refusal)

        self.assert_found("REFUSED", self.crashes, mock.patch.object(response_writer.ResponseWriter, "refuse", refuse))

    def test_stream_is_resumed_from_its_start(self):
        original = server_attempt.serialize_request

        def serialize_request(request, tenant, server_fields):
            return original(request, tenant, dataclasses.replace(server_fields, last_event_id=None))

        async def scenario(fleet):
            fleet.client("c", RESUMED, "key-1", 0.05, 80)
            await trio.sleep(0.5)
            for server in fleet.servers:
                server.garble("break", 2)
            await trio.sleep(2)

        self.assert_found("ORDER", scenario, mock.patch.object(server_attempt, "serialize_request", serialize_request))

    def test_isolated_tenant_shares_its_cache(self):
        async def scenario(fleet):
            fleet.start_clients(9)
            await trio.sleep(2)

        self.assert_found(
            "WALL", scenario, mock.patch.object(requests, "cache_salt", lambda pool, version: b"v%d" % version)
        )

    def test_router_keeps_its_first_configuration(self):
        original = control_cache.ControlCache.apply

        def apply(self, update, asked_at):
            update = update if not self.routing_table.revision else msgspec.structs.replace(update, has_state=False)
            return original(self, update, asked_at)

        async def scenario(fleet):
            fleet.client("c", REPEATED, "key-1b")
            await fleet.put(config_of(2, {"t1": ["key-1"]}))
            await trio.sleep(APPLY_SECONDS + 1)

        self.assert_found("CONFIG", scenario, mock.patch.object(control_cache.ControlCache, "apply", apply))

    def test_draining_server_gets_new_requests(self):
        original = control_cache.endpoint_from_record

        async def scenario(fleet):
            fleet.start_clients(6)
            await trio.sleep(0.5)
            await fleet.release(fleet.servers[1], 6.0)

        self.assert_found(
            "DRAIN",
            scenario,
            mock.patch.object(
                control_cache,
                "endpoint_from_record",
                lambda row: original(msgspec.structs.replace(row, state=row.state & ~control_cache.SERVER_DRAINING)),
            ),
        )

    def test_version_is_never_rolled_out(self):
        async def scenario(fleet):
            fleet.client("c", REPEATED, "key-1")
            await fleet.name_version(2)
            await trio.sleep(VERSION + 1)

        patch = mock.patch.multiple(control_cache.ControlCache, required_version=lambda self, model, now: 0)
        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            self.assert_found("VERSION", scenario, patch)

    def test_fence_token_never_increases(self):
        async def scenario(fleet):
            await fleet.name_version(2)
            await fleet.until(lambda: fleet.is_rolled_out(2))
            fleet.kill(fleet.primary())
            await fleet.name_version(3)
            await fleet.until(lambda: fleet.is_rolled_out(3))

        def dumps(data):
            return orjson.dumps(data | {"fenceToken": 7})

        self.assert_found(
            "ONE",
            scenario,
            mock.patch.object(model_server_client, "orjson", SimpleNamespace(dumps=dumps, loads=orjson.loads)),
        )


class SimulatedDisk(unittest.TestCase):
    def play(self, main):
        clock = VirtualClock()

        async def run():
            machine = Network(clock, "t", Paths()).machine("m")
            machine.running = True
            return await main(machine)

        with DeterministicScheduling("t"):
            return trio.run(run, clock=clock)

    def test_write_takes_time_and_survives_a_power_loss(self):
        async def main(machine):
            disk = machine.disk(Path("/data"))
            await machine.in_thread(disk.open)
            before = machine.network.clock.time
            await machine.in_thread(partial(disk.write, b"one"))
            took = machine.network.clock.time - before
            machine.drive.power_loss()
            disk.open()
            return took, disk.read()

        took, read = self.play(main)
        self.assertAlmostEqual(took, 0.002)
        self.assertEqual(read, b"one")

    def test_unsynced_write_may_be_lost(self):
        async def main(machine):
            seen = set()
            for _ in range(40):
                machine.drive = VirtualDisk(
                    machine.network.clock.current_time, random.Random(f"{machine.network.clock.time}")
                )
                disk = machine.disk(Path("/data"))
                disk.open()
                await machine.in_thread(partial(disk.write, b"one"))
                disk.write(b"two")  # its sync does not end before the power loss
                self.assertEqual(disk.read(), b"two")  # also what a killed process would find after its restart
                machine.drive.power_loss()
                disk.open()
                seen.add(disk.read())
            return seen

        self.assertEqual(self.play(main), {b"one", b"two"})

    def test_injected_faults(self):
        async def main(machine):
            disk, drive, clock = machine.disk(Path("/data")), machine.drive, machine.network.clock
            with self.assertRaises(StoreClosed):
                disk.read()
            disk.open()
            drive.slow(100)
            await machine.in_thread(partial(disk.write, b"one"))
            slow_seconds = clock.time
            drive.slow(1)
            drive.hang(3)
            await machine.in_thread(disk.read)
            hung = clock.time - slow_seconds
            drive.refuse_writes()
            with self.assertRaises(StoreWriteFailed):
                await machine.in_thread(partial(disk.write, b"two"))
            kept = disk.read()
            drive.replace_with_empty()
            disk.open()
            empty = disk.read()
            disk.write(b"three")
            drive.damage_copy()
            disk.synced = None
            disk.unsynced.clear()
            with self.assertRaises(DamagedRecord):
                disk.read()
            return slow_seconds, hung, kept, empty

        slow_seconds, hung, kept, empty = self.play(main)
        self.assertAlmostEqual(slow_seconds, 0.2)
        self.assertAlmostEqual(hung, 3.001, 2)
        self.assertEqual((kept, empty), (b"one", None))


class OneWayPartition(unittest.TestCase):
    def test_data_on_a_blocked_path_is_delayed(self):
        async def main(clock):
            network = Network(clock, "t", Paths(jitter=0.0, partial=0.0))
            one, other = network.machine("one"), network.machine("other")
            one.running = other.running = True
            listener = other.listen((other.address, 80), 8)
            stream = one.stream()
            await connect(stream, (other.address, 80))
            await listener.wait()
            accepted = listener.accept()
            network.block_path(one, other)
            stream.send(b"there")
            accepted.send(b"back")
            await trio.sleep(1)
            seen = stream.readable(), accepted.readable()
            dial = one.stream()
            with trio.move_on_after(1) as scope:
                await connect(dial, (other.address, 80))
            network.unblock_path(one, other)
            await trio.sleep(2)
            return seen, scope.cancelled_caught, accepted.readable()

        clock = VirtualClock()
        with DeterministicScheduling("t"):
            self.assertEqual(trio.run(main, clock, clock=clock), ((True, False), True, True))


if __name__ == "__main__":
    unittest.main()
