"""The wire's bad input, each as one plain message."""

import io

import orjson
import pytest

from rowanshift.adapter.wire import WireError, encode, serve
from rowanshift.model import Results


def run(*lines: str) -> list:
    sink = io.BytesIO()
    serve(io.BytesIO("\n".join(lines).encode()), sink)
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def batch(*items) -> str:
    return orjson.dumps({"wall_us": 1_000_000, "parts": [{"i": "router_0", "items": list(items)}]}).decode()


def test_an_empty_batch_has_an_empty_reply():
    assert run('{"wall_us":1,"parts":[]}') == [{"parts": []}]


@pytest.mark.parametrize(("line", "says"), [
    ("nonsense", "line 1: not JSON"),
    ('{"parts":[]}', "line 1: not a batch"),
    (batch(["strange"]), "unknown event 'strange'"),
    (batch(["order", 1]), "order before its start"),
    (batch(["start", 1, {}]), "the settings lack 'limits'"),
    (batch(["start", 1, None]), "a setting can't be used"),
])
def test_bad_input_is_named(line, says):
    with pytest.raises(WireError, match=says):
        run(line)


@pytest.mark.parametrize("wait", [0.0, 0.1000004, 0.0000001, 2.5])
def test_a_wake_is_never_early(wait):
    assert encode(Results(wake=wait))[0][2] > wait * 1e6
