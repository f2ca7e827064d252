"""The coordination service of a core machine, with its own replica and its own store on the machine's disk.

The module is imported only if the settings enable the service, so that it costs nothing elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from rowanshift.controlplane.coordination_api import CoordinationResource, coordination_resources
from rowanshift.controlplane.coordination_runner import CoordinationRunner
from rowanshift.controlplane.durable_state import open_disk
from rowanshift.controlplane.machine_disk import CoreRuntime
from rowanshift.controlplane.replica_connections import ReplicaConnections
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.replication import DurableState, Replica
from rowanshift.controlplane.status import CoordinationStatus
from rowanshift.controlplane.store import COORDINATION_DIRECTORY
from rowanshift.transport.runtime import Nursery
from rowanshift.wire.machine_ids import ip_from_machine_id

DELTA_MIN_STATE_BYTES = 1024  # a smaller state is always sent in full


class CoordinationService:
    """The replica of the coordination state and the runner that serves calls from it."""

    def __init__(self, replica_runner: ReplicaRunner, history_seconds: float) -> None:
        self.replica_runner = replica_runner
        self.runner = CoordinationRunner(replica_runner, history_seconds)
        replica_runner.on_role_change = self.runner.on_role_change

    def resources(self, machine: int, port: int) -> dict[bytes, CoordinationResource]:
        """The HTTP resources for the applications' calls, by path prefix."""
        return coordination_resources(self.runner, machine, port)

    def status(self) -> CoordinationStatus:
        """The coordination section of this machine's status document."""
        replica, machine = self.replica_runner.replica, self.runner.state_machine
        state = None if machine is None else machine.state
        return CoordinationStatus(
            primary=replica.is_primary,
            primary_hint=ip_from_machine_id(replica.primary_hint),
            epoch=replica.record.epoch,
            in_sync=[ip_from_machine_id(machine) for machine in replica.record.in_sync],
            amnesic=replica.is_amnesic,
            locks=None if state is None else len(state.locks),
            numbers=None if state is None else len(state.numbers),
            groups=None if state is None else len(state.groups),
            keys=None if state is None else len(state.keys),
            puts_kept=None if state is None else len(state.history),
            state_bytes=None if state is None else state.byte_size,
            waiting_watches=self.runner.watches.count,
            calls=self.runner.calls,
            batches=self.runner.batches,
            saves=self.replica_runner.saves,
        )

    def start(self, nursery: Nursery) -> None:
        """Start the tasks of the replica and of the runner."""
        nursery.start_soon(self.replica_runner.run)
        nursery.start_soon(self.runner.run)


async def open_coordination(
    runtime: CoreRuntime,
    data_directory: Path | None,
    history_seconds: float,
    create_replica: Callable[[DurableState | None], Replica],
    connections: ReplicaConnections,
    nursery: Nursery,
) -> CoordinationService:
    """Read the store and create the service. Watches may ask for puts of the last ``history_seconds``."""
    opened = await open_disk(runtime, data_directory, COORDINATION_DIRECTORY)
    replica = create_replica(opened.durable_state)
    replica.delta_min_state_bytes = DELTA_MIN_STATE_BYTES
    replica_runner = ReplicaRunner(
        runtime, replica, opened.disk, connections, nursery, _ignore_role, _ignore_commit, log_prefix="coordination_"
    )
    return CoordinationService(replica_runner, history_seconds)


def _ignore_role(primary: bool) -> None:
    """Placeholder that ``CoordinationService`` replaces before the replica's first action is carried out."""


def _ignore_commit() -> None:
    """Commits need no handling here: the runner answers the calls of each batch once it is committed."""
