"""Small configurations, and states with them."""

from typing import Any

import orjson

from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import ControlState


def configuration_body(revision: int, **fields: Any) -> bytes:
    """A valid configuration of one route; ``fields`` replace its own or are added."""
    return orjson.dumps(
        {
            "revision": revision,
            "routes": [{"name": "r", "hostname": "h.test", "pathPrefix": "/", "backend": "s", "timeoutMs": 10}],
            "backends": [{"name": "s"}],
        }
        | fields
    )


def state_after_put(state: ControlState, if_match: str | None, body: bytes) -> ControlState:
    """The state after a configuration was put that is neither refused nor applied already."""
    change = put_config(state, if_match, body)
    assert change is not None
    return change.state
