"""The capacity page: rendering, fits, derived figures, the data file, and measuring with fake slopes."""

from __future__ import annotations

import json
import re
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import pytest

from benchmarks import capacity
from benchmarks.capacity import DATA_FILE, PAGE, CapacityError, MeasuredRun, read_rows, slopes, write_rows
from benchmarks.capacity_fit import fit
from benchmarks.capacity_page import amount, number, render
from benchmarks.capacity_roles import MECHANISM_STATUS, ROWS, Mechanism, Reading, ranked, results
from benchmarks.slope import MIN_SIZES, RUNS, SETTINGS, Slope
from benchmarks.target import ASSUMED, TARGET

ROW = MeasuredRun("grows", 10, 1, "pure module", "2026-12-02T00:00:00Z", "abc", "a machine", {"cost": 1.5})


# Committed page and data file


def test_page_matches_the_data_file() -> None:
    assert PAGE.read_text() == render(read_rows(DATA_FILE), slopes()), "python -m benchmarks.capacity page"


def test_data_file_has_every_run_of_every_slope() -> None:
    assert capacity.find_problems(read_rows(DATA_FILE), slopes()) == []


def test_every_slope_has_enough_sizes_and_runs() -> None:
    for slope in slopes().values():
        assert len(set(slope.sizes)) >= MIN_SIZES and list(slope.sizes) == sorted(slope.sizes), slope.name
        assert slope.runs >= RUNS and slope.setting in SETTINGS and slope.figures and slope.doc, slope.name


def test_every_row_is_evaluated() -> None:
    evaluated, not_evaluated = results(Reading(slopes(), read_rows(DATA_FILE)))
    assert not_evaluated == [] and len(evaluated) == len(ROWS) and all(each.ratio > 0 for each in evaluated)
    assert {each.row.mechanism for each in evaluated} == set(Mechanism) == set(MECHANISM_STATUS)


def test_ranking_uses_the_worst_row_of_each_mechanism() -> None:
    evaluated, _ = results(Reading(slopes(), read_rows(DATA_FILE)))
    order = ranked(evaluated)
    assert [each.ratio for each in order] == sorted((each.ratio for each in order), reverse=True)
    for each in order:
        assert each.ratio == max(
            one.ratio for one in evaluated if one.row.mechanism is each.row.mechanism and not one.row.hypothetical
        )
        assert not each.row.hypothetical


def test_page_and_data_file_contain_no_paths() -> None:
    for file in (PAGE, DATA_FILE):
        assert not re.search(r"(?<![\w.])/(work|home|tmp|root|usr|opt)\b", file.read_text()), file.name


# Fits


@pytest.mark.parametrize(
    ("points", "kind", "size", "value"),
    [
        ([(1, 3.0), (2, 5.0), (4, 9.0)], "line", 100, 201.0),
        ([(1, 3.0), (2, 5.0), (4, 9.0)], "line", 3, 7.0),
        ([(10, 1.0), (20, 4.0), (40, 16.0), (80, 64.0)], "power", 160, 256.0),
        ([(10, 10.0), (20, 20.0), (40, 40.0)], "line", 1_000, 1_000.0),  # a power with exponent 1 is a line
        ([(1, 1.0), (4, 2.0), (16, 4.0)], "line", 64, 13.1905),  # flatter than a line: the line lies above the power
        ([(10, 5.0), (20, 4.0), (40, 3.0)], "level", 1_000, 3.0),  # a falling figure keeps its last mean
        ([(10, 0.0), (20, 0.0), (40, 0.0)], "line", 1_000, 0.0),
        ([(10, 0.0), (20, 0.0), (40, 6.0)], "line", 10, 0.0),  # no power fit if a mean is 0
        ([(10, -1.0), (20, 3.0), (40, 11.0)], "line", 5, 0.0),  # never negative
        ([(10, 1.0), (10, 3.0), (20, 4.0), (20, 4.0)], "line", 10, 2.0),  # a measured size: the mean of the runs
    ],
)
def test_fit_chooses_the_kind_and_predicts_the_value(
    points: list[tuple[int, float]], kind: str, size: int, value: float
) -> None:
    result = fit(points)
    assert result.kind == kind and result.at(size).value == pytest.approx(value, rel=1e-4)


@pytest.mark.parametrize(("size", "factor"), [(10, 1.0), (40, 1.0), (25, 1.0), (80, 2.0), (1_000, 25.0)])
def test_extrapolation_factor_is_relative_to_the_largest_measured_size(size: int, factor: float) -> None:
    result = fit([(10, 1.0), (20, 2.0), (40, 4.0)]).at(size)
    assert result.factor == factor and result.up_to == 40


def test_marginal_figure_excludes_the_base_value() -> None:
    rows = [replace(ROW, size=size, figures={"cost": 100.0 + 2 * size}) for size in (10, 20, 40)]
    reading = Reading({}, rows)
    assert reading.marginal("grows", "cost", 7) == pytest.approx(14.0)
    assert reading.at("grows", "cost", 80) == pytest.approx(260.0) and reading.used["grows"][:2] == (40, 2.0)


def test_cut_off_figure_is_shown_but_not_fitted() -> None:
    slope = replace(make_slope("one"), cut_off_at={"cost": ("cost", 60.0)})
    rows = [
        replace(ROW, name="one", size=size, run=run, figures={"cost": min(60.0, 20.0 * size)})
        for size in slope.sizes
        for run in (1, 2, 3)
    ]
    reading = Reading({"one": slope}, rows)
    assert reading.at("one", "cost", 4) == pytest.approx(80.0) and reading.used["one"][:2] == (2, 2.0)
    page = render(rows, {"one": slope})
    assert "| cost | 20 ms | 40 ms | cut off: 60 ms | cut off: 60 ms |" in page


def test_cut_off_depends_on_the_deciding_figure() -> None:
    slope = replace(make_slope("one"), cut_off_at={"heard": ("known", 5.0)})
    assert slope.is_complete("heard", {"heard": 9.0, "known": 4.9}) and slope.is_complete(
        "cost", {"cost": 9.0, "known": 5.0}
    )
    assert not slope.is_complete("heard", {"heard": 1.0, "known": 5.0})


def test_fit_of_one_size_is_rejected() -> None:
    with pytest.raises(ValueError, match="at least two sizes"):
        fit([(10, 1.0), (10, 2.0)])


@pytest.mark.parametrize(
    ("value", "unit", "expected"),
    [
        (0.0, "s", "0 s"),
        (1_234, "bytes", "1.23 KB"),
        (17_000, "bytes", "17 KB"),
        (0.5, "MB", "500 KB"),
        (11_000, "MB", "11 GB"),
        (90, "s", "90 s"),
        (600, "s", "10 min"),
        (90_000, "s", "25 h"),
        (0.25, "s", "250 ms"),
        (0.028, "share", "2.8 %"),
        (1_400_000, "count", "1,400,000"),
        (1_500, "us", "1.5 ms"),
        (0.0123456, "ms", "12.3 us"),
    ],
)
def test_amount_is_shown_in_a_unit_of_suitable_scale(value: float, unit: str, expected: str) -> None:
    assert amount(value, unit) == expected


def test_numbers_have_three_significant_digits() -> None:
    assert [number(each) for each in (0.000123456, 1.0, 2.5, 99.94, 123.4, 4_600_000)] == [
        "0.000123",
        "1",
        "2.5",
        "99.9",
        "123",
        "4,600,000",
    ]


# Target


def test_derived_target_figures_follow_from_the_given_ones() -> None:
    assert TARGET.zone == 500 and TARGET.events_per_courier == 320 and TARGET.destinations_down == 39_200
    assert TARGET.backlog_per_courier == 4_600_000 and TARGET.control_machines_per_region == 9
    assert round(TARGET.couriers_per_control_machine) == 185 and round(TARGET.restart_interval) == 23
    assert round(TARGET.changes_per_second, 2) == 0.42 and round(TARGET.events_per_destination, 1) == 2.3
    assert TARGET.processor_ms == pytest.approx(12)


def test_every_assumption_has_a_reason() -> None:
    assert ASSUMED.REASONS.keys() == set(ASSUMED.__dataclass_fields__)


# Data file


def test_rows_are_read_as_written(tmp_path: Path) -> None:
    file, rows = tmp_path / "rows.json", [ROW, replace(ROW, run=2), replace(ROW, name="other", size=1)]
    write_rows(file, reversed(rows))
    assert read_rows(file) == rows and [each.name for each in tmp_path.iterdir()] == ["rows.json"]
    assert read_rows(tmp_path / "none.json") == []


def row_json(**changes: Any) -> str:
    return json.dumps([asdict(ROW) | changes])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "can't be read"),
        ("[{", "can't be read"),
        ("{}", "not a list of rows"),
        ("[1]", "row 1: expected the keys commit, date"),
        (
            json.dumps([{key: value for key, value in asdict(ROW).items() if key != "commit"}]),
            "row 1: expected the keys",
        ),
        (row_json(more=1), "row 1: expected the keys"),
        (row_json(size="10"), "row 1: size is not of type int: '10'"),
        (row_json(run=True), "row 1: run is not of type int"),
        (row_json(setting="a guess"), "row 1: setting is 'a guess' (expected one of: real process"),
        (row_json(figures={"cost": "much"}), "row 1: cost is not a finite number: 'much'"),
        (row_json(figures={"cost": None}), "row 1: cost is not a finite number"),
        ('[{"a": NaN}]', "row 1: expected the keys"),
        (row_json(figures={"cost": float("nan")}), "row 1: cost is not a finite number"),
        (json.dumps([asdict(ROW), asdict(ROW)]), "row 2: duplicate of grows, size 10, run 1"),
    ],
)
@pytest.mark.parametrize("verb", [["page", "--check"], ["list"]])
def test_damaged_file_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, expected: str, verb: list[str]
) -> None:
    (tmp_path / "rows.json").write_text(text)
    assert capacity.main(["--file", str(tmp_path / "rows.json"), *verb]) == 2
    error_output = capsys.readouterr().err
    assert (
        error_output.startswith("capacity: rows.json: ") and expected in error_output and error_output.count("\n") == 1
    )


def test_unknown_slope_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert capacity.main(["--file", str(tmp_path / "rows.json"), "measure", "members", "membres"]) == 2
    assert "unknown slope: membres (available: members, " in capsys.readouterr().err
    assert not list(tmp_path.iterdir())


def test_outdated_page_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(capacity, "PAGE", tmp_path / "page.md")
    rows = read_rows(DATA_FILE)
    write_rows(tmp_path / "rows.json", rows)
    check = ["--file", str(tmp_path / "rows.json"), "page"]
    assert capacity.main([*check, "--check"]) == 1
    assert capacity.main(check) == 0 and capacity.main([*check, "--check"]) == 0
    first = rows[0]
    write_rows(
        tmp_path / "rows.json", [replace(first, figures={k: 2 * v + 1 for k, v in first.figures.items()}), *rows[1:]]
    )
    assert capacity.main([*check, "--check"]) == 1
    assert "differs" in capsys.readouterr().out


# Measuring


def make_slope(name: str, sizes: tuple[int, ...] = (1, 2, 3, 4), offset: float = 0.0) -> Slope:
    return Slope(
        name,
        "things",
        sizes,
        {"cost": "ms"},
        lambda size, run: {"cost": size * 10 + run + offset},
        "No description.",
        setting="pure module",
    )


def measure_slopes(
    monkeypatch: pytest.MonkeyPatch, file: Path, *available: Slope, only: str | None = None
) -> list[MeasuredRun]:
    monkeypatch.setattr(capacity, "slopes", lambda: {slope.name: slope for slope in available})
    with ThreadPoolExecutor(1) as pool:
        capacity.measure([slope for slope in available if only in (None, slope.name)], file, pool)
    return read_rows(file)


def test_every_size_and_run_is_measured_with_its_origin(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rows = measure_slopes(monkeypatch, tmp_path / "rows.json", make_slope("one"))
    assert [(row.size, row.run, row.figures["cost"]) for row in rows] == [
        (size, run, size * 10 + run) for size in (1, 2, 3, 4) for run in (1, 2, 3)
    ]
    assert capacity.find_problems(rows, {"one": make_slope("one")}) == []
    for row in rows:
        assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", row.date) and row.setting == "pure module"
        assert re.fullmatch(r"[0-9a-f]{12}\+?|unknown", row.commit)
        assert "cores" in row.machine and "/" not in row.machine


def test_measurement_replaces_only_rows_of_its_slope(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "rows.json"
    before = measure_slopes(monkeypatch, file, make_slope("one"), make_slope("two"))
    after = measure_slopes(monkeypatch, file, make_slope("one"), make_slope("two", (2, 3, 4, 5), 100.0), only="two")
    assert [row for row in after if row.name == "one"] == [row for row in before if row.name == "one"]
    assert {(row.size, row.figures["cost"]) for row in after if row.name == "two" and row.run == 1} == {
        (size, size * 10 + 101.0) for size in (2, 3, 4, 5)
    }


def test_failed_run_is_reported_and_other_runs_are_saved(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_measure(size: int, run: int) -> dict[str, float]:
        if (size, run) == (3, 1):
            raise RuntimeError("out of memory")
        return {"cost": 1.0} if (size, run) != (4, 2) else {"price": 1.0}

    file = tmp_path / "rows.json"
    with pytest.raises(CapacityError, match="2 runs failed: one, size 3, run 1: RuntimeError: out.*; one, size 4"):
        measure_slopes(monkeypatch, file, replace(make_slope("one"), measure=failing_measure))
    assert capacity.find_problems(read_rows(file), {"one": make_slope("one")}) == [
        "one: size 3, run 1 is not measured",
        "one: size 4, run 2 is not measured",
    ]


def test_each_row_is_written_as_soon_as_it_is_measured(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file, row_counts = tmp_path / "rows.json", []
    monkeypatch.setattr(
        capacity, "print", lambda *arguments, **keywords: row_counts.append(len(read_rows(file))), raising=False
    )
    measure_slopes(monkeypatch, file, make_slope("one"))
    assert row_counts == list(range(1, 13))


def test_damaged_file_is_reported_before_any_measurement(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def unexpected_measure(size: int, run: int) -> dict[str, float]:
        raise AssertionError

    (tmp_path / "rows.json").write_text("[{")
    with pytest.raises(CapacityError, match="can't be read"):
        measure_slopes(monkeypatch, tmp_path / "rows.json", replace(make_slope("one"), measure=unexpected_measure))
    assert (tmp_path / "rows.json").read_text() == "[{"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"figures": {"other": 1.0}}, "one: size 1, run 1 has other figures than its slope"),
        ({"setting": "real process"}, "one: size 1, run 1 was measured in another setting"),
        ({"name": "gone"}, "gone: size 1, run 1 belongs to no slope"),
        ({"run": 4}, "one: size 1, run 4 belongs to no slope"),
    ],
)
def test_rows_that_do_not_match_their_slope_are_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, change: dict[str, Any], expected: str
) -> None:
    rows = measure_slopes(monkeypatch, tmp_path / "rows.json", make_slope("one"))
    assert expected in capacity.find_problems([replace(rows[0], **change), *rows[1:]], {"one": make_slope("one")})


def test_duplicate_slope_names_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity, "MODULES", ("benchmarks.capacity_peers",) * 2)
    with pytest.raises(CapacityError, match="duplicate slope: members"):
        slopes()


def test_page_lists_slopes_that_are_not_measured() -> None:
    rows = [row for row in read_rows(DATA_FILE) if row.name != "word"]
    page = render(rows, slopes())
    assert "Incomplete: " in page and "Not computed: observations of failed endpoints, sent by one courier" in page


def test_page_compares_a_mechanism_with_the_state_before(monkeypatch: pytest.MonkeyPatch) -> None:
    new_rows = [
        replace(row, name="word-brokered", figures={"sent": 100.0})
        for row in read_rows(DATA_FILE)
        if row.name == "word"
    ]
    available = slopes()
    after = replace(available["word"], name="word-brokered", figures={"sent": "bytes"})
    page = render([*read_rows(DATA_FILE), *new_rows], available | {"word-brokered": after})
    assert "### word, then word-brokered" in page and "| sent | 50 | " in page
