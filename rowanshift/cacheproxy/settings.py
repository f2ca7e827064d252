"""Converts the settings object of a configuration to the ``Settings`` of the decision module."""

from typing import Any

from rowanshift.cacheproxy.model import Category, Semantics, Settings

NEW: dict[str, bool | float] = {  # defaults of settings that configurations of the old format lack
    "limits.cancelling": True,
    "objective_mix.slow_end": 0.0,
    "objective_mix.miss_share": 0.0,
}


class SettingsError(ValueError):
    """An invalid settings object; the message gives the reason and the full path of the setting."""


def optional_setting(data: dict[str, Any], path: str, maximum: float = 1.0) -> Any:
    """A setting with a default: a boolean or a number from 0 to ``maximum``, depending on the default's type."""
    default, value = NEW[path], data
    for name in path.split("."):
        if value is not None and not isinstance(value, dict):
            raise SettingsError(f"{path}: the parent of {name} is not an object")
        value = (value or {}).get(name)
    if value is None:
        return default
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise SettingsError(f"{path}: true or false expected, not {value!r}")
        return value
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= maximum:
        raise SettingsError(f"{path}: a number from 0 to {maximum:g} expected, not {value!r}")
    return float(value)


def settings_of(data: dict[str, Any]) -> Settings:
    """The settings of the decision module, with times in seconds."""
    try:
        limits, rules, domain = data["limits"], data["guarantees"], data.get("domain") or {}
        slow_end = optional_setting(data, "objective_mix.slow_end")
        miss_share = optional_setting(data, "objective_mix.miss_share")
        if slow_end and not miss_share:  # the longest hold would be 0
            raise SettingsError("objective_mix.miss_share: must be over 0 if objective_mix.slow_end is set")
        return Settings(
            categories=[
                Category(
                    float(c["credit"]),
                    c["due_time_us"] / 1e6,
                    Semantics(c["semantics"]),
                    c.get("group") or "",
                    (c.get("window_us") or 0) / 1e6,
                )
                for c in data["categories"]
            ],
            quotas=[float(t["quota_rps"]) for t in data.get("tenants") or ()],
            routers=max(1, data["replicas_of_me"]),
            ordinal=data["ordinal"],
            aside=domain.get("mode") == "aside",
            origin_kind=domain.get("origin_kind", -1),
            ask=data["registry_mode"] == "ask",
            ask_within=rules["ask_within_us"] / 1e6,
            live_heft=data.get("weight_kind") == "live",
            peers=bool(limits["peers"]),
            retry_after=limits["max_retry_after_us"] / 1e6 if limits["retry_after"] else 0.0,
            max_hand_offs=limits["max_hand_offs"],
            overload_factor=rules["overload_factor"],
            overload_for=rules["overload_for_us"] / 1e6,
            start_share=rules["start_capacity"],
            warm_within=max(rules["warm_within_us"], 1) / 1e6,
            cancelling=optional_setting(data, "limits.cancelling"),
            slow_end=slow_end,
            miss_share=miss_share,
        )
    except KeyError as error:
        raise SettingsError(f"the settings lack {error}") from error
    except SettingsError:
        raise
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"a setting can't be used: {error}") from error
