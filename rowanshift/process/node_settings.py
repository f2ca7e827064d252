"""The settings file of a process of the system: its schema, reading and validation.

Unknown fields are ignored. Every error names the field and the reason.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

Address = tuple[str, int]
MAX_FILE_BYTES = 1 << 20
COORDINATION_CONTRACT = "coord"  # enables the service for locks, numbers and keys


class NodeSettingsError(ValueError):
    """The settings are unusable; the text names the field or file and the reason."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place, self.reason = place, reason


class ProcessLimits(msgspec.Struct, rename="camel", frozen=True):
    """Resource limits of the process: memory in MiB and open file descriptors."""

    memory_mb: float = 256
    max_fds: int = 1024


class FaultTolerance(msgspec.Struct, rename="camel", frozen=True):
    """How many machines, zones and regions may fail at the same time."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class RuleBounds(msgspec.Struct, rename="camel", frozen=True):
    """Bounds on the system's behaviour, set by the operators.

    A suffix ``_s`` or ``_ms`` is the unit; other fields have no unit.
    """

    contact_ms: float = 3000
    drain_ms: float = 3000
    grace_s: float = 8
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_budget_slack: float = 10
    lease_ms: float = 3000
    version_ms: float = 8000
    version_all_ms: float = 0  # bound for all requests together; 0 disables it
    revoke_strict: bool = False
    revoke_ms: float = 5000
    address_reuse_s: float = 2
    history_s: float = 20  # how long a watch can continue after a revision that it has received

    @property
    def revocation_seconds(self) -> float | None:
        """How long any machine may keep accepting a revoked key; ``None`` if that is unbounded."""
        return self.revoke_ms / 1000 if self.revoke_strict else None


class CloudApiSettings(msgspec.Struct, rename="camel", frozen=True):
    """The platform's API: its address, the call rate of all core machines together, and its list's maximum lag."""

    address: str
    rate_per_s: float = 1.0
    max_lag_ms: float = 1000


class NodeSettingsFile(msgspec.Struct, rename="camel", frozen=True):
    """The schema of the settings file."""

    node_name: str
    machine_class: str
    ip: str
    zone: str
    listen_addresses: dict[str, str]
    internal_ports: tuple[int, int]
    seed_nodes: list[str]
    bootstrap: bool = False
    quorum_member: bool = True  # whether the machine counts for ``fault_tolerance``
    region: str = ""
    zones: dict[str, str] = {}
    data_dir: str | None = None
    heartbeat_ms: float = 1000
    limits: ProcessLimits = ProcessLimits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: RuleBounds = RuleBounds()
    contracts: tuple[str, ...] = ()  # the enabled parts of the operators' rules
    cloud_api: CloudApiSettings | None = None


class NodeSettings:
    """The validated settings of one process. Addresses are pairs of an IP and a port."""

    def __init__(self, file: NodeSettingsFile, path: Path | None = None) -> None:
        self.path, self.file = path, file
        self.name, self.ip, self.zone, self.region = file.node_name, file.ip, file.zone, file.region
        self.bounds, self.limits = file.bounds, file.limits
        self.listen: Mapping[str, Address] = {
            name: parse_address(text, f"listenAddresses.{name}") for name, text in file.listen_addresses.items()
        }
        self.internal_address: Address = (file.ip, file.internal_ports[0])
        self.seeds = [parse_address(text, f"seedNodes[{index}]") for index, text in enumerate(file.seed_nodes)]
        self.cloud_api_address = (
            None if file.cloud_api is None else parse_address(file.cloud_api.address, "cloudApi.address")
        )
        self.data_directory = Path(file.data_dir) if file.data_dir else None

    def required_address(self, name: str) -> Address:
        """A listen address that the process's role requires. Raises ``NodeSettingsError`` if it is missing."""
        if name not in self.listen:
            raise NodeSettingsError(f"listenAddresses.{name}", "missing, but required by this role")
        return self.listen[name]


def parse_address(text: str, place: str) -> Address:
    """Parse IP:PORT. Raises ``NodeSettingsError`` with ``place`` if the text has another form."""
    host, separator, port = text.rpartition(":")
    is_port_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not separator or not host or not is_port_number or not 0 < int(port) < 65536:
        raise NodeSettingsError(place, f"IP:PORT expected, not {text[:64]!r}")
    return host, int(port)


def load_node_settings(path: str | Path | None) -> NodeSettings:
    """Read and validate the file. Raises ``NodeSettingsError``."""
    if not path:
        raise NodeSettingsError("ROWANSHIFT_BOOT", "names no settings file")
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise NodeSettingsError(str(path), error.strerror or "can't be read") from error
    if len(data) > MAX_FILE_BYTES:
        raise NodeSettingsError(str(path), f"at most {MAX_FILE_BYTES} bytes expected, not {len(data)}")
    return node_settings_of(data, path)


def node_settings_of(data: bytes | dict[str, Any], path: str | Path = "settings") -> NodeSettings:
    """Validate settings; ``path`` is named in errors and read again by a reload. Raises ``NodeSettingsError``."""
    try:
        decoded = msgspec.json.decode(data) if isinstance(data, bytes) else data
        file = msgspec.convert(decoded, NodeSettingsFile)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise NodeSettingsError(str(path), str(error)) from error
    if not 0 < file.internal_ports[0] <= file.internal_ports[1] < 65536:
        raise NodeSettingsError(
            "internalPorts", f"two ports from 1 to 65535 in ascending order expected, not {file.internal_ports}"
        )
    if file.fault_tolerance.machines < 0:
        raise NodeSettingsError("faultTolerance.machines", f"0 or more expected, not {file.fault_tolerance.machines}")
    return NodeSettings(file, Path(path))
