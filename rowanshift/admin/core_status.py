"""Fetches the status documents of all core machines, which are discovered from the documents themselves."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
import orjson
import trio

from rowanshift.admin.client import ControlClient, error_reason
from rowanshift.admin.errors import NoAnswer, RequestRefused
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.streams import Address
from rowanshift.wire.machine_ids import machine_id_from_ip


class ListedServer(msgspec.Struct, rename="camel", frozen=True):
    """A model server in a status document; ``state`` contains the ``SERVER_...`` flags."""

    id: str
    state: int
    versions: dict[str, int]


class LaggingServer(msgspec.Struct, rename="camel", frozen=True):
    """A model server that has been without an announced version for ``lacks_for_s`` seconds."""

    id: str
    lacks_for_s: int | float


class CoordinationReport(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """A machine's replica of the coordination state; fields that only the primary knows are None elsewhere."""

    primary: bool
    epoch: int
    in_sync: list[str]
    amnesic: bool
    locks: int | None
    numbers: int | None
    groups: int | None
    keys: int | None
    puts_kept: int | None
    state_bytes: int | None
    waiting_watches: int
    calls: int
    batches: int
    saves: int


class CoreStatus(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The fields of a core machine's status document that commands use; machines are identified by IP.

    Durations keep their JSON type, as they are printed unchanged. Fields with a default are missing in the documents
    of earlier releases.
    """

    name: str
    machine: str
    primary: bool
    primary_hint: str
    epoch: int
    in_sync: list[str]
    witnesses: list[str]
    amnesic: bool
    lease_s: int | float
    revision: int | None
    versions: dict[str, int] | None
    member_age_s: dict[str, float]
    reads_list: bool
    list_read: bool
    may_order: bool
    servers: list[ListedServer]
    calls: int
    orders: int
    saves: int
    save_seconds: float
    known: list[str] = []
    behind: list[LaggingServer] = []
    coordination: CoordinationReport | None = None


@dataclass(frozen=True, slots=True)
class MachineReport:
    """The report of one core machine.

    ``document`` is the status document as received, which ``status --json`` prints, and ``status`` is the same
    decoded. Without a usable document ``status`` is None and ``document`` contains the error.
    """

    machine: str
    document: dict[str, Any]
    status: CoreStatus | None = None

    @property
    def error(self) -> str:
        """The reason why there is no status, empty if there is one."""
        return str(self.document.get("error", "")) if self.status is None else ""


def failed_report(machine: str, error: Exception) -> MachineReport:
    """The report on a machine without a usable status document."""
    return MachineReport(machine, {"machine": machine, "error": str(error) or repr(error)})


async def fetch_report(client: ControlClient, address: Address) -> MachineReport:
    """The report on the machine at a control address; a failure results in a report with the error."""
    try:
        response = await client.call(address, b"GET", b"/status")
        if response.status != 200:
            raise RequestRefused(response.status, error_reason(response))
        document = orjson.loads(response.body)
        status = msgspec.convert(document, CoreStatus)
    except (CallFailed, RequestRefused, ValueError) as error:
        return failed_report(address[0], error)
    return MachineReport(status.machine, document, status)


async def fetch_reports(client: ControlClient) -> list[MachineReport]:
    """The reports on all core machines, sorted by IP.

    Machines that are named in a document are queried as well, until no document names a new one.
    """
    answered: dict[str, MachineReport] = {}  # keyed by the machine's own IP, which may differ from the queried address
    failed: dict[str, MachineReport] = {}
    requested: set[Address] = set()
    pending = set(client.addresses)
    while pending:
        requested |= pending
        discovered: set[Address] = set()

        async def fetch(address: Address, discovered: set[Address] = discovered) -> None:
            report = await fetch_report(client, address)
            if report.status is None:
                failed[report.machine] = report
                return
            answered[report.machine] = report
            control_port = address[1]  # the same on all core machines
            discovered.update((ip, control_port) for ip in named_machines(report.status))

        async with trio.open_nursery() as nursery:
            for address in pending:
                nursery.start_soon(fetch, address)
        pending = {address for address in discovered - requested if address[0] not in answered}
    return sorted((failed | answered).values(), key=lambda report: ip_sort_key(report.machine))


def named_machines(status: CoreStatus) -> Iterator[str]:
    """The IPs of the core machines in a status, with duplicates."""
    yield from status.witnesses
    yield from status.in_sync
    yield from status.known


def ip_sort_key(ip: str) -> tuple[int, str]:
    """A sort key that orders IPv4 addresses numerically, after all other names."""
    try:
        return machine_id_from_ip(ip), ip
    except ValueError:
        return 0, ip


def primary_status(reports: Sequence[MachineReport]) -> CoreStatus:
    """The status of the primary, with the highest epoch if two machines claim the role. Raises ``NoAnswer``."""
    primaries = [report.status for report in reports if report.status is not None and report.status.primary]
    if not primaries:
        raise NoAnswer("no machine that answered is primary")
    return max(primaries, key=lambda status: status.epoch)
