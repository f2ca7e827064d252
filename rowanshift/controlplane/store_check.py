"""Check of a store for ``rowanshift controlplane check DIR``: describes its contents without changing any file."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import lmdb

from rowanshift.controlplane.store import (
    DATA_FILE,
    FORMAT,
    Slot,
    StoreError,
    check_file_size,
    describe_damage,
    newest_slot,
    read_slots,
)


@dataclass(frozen=True, slots=True)
class StoreReport:
    """The result of a check. ``sound`` is True if the store is usable and none of its slots is damaged."""

    text: str
    sound: bool


def describe_slot(slot: Slot) -> str:
    """Describe one slot in one line."""
    key = slot.key.decode()
    if slot.damage:
        return f"{key}: damaged: {slot.damage}"
    if slot.format > FORMAT:
        return f"{key}: format {slot.format}, newer than this program's {FORMAT}"
    return f"{key}: intact, generation {slot.generation}, {len(slot.record)} bytes"


def check_store(path: str | Path, describe_record: Callable[[bytes], str] | None = None) -> StoreReport:
    """Check the store in the directory ``path``, whatever its state, without changing or creating a file.

    ``describe_record`` returns additional lines about the record, and raises ``StoreError`` if it can't be decoded. No
    lock is taken: if a program writes at the same time, an intact slot may be reported as damaged.
    """
    path = Path(path)
    if not (path / DATA_FILE).is_file():
        return StoreReport(f"{path}: no store here ({DATA_FILE} is absent)", False)
    try:
        environment = lmdb.open(str(path), readonly=True, lock=False, create=False, max_dbs=0)
    except (lmdb.Error, OSError) as error:
        return StoreReport(f"{path}: the store can't be opened: {error}", False)
    lines: list[str] = []
    sound = False
    try:
        check_file_size(environment, path)
        slots = read_slots(environment)
        lines += [describe_slot(slot) for slot in slots]
        lines += _describe_newest(slots, describe_record)
        sound = not describe_damage(slots)
    except (StoreError, lmdb.Error, OSError) as error:
        lines.append(f"the store can't be used: {error}")
    finally:
        environment.close()
    return StoreReport("\n".join(f"{path}: {line}" for line in lines), sound)


def _describe_newest(slots: list[Slot], describe_record: Callable[[bytes], str] | None) -> list[str]:
    """Describe the newest slot. Raises ``StoreError`` if no slot is intact."""
    slot = newest_slot(slots)
    if slot is None:
        return ["no record stored yet"]
    lines = [f"newest record: {slot.key.decode()}, generation {slot.generation}"]
    if describe_record is not None:
        lines += describe_record(slot.record).splitlines()
    return lines
