"""``PATCH /config``: named items of the configuration in force are added, replaced or removed. No I/O.

A patch is a JSON object with ``revision``, ``upsert`` (lists of items, by the name of the list) and ``remove`` (lists
of names). Its outcome is a whole configuration, which is checked as one that was put. What the protocol's page leaves
open is settled so:

- An item of ``upsert`` takes the place of the item of its name, or stands behind all others where there is none.
- A name in ``remove`` that the list doesn't hold changes nothing: what is asked for holds already.
- Without ``upsert`` and ``remove``, or with empty ones, the patch changes the revision alone.
- A list that is none of ``NAMED_LISTS`` is refused, and so is a name that stands twice in one list of the patch, in
  ``upsert`` and ``remove`` together: which of the two is meant can't be known.
- Where the configuration holds several items of one name, the last is the one meant (see ``configuration``); a patch
  that names them leaves one, or none.
- Other fields of the patch are ignored, as unknown fields of a configuration are.
"""

from typing import Any

from rowanshift.controlplane.errors import InvalidConfiguration

NAMED_LISTS = ("routes", "backends", "tenants")
MOST_NAME = 200  # characters of a name that an error repeats

Json = dict[str, Any]


def patched(base: Json, patch: Json) -> Json:
    """The whole configuration that ``patch`` makes of ``base``, which is left as it is; neither is checked further.

    Raises ``InvalidConfiguration`` where the patch itself can't be read.
    """
    upserts, removals = _upserts_of(patch), _removals_of(patch)
    whole = base | {"revision": patch.get("revision")}
    for list_name in dict.fromkeys((*upserts, *removals)):
        upsert, removed = upserts.get(list_name, {}), removals.get(list_name, set())
        if both := sorted(removed & upsert.keys()):
            raise InvalidConfiguration(f"remove.{list_name}", f"{both[0][:MOST_NAME]!r} stands in upsert as well")
        if upsert or removed:
            whole[list_name] = _changed_list(base.get(list_name) or [], upsert, removed)
    return whole


def _changed_list(items: list[Json], upsert: dict[str, Json], removed: set[str]) -> list[Json]:
    """The items in their order, those of ``upsert`` in the place of their names and new ones at the end."""
    left = dict(upsert)
    changed = []
    for item in items:
        name = item.get("name") or ""
        if name in removed:
            continue
        if name not in upsert:
            changed.append(item)
        elif name in left:
            changed.append(left.pop(name))
    return [*changed, *left.values()]


def _lists_of(patch: Json, part: str) -> Json:
    """The lists under ``upsert`` or ``remove``, checked to be lists of known names."""
    lists = patch.get(part)
    if lists is None:
        return {}
    if type(lists) is not dict:
        raise InvalidConfiguration(part, f"an object expected, not {type(lists).__name__}")
    for list_name, items in lists.items():
        if list_name not in NAMED_LISTS:
            known = ", ".join(NAMED_LISTS)
            raise InvalidConfiguration(f"{part}.{list_name[:MOST_NAME]}", f"no list with names; there are {known}")
        if type(items) is not list:
            raise InvalidConfiguration(f"{part}.{list_name}", f"a list expected, not {type(items).__name__}")
    return lists


def _upserts_of(patch: Json) -> dict[str, dict[str, Json]]:
    """The items to add or to replace, of each list by their names."""
    upserts = {}
    for list_name, items in _lists_of(patch, "upsert").items():
        by_name: dict[str, Json] = {}
        for index, item in enumerate(items):
            place = f"upsert.{list_name}[{index}]"
            if type(item) is not dict:
                raise InvalidConfiguration(place, f"an object expected, not {type(item).__name__}")
            name = _name_of(f"{place}.name", item.get("name"))
            if name in by_name:
                raise InvalidConfiguration(f"{place}.name", f"{name[:MOST_NAME]!r} stands there twice")
            by_name[name] = item
        upserts[list_name] = by_name
    return upserts


def _removals_of(patch: Json) -> dict[str, set[str]]:
    """The names to remove, by list."""
    removals = {}
    for list_name, names in _lists_of(patch, "remove").items():
        removed: set[str] = set()
        for index, given in enumerate(names):
            place = f"remove.{list_name}[{index}]"
            name = _name_of(place, given)
            if name in removed:
                raise InvalidConfiguration(place, f"{name[:MOST_NAME]!r} stands there twice")
            removed.add(name)
        removals[list_name] = removed
    return removals


def _name_of(place: str, name: Any) -> str:
    """A name by which an item is known."""
    if type(name) is not str or not name:
        raise InvalidConfiguration(place, "a name expected")
    return name
