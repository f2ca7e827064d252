"""``rowanshift ledger check DIR``: reports what a store holds and never changes it."""

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
    """What was found: ``sound`` if the store can be used and no slot in it is damaged."""

    text: str
    sound: bool


def describe_slot(slot: Slot) -> str:
    """A line about one slot."""
    key = slot.key.decode()
    if slot.damage:
        return f"{key}: damaged: {slot.damage}"
    if slot.format > FORMAT:
        return f"{key}: format {slot.format}, newer than this program's {FORMAT}"
    return f"{key}: whole, generation {slot.generation}, {len(slot.record)} bytes"


def check_store(path: str | Path, describe_record: Callable[[bytes], str] | None = None) -> StoreReport:
    """A report on the store in the directory ``path``, whatever its state; no file is changed or made.

    ``describe_record`` adds lines about the record itself, and raises ``StoreError`` where it can't be read. No lock
    is taken: where a program writes at the same time, a slot may be reported as damaged that is not.
    """
    path = Path(path)
    if not (path / DATA_FILE).is_file():
        return StoreReport(f"{path}: no store here ({DATA_FILE} is absent)", False)
    try:
        environment = lmdb.open(str(path), readonly=True, lock=False, create=False, max_dbs=0)
    except (lmdb.Error, OSError) as error:
        return StoreReport(f"{path}: can't be opened: {error}", False)
    lines: list[str] = []
    sound = False
    try:
        check_file_size(environment, path)
        slots = read_slots(environment)
        lines += [describe_slot(slot) for slot in slots]
        lines += _describe_newest(slots, describe_record)
        sound = not describe_damage(slots)
    except (StoreError, lmdb.Error, OSError) as error:
        lines.append(f"can't be used: {error}")
    finally:
        environment.close()
    return StoreReport("\n".join(f"{path}: {line}" for line in lines), sound)


def _describe_newest(slots: list[Slot], describe_record: Callable[[bytes], str] | None) -> list[str]:
    """Lines about the slot in force. Raises ``StoreError`` where there is no intact one."""
    slot = newest_slot(slots)
    if slot is None:
        return ["nothing stored yet"]
    lines = [f"in force: {slot.key.decode()}, generation {slot.generation}"]
    if describe_record is not None:
        lines += describe_record(slot.record).splitlines()
    return lines
