"""The bench protocol and the settings: invalid input gives one error message that names the fault."""

import io

import orjson
import pytest

from rowanshift.cacheproxy.adapter.wire import WireError, encode, serve
from rowanshift.cacheproxy.model import Results
from rowanshift.cacheproxy.settings import SettingsError, optional_setting, settings_of


def run(*lines: str) -> list:
    sink = io.BytesIO()
    serve(io.BytesIO("\n".join(lines).encode()), sink)
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def batch(*items) -> str:
    return orjson.dumps({"wall_us": 1_000_000, "parts": [{"i": "router_0", "items": list(items)}]}).decode()


def test_an_empty_batch_has_an_empty_reply():
    assert run('{"wall_us":1,"parts":[]}') == [{"parts": []}]


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("nonsense", "line 1: not JSON"),
        ('{"parts":[]}', "line 1: not a batch"),
        (batch(["strange"]), "unknown event 'strange'"),
        (batch(["order", 1]), "order event before start"),
        (batch(["start", 1, {}]), "the settings lack 'limits'"),
        (batch(["start", 1, None]), "a setting can't be used"),
    ],
)
def test_bad_input_is_named(line, says):
    with pytest.raises(WireError, match=says):
        run(line)


@pytest.mark.parametrize("wait", [0.0, 0.1000004, 0.0000001, 2.5])
def test_a_wake_is_never_early(wait):
    assert encode(Results(wake=wait))[0][2] > wait * 1e6


OLD = {
    "categories": [{"credit": 1.0, "due_time_us": 500000, "semantics": "safe"}],
    "replicas_of_me": 3,
    "ordinal": 0,
    "registry_mode": "push",
    "limits": {"peers": False, "retry_after": False, "max_hand_offs": 4},
    "guarantees": {
        "ask_within_us": 1,
        "overload_factor": 3,
        "overload_for_us": 1,
        "start_capacity": 0.2,
        "warm_within_us": 1,
    },
}


@pytest.mark.parametrize(
    ("new", "cancelling", "slow_end", "miss_share"),
    [
        ({}, True, 0.0, 0.0),
        ({"objective_mix": {"slow_end": 0.2, "miss_share": 0.02}}, True, 0.2, 0.02),
        ({"objective_mix": {"whole": 1.0}, "limits": OLD["limits"] | {"cancelling": False}}, False, 0.0, 0.0),
    ],
)
def test_settings_of_the_new_format_are_optional(new, cancelling, slow_end, miss_share):
    got = settings_of(OLD | new)
    assert (got.cancelling, got.slow_end, got.miss_share) == (cancelling, slow_end, miss_share)


@pytest.mark.parametrize(
    ("data", "path", "says"),
    [
        ({"objective_mix": {"slow_end": 2}}, "objective_mix.slow_end", "objective_mix.slow_end: a number from 0 to 1"),
        ({"objective_mix": {"slow_end": True}}, "objective_mix.slow_end", "slow_end: a number .* not True"),
        ({"objective_mix": {"slow_end": float("nan")}}, "objective_mix.slow_end", "not nan"),
        ({"objective_mix": []}, "objective_mix.slow_end", "the parent of slow_end is not an object"),
        ({"limits": {"cancelling": 1}}, "limits.cancelling", "limits.cancelling: true or false expected"),
    ],
)
def test_an_invalid_setting_is_named_by_its_full_path(data, path, says):
    with pytest.raises(SettingsError, match=says):
        optional_setting(data, path)


@pytest.mark.parametrize("mix", [{"slow_end": 0.2}, {"slow_end": 0.2, "miss_share": 0}])
def test_a_weight_of_missed_deadlines_requires_the_fraction_that_may_miss(mix):
    # if an operator sets only one of the two, no work item would be held any longer
    with pytest.raises(SettingsError, match=r"objective_mix.miss_share: must be over 0"):
        settings_of(OLD | {"objective_mix": mix})
