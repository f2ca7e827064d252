"""What staff ask: of a running system over its control addresses, and of files without one.

Commands return lines to be shown and raise ``StaffError`` with the exit status. No API key is ever in a line,
except in a configuration that was asked for whole.
"""

import os
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import orjson
import trio

from rowanshift.controlplane.settings_warnings import fault_tolerance_warnings
from rowanshift.process.node_settings import NodeSettings, NodeSettingsError, address_of, load_node_settings
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.http_connection import Fields, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime
from rowanshift.transport.streams import Address
from rowanshift.wire.control_updates import SERVER_DRAINING, SERVER_LOADING
from rowanshift.wire.machine_ids import machine_id_from_ip

T = TypeVar("T")

WITHIN = 3.5  # seconds for an answer: a change may take the ledger 2.5
A_BYTE = 1e-6  # seconds more for each byte of a body
MEMORY = 512  # MiB of answers
MOST_REDIRECTS = 2
ROUNDS = 3  # times that all addresses are tried
AGAIN = 0.3  # seconds between two rounds
LONGEST_REASON = 400  # characters of an answer's reason that are shown
LONGEST_VALUE = 60  # characters of a value that are shown


class StaffError(Exception):
    """What a command ends with; ``status`` is the exit status."""

    status = 1


class NoAnswer(StaffError):
    """No machine gave a clear answer; ``sent`` tells whether one may have taken the call."""

    def __init__(self, why: str, sent: bool = False) -> None:
        super().__init__(why)
        self.sent = sent


class Refused(StaffError):
    """An answer that is no success: its status and the reason in it."""

    def __init__(self, answer: Message) -> None:
        super().__init__(f"{answer.status}: {reason_of(answer)}")
        self.answer = answer


class UnusableInput(StaffError):
    """A file or an address that can't be used."""

    status = 2


def reason_of(answer: Message) -> str:
    with suppress(ValueError, KeyError, TypeError):
        return str(orjson.loads(answer.body)["error"])[:LONGEST_REASON]
    return answer.body.decode("latin-1")[:LONGEST_REASON].strip() or "no reason was given"


# the control addresses --------------------------------------


def controls_of(text: str) -> list[Address]:
    """The addresses in ``IP:PORT[,IP:PORT...]``."""
    try:
        return [address_of(part.strip(), "--at") for part in text.split(",")]
    except NodeSettingsError as error:
        raise UnusableInput(str(error)) from error


class Control:
    """Calls of a system's control addresses."""

    def __init__(self, addresses: Sequence[Address], host: Runtime = SYSTEM_RUNTIME) -> None:
        self.addresses, self.host = list(addresses), host
        self.memory = MemoryBudget(MEMORY)

    async def ask(
        self, address: Address, method: bytes, target: bytes, body: bytes = b"", fields: Fields | None = None
    ) -> Message:
        """One call, on to where a 307 sends it, twice at most. ``CallFailed``."""
        within = WITHIN + A_BYTE * len(body)
        for _ in range(MOST_REDIRECTS + 1):
            answer = await call(self.host, self.memory, address, method, target, body, fields, within)
            if answer.status != 307:
                return answer
            place = dict(answer.fields).get(b"location", b"").removeprefix(b"http://")
            place, slash, path = place.partition(b"/")
            try:
                address, target = address_of(place.decode("latin-1"), "Location"), slash + path
            except NodeSettingsError as error:
                raise CallFailed(str(error), True) from error
        raise CallFailed(f"sent on more than {MOST_REDIRECTS} times", True)

    async def settled(self, method: bytes, target: bytes, body: bytes = b"", fields: Fields | None = None) -> Message:
        """The answer to a call that may be sent again as it was: tries all addresses, some rounds long."""
        why, sent = "", False
        for n in range(ROUNDS):
            for address in self.addresses:
                try:
                    answer = await self.ask(address, method, target, body, fields)
                except CallFailed as error:
                    why, sent = str(error), sent or error.sent
                else:
                    if answer.status < 500 and answer.status not in (408, 429):
                        return answer
                    sent = True
                    why = f"{answer.status}: {reason_of(answer)}"
                why = "{}:{}: {}".format(*address, why)
            if n + 1 < ROUNDS:
                await self.host.pause(AGAIN)
        raise NoAnswer(why, sent)

    async def config(self) -> tuple[int, bytes]:
        """The revision in force, 0 if there is none, and the configuration."""
        answer = await self.settled(b"GET", b"/config")
        if answer.status == 404:
            return 0, b""
        if answer.status != 200:
            raise Refused(answer)
        try:
            return int(orjson.loads(answer.body)["revision"]), answer.body
        except (ValueError, KeyError, TypeError) as error:
            raise NoAnswer(f"GET /config answered no configuration: {error!r}") from error

    async def statuses(self) -> list[dict[str, Any]]:
        """What each core machine that is learnt of says of itself, or ``error``; by IP."""
        told: dict[str, dict[str, Any]] = {}  # by the machine's own IP
        asked: set[Address] = set()
        todo = set(self.addresses)

        async def one(address: Address) -> None:
            try:
                answer = await self.ask(address, b"GET", b"/status")
                if answer.status != 200:
                    raise Refused(answer)
                status = orjson.loads(answer.body)
                told[status["machine"]] = status
                for ip in {*status["witnesses"], *status["inSync"], *status.get("known", ())}:
                    learnt.add((ip, address[1]))  # the control port is the same everywhere
            except (CallFailed, Refused, ValueError, KeyError, TypeError) as error:
                failed[address[0]] = {"machine": address[0], "error": str(error) or repr(error)}

        failed: dict[str, dict[str, Any]] = {}
        while todo:
            learnt: set[Address] = set()
            asked |= todo
            async with trio.open_nursery() as nursery:
                for address in todo:
                    nursery.start_soon(one, address)
            todo = {address for address in learnt - asked if address[0] not in told}
        return [row for _, row in sorted((failed | told).items(), key=lambda pair: place_of(pair[0]))]


def place_of(ip: str) -> tuple[int, str]:
    try:
        return machine_id_from_ip(ip), ip
    except ValueError:
        return 0, ip


def asked(at: str, work: Callable[[Control], Awaitable[T]]) -> T:
    """Runs what asks a system; the only place where the commands wait."""
    return trio.run(work, Control(controls_of(at)))


# what runs --------------------------------------------------


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(head))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in cells]


def primary_of(statuses: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """What the primary says, of the highest epoch if two believe that they are."""
    found = max((row for row in statuses if row.get("primary")), default=None, key=lambda row: row["epoch"])
    if found is None:
        raise NoAnswer("no machine that answered is primary")
    return found


@dataclass(slots=True)
class Shown:
    """Lines to show, and whether all is well."""

    lines: list[str]
    well: bool = True


def status(at: str, as_json: bool) -> Shown:
    """What each core machine says of itself; well if one of them is primary."""
    rows = asked(at, Control.statuses)
    well = any(row.get("primary") for row in rows)
    if as_json:
        return Shown([orjson.dumps({"machines": rows}, option=orjson.OPT_INDENT_2).decode()], well)
    shown = []
    for row in rows:
        if "error" in row:
            shown.append((row["machine"], "-", "no answer", *("-",) * 6, row["error"]))
            continue
        role = (
            "primary"
            if row["primary"]
            else "backup"
            if row["machine"] in row["inSync"]
            else "witness"
            if row["machine"] in row["witnesses"]
            else "spare"
        )
        hint = row["primaryHint"] if row["primaryHint"] != "0.0.0.0" else "-"
        milliseconds = 1000 * row["saveSeconds"] / row["saves"] if row["saves"] else 0.0
        shown.append(
            (
                row["machine"],
                row["name"],
                role,
                row["epoch"],
                hint,
                ",".join(row["inSync"]) or "-",
                row["leaseS"],
                f"{milliseconds:.1f}",
                "-" if row["revision"] is None else row["revision"],
                "its disk was lost" if row["amnesic"] else "",
            )
        )
    head = ("machine", "name", "role", "epoch", "primary", "in sync", "lease s", "save ms", "revision", "note")
    return Shown([*table(head, shown), *(() if well else ["no primary"])], well)


def members(at: str) -> Shown:
    """The routers that hold a lease, by the primary."""
    row = primary_of(asked(at, Control.statuses))
    ages = row["memberAgeS"]
    lines = table(("router", "heard s ago"), [(ip, f"{ages[ip]:.1f}") for ip in sorted(ages, key=place_of)])
    return Shown([*lines, f"{len(ages)} routers hold a lease of {row['machine']}"])


def duties(at: str) -> Shown:
    """Who reads the platform's list and who orders, and how far the named versions are."""
    rows = asked(at, Control.statuses)
    row = primary_of(rows)
    lines = table(
        ("duty", "held by", "so far"),
        [
            ("reads the list", row["machine"] if row["readsList"] else "nobody now", f"{row['calls']} calls"),
            ("orders", row["machine"] if row["mayOrder"] else "nobody now", f"{row['orders']} orders"),
        ],
    )
    listed = f"{len(row['servers'])} servers listed" if row["listRead"] else "the list was not read yet"
    lines.append(f"fence {row['epoch']}; the lease holds for {row['leaseS']} s; {listed}")
    loading = [server["id"] for server in row["servers"] if server["state"] & SERVER_LOADING]
    lines.append(f"loading: {', '.join(loading) or 'none'}")
    for model, version in sorted((row["versions"] or {}).items()):
        having = [server for server in row["servers"] if model in server["versions"]]
        behind = [
            f"{server['id']} ({server['versions'][model]}"
            + (", draining)" if server["state"] & SERVER_DRAINING else ")")
            for server in having
            if server["versions"][model] < version
        ]
        lines.append(
            f"{model} version {version}: {len(having) - len(behind)} of {len(having)} servers"
            + (f"; behind: {', '.join(behind)}" if behind else "")
        )
    if row.get("behind"):  # those first that have lacked a named version longest
        longest = row["behind"][0]
        lines.append(f"longest behind: {longest['id']}, for {longest['lacksForS']} s")
    return Shown(lines)


# the configuration ------------------------------------------


def read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise UnusableInput(f"{file}: {error.strerror}") from error


def config_get(at: str, output: Path | None) -> Shown:
    """The configuration in force, as it was sent; it holds the API keys."""
    revision, body = asked(at, Control.config)
    if not revision:
        raise NoAnswer("no configuration yet")
    if output is None:
        return Shown([body.decode("utf-8", "replace")])
    try:
        handle = os.open(output, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with open(handle, "wb") as file:
            file.write(body)
    except OSError as error:
        raise UnusableInput(f"{output}: {error.strerror}") from error
    return Shown([f"revision {revision}, {len(body)} bytes, is in {output}; it holds API keys"])


def config_put(at: str, file: Path, if_match: int | None) -> Shown:
    """Puts a configuration on top of ``if_match``, or of the revision in force now."""
    return config_changed(b"PUT", at, file, if_match)


def config_patch(at: str, file: Path, if_match: int | None) -> Shown:
    """Changes items of the configuration by their names, on top of ``if_match``, or of the revision in force now."""
    return config_changed(b"PATCH", at, file, if_match)


def config_changed(method: bytes, at: str, file: Path, if_match: int | None) -> Shown:
    """Sends a change of the configuration, whole or as a patch, until it is settled."""
    from rowanshift.controlplane.configuration_reader import read_document
    from rowanshift.controlplane.errors import InvalidConfiguration

    body = read(file)
    try:
        read_document(body)
    except InvalidConfiguration as error:
        raise UnusableInput(f"{file}: {error}") from error

    async def put(control: Control) -> Message:
        base = (await control.config())[0] if if_match is None else if_match
        fields = [(b"If-Match", b"%d" % base), (b"Content-Type", b"application/json")]
        try:
            return await control.settled(method, b"/config", body, fields)
        except NoAnswer as error:
            if not error.sent:
                raise
            raise NoAnswer(f"{error}; it may or may not be in force: send it again as it is") from error

    answer = asked(at, put)
    if answer.status != 200:
        raise Refused(answer)
    revision, sent = orjson.loads(answer.body)["revision"], orjson.loads(body)["revision"]
    if revision != sent:  # a retry as the ledger sees it
        return Shown(
            [f"revision {sent} was taken earlier, and {revision} followed: {revision} is in force"], well=False
        )
    return Shown([f"revision {revision} is in force"])


def config_check(file: Path) -> Shown:
    """The ledger's own checks, without a ledger."""
    from rowanshift.controlplane.configuration import Configuration

    config: Configuration = parsed(file, read(file))
    tenants = "no keys are checked" if config.tenants is None else f"{len(config.tenants)} tenants"
    return Shown(
        [
            (
                f"{file}: revision {config.revision} can be put: {len(config.routes)} routes, "
                f"{len(config.backends)} services, {tenants}"
            )
        ]
    )


def parsed(place: object, body: bytes) -> Any:
    from rowanshift.controlplane.configuration_reader import parse_configuration
    from rowanshift.controlplane.errors import InvalidConfiguration

    try:
        return parse_configuration(body)
    except InvalidConfiguration as error:
        raise UnusableInput(f"{place}: {error}") from error


# Fields whose values may be shown; of others only that they differ.
TOLD = frozenset(
    [
        "name",
        "routeType",
        "timeoutMs",
        "targetLatencyMs",
        "priority",
        "backend",
        "trafficSplit",
        "retries",
        "public",
        "sticky",
        "resumable",
        "gap_aim_ms",
        "healthCheck",
        "maxConnections",
        "protocol",
        "tls",
        "kvStoreAddress",
        "zone",
        "kvTokenCapacity",
        "linkMbps",
        "maxConcurrent",
        "isolated",
        "engine.slots",
        "engine.kvTokenCapacity",
        "engine.kvTokenBytes",
        "engine.linkMbps",
        "engine.stride",
        "engine.maxConcurrent",
        "maxHeaderBytes",
        "maxBodyBytes",
        "headerTimeoutMs",
        "idleTimeoutMs",
    ]
)
KEYS = "apiKeys"


def config_diff(at: str, file: Path, patch: bool = False) -> Shown:
    """How the configuration in ``file``, or the one that the patch there makes, differs from the one in force."""
    from rowanshift.controlplane.configuration_patch import apply_patch
    from rowanshift.controlplane.configuration_reader import configuration_from, read_document
    from rowanshift.controlplane.errors import InvalidConfiguration

    body = read(file)
    if not patch:
        parsed(file, body)
    revision, current = asked(at, Control.config)
    before = orjson.loads(current or b"{}")
    try:
        after = apply_patch(before, read_document(body)) if patch else read_document(body)
        configuration_from(after)
    except InvalidConfiguration as error:
        raise UnusableInput(f"{file}: {error}") from error
    lines = differences(before, after)
    return Shown([f"revision {revision} -> {after['revision']}", *(lines or ["no difference"])])


def differences(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """A line for each route, service, tenant and limit that is added (+), removed (-) or changed (~)."""
    lines = []
    for kind, place, name_of in (
        ("route", "routes", lambda row: f"{row['hostname'].lower()} {row['pathPrefix']}"),
        ("service", "backends", lambda row: row["name"]),
        ("tenant", "tenants", lambda row: row["name"]),
    ):
        old, new = ({name_of(row): row for row in config.get(place) or ()} for config in (before, after))
        if kind == "tenant" and (before.get(place) is None) != (after.get(place) is None):
            lines.append(
                "~ tenants: "
                + ("keys are no longer checked" if after.get(place) is None else "keys are checked from now on")
            )
        lines += [f"- {kind} {name}" for name in old if name not in new]
        lines += [f"+ {kind} {name}" for name in new if name not in old]
        lines += [
            f"~ {kind} {name}: {', '.join(told)}"
            for name in new
            if name in old and (told := changes(old[name], new[name]))
        ]
    told = changes(before.get("limits") or {}, after.get("limits") or {})
    return lines + ([f"~ limits: {', '.join(told)}"] if told else [])


def changes(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """What of one object differs; keys are counted only."""
    old, new = flat(old), flat(new)
    told = []
    for name in dict.fromkeys((*old, *new)):
        was, now = old.get(name), new.get(name)
        if was == now:
            continue
        if name == KEYS:
            gone, come = len({*(was or ())} - {*(now or ())}), len({*(now or ())} - {*(was or ())})
            if gone or come:
                told.append(f"{come} keys added, {gone} removed")
        elif name in TOLD:
            told.append(f"{name} {short(was)} -> {short(now)}")
        else:
            told.append(f"{name} differs")
    return told


def flat(row: dict[str, Any]) -> dict[str, Any]:
    """The object with its ``engine`` laid open."""
    made = {name: value for name, value in row.items() if name != "engine"}
    engine = row.get("engine")
    return made | {f"engine.{name}": value for name, value in (engine or {}).items()}


def short(value: Any) -> str:
    if isinstance(value, list):  # a split
        parts = ", ".join(f"{part.get('backend')}:{part.get('weight')}" for part in value)
        return f"[{parts[:LONGEST_VALUE]}]"
    return "absent" if value is None else orjson.dumps(value).decode()[:LONGEST_VALUE]


# files ------------------------------------------------------


def store_check(folder: Path) -> Shown:
    """What the store in a folder holds, or in ``ledger`` within it, where a core machine keeps it."""
    from rowanshift.controlplane.store import DATA_FILE, STORE_DIRECTORY
    from rowanshift.controlplane.store_check import check_store

    if not (folder / DATA_FILE).is_file() and (folder / STORE_DIRECTORY / DATA_FILE).is_file():
        folder = folder / STORE_DIRECTORY
    if not (folder / DATA_FILE).is_file():
        raise UnusableInput(f"{folder}: no store here ({DATA_FILE} is absent)")
    found = check_store(folder, durable_told)
    return Shown(found.text.splitlines(), found.sound)


def durable_told(record: bytes) -> str:
    """Lines about what a core machine's disk holds. ``DamagedRecord`` if it can't be read."""
    from rowanshift.controlplane.control_state import unpack
    from rowanshift.controlplane.durable_state import decode_durable_state
    from rowanshift.controlplane.errors import BadControlState
    from rowanshift.controlplane.replication import DurableState
    from rowanshift.controlplane.store import DamagedRecord
    from rowanshift.wire.errors import MalformedRecord
    from rowanshift.wire.machine_ids import ip_from_machine_id

    try:
        durable = decode_durable_state(record)
        if not isinstance(durable, DurableState):
            raise MalformedRecord(f"{type(durable).__name__} where a DurableState belongs")
        sheet = unpack(durable.state)
    except (MalformedRecord, BadControlState) as error:
        raise DamagedRecord(f"the record can't be read: {error}") from error
    accepted = durable.accepted

    def told(machines: Iterable[int]) -> str:
        return ", ".join(map(ip_from_machine_id, machines)) or "none"

    lost = "; has lost its disk and not recovered yet" if durable.amnesic else ""
    config = f"revision {sheet.revision}, {len(sheet.config)} bytes" if sheet.revision else "no configuration yet"
    lines = [
        f"promised {durable.promised}{lost}",
        f"epoch {accepted.epoch}, primary {ip_from_machine_id(accepted.primary) if accepted.primary else 'none'}",
        f"in sync: {told(accepted.in_sync)}; witnesses: {told(accepted.witnesses)}"
        + (f"; former witnesses: {told(accepted.former)}" if accepted.former else ""),
        f"state of epoch {durable.version.epoch}, sequence {durable.version.sequence}: " + config,
    ]
    lines += [f"named: {model} version {version}" for model, version in sorted(sheet.versions.items())]
    return "\n".join(lines)


ROLES = {"edge": ("dataplane", ("frontend", "readiness")), "core": ("controlplane", ("controlPlane",))}


def boot_check(file: Path) -> Shown:
    """Reads a settings file as a process does at its start, and says what is in it."""
    try:
        boot = load_node_settings(file)
        role, wanted = ROLES.get(boot.file.machine_class, ("", ()))
        if not role:
            raise NodeSettingsError(
                "machineClass", f"one of {', '.join(ROLES)} expected, not {boot.file.machine_class!r}"
            )
        for name in wanted:
            boot.required_address(name)
        numbers(boot)
    except NodeSettingsError as error:
        raise UnusableInput(str(error)) from error
    tolerance = boot.file.fault_tolerance
    listens = ", ".join(f"{name} {ip}:{port}" for name, (ip, port) in boot.listen.items())
    lines = [
        f"{boot.name}: {role} at {boot.ip}, zone {boot.zone}; listens on {listens}; internal {{}}:{{}}".format(
            *boot.internal_address
        ),
        (
            f"seeds {', '.join('{}:{}'.format(*seed) for seed in boot.seeds) or 'none'}; up to "
            f"{tolerance.machines} machines, {tolerance.zones} zones, {tolerance.regions} regions may be lost at once"
        ),
    ]
    if role == "controlplane":
        lines.append(
            f"data {boot.data_directory or 'nowhere: what it holds ends with the process'}; "
            f"{'a first start' if boot.file.bootstrap else 'no first start'}; list at "
            + ("{}:{}".format(*boot.cloud_api_address) if boot.cloud_api_address else "no address")
        )
        lines += [f"can't be kept: {warning}" for warning in fault_tolerance_warnings(boot.file)]
    return Shown(lines)


def numbers(boot: NodeSettings) -> None:
    """Raise ``NodeSettingsError`` if a machine's address is no IPv4 address."""
    for place, ip in (("ip", boot.ip), *((f"seedNodes[{n}]", seed[0]) for n, seed in enumerate(boot.seeds))):
        parts = ip.split(".")
        if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
            raise NodeSettingsError(place, f"an IPv4 address expected, not {ip[:64]!r}")
