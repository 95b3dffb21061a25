"""Exceptions that nobody foresaw: each message keeps its final answer, and each slot is free again."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from kestrelspar.core.messages import FAILED, End, Message, Result
from kestrelspar.core.transport_map import NextHop, SendGuard
from kestrelspar.runtime.loop import MS, SECOND
from snowlock import interface as api
from snowlock.interface import Outcome
from tests.bench import PAYMENT, READING, WORK_ORDER, CourierTestbed

EXCEPTIONS = [OverflowError, KeyError, ValueError, TypeError, MemoryError, RecursionError, OSError]


class Unforeseen(Exception):
    """Stands for an exception that no code expects."""


class Carrier:
    """Delivers each message, but raises in the first attempt of each: before or after the first byte is sent."""

    def __init__(self, error: type[Exception], after_first_byte: bool) -> None:
        self.error, self.after_first_byte = error, after_first_byte
        self.calls: list[str] = []  # ids of the messages whose first byte was sent
        self.met: set[str] = set()

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: SendGuard) -> Result:
        is_first = message.trace not in self.met
        self.met.add(message.trace)
        if is_first and not self.after_first_byte:
            raise self.error("before the first byte")
        assert guard()
        self.calls.append(message.trace)
        if is_first:
            raise self.error("after the first byte")
        return Result(Outcome.OK)

    def close_idle(self, hop: NextHop) -> None:
        pass


class FaultTestbed(CourierTestbed):
    """A courier with two destinations of one next hop each; messages that are submitted to it count as accepted."""

    def __init__(self, state_directory: Path, carrier: object, **overrides: object) -> None:
        super().__init__(state_directory, **overrides)
        hops = [NextHop(api.Endpoint(b"hop %d" % dest, dest), ("", 0), carrier) for dest in (7, 8)]  # type: ignore[arg-type]
        self.courier.apply_map_update("map", hops, complete=True)
        self.courier.ready = True

    def submit(self, trace: str, cls: int, dest: int = 7, lifetime: int = 8 * SECOND) -> None:
        message = Message(trace, cls, 0, dest, self.loop.now + lifetime, b"body", self.sender)
        self.loop.spawn(self.courier.submit, message, lambda answer: answer.accepted)

    def assert_nothing_is_held(self) -> None:
        """Guards against slots, tasks and journal entries that a message leaves behind."""
        self.run_for(500 * MS)
        assert not self.courier.attempts_in_flight and not self.courier.open and not self.journal.entries
        controller = self.courier.controller
        assert not controller.inflight and not controller.unsafe_inflight and not controller.messages
        assert not any(route.inflight for route in controller.routes.values())


@pytest.mark.parametrize("after_first_byte", [False, True])
@pytest.mark.parametrize("error", [*EXCEPTIONS, Unforeseen])
def test_an_exception_in_a_carrier_takes_neither_a_final_answer_nor_a_slot(
    tmp_path: Path, error: type[Exception], after_first_byte: bool
) -> None:
    # Guards against messages without a final answer after an exception in a carrier, and against a member system that
    # is never called again, as all slots count as used.
    carrier = Carrier(error, after_first_byte)
    testbed = FaultTestbed(tmp_path, carrier)
    classes = [READING, WORK_ORDER, PAYMENT] * 8  # three times the slots
    for number, cls in enumerate(classes):
        testbed.submit(f"m{number}", cls)
        testbed.run_for(100 * MS)
    testbed.run_until(lambda: len(testbed.sender.ends) == len(classes))
    ends = dict(testbed.sender.ends)
    assert len(ends) == len(classes), "a second final answer"
    for number, cls in enumerate(classes):
        may_have_run = after_first_byte and cls == PAYMENT
        assert ends[f"m{number}"] == ("failed" if may_have_run else "delivered")
        assert not may_have_run or carrier.calls.count(f"m{number}") == 1
    testbed.assert_nothing_is_held()


# Steps of a message's life around its attempts; each raises at its first call.
STEPS: dict[str, Callable[[FaultTestbed], tuple[object, str]]] = {
    "journal of what did not run": lambda testbed: (testbed.journal, "record_not_run"),
    "journal of an attempt": lambda testbed: (testbed.journal, "record_attempt"),
    "journal of a limit": lambda testbed: (testbed.courier, "_save_limit"),
    "journal of an outage": lambda testbed: (testbed.journal, "record_outage"),
    "learning from an outcome": lambda testbed: (testbed.courier.controller, "_learn_outcome"),
    "choice of a route": lambda testbed: (testbed.courier.controller, "_choose_route"),
    "time-out of an attempt": lambda testbed: (testbed.courier.controller, "_timeout"),
    "order of destinations": lambda testbed: (testbed.courier.controller, "_slot_cost"),
    "advice in a refusal": lambda testbed: (testbed.courier.controller, "_advised_retry_after"),
    "retry": lambda testbed: (testbed.courier.controller, "_retry_or_abandon"),
    "shedding": lambda testbed: (testbed.courier.controller, "_shed_load"),
}


class RefusesFirst:
    """Refuses the first attempt of each message, and delivers it with the second one."""

    def __init__(self) -> None:
        self.met: set[str] = set()

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: SendGuard) -> Result:
        assert guard()
        if message.trace in self.met:
            return Result(Outcome.OK, report=(0.5, 20.0))
        self.met.add(message.trace)
        return Result(Outcome.FULL, report=(0.5, 20.0))

    def close_idle(self, hop: NextHop) -> None:
        pass


@pytest.mark.parametrize("step", STEPS)
def test_an_exception_around_an_attempt_takes_no_final_answer_and_no_slot(
    tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an exception in the decision module, the journal or the peers that ends a message's task, and
    # against one message's exception that takes the decisions on the others of the same turn.
    testbed = FaultTestbed(tmp_path, RefusesFirst(), max_open=20)
    owner, name = STEPS[step](testbed)
    real, raised = getattr(owner, name), []

    def raise_once(*args: object) -> object:
        if not raised:
            raised.append(name)
            raise Unforeseen(name)
        return real(*args)

    monkeypatch.setattr(owner, name, raise_once)
    for number in range(20):
        testbed.submit(f"m{number}", (READING, WORK_ORDER, PAYMENT)[number % 3], dest=7 + number % 2)
    testbed.run_until(lambda: len(testbed.sender.ends) == 20)
    assert raised or step == "advice in a refusal"
    ends = [end for _, end in testbed.sender.ends]
    assert len(dict(testbed.sender.ends)) == 20, "a second final answer"
    assert ends.count("failed") <= 1, "one exception failed the messages of others"
    testbed.assert_nothing_is_held()


class RaisesAtEnd:
    """A hook that raises at the end of each message."""

    def arrival(self, message: Message) -> None:
        return None

    def end(self, message: Message, end: End) -> None:
        raise Unforeseen(end.state)


def test_an_exception_in_a_hook_takes_no_report_of_an_end(tmp_path: Path) -> None:
    # Guards against a plug-in that raises at a message's end, and so keeps its final state from its sender.
    testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=True))
    testbed.courier.hooks.append(RaisesAtEnd())
    testbed.submit("m", PAYMENT)
    testbed.run_until(lambda: testbed.sender.ends)
    assert testbed.sender.ends == [("m", FAILED)]
    testbed.assert_nothing_is_held()
