"""Renders the report of a run as one self-contained HTML page with charts."""

from __future__ import annotations

import html
import re
from typing import Any

import pygal
from pygal.style import CleanStyle

STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#a00}svg{max-width:100%;height:auto}h2{margin-top:2em}"""


def _table(rows: dict[str, dict[str, Any]]) -> str:
    names = [key for key, value in next(iter(rows.values()), {}).items() if not isinstance(value, list)]
    head = "".join(f"<th>{html.escape(name.replace('_', ' '))}</th>" for name in ("name", *names))
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in (row, *(values[n] for n in names))) + "</tr>"
        for row, values in rows.items()
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _chart(chart: Any) -> str:
    # Removes pygal's script element: it only configures a script that the browser would have to fetch.
    return re.sub("<script.*?</script>", "", chart.render(is_unicode=True, disable_xml_declaration=True), flags=re.S)


def _options(title: str) -> dict[str, Any]:
    return {
        "title": title,
        "style": CleanStyle,
        "js": (),
        "height": 320,
        "width": 900,
        "legend_at_bottom": True,
        "legend_at_bottom_columns": 5,
    }


def page(report: dict[str, Any], title: str) -> str:
    """Render the page of a scenario run; ``report`` as ``run.run_scenario`` returns it."""
    members, couriers = report["members"], report["couriers"]
    calls = pygal.Line(show_dots=False, x_title="second", y_title="calls received", **_options("Calls by second"))
    longest = max((len(m["by_second"]) for m in members.values()), default=0)
    calls.x_labels = [str(second) if second % 2 == 0 else "" for second in range(longest)]
    for name, member in members.items():
        calls.add(name, member["by_second"])
    outcomes = pygal.StackedBar(**_options("Messages by courier"))
    outcomes.x_labels = list(couriers)
    outcomes.add("ran", [c["ran"] for c in couriers.values()])
    outcomes.add("accepted, did not run", [max(0, c["taken"] - c["ran"]) for c in couriers.values()])
    outcomes.add("not accepted", [c["handed_in"] - c["taken"] for c in couriers.values()])
    busiest = pygal.Bar(**_options("Calls in the busiest second, and limits"))
    busiest.x_labels = list(members)
    busiest.add("busiest second", [m["most_in_a_second"] for m in members.values()])
    busiest.add("limit", [m["limit"] for m in members.values()])
    errors = "".join(f"<li>{html.escape(error)}</li>" for error in report["faults"])
    verdict = "<p>The checkers found no errors.</p>"
    if errors:
        verdict = f'<p class="bad">{len(report["faults"])} errors found by the checkers:</p><ul>{errors}</ul>'
    summary = (
        f"Seed {report['seed']}, peers {'on' if report['peers'] else 'off'}: {report['served']:.1%} of the "
        f"messages ran; {report['paid_a_time_out']} had a call that timed out."
    )
    return "\n".join(
        (
            "<!doctype html><html lang=en><meta charset=utf-8>",
            f"<title>{html.escape(title)}</title>",
            f"<style>{STYLE}</style><h1>{html.escape(title)}</h1><p>{summary}</p>{verdict}",
            _chart(calls),
            "<h2>Member systems</h2>",
            _table(members),
            _chart(busiest),
            "<h2>Couriers</h2>",
            _table(couriers),
            _chart(outcomes),
            "</html>\n",
        )
    )


def _by_second(rows: list[dict[str, Any]], key: str, factor: float) -> list[float]:
    """Return, for each two successive rows, the increase of the running sum ``key`` per second, times ``factor``.

    A decrease, as when a process has ended whose time was part of the sum, counts as 0.
    """
    return [
        round(max(0.0, factor * (b[key] - a[key]) / max(0.1, b["s"] - a["s"])), 4)
        for a, b in zip(rows, rows[1:], strict=False)
    ]


def scale_page(report: dict[str, Any]) -> str:
    """Render the page of scale runs; ``report`` as ``kestrelspar lab scale --json`` writes it."""
    sections = []
    columns = (
        "couriers",
        "real",
        "hollow",
        "from",
        "zones",
        "grouped",
        "processes",
        "memory_mb",
        "known_s",
        "settled_s",
        "fault_name",
        "messages",
        "served",
    )
    rows = {str(number): {name: run.get(name, "") for name in columns} for number, run in enumerate(report["plays"], 1)}
    phases = {
        f"{number} {key}": {name: value for name, value in run[key].items() if not isinstance(value, list)}
        for number, run in enumerate(report["plays"], 1)
        for key in ("rest", "fault")
        if key in run
    }
    for number, run in enumerate(report["plays"], 1):
        series, couriers = run["series"], max(1, run["hollow"])
        sections.append(
            f"<h2>{number}: {run['couriers']} couriers, {html.escape(run['from'])}, "
            f"{html.escape(run['fault_name'])}</h2>"
        )
        for kind, lines in (
            ("saturated, so that the run fell behind real time", run["saturated"]),
            ("found by the checkers", run["findings"]),
        ):
            if lines:
                listed = "".join(f"<li>{html.escape(line)}</li>" for line in lines)
                sections.append(f'<p class="bad">{kind}:</p><ul>{listed}</ul>')
        labels = [str(round(row["s"])) if n % 5 == 0 else "" for n, row in enumerate(series[1:])]
        for title, unit, lines_of in (
            (
                "Members not known, and stopped couriers considered alive",
                "percent",
                {
                    "not known": [100 * row["missing"] for row in series[1:]],
                    "considered alive": [100 * row["ghosts"] for row in series[1:]],
                },
            ),
            (
                "Bytes sent by a hollow courier",
                "bytes per second",
                {"bytes": _by_second(series, "sent", 1 / couriers)},
            ),
            (
                "CPU time",
                "cores",
                {
                    "hollow": _by_second(series, "hollow_cpu", 1),
                    "relays": _by_second(series, "relay_cpu", 1),
                    "real": _by_second(series, "real_cpu", 1),
                },
            ),
        ):
            chart = pygal.Line(show_dots=False, x_title="second", y_title=unit, **_options(title))
            chart.x_labels = labels
            for name, values in lines_of.items():
                chart.add(name, values)
            sections.append(_chart(chart))
    factors = "".join(
        f"<li>{html.escape(name)}: {factor:.2f}</li>" for name, factor in report.get("factors", {}).items()
    )
    return "\n".join(
        (
            "<!doctype html><html lang=en><meta charset=utf-8><title>Couriers by number</title>",
            f"<style>{STYLE}</style><h1>Couriers by number</h1>",
            f"<p>Cores {html.escape(str(report['machine']['cores']))}, "
            f"Python {html.escape(report['machine']['python'])}. "
            "Figures are per courier and second; the column <i>from</i> says whether they were measured on real "
            "processes and datagrams, or on the modelled network.</p>",
            _table(rows),
            "<h2>Phases</h2>",
            _table(phases),
            f"<h2>Hollow couriers relative to real ones</h2><ul>{factors}</ul>" if factors else "",
            *sections,
            "</html>\n",
        )
    )
