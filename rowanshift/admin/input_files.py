"""Reads the files named on the command line."""

from __future__ import annotations

from pathlib import Path

from rowanshift.admin.errors import UnusableInput


def read_input_file(file: Path) -> bytes:
    """The contents of a file. Raises ``UnusableInput``."""
    try:
        return file.read_bytes()
    except OSError as error:
        raise UnusableInput(f"{file}: {error.strerror}") from error
