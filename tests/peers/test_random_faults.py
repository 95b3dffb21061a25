"""Random sequences of starts, kills, pauses, network cuts, traffic changes and calls never exceed a shared budget."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kestrelspar.lab.simulated_network import MS, SECOND, Faults, SimulatedNetwork, Traffic

COURIERS, CALLS = 4, 24
COURIER_NAMES = st.sampled_from([f"n{n}" for n in range(COURIERS)])


class CourierHistory(RuleBasedStateMachine):
    """Four couriers with more to send than the budget allows, and the faults that can happen to them."""

    @initialize(seed=st.integers(0, 999), loss=st.sampled_from([0.0, 0.3]), max_delay=st.sampled_from([5 * MS, SECOND]))
    def begin(self, seed: int, loss: float, max_delay: int) -> None:
        self.net = SimulatedNetwork(COURIERS, seed, Faults(loss, loss, (MS, max_delay)), drift=0.009)
        self.net.budget("e:x", CALLS)
        for name in self.net.nodes:
            self.net.start(name)
        self.traffic = Traffic(self.net, "e:x", dict.fromkeys(self.net.nodes, 0.5) | {"n0": 60.0})
        self.net.run(7 * SECOND)  # until loans are in use

    @rule(busy=st.sets(COURIER_NAMES), duration=st.integers(50, 2_500))
    def traffic_changes(self, busy: set[str], duration: int) -> None:
        """Change who is busy, so that lenders need calls back that are lent."""
        for name in self.net.nodes:
            self.traffic.rates[name] = 60.0 if name in busy else 0.5
            self.traffic._schedule_arrival(name)
        self.net.run(self.net.now + duration * MS)

    @rule(who=COURIER_NAMES, keep_state=st.booleans(), after=st.integers(1, 1_500))
    def kill(self, who: str, keep_state: bool, after: int) -> None:
        self.net.kill(who)
        self.net.run(self.net.now + after * MS)
        self.net.start(who, keep_state)

    @rule(who=COURIER_NAMES, duration=st.integers(20, 9_000))
    def pause(self, who: str, duration: int) -> None:
        self.net.pause(who, duration * MS)
        self.net.run(self.net.now + min(duration, 700) * MS)

    @rule(receivers=st.sets(COURIER_NAMES), both=st.booleans())
    def cut(self, receivers: set[str], both: bool) -> None:
        self.net.cut = lambda a, b: b in receivers or both and a in receivers
        self.net.run(self.net.now + 300 * MS)

    @rule(duration=st.integers(100, 5_000))
    def time_passes(self, duration: int) -> None:
        self.net.run(self.net.now + duration * MS)

    @invariant()
    def budget_is_kept(self) -> None:
        assert not hasattr(self, "net") or not self.net.budget_checker.violations


TestCourierHistory = CourierHistory.TestCase
TestCourierHistory.settings = settings(max_examples=40, stateful_step_count=20, derandomize=True, deadline=None)
