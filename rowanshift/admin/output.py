"""The output of commands and its formatting."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

NO_VALUE = "-"  # placeholder for an empty table cell


@dataclass(frozen=True, slots=True)
class CommandOutput:
    """The lines that a command prints; if ``succeeded`` is false, its exit status is 1."""

    lines: list[str]
    succeeded: bool = True


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Format a table with left-aligned columns, two spaces apart. Each row has as many cells as the header."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in cells]
