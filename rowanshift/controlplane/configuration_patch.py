"""``PATCH /config``: named items of the configuration in force are added, replaced or removed. No I/O.

A patch is a JSON object with ``revision``, ``upsert`` (lists of items, by the name of the list) and ``remove`` (lists
of names). It makes a complete configuration, which is checked as one that was put. What the protocol's page leaves open
is settled so:

- An item of ``upsert`` replaces the item of its name, or is added at the end where there is none.
- A name in ``remove`` that the list doesn't hold changes nothing: what is asked for is so already.
- Without ``upsert`` and ``remove``, or with empty ones, the patch changes the revision alone.
- A list that is none of ``NAMED_LISTS`` is refused, and so is a name that stands twice in one list of the patch, in
  ``upsert`` and ``remove`` together: which of the two is meant can't be known.
- Where the configuration holds several items of one name, the last is the one meant (see ``configuration_checks``); a
  patch that names them leaves one, or none.
- Other fields of the patch are ignored, as unknown fields of a configuration are.
"""

from __future__ import annotations

from typing import Any

from rowanshift.controlplane.errors import InvalidConfiguration

NAMED_LISTS = ("routes", "backends", "tenants")
MAX_QUOTED_NAME_CHARACTERS = 200  # of a name that an error repeats

JsonObject = dict[str, Any]


def apply_patch(base: JsonObject, patch: JsonObject) -> JsonObject:
    """The complete configuration that ``patch`` makes of ``base``, which is left as it is; neither is checked further.

    Raises ``InvalidConfiguration`` where the patch itself can't be read.
    """
    upserts, removals = _read_upserts(patch), _read_removals(patch)
    document = base | {"revision": patch.get("revision")}
    for list_name in dict.fromkeys((*upserts, *removals)):
        upsert, removed = upserts.get(list_name, {}), removals.get(list_name, set())
        if in_both := sorted(removed & upsert.keys()):
            raise InvalidConfiguration(f"remove.{list_name}", f"{_quoted(in_both[0])} stands in upsert as well")
        if upsert or removed:
            document[list_name] = _patch_list(base.get(list_name) or [], upsert, removed)
    return document


def _patch_list(items: list[JsonObject], upsert: dict[str, JsonObject], removed: set[str]) -> list[JsonObject]:
    """The items in their order, those of ``upsert`` in the position of their names and new ones at the end."""
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
    """The lists under ``upsert`` or ``remove``, checked to be lists of known names."""
    lists = patch.get(field)
    if lists is None:
        return {}
    if type(lists) is not dict:
        raise InvalidConfiguration(field, f"an object expected, not {type(lists).__name__}")
    for list_name, items in lists.items():
        if list_name not in NAMED_LISTS:
            known = ", ".join(NAMED_LISTS)
            path = f"{field}.{list_name[:MAX_QUOTED_NAME_CHARACTERS]}"
            raise InvalidConfiguration(path, f"no list with names; there are {known}")
        if type(items) is not list:
            raise InvalidConfiguration(f"{field}.{list_name}", f"a list expected, not {type(items).__name__}")
    return lists


def _read_upserts(patch: JsonObject) -> dict[str, dict[str, JsonObject]]:
    """The items to add or to replace, of each list by their names."""
    upserts = {}
    for list_name, items in _read_lists(patch, "upsert").items():
        by_name: dict[str, JsonObject] = {}
        for index, item in enumerate(items):
            path = f"upsert.{list_name}[{index}]"
            if type(item) is not dict:
                raise InvalidConfiguration(path, f"an object expected, not {type(item).__name__}")
            name = _read_name(f"{path}.name", item.get("name"))
            if name in by_name:
                raise InvalidConfiguration(f"{path}.name", f"{_quoted(name)} stands there twice")
            by_name[name] = item
        upserts[list_name] = by_name
    return upserts


def _read_removals(patch: JsonObject) -> dict[str, set[str]]:
    """The names to remove, by list."""
    removals = {}
    for list_name, names in _read_lists(patch, "remove").items():
        removed: set[str] = set()
        for index, value in enumerate(names):
            path = f"remove.{list_name}[{index}]"
            name = _read_name(path, value)
            if name in removed:
                raise InvalidConfiguration(path, f"{_quoted(name)} stands there twice")
            removed.add(name)
        removals[list_name] = removed
    return removals


def _read_name(path: str, value: Any) -> str:
    """A name by which an item is known."""
    if type(value) is not str or not value:
        raise InvalidConfiguration(path, "a name expected")
    return value


def _quoted(name: str) -> str:
    return repr(name[:MAX_QUOTED_NAME_CHARACTERS])
