"""The command ``config get``: prints or saves the configuration in force."""

from __future__ import annotations

import os
from pathlib import Path

from rowanshift.admin.client import NO_CONFIGURATION_REVISION, ControlClient, run_with_client
from rowanshift.admin.errors import NoAnswer, UnusableInput
from rowanshift.admin.output import CommandOutput

PRIVATE_FILE_MODE = 0o600  # the file contains API keys


def get_configuration(control_addresses: str, output: Path | None) -> CommandOutput:
    """Print the configuration in force as it was put, or write it to a file that only its owner can read.

    No other command outputs API keys. Raises ``NoAnswer`` if there is no configuration yet.
    """
    current = run_with_client(control_addresses, ControlClient.get_configuration)
    if current.revision == NO_CONFIGURATION_REVISION:
        raise NoAnswer("no configuration yet")
    if output is None:
        return CommandOutput([current.body.decode("utf-8", "replace")])
    write_private_file(output, current.body)
    size = len(current.body)
    return CommandOutput(
        [f"revision {current.revision} ({size} bytes) was written to {output}; the file contains API keys"]
    )


def write_private_file(path: Path, content: bytes) -> None:
    """Write a file; if it is new, only its owner can read it. Raises ``UnusableInput``."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, PRIVATE_FILE_MODE)
        with open(descriptor, "wb") as file:
            file.write(content)
    except OSError as error:
        raise UnusableInput(f"{path}: {error.strerror}") from error
