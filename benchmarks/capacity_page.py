"""Renders docs/CAPACITY.md from the measured rows and the target; all of its figures are computed."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import mean

from benchmarks.capacity import MeasuredRun, find_problems
from benchmarks.capacity_peers import CALL_LIMIT, LOAD_FACTOR, RESTART_INTERVAL, SimulatedFleet
from benchmarks.capacity_roles import (
    BUILT_FIRST,
    BYTES,
    COURIERS,
    DESTINATION_LIMIT,
    FAILED_CALLS,
    MAX_MEMBERS,
    MECHANISM_STATUS,
    MEMORY,
    MIN_SHARE_FOR_LOANS,
    PLACED_DESTINATIONS,
    PROCESSOR_TIME,
    Mechanism,
    Reading,
    Result,
    Role,
    SlopeNotMeasured,
    list_bytes,
    ranked,
    results,
    served_per_second,
)
from benchmarks.slope import Slope
from benchmarks.target import (
    ASSUMED,
    PRIOR_FIGURES,
    PRIOR_HOLLOW_GB,
    PRIOR_MAX_MEMBERS,
    PRIOR_OBSERVATION_MINUTES,
    TARGET,
)
from kestrelspar.lab.simulated_network import TICK_INTERVAL, Faults
from kestrelspar.peers import counts, members, observations, seal, shares
from kestrelspar.peers.shares import budget_for_rate

CONTROL_PLANE_BOUNDS = (PROCESSOR_TIME, MEMORY, BYTES)
MEMBER_DATAGRAMS_PER_PERIOD = 2  # that a courier sends: its own probe, and the answer to the probe of another
CONFIRMATION_FACTOR = 1.5  # an earlier figure within this factor of the measured one counts as confirmed
# Slopes that measure the same figures before a mechanism was built and with it.
BEFORE_AFTER_PAIRS = (
    ("word", "word-brokered"),
    ("members", "members-grouped"),
    ("members-churn", "members-churn-grouped"),
    ("members-wave", "members-wave-grouped"),
)


def number(value: float) -> str:
    """Format with three significant digits, or from 100 on as an integer, with thousands separators."""
    if value == 0:
        return "0"
    if abs(value) >= 100 or float(value).is_integer():
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def amount(value: float, unit: str) -> str:
    """Format a figure in a unit of suitable scale; ``unit``, the unit of the value, is one of those of a slope."""
    scales: dict[str, list[tuple[float, str]]] = {
        "bytes": [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1, "bytes")],
        "MB": [(1e6, "TB"), (1e3, "GB"), (1, "MB"), (1e-3, "KB")],
        "us": [(1e6, "s"), (1e3, "ms"), (1, "us")],
        "ms": [(1e3, "s"), (1, "ms"), (1e-3, "us")],
        "s": [(86_400, "days"), (3_600, "h"), (60, "min"), (1, "s"), (1e-3, "ms")],
        "count": [(1, "")],
        "share": [(0.01, "%")],
    }
    if value == 0:
        return f"0 {next(name for scale, name in scales[unit] if scale == 1 or unit == 'share')}".strip()
    for scale, name in scales[unit]:
        threshold = 2 * scale if name in ("days", "h", "min") else scale
        if abs(value) >= threshold or (scale, name) == scales[unit][-1]:
            return f"{number(value / scale)} {name}".strip()
    raise AssertionError(unit)


def times(ratio: float) -> str:
    """Format a ratio with two significant digits."""
    return number(float(f"{ratio:.2g}"))


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    return [
        "| " + " | ".join(head) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
        *("| " + " | ".join(row) + " |" for row in rows),
        "",
    ]


def extrapolation(used: dict[str, tuple[int, float, str]]) -> str:
    """Say up to which sizes a figure was measured, and by which factor it is extrapolated.

    ``used`` has the form of ``Reading.used``.
    """
    if not used:
        return "computed, not measured"
    return "; ".join(
        f"{name} up to {up_to:,}, factor {number(float(f'{factor:.2g}'))}"
        + (" (modelled)" if setting == "modelled network" else "")
        for name, (up_to, factor, setting) in used.items()
    )


def render(rows: list[MeasuredRun], slopes: dict[str, Slope]) -> str:
    """Return the text of the whole page, in Markdown."""
    reading = Reading(slopes, rows)
    evaluated, not_evaluated = results(reading)
    parts: list[list[str]] = [
        _head(rows, slopes),
        _target(),
        _slopes(reading, rows, slopes),
        _prior_figures(reading),
        _roles(evaluated, not_evaluated),
        _grouped(reading),
        _losses(reading),
        _lost_control_machines(reading),
        _backlog(reading),
        _bursts(reading),
        _published_systems(reading),
        _ranking(evaluated, len(not_evaluated)),
        _pairs(reading),
        _limitations(rows, slopes),
    ]
    return "\n".join(line for part in parts for line in part).rstrip() + "\n"


def _guarded(section: Callable[[], list[str]]) -> list[str]:
    """Return the lines of the section, or a line that names the slope that it lacks."""
    try:
        return section()
    except SlopeNotMeasured as error:
        return [f"Not computed: the slope {error} is not measured.", ""]


def _head(rows: list[MeasuredRun], slopes: dict[str, Slope]) -> list[str]:
    machines = sorted({row.machine for row in rows})
    commits = sorted({row.commit for row in rows})
    days = sorted({row.date[:10] for row in rows})
    problems = find_problems(rows, slopes)
    return [
        "# Slopes to the target",
        "",
        "Rendered by `python -m benchmarks.capacity page` from benchmarks/capacity.json and benchmarks/target.py; a "
        "test fails if this page differs from them. Do not edit it by hand: every figure is computed.",
        "",
        f"Measured on {', '.join(days) or 'no day'} by `python -m benchmarks.capacity measure`: {len(rows)} runs of "
        f"{len({row.name for row in rows})} slopes, each run in a process of its own, of the program at commits "
        f"{', '.join(commits) or 'none'} (+ means that files differed from the commit). Machines: "
        f"{'; '.join(machines) or 'none'}.",
        "",
        "There are three settings. **Real process**: a courier as it is deployed, stand-in servers on loopback. "
        "**Modelled network**: the pure modules of all couriers in one process on a stepped clock; processor time "
        "includes that of the model, and one machine's caches have to hold what many machines would. **Pure module**: "
        "one courier's modules alone, with simulated others, so their number can be that of the target.",
        "",
        *(
            [
                f"Incomplete: {len(problems)} runs are missing, "
                f"of {', '.join(sorted({each.split(':')[0] for each in problems}))}.",
                "",
            ]
            if problems
            else []
        ),
    ]


def _target() -> list[str]:
    given = [
        (
            "couriers",
            f"{TARGET.couriers:,} in {TARGET.regions} regions with {TARGET.zones} zones: {TARGET.zone:,} per zone, "
            f"{TARGET.region:,} per region",
        ),
        ("events", f"{TARGET.events_per_second:,} a second: {number(TARGET.events_per_courier)} per courier"),
        (
            "destinations",
            f"{TARGET.destinations:,}; {amount(TARGET.down, 'share')} down at any time: {TARGET.destinations_down:,}; "
            f"{number(TARGET.events_per_destination)} events a second for each",
        ),
        ("backlog", f"{TARGET.backlog:,} events: {TARGET.backlog_per_courier:,.0f} per courier"),
        (
            "configuration",
            f"{TARGET.changes_per_day:,} changes a day, {number(TARGET.changes_per_second)} a second on average, in "
            f"force everywhere within {amount(TARGET.in_force, 's')}",
        ),
        (
            "control plane at a courier",
            f"{amount(TARGET.core, 'share')} of a core ({number(TARGET.processor_ms)} ms a second), "
            f"{number(TARGET.memory_mb)} MB, {amount(TARGET.bytes_a_second, 'bytes')} a second at most",
        ),
        (
            "control machines",
            f"{TARGET.control_machines}, {TARGET.control_machines_per_region} per region, "
            f"{number(TARGET.couriers_per_control_machine)} couriers each",
        ),
        (
            "failures",
            f"{TARGET.machines_lost_per_day} machines a day; {TARGET.restarts_per_day:,} restarts or replacements a "
            f"day, one every {number(TARGET.restart_interval)} s; a rack or switch every {TARGET.days_between_racks} "
            f"days; a zone every {TARGET.days_between_zones} days; regions lose each other for minutes; {TARGET.wave} "
            "couriers lost at once",
        ),
    ]
    assumed = [(name, number(getattr(ASSUMED, name)), reason) for name, reason in ASSUMED.REASONS.items()]
    return [
        "## The target",
        "",
        *table(["what", "figure"], given),
        f"With events spread evenly, a courier gets an event for the same destination once in "
        f"{amount(TARGET.seconds_between_encounters, 's')}; of its {number(TARGET.events_per_courier)} events a second "
        f"{number(FAILED_CALLS)} go to destinations that are down. With each destination placed on {ASSUMED.placed} "
        f"couriers, a courier holds {number(PLACED_DESTINATIONS)} destinations, "
        f"{number(PLACED_DESTINATIONS * TARGET.down)} of them down.",
        "",
        "The users did not give these figures; they are **assumptions** of this page (`Assumed` in "
        "benchmarks/target.py):",
        "",
        *table(["assumed", "figure", "what it is"], assumed),
    ]


def _slopes(reading: Reading, rows: list[MeasuredRun], slopes: dict[str, Slope]) -> list[str]:
    lines = [
        "## Slopes",
        "",
        "Means of the runs, minimum and maximum in brackets. The fits are by least squares on the means: a line "
        "a + b n, and a power c n^k. The line is chosen unless k is clearly above 1 and the power has the smaller "
        "error; a figure that falls with the size keeps its last mean. The error is the root mean square error of the "
        "chosen fit, divided by the mean. A figure that was cut off, by the end of the run or by the bound on bytes, "
        "is shown but not fitted.",
        "",
    ]
    for slope in slopes.values():
        measured = [row for row in rows if row.name == slope.name]
        lines += [f"### {slope.name} ({slope.setting}, by {slope.size_unit})", "", slope.doc.rstrip(".") + ".", ""]
        if not measured:
            lines += ["Not measured yet.", ""]
            continue
        sizes = sorted({row.size for row in measured})
        table_rows = []
        for figure, unit in slope.figures.items():
            cells = []
            for size in sizes:
                runs = [row.figures for row in measured if row.size == size and figure in row.figures]
                cut_off = not all(slope.is_complete(figure, each) for each in runs)
                cells.append(("cut off: " if cut_off else "") + _cell([each[figure] for each in runs], unit))
            table_rows.append([figure, *cells, *_fitted(reading, slope, figure, unit)])
        lines += table(["figure", *(f"{size:,}" for size in sizes), "line", "power", "chosen fit, error"], table_rows)
    return lines


def _cell(values: list[float], unit: str) -> str:
    if not values:
        return "not measured"
    minimum, maximum = amount(min(values), unit), amount(max(values), unit)
    return amount(mean(values), unit) + (f" ({minimum} to {maximum})" if minimum != maximum else "")


def _fitted(reading: Reading, slope: Slope, figure: str, unit: str) -> tuple[str, str, str]:
    """Return the cells with the line, the power, and the chosen fit with its error."""
    try:
        fit = reading.fit(slope.name, figure)
    except SlopeNotMeasured:
        return "", "", "one size only"
    sign = "-" if fit.b < 0 else "+"
    power = f"{fit.c:.3g} n^{fit.k:.2f}" if fit.k else "none"
    return (f"{fit.a:.3g} {sign} {abs(fit.b):.3g} n", power, f"{fit.kind}, {amount(round(fit.error, 4), 'share')}")


def _prior_figures(reading: Reading) -> list[str]:
    lines = [
        "## Earlier figures and what was measured",
        "",
        "The users measured these earlier, in one run each beside other load. A figure within a factor of "
        f"{number(CONFIRMATION_FACTOR)} counts as confirmed. The measured value is the mean of the runs on the machine "
        "named above.",
        "",
    ]
    table_rows = []
    for prior in PRIOR_FIGURES:
        try:
            fit = reading.fit(prior.slope, prior.figure)
        except SlopeNotMeasured:
            table_rows.append([prior.what, f"{prior.size:,}", amount(prior.value, prior.unit), "not measured yet", ""])
            continue
        fitted, values = (
            fit.at(prior.size),
            [row.figures[prior.figure] for row in reading.rows if (row.name, row.size) == (prior.slope, prior.size)],
        )
        measured = mean(values) if values else fitted.value
        ratio = measured / prior.value
        is_near = 1 / CONFIRMATION_FACTOR <= ratio <= CONFIRMATION_FACTOR
        verdict = (
            "confirmed"
            if is_near
            else f"corrected: {times(ratio)} times as much"
            if ratio > 1
            else f"corrected: {amount(ratio, 'share')} of it"
        )
        note = "" if values else f" (measured up to {fitted.up_to:,}, fitted)"
        table_rows.append(
            [
                prior.what,
                f"{prior.size:,}",
                amount(prior.value, prior.unit),
                amount(measured, prior.unit) + note,
                verdict,
            ]
        )
    lines += table(["what", "size", "earlier figure", "measured", ""], table_rows)
    lines += _guarded(lambda: _prior_claims(reading))
    return lines


def _prior_claims(reading: Reading) -> list[str]:
    """Return the lines that confirm or correct the users' earlier claims about the target itself."""

    def verdict(value: float, prior: float) -> str:
        return "confirmed" if 1 / CONFIRMATION_FACTOR <= value / prior <= CONFIRMATION_FACTOR else "corrected"

    informed = reading.at("word-alone", "told", COURIERS)
    last = reading.at("word-alone", "last", COURIERS)
    bytes_per_member = reading.marginal("word", "sent", 1)
    memory = reading.at("member-alone", "memory", COURIERS)
    minutes_verdict = (
        "corrected"
        if informed < COURIERS - 1
        or bytes_per_member * COURIERS / TARGET.bytes_a_second < 60 * PRIOR_OBSERVATION_MINUTES
        else "confirmed"
    )
    share = DESTINATION_LIMIT / COURIERS
    served = reading.fit("budgets", "served").means
    smallest_fleet, largest_fleet = min(served), max(served)
    largest = max(reading.fit("members", "processor").means)
    model = reading.at("members", "processor", largest)
    single = reading.at("member-alone", "processor", largest)
    informed_fleet = reading.at("members-churn", "processor", largest)
    lines = [
        f"- *One observation takes its witness minutes at {COURIERS:,}*: {minutes_verdict}. Each member costs it "
        f"{number(bytes_per_member)} bytes, so all would take "
        f"{amount(bytes_per_member * COURIERS / TARGET.bytes_a_second, 's')} of its "
        f"{amount(TARGET.bytes_a_second, 'bytes')} a second; but an observation of a failure is sent for "
        f"{amount(observations.OUTAGE_REPORT_MAX_AGE / 1e6, 's')} only, then it expires. At {COURIERS:,} members "
        f"{number(informed)} "
        f"receive it, the last after {amount(last, 's')}, and the others never.",
        f"- *Idle membership costs more and more processor time*: {largest:,} members are not idle by then, as starts "
        f"are still being gossiped: {amount(model, 'ms')} a second each. If all know all beforehand, with a restart "
        f"every {amount(RESTART_INTERVAL / 1e6, 's')}, they take {amount(informed_fleet, 'ms')} on the model, "
        f"including that of the model itself. One courier alone that knows {largest:,} takes {amount(single, 'ms')}, "
        f"at {COURIERS:,} {amount(reading.at('member-alone', 'processor', COURIERS), 'ms')}.",
        f"- *All {COURIERS:,} as hollow couriers in one process take over {amount(PRIOR_HOLLOW_GB * 1e3, 'MB')}*: "
        f"{verdict(memory * COURIERS / 1e3, PRIOR_HOLLOW_GB)}, {amount(memory, 'MB')} each, "
        f"{amount(memory * COURIERS, 'MB')} together.",
        f"- *Members beyond {PRIOR_MAX_MEMBERS:,} are refused*: {verdict(MAX_MEMBERS, PRIOR_MAX_MEMBERS)} by the "
        f"code, {MAX_MEMBERS:,}. There are two more bounds: the sequence numbers of {seal.MAX_SENDERS:,} senders are "
        f"stored, and datagrams of others are dropped; and counters of {counts.MAX_COURIERS:,} couriers are stored.",
        f"- *A limit that is shared equally leaves each less than a call*: confirmed, {number(share)} of a call a "
        f"second of a limit of {number(DESTINATION_LIMIT)}; its window is extended for that, to "
        f"{amount(budget_for_rate(DESTINATION_LIMIT, COURIERS)[1] / 1e6, 's')}. And nothing of a share under "
        f"{MIN_SHARE_FOR_LOANS} calls is lent ({amount(shares.MAX_LENT_PART, 'share')} of it, rounded down): of "
        f"{CALL_LIMIT} calls a second, with half of a load of {LOAD_FACTOR} at one courier, "
        f"{amount(served[smallest_fleet], 'share')} of the messages are served at {smallest_fleet} members, "
        f"{amount(served[largest_fleet], 'share')} at {largest_fleet}.",
        "",
    ]
    return lines


def _roles(evaluated: list[Result], not_evaluated: list[tuple[object, str]]) -> list[str]:
    lines = [
        "## Load on each role at the target",
        "",
        "'Ratio' is load over bound, with events spread evenly over couriers, as they are now: above 1 the bound is "
        "exceeded. 'With it' is the ratio that the row's mechanism leaves by the same slopes, with a destination's "
        f"events placed on {ASSUMED.placed} couriers if the mechanism depends on that, and members in groups of "
        f"{TARGET.zone}; the cost of the mechanism itself is not included. Empty: not known.",
        "",
    ]
    for role in Role:
        rows = [
            [
                f"{each.row.kind}: {each.row.what}"
                + (f" (if {each.row.hypothetical})" if each.row.hypothetical else ""),
                each.row.formula_text,
                amount(each.load, each.row.unit),
                extrapolation(each.used),
                f"{amount(each.bound, each.row.unit)} ({each.row.bound_name})",
                times(each.ratio),
                _remaining(each),
                f"{each.row.mechanism}: **{MECHANISM_STATUS[each.row.mechanism]}**",
            ]
            for each in evaluated
            if each.row.role is role
        ]
        lines += [
            f"### {role}",
            "",
            *table(
                ["what", "slope x size", "at the target", "measured", "bound", "ratio", "with it", "mechanism"], rows
            ),
        ]
        if role is Role.COURIER:
            lines += _control_plane_totals(evaluated)
        for row, name in not_evaluated:
            if row.role is role:  # type: ignore[attr-defined]
                lines += [f"Not computed: {row.what}, as the slope {name} is not measured.", ""]  # type: ignore[attr-defined]
    return lines


def _remaining(result: Result) -> str:
    return "" if result.remaining_ratio is None else times(result.remaining_ratio)


def _control_plane_totals(evaluated: list[Result]) -> list[str]:
    """Return a table of the control plane's total load on one courier, against its bounds."""
    table_rows = []
    for bound, unit, maximum in (
        (MEMORY, "MB", TARGET.memory_mb),
        (PROCESSOR_TIME, "ms", TARGET.processor_ms),
        (BYTES, "bytes", float(TARGET.bytes_a_second)),
    ):
        rows = [each for each in evaluated if each.row.bound_name == bound and not each.row.hypothetical]
        load, remaining = (
            sum(each.load for each in rows),
            sum((each.remaining_ratio or 0.0) * each.bound for each in rows),
        )
        table_rows.append(
            [
                bound,
                str(len(rows)),
                amount(load, unit),
                amount(maximum, unit),
                times(load / maximum),
                amount(remaining, unit),
                times(remaining / maximum),
            ]
        )
    return [
        "All of these rows together, at one courier:",
        "",
        *table(["", "rows", "at the target", "bound", "ratio", "with the mechanisms", "ratio"], table_rows),
    ]


def _grouped(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        table_rows = []
        for what, name, figure, unit in (
            ("memory of members", "member-alone", "memory", "MB"),
            ("processor time a second", "member-alone", "processor", "ms"),
            ("bytes a second", "member-alone", "sent", "bytes"),
            ("until all are known", "members", "all-known", "s"),
            ("until a loss is known", "members-churn", "loss-known", "s"),
        ):
            small, large = reading.at(name, figure, TARGET.zone), reading.at(name, figure, COURIERS)
            table_rows.append([what, amount(small, unit), amount(large, unit), times(large / small) if small else ""])
        return [
            f"What groups of one zone each ({TARGET.zone:,} couriers) would leave of this, by the same slopes; "
            "communication between groups (observations, by brokers) is not included:",
            "",
            *table(["what", f"{TARGET.zone:,} members", f"{COURIERS:,} members", "times"], table_rows),
        ]

    return ["### Groups that follow zones", "", *_guarded(lines)]


def _start_time(r: Reading, listed: float) -> float:
    """Return the seconds that a start takes with ``listed`` endpoints and with a courier's backlog.

    Both slopes include the time of an empty start; it counts once.
    """
    base = r.fit("listed", "start-wall").at(min(r.fit("listed", "start-wall").means)).value
    return r.at("listed", "start-wall", listed) + max(
        0.0, r.at("open-message", "start-wall", TARGET.backlog_per_courier) - base
    )


def _losses(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        known_s = reading.at("members-churn", "loss-known", COURIERS)
        known_in_group_s = reading.at("members-churn", "loss-known", TARGET.zone)
        transmissions = int(members.GOSSIP_FACTOR * math.log2(COURIERS + 2))
        full_bytes, placed_bytes = list_bytes(reading, TARGET.destinations), list_bytes(reading, PLACED_DESTINATIONS)
        table_rows = []
        for what, count, how_often in (
            ("a machine", ASSUMED.a_machine, f"{TARGET.machines_lost_per_day} a day"),
            ("a rack or switch", ASSUMED.rack, f"one in {TARGET.days_between_racks} days"),
            ("a zone", TARGET.zone, f"one in {TARGET.days_between_zones} days"),
            ("a wave of restarts", TARGET.wave, ""),
        ):
            table_rows.append(
                [
                    what,
                    f"{count:,}",
                    how_often,
                    number(count * TARGET.backlog_per_courier),
                    number(count * TARGET.events_per_courier),
                    number(count * TARGET.events_per_courier * known_s),
                    number(count * TARGET.events_per_courier * known_in_group_s),
                    number(count * COURIERS * transmissions),
                ]
            )
        return [
            *table(
                [
                    "lost",
                    "couriers",
                    "how often",
                    "events waiting there",
                    "events a second to be redirected",
                    f"events sent there until the loss is known, {amount(known_s, 's')}",
                    f"the same with groups of a zone, {amount(known_in_group_s, 's')}",
                    "membership updates sent",
                ],
                table_rows,
            ),
            f"Each of {COURIERS:,} members sends an update up to {number(transmissions)} times, piggybacked on other "
            "datagrams: the last column. Waiting events are held by the journal until the courier is back, or "
            "unavailable to the installation for as long as its disk is: nothing replicates them. Events sent there "
            "are its share until the loss is known, if clients learn of it when couriers do, which is an assumption; "
            "they are retried elsewhere.",
            "",
            f"A start with {TARGET.backlog_per_courier:,.0f} open messages takes "
            f"{amount(_start_time(reading, TARGET.destinations), 's')} with all {TARGET.destinations:,} destinations "
            f"listed, {amount(_start_time(reading, PLACED_DESTINATIONS), 's')} with those placed there. With one "
            f"restart every {number(TARGET.restart_interval)} s, "
            f"{number(_start_time(reading, TARGET.destinations) / TARGET.restart_interval)} couriers are starting at "
            f"any time, or {number(_start_time(reading, PLACED_DESTINATIONS) / TARGET.restart_interval)}.",
            "",
            f"A wave of {TARGET.wave} that fetches the full list moves {amount(TARGET.wave * full_bytes, 'bytes')}, "
            f"which takes the {TARGET.control_machines_per_region} machines of a region "
            f"{amount(TARGET.wave * full_bytes / TARGET.control_machines_per_region / ASSUMED.control_mb / 1e6, 's')} "
            f"at {number(ASSUMED.control_mb)} MB a second each; with the placed destinations only, it moves "
            f"{amount(TARGET.wave * placed_bytes, 'bytes')}. At its own {amount(TARGET.bytes_a_second, 'bytes')} a "
            f"second, one courier takes {amount(full_bytes / TARGET.bytes_a_second, 's')}, or "
            f"{amount(placed_bytes / TARGET.bytes_a_second, 's')}.",
            "",
            f"If a region's links fail for {amount(ASSUMED.region_link, 's')} (assumed), each side declares the other "
            f"dead: {TARGET.region:,} couriers consider {COURIERS - TARGET.region:,} dead, and these consider "
            f"{TARGET.region:,} dead. Each courier tries to reconnect to one dead member every "
            f"{members.RECONNECT_PERIODS} "
            f"periods, and forgets dead members after {amount(members.DEAD_RETENTION / 1e6, 's')}. Meanwhile each side "
            f"continues with its shares of limits, receives no observations from the other side, and lends it nothing.",
            "",
            f"A wave of {amount(TARGET.wave / COURIERS, 'share')} of the members that restart within a second was run "
            f"with up to {max(reading.fit('members-wave', 'known').means):,} members. Extrapolated to {COURIERS:,}: "
            f"the others know of all after {amount(reading.at('members-wave', 'known', COURIERS), 's')}, and these "
            f"know all after {amount(reading.at('members-wave', 'joined', COURIERS), 's')}; in groups of "
            f"{TARGET.zone}, {amount(reading.at('members-wave', 'known', TARGET.zone), 's')} and "
            f"{amount(reading.at('members-wave', 'joined', TARGET.zone), 's')}. A datagram has room for "
            f"{members.MAX_GOSSIPED_MEMBERS} members, and a courier sends about {MEMBER_DATAGRAMS_PER_PERIOD} a second "
            f"(a probe and an answer), so {TARGET.wave} updates take at least "
            f"{amount(TARGET.wave / members.MAX_GOSSIPED_MEMBERS / MEMBER_DATAGRAMS_PER_PERIOD, 's')} to be sent once "
            "by each.",
            "",
        ]

    return [
        "## The cost of losses",
        "",
        "Computed from the slopes above, extrapolated to the target, and from the assumptions.",
        "",
        *_guarded(lines),
    ]


def _lost_control_machines(reading: Reading) -> list[str]:
    left = TARGET.control_machines - TARGET.control_machines_per_region

    def lines() -> list[str]:
        cost_ms = reading.at("list-change", "teller", TARGET.destinations) / 1e3
        wire_bytes = reading.at("list-change", "wire", TARGET.destinations)
        missed = TARGET.changes_per_second * ASSUMED.long_outage
        return [
            "Sending all changes takes a machine "
            f"{amount(TARGET.changes_per_second * COURIERS / TARGET.control_machines * cost_ms, 'ms')} a second with "
            f"all machines, {amount(TARGET.changes_per_second * COURIERS / left * cost_ms, 'ms')} with {left}. A "
            f"courier that received nothing for {amount(ASSUMED.long_outage, 's')} lacks {number(missed)} changes, "
            f"{amount(missed * wire_bytes, 'bytes')}; {TARGET.region:,} of them at once need "
            f"{amount(missed * wire_bytes * TARGET.region, 'bytes')}, which takes "
            f"{amount(missed * wire_bytes * TARGET.region / left / ASSUMED.control_mb / 1e6, 's')} from {left} "
            "machines.",
            "",
        ]

    return [
        "## When a region's control machines are lost",
        "",
        f"The other {left} serve {number(COURIERS / left)} couriers each instead of "
        f"{number(TARGET.couriers_per_control_machine)}, "
        f"{number(COURIERS / left / TARGET.couriers_per_control_machine)} times as many. Today's couriers need none of "
        "them: shares of limits and membership continue among the couriers, lists and configuration stay as last "
        f"received. A region whose {TARGET.control_machines_per_region} brokers are lost receives no observations but "
        "those that its couriers piggyback within their groups, and no other region's brokers substitute for them: "
        "each courier judges endpoints by its own calls.",
        "",
        *_guarded(lines),
    ]


def _backlog(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        r = reading
        disk = r.at("open-message", "disk-each", TARGET.backlog_per_courier) * TARGET.backlog_per_courier
        memory = r.at("open-message", "memory", TARGET.backlog_per_courier)
        start = r.at("open-message", "start-wall", TARGET.backlog_per_courier)
        up_to = max(r.fit("open-message", "memory").means)
        unloaded_rate, backlog_rate = (
            served_per_second(r),
            1e6 * (1 - TARGET.core) / r.at("backlog-served", "cpu", TARGET.backlog_per_courier),
        )
        largest = max(r.fit("backlog-served", "cpu").means)
        spare = unloaded_rate - TARGET.events_per_courier
        per_destination = TARGET.backlog / TARGET.destinations_down
        spare_per_destination = TARGET.events_per_destination * (ASSUMED.headroom - 1)
        drained = (
            f"{amount(TARGET.backlog_per_courier / spare, 's')} beside {number(TARGET.events_per_courier)} a second"
            if spare > 0
            else f"never: it serves less than the {number(TARGET.events_per_courier)} a second that arrive"
        )
        return [
            f"{TARGET.backlog_per_courier:,.0f} open messages of a courier take {amount(disk, 'bytes')} of disk, "
            f"{amount(memory, 'MB')} of memory and {amount(start, 's')} of a start, measured up to {up_to:,} (factor "
            f"{number(TARGET.backlog_per_courier / up_to)}). All are in one journal, and all are held in memory: "
            f"{number(TARGET.memory_mb)} MB hold {number(_messages_that_fit(r, TARGET.memory_mb))}.",
            "",
            f"Deliveries slow down with the number of open messages: a message costs "
            f"{amount(r.at('backlog-served', 'cpu', largest), 'us')} of processor time among {largest:,}; extrapolated "
            f"(factor {number(TARGET.backlog_per_courier / largest)}) a core would serve {number(backlog_rate)} a "
            f"second, of {number(TARGET.events_per_courier)} that arrive: the backlog "
            + (
                "would not drain. "
                if backlog_rate <= TARGET.events_per_courier
                else "would drain in "
                f"{amount(TARGET.backlog_per_courier / (backlog_rate - TARGET.events_per_courier), 's')}. "
            )
            + f"At the cost of a message with next to nothing open, a core serves {number(unloaded_rate)} a second "
            f"beside the control plane, and the backlog drains in {drained}, if endpoints accept all messages. They do "
            "not: if all of it is for destinations that are down, a destination has "
            f"{number(per_destination)} events, and with a limit of {number(ASSUMED.headroom)} times its mean "
            f"{number(spare_per_destination)} a second to spare: "
            f"{amount(per_destination / spare_per_destination, 's')}, whatever couriers can do.",
            "",
        ]

    return ["## The backlog", "", *_guarded(lines)]


def _messages_that_fit(r: Reading, memory: float) -> float:
    """Return the number of open messages that ``memory`` MB hold."""
    fit = r.fit("open-message", "memory")
    return max(0.0, (memory - fit.a) / fit.b) if fit.b > 0 else math.inf


def _bursts(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        r = reading
        up_to = max(r.fit("list-change", "wire").means)
        wire_bytes, courier_us = r.at("list-change", "wire", up_to), r.at("list-change", "hearer", up_to)
        reload_ms = r.at("config-change", "hearer", TARGET.destinations)
        n = ASSUMED.burst_changes
        return [
            f"The users name no burst; {n:,} changes announced within one second are assumed, "
            f"{number(n / TARGET.changes_per_second)} times the mean. To each courier they are "
            f"{amount(n * wire_bytes, 'bytes')}, {amount(n * wire_bytes / TARGET.bytes_a_second, 's')} of its "
            f"{amount(TARGET.bytes_a_second, 'bytes')} a second, and {amount(n * courier_us, 'us')} of its processor "
            f"time, {amount(n * courier_us / 1e3 / TARGET.processor_ms, 's')} of what the control plane may use (at "
            f"{up_to:,} listed); to all {COURIERS:,} {amount(n * wire_bytes * COURIERS, 'bytes')}, "
            f"{amount(n * wire_bytes * COURIERS / TARGET.control_machines / ASSUMED.control_mb / 1e6, 's')} from "
            f"{TARGET.control_machines} machines. If each change is sent only to the {ASSUMED.placed} couriers "
            f"interested in its destination, a courier receives {number(n * ASSUMED.placed / COURIERS)} of them.",
            "",
            f"A configuration in a file that is read as a whole costs {amount(reload_ms, 'ms')} of processor time "
            f"per change with {TARGET.destinations:,} destinations in it: "
            f"{number(reload_ms / 1e3 * TARGET.changes_per_second)} s in each second at the mean of "
            f"{number(TARGET.changes_per_second)}. It is then read once for several changes, and late.",
            "",
        ]

    return ["## Bursts of changes", "", *_guarded(lines)]


@dataclass(frozen=True)
class PublishedSystem:
    """A published system, and which of its ideas fit here."""

    system: str
    shows: str
    here: str


def _published_systems(reading: Reading) -> list[str]:
    systems = [
        PublishedSystem(
            "Consul: two levels of gossip, servers and agents",
            "an agent never talks to all",
            f"couriers in groups of a zone ({TARGET.zone}), a few of each known elsewhere; used for members. Servers "
            f"that hold all: {COURIERS:,} members take little memory, but their observations do not",
        ),
        PublishedSystem(
            "Doorman: shares leased from a hierarchy",
            "sums kept by leases, a safe share for a client that receives nothing",
            f"used for limits shared by many; where {ASSUMED.placed} share one, they can lend among themselves",
        ),
        PublishedSystem(
            "Slicer, Shard Manager: key ranges assigned",
            "the data path continues with the last assignment",
            "not first: rendezvous hashing needs no controller; an assignment balances load better, and may come later",
        ),
        PublishedSystem(
            "Configerator: a tree of relays",
            "push along a tree, cache on disk, monotonic versions",
            f"used for configuration: {COURIERS:,} copies of a change cost a relay only as many as it has children",
        ),
        PublishedSystem(
            "Envoy's delta discovery: subscriptions",
            "interest instead of broadcast",
            f"used for lists and for observations: {number(PLACED_DESTINATIONS)} destinations instead of "
            f"{TARGET.destinations:,}",
        ),
        PublishedSystem(
            "Kubernetes' hollow nodes",
            "real control code, no work, many in a process",
            "used for the next measurement; at one size against real processes before it is trusted",
        ),
        PublishedSystem(
            "Shuffle sharding",
            "a bad destination affects only a few workers",
            f"used for placement: {ASSUMED.placed} of {COURIERS:,}, and the client's side must do it",
        ),
    ]
    return [
        "## Comparison with published systems",
        "",
        "As remembered from publications of their makers; none of their figures is used here.",
        "",
        *table(["system", "what it shows", "here"], [(each.system, each.shows, each.here) for each in systems]),
        "Observations and lists by interest help only if a destination's events reach few couriers. With events "
        f"spread evenly, each courier gets an event for each destination once in "
        f"{amount(TARGET.seconds_between_encounters, 's')}: all are interested in all {TARGET.destinations:,}. Placed "
        f"on {ASSUMED.placed}, a courier is interested in {number(PLACED_DESTINATIONS)}. So the other mechanisms "
        f"depend on placement at the client's side ({MECHANISM_STATUS[Mechanism.PLACED]}); a courier can still be "
        "given a message for any destination, and then serves it like one that receives no observations.",
        "",
    ]


def _ranking(evaluated: list[Result], not_evaluated_count: int) -> list[str]:
    order = ranked(evaluated)
    rows = []
    for rank, each in enumerate(order, 1):
        same_mechanism = [
            one for one in evaluated if one.row.mechanism is each.row.mechanism and not one.row.hypothetical
        ]
        exceeded = [one for one in same_mechanism if one.ratio > 1]
        control_exceeded = [one for one in exceeded if one.row.bound_name in CONTROL_PLANE_BOUNDS]
        remaining = max(
            (one.remaining_ratio for one in same_mechanism if one.remaining_ratio is not None), default=None
        )
        rows.append(
            [
                str(rank),
                str(each.row.mechanism),
                f"**{MECHANISM_STATUS[each.row.mechanism]}**",
                f"{each.row.role}: {each.row.what}",
                times(each.ratio),
                "" if remaining is None else times(remaining),
                f"{len(exceeded)} of {len(same_mechanism)}",
                str(len(control_exceeded)),
            ]
        )
    lines = [
        "## Ranking: load over bound, the worst first",
        "",
        "Hypothetical rows are left out. Rows above the control plane's bounds (processor time, memory, bytes of a "
        "courier) are counted separately.",
        "",
        *table(
            [
                "",
                "mechanism",
                "",
                "its worst row",
                "ratio",
                "worst with it",
                "rows above their bound",
                "of them above a control plane bound",
            ],
            rows,
        ),
        "Rows above what the control plane may use of a courier, the worst first:",
        "",
    ]
    control = [
        each
        for each in evaluated
        if each.row.bound_name in CONTROL_PLANE_BOUNDS and each.ratio > 1 and not each.row.hypothetical
    ]
    control.sort(key=lambda each: -each.ratio)
    lines += table(
        ["row", "at the target", "bound", "ratio", "with it"],
        [
            (
                f"{each.row.role}, {each.row.kind}: {each.row.what}",
                amount(each.load, each.row.unit),
                f"{amount(each.bound, each.row.unit)}, {each.row.bound_name}",
                times(each.ratio),
                _remaining(each),
            )
            for each in control
        ],
    )
    if not_evaluated_count:
        return [
            *lines,
            f"The ranking is incomplete, so no priority is derived from it: {not_evaluated_count} rows lack a slope.",
            "",
        ]
    return lines + _built_first(order, evaluated)


def _built_first(order: list[Result], evaluated: list[Result]) -> list[str]:
    """Explain the choice of what is built first, as far as the ranking supports it."""
    ranks = {each.row.mechanism: n for n, each in enumerate(order, 1)}
    top = order[0]
    worst_observations = next(each for each in order if each.row.mechanism is Mechanism.WORDS)
    worst_groups = next(each for each in order if each.row.mechanism is Mechanism.GROUPS)
    exceeded = [
        each
        for each in evaluated
        if each.row.mechanism is Mechanism.GROUPS and each.ratio > 1 and not each.row.hypothetical
    ]
    control = max(
        (each for each in evaluated if each.row.bound_name in CONTROL_PLANE_BOUNDS and not each.row.hypothetical),
        key=lambda each: each.ratio,
    )
    sent = next(
        (each for each in evaluated if each.row.bound_name == BYTES and each.row.mechanism is Mechanism.WORDS), None
    )
    lines = [f"**Built first: {BUILT_FIRST[0]}, and {BUILT_FIRST[1]}.**", ""]
    if top.row.mechanism in BUILT_FIRST:
        lines += [f"The ranking supports it: {top.row.mechanism} is the worst, {times(top.ratio)} times its bound.", ""]
    else:
        lines += [
            f"The ranking alone does not support it: by ratio the worst is {top.row.mechanism} ({times(top.ratio)}), "
            f"observations have rank {ranks[Mechanism.WORDS]} ({times(worst_observations.ratio)}), members have rank "
            f"{ranks[Mechanism.GROUPS]} ({times(worst_groups.ratio)}). Of what the control plane may use of a courier, "
            f"the worst is {control.row.what} ({times(control.ratio)} times its {control.row.bound_name}; "
            f"{control.row.mechanism}). It is built first all the same, for three reasons:",
            "",
        ]
    load = max(
        (
            each
            for each in evaluated
            if each.row.mechanism is Mechanism.GROUPS and each.row.bound_name in CONTROL_PLANE_BOUNDS
        ),
        key=lambda each: each.ratio,
    )
    slowest = max((each for each in exceeded if each.row.kind == "time"), key=lambda each: each.ratio, default=None)
    findings = (
        f"The control plane's bounds do not exclude all couriers in one group: at {COURIERS:,} the worst is "
        f"{load.row.kind}, {times(load.ratio)} of its bound. "
        if load.ratio <= 1
        else f"The control plane's bounds exclude that, too: {load.row.kind}, {times(load.ratio)} times its bound. "
    )
    if slowest is not None:
        findings += f"Time does: {slowest.row.what} it takes {amount(slowest.load, slowest.row.unit)}"
        if slowest.remaining_ratio is not None and not callable(slowest.row.bound):
            findings += (
                f", in a group of {TARGET.zone} {amount(slowest.remaining_ratio * slowest.bound, slowest.row.unit)}"
            )
        findings += "."
        if slowest.remaining_ratio is not None and slowest.remaining_ratio > 1:
            findings += (
                f" That is still {times(slowest.remaining_ratio)} times its bound: groups alone are not enough; at a "
                "start, a courier must get the members at once from one that knows them, and not piggybacked on probes."
            )
    lines += [
        f"1. Members come before all else. Beyond {MAX_MEMBERS:,} of {COURIERS:,} the code refuses more, and beyond "
        f"{seal.MAX_SENDERS:,} it drops their datagrams; loans, observations and counters go to members only. So no "
        "other "
        f"mechanism among couriers can be used or tried at the target before that. {len(exceeded)} rows of members are "
        f"above their bound, and placement helps none of them. {findings}",
        "2. "
        + (
            f"Observations are the worst user of a courier's bytes: {times(sent.ratio)} times the bound when sent to "
            f"all, {times(sent.remaining_ratio or 0)} times when sent only to the {ASSUMED.placed} couriers interested "
            f"in a destination. "
            if sent is not None
            else ""
        )
        + "Couriers share these bytes for all communication: too many of them delay the probes and answers that "
        "members, loans and counters depend on.",
        "3. The mechanisms ranked above depend on the same question: which couriers are interested in a destination. "
        "These share a limit, receive a list and keep a counter; brokers found by hashing answer the question without "
        "a controller. With the answer, and events placed, the ratios fall to those of the column 'worst with it'.",
    ]
    others = [each for each in order if each.row.mechanism not in BUILT_FIRST]
    lines += [
        "",
        "Not built first, though ranked: "
        + "; ".join(f"{each.row.mechanism} ({times(each.ratio)})" for each in others if each.ratio > 1)
        + ". Placement belongs to another program, on the client's side: a courier can't choose which messages it is "
        "given, it can only benefit. Lists, counters and limits by interest depend on the same question, which "
        "couriers are interested in a destination, and on who answers it: brokers found by hashing do, so they come "
        "before these. The backlog is internal to a courier and can be built independently.",
        "",
    ]
    return lines


def _pairs(reading: Reading) -> list[str]:
    lines = ["## Before and after a mechanism", ""]
    any_measured = False
    for before, after in BEFORE_AFTER_PAIRS:
        if not {before, after} <= reading.slopes.keys():
            continue
        try:
            shared = [figure for figure in reading.slopes[before].figures if figure in reading.slopes[after].figures]
            fits = {figure: (reading.fit(before, figure), reading.fit(after, figure)) for figure in shared}
        except SlopeNotMeasured:
            continue
        any_measured = True
        table_rows = []
        for figure, (old_fit, new_fit) in fits.items():
            unit = reading.slopes[before].figures[figure]
            sizes = sorted(set(old_fit.means) & set(new_fit.means))
            for size in [*sizes, COURIERS]:
                old, new = old_fit.at(size), new_fit.at(size)
                note = (
                    "" if size in sizes else f" (extrapolated, factors {number(old.factor)} and {number(new.factor)})"
                )
                table_rows.append(
                    [
                        figure,
                        f"{size:,}{note}",
                        amount(old.value, unit),
                        amount(new.value, unit),
                        times(new.value / old.value) if old.value else "",
                    ]
                )
        lines += [
            f"### {before}, then {after}",
            "",
            *table(["figure", reading.slopes[before].size_unit, "before", "after", "ratio"], table_rows),
        ]
    return lines if any_measured else [*lines, "None is built and measured yet.", ""]


def _limitations(rows: list[MeasuredRun], slopes: dict[str, Slope]) -> list[str]:
    largest = max((row.size for row in rows if row.setting == "modelled network"), default=0)
    delay = Faults().delay
    lines = [
        f"- The modelled network was run with up to {largest:,} members: larger sizes are extrapolated by a line or a "
        "power, and a protocol may behave differently there. No run had a load of messages beside it.",
        f"- Modelled delays are {amount(delay[0] / 1e6, 's')} to {amount(delay[1] / 1e6, 's')} and "
        f"{amount(Faults().loss, 'share')} of datagrams are lost: real regions are farther apart, and lose datagrams.",
        "- Names on the modelled network are short (n0, n1): real membership updates are longer, as they are with the "
        f"pure module ({SimulatedFleet._update(0).name}).",
        "- Observations are measured one at a time: several at once share datagrams, so many may cost less each than "
        "the row says; their number alone rules out that they fit.",
        "- The cost of receiving in a real courier, that is the kernel's part of a datagram and its buffers, is in no "
        "slope.",
        "- A wave of restarts was run for members only: not with lists, journals and clients, and not for a whole zone "
        "lost for good.",
        "- The load of brokers when one of them is lost, and how fast an order by hash settles after losses, is in no "
        "slope; the row on observations includes neither what arrives from other regions' brokers nor what many "
        "observations share of a datagram and a tick.",
        "- Limits, sizes and rates of destinations are uniform here. Real ones are not: a few have most of the events.",
        "- How events reach couriers today, and what a client knows of couriers, is not part of this program: of the "
        "client's side only the cost of placement and of knowing couriers is here, and of member systems only what "
        "couriers send them.",
        "- No bound for a courier's memory and disk beside the control plane is known; nor a burst, nor a rack; see "
        "the assumptions.",
        "- Times on the model are multiples of its steps: a courier ticks there every "
        f"{amount(TICK_INTERVAL / 1e6, 's')}, and no datagram waits for a busy process.",
        "- Processor time was measured on the machine named above, with other work on other cores.",
    ]
    return ["## Limitations", "", *lines, *(f"- Not measured: {each}." for each in find_problems(rows, slopes)[:5])]
