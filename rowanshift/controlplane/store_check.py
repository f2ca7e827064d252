"""``rowanshift ledger check DIR``: says what a store holds and never changes it."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import lmdb

from rowanshift.controlplane.store import (
    DATA_FILE,
    FORMAT,
    Copy,
    StoreError,
    check_size,
    copies_in,
    damage_of,
    newest,
)


def described(copy: Copy) -> str:
    """A line about one copy."""
    if copy.damage:
        return f"{copy.key.decode()}: damaged: {copy.damage}"
    if copy.format > FORMAT:
        return f"{copy.key.decode()}: format {copy.format}, newer than this program's {FORMAT}"
    return f"{copy.key.decode()}: whole, generation {copy.generation}, {len(copy.record)} bytes"


@dataclass(frozen=True, slots=True)
class Report:
    """What was found: ``sound`` if the store can be used and no copy in it is damaged."""

    text: str
    sound: bool


def check(path: str | Path, describe: Callable[[bytes], str] | None = None) -> str:
    """The text of ``report``."""
    return report(path, describe).text


def report(path: str | Path, describe: Callable[[bytes], str] | None = None) -> Report:
    """A report on the store in the directory ``path``, whatever its state; no file is changed or made.

    ``describe`` adds lines about the record itself, and raises ``StoreError`` where it can't be read. No lock
    is taken: where a program writes at the same time, a copy may be told as damaged that is not.
    """
    path = Path(path)
    if not (path / DATA_FILE).is_file():
        return Report(f"{path}: no store here ({DATA_FILE} is absent)", False)
    try:
        env = lmdb.open(str(path), readonly=True, lock=False, create=False, max_dbs=0)
    except (lmdb.Error, OSError) as error:
        return Report(f"{path}: can't be opened: {error}", False)
    lines, sound = [], False
    try:
        check_size(env, path)
        copies = copies_in(env)
        lines += [described(copy) for copy in copies]
        copy = newest(copies)
        if copy is None:
            lines.append("nothing stored yet")
        else:
            lines.append(f"in force: {copy.key.decode()}, generation {copy.generation}")
            if describe is not None:
                lines += describe(copy.record).splitlines()
        sound = not damage_of(copies)
    except (StoreError, lmdb.Error, OSError) as error:
        lines.append(f"can't be used: {error}")
    finally:
        env.close()
    return Report("\n".join(f"{path}: {line}" for line in lines), sound)
