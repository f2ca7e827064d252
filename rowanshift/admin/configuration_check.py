"""The command ``config check``: validates a configuration as the control plane does, without a running system."""

from __future__ import annotations

from pathlib import Path

from rowanshift.admin.errors import UnusableInput
from rowanshift.admin.input_files import read_input_file
from rowanshift.admin.output import CommandOutput
from rowanshift.controlplane.configuration_reader import parse_configuration
from rowanshift.controlplane.errors import InvalidConfiguration


def check_configuration(file: Path) -> CommandOutput:
    """Run the checks that the control plane applies to a new configuration. Raises ``UnusableInput``."""
    try:
        configuration = parse_configuration(read_input_file(file))
    except InvalidConfiguration as error:
        raise UnusableInput(f"{file}: {error}") from error
    tenants = "no keys are checked" if configuration.tenants is None else f"{len(configuration.tenants)} tenants"
    line = (
        f"{file}: revision {configuration.revision} can be put: {len(configuration.routes)} routes, "
        f"{len(configuration.backends)} services, {tenants}"
    )
    return CommandOutput([line])
