"""Exceptions that nobody foresaw: each message keeps its final answer, and each slot is free again."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from kestrelspar.core.messages import FAILED, Answer, End, Message, Result
from kestrelspar.core.transport_map import NextHop, SendGuard
from kestrelspar.runtime.loop import MS, SECOND
from snowlock import interface as api
from snowlock.interface import Outcome
from tests.bench import PAYMENT, READING, WORK_ORDER, CourierTestbed
from tests.injected_faults import Unforeseen, raise_first

EXCEPTIONS = [OverflowError, KeyError, ValueError, TypeError, MemoryError, RecursionError, OSError]


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
    raised = raise_first(owner, name, 1, monkeypatch)
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


def test_an_exception_in_the_answer_to_a_submission_ends_the_message_once(tmp_path: Path) -> None:
    # Guards against a message that is journalled and open, and that nobody delivers or ends.
    testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=False))
    message = Message("m", PAYMENT, 0, 7, testbed.loop.now + 8 * SECOND, b"", testbed.sender)

    def answer(_: Answer) -> bool:
        raise Unforeseen("answer")

    testbed.loop.spawn(testbed.courier.submit, message, answer)
    testbed.run_for(SECOND)
    assert testbed.sender.ends == [("m", "returned")]
    testbed.assert_nothing_is_held()


@pytest.mark.parametrize("failures", [1, 5, 1_000])
@pytest.mark.parametrize("recovered", [False, True])
def test_an_exception_in_the_report_of_an_end_is_followed_by_another_try(
    tmp_path: Path, failures: int, recovered: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a final state that is decided and told to nobody.
    testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=True))
    raised = raise_first(testbed.sender, "report_end", 1_000 if recovered else failures, monkeypatch)
    testbed.submit("m", PAYMENT)
    testbed.run_for(3 * SECOND)
    if recovered or failures == 1_000:  # the next process tells it
        assert not testbed.sender.ends and raised
        testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=False))
        raise_first(testbed.sender, "report_end", failures if failures < 1_000 else 0, monkeypatch)
        testbed.courier.resume()
        testbed.run_for(3 * SECOND)
    assert testbed.sender.ends == [("m", FAILED)]
    testbed.assert_nothing_is_held()


@pytest.mark.parametrize("failures", [1, 3, 1_000])
@pytest.mark.parametrize("step", ["record_end", "record_end_later", "record_done"])
@pytest.mark.parametrize("state", ["delivered", FAILED])
def test_an_exception_in_the_journal_of_an_end_takes_no_report(
    tmp_path: Path, state: str, step: str, failures: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a message whose end is decided, and whose task ends before it is told.
    testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=state == FAILED))
    raise_first(testbed.journal, step, failures, monkeypatch)
    if step == "record_end_later":
        monkeypatch.setattr(testbed.journal, "record_end", lambda *_: False)
    testbed.submit("m", PAYMENT, lifetime=2 * SECOND)
    testbed.run_for(4 * SECOND)
    assert testbed.sender.ends == [("m", state)] and not testbed.courier.open


# Steps of a delivery outside of its attempts: the object, and the method that raises.
DELIVERY_STEPS: dict[str, Callable[[FaultTestbed], object]] = {
    "_next_action": lambda testbed: testbed.courier,
    "_attempt": lambda testbed: testbed.courier,
}


@pytest.mark.parametrize("failures", [1, 4, 1_000])
@pytest.mark.parametrize("step", DELIVERY_STEPS)
@pytest.mark.parametrize("cls", [READING, WORK_ORDER, PAYMENT])
def test_an_exception_outside_of_an_attempt_interrupts_a_delivery_that_goes_on(
    tmp_path: Path, cls: int, step: str, failures: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a task that ends and leaves its message without a final answer, and against a message that is
    # ended although it can still be delivered.
    testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=False))
    raise_first(DELIVERY_STEPS[step](testbed), step, failures, monkeypatch)
    submitted_at = testbed.loop.now
    testbed.submit("m", cls)
    testbed.run_until(lambda: testbed.sender.ends, within=10 * SECOND)
    assert testbed.sender.ends == [("m", "returned" if failures == 1_000 else "delivered")]
    assert testbed.loop.now - submitted_at < 4 * SECOND
    monkeypatch.undo()
    testbed.submit("later", cls)
    testbed.run_until(lambda: len(testbed.sender.ends) == 2, within=10 * SECOND)
    assert testbed.sender.ends[1] == ("later", "delivered")
    testbed.assert_nothing_is_held()


def test_a_payment_that_may_have_run_when_its_delivery_is_interrupted_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a delivery that goes on without what the journal says of its attempts.
    carrier = Carrier(ValueError, after_first_byte=True)
    testbed = FaultTestbed(tmp_path, carrier)
    real, calls = testbed.courier._next_action, list[int]()

    def next_action(number: int, event: api.Event, final: bool = False) -> object:
        calls.append(number)
        if len(calls) == 2:
            raise Unforeseen("after the attempt")
        return real(number, event, final)

    monkeypatch.setattr(testbed.courier, "_next_action", next_action)
    testbed.submit("m", PAYMENT)
    testbed.run_until(lambda: testbed.sender.ends, within=10 * SECOND)
    assert testbed.sender.ends == [("m", FAILED)] and carrier.calls == ["m"]


class CallOut:
    """A call that is still out until ``ends_at``, in microseconds of the loop's clock."""

    def __init__(self, testbed: FaultTestbed, ends_at: int) -> None:
        self.testbed, self.ends_at = testbed, ends_at

    def wait(self, deadline: int) -> Result | None:
        now = self.testbed.loop.now
        self.testbed.loop.sleep(max(0, min(deadline, self.ends_at) - now))
        return None if self.testbed.loop.now >= self.ends_at else Result(Outcome.MOOT)


class TimesOutFirst:
    """The first attempt of each message times out and stays out for 3 s; the next ones are delivered."""

    def __init__(self) -> None:
        self.testbed: FaultTestbed | None = None
        self.sent: list[int] = []

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: SendGuard) -> Result:
        assert self.testbed is not None and guard()
        self.sent.append(self.testbed.loop.now)
        if len(self.sent) > 1:
            return Result(Outcome.OK)
        return Result(Outcome.TIMEOUT, outstanding=CallOut(self.testbed, self.testbed.loop.now + 3 * SECOND))

    def close_idle(self, hop: NextHop) -> None:
        pass


def test_an_interrupted_delivery_still_waits_for_the_call_that_is_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two attempts of a message at once.
    carrier = TimesOutFirst()
    testbed = carrier.testbed = FaultTestbed(tmp_path, carrier)
    real, calls = testbed.courier._next_action, list[int]()

    def next_action(number: int, event: api.Event, final: bool = False) -> object:
        calls.append(number)
        if len(calls) == 2:
            raise Unforeseen("after the attempt")
        return real(number, event, final)

    monkeypatch.setattr(testbed.courier, "_next_action", next_action)
    testbed.submit("m", READING, lifetime=12 * SECOND)
    testbed.run_until(lambda: testbed.sender.ends, within=15 * SECOND)
    assert testbed.sender.ends == [("m", "delivered")]
    assert carrier.sent[1] - carrier.sent[0] >= 3 * SECOND


def test_an_exception_in_the_journal_of_an_arrival_defers_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a client that is told that its message never ran, while the next process sends it.
    testbed = FaultTestbed(tmp_path, RefusesFirst())
    raise_first(testbed.journal, "_add", 1, monkeypatch)
    answers: list[Answer] = []
    message = Message("m", PAYMENT, 0, 7, testbed.loop.now + 8 * SECOND, b"", testbed.sender)
    testbed.loop.spawn(testbed.courier.submit, message, lambda answer: bool(answers.append(answer)))
    testbed.run_for(SECOND)
    assert [(answer.accepted, answer.defer) for answer in answers] == [(False, True)]
    testbed = FaultTestbed(tmp_path, RefusesFirst())
    testbed.courier.resume()
    testbed.run_for(SECOND)
    assert not testbed.sender.ends and not testbed.journal.entries


def test_an_exception_in_the_recovery_of_one_message_leaves_the_others(tmp_path: Path) -> None:
    # Guards against a start that ends at one entry of the journal, so that no message of it is delivered.
    held = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=False))
    for number in range(4):
        message = Message(f"m{number}", READING, 0, 7, held.loop.now + 8 * SECOND, b"", held.sender)
        assert held.courier.accept(message, lambda answer: answer.accepted)
    testbed = FaultTestbed(tmp_path, Carrier(ValueError, after_first_byte=False))

    def recover(message: Message) -> bool:
        if message.trace == "m1":
            raise AttributeError("recover")
        return False

    testbed.sender.recover = recover  # type: ignore[method-assign]
    testbed.courier.resume()
    testbed.run_for(2 * SECOND)
    states = ("delivered", "returned", "delivered", "delivered")
    assert sorted(testbed.sender.ends) == [(f"m{number}", state) for number, state in enumerate(states)]
    testbed.assert_nothing_is_held()


class Source:
    """A source of outcomes that raises when it is told of a message."""

    def expect(self, message: Message, awaits: dict[str, object]) -> None:
        raise Unforeseen("expect")

    def query_outcome(self, message: Message, awaits: dict[str, object]) -> str:
        raise Unforeseen("query")

    def stop_waiting(self, message: Message) -> None:
        raise Unforeseen("stop")


class Accepting:
    """Accepts each message; its outcome is to come from ``Source``."""

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: SendGuard) -> Result:
        assert guard()
        return Result(Outcome.OK, outcome_source=("source", {}))

    def close_idle(self, hop: NextHop) -> None:
        pass


@pytest.mark.parametrize("restarted", [False, True])
def test_an_exception_in_an_outcome_source_leaves_the_message_its_end(tmp_path: Path, restarted: bool) -> None:
    # Guards against messages that a next hop has accepted, and that nothing ends.
    testbed = FaultTestbed(tmp_path, Accepting())
    testbed.courier.outcome_sources["source"] = Source()
    testbed.submit("m", PAYMENT, lifetime=4 * SECOND)
    testbed.run_for(SECOND)
    if restarted:
        testbed = FaultTestbed(tmp_path, Accepting())
        testbed.courier.outcome_sources["source"] = Source()
        testbed.courier.resume()
    testbed.run_for(5 * SECOND)
    assert testbed.sender.ends == [("m", FAILED)]
    testbed.assert_nothing_is_held()
