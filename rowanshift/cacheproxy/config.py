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
HEALTH = {"active": "live", "leaving": "quiescing", "left": "dead"}


class ConfigError(Exception):
    """A configuration that can't be used; the text says why."""


@dataclass(slots=True, frozen=True)
class Names:
    """Positions in the settings by the names that stand on the wire."""

    categories: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True, frozen=True)
class Config:
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
    names: Names
    dial_within: float
    idle_for: float
    longest: float  # the longest expiry of a category
    control: Address | None = None  # the second address


def address_of(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        address = str(IPv4Address(host)), int(port)
    except ValueError:
        address = host, 0
    if not 0 < address[1] < 65536:
        raise ValueError(f"no IPv4 address with a port: {text!r}")
    return address


def entry_of(row: dict[str, Any], names: Names) -> Entry:
    """One entry of a list. Zones and kinds that the settings lack get positions of their own: servers of
    two zones must not pass for one group."""
    if (health := HEALTH.get(row["lifecycle"])) is None:
        raise ValueError(f"unknown lifecycle {row['lifecycle']!r}")
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


def control_of(text: Any, where: str) -> Address | None:
    """The second address, if there is one; ``where`` says where it was given."""
    try:
        return address_of(text) if text else None
    except (ValueError, AttributeError) as error:
        raise ConfigError(f"{where}: no IPv4 address with a port: {text!r}") from error


def positions(names: list[str]) -> dict[str, int]:
    return {name: n for n, name in enumerate(names)}


def config_of(data: dict[str, Any]) -> Config:
    try:
        raw, limits = data["settings"], data["limits"]
        categories, tenants = raw["categories"], raw.get("tenants") or ()
        names = Names(
            {c["name"].encode(): n for n, c in enumerate(categories)},
            {t["name"].encode(): n for n, t in enumerate(tenants)},
            positions(raw.get("zones") or []),
            positions(raw.get("kinds") or []),
        )
        known = data.get("known") or {"generation": 0, "instances": []}
        for row in known["instances"]:
            entry_of(row, names), address_of(row["hostPort"])
        return Config(
            name=str(data["name"]),
            listen=address_of(data["listen"]),
            discovery=address_of(data["discovery"]),
            seed=int(data["seed"], 16),
            sockets=int(limits["sockets"]),
            memory_mb=float(limits["memory_mb"]),
            peer_listen=address_of(data["peer_listen"]) if data.get("peer_listen") else None,
            peers=[address_of(text) for text in data.get("peers") or ()],
            peers_all=address_of(data["peers_all"]) if data.get("peers_all") else None,
            known={"generation": int(known["generation"]), "instances": known["instances"]},
            settings=settings_of(raw),
            names=names,
            dial_within=raw["limits"]["dial_timeout_us"] / 1e6,
            idle_for=raw["limits"]["conn_idle_us"] / 1e6,
            longest=max(c["expiry_us"] for c in categories) / 1e6,
            control=control_of(data.get("control"), "control"),
        )
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration can't be used: {error}") from error


def changed(old: Config, new: Config) -> list[str]:
    """What differs but for what a reload takes up, and for what every list may differ in."""
    rest = [f.name for f in fields(old) if f.name not in ("discovery", "known", "seed", "names")]
    differing = [name for name in rest if getattr(old, name) != getattr(new, name)]
    if (old.names.categories, old.names.tenants) != (new.names.categories, new.names.tenants):
        differing.append("names")  # positions of zones and kinds go on as servers come
    return differing


def load(path: Path) -> Config:
    """Reads a configuration. ``$BALANCER_CONTROL`` goes before its ``control``: two processes may share a
    file while one replaces the other, and each has a second address of its own."""
    try:
        config = config_of(orjson.loads(path.read_bytes()))
        control = control_of(os.environ.get("BALANCER_CONTROL"), "$BALANCER_CONTROL")
        return replace(config, control=control or config.control)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
