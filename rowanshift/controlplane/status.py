"""The status document of a core machine, for operators: what it knows now, which may be old.

The document's JSON keys are the names of the fields in camel case: a field is not renamed, as operators' tools read it.
"""

from __future__ import annotations

from typing import Any

import msgspec

from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.router_membership import RouterMembership
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.singleton_tasks import SingletonTasks
from rowanshift.controlplane.state_publication import StatePublication
from rowanshift.process.node_settings import NodeSettings
from rowanshift.wire.machine_ids import ip_from_machine_id

MAX_LISTED_SERVERS_BEHIND = 50


class RedundancyStatus(msgspec.Struct, rename="camel", frozen=True):
    """What the primary sees of backups and witnesses."""

    copies: int
    copies_wanted: int
    witnesses: int
    witnesses_wanted: int
    full: bool
    spread: bool
    lacking_s: float  # seconds since redundancy was last full


class ServerStatus(msgspec.Struct, rename="camel", frozen=True):
    """A server as routers receive it."""

    id: str
    service: str
    address: str
    state: int
    versions: dict[str, int]


class ServerBehindStatus(msgspec.Struct, rename="camel", frozen=True):
    """A server that lacks an announced version."""

    id: str
    model: str
    version: int
    lacks_for_s: float
    loading: bool


class CoordinationStatus(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The replica of the coordination state. What only its primary knows is None elsewhere."""

    primary: bool
    primary_hint: str
    epoch: int
    in_sync: list[str]
    amnesic: bool
    locks: int | None  # ended holds included that nobody has followed yet
    numbers: int | None
    groups: int | None
    keys: int | None
    puts_kept: int | None  # for watches
    state_bytes: int | None
    waiting_watches: int
    calls: int  # that were answered, by this process
    batches: int  # in which they were
    saves: int


class ControlPlaneStatus(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The document's fields in their order. Machines are IPs; what only the primary knows is None elsewhere."""

    name: str
    machine: str
    primary: bool
    primary_hint: str
    epoch: int
    in_sync: list[str]
    witnesses: list[str]
    amnesic: bool
    lease_s: float
    redundancy: RedundancyStatus | None
    revision: int | None
    versions: dict[str, int] | None
    known: list[str]
    members: list[str]
    member_age_s: dict[str, float]
    reads_list: bool
    list_read: bool
    may_order: bool
    servers: list[ServerStatus]
    behind: list[ServerBehindStatus]
    calls: int  # pages of the endpoint list
    orders: int
    saves: int
    save_seconds: float
    coordination: CoordinationStatus | None = None  # where no application calls for it

    def as_json(self) -> dict[str, Any]:
        """The document as it is sent: plain dictionaries and lists, with names in camel case."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document


def collect_status(
    settings: NodeSettings,
    replica_runner: ReplicaRunner,
    publication: StatePublication,
    membership: RouterMembership,
    tasks: SingletonTasks,
    now: float,
    coordination: CoordinationStatus | None = None,
) -> ControlPlaneStatus:
    """The status at the time ``now`` of trio's clock."""
    replica = replica_runner.replica
    lease_remaining = replica_runner.lease_remaining()
    member_ages = {ip_from_machine_id(machine): round(age, 3) for machine, age in membership.ages(now).items()}
    return ControlPlaneStatus(
        name=settings.name,
        machine=settings.ip,
        primary=replica.is_primary,
        primary_hint=ip_from_machine_id(replica.primary_hint),
        epoch=replica.record.epoch,
        in_sync=[ip_from_machine_id(machine) for machine in replica.record.in_sync],
        witnesses=[ip_from_machine_id(machine) for machine in replica.record.witnesses],
        amnesic=replica.is_amnesic,
        lease_s=round(lease_remaining, 3),
        redundancy=redundancy_status(replica_runner, now) if replica.is_primary else None,
        revision=publication.state.revision if replica.is_primary else None,
        versions=publication.state.versions if replica.is_primary else None,
        known=[ip_from_machine_id(machine) for machine in sorted(replica.known_machines)],
        members=list(member_ages),
        member_age_s=member_ages,
        reads_list=settings.cloud_api_address is not None and lease_remaining > 0,
        list_read=tasks.registry.serial > 0,
        may_order=replica.singleton_tasks_from <= now and lease_remaining > 0,
        servers=server_statuses(tasks.registry),
        behind=servers_behind(tasks.registry, publication.state.versions, now),
        calls=tasks.endpoint_list.calls,
        orders=tasks.rollout.orders,
        saves=replica_runner.saves,
        save_seconds=round(replica_runner.save_seconds, 4),
        coordination=coordination,
    )


def redundancy_status(replica_runner: ReplicaRunner, now: float) -> RedundancyStatus:
    """The redundancy as the primary sees it."""
    redundancy = replica_runner.replica.redundancy()
    return RedundancyStatus(
        redundancy.replicas,
        redundancy.replicas_wanted,
        redundancy.witnesses,
        redundancy.witnesses_wanted,
        redundancy.is_full,
        redundancy.tolerance_met,
        round(replica_runner.redundancy_watch.reduced_for_seconds(now), 3),
    )


def server_statuses(registry: ServerRegistry) -> list[ServerStatus]:
    """All servers of the registry."""
    return [
        ServerStatus(record.id, record.service, record.address, record.state, record.versions)
        for record in registry.records()
    ]


def servers_behind(registry: ServerRegistry, versions: dict[str, int], now: float) -> list[ServerBehindStatus]:
    """The servers that lack an announced version, those first that have lacked one longest."""
    return [
        ServerBehindStatus(server.id, server.model, server.version, round(server.lag_seconds, 3), server.loading)
        for server in registry.servers_behind(versions, now)[:MAX_LISTED_SERVERS_BEHIND]
    ]
