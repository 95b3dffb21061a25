"""Parses the settings of a controller from a JSON object; errors name the invalid keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from snowlock import interface as api

SAFETY_BY_NAME = {"free": api.Safety.SAFE, "guarded": api.Safety.KEYED, "single_shot": api.Safety.UNSAFE}
RATE_HINT_BY_NAME = {"nominal": api.RateHint.NOMINAL, "rough": api.RateHint.ROUGH}
MS = 1_000_000
T = TypeVar("T")
_REQUIRED: Any = object()


class SettingsError(ValueError):
    """Keys are missing or have invalid values; ``errors`` has one text for each."""

    def __init__(self, *errors: str) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class Section:
    """A parsed JSON object, with the path that error messages give for it.

    Errors are collected, so that all can be reported at once: call ``raise_errors`` after the last key. Until
    then a missing or invalid value reads as its default, as None, or as an empty section.
    """

    def __init__(self, raw: Any, path: str, errors: list[str] | None = None) -> None:
        self.path, self.errors = path, [] if errors is None else errors
        self.is_object = isinstance(raw, dict)  # if false, absent keys are not reported as missing
        self.raw: dict[str, Any] = raw if isinstance(raw, dict) else {}
        if not self.is_object:
            self.errors.append(f"{path}: must be an object")

    def raise_errors(self) -> None:
        """Raise ``SettingsError`` if any errors have been collected."""
        if self.errors:
            raise SettingsError(*self.errors)

    def get(self, key: str, convert: Callable[[Any], T], default: Any = _REQUIRED) -> T:
        """Return the key's value converted by ``convert``, or the default if the key is absent or invalid.

        A key without a default is required: its absence is an error, and it then reads as None.
        """
        value: Any = None if default is _REQUIRED else default
        if key not in self.raw:
            if default is _REQUIRED and self.is_object:
                self.errors.append(f"{self.path}.{key}: missing")
            return value  # type: ignore[no-any-return]
        try:
            return convert(self.raw[key])
        except SettingsError as error:
            self.errors += error.errors
        except (ValueError, TypeError, KeyError, OverflowError):
            self.errors.append(f"{self.path}.{key}: {self.raw[key]!r:.60} is not valid")
        return value  # type: ignore[no-any-return]

    def section(self, key: str, optional: bool = False) -> Section:
        """Return the object at the key, or an empty one if it is absent or no object.

        That is an error unless the key is optional and absent.
        """
        if key not in self.raw:
            if self.is_object and not optional:
                self.errors.append(f"{self.path}.{key}: missing")
            absent = Section({}, f"{self.path}.{key}", self.errors)
            absent.is_object = optional
            return absent
        return Section(self.raw[key], f"{self.path}.{key}", self.errors)

    def sections(self, key: str, optional: bool = True) -> list[Section]:
        """Return the objects of the list at the key; an empty list if it is absent or invalid."""
        rows = self.get(key, _as_list, [] if optional else _REQUIRED) or []
        return [Section(row, f"{self.path}.{key}[{index}]", self.errors) for index, row in enumerate(rows)]


def _as_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError
    return value


def _tuple_of(convert: Callable[[Any], T]) -> Callable[[Any], tuple[T, ...]]:
    return lambda value: tuple(convert(item) for item in _as_list(value))


def read(raw: Any) -> api.Settings:
    """Return the settings of an instance from its JSON object; unknown keys are ignored.

    Raises ``SettingsError`` for missing or invalid keys, and ``ValueError`` for values out of range.
    """
    top = Section(raw, "settings")
    family_info, limits, rules = top.section("family_info"), top.section("limits"), top.section("rules")
    classes = tuple(
        api.MessageClass(
            aim_ns=entry.get("objective_ns", int),
            deadline_ns=entry.get("deadline_ns", int),
            safety=entry.get("semantics", SAFETY_BY_NAME.__getitem__),
            zone_bound=entry.get("key_scope", str, "all") != "all",
            window_ns=entry.get("repeat_window_ns", int, 0),
            ordered=entry.get("one_at_a_time", bool, False),
            worth=entry.get("value", float, 1.0),
            late_worth=entry.get("late_worth", float, 0.0),
            name=entry.get("name", str, ""),
        )
        for entry in top.sections("classes", optional=False)
    )
    report = top.section("load_report", optional=True)
    columns = report.get("columns", _tuple_of(str), ()) if report.get("how", str, "") == "inline" else ()
    column_index = {name: index for index, name in enumerate(columns)}
    values: dict[str, Any] = dict(
        classes=classes,
        slots=family_info.get("workers", int),
        routes_apart=family_info.get("routes_apart", _tuple_of(bool), ()),
        bundles=family_info.get("bundle_max", _tuple_of(lambda x: max(1, int(x))), ()),
        tolls=family_info.get("toll", _tuple_of(float), ()),
        cross_zone_fee=top.section("fees", optional=True).get("cross_zone", float, 0.0),
        tenants=tuple(
            api.Tenant(entry.get("quota_rps", float, 0.0), entry.get("name", str, ""))
            for entry in top.sections("realms")
        ),
        over_share_worth=top.get("over_share_worth", float, 1.0),
        decay=api.Decay.HALVES if family_info.get("decay", str, "") == "by_half" else api.Decay.EVEN,
        max_attempts=limits.get("max_attempts", int),
        max_open=limits.get("max_open", int),
        max_retry_after_ns=limits.get("max_retry_after_ns", int, 0),
        tick_ns=top.get("quantum_ns", int),
        forwarders=top.get("n_instances", int),
        number=top.get("my_number", int, 0),
        zone=top.get("zone", int, 0),
        connect_timeout_ns=limits.get("connect_timeout_ns", int),
        idle_ns=limits.get("conn_idle_ns", int, 1 << 62),
        rate_hint=RATE_HINT_BY_NAME.get(top.get("weights", str, ""), api.RateHint.NONE),
        share_left_column=column_index.get("x0"),
        limit_column=column_index.get("x1"),
        must_subscribe=top.get("membership_mode", str, "") == "ask",
        ask_within_ns=rules.get("ask_within_ns", int, 10_000 * MS),
        cold_from=rules.get("cold_from", float),
        ramp_ns=rules.get("ramp_time_ns", int),
        tip_multiple=rules.get("tip_multiple", float),
        fall_ns=rules.get("fall_ns", int),
        settle_ns=rules.get("settle_after_doubt_ns", int, 0),
        columns=columns,
        zones=top.get("dcs", _tuple_of(str), ()),
        kinds=top.get("kinds", _tuple_of(str), ()),
    )
    top.raise_errors()
    return api.Settings(**values)
