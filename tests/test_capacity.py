"""The page of slopes: rendered from the file, whole, worked out by rules that are tables here. Nothing is measured."""

from __future__ import annotations

import json
import re
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import pytest

from benchmarks import capacity
from benchmarks.capacity import FILE, PAGE, CapacityError, Row, read_rows, slopes, write_rows
from benchmarks.capacity_fit import fit
from benchmarks.capacity_page import amount, number, render
from benchmarks.capacity_roles import MECHANISM_STATUS, ROWS, Mechanism, Reading, ranked, results
from benchmarks.slope import MIN_SIZES, RUNS, SETTINGS, Slope
from benchmarks.target import ASSUMED, TARGET

A_ROW = Row("grows", 10, 1, "pure module", "2026-12-02T00:00:00Z", "abc", "a machine", {"cost": 1.5})


# The committed page and file


def test_the_page_is_what_the_file_renders() -> None:
    assert PAGE.read_text() == render(read_rows(FILE), slopes()), "python -m benchmarks.capacity page"


def test_the_file_has_every_run_of_every_slope() -> None:
    assert capacity.find_problems(read_rows(FILE), slopes()) == []


def test_every_slope_has_sizes_and_runs_enough() -> None:
    for slope in slopes().values():
        assert len(set(slope.sizes)) >= MIN_SIZES and list(slope.sizes) == sorted(slope.sizes), slope.name
        assert slope.runs >= RUNS and slope.setting in SETTINGS and slope.figures and slope.doc, slope.name


def test_every_row_of_a_role_is_worked_out() -> None:
    found, lacking = results(Reading(slopes(), read_rows(FILE)))
    assert lacking == [] and len(found) == len(ROWS) and all(each.ratio > 0 for each in found)
    assert {each.row.mechanism for each in found} == set(Mechanism) == set(MECHANISM_STATUS)


def test_the_ranking_is_by_the_worst_row_of_each_mechanism() -> None:
    found, _ = results(Reading(slopes(), read_rows(FILE)))
    order = ranked(found)
    assert [each.ratio for each in order] == sorted((each.ratio for each in order), reverse=True)
    for each in order:
        assert each.ratio == max(
            one.ratio for one in found if one.row.mechanism is each.row.mechanism and not one.row.hypothetical
        )
        assert not each.row.hypothetical


def test_page_and_file_name_neither_paths_nor_hosts() -> None:
    for file in (PAGE, FILE):
        assert not re.search(r"(?<![\w.])/(work|home|tmp|root|usr|opt)\b", file.read_text()), file.name


# Fits


@pytest.mark.parametrize(
    ("points", "kind", "size", "value"),
    [
        ([(1, 3.0), (2, 5.0), (4, 9.0)], "line", 100, 201.0),
        ([(1, 3.0), (2, 5.0), (4, 9.0)], "line", 3, 7.0),
        ([(10, 1.0), (20, 4.0), (40, 16.0), (80, 64.0)], "power", 160, 256.0),
        ([(10, 10.0), (20, 20.0), (40, 40.0)], "line", 1_000, 1_000.0),  # a power of 1 is a line
        ([(1, 1.0), (4, 2.0), (16, 4.0)], "line", 64, 13.1905),  # flatter than a line: the line is above it
        ([(10, 5.0), (20, 4.0), (40, 3.0)], "level", 1_000, 3.0),  # what falls is not carried on below what was seen
        ([(10, 0.0), (20, 0.0), (40, 0.0)], "line", 1_000, 0.0),
        ([(10, 0.0), (20, 0.0), (40, 6.0)], "line", 10, 0.0),  # no power of nothing
        ([(10, -1.0), (20, 3.0), (40, 11.0)], "line", 5, 0.0),  # never below nothing
        ([(10, 1.0), (10, 3.0), (20, 4.0), (20, 4.0)], "line", 10, 2.0),  # measured: the mean over runs
    ],
)
def test_what_a_fit_says(points: list[tuple[int, float]], kind: str, size: int, value: float) -> None:
    found = fit(points)
    assert found.kind == kind and found.at(size).value == pytest.approx(value, rel=1e-4)


@pytest.mark.parametrize(("size", "factor"), [(10, 1.0), (40, 1.0), (25, 1.0), (80, 2.0), (1_000, 25.0)])
def test_how_far_it_is_carried_on(size: int, factor: float) -> None:
    found = fit([(10, 1.0), (20, 2.0), (40, 4.0)]).at(size)
    assert found.factor == factor and found.up_to == 40


def test_what_each_adds_leaves_out_what_none_cost() -> None:
    rows = [replace(A_ROW, size=size, figures={"cost": 100.0 + 2 * size}) for size in (10, 20, 40)]
    reading = Reading({}, rows)
    assert reading.marginal("grows", "cost", 7) == pytest.approx(14.0)
    assert reading.at("grows", "cost", 80) == pytest.approx(260.0) and reading.used["grows"][:2] == (40, 2.0)


def test_what_was_cut_off_is_shown_and_not_fitted() -> None:
    slope = replace(a_slope("one"), cut_off_at={"cost": ("cost", 60.0)})
    rows = [
        replace(A_ROW, name="one", size=size, run=run, figures={"cost": min(60.0, 20.0 * size)})
        for size in slope.sizes
        for run in (1, 2, 3)
    ]
    reading = Reading({"one": slope}, rows)
    assert reading.at("one", "cost", 4) == pytest.approx(80.0) and reading.used["one"][:2] == (2, 2.0)
    page = render(rows, {"one": slope})
    assert "| cost | 20 ms | 40 ms | cut off: 60 ms | cut off: 60 ms |" in page


def test_a_figure_is_cut_by_the_one_that_decides() -> None:
    slope = replace(a_slope("one"), cut_off_at={"heard": ("known", 5.0)})
    assert slope.is_complete("heard", {"heard": 9.0, "known": 4.9}) and slope.is_complete(
        "cost", {"cost": 9.0, "known": 5.0}
    )
    assert not slope.is_complete("heard", {"heard": 1.0, "known": 5.0})


def test_one_size_is_no_slope() -> None:
    with pytest.raises(ValueError, match="at least two sizes"):
        fit([(10, 1.0), (10, 2.0)])


@pytest.mark.parametrize(
    ("value", "unit", "shown"),
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
def test_how_a_figure_is_shown(value: float, unit: str, shown: str) -> None:
    assert amount(value, unit) == shown


def test_numbers_have_three_figures() -> None:
    assert [number(each) for each in (0.000123456, 1.0, 2.5, 99.94, 123.4, 4_600_000)] == [
        "0.000123",
        "1",
        "2.5",
        "99.9",
        "123",
        "4,600,000",
    ]


# The target


def test_what_follows_from_the_target() -> None:
    assert TARGET.zone == 500 and TARGET.events_per_courier == 320 and TARGET.destinations_down == 39_200
    assert TARGET.backlog_per_courier == 4_600_000 and TARGET.control_machines_per_region == 9
    assert round(TARGET.couriers_per_control_machine) == 185 and round(TARGET.restart_interval) == 23
    assert round(TARGET.changes_per_second, 2) == 0.42 and round(TARGET.events_per_destination, 1) == 2.3
    assert TARGET.processor_ms == pytest.approx(12)


def test_every_assumption_says_what_it_is() -> None:
    assert ASSUMED.REASONS.keys() == set(ASSUMED.__dataclass_fields__)


# The file


def test_rows_come_back_as_they_were_written(tmp_path: Path) -> None:
    file, rows = tmp_path / "rows.json", [A_ROW, replace(A_ROW, run=2), replace(A_ROW, name="other", size=1)]
    write_rows(file, reversed(rows))
    assert read_rows(file) == rows and [each.name for each in tmp_path.iterdir()] == ["rows.json"]
    assert read_rows(tmp_path / "none.json") == []


def damaged(**changes: Any) -> str:
    return json.dumps([asdict(A_ROW) | changes])


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("", "can't be read"),
        ("[{", "can't be read"),
        ("{}", "not a list of rows"),
        ("[1]", "row 1: expected the keys commit, date"),
        (
            json.dumps([{key: value for key, value in asdict(A_ROW).items() if key != "commit"}]),
            "row 1: expected the keys",
        ),
        (damaged(more=1), "row 1: expected the keys"),
        (damaged(size="10"), "row 1: size is not of type int: '10'"),
        (damaged(run=True), "row 1: run is not of type int"),
        (damaged(setting="a guess"), "row 1: setting is 'a guess' (expected one of: real process"),
        (damaged(figures={"cost": "much"}), "row 1: cost is not a finite number: 'much'"),
        (damaged(figures={"cost": None}), "row 1: cost is not a finite number"),
        ('[{"a": NaN}]', "row 1: expected the keys"),
        (damaged(figures={"cost": float("nan")}), "row 1: cost is not a finite number"),
        (json.dumps([asdict(A_ROW), asdict(A_ROW)]), "row 2: duplicate of grows, size 10, run 1"),
    ],
)
@pytest.mark.parametrize("verb", [["page", "--check"], ["list"]])
def test_a_damaged_file_is_told_in_a_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, says: str, verb: list[str]
) -> None:
    (tmp_path / "rows.json").write_text(text)
    assert capacity.main(["--file", str(tmp_path / "rows.json"), *verb]) == 2
    error_output = capsys.readouterr().err
    assert error_output.startswith("capacity: rows.json: ") and says in error_output and error_output.count("\n") == 1


def test_a_name_that_is_none_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert capacity.main(["--file", str(tmp_path / "rows.json"), "measure", "members", "membres"]) == 2
    assert "unknown slope: membres (available: members, " in capsys.readouterr().err
    assert not list(tmp_path.iterdir())


def test_a_page_that_differs_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(capacity, "PAGE", tmp_path / "page.md")
    rows = read_rows(FILE)
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


def a_slope(name: str, sizes: tuple[int, ...] = (1, 2, 3, 4), offset: float = 0.0) -> Slope:
    return Slope(
        name,
        "things",
        sizes,
        {"cost": "ms"},
        lambda size, run: {"cost": size * 10 + run + offset},
        "None.",
        setting="pure module",
    )


def played(monkeypatch: pytest.MonkeyPatch, file: Path, *there: Slope, only: str | None = None) -> list[Row]:
    monkeypatch.setattr(capacity, "slopes", lambda: {slope.name: slope for slope in there})
    with ThreadPoolExecutor(1) as pool:
        capacity.measure([slope for slope in there if only in (None, slope.name)], file, pool)
    return read_rows(file)


def test_every_size_and_run_is_measured_and_says_where(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rows = played(monkeypatch, tmp_path / "rows.json", a_slope("one"))
    assert [(row.size, row.run, row.figures["cost"]) for row in rows] == [
        (size, run, size * 10 + run) for size in (1, 2, 3, 4) for run in (1, 2, 3)
    ]
    assert capacity.find_problems(rows, {"one": a_slope("one")}) == []
    for row in rows:
        assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", row.date) and row.setting == "pure module"
        assert re.fullmatch(r"[0-9a-f]{12}\+?|unknown", row.commit)
        assert "cores" in row.machine and "/" not in row.machine


def test_a_measurement_takes_the_place_of_rows_of_its_name_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "rows.json"
    before = played(monkeypatch, file, a_slope("one"), a_slope("two"))
    after = played(monkeypatch, file, a_slope("one"), a_slope("two", (2, 3, 4, 5), 100.0), only="two")
    assert [row for row in after if row.name == "one"] == [row for row in before if row.name == "one"]
    assert {(row.size, row.figures["cost"]) for row in after if row.name == "two" and row.run == 1} == {
        (size, size * 10 + 101.0) for size in (2, 3, 4, 5)
    }


def test_a_run_that_fails_is_named_and_the_others_are_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def breaks(size: int, run: int) -> dict[str, float]:
        if (size, run) == (3, 1):
            raise RuntimeError("out of memory")
        return {"cost": 1.0} if (size, run) != (4, 2) else {"price": 1.0}

    file = tmp_path / "rows.json"
    with pytest.raises(CapacityError, match="2 runs failed: one, size 3, run 1: RuntimeError: out.*; one, size 4"):
        played(monkeypatch, file, replace(a_slope("one"), measure=breaks))
    assert capacity.find_problems(read_rows(file), {"one": a_slope("one")}) == [
        "one: size 3, run 1 is not measured",
        "one: size 4, run 2 is not measured",
    ]


def test_each_row_is_there_once_it_is_measured(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file, seen = tmp_path / "rows.json", []
    monkeypatch.setattr(capacity, "print", lambda *words, **more: seen.append(len(read_rows(file))), raising=False)
    played(monkeypatch, file, a_slope("one"))
    assert seen == list(range(1, 13))


def test_a_damaged_file_is_told_before_anything_is_measured(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def never(size: int, run: int) -> dict[str, float]:
        raise AssertionError

    (tmp_path / "rows.json").write_text("[{")
    with pytest.raises(CapacityError, match="can't be read"):
        played(monkeypatch, tmp_path / "rows.json", replace(a_slope("one"), measure=never))
    assert (tmp_path / "rows.json").read_text() == "[{"


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"figures": {"other": 1.0}}, "one: size 1, run 1 has other figures than its slope"),
        ({"setting": "real process"}, "one: size 1, run 1 was measured in another setting"),
        ({"name": "gone"}, "gone: size 1, run 1 belongs to no slope"),
        ({"run": 4}, "one: size 1, run 4 belongs to no slope"),
    ],
)
def test_what_is_not_as_its_slope_says_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, change: dict[str, Any], says: str
) -> None:
    rows = played(monkeypatch, tmp_path / "rows.json", a_slope("one"))
    assert says in capacity.find_problems([replace(rows[0], **change), *rows[1:]], {"one": a_slope("one")})


def test_two_slopes_of_one_name_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity, "MODULES", ("benchmarks.capacity_peers",) * 2)
    with pytest.raises(CapacityError, match="duplicate slope: members"):
        slopes()


def test_a_slope_that_is_not_measured_is_said_on_the_page() -> None:
    rows = [row for row in read_rows(FILE) if row.name != "word"]
    page = render(rows, slopes())
    assert "Incomplete: " in page and "Not computed: observations of failed endpoints, sent by one courier" in page


def test_a_mechanism_is_set_beside_what_was_before(monkeypatch: pytest.MonkeyPatch) -> None:
    told = [
        replace(row, name="word-brokered", figures={"sent": 100.0}) for row in read_rows(FILE) if row.name == "word"
    ]
    there = slopes()
    after = replace(there["word"], name="word-brokered", figures={"sent": "bytes"})
    page = render([*read_rows(FILE), *told], there | {"word-brokered": after})
    assert "### word, then word-brokered" in page and "| sent | 50 | " in page
