"""Builds small configurations and control states for the tests."""

from typing import Any

import orjson

from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import ControlState


def configuration_body(revision: int, **fields: Any) -> bytes:
    """Return a valid configuration with one route; ``fields`` are added to it or override its own fields."""
    return orjson.dumps(
        {
            "revision": revision,
            "routes": [{"name": "r", "hostname": "h.test", "pathPrefix": "/", "backend": "s", "timeoutMs": 10}],
            "backends": [{"name": "s"}],
        }
        | fields
    )


def state_after_put(state: ControlState, if_match: str | None, body: bytes) -> ControlState:
    """Put a configuration that must be neither rejected nor a repeated order, and return the new state."""
    change = put_config(state, if_match, body)
    assert change is not None
    return change.state
