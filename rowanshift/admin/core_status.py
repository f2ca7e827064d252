"""Status documents of all core machines: which machines there are is discovered from the documents themselves."""

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
    """A model server as the document lists it: ``state`` holds the ``SERVER_...`` flags."""

    id: str
    state: int
    versions: dict[str, int]


class LaggingServer(msgspec.Struct, rename="camel", frozen=True):
    """A model server that has lacked an announced version for ``lacks_for_s`` seconds."""

    id: str
    lacks_for_s: int | float


class CoordinationReport(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """A machine's replica of the coordination state; what only its primary knows is None elsewhere."""

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
    """The fields of a core machine's status document that commands use; machines are IPs.

    Numbers of seconds keep the type that they have in the document, as they are printed unchanged. Fields with a
    default are absent from the documents of earlier releases.
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
    """The answer of one core machine: its document as it came and as a record, or no status and the document's error.

    ``document`` is what ``status --json`` prints.
    """

    machine: str
    document: dict[str, Any]
    status: CoreStatus | None = None

    @property
    def error(self) -> str:
        """Why there is no status, empty if there is one."""
        return str(self.document.get("error", "")) if self.status is None else ""


def failed_report(machine: str, error: Exception) -> MachineReport:
    """The report on a machine that gave no usable document."""
    return MachineReport(machine, {"machine": machine, "error": str(error) or repr(error)})


async def fetch_report(client: ControlClient, address: Address) -> MachineReport:
    """The report on the machine at one control address; a failure is a report as well."""
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
    """The reports on all core machines, in the order of their IPs.

    Machines that a document names are asked as well, until no new one is named.
    """
    answered: dict[str, MachineReport] = {}  # by the machine's own IP, which may not be the one that was asked
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
            control_port = address[1]  # the same on every core machine
            discovered.update((ip, control_port) for ip in named_machines(report.status))

        async with trio.open_nursery() as nursery:
            for address in pending:
                nursery.start_soon(fetch, address)
        pending = {address for address in discovered - requested if address[0] not in answered}
    return sorted((failed | answered).values(), key=lambda report: ip_sort_key(report.machine))


def named_machines(status: CoreStatus) -> Iterator[str]:
    """The IPs of the core machines that a status names; some are named more than once."""
    yield from status.witnesses
    yield from status.in_sync
    yield from status.known


def ip_sort_key(ip: str) -> tuple[int, str]:
    """Sorts IPv4 addresses by number, and other names before them."""
    try:
        return machine_id_from_ip(ip), ip
    except ValueError:
        return 0, ip


def primary_status(reports: Sequence[MachineReport]) -> CoreStatus:
    """The status of the primary, of the highest epoch if two believe that they are. Raises ``NoAnswer``."""
    primaries = [report.status for report in reports if report.status is not None and report.status.primary]
    if not primaries:
        raise NoAnswer("no machine that answered is primary")
    return max(primaries, key=lambda status: status.epoch)
