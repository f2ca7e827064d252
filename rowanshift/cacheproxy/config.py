"""The configuration that a router is started with."""

import os
from dataclasses import dataclass, fields, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

import orjson

from rowanshift.cacheproxy.model import Entry, Settings
from rowanshift.cacheproxy.settings import SettingsError, settings_of

Address = tuple[str, int]
HEALTH_OF_LIFECYCLE = {"active": "live", "leaving": "quiescing", "left": "dead"}


class ConfigError(Exception):
    """A configuration that can't be used; the text says why."""


@dataclass(slots=True, frozen=True)
class NameIndex:
    """Positions in the settings' lists, by the names used in requests and in lists of servers."""

    categories: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True, frozen=True)
class Config:
    """A configuration that was parsed; times are seconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    known: dict[str, Any]
    settings: Settings
    names: NameIndex
    dial_within: float
    idle_for: float
    longest: float  # the longest expiry of all categories
    control: Address | None = None  # the address of the control port


def parse_address(text: str) -> Address:
    """An address given as IPv4 address, colon and port; raises ``ValueError``."""
    host, _, port = text.rpartition(":")
    try:
        address = str(IPv4Address(host)), int(port)
    except ValueError:
        address = host, 0
    if not 0 < address[1] < 65536:
        raise ValueError(f"expected an IPv4 address and a port, found {text!r}")
    return address


def entry_of(row: dict[str, Any], names: NameIndex) -> Entry:
    """The entry for one row of a list of servers.

    Zones and kinds that the settings lack get new positions: servers of two zones must not count as one group.
    """
    if (health := HEALTH_OF_LIFECYCLE.get(row["lifecycle"])) is None:
        raise ValueError(f"unknown lifecycle {row['lifecycle']!r}, expected active, leaving or left")
    zone, kind = row.get("zone"), row.get("machineType")
    return Entry(
        row["instanceId"],
        row.get("cell") or 0,
        float(row.get("weight", 1.0)),
        names.zones.setdefault(zone, len(names.zones)),
        health,
        names.kinds.setdefault(kind, len(names.kinds)),
        (row.get("startedAtMs") or 0) / 1e3,
    )


def parse_control_address(text: Any, source: str) -> Address | None:
    """The address of the control port, None if there is none; ``source`` names the place in an error."""
    try:
        return parse_address(text) if text else None
    except (ValueError, AttributeError) as error:
        raise ConfigError(f"{source}: expected an IPv4 address and a port, found {text!r}") from error


def index_by_name(names: list[str]) -> dict[str, int]:
    """The position of each name."""
    return {name: n for n, name in enumerate(names)}


def config_of(data: dict[str, Any]) -> Config:
    """Parses a configuration; raises ``ConfigError``."""
    try:
        raw, limits = data["settings"], data["limits"]
        categories, tenants = raw["categories"], raw.get("tenants") or ()
        names = NameIndex(
            {c["name"].encode(): n for n, c in enumerate(categories)},
            {t["name"].encode(): n for n, t in enumerate(tenants)},
            index_by_name(raw.get("zones") or []),
            index_by_name(raw.get("kinds") or []),
        )
        known = data.get("known") or {"generation": 0, "instances": []}
        for row in known["instances"]:
            entry_of(row, names), parse_address(row["hostPort"])
        return Config(
            name=str(data["name"]),
            listen=parse_address(data["listen"]),
            discovery=parse_address(data["discovery"]),
            seed=int(data["seed"], 16),
            sockets=int(limits["sockets"]),
            memory_mb=float(limits["memory_mb"]),
            peer_listen=parse_address(data["peer_listen"]) if data.get("peer_listen") else None,
            peers=[parse_address(text) for text in data.get("peers") or ()],
            peers_all=parse_address(data["peers_all"]) if data.get("peers_all") else None,
            known={"generation": int(known["generation"]), "instances": known["instances"]},
            settings=settings_of(raw),
            names=names,
            dial_within=raw["limits"]["dial_timeout_us"] / 1e6,
            idle_for=raw["limits"]["conn_idle_us"] / 1e6,
            longest=max(c["expiry_us"] for c in categories) / 1e6,
            control=parse_control_address(data.get("control"), "control"),
        )
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration can't be used: {error}") from error


def fields_needing_restart(old: Config, new: Config) -> list[str]:
    """The fields that differ and that a reload does not apply.

    A reload applies ``discovery``; ``known`` and ``seed`` may differ in every file.
    """
    compared = [f.name for f in fields(old) if f.name not in ("discovery", "known", "seed", "names")]
    differing = [name for name in compared if getattr(old, name) != getattr(new, name)]
    if (old.names.categories, old.names.tenants) != (new.names.categories, new.names.tenants):
        differing.append("names")  # Zones and kinds do not count, since lists of servers add to them.
    return differing


def load(path: Path) -> Config:
    """Reads a configuration file; raises ``ConfigError``.

    ``$BALANCER_CONTROL`` overrides ``control`` of the file: while one process replaces another, both may read the same
    file, but each needs its own control port.
    """
    try:
        config = config_of(orjson.loads(path.read_bytes()))
        control = parse_control_address(os.environ.get("BALANCER_CONTROL"), "$BALANCER_CONTROL")
        return replace(config, control=control or config.control)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
