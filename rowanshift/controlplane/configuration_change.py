"""Pure functions that apply a complete configuration or a patch to the control state.

This module depends on pyserde, which takes longer to import than the rest of the control plane: see ``change_loader``.
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
    """The control state that results from a change, and the configuration in it."""

    state: ControlState
    configuration: Configuration


ChangeFunction = Callable[[ControlState, str | None, bytes], ConfigurationChange | None]


def put_config(state: ControlState, if_match: str | None, body: bytes) -> ConfigurationChange | None:
    """Replace the configuration by the one in ``body``; return ``None`` if this order was applied before.

    An applied order is recognized by its digest, regardless of its ``If-Match`` and of later changes. The errors are
    checked in this sequence: ``InvalidConfiguration`` (400); ``OrderTooOld`` if it is unknown whether the order was
    applied; ``StaleMatch`` (412); ``InvalidConfiguration`` if the revision is not above the current one.
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
    """Apply the patch in ``body`` to the configuration; return ``None`` if this order was applied before.

    An applied patch is recognized by its digest, as a complete configuration is. The errors are checked in this
    sequence: ``InvalidConfiguration`` if the revision of the patch is missing or invalid; ``OrderTooOld``;
    ``StaleMatch`` if the patch is based on another revision; ``InvalidConfiguration`` for the rest of the patch and for
    the resulting configuration.
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
    """Return the state with a new configuration and its ``body``; ``digest`` identifies the order that set it."""
    orders = state.orders.with_order(config.revision, digest)
    return ConfigurationChange(replace(state, revision=config.revision, config=body, orders=orders), config)


CHANGES: dict[bytes, ChangeFunction] = {b"PUT": put_config, b"PATCH": patch_config}  # by HTTP method
