"""What changes the configuration within the control state: whole ones and patches, as pure functions.

With it comes pyserde, which takes longer to load than the rest of the control plane: see ``change_loader``.
"""

from collections.abc import Callable
from dataclasses import replace

import orjson

from rowanshift.controlplane.configuration import (
    Configuration,
    check_change,
    check_match,
    check_revision,
    configuration_of,
    digest_of,
    load,
    revision_of,
)
from rowanshift.controlplane.configuration_patch import patched
from rowanshift.controlplane.control_state import ControlState

ConfigChange = Callable[[ControlState, str | None, bytes], tuple[ControlState, Configuration] | None]


def put_config(state: ControlState, if_match: str | None, body: bytes) -> tuple[ControlState, Configuration] | None:
    """The state with the configuration in ``body``, and that configuration; ``None`` if it was taken already.

    An order that was taken is known by its digest, whatever its ``If-Match`` and whatever followed it. Raises
    ``InvalidConfiguration`` (400), then ``OrderTooOld`` where nobody knows whether it was taken, then ``StaleMatch``
    (412), then ``InvalidConfiguration`` if its revision is not above the current one.
    """
    raw = load(body)
    digest = digest_of(raw)
    if state.orders.contains(digest):
        return None
    config = configuration_of(raw)
    state.orders.check_not_dropped(config.revision)
    check_change(state.revision, if_match, config)
    return _with_config(state, config, bytes(body), digest), config


def patch_config(state: ControlState, if_match: str | None, body: bytes) -> tuple[ControlState, Configuration] | None:
    """The state with the patch in ``body`` applied, and the configuration made; ``None`` if it was taken already.

    A patch that was taken is known by its digest, as a whole configuration is. Raises ``InvalidConfiguration`` where
    the patch has no proper revision, ``OrderTooOld``, ``StaleMatch`` where it builds on another revision, and then
    ``InvalidConfiguration`` for the patch and for the configuration that it makes.
    """
    raw = load(body)
    digest = digest_of({"patch": raw})
    if state.orders.contains(digest):
        return None
    state.orders.check_not_dropped(revision_of(raw))
    check_match(state.revision, if_match)
    whole = patched(load(state.config) if state.config else {}, raw)
    config = configuration_of(whole)
    check_revision(state.revision, config)
    return _with_config(state, config, orjson.dumps(whole), digest), config


def _with_config(state: ControlState, config: Configuration, body: bytes, digest: bytes) -> ControlState:
    """The state once a configuration has been taken; ``digest`` is that of the order that brought it."""
    orders = state.orders.with_order(config.revision, digest)
    return replace(state, revision=config.revision, config=body, orders=orders)


CHANGES: dict[bytes, ConfigChange] = {b"PUT": put_config, b"PATCH": patch_config}  # by method
