"""Renders docs/CAPACITY.md from the measured rows and the target. No figure of it is typed by hand."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import mean

from benchmarks.capacity import Row as Measured
from benchmarks.capacity import find_problems
from benchmarks.capacity_peers import CALLS, LOAD, RESTART_EVERY, Played
from benchmarks.capacity_roles import (
    BYTES,
    CONTROL,
    FAILS,
    FIRST,
    LENT_FROM,
    LIMIT,
    MEMORY,
    MOST_MEMBERS,
    PLACED_EACH,
    STAND,
    A,
    By,
    N,
    NotMeasured,
    Reading,
    Result,
    Role,
    T,
    capacity,
    listing,
    ranked,
    results,
)
from benchmarks.slope import Slope
from benchmarks.target import LOOKED, LOOKED_HOLLOW_GB, LOOKED_MOST, LOOKED_WORD_MINUTES
from kestrelspar.lab.model import TICK, Faults
from kestrelspar.peers import counts, judgements, members, seal, shares
from kestrelspar.peers.shares import spanned

OF_CONTROL = (CONTROL, MEMORY, BYTES)
SAID = 2  # datagrams on members that a courier sends in a period: its question, and an answer to another's
NEAR = 1.5  # within this factor a figure that was looked at before counts as confirmed
PAIRS = (
    ("word", "word-brokered"),
    ("members", "members-grouped"),
    ("members-churn", "members-churn-grouped"),
    ("members-wave", "members-wave-grouped"),
)


def number(value: float) -> str:
    """Three figures, thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 100 or float(value).is_integer():
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def amount(value: float, unit: str) -> str:
    """A figure with its unit, in the one that reads best."""
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
        least = 2 * scale if name in ("days", "h", "min") else scale
        if abs(value) >= least or (scale, name) == scales[unit][-1]:
            return f"{number(value / scale)} {name}".strip()
    raise AssertionError(unit)


def times(ratio: float) -> str:
    """A ratio of need to bound."""
    return number(float(f"{ratio:.2g}"))


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Markdown."""
    return [
        "| " + " | ".join(head) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
        *("| " + " | ".join(row) + " |" for row in rows),
        "",
    ]


def far(used: dict[str, tuple[int, float, str]]) -> str:
    """Up to which sizes a figure was measured, and how far it is carried on."""
    if not used:
        return "worked out, not measured"
    return "; ".join(
        f"{name} up to {up_to:,}, factor {number(float(f'{factor:.2g}'))}"
        + (" (modelled)" if setting == "modelled network" else "")
        for name, (up_to, factor, setting) in used.items()
    )


def render(rows: list[Measured], slopes: dict[str, Slope]) -> str:
    """The whole page."""
    reading = Reading(slopes, rows)
    found, lacking = results(reading)
    parts: list[list[str]] = [
        _head(rows, slopes),
        _target(),
        _slopes(reading, rows, slopes),
        _looked(reading),
        _roles(found, lacking),
        _grouped(reading),
        _losses(reading),
        _gone(reading),
        _backlog(reading),
        _bursts(reading),
        _weighed(reading),
        _ranking(found, len(lacking)),
        _pairs(reading),
        _unknown(rows, slopes),
    ]
    return "\n".join(line for part in parts for line in part).rstrip() + "\n"


def _guarded(lines: Callable[[], list[str]]) -> list[str]:
    try:
        return lines()
    except NotMeasured as error:
        return [f"Not worked out: the slope {error} is not measured.", ""]


def _head(rows: list[Measured], slopes: dict[str, Slope]) -> list[str]:
    machines = sorted({row.machine for row in rows})
    commits = sorted({row.commit for row in rows})
    days = sorted({row.date[:10] for row in rows})
    lacks = find_problems(rows, slopes)
    return [
        "# Slopes to the target",
        "",
        "Rendered by `python -m benchmarks.capacity page` from benchmarks/capacity.json and benchmarks/target.py; a "
        "test "
        "fails where this page and these differ. Not edited by hand: no figure here is typed.",
        "",
        f"Measured on {', '.join(days) or 'no day'} by `python -m benchmarks.capacity measure`: {len(rows)} runs of "
        f"{len({row.name for row in rows})} slopes, each run in a process of its own, of the program "
        f"at commits {', '.join(commits) or 'none'} (a + where files differed from the commit). Machines: "
        f"{'; '.join(machines) or 'none'}.",
        "",
        "Three settings. **Real process**: a courier as it is deployed, stand-ins on loopback. **Modelled network**: "
        "all "
        "couriers' pure modules in one process on a stepped clock; processor time there has the model's own in it, and "
        "one machine's caches hold what many machines would. **Pure module**: one courier's modules alone, others only "
        "played, so their number can be the target's.",
        "",
        *(
            [
                f"Not whole: {len(lacks)} runs are missing, "
                f"of {', '.join(sorted({each.split(':')[0] for each in lacks}))}.",
                "",
            ]
            if lacks
            else []
        ),
    ]


def _target() -> list[str]:
    said = [
        (
            "couriers",
            f"{T.couriers:,} in {T.regions} regions with {T.zones} zones: {T.zone:,} a zone, {T.region:,} a region",
        ),
        ("events", f"{T.events_a_second:,} a second: {number(T.events_each)} a courier"),
        (
            "destinations",
            f"{T.destinations:,}; {amount(T.down, 'share')} down at any time: {T.destinations_down:,}; "
            f"{number(T.events_of_one)} events a second for one",
        ),
        ("backlog", f"{T.backlog:,} events: {T.backlog_each:,.0f} a courier"),
        (
            "configuration",
            f"{T.changes_a_day:,} changes a day, {number(T.changes_a_second)} a second in the mean, in "
            f"force "
            f"everywhere within {amount(T.in_force, 's')}",
        ),
        (
            "control at a courier",
            f"{amount(T.core, 'share')} of a core ({number(T.processor_ms)} ms a second), "
            f"{number(T.memory_mb)} MB, {amount(T.bytes_a_second, 'bytes')} a second at most",
        ),
        (
            "control machines",
            f"{T.control_machines}, {T.control_a_region} a region, {number(T.couriers_a_control)} couriers each",
        ),
        (
            "failures",
            f"{T.machines_lost_a_day} machines a day; {T.restarts_a_day:,} restarts or replacements a day, "
            f"one "
            f"in {number(T.restart_every)} s; a rack or switch each {T.days_between_racks} days; a zone each "
            f"{T.days_between_zones} days; regions lose each other for minutes; {T.wave} couriers gone at "
            f"once",
        ),
    ]
    assumed = [(name, number(getattr(A, name)), reason) for name, reason in A.REASONS.items()]
    return [
        "## The target",
        "",
        *table(["what", "figure"], said),
        f"Spread evenly, a courier meets each destination once in {amount(T.meets_every, 's')}; of its "
        f"{number(T.events_each)} events a second {number(FAILS)} go to one that is down. Placed on {A.placed} "
        f"couriers "
        f"each, a courier holds {number(PLACED_EACH)} destinations, {number(PLACED_EACH * T.down)} of them down.",
        "",
        "Nobody said these; they are **assumptions** of this page (`Assumed` in benchmarks/target.py):",
        "",
        *table(["assumed", "figure", "what it is"], assumed),
    ]


def _slopes(reading: Reading, rows: list[Measured], slopes: dict[str, Slope]) -> list[str]:
    lines = [
        "## Slopes",
        "",
        "Means over runs, least and most in brackets. Fits by least squares on the means: a line a + b n, and a power "
        "c n^k. The line is taken, unless k is clearly above 1 and the power nearer; a figure that falls with the "
        "size is "
        "held at its last mean. 'Off' is the root of the mean square of what the fit taken is off, by the mean. A "
        "figure "
        "that was cut off, by the end of the run or by the bound on bytes, is shown, and no fit is made of it.",
        "",
    ]
    for slope in slopes.values():
        mine = [row for row in rows if row.name == slope.name]
        lines += [f"### {slope.name} ({slope.setting}, by {slope.by})", "", slope.doc.rstrip(".") + ".", ""]
        if not mine:
            lines += ["Not measured yet.", ""]
            continue
        sizes = sorted({row.size for row in mine})
        told = []
        for figure, unit in slope.figures.items():
            cells = []
            for size in sizes:
                there = [row.figures for row in mine if row.size == size and figure in row.figures]
                cut = not all(slope.whole(figure, each) for each in there)
                cells.append(("cut off: " if cut else "") + _cell([each[figure] for each in there], unit))
            told.append([figure, *cells, *_fitted(reading, slope, figure, unit)])
        lines += table(["figure", *(f"{size:,}" for size in sizes), "line", "power", "taken, off"], told)
    return lines


def _cell(values: list[float], unit: str) -> str:
    if not values:
        return "not measured"
    least, most = amount(min(values), unit), amount(max(values), unit)
    return amount(mean(values), unit) + (f" ({least} to {most})" if least != most else "")


def _fitted(reading: Reading, slope: Slope, figure: str, unit: str) -> tuple[str, str, str]:
    try:
        told = reading.fit(slope.name, figure)
    except NotMeasured:
        return "", "", "one size only"
    sign = "-" if told.b < 0 else "+"
    power = f"{told.c:.3g} n^{told.k:.2f}" if told.k else "none"
    return (f"{told.a:.3g} {sign} {abs(told.b):.3g} n", power, f"{told.kind}, {amount(round(told.off, 4), 'share')}")


def _looked(reading: Reading) -> list[str]:
    lines = [
        "## What was looked at before, and what was found",
        "",
        "Looked at by the users, one run each beside other load. Confirmed is what is within a factor of "
        f"{number(NEAR)}. Found here is the mean of runs on the machine named above.",
        "",
    ]
    told = []
    for look in LOOKED:
        try:
            value = reading.fit(look.slope, look.figure)
        except NotMeasured:
            told.append([look.what, f"{look.size:,}", amount(look.value, look.unit), "not measured yet", ""])
            continue
        here, raw = (
            value.at(look.size),
            [row.figures[look.figure] for row in reading.rows if (row.name, row.size) == (look.slope, look.size)],
        )
        found = mean(raw) if raw else here.value
        ratio = found / look.value
        near = 1 / NEAR <= ratio <= NEAR
        says = (
            "confirmed"
            if near
            else f"corrected: {times(ratio)} times as much"
            if ratio > 1
            else f"corrected: {amount(ratio, 'share')} of it"
        )
        measured = "" if raw else f" (measured up to {here.up_to:,}, fitted)"
        told.append(
            [look.what, f"{look.size:,}", amount(look.value, look.unit), amount(found, look.unit) + measured, says]
        )
    lines += table(["what", "size", "looked at", "found here", ""], told)
    lines += _guarded(lambda: _lookings(reading))
    return lines


def _lookings(reading: Reading) -> list[str]:
    """What was said of the target itself."""

    def confirmed(value: float, looked: float) -> str:
        return "confirmed" if 1 / NEAR <= value / looked <= NEAR else "corrected"

    told = reading.at("word-alone", "told", N)
    last = reading.at("word-alone", "last", N)
    each = reading.each("word", "sent", 1)
    alone = reading.at("member-alone", "memory", N)
    minutes = "corrected" if told < N - 1 or each * N / T.bytes_a_second < 60 * LOOKED_WORD_MINUTES else "confirmed"
    share = LIMIT / N
    served = reading.fit("budgets", "served").means
    few, many = min(served), max(served)
    largest = max(reading.fit("members", "processor").means)
    model = reading.at("members", "processor", largest)
    one = reading.at("member-alone", "processor", largest)
    told_all = reading.at("members-churn", "processor", largest)
    lines = [
        f"- *One word takes its witness minutes at {N:,}*: {minutes}. A member costs it {number(each)} bytes, so all "
        f"would "
        f"take {amount(each * N / T.bytes_a_second, 's')} of its {amount(T.bytes_a_second, 'bytes')} a second; but a "
        f"word "
        f"on a failure is told for {amount(judgements.FRESH / 1e6, 's')} only, then it is too old. At {N:,} members "
        f"{number(told)} hear of it, the last after {amount(last, 's')}, and the others never.",
        f"- *Membership at rest costs more and more processor time*: {largest:,} members are not at rest by then, "
        f"starts are "
        f"still passed on: {amount(model, 'ms')} a second each. Told of all beforehand, and with a restart each "
        f"{amount(RESTART_EVERY / 1e6, 's')}, they take {amount(told_all, 'ms')} on the model, the model's own in it. "
        f"One "
        f"courier alone that knows {largest:,} takes {amount(one, 'ms')}, at {N:,} "
        f"{amount(reading.at('member-alone', 'processor', N), 'ms')}.",
        f"- *All {N:,} hollow in one process take over {amount(LOOKED_HOLLOW_GB * 1e3, 'MB')}*: "
        f"{confirmed(alone * N / 1e3, LOOKED_HOLLOW_GB)}, {amount(alone, 'MB')} each, {amount(alone * N, 'MB')} "
        f"together.",
        f"- *Members beyond {LOOKED_MOST:,} are refused*: {confirmed(MOST_MEMBERS, LOOKED_MOST)} by the code, "
        f"{MOST_MEMBERS:,}. Two more bounds follow: the "
        f"sequence of {seal.SENDERS:,} senders is held and datagrams of others are dropped, and counts of "
        f"{counts.HELD:,} couriers.",
        f"- *A limit shared evenly leaves each less than a call*: confirmed, {number(share)} of a call a second of a "
        f"limit "
        f"of {number(LIMIT)}; the span is made longer for it, to {amount(spanned(LIMIT, N)[1] / 1e6, 's')}. And of a "
        f"part "
        f"under {LENT_FROM} calls nothing is lent ({amount(shares.LEND, 'share')} of it, rounded down): of {CALLS} "
        f"calls a second, half of a load of {LOAD} at one "
        f"courier, {amount(served[few], 'share')} of the messages are served at {few} members, "
        f"{amount(served[many], 'share')} at {many}.",
        "",
    ]
    return lines


def _roles(found: list[Result], lacking: list[tuple[object, str]]) -> list[str]:
    lines = [
        "## What each role must bear at the target",
        "",
        "'Ratio' is need over bound, with events spread evenly over couriers, as now: above 1 the bound forbids "
        "it. "
        "'With it' is the ratio that the row's mechanism leaves by the same slopes, with a destination's events "
        f"placed on {A.placed} couriers where it stands on that, and members in groups of {T.zone}; what the "
        "mechanism itself costs is not in it. Empty: not known.",
        "",
    ]
    for role in Role:
        rows = [
            [
                f"{each.row.kind}: {each.row.what}" + (f" (if {each.row.supposed})" if each.row.supposed else ""),
                each.row.how,
                amount(each.need, each.row.unit),
                far(each.used),
                f"{amount(each.bound, each.row.unit)} ({each.row.by_bound})",
                times(each.ratio),
                _left(each),
                f"{each.row.by}: **{STAND[each.row.by]}**",
            ]
            for each in found
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
            lines += _together(found)
        for row, name in lacking:
            if row.role is role:  # type: ignore[attr-defined]
                lines += [f"Not worked out: {row.what}, as the slope {name} is not measured.", ""]  # type: ignore[attr-defined]
    return lines


def _left(result: Result) -> str:
    return "" if result.left is None else times(result.left)


def _together(found: list[Result]) -> list[str]:
    """All of control at one courier against what it may take."""
    told = []
    for bound, unit, most in (
        (MEMORY, "MB", T.memory_mb),
        (CONTROL, "ms", T.processor_ms),
        (BYTES, "bytes", float(T.bytes_a_second)),
    ):
        rows = [each for each in found if each.row.by_bound == bound and not each.row.supposed]
        need, left = sum(each.need for each in rows), sum((each.left or 0.0) * each.bound for each in rows)
        told.append(
            [
                bound,
                str(len(rows)),
                amount(need, unit),
                amount(most, unit),
                times(need / most),
                amount(left, unit),
                times(left / most),
            ]
        )
    return [
        "All of these rows together, at one courier:",
        "",
        *table(["", "rows", "at the target", "bound", "ratio", "with the mechanisms", "ratio"], told),
    ]


def _grouped(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        told = []
        for what, name, figure, unit in (
            ("memory of members", "member-alone", "memory", "MB"),
            ("processor time a second", "member-alone", "processor", "ms"),
            ("bytes a second", "member-alone", "sent", "bytes"),
            ("until all are known", "members", "all-known", "s"),
            ("until a loss is known", "members-churn", "loss-known", "s"),
        ):
            small, large = reading.at(name, figure, T.zone), reading.at(name, figure, N)
            told.append([what, amount(small, unit), amount(large, unit), times(large / small) if small else ""])
        return [
            f"What groups of a zone ({T.zone:,} couriers) would leave of this, by the same slopes; what a group "
            f"says "
            "to other groups (words, by brokers) is not in it:",
            "",
            *table(["what", f"{T.zone:,} members", f"{N:,} members", "times"], told),
        ]

    return ["### Groups that follow zones", "", *_guarded(lines)]


def _starts(r: Reading, listed: float) -> float:
    """A start: its own, its list, its backlog."""
    base = r.fit("listed", "start-wall").at(min(r.fit("listed", "start-wall").means)).value
    return r.at("listed", "start-wall", listed) + max(0.0, r.at("open-message", "start-wall", T.backlog_each) - base)


def _losses(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        known = reading.at("members-churn", "loss-known", N)
        near = reading.at("members-churn", "loss-known", T.zone)
        say = int(members.TELL * math.log2(N + 2))
        whole, part = listing(reading, T.destinations), listing(reading, PLACED_EACH)
        told = []
        for what, count, how_often in (
            ("a machine", A.a_machine, f"{T.machines_lost_a_day} a day"),
            ("a rack or switch", A.rack, f"one in {T.days_between_racks} days"),
            ("a zone", T.zone, f"one in {T.days_between_zones} days"),
            ("a wave of restarts", T.wave, ""),
        ):
            told.append(
                [
                    what,
                    f"{count:,}",
                    how_often,
                    number(count * T.backlog_each),
                    number(count * T.events_each),
                    number(count * T.events_each * known),
                    number(count * T.events_each * near),
                    number(count * N * say),
                ]
            )
        return [
            *table(
                [
                    "lost",
                    "couriers",
                    "how often",
                    "events that wait there",
                    "events a second to go elsewhere",
                    f"events that meet it until {amount(known, 's')}, the loss known",
                    f"the same with groups of a zone, {amount(near, 's')}",
                    "words on members passed on",
                ],
                told,
            ),
            f"Each of {N:,} members passes a change on up to {number(say)} times, along with other datagrams: the last "
            "column. Events that wait are held by the journal until the courier is back, or lost to the installation "
            "for as long as its disk is: nothing copies them. Events that meet a loss are those of its share until "
            "then, where clients learn of it when couriers do, which is an assumption; they are tried elsewhere.",
            "",
            f"A start with {T.backlog_each:,.0f} open messages takes {amount(_starts(reading, T.destinations), 's')} "
            f"with all "
            f"{T.destinations:,} destinations listed, {amount(_starts(reading, PLACED_EACH), 's')} with those placed "
            f"there. "
            f"With one restart in {number(T.restart_every)} s, "
            f"{number(_starts(reading, T.destinations) / T.restart_every)} couriers are starting at any time, or "
            f"{number(_starts(reading, PLACED_EACH) / T.restart_every)}.",
            "",
            f"A wave of {T.wave} that fetches the list whole moves {amount(T.wave * whole, 'bytes')}, from "
            f"{T.control_a_region} machines of a region "
            f"{amount(T.wave * whole / T.control_a_region / A.control_mb / 1e6, 's')}"
            f" at {number(A.control_mb)} MB a second each; with what is placed there "
            f"{amount(T.wave * part, 'bytes')}. At its own {amount(T.bytes_a_second, 'bytes')} a "
            f"second one courier takes {amount(whole / T.bytes_a_second, 's')}, or "
            f"{amount(part / T.bytes_a_second, 's')}.",
            "",
            f"A region whose links are gone for {amount(A.region_link, 's')} (assumed): each side buries the other. "
            f"{T.region:,} couriers hold {N - T.region:,} for dead and "
            f"these "
            f"hold {T.region:,}; dead ones are tried again one each {members.MEET_EVERY} periods by each courier, and "
            "forgotten after "
            f"{amount(members.KEEP_DEAD / 1e6, 's')}. Meanwhile each side goes on with its parts of limits, hears no "
            f"words of the other's, and lends it nothing.",
            "",
            f"A wave of {amount(T.wave / N, 'share')} of the members that restart within a second was played up to "
            f"{max(reading.fit('members-wave', 'known').means):,} members. Carried on to {N:,}: the others know of "
            f"all after "
            f"{amount(reading.at('members-wave', 'known', N), 's')}, and these know all after "
            f"{amount(reading.at('members-wave', 'joined', N), 's')}; in groups of {T.zone}, "
            f"{amount(reading.at('members-wave', 'known', T.zone), 's')} and "
            f"{amount(reading.at('members-wave', 'joined', T.zone), 's')}. A datagram has room for {members.ROOM} "
            f"members, and "
            f"a courier sends about {SAID} a second (a question, an answer), so {T.wave} changes take "
            f"{amount(T.wave / members.ROOM / SAID, 's')} at the least to be passed on once by each.",
            "",
        ]

    return [
        "## What losses cost",
        "",
        "Worked out from the slopes above, carried on to the target, and the assumptions.",
        "",
        *_guarded(lines),
    ]


def _gone(reading: Reading) -> list[str]:
    left = T.control_machines - T.control_a_region

    def lines() -> list[str]:
        one = reading.at("list-change", "teller", T.destinations) / 1e3
        wire = reading.at("list-change", "wire", T.destinations)
        missed = T.changes_a_second * A.long_outage
        return [
            f"Telling all changes takes a machine {amount(T.changes_a_second * N / T.control_machines * one, 'ms')} "
            f"of a "
            f"second with all there, {amount(T.changes_a_second * N / left * one, 'ms')} with {left}. A courier that "
            f"heard "
            f"nothing for {amount(A.long_outage, 's')} lacks {number(missed)} changes, "
            f"{amount(missed * wire, 'bytes')}; "
            f"{T.region:,} of them at once {amount(missed * wire * T.region, 'bytes')}, "
            f"{amount(missed * wire * T.region / left / A.control_mb / 1e6, 's')} from {left} machines.",
            "",
        ]

    return [
        "## When a region's control machines are gone",
        "",
        f"The other {left} carry {number(N / left)} couriers each instead of {number(T.couriers_a_control)}, "
        f"{number(N / left / T.couriers_a_control)} times as many. Today's couriers need none of them: parts of "
        f"limits and members go on among themselves, lists and configuration stay as last heard. A region whose "
        f"{T.control_a_region} brokers are gone hears no words but those that its couriers say along in their "
        "groups, and no other region's brokers stand in: each courier judges endpoints by its own calls.",
        "",
        *_guarded(lines),
    ]


def _backlog(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        r = reading
        disk = r.at("open-message", "disk-each", T.backlog_each) * T.backlog_each
        memory = r.at("open-message", "memory", T.backlog_each)
        start = r.at("open-message", "start-wall", T.backlog_each)
        up_to = max(r.fit("open-message", "memory").means)
        room, held = capacity(r), 1e6 * (1 - T.core) / r.at("backlog-served", "cpu", T.backlog_each)
        most = max(r.fit("backlog-served", "cpu").means)
        spare = room - T.events_each
        one = T.backlog / T.destinations_down
        own = T.events_of_one * (A.headroom - 1)
        drained = (
            f"{amount(T.backlog_each / spare, 's')} beside {number(T.events_each)} a second"
            if spare > 0
            else f"never: it serves less than the {number(T.events_each)} a second that come"
        )
        return [
            f"{T.backlog_each:,.0f} open messages of a courier take {amount(disk, 'bytes')} of disk, "
            f"{amount(memory, 'MB')} of memory and {amount(start, 's')} of a start, measured up to {up_to:,} (factor "
            f"{number(T.backlog_each / up_to)}). All lie in one journal, and all are held in memory: "
            f"{number(T.memory_mb)} MB hold {number(_fits_into(r, T.memory_mb))}.",
            "",
            f"What it delivers falls with what is open: a message costs "
            f"{amount(r.at('backlog-served', 'cpu', most), 'us')} "
            f"of processor time among {most:,}; carried on (factor {number(T.backlog_each / most)}) a core would serve "
            f"{number(held)} a second, of {number(T.events_each)} that come: the backlog "
            + (
                "would not drain. "
                if held <= T.events_each
                else f"would drain in {amount(T.backlog_each / (held - T.events_each), 's')}. "
            )
            + f"At what a message costs with next to nothing open, a core serves {number(room)} a second beside "
            f"control, and "
            f"the backlog drains in {drained}, where endpoints take all that comes. "
            "They do not: if it is all for what is down, a destination has "
            f"{number(one)} events, and with a limit of {number(A.headroom)} times its mean {number(own)} a second to "
            f"spare: {amount(one / own, 's')}, whatever couriers can do.",
            "",
        ]

    return ["## The backlog", "", *_guarded(lines)]


def _fits_into(r: Reading, memory: float) -> float:
    told = r.fit("open-message", "memory")
    return max(0.0, (memory - told.a) / told.b) if told.b > 0 else math.inf


def _bursts(reading: Reading) -> list[str]:
    def lines() -> list[str]:
        r = reading
        up_to = max(r.fit("list-change", "wire").means)
        wire, hearer = r.at("list-change", "wire", up_to), r.at("list-change", "hearer", up_to)
        file = r.at("config-change", "hearer", T.destinations)
        n = A.burst_changes
        return [
            f"The users name no burst; assumed are {n:,} changes told within one second, "
            f"{number(n / T.changes_a_second)} times the mean. To each courier they are {amount(n * wire, 'bytes')}, "
            f"{amount(n * wire / T.bytes_a_second, 's')} of its {amount(T.bytes_a_second, 'bytes')} a second, and "
            f"{amount(n * hearer, 'us')} of its processor, {amount(n * hearer / 1e3 / T.processor_ms, 's')} of what "
            f"control "
            f"may take (at {up_to:,} listed); to all {N:,} {amount(n * wire * N, 'bytes')}, "
            f"{amount(n * wire * N / T.control_machines / A.control_mb / 1e6, 's')} from {T.control_machines} "
            f"machines. "
            f"Told to those that a destination concerns, {A.placed} each, a courier hears {number(n * A.placed / N)} "
            f"of "
            "them.",
            "",
            f"A configuration that is a file read whole costs {amount(file, 'ms')} of processor time with "
            f"{T.destinations:,} destinations in it, for each change: {number(file / 1e3 * T.changes_a_second)} s in "
            f"each "
            f"second at the mean of {number(T.changes_a_second)}. It is read once for several changes then, and "
            f"late.",
            "",
        ]

    return ["## Bursts of changes", "", *_guarded(lines)]


@dataclass(frozen=True)
class Option:
    """A published system, and what of it fits."""

    system: str
    shows: str
    here: str


def _weighed(reading: Reading) -> list[str]:
    options = [
        Option(
            "Consul: two levels of gossip, servers and agents",
            "an agent never talks to all",
            f"couriers in groups of a zone ({T.zone}), a few of each known elsewhere; taken for members. Servers "
            f"that "
            f"hold all: {N:,} members are little memory, their words are not",
        ),
        Option(
            "Doorman: shares leased from a hierarchy",
            "sums kept by leases, a safe share for who hears nothing",
            f"taken for limits with many takers; where {A.placed} share one, they can lend among themselves",
        ),
        Option(
            "Slicer, Shard Manager: key ranges assigned",
            "the data path goes on with the last assignment",
            "not first: rendezvous hashing needs no controller; an assignment evens load out better, and may come "
            "later",
        ),
        Option(
            "Configerator: a tree of relays",
            "push along a tree, cache on disk, versions that only rise",
            f"taken for configuration: {N:,} copies of a change cost a relay as many as it has children",
        ),
        Option(
            "Envoy's delta discovery: what is subscribed to",
            "interest, not broadcast",
            f"taken for lists and for words: {number(PLACED_EACH)} destinations instead of {T.destinations:,}",
        ),
        Option(
            "Kubernetes' hollow nodes",
            "real control code, no work, many in a process",
            "taken for the next measurement; at one size against real processes before it is believed",
        ),
        Option(
            "Shuffle sharding",
            "a bad destination meets a few workers only",
            f"taken as placement: {A.placed} of {N:,}, and it is the client's side that must do it",
        ),
    ]
    return [
        "## Roles and options, weighed against what is published",
        "",
        "As remembered from what their makers published; none of their figures is used here.",
        "",
        *table(["system", "what it shows", "here"], [(each.system, each.shows, each.here) for each in options]),
        f"Words and lists by interest help only where a destination's events reach few couriers. Spread evenly, "
        f"each "
        f"courier meets each destination once in {amount(T.meets_every, 's')}: all are concerned by all "
        f"{T.destinations:,}. Placed on {A.placed}, a courier is concerned by {number(PLACED_EACH)}. So placement "
        f"at "
        f"the client's side ({STAND[By.PLACED]}) is what the other mechanisms stand on; a courier can still be "
        f"handed "
        "a message for any destination, and then serves it as one that hears nothing does.",
        "",
    ]


def _ranking(found: list[Result], lacking: int) -> list[str]:
    order = ranked(found)
    rows = []
    for place, each in enumerate(order, 1):
        mine = [one for one in found if one.row.by is each.row.by and not one.row.supposed]
        over = [one for one in mine if one.ratio > 1]
        bound = [one for one in over if one.row.by_bound in OF_CONTROL]
        left = max((one.left for one in mine if one.left is not None), default=None)
        rows.append(
            [
                str(place),
                str(each.row.by),
                f"**{STAND[each.row.by]}**",
                f"{each.row.role}: {each.row.what}",
                times(each.ratio),
                "" if left is None else times(left),
                f"{len(over)} of {len(mine)}",
                str(len(bound)),
            ]
        )
    lines = [
        "## Ranking: need over bound, the worst first",
        "",
        "Rows that only would be so are left out. What the control plane's bounds (processor time, memory, bytes "
        "of "
        "a courier) forbid is counted apart.",
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
                "of them above one of control",
            ],
            rows,
        ),
        "What is above what control may take of a courier, the worst first:",
        "",
    ]
    control = [each for each in found if each.row.by_bound in OF_CONTROL and each.ratio > 1 and not each.row.supposed]
    control.sort(key=lambda each: -each.ratio)
    lines += table(
        ["row", "at the target", "bound", "ratio", "with it"],
        [
            (
                f"{each.row.role}, {each.row.kind}: {each.row.what}",
                amount(each.need, each.row.unit),
                f"{amount(each.bound, each.row.unit)}, {each.row.by_bound}",
                times(each.ratio),
                _left(each),
            )
            for each in control
        ],
    )
    if lacking:
        return [*lines, f"The ranking is not whole, so no first is drawn from it: {lacking} rows lack a slope.", ""]
    return lines + _first(order, found)


def _first(order: list[Result], found: list[Result]) -> list[str]:
    """Why this one is built first, as far as the ranking bears it out."""
    places = {each.row.by: n for n, each in enumerate(order, 1)}
    top = order[0]
    words = next(each for each in order if each.row.by is By.WORDS)
    groups = next(each for each in order if each.row.by is By.GROUPS)
    hard = [each for each in found if each.row.by is By.GROUPS and each.ratio > 1 and not each.row.supposed]
    control = max(
        (each for each in found if each.row.by_bound in OF_CONTROL and not each.row.supposed),
        key=lambda each: each.ratio,
    )
    sent = next((each for each in found if each.row.by_bound == BYTES and each.row.by is By.WORDS), None)
    lines = [f"**Built first: {FIRST[0]}, and {FIRST[1]}.**", ""]
    if top.row.by in FIRST:
        lines += [f"The ranking bears it out: {top.row.by} is the worst, {times(top.ratio)} times its bound.", ""]
    else:
        lines += [
            f"The ranking alone does not say so: by ratio the worst is {top.row.by} ({times(top.ratio)}), words "
            f"are "
            f"place {places[By.WORDS]} ({times(words.ratio)}), members place {places[By.GROUPS]} "
            f"({times(groups.ratio)}). Of what control may take of a courier the worst is "
            f"{control.row.what} ({times(control.ratio)} times its {control.row.by_bound}; {control.row.by}). "
            f"It is "
            "built first all the same, for three reasons:",
            "",
        ]
    load = max(
        (each for each in found if each.row.by is By.GROUPS and each.row.by_bound in OF_CONTROL),
        key=lambda each: each.ratio,
    )
    slow = max((each for each in hard if each.row.kind == "time"), key=lambda each: each.ratio, default=None)
    fits = (
        f"What control may take does not forbid all in one group: at {N:,} the worst is {load.row.kind}, "
        f"{times(load.ratio)} of its bound. "
        if load.ratio <= 1
        else f"Control may not take that either: {load.row.kind}, {times(load.ratio)} times its bound. "
    )
    if slow is not None:
        fits += f"Time does: {slow.row.what} it takes {amount(slow.need, slow.row.unit)}"
        if slow.left is not None and not callable(slow.row.bound):
            fits += f", in a group of {T.zone} {amount(slow.left * slow.bound, slow.row.unit)}"
        fits += "."
        if slow.left is not None and slow.left > 1:
            fits += (
                f" That is still {times(slow.left)} times its bound: groups alone do not do it, a start must be "
                f"given "
                "the members by one who knows them, at once, and not by what goes along with questions."
            )
    lines += [
        f"1. Members are the gate. Beyond {MOST_MEMBERS:,} of {N:,} the code refuses more, and beyond "
        f"{seal.SENDERS:,} "
        "drops what they say; loans, words and counts go to members only. So no other mechanism that couriers "
        "carry "
        f"among themselves can be had at the target, or tried there, before that. {len(hard)} rows of members "
        f"are "
        f"above their bound, and placement helps none of them. {fits}",
        "2. "
        + (
            f"Of the bytes of a courier words are the worst: {times(sent.ratio)} times the bound when told "
            f"to all, "
            f"{times(sent.left or 0)} times when told only to those {A.placed} whom a destination concerns. "
            if sent is not None
            else ""
        )
        + "Bytes are what couriers share with each other: too many of them hold back the questions and answers "
        "that "
        "members, loans and counts live by.",
        "3. What is ranked above stands on the same answer, whom a destination concerns. A limit is shared, a "
        "list "
        "told and a counter kept by those; brokers found by hashing give that answer without a controller. With "
        "it, "
        "and events placed, the ratios fall to those of the column 'worst with it'.",
    ]
    next_by = [each for each in order if each.row.by not in FIRST]
    lines += [
        "",
        "Not built first, though ranked: "
        + "; ".join(f"{each.row.by} ({times(each.ratio)})" for each in next_by if each.ratio > 1)
        + ". Placement is another "
        "program's "
        "side, the client's: a courier can't choose what it is handed, it can only gain by it. Lists, counts and "
        "limits "
        "by interest stand on the same question, whom a destination concerns, and on who answers it: brokers found by "
        "hashing are that answer, so they come before these. The backlog is a courier's own matter and can be built "
        "beside it.",
        "",
    ]
    return lines


def _pairs(reading: Reading) -> list[str]:
    lines = ["## Before and after a mechanism", ""]
    some = False
    for before, after in PAIRS:
        if not {before, after} <= reading.slopes.keys():
            continue
        try:
            shared = [figure for figure in reading.slopes[before].figures if figure in reading.slopes[after].figures]
            fits = {figure: (reading.fit(before, figure), reading.fit(after, figure)) for figure in shared}
        except NotMeasured:
            continue
        some = True
        told = []
        for figure, (old, new) in fits.items():
            unit = reading.slopes[before].figures[figure]
            sizes = sorted(set(old.means) & set(new.means))
            for size in [*sizes, N]:
                was, now = old.at(size), new.at(size)
                note = "" if size in sizes else f" (carried on, factors {number(was.factor)} and {number(now.factor)})"
                told.append(
                    [
                        figure,
                        f"{size:,}{note}",
                        amount(was.value, unit),
                        amount(now.value, unit),
                        times(now.value / was.value) if was.value else "",
                    ]
                )
        lines += [
            f"### {before}, then {after}",
            "",
            *table(["figure", reading.slopes[before].by, "before", "after", "ratio"], told),
        ]
    return lines if some else [*lines, "None is built and measured yet.", ""]


def _unknown(rows: list[Measured], slopes: dict[str, Slope]) -> list[str]:
    largest = max((row.size for row in rows if row.setting == "modelled network"), default=0)
    delay = Faults().delay
    lines = [
        f"- The modelled network was played up to {largest:,} members: what is beyond is carried on by a line or a "
        f"power, and "
        "a protocol may bend anywhere beyond. No run beside a load of messages.",
        f"- Modelled delays are {amount(delay[0] / 1e6, 's')} to {amount(delay[1] / 1e6, 's')} and "
        f"{amount(Faults().loss, 'share')} are lost: regions are farther apart, and lose datagrams.",
        "- Names on the modelled network are short (n0, n1): words on members are longer on a real one, as they are at "
        f"the pure module ({Played._said(0).name}).",
        "- Words are measured one at a time: several at once share datagrams, so many may cost less each than the row "
        "says; "
        "that they fit is ruled out by their number alone.",
        "- What a real courier pays for receiving: the kernel's part of a datagram, and its buffers, are in no slope.",
        "- A wave of restarts was played for members only: not with lists, journals and clients, and not for a whole "
        "zone "
        "gone for good.",
        "- What brokers bear when one of them is gone, and how fast an order by hash settles after losses, is in no "
        "slope; the row on words has neither what arrives from other regions' brokers nor what many words share of a "
        "datagram and a tick.",
        "- Limits, sizes and rates of destinations are even here. Real ones are not: a few have most of the events.",
        "- How events reach couriers today, and what a client knows of them, is not part of this program: of the "
        "client's "
        "side only what placing and knowing would cost is here, and of member systems only what couriers send them.",
        "- No bound for a courier's memory and disk beside control is known; nor a burst, nor a rack; see the "
        "assumptions.",
        "- Times that the model gives are of its steps: a courier ticks there each "
        f"{amount(TICK / 1e6, 's')}, and no datagram waits for a busy process.",
        "- Processor time was measured on the machine named above, other work beside it on other cores.",
    ]
    return [
        "## What is not known",
        "",
        *lines,
        *(f"- Not measured: {each}." for each in find_problems(rows, slopes)[:5]),
    ]
