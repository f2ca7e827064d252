"""The commands ``config put`` and ``config patch``: replace the configuration or change items of it."""

from __future__ import annotations

from pathlib import Path

import orjson

from rowanshift.admin.client import ControlClient, error_reason, run_with_client
from rowanshift.admin.errors import ChangeOutcomeUnknown, NoAnswer, RequestRefused, UnusableInput
from rowanshift.admin.input_files import read_input_file
from rowanshift.admin.output import CommandOutput
from rowanshift.controlplane.configuration_reader import read_document
from rowanshift.controlplane.errors import InvalidConfiguration
from rowanshift.transport.http_connection import Message


def put_configuration(control_addresses: str, file: Path, if_match: int | None) -> CommandOutput:
    """Replace the configuration, based on the revision ``if_match`` or, if None, on the one in force."""
    return change_configuration(b"PUT", control_addresses, file, if_match)


def patch_configuration(control_addresses: str, file: Path, if_match: int | None) -> CommandOutput:
    """Change items of the configuration by name, based on ``if_match`` or, if None, on the revision in force."""
    return change_configuration(b"PATCH", control_addresses, file, if_match)


def change_configuration(method: bytes, control_addresses: str, file: Path, if_match: int | None) -> CommandOutput:
    """Send the document in ``file``, with retries until a response is conclusive.

    The command fails if the revision was accepted earlier and a later one is in force by now. Raises
    ``UnusableInput``, ``RequestRefused``, ``NoAnswer`` and ``ChangeOutcomeUnknown``.
    """
    body = read_input_file(file)
    try:
        document = read_document(body)
    except InvalidConfiguration as error:
        raise UnusableInput(f"{file}: {error}") from error

    async def send(client: ControlClient) -> Message:
        return await send_change(client, method, body, if_match)

    response = run_with_client(control_addresses, send)
    if response.status != 200:
        raise RequestRefused(response.status, error_reason(response))
    revision, sent = orjson.loads(response.body)["revision"], document["revision"]
    if revision != sent:  # the control plane has recognized the change as a repetition
        return CommandOutput(
            [f"revision {sent} was accepted earlier and then replaced: revision {revision} is in force"],
            succeeded=False,
        )
    return CommandOutput([f"revision {revision} is in force"])


async def send_change(client: ControlClient, method: bytes, body: bytes, if_match: int | None) -> Message:
    """The conclusive response to a change. Raises ``NoAnswer``, or ``ChangeOutcomeUnknown`` if the change was sent."""
    base_revision = (await client.get_configuration()).revision if if_match is None else if_match
    fields = [(b"If-Match", b"%d" % base_revision), (b"Content-Type", b"application/json")]
    try:
        return await client.call_any(method, b"/config", body, fields)
    except NoAnswer as error:
        if error.request_sent:
            raise ChangeOutcomeUnknown(str(error)) from error
        raise
