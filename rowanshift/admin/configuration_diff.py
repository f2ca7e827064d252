"""The command ``config diff``: compares a configuration with the one in force, without showing API keys."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from rowanshift.admin.client import ControlClient, run_with_client
from rowanshift.admin.errors import UnusableInput
from rowanshift.admin.input_files import read_input_file
from rowanshift.admin.output import CommandOutput
from rowanshift.controlplane.configuration_patch import apply_patch
from rowanshift.controlplane.configuration_reader import configuration_from, parse_configuration, read_document
from rowanshift.controlplane.errors import InvalidConfiguration

JsonObject = dict[str, Any]

MAX_VALUE_CHARACTERS = 60
KEYS_FIELD = "apiKeys"
ENGINE_FIELD = "engine"
# Fields whose values may be printed. For any other field the output only states that it differs: it may be a secret.
PRINTABLE_FIELDS = frozenset(
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


class ChangeSign(StrEnum):
    """The kind of a change, as the sign at the start of its line."""

    REMOVED = "-"
    ADDED = "+"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class Difference:
    """A configuration item that differs, with a description of each changed field."""

    sign: ChangeSign
    item: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        """The output line."""
        line = f"{self.sign} {self.item}"
        return f"{line}: {', '.join(self.details)}" if self.details else line


@dataclass(frozen=True, slots=True)
class ItemKind:
    """A list in the configuration: its field name, the label of its items, and the function that identifies an item."""

    field: str
    label: str
    identity: Callable[[JsonObject], str]


def route_identity(route: JsonObject) -> str:
    """The hostname and path prefix, which are unique to a route."""
    return f"{route['hostname'].lower()} {route['pathPrefix']}"


def item_name(item: JsonObject) -> str:
    """The name of a service or a tenant."""
    return str(item["name"])


ROUTES = ItemKind("routes", "route", route_identity)
SERVICES = ItemKind("backends", "service", item_name)
TENANTS = ItemKind("tenants", "tenant", item_name)


def diff_configuration(control_addresses: str, file: Path, is_patch: bool = False) -> CommandOutput:
    """Compare the configuration in ``file``, or the result of the patch in it, with the one in force.

    Raises ``UnusableInput`` if the resulting configuration is invalid.
    """
    body = read_input_file(file)
    try:
        if not is_patch:
            parse_configuration(body)
        current = run_with_client(control_addresses, ControlClient.get_configuration)
        before = orjson.loads(current.body or b"{}")
        document = read_document(body)
        after = apply_patch(before, document) if is_patch else document
        configuration_from(after)
    except InvalidConfiguration as error:
        raise UnusableInput(f"{file}: {error}") from error
    lines = [str(difference) for difference in differences(before, after)]
    return CommandOutput([f"revision {current.revision} -> {after['revision']}", *(lines or ["no difference"])])


def differences(before: JsonObject, after: JsonObject) -> Iterator[Difference]:
    """Each route, service and tenant that was added, removed or changed, and the limits if they differ."""
    yield from item_differences(ROUTES, before, after)
    yield from item_differences(SERVICES, before, after)
    if (before.get(TENANTS.field) is None) != (after.get(TENANTS.field) is None):
        effect = "keys are no longer checked" if after.get(TENANTS.field) is None else "keys are checked from now on"
        yield Difference(ChangeSign.CHANGED, TENANTS.field, (effect,))
    yield from item_differences(TENANTS, before, after)
    limits = tuple(field_changes(before.get("limits") or {}, after.get("limits") or {}))
    if limits:
        yield Difference(ChangeSign.CHANGED, "limits", limits)


def item_differences(kind: ItemKind, before: JsonObject, after: JsonObject) -> Iterator[Difference]:
    """The differences between two lists: removed items, then added ones, then changed ones."""
    old = {kind.identity(item): item for item in before.get(kind.field) or ()}
    new = {kind.identity(item): item for item in after.get(kind.field) or ()}
    for name in old:
        if name not in new:
            yield Difference(ChangeSign.REMOVED, f"{kind.label} {name}")
    for name in new:
        if name not in old:
            yield Difference(ChangeSign.ADDED, f"{kind.label} {name}")
    for name in new:
        if name in old and (changes := tuple(field_changes(old[name], new[name]))):
            yield Difference(ChangeSign.CHANGED, f"{kind.label} {name}", changes)


def field_changes(old: JsonObject, new: JsonObject) -> Iterator[str]:
    """A description of each field that differs; API keys are only counted."""
    old, new = flatten_engine(old), flatten_engine(new)
    for name in dict.fromkeys((*old, *new)):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if name == KEYS_FIELD:
            yield from key_changes({*(before or ())}, {*(after or ())})
        elif name in PRINTABLE_FIELDS:
            yield f"{name} {format_value(before)} -> {format_value(after)}"
        else:
            yield f"{name} differs"


def key_changes(before: set[str], after: set[str]) -> Iterator[str]:
    """The numbers of API keys that were added and removed, if any."""
    if before != after:
        yield f"{len(after - before)} keys added, {len(before - after)} removed"


def flatten_engine(item: JsonObject) -> JsonObject:
    """The object with the fields of its ``engine`` renamed to ``engine.NAME``."""
    flat = {name: value for name, value in item.items() if name != ENGINE_FIELD}
    engine = item.get(ENGINE_FIELD) or {}
    return flat | {f"{ENGINE_FIELD}.{name}": value for name, value in engine.items()}


def format_value(value: Any) -> str:
    """A field's value as JSON, or a traffic split as ``[SERVICE:WEIGHT, ...]``; at most ``MAX_VALUE_CHARACTERS``."""
    if isinstance(value, list):  # the traffic split is the only list among the printable fields
        parts = ", ".join(f"{part.get('backend')}:{part.get('weight')}" for part in value)
        return f"[{parts[:MAX_VALUE_CHARACTERS]}]"
    return "absent" if value is None else orjson.dumps(value).decode()[:MAX_VALUE_CHARACTERS]
