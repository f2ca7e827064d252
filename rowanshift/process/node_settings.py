"""The settings file of a process of the system: its form, how it is read, and what is checked.

Fields that are not known are ignored. Every error names the field and the reason.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

Address = tuple[str, int]
MAX_FILE_BYTES = 1 << 20
COORDINATION_CONTRACT = "coord"  # applications call for locks, numbers and keys


class NodeSettingsError(ValueError):
    """A settings file that can't be used; the text names the place and the reason."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place, self.reason = place, reason


class ProcessLimits(msgspec.Struct, rename="camel", frozen=True):
    """What the process may use: memory in MiB, open file descriptors."""

    memory_mb: float = 256
    max_fds: int = 1024


class FaultTolerance(msgspec.Struct, rename="camel", frozen=True):
    """What may be lost at once: counts of machines, zones and regions."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class RuleBounds(msgspec.Struct, rename="camel", frozen=True):
    """The bounds of the operators' rules. A field's name tells its unit, s or ms; the rest have none."""

    contact_ms: float = 3000
    drain_ms: float = 3000
    grace_s: float = 8
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_budget_slack: float = 10
    lease_ms: float = 3000
    version_ms: float = 8000
    version_all_ms: float = 0  # for all requests together; 0: no such bound
    revoke_strict: bool = False
    revoke_ms: float = 5000
    address_reuse_s: float = 2
    history_s: float = 20  # for which a watch may ask for puts after a revision that it was given

    @property
    def revocation_seconds(self) -> float | None:
        """Seconds for which any machine may use a revoked key; ``None`` where that has no bound."""
        return self.revoke_ms / 1000 if self.revoke_strict else None


class CloudApiSettings(msgspec.Struct, rename="camel", frozen=True):
    """The platform's API: its address, calls a second of all core machines together, and how old its list may be."""

    address: str
    rate_per_s: float = 1.0
    max_lag_ms: float = 1000


class NodeSettingsFile(msgspec.Struct, rename="camel", frozen=True):
    """The file as it is written, field by field."""

    node_name: str
    machine_class: str
    ip: str
    zone: str
    listen_addresses: dict[str, str]
    internal_ports: tuple[int, int]
    seed_nodes: list[str]
    bootstrap: bool = False
    quorum_member: bool = True  # whether it is one of the machines that `fault_tolerance` speaks of
    region: str = ""
    zones: dict[str, str] = {}
    data_dir: str | None = None
    heartbeat_ms: float = 1000
    limits: ProcessLimits = ProcessLimits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: RuleBounds = RuleBounds()
    contracts: tuple[str, ...] = ()  # the parts of the operators' rules that are in force
    cloud_api: CloudApiSettings | None = None


class NodeSettings:
    """The settings of one process, checked. Addresses are pairs of an IP and a port."""

    def __init__(self, file: NodeSettingsFile, path: Path | None = None) -> None:
        self.path, self.file = path, file
        self.name, self.ip, self.zone, self.region = file.node_name, file.ip, file.zone, file.region
        self.bounds, self.limits = file.bounds, file.limits
        self.listen: Mapping[str, Address] = {
            name: address_of(text, f"listenAddresses.{name}") for name, text in file.listen_addresses.items()
        }
        self.internal_address: Address = (file.ip, file.internal_ports[0])
        self.seeds = [address_of(text, f"seedNodes[{i}]") for i, text in enumerate(file.seed_nodes)]
        self.cloud_api_address = (
            None if file.cloud_api is None else address_of(file.cloud_api.address, "cloudApi.address")
        )
        self.data_directory = Path(file.data_dir) if file.data_dir else None

    def required_address(self, name: str) -> Address:
        """Return a listen address that this role needs; ``NodeSettingsError`` if the file has none."""
        if name not in self.listen:
            raise NodeSettingsError(f"listenAddresses.{name}", "missing, and this role needs it")
        return self.listen[name]


def address_of(text: str, place: str) -> Address:
    """Parse IP:PORT; ``NodeSettingsError`` at ``place`` if it is something else."""
    host, colon, port = text.rpartition(":")
    plain = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not host or not plain or not 0 < int(port) < 65536:
        raise NodeSettingsError(place, f"IP:PORT expected, not {text[:64]!r}")
    return host, int(port)


def load_node_settings(path: str | Path | None) -> NodeSettings:
    """Read and check the file; ``NodeSettingsError`` if it can't be used."""
    if not path:
        raise NodeSettingsError("ROWANSHIFT_BOOT", "names no settings file")
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise NodeSettingsError(str(path), error.strerror or "can't be read") from error
    if len(data) > MAX_FILE_BYTES:
        raise NodeSettingsError(str(path), f"over {MAX_FILE_BYTES} bytes")
    return node_settings_of(data, path)


def node_settings_of(data: bytes | dict[str, Any], path: str | Path = "settings") -> NodeSettings:
    """Check settings that were read; ``path`` stands in errors and is where a reload looks."""
    try:
        decoded = msgspec.json.decode(data) if isinstance(data, bytes) else data
        file = msgspec.convert(decoded, NodeSettingsFile)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise NodeSettingsError(str(path), str(error)) from error
    if not 0 < file.internal_ports[0] <= file.internal_ports[1] < 65536:
        raise NodeSettingsError("internalPorts", "two rising ports expected")
    if file.fault_tolerance.machines < 0:
        raise NodeSettingsError("faultTolerance.machines", "0 or more expected")
    return NodeSettings(file, Path(path))
