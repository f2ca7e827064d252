"""The settings file of a process of the whole system, read and checked; fields not known are ignored."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

Address = tuple[str, int]
LARGEST = 1 << 20  # bytes of the file


class NodeSettingsError(ValueError):
    """A settings file that can't be used; the text names the place and the reason."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place, self.reason = place, reason


class Limits(msgspec.Struct, rename="camel", frozen=True):
    memory_mb: float = 256
    max_fds: int = 1024


class FaultTolerance(msgspec.Struct, rename="camel", frozen=True):
    """What may be lost at once: counts of machines, zones and regions."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(msgspec.Struct, rename="camel", frozen=True):
    """Times as the field's name says, in seconds or milliseconds; the rest are plain numbers."""

    contact_ms: float = 3000
    drain_ms: float = 3000
    grace_s: float = 8
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_budget_slack: float = 10
    lease_ms: float = 3000
    version_ms: float = 8000
    version_all_ms: float = 0  # 0: only single stretches count
    revoke_strict: bool = False
    revoke_ms: float = 5000
    address_reuse_s: float = 2

    @property
    def revoke_within(self) -> float | None:
        """Seconds for which any machine may use a key that was taken away; ``None`` where that has no bound."""
        return self.revoke_ms / 1000 if self.revoke_strict else None


class CloudApi(msgspec.Struct, rename="camel", frozen=True):
    address: str
    rate_per_s: float = 1.0
    max_lag_ms: float = 1000


class File(msgspec.Struct, rename="camel", frozen=True):
    """The file as it stands."""

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
    limits: Limits = Limits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud_api: CloudApi | None = None


class NodeSettings:
    """What a process is told at its start. Addresses are pairs of an IP and a port."""

    def __init__(self, file: File, path: Path | None = None) -> None:
        self.path, self.file = path, file
        self.name, self.ip, self.zone, self.region = file.node_name, file.ip, file.zone, file.region
        self.bounds, self.limits = file.bounds, file.limits
        self.listen: Mapping[str, Address] = {
            name: address_of(text, f"listenAddresses.{name}") for name, text in file.listen_addresses.items()
        }
        self.inner: Address = (file.ip, file.internal_ports[0])
        self.seeds = [address_of(text, f"seedNodes[{i}]") for i, text in enumerate(file.seed_nodes)]
        self.cloud = None if file.cloud_api is None else address_of(file.cloud_api.address, "cloudApi.address")
        self.data = Path(file.data_dir) if file.data_dir else None

    def want(self, name: str) -> Address:
        """One of the listen addresses that this role can't do without."""
        if name not in self.listen:
            raise NodeSettingsError(f"listenAddresses.{name}", "missing, and this role needs it")
        return self.listen[name]


def address_of(text: str, place: str) -> Address:
    host, colon, port = text.rpartition(":")
    plain = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not host or not plain or not 0 < int(port) < 65536:
        raise NodeSettingsError(place, f"IP:PORT expected, not {text[:64]!r}")
    return host, int(port)


def load_node_settings(path: str | Path | None) -> NodeSettings:
    """Reads the file; ``NodeSettingsError`` if it can't be used."""
    if not path:
        raise NodeSettingsError("ROWANSHIFT_BOOT", "names no settings file")
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise NodeSettingsError(str(path), error.strerror or "can't be read") from error
    if len(data) > LARGEST:
        raise NodeSettingsError(str(path), f"over {LARGEST} bytes")
    return node_settings_of(data, path)


def node_settings_of(data: bytes | dict[str, Any], path: str | Path = "settings") -> NodeSettings:
    try:
        decoded = msgspec.json.decode(data) if isinstance(data, bytes) else data
        file = msgspec.convert(decoded, File)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise NodeSettingsError(str(path), str(error)) from error
    if not 0 < file.internal_ports[0] <= file.internal_ports[1] < 65536:
        raise NodeSettingsError("internalPorts", "two rising ports expected")
    if file.fault_tolerance.machines < 0:
        raise NodeSettingsError("faultTolerance.machines", "0 or more expected")
    return NodeSettings(file, Path(path))
