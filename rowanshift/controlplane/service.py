"""The life cycle of a core machine: start, operation, reload of the settings, and graceful shutdown."""

from __future__ import annotations

import random
import signal
from collections.abc import AsyncIterator
from functools import partial
from typing import TYPE_CHECKING

import trio
from loguru import logger

from rowanshift.controlplane.api import ConfigResource, StatusResource, VersionResource
from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.control_state import ControlState
from rowanshift.controlplane.durable_state import OpenedDisk, open_disk
from rowanshift.controlplane.internal_port import InternalPort
from rowanshift.controlplane.machine_disk import SYSTEM_CORE_RUNTIME, CoreRuntime
from rowanshift.controlplane.poll_endpoint import PollEndpoint
from rowanshift.controlplane.record_kinds import CoordinationHello, Hello
from rowanshift.controlplane.replica_connections import ReplicaConnections
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.replication import DurableState, FailureDomain, FaultTolerance, Replica
from rowanshift.controlplane.router_membership import RouterMembership
from rowanshift.controlplane.settings_warnings import fault_tolerance_warnings
from rowanshift.controlplane.singleton_tasks import SingletonTasks
from rowanshift.controlplane.state_publication import StatePublication, UpdateSignal
from rowanshift.controlplane.status import ControlPlaneStatus, collect_status
from rowanshift.controlplane.store import NewerFormat
from rowanshift.process.error_groups import first_of
from rowanshift.process.logs import log_to_stderr
from rowanshift.process.node_settings import (
    COORDINATION_CONTRACT,
    NodeSettings,
    NodeSettingsError,
    load_node_settings,
)
from rowanshift.transport.call_server import CallOutcomes, CallServer, Resource
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery
from rowanshift.transport.signals import ReceivedSignal
from rowanshift.wire.machine_ids import machine_id_from_ip

if TYPE_CHECKING:
    from rowanshift.controlplane.coordination_service import CoordinationService

ROLE = "controlplane"
MAX_CALL_BODY_BYTES = 16 << 20  # maximum size of an operator's request body
CALL_MEMORY_FRACTION = 0.4  # fraction of ``memoryMb`` for request bodies
LISTEN_BACKLOG = 256  # maximum number of connections per port that wait to be accepted
ROLE_WAIT_MARGIN_SECONDS = 0.3  # added to ``leaseMs`` before a new primary acts as the only lease holder
GRACE_RESERVE_SECONDS = 1.5  # last part of the grace period, in which this machine no longer waits for its release
FINAL_ANSWERS_SECONDS = 0.8  # part of GRACE_RESERVE_SECONDS for answering pending calls and polls
FINAL_ANSWERS_CHECK_SECONDS = 0.05  # interval between checks whether all polls have been answered
FINAL_WRITES_SECONDS = 0.1  # time for the last answers to be written before the process ends


class ControlPlaneService:
    """One core machine. Its components are created after the disk has been read."""

    publication: StatePublication
    membership: RouterMembership
    tasks: SingletonTasks
    poll_endpoint: PollEndpoint

    def __init__(
        self, settings: NodeSettings, runtime: CoreRuntime = SYSTEM_CORE_RUNTIME, seed: int | None = None
    ) -> None:
        """``seed`` initializes the random number generator, for simulations."""
        self.settings = settings
        self.runtime = runtime
        self.random_source = random.Random(seed)
        self.machine = machine_id_from_ip(settings.ip)
        self.shutdown_requested = trio.Event()
        self.shutdown_requested_at: float | None = None  # time on trio's clock at which the signal was handled
        self.updates = UpdateSignal()
        self.calls = CallOutcomes()
        self.replica_runner: ReplicaRunner | None = None  # None until the disk has been read
        self.coordination: CoordinationService | None = None  # only if the settings enable it

    # changes during operation

    def _on_role_change(self, primary: bool) -> None:
        """Discard the state of the primary role: this machine has become the primary or has ceased to be it."""
        self.membership.on_role_change(primary)
        self.tasks.reset()
        self.publication.reset()
        self.publication.refresh()
        self.updates.notify()

    def _on_new_state(self, state: ControlState) -> None:
        """Record the versions of a newly committed state as announced now."""
        self.tasks.registry.record_versions(state.versions, trio.current_time())

    def _status(self, replica_runner: ReplicaRunner) -> ControlPlaneStatus:
        return collect_status(
            self.settings,
            replica_runner,
            self.publication,
            self.membership,
            self.tasks,
            trio.current_time(),
            None if self.coordination is None else self.coordination.status(),
        )

    # start

    async def run(self) -> None:
        """Serve until a signal requests shutdown, and then log the outcomes of all calls."""
        try:
            await self._serve()
        finally:
            outcomes = " ".join(f"calls_{outcome.value}={number}" for outcome, number in self.calls.ended.items())
            logger.info(
                "event=stopped calls_read={} calls_not_answered={} {}",
                self.calls.read,
                self.calls.not_answered,
                outcomes,
            )

    async def _serve(self) -> None:
        """Serve until a signal requests shutdown, and then leave the core."""
        runtime = self.runtime
        with runtime.signals() as signals:
            async with runtime.nursery() as nursery:
                nursery.start_soon(self._on_signals, signals, nursery.cancel_scope)
                opened = await open_disk(runtime, self.settings.data_directory)
                if COORDINATION_CONTRACT in self.settings.file.contracts:
                    await self._create_coordination(nursery)
                replica_runner = self._create_replica_runner(opened, nursery)
                call_server = self._start(replica_runner, nursery)
                await self.shutdown_requested.wait()
                await self._leave(replica_runner, call_server)
                nursery.cancel_scope.cancel()

    async def _create_coordination(self, nursery: Nursery) -> None:
        """Create the coordination service. Its modules are imported only if it is enabled."""
        from rowanshift.controlplane.coordination_service import open_coordination

        self.coordination = await open_coordination(
            self.runtime,
            self.settings.data_directory,
            self.settings.bounds.history_s,
            self._create_replica,
            self._connections(CoordinationHello(self.machine), nursery),
            nursery,
        )

    def _connections(self, hello: Hello | CoordinationHello, nursery: Nursery) -> ReplicaConnections:
        return ReplicaConnections(self.runtime, hello, self.settings.internal_address[1], nursery)

    def _create_replica_runner(self, opened: OpenedDisk, nursery: Nursery) -> ReplicaRunner:
        """Create the replica of the control state from the settings and the state on the disk."""
        replica = self._create_replica(opened.durable_state)
        for warning in fault_tolerance_warnings(self.settings.file):
            logger.warning("event=tolerance_not_met why={!r}", warning)
        self.publication = StatePublication(replica, self.updates, self._on_new_state)
        self.membership = RouterMembership(self.updates)
        self.replica_runner = ReplicaRunner(
            self.runtime,
            replica,
            opened.disk,
            self._connections(Hello(self.machine), nursery),
            nursery,
            self._on_role_change,
            self.publication.refresh,
        )
        return self.replica_runner

    def _create_replica(self, durable_state: DurableState | None) -> Replica:
        file = self.settings.file
        fault_tolerance = file.fault_tolerance
        return Replica(
            self.machine,
            fault_tolerance.machines,
            self._seed_machines(),
            file.bootstrap,
            durable_state,
            trio.current_time(),
            self.random_source.random,
            self.settings.bounds.lease_ms / 1000 + ROLE_WAIT_MARGIN_SECONDS,
            failure_domain=FailureDomain(file.zone, file.region, file.quorum_member),
            tolerance=FaultTolerance(fault_tolerance.machines, fault_tolerance.zones, fault_tolerance.regions),
        )

    def _start(self, replica_runner: ReplicaRunner, nursery: Nursery) -> CallServer:
        """Start all tasks and log that this machine is serving. Returns the server for operators' calls."""
        runtime, settings, publication = self.runtime, self.settings, self.publication
        memory = MemoryBudget(settings.limits.memory_mb * CALL_MEMORY_FRACTION)
        self.tasks = SingletonTasks(
            runtime,
            memory,
            replica_runner,
            settings,
            publication.versions,
            publication.prefix_stores,
            self.updates.notify,
        )
        self.poll_endpoint = PollEndpoint(
            runtime, replica_runner, publication, self.membership, self.tasks, self.updates
        )
        coordination_runner = None if self.coordination is None else self.coordination.replica_runner
        internal_port = InternalPort(runtime, replica_runner, self.poll_endpoint, coordination_runner)
        control_address, change_loader = settings.required_address("controlPlane"), ChangeLoader(runtime)
        call_server = self._create_call_server(replica_runner, control_address[1], change_loader, memory)
        internal_listener = runtime.listen(settings.internal_address, LISTEN_BACKLOG)
        nursery.start_soon(internal_port.accept, internal_listener, nursery)
        control_listener = runtime.listen(control_address, LISTEN_BACKLOG)
        nursery.start_soon(call_server.serve, control_listener, nursery, runtime.pause)
        nursery.start_soon(replica_runner.run)
        if self.coordination is not None:
            self.coordination.start(nursery)
        nursery.start_soon(change_loader.load_after_delay)
        nursery.start_soon(self.membership.run, runtime)
        self.tasks.start(nursery)
        runtime.settled()
        logger.info(
            "event=started role=controlplane name={} amnesic={} epoch={}",
            settings.name,
            replica_runner.replica.is_amnesic,
            replica_runner.replica.record.epoch,
        )
        return call_server

    def _create_call_server(
        self, replica_runner: ReplicaRunner, control_port: int, change_loader: ChangeLoader, memory: MemoryBudget
    ) -> CallServer:
        resources: dict[bytes, Resource] = {
            b"/config": ConfigResource(replica_runner, self.machine, control_port, change_loader),
            b"/version-put": VersionResource(replica_runner, self.machine, control_port),
            b"/status": StatusResource(partial(self._status, replica_runner)),
        }
        if self.coordination is not None:
            resources |= self.coordination.resources(self.machine, control_port)
        return CallServer(resources, memory, MAX_CALL_BODY_BYTES, self.calls)

    # shutdown

    def request_shutdown(self, at: float) -> None:
        """Start the shutdown, whose grace period begins at time ``at``; further calls have no effect."""
        if self.shutdown_requested_at is None:
            self.shutdown_requested_at = at
        self.shutdown_requested.set()

    async def _leave(self, replica_runner: ReplicaRunner, call_server: CallServer) -> None:
        """Hand over all roles, then answer the pending calls and polls, all within the grace period."""
        assert self.shutdown_requested_at is not None
        reserve_starts_at = self.shutdown_requested_at + self.settings.bounds.grace_s - GRACE_RESERVE_SECONDS
        logger.info("event=stopping primary={}", replica_runner.replica.is_primary)
        async with self.runtime.nursery() as nursery:
            nursery.start_soon(self._leave_group, replica_runner, reserve_starts_at)
            if self.coordination is not None:
                nursery.start_soon(self._leave_group, self.coordination.replica_runner, reserve_starts_at)
        await self._answer_last_calls(call_server, reserve_starts_at + FINAL_ANSWERS_SECONDS)

    @staticmethod
    async def _leave_group(replica_runner: ReplicaRunner, until: float) -> None:
        released = await replica_runner.leave(until)
        logger.info("event={}left released={}", replica_runner.log_prefix, released)

    async def _answer_last_calls(self, call_server: CallServer, latest: float) -> None:
        """Answer the pending calls and polls and reject new ones, until ``latest`` at most."""
        self.poll_endpoint.leave()
        now = trio.current_time()
        until = max(now, min(now + FINAL_ANSWERS_SECONDS, latest))
        await call_server.shut_down(until - now, self.runtime.pause)
        while self.poll_endpoint.open_polls and trio.current_time() < until:
            await self.runtime.pause(FINAL_ANSWERS_CHECK_SECONDS)
        await self.runtime.pause(FINAL_WRITES_SECONDS)

    # signals

    async def _on_signals(self, signals: AsyncIterator[ReceivedSignal], scope: trio.CancelScope) -> None:
        """Shut down on SIGTERM and SIGINT, immediately if the disk is not open yet; reload the settings on SIGHUP."""
        async for received in signals:
            if received.number == signal.SIGHUP:
                self._reload_settings()
                continue
            self.request_shutdown(received.at)
            if self.replica_runner is None:
                scope.cancel()

    def _reload_settings(self) -> None:
        """Reload the seeds and the quorum membership from the settings file; keep the old settings if it is invalid."""
        if self.settings.path is None:
            return
        try:
            self.settings = load_node_settings(self.settings.path)
            for replica in self._replicas():
                replica.known_machines |= {*self._seed_machines()} - {self.machine}
                replica.quorum_member = self.settings.file.quorum_member
        except NodeSettingsError as error:
            logger.warning("event=settings_kept why={!r}", str(error))

    def _replicas(self) -> list[Replica]:
        """Return the replicas of this machine that have been created."""
        coordination = None if self.coordination is None else self.coordination.replica_runner
        return [runner.replica for runner in (self.replica_runner, coordination) if runner is not None]

    def _seed_machines(self) -> tuple[int, ...]:
        return tuple(machine_id_from_ip(ip) for ip, _ in self.settings.seeds)


def run(settings: NodeSettings, level: str = "INFO", former_role: str = "") -> int:
    """Serve until SIGTERM and return the exit code; ``former_role`` is the withdrawn role name that was used."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr(level)
    if former_role:
        logger.warning("event=former_role_name name={} now={}", former_role, ROLE)
    code = 0
    try:
        trio.run(ControlPlaneService(settings).run)
    except* NewerFormat as group:
        logger.error("event=ended why={!r}", str(first_of(group)))
        code = 2
    except* (OSError, NodeSettingsError) as group:
        logger.error("event=ended why={!r}", str(first_of(group)))
        code = 1
    return code
