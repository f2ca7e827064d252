"""``rowanshift migrate``: a configuration of the old shape, a pool of routers, to its counterpart where each
client process has a router of its own. What it can't carry over it tells, a line each."""

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

LOOPBACK = "127."


@dataclass(slots=True, frozen=True)
class Wanted:
    """What an operator says of the new deployment; what is left out stays as it was, or goes."""

    listen: str | None = None
    routers: int | None = None
    ordinal: int | None = None
    zones: tuple[str, ...] = ()


def stands(settings: dict[str, Any], path: str) -> bool:
    """Whether a setting is written out, by its path."""
    *within, name = path.split(".")
    for part in within:
        settings = settings.get(part) or {}
    return name in settings


def migrated(old: dict[str, Any], wanted: Wanted) -> tuple[dict[str, Any], list[str]]:
    """The counterpart of a configuration that can be used, and what was not carried over, a line each.

    Keys that a router does not read stay as they are. Raises ``ConfigError`` where either can't be used, and
    for a configuration of the new shape: one on loopback in which all that is new is written out.
    """
    config_of(deepcopy(old))  # it notes zones and kinds
    new, lost = deepcopy(old), []
    settings = new["settings"]
    if old["listen"].startswith(LOOPBACK) and all(stands(settings, path) for path in NEW):
        raise ConfigError("it is of the new shape already")

    if wanted.listen is not None:
        new["listen"] = wanted.listen
    elif not old["listen"].startswith(LOOPBACK):
        new["listen"] = "127.0.0.1:{}".format(parse_address(old["listen"])[1])
        lost.append(
            f"listen: {old['listen']} served clients of a pool; a client's own router listens on {new['listen']}"
        )

    for path, value, what in (
        ("replicas_of_me", wanted.routers, "--routers"),
        ("ordinal", wanted.ordinal, "--ordinal"),
    ):
        if value is not None:
            settings[path] = value
        else:
            lost.append(f"settings.{path}: {settings[path]} is the pool's; {what} tells the new one")
    if settings["ordinal"] >= settings["replicas_of_me"]:
        raise ConfigError(f"settings.ordinal: {settings['ordinal']} is not below {settings['replicas_of_me']} routers")

    if gone := [key for key in ("peers", "peers_all", "peer_listen") if new.pop(key, None)]:
        lost.append(
            f"{', '.join(gone)}: the addresses of the pool's routers; list the new ones and set "
            "settings.limits.peers, where they may talk"
        )
    if gone and settings["limits"]["peers"]:
        settings["limits"]["peers"] = False

    if wanted.zones:
        if unknown := sorted(set(wanted.zones) - set(settings.get("zones") or ())):
            lost.append(f"settings.zones: {', '.join(unknown)} are new, with no cache known there")
        known = new.get("known") or {}
        for row in known.get("instances", ()):
            if row.get("zone") not in wanted.zones:
                lost.append(f"known.instances: {row['instanceId']} is in {row.get('zone')}, which goes")
        if known:
            known["instances"] = [row for row in known["instances"] if row.get("zone") in wanted.zones]
        settings["zones"] = list(wanted.zones)
        zone = settings.get("zone")
        if zone is not None and (old["settings"].get("zones") or [])[zone : zone + 1] != list(
            wanted.zones[zone : zone + 1]
        ):
            del settings["zone"]
            lost.append(f"settings.zone: {zone} is a place in the old list of zones")

    for path, default in NEW.items():
        *within, name = path.split(".")
        place = settings
        for part in within:
            place = place.setdefault(part, {})
        place.setdefault(name, default)
    config_of(deepcopy(new))
    return new, lost


def write_whole(path: Path, data: bytes, mode: int) -> None:
    """Puts a file in place whole or not at all; raises ``OSError``."""
    handle, beside = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(beside, mode)
        os.replace(beside, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(beside)
        raise


def carried(source: Path, wanted: Wanted) -> tuple[bytes, list[str]]:
    """The counterpart of a file, as it is to be written; raises ``ConfigError``, naming the file."""
    try:
        old = orjson.loads(source.read_bytes())
        if not isinstance(old, dict):
            raise ConfigError("the configuration is no object")
        new, lost = migrated(old, wanted)
    except OSError as error:
        raise ConfigError(f"{source}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{source}: not JSON: {error}") from error
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from error
    data = orjson.dumps(new, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
    config_of(orjson.loads(data))
    return data, lost


def migrate(old: Path, output: Path, wanted: Wanted, dry_run: bool = False) -> int:
    """Writes the counterpart, and tells what is not carried over; the exit status."""
    try:
        if old.exists() and output.exists() and old.samefile(output):
            raise ConfigError(f"{output}: it is what is read; write elsewhere")
        data, lost = carried(old, wanted)
        for line in lost:
            print(f"not carried over: {line}")
        if not dry_run:
            write_whole(output, data, old.stat().st_mode & 0o777)
    except ConfigError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"rowanshift: {output}: {error.strerror}", file=sys.stderr)
        return 2
    print(f"{output}: {'would be ' if dry_run else ''}written, {len(lost)} things not carried over")
    return 0
