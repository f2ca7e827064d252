"""What a command prints, and the formatting that commands share."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

NO_VALUE = "-"  # in a column that has no value for this row


@dataclass(frozen=True, slots=True)
class CommandOutput:
    """The lines that a command prints; ``succeeded`` is false if its exit status is 1 all the same."""

    lines: list[str]
    succeeded: bool = True


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Lines with columns aligned to the left, two spaces apart; each row has as many cells as the header."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in cells]
