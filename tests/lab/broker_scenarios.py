"""Fault scenarios of couriers in two zones, each run with and without brokers, for test_brokers.py.

    python -m tests.lab.broker_scenarios SCENARIO on|off DIRECTORY

runs one and prints a report: what the checkers found, the share served, and what the brokers failed to do.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kestrelspar.lab import checkers
from kestrelspar.lab.liar import LyingBroker, LyingCourier
from kestrelspar.lab.zones import ZonedRig
from kestrelspar.peers.brokers import LEASE_TERM
from kestrelspar.peers.status_socket import query_status
from kestrelspar.runtime.loop import MS, SECOND

LIMITS = {"m1": 60, "m2": 60, "m3": 14}
GROUPS = {"m1": 1, "m2": 1, "m3": 2}  # m1 and m2 are endpoints of one destination; m3 is loaded close to its limit
RATES = {"m1": 2.0, "m3": 1.2}
# An outage lasts at least this long and, with brokers, until a courier of each group has suspended the endpoint on
# reports of others.
MIN_OUTAGE = 3 * SECOND
TIMEOUT = 30 * SECOND  # generous: an outage is reported within a second or two
ONE_REGION = {f"n{n}": ("eu", "z1" if n < 3 else "z2") for n in range(6)}
TWO_REGIONS = {f"n{n}": ("eu", "z1") if n < 3 else ("us", "z2") for n in range(6)}
ONE_REGION_BROKERS = {"eu/b1": "z1", "eu/b2": "z2"}
TWO_REGION_BROKERS = {"eu/b1": "z1", "eu/b2": "z1", "us/b1": "z2", "us/b2": "z2"}


class Run:
    """A scenario while it runs."""

    def __init__(self, rig: ZonedRig, with_brokers: bool) -> None:
        self.rig, self.with_brokers = rig, with_brokers
        self.missing: list[str] = []  # what the brokers failed to do

    def require(self, done: object, what: str) -> None:
        """Record ``what`` as missing unless ``done``; checked only with brokers."""
        if self.with_brokers and not done:
            self.missing.append(what)

    def callers(self, member: str, since: int) -> dict[str, int]:
        """Return, by zone, how many couriers have called a member system since then."""
        rig = self.rig
        names = {call.courier for call in rig.members[member].calls if call.at > since}
        return {zone: len({name for name in names if rig.zones[name][1] == zone}) for _, zone in rig.zones.values()}

    def outage(self, when: str, across_zones: bool = True) -> None:
        """Close one of m1 and m2; with brokers, a courier of each group has to suspend it on reports of others.

        With ``across_zones``, brokers also have to relay to each zone what couriers of other zones observed.

        Each courier stays with an endpoint that serves it, and not all with the same one. So the endpoint that is not
        to fail is closed first, until two couriers of each group have called the other one and can witness its outage.
        """
        rig = self.rig
        failing, other = sorted(
            ("m1", "m2"), key=lambda name: -sum(self.callers(name, rig.loop.now - 3 * SECOND).values())
        )
        rig.members[other].shut, settled = True, rig.loop.now + SECOND
        rig.run(2 * SECOND)
        rig.run_until(lambda: min(self.callers(failing, settled).values()) >= 2, TIMEOUT)
        log_text = f"event=peers-hold endpoint={failing} "
        names = [name for name, node in rig.nodes.items() if node.process is not None]
        before = {name: rig.read_log(name).count(log_text) for name in names}
        zones = {zone for _, zone in rig.zones.values()}
        rig.members[other].up()
        rig.members[failing].shut, since = True, rig.loop.now
        rig.run(MIN_OUTAGE)
        not_suspended, not_relayed, deadline = zones, zones if across_zones else set(), rig.loop.now + TIMEOUT
        while self.with_brokers and rig.loop.now < deadline:
            not_suspended = zones - {
                rig.zones[name][1] for name in names if rig.read_log(name).count(log_text) > before[name]
            }
            not_relayed = zones - rig.zones_with_foreign_witnesses(failing, since) if across_zones else set()
            if not not_suspended and not not_relayed:
                break
            rig.run(200 * MS)
        rig.members[failing].up()
        self.require(
            not not_suspended,
            f"{when}: {failing} failed, and no courier in {sorted(not_suspended)} suspended it on reports of others",
        )
        self.require(
            not not_relayed,
            f"{when}: {failing} failed, and brokers relayed to {sorted(not_relayed)} no observation of other zones",
        )
        rig.run(2 * SECOND)

    def broker(self, name: str) -> dict[str, Any]:
        """Return the status of a broker."""
        return query_status(str(self.rig.brokers[name].directory / "state"))

    def kill(self, *names: str) -> None:
        """Kill brokers, if the scenario runs with them."""
        for name in names:
            if self.with_brokers:
                self.rig.end_process(name)

    def restart(self, name: str, keep_state: bool = True) -> None:
        """Start a killed broker again, if the scenario runs with brokers."""
        if self.with_brokers:
            self.rig.start_broker(name, keep_state)

    def wait_for_leases(self, *names: str) -> None:
        """Run until these brokers, restarted or resumed, have the leases of all couriers of their region."""
        if not self.with_brokers:
            return
        rig = self.rig
        wanted = {name: sum(region == name.partition("/")[0] for region, _ in rig.zones.values()) for name in names}
        for name, couriers in wanted.items():
            try:
                rig.run_until(
                    lambda name=name, couriers=couriers: self._subscribed(name) >= couriers,  # type: ignore[misc]
                    4 * LEASE_TERM,
                )
            except TimeoutError:
                self.missing.append(
                    f"{name} has leases of {self._subscribed(name)} of {couriers} couriers: {self.broker(name)}"
                )

    def _subscribed(self, name: str) -> int:
        """Run 200 ms, and return how many leases a broker has; 0 if its status lists no keys."""
        self.rig.run(200 * MS)
        status = self.broker(name)
        return int(status["subscribers"]) if status["keys"] else 0


def brokers_introduced(run: Run) -> None:
    """Couriers configured without group and brokers are restarted with both, one by one, under traffic."""
    rig = run.rig
    rig.ungrouped = set(rig.nodes)
    start_all(run)
    for number, name in enumerate(rig.nodes):
        if number == 3:
            rig.ready()
            rig.run(2 * SECOND)
            run.outage("z1 with brokers, z2 without", across_zones=False)
        rig.end_process(name, signal.SIGTERM)
        if run.with_brokers:
            rig.ungrouped.discard(name)
        rig.start(name)
        rig.run(300 * MS)
    rig.ready()
    run.wait_for_leases("eu/b1", "eu/b2")
    run.outage("all with brokers")


def brokers_fail(run: Run) -> None:
    """One broker is paused for longer than the lease term; meanwhile the other one is killed.

    The killed broker is restarted at once without state, and later killed for good. So no broker is left until the
    paused one resumes.
    """
    rig = run.rig
    start_all(run)
    pause = LEASE_TERM + 2 * SECOND
    resumed_at = rig.loop.now + pause
    if run.with_brokers:
        rig.pause("eu/b2", pause)
    run.kill("eu/b1")
    run.restart("eu/b1", keep_state=False)  # before a courier detects that it is gone
    run.wait_for_leases("eu/b1")
    run.outage("one paused, one restarted without state")
    run.kill("eu/b1")
    # Nothing is required of brokers while none runs.
    with_brokers, run.with_brokers, since = run.with_brokers, False, rig.loop.now
    run.outage("no broker runs")
    run.with_brokers = with_brokers
    for name in rig.nodes:  # couriers keep serving without brokers
        if not any(
            call.accepted and call.courier == name and call.at > since
            for member in rig.members.values()
            for call in member.calls
        ):
            run.missing.append(f"{name} served nothing while no broker ran")
    rig.run(max(0, resumed_at - rig.loop.now))
    run.wait_for_leases("eu/b2")
    run.outage("one killed, one resumed")


def zone_cut_off(run: Run) -> None:
    """A zone is cut off in one direction, the other, then both; then half of the couriers restart; then 30 % loss.

    One direction is cut for 3 s, instead of 10 s as in the simulation, and both for 10 s or more: an outage of m1 or
    m2, which takes 7 s at least, and 3 s. Even 3 s are long enough for a member to be suspected (two periods of 300 ms)
    and declared dead (six more), and for a loan to expire (2 s). A cut also makes a broker count as gone at the
    couriers whose lease renewal fell into it.
    """
    rig = run.rig
    start_all(run)
    for outbound, inbound in ((True, False), (False, True)):
        rig.partition("z1", outbound, inbound)
        rig.run(3 * SECOND)
        rig.heal()
    rig.partition("z1")
    run.outage("z1 cut off", across_zones=False)
    rig.run(3 * SECOND)
    rig.heal()
    for name in ("n0", "n1", "n5"):
        rig.end_process(name)
    for name in ("n0", "n1", "n5"):
        rig.start(name)
    rig.ready()
    run.outage("half restarted")
    rig.set_loss(0.3)
    run.outage("30 % lost")
    rig.heal()


def regions_partitioned(run: Run) -> None:
    """Two regions with two brokers each are partitioned and reconnected."""
    rig = run.rig
    start_all(run)
    run.outage("no fault")
    run.require(
        run.with_brokers and run.broker("us/b1")["forwarded"] + run.broker("us/b2")["forwarded"],
        "nothing was forwarded from us to eu",
    )
    status = query_status(str(rig.nodes["n4"].directory / "state")) if run.with_brokers else {}
    run.require(
        status and max(each["witnesses"] for each in status["endpoints"].values()) > 2,
        f"n4 knows only witnesses of its own region: {status.get('endpoints')}",
    )
    rig.partition("z1")
    run.outage("regions partitioned", across_zones=False)
    rig.run(4 * SECOND)
    rig.heal()
    run.outage("regions reconnected")


def liars(run: Run) -> None:
    """A lying courier, then a lying broker, each during a real outage."""
    rig = run.rig
    start_all(run, [name for name in rig.nodes if name != "n5"])
    lying_courier = LyingCourier(rig, "n5")
    rig.run(6 * SECOND)
    run.outage("a courier lies")
    lying_courier.close()
    if run.with_brokers:
        rig.end_process("eu/b1")
        lying_broker = LyingBroker(rig, "eu/b1")
    rig.run(8 * SECOND)
    run.require(run.with_brokers and lying_broker.lies > 1_000, "the broker sent few false observations")
    run.outage("a broker lies")


SCENARIOS: dict[str, tuple[Callable[[Run], None], dict[str, tuple[str, str]], dict[str, str]]] = {
    "brokers-go": (brokers_fail, ONE_REGION, ONE_REGION_BROKERS),
    "zone-cut-off": (zone_cut_off, ONE_REGION, ONE_REGION_BROKERS),
    "turned-over": (brokers_introduced, ONE_REGION, ONE_REGION_BROKERS),
    "regions-that-lose-each-other": (regions_partitioned, TWO_REGIONS, TWO_REGION_BROKERS),
    "liars": (liars, ONE_REGION, ONE_REGION_BROKERS),
}


def start_all(run: Run, names: list[str] | None = None) -> None:
    """Start brokers and couriers, and the traffic of clients."""
    rig = run.rig
    names = names or list(rig.nodes)
    if run.with_brokers:
        for name in rig.brokers:
            rig.start_broker(name)
    else:
        rig.ungrouped = set(rig.nodes)  # all couriers know each other
    for name in names:
        rig.start(name)
    rig.ready()
    rig.traffic({name: RATES for name in names}, 600 * SECOND)
    rig.run(3 * SECOND)
    rig.loop.longest_turn = 0  # turns during the start do not shorten the window of max_calls_per_second


def run_scenario(name: str, with_brokers: bool, directory: Path) -> dict[str, Any]:
    """Run a scenario, and return its report."""
    scenario, zones, brokers = SCENARIOS[name]
    began = time.monotonic()
    with ZonedRig(directory, 11, LIMITS, zones, brokers, groups=GROUPS) as rig:
        run = Run(rig, with_brokers)
        scenario(run)
        rig.drain()
        calls = [call for member in rig.members.values() for call in member.calls]
        window = max(MS, SECOND - rig.loop.longest_turn)
        most = {name: checkers.max_calls_per_second(member.calls, window) for name, member in rig.members.items()}
        running = {node.name: node for node in (*rig.nodes.values(), *rig.brokers.values()) if node.process is not None}
        status = {name: query_status(str(node.directory / "state")) for name, node in running.items()}
        status_command = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "kestrelspar",
                "peers",
                "status",
                "--state",
                str(rig.nodes["n0"].directory / "state"),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        # Run the event loop meanwhile: the relays are in this process.
        rig.run_until(lambda: status_command.poll() is not None, TIMEOUT)
        shown, _ = status_command.communicate()
        rig.terminate_all()
        # Clients get no answer while their courier starts, for as long as that takes: unrelated to brokers.
        answered = {trace: sent for trace, sent in rig.submissions.items() if sent.status}
        return {
            "wrong_ends": checkers.delivery_violations(rig.submissions, calls),
            "most_in_a_second": most,
            "longest_us": rig.loop.longest_turn,
            "handed_in": len(rig.submissions),
            "calls": len(calls),
            "served": checkers.served_share(answered, calls),
            "ends": dict(
                Counter(
                    f"{sent.message_class} {sent.status} {' '.join(sorted(set(sent.notices)))}"
                    for sent in rig.submissions.values()
                )
            ),
            "seconds": round(time.monotonic() - began, 1),
            "missing": run.missing,
            "codes": {name: node.exit_codes[-1] for name, node in running.items()},
            "faults": [
                f"{name}: {line[:500]}"
                for name in (*rig.nodes, *rig.brokers)
                if rig.node(name).log.is_file()
                for line in rig.read_log(name).splitlines()
                if "event=fault" in line
            ],
            "brokers": {name: view for name, view in status.items() if name in rig.brokers},
            "couriers": {
                name: {key: view[key] for key in ("group", "region", "brokers")}
                for name, view in status.items()
                if name in rig.nodes
            },
            "shown": shown,
            "zones": zones,
        }


if __name__ == "__main__":
    print(json.dumps(run_scenario(sys.argv[1], sys.argv[2] == "on", Path(sys.argv[3]))))
