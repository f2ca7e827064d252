"""What changes the configuration within the control state: complete ones and patches, as pure functions.

With it comes pyserde, which takes longer to load than the rest of the control plane: see ``change_loader``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

import orjson

from rowanshift.controlplane.configuration import Configuration
from rowanshift.controlplane.configuration_patch import apply_patch
from rowanshift.controlplane.configuration_reader import configuration_from, document_digest, read_document
from rowanshift.controlplane.control_state import ControlState
from rowanshift.controlplane.revision_match import check_change, check_follows, check_match, document_revision


class ConfigurationChange(NamedTuple):
    """The state that a change makes, and the configuration in it."""

    state: ControlState
    configuration: Configuration


ChangeFunction = Callable[[ControlState, str | None, bytes], ConfigurationChange | None]


def put_config(state: ControlState, if_match: str | None, body: bytes) -> ConfigurationChange | None:
    """Replace the configuration by that in ``body``; ``None`` if this order was applied already.

    An applied order is known by its digest, whatever its ``If-Match`` and whatever followed it. Raises
    ``InvalidConfiguration`` (400), then ``OrderTooOld`` where nobody knows whether it was applied, then ``StaleMatch``
    (412), then ``InvalidConfiguration`` if its revision is not above the current one.
    """
    document = read_document(body)
    digest = document_digest(document)
    if state.orders.contains(digest):
        return None
    config = configuration_from(document)
    state.orders.check_not_dropped(config.revision)
    check_change(state.revision, if_match, config.revision)
    return _with_config(state, config, bytes(body), digest)


def patch_config(state: ControlState, if_match: str | None, body: bytes) -> ConfigurationChange | None:
    """Apply the patch in ``body`` to the configuration; ``None`` if this order was applied already.

    An applied patch is known by its digest, as a complete configuration is. Raises ``InvalidConfiguration`` where the
    patch has no proper revision, ``OrderTooOld``, ``StaleMatch`` where it builds on another revision, and then
    ``InvalidConfiguration`` for the patch and for the configuration that it makes.
    """
    patch = read_document(body)
    digest = document_digest({"patch": patch})
    if state.orders.contains(digest):
        return None
    state.orders.check_not_dropped(document_revision(patch))
    check_match(state.revision, if_match)
    document = apply_patch(read_document(state.config) if state.config else {}, patch)
    config = configuration_from(document)
    check_follows(state.revision, config.revision)
    return _with_config(state, config, orjson.dumps(document), digest)


def _with_config(state: ControlState, config: Configuration, body: bytes, digest: bytes) -> ConfigurationChange:
    """The state with a configuration and its ``body``; ``digest`` is that of the order that brought it."""
    orders = state.orders.with_order(config.revision, digest)
    return ConfigurationChange(replace(state, revision=config.revision, config=body, orders=orders), config)


CHANGES: dict[bytes, ChangeFunction] = {b"PUT": put_config, b"PATCH": patch_config}  # by method
