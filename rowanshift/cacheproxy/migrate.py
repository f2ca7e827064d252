"""``rowanshift migrate``: converts the configuration of a pool's router for deployment beside a single client.

Settings that can't be carried over are reported, one a line.
"""

import os
import sys
import tempfile
from contextlib import suppress
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from rowanshift.cacheproxy.config import ConfigError, config_of, parse_address
from rowanshift.cacheproxy.settings import NEW

LOOPBACK_PREFIX = "127."


@dataclass(slots=True, frozen=True)
class Wanted:
    """The command-line options that describe the new deployment; defaults leave a setting as it is or drop it."""

    listen: str | None = None
    routers: int | None = None
    ordinal: int | None = None
    zones: tuple[str, ...] = ()


def has_setting(settings: dict[str, Any], path: str) -> bool:
    """Whether the settings contain a dotted path."""
    *parents, name = path.split(".")
    for part in parents:
        settings = settings.get(part) or {}
    return name in settings


def converted(old: dict[str, Any], wanted: Wanted) -> tuple[dict[str, Any], list[str]]:
    """The converted configuration, and a line for each thing not carried over.

    Keys that a router does not read are kept. Raises ``ConfigError`` if either configuration can't be used, or if the
    old one is converted already: it listens on loopback and contains all settings of ``NEW``.
    """
    config_of(deepcopy(old))  # Parsing adds zones and kinds, hence the copy.
    new, not_carried = deepcopy(old), []
    settings = new["settings"]
    if old["listen"].startswith(LOOPBACK_PREFIX) and all(has_setting(settings, path) for path in NEW):
        raise ConfigError("the configuration is of the new shape already")

    if wanted.listen is not None:
        new["listen"] = wanted.listen
    elif not old["listen"].startswith(LOOPBACK_PREFIX):
        new["listen"] = "127.0.0.1:{}".format(parse_address(old["listen"])[1])
        not_carried.append(
            f"listen: {old['listen']} served clients of a pool; a client's own router listens on {new['listen']}"
        )

    for path, value, option in (
        ("replicas_of_me", wanted.routers, "--routers"),
        ("ordinal", wanted.ordinal, "--ordinal"),
    ):
        if value is not None:
            settings[path] = value
        else:
            not_carried.append(f"settings.{path}: {settings[path]} is the pool's; give the new one with {option}")
    if settings["ordinal"] >= settings["replicas_of_me"]:
        raise ConfigError(f"settings.ordinal: {settings['ordinal']} is not below {settings['replicas_of_me']} routers")

    if removed := [key for key in ("peers", "peers_all", "peer_listen") if new.pop(key, None)]:
        not_carried.append(
            f"{', '.join(removed)}: the addresses of the pool's routers; list the new ones and set "
            "settings.limits.peers, if they may exchange messages"
        )
    if removed and settings["limits"]["peers"]:
        settings["limits"]["peers"] = False

    if wanted.zones:
        if unknown := sorted(set(wanted.zones) - set(settings.get("zones") or ())):
            not_carried.append(f"settings.zones: {', '.join(unknown)} are new, with no cache known there")
        known = new.get("known") or {}
        for row in known.get("instances", ()):
            if row.get("zone") not in wanted.zones:
                not_carried.append(
                    f"known.instances: {row['instanceId']} is in {row.get('zone')}, which is not among the new zones"
                )
        if known:
            known["instances"] = [row for row in known["instances"] if row.get("zone") in wanted.zones]
        settings["zones"] = list(wanted.zones)
        zone = settings.get("zone")
        if zone is not None and (old["settings"].get("zones") or [])[zone : zone + 1] != list(
            wanted.zones[zone : zone + 1]
        ):
            del settings["zone"]
            not_carried.append(f"settings.zone: {zone} is a position in the old list of zones")

    for path, default in NEW.items():
        *parents, name = path.split(".")
        parent = settings
        for part in parents:
            parent = parent.setdefault(part, {})
        parent.setdefault(name, default)
    config_of(deepcopy(new))
    return new, not_carried


def write_atomically(path: Path, data: bytes, mode: int) -> None:
    """Replaces a file by way of a temporary one beside it; raises ``OSError``."""
    handle, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, mode)
        os.replace(temporary, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(temporary)
        raise


def convert_file(source: Path, wanted: Wanted) -> tuple[bytes, list[str]]:
    """The converted file's content, and what is not carried over; raises ``ConfigError``, which names the file."""
    try:
        old = orjson.loads(source.read_bytes())
        if not isinstance(old, dict):
            raise ConfigError("expected a JSON object")
        new, not_carried = converted(old, wanted)
    except OSError as error:
        raise ConfigError(f"{source}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{source}: not JSON: {error}") from error
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from error
    data = orjson.dumps(new, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
    config_of(orjson.loads(data))
    return data, not_carried


def migrate(old: Path, output: Path, wanted: Wanted, dry_run: bool = False) -> int:
    """Writes the converted file and prints what is not carried over; returns the exit status."""
    try:
        if old.exists() and output.exists() and old.samefile(output):
            raise ConfigError(f"{output}: the output is the file that is read; write elsewhere")
        data, not_carried = convert_file(old, wanted)
        for line in not_carried:
            print(f"not carried over: {line}")
        if not dry_run:
            write_atomically(output, data, old.stat().st_mode & 0o777)
    except ConfigError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"rowanshift: {output}: {error.strerror}", file=sys.stderr)
        return 2
    print(f"{output}: {'would be ' if dry_run else ''}written, {len(not_carried)} things not carried over")
    return 0
