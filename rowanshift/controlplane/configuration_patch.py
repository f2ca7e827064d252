"""``PATCH /config``: adds, replaces or removes named items of the current configuration. No I/O.

A patch is a JSON object with ``revision``, ``upsert`` (items by the name of their list) and ``remove`` (item names by
the name of their list). The result is a complete configuration, which is validated in the same way as a configuration
sent with ``PUT``. The following rules fill gaps in the protocol specification:

- An item in ``upsert`` replaces the item with the same name, or is appended if there is none.
- A name in ``remove`` that does not exist is ignored, as the requested result is already in place.
- A patch with empty or missing ``upsert`` and ``remove`` changes only the revision.
- A list that is not in ``NAMED_LISTS`` is rejected. So is a name that occurs twice for one list, counting ``upsert``
  and ``remove`` together, because the intended result is ambiguous.
- If the configuration contains several items with the same name, the last one takes effect (see
  ``configuration_checks``). An ``upsert`` of this name replaces all of them by one item; a ``remove`` deletes them all.
- Other fields of the patch are ignored, as unknown fields of a configuration are.
"""

from __future__ import annotations

from typing import Any

from rowanshift.controlplane.errors import InvalidConfiguration

NAMED_LISTS = ("routes", "backends", "tenants")
MAX_QUOTED_NAME_CHARACTERS = 200  # longer names are truncated in error messages

JsonObject = dict[str, Any]


def apply_patch(base: JsonObject, patch: JsonObject) -> JsonObject:
    """Return the complete configuration after applying ``patch`` to ``base``, which is not modified.

    Raises ``InvalidConfiguration`` if the structure of the patch is invalid. The result is not checked.
    """
    upserts, removals = _read_upserts(patch), _read_removals(patch)
    document = base | {"revision": patch.get("revision")}
    for list_name in dict.fromkeys((*upserts, *removals)):
        upsert, removed = upserts.get(list_name, {}), removals.get(list_name, set())
        if in_both := sorted(removed & upsert.keys()):
            raise InvalidConfiguration(f"remove.{list_name}", f"{_quoted(in_both[0])} is also in upsert.{list_name}")
        if upsert or removed:
            document[list_name] = _patch_list(base.get(list_name) or [], upsert, removed)
    return document


def _patch_list(items: list[JsonObject], upsert: dict[str, JsonObject], removed: set[str]) -> list[JsonObject]:
    """Return the patched items: replaced items keep their position, and new items follow at the end."""
    remaining = dict(upsert)
    patched = []
    for item in items:
        name = item.get("name") or ""
        if name in removed:
            continue
        if name not in upsert:
            patched.append(item)
        elif name in remaining:
            patched.append(remaining.pop(name))
    return [*patched, *remaining.values()]


def _read_lists(patch: JsonObject, field: str) -> dict[str, list[Any]]:
    """Return the lists in ``upsert`` or ``remove``, after checking their names and types."""
    lists = patch.get(field)
    if lists is None:
        return {}
    if type(lists) is not dict:
        raise InvalidConfiguration(field, f"expected an object, found {type(lists).__name__}")
    for list_name, items in lists.items():
        if list_name not in NAMED_LISTS:
            known = ", ".join(NAMED_LISTS)
            path = f"{field}.{list_name[:MAX_QUOTED_NAME_CHARACTERS]}"
            raise InvalidConfiguration(path, f"unknown list, expected one of {known}")
        if type(items) is not list:
            raise InvalidConfiguration(f"{field}.{list_name}", f"expected a list, found {type(items).__name__}")
    return lists


def _read_upserts(patch: JsonObject) -> dict[str, dict[str, JsonObject]]:
    """Return the items to add or replace, by list and name."""
    upserts = {}
    for list_name, items in _read_lists(patch, "upsert").items():
        by_name: dict[str, JsonObject] = {}
        for index, item in enumerate(items):
            path = f"upsert.{list_name}[{index}]"
            if type(item) is not dict:
                raise InvalidConfiguration(path, f"expected an object, found {type(item).__name__}")
            name = _read_name(f"{path}.name", item.get("name"))
            if name in by_name:
                raise InvalidConfiguration(f"{path}.name", f"duplicate name {_quoted(name)}")
            by_name[name] = item
        upserts[list_name] = by_name
    return upserts


def _read_removals(patch: JsonObject) -> dict[str, set[str]]:
    """Return the names of the items to remove, by list."""
    removals = {}
    for list_name, names in _read_lists(patch, "remove").items():
        removed: set[str] = set()
        for index, value in enumerate(names):
            path = f"remove.{list_name}[{index}]"
            name = _read_name(path, value)
            if name in removed:
                raise InvalidConfiguration(path, f"duplicate name {_quoted(name)}")
            removed.add(name)
        removals[list_name] = removed
    return removals


def _read_name(path: str, value: Any) -> str:
    """Return the name of an item, after checking that it is a non-empty string."""
    if type(value) is not str or not value:
        raise InvalidConfiguration(path, "expected a non-empty string as name")
    return value


def _quoted(name: str) -> str:
    return repr(name[:MAX_QUOTED_NAME_CHARACTERS])
