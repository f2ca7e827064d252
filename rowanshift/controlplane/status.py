"""The status document of a core machine for operators; the machine's knowledge may be out of date.

The JSON keys of the document are the field names in camel case. Do not rename fields: operators' tools read them.
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
    """The redundancy of the control state, as seen by the primary."""

    copies: int
    copies_wanted: int
    witnesses: int
    witnesses_wanted: int
    full: bool
    spread: bool
    lacking_s: float  # seconds since the redundancy was last full


class ServerStatus(msgspec.Struct, rename="camel", frozen=True):
    """The record of a server that is sent to routers."""

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
    """The replica of the coordination state. Fields that only its primary knows are None on other machines."""

    primary: bool
    primary_hint: str
    epoch: int
    in_sync: list[str]
    amnesic: bool
    locks: int | None  # including released or expired locks that nobody has acquired since
    numbers: int | None
    groups: int | None
    keys: int | None
    puts_kept: int | None  # puts that are retained for watches
    state_bytes: int | None
    waiting_watches: int
    calls: int  # calls that this process has answered
    batches: int  # batches in which these calls were executed
    saves: int


class ControlPlaneStatus(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The fields of the document, in order. Machines are IPs; fields that only the primary knows are None elsewhere."""

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
    calls: int  # requested pages of the endpoint list
    orders: int
    saves: int
    save_seconds: float
    coordination: CoordinationStatus | None = None  # None if the coordination service is disabled

    def as_json(self) -> dict[str, Any]:
        """Return the document as dictionaries and lists with names in camel case."""
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
    """Return the status at time ``now`` of trio's clock."""
    replica = replica_runner.replica
    lease_remaining = replica_runner.lease_remaining()
    member_ages = {ip_from_machine_id(machine): round(age, 3) for machine, age in membership.member_ages(now).items()}
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
        calls=tasks.endpoint_list.pages_requested,
        orders=tasks.rollout.orders,
        saves=replica_runner.saves,
        save_seconds=round(replica_runner.save_seconds, 4),
        coordination=coordination,
    )


def redundancy_status(replica_runner: ReplicaRunner, now: float) -> RedundancyStatus:
    """Return the redundancy as seen by the primary."""
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
    """Return the status of all servers in the registry."""
    return [
        ServerStatus(record.id, record.service, record.address, record.state, record.versions)
        for record in registry.records()
    ]


def servers_behind(registry: ServerRegistry, versions: dict[str, int], now: float) -> list[ServerBehindStatus]:
    """Return the servers that lack an announced version, sorted by decreasing lag."""
    return [
        ServerBehindStatus(server.id, server.model, server.version, round(server.lag_seconds, 3), server.loading)
        for server in registry.servers_behind(versions, now)[:MAX_LISTED_SERVERS_BEHIND]
    ]
