"""The command ``check --boot FILE``: validates a settings file as a process does when it starts."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rowanshift.admin.errors import UnusableInput
from rowanshift.admin.output import CommandOutput
from rowanshift.controlplane.settings_warnings import fault_tolerance_warnings
from rowanshift.process.node_settings import Address, NodeSettings, NodeSettingsError, load_node_settings


@dataclass(frozen=True, slots=True)
class Role:
    """The role of a machine class and the listen addresses that it requires."""

    name: str
    listen_addresses: tuple[str, ...]


CONTROL_PLANE = Role("controlplane", ("controlPlane",))
ROLES_BY_MACHINE_CLASS = {"edge": Role("dataplane", ("frontend", "readiness")), "core": CONTROL_PLANE}


def check_settings(file: Path) -> CommandOutput:
    """Validate and describe a settings file, with warnings if it promises more than can be kept.

    Raises ``UnusableInput``.
    """
    try:
        settings = load_node_settings(file)
        role = role_of(settings)
        for name in role.listen_addresses:
            settings.required_address(name)
        check_ipv4_addresses(settings)
    except NodeSettingsError as error:
        raise UnusableInput(str(error)) from error
    lines = describe_process(settings, role)
    if role is CONTROL_PLANE:
        lines.append(describe_storage(settings))
        lines += [f"can't be kept: {warning}" for warning in fault_tolerance_warnings(settings.file)]
    return CommandOutput(lines)


def role_of(settings: NodeSettings) -> Role:
    """The role for the machine class in the settings. Raises ``NodeSettingsError``."""
    machine_class = settings.file.machine_class
    if machine_class not in ROLES_BY_MACHINE_CLASS:
        expected = ", ".join(ROLES_BY_MACHINE_CLASS)
        raise NodeSettingsError("machineClass", f"one of {expected} expected, not {machine_class!r}")
    return ROLES_BY_MACHINE_CLASS[machine_class]


def check_ipv4_addresses(settings: NodeSettings) -> None:
    """Raise ``NodeSettingsError`` unless all machine addresses are IPv4 addresses."""
    ips_by_field = {"ip": settings.ip} | {f"seedNodes[{n}]": seed[0] for n, seed in enumerate(settings.seeds)}
    for field, ip in ips_by_field.items():
        parts = ip.split(".")
        if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
            raise NodeSettingsError(field, f"an IPv4 address expected, not {ip[:64]!r}")


def describe_process(settings: NodeSettings, role: Role) -> list[str]:
    """Describe the process's addresses, its seeds and the simultaneous failures to tolerate."""
    listens = ", ".join(f"{name} {format_address(address)}" for name, address in settings.listen.items())
    seeds = ", ".join(map(format_address, settings.seeds)) or "none"
    tolerance = settings.file.fault_tolerance
    return [
        (
            f"{settings.name}: {role.name} at {settings.ip}, zone {settings.zone}; listens on {listens}; "
            f"internal {format_address(settings.internal_address)}"
        ),
        (
            f"seeds {seeds}; up to "
            f"{tolerance.machines} machines, {tolerance.zones} zones, {tolerance.regions} regions may be lost at once"
        ),
    ]


def describe_storage(settings: NodeSettings) -> str:
    """Describe a core machine's data directory, its bootstrap setting and the address of the platform's list."""
    data = settings.data_directory or "nowhere: what it holds ends with the process"
    first_start = "a first start" if settings.file.bootstrap else "no first start"
    endpoint_list = format_address(settings.cloud_api_address) if settings.cloud_api_address else "no address"
    return f"data {data}; {first_start}; list at {endpoint_list}"


def format_address(address: Address) -> str:
    """An address as ``IP:PORT``."""
    return f"{address[0]}:{address[1]}"
