"""Flow control for gateways: windows, rate and backoff, with simulated responses and on sockets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from pathlib import Path

import pytest

from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.smpp.flow_control import Backoff, RateControl, Window
from kestrelspar.smpp.pdu import Command, Pdu, Status
from tests.smpp.test_operations import submit
from tests.smpp_standins import StandInGateway, gateway
from tests.test_smpp import SmppTestbed, submit_all


def test_a_rate_that_recovers_from_one_refusal_in_a_burst_stays_finite_for_days() -> None:
    # Guards against an OverflowError in each attempt from 12 minutes after a throttled burst on.
    control = RateControl()
    control.earliest_send(0)
    control.record_response(100 * MS, 0, throttled=False)
    control.record_response(200 * MS, 100 * MS, throttled=True, retry_after=100 * MS)
    previous = 0.0
    for after in (1, 10, 60, 600, 716, 720, 3_600, 86_400, 30 * 86_400):
        now = after * SECOND
        assert control.earliest_send(now) <= now and previous <= control.rate < float("inf")
        previous = control.rate
        control.record_sent(now)


Limiter = Callable[[int], bool]  # whether a gateway serves a submit at this time


def token_bucket(rate: int, burst: int) -> Limiter:
    tokens, last = float(burst), 0

    def admit(now: int) -> bool:
        nonlocal tokens, last
        tokens, last = min(float(burst), tokens + (now - last) * rate / SECOND), now
        if tokens < 1:
            return False
        tokens -= 1
        return True

    return admit


def fixed_window(rate: int) -> Limiter:
    served: dict[int, int] = {}

    def admit(now: int) -> bool:
        served[now // SECOND] = served.get(now // SECOND, 0) + 1
        return served[now // SECOND] <= rate

    return admit


def sliding_window(rate: int) -> Limiter:
    served: deque[int] = deque()

    def admit(now: int) -> bool:
        while served and served[0] <= now - SECOND:
            served.popleft()
        if len(served) >= rate:
            return False
        served.append(now)
        return True

    return admit


def simulate(control: RateControl, limit: Limiter, count: int, now: int = 0, window: int = 20) -> tuple[int, int]:
    """Submit from ``now`` until ``count`` are served; returns when the last one was, and the number of refusals.

    Each response takes 5 ms, and a refusal asks for a delay of 100 ms.
    """
    in_flight: deque[tuple[int, int, bool]] = deque()
    served_count = refused = last = 0
    while served_count < count:
        if in_flight and in_flight[0][0] <= now:
            responded_at, sent, served = in_flight.popleft()
            control.record_response(now, sent, not served, 100 * MS)
            served_count, refused, last = served_count + served, refused + (not served), responded_at
        elif len(in_flight) < window and served_count + len(in_flight) < count and control.earliest_send(now) <= now:
            control.record_sent(now)
            in_flight.append((now + 5 * MS, now, limit(now)))
        else:
            next_response = [in_flight[0][0]] if in_flight else []
            now = max(
                now + 1, min([*next_response, *([control.earliest_send(now)] if len(in_flight) < window else [])])
            )
    return last, refused


@pytest.mark.parametrize(
    "limiter",
    [lambda r: token_bucket(r, r), lambda r: token_bucket(r, r // 20), fixed_window, sliding_window],
    ids=["bucket of a second", "small bucket", "fixed window", "sliding window"],
)
@pytest.mark.parametrize("rate", [20, 200])
def test_a_limit_is_found_and_respected(limiter: Callable[[int], Limiter], rate: int) -> None:
    control, count = RateControl(), 60 * rate
    limit = limiter(rate)
    finished_at, refused = simulate(control, limit, count)
    assert finished_at < 1.2 * 60 * SECOND and refused < 0.05 * count
    assert finished_at > 0.97 * 60 * SECOND, "the simulated limit does not hold"


def test_a_raised_limit_is_found() -> None:
    control = RateControl()
    simulate(control, fixed_window(20), 200)
    finished_at, _ = simulate(control, fixed_window(200), 2000, now=11 * SECOND)
    assert finished_at < 35 * SECOND, "more than about twice the time at the known rate"


def test_an_agreed_rate_is_never_refused() -> None:
    assert simulate(RateControl(50.0), sliding_window(50), 500)[1] == 0


def test_refusals_of_one_burst_reduce_the_rate_once() -> None:
    control = RateControl()
    for index in range(40):
        control.record_response(1_000 + index, index, False)
    for index in range(20):
        control.record_response(2_000 + index, 100 + index, True, 100 * MS)
    assert control.refusals == 20 and control.ceiling == 40 and control.earliest_send(2_019) == 2_019 + 100 * MS


def test_a_window_halves_once_for_the_submits_in_flight_and_grows_back() -> None:
    window = Window(16)
    for _ in range(16):
        window.record_response(10, 0, True, None)
    assert window.room == 8
    for at in range(20, 180):
        window.record_response(at, at - 5, False, None)
    assert window.room == 16
    window.record_response(300, 290, False, 95)
    assert int(window.size) == 12
    before = window.size
    window.record_response(310, 305, False, 85)
    assert window.size == before, "optimum load changes nothing"
    window.record_response(400, 390, False, 20)
    assert window.size > before


def test_a_window_shrinks_when_responses_slow_down() -> None:
    window = Window(10)
    for at in range(10):
        window.record_response(at * 10 * MS + 10 * MS, at * 10 * MS, False, None)
    window.record_response(1_000 * MS, 400 * MS, False, None)
    assert window.room == 8
    window.record_loss(2_000 * MS)
    assert window.room == 4


def test_bind_delays_grow_and_have_jitter() -> None:
    backoffs = [[Backoff(200 * MS, 30 * SECOND, seed) for _ in range(1)][0] for seed in range(20)]
    first = {backoff.failed(0) for backoff in backoffs}
    assert len(first) > 10 and all(100 * MS <= wait <= 200 * MS for wait in first)
    repeated = backoffs[0]
    steps = [repeated.failed(0) for _ in range(12)]
    assert all(15 * SECOND <= wait <= 30 * SECOND for wait in steps[-3:]) and repeated.retry_at == steps[-1]
    repeated.succeeded()
    assert repeated.retry_at == 0 and repeated.failed(0) <= 200 * MS
    assert repeated.failed(0, refused=True) >= 15 * SECOND


def test_sessions_are_opened_on_demand_and_unbound_when_idle(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, slots=40)
    gate = StandInGateway(testbed, pause=lambda _: 50 * MS)
    testbed.open(gateway(gate.address, sessions=3, window=2, idle_unbind=2 * SECOND))
    contractor = testbed.contractor()
    submit(testbed, contractor, b"one")
    link = next(iter(testbed.gateways._links.values()))
    testbed.run_until(lambda: len(contractor.final_states()) == 1)
    assert len(link.sessions) == 1
    testbed.loop.spawn(lambda: [contractor.submit(b"%d" % index, "WO") for index in range(30)])
    testbed.run_until(lambda: len(contractor.final_states()) == 31)
    assert len(link.sessions) == 3 and gate.max_in_flight == 6
    testbed.run_for(5 * SECOND)
    assert not link.sessions


def test_an_unavailable_gateway_is_not_flooded_with_binds(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, slots=40)
    gate = StandInGateway(testbed, "accept", closes=10_000)
    testbed.open(gateway(gate.address, bind_retry_delay=200 * MS, max_bind_retry_delay=2 * SECOND, stay_bound=True))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "WO", 20)
    before = gate.closes
    testbed.run_for(10 * SECOND)
    assert 5 <= before - gate.closes + 1 <= 20, "binds in ten seconds with delays up to two seconds"
    gate.closes = 0
    testbed.run_until(lambda: gate.submits)
    assert next(iter(testbed.gateways._links.values())).sessions[0].window.size < 4, "slow start after an outage"
    testbed.run_until(lambda: len(contractor.final_states()) == 20)


def test_a_refused_account_is_not_retried_at_once(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    binds: list[Pdu] = []

    def refuse(stream: object, pdu: Pdu) -> None:
        binds.append(pdu)
        StandInGateway.write(gate, stream, Pdu(pdu.command, pdu.sequence, Status.ESME_RINVPASWD))  # type: ignore[arg-type]

    gate.write = refuse  # type: ignore[method-assign, assignment]
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    message_id = submit(testbed, contractor, b"a", "PAY")
    testbed.run_until(lambda: message_id in contractor.final_states())
    # 8 is REJECTED: the payment certainly did not run.
    assert contractor.final_states()[message_id] == {8} and len(binds) == 1, (
        "certainly not run, and the account is not locked"
    )


def test_a_standby_gateway_takes_over_while_the_first_is_unavailable(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    first, second = StandInGateway(testbed), StandInGateway(testbed)
    testbed.open(gateway(first.address, "first", rank=0, dest=900), gateway(second.address, "second", rank=1, dest=900))
    contractor = testbed.contractor()
    for index in range(5):  # one by one: of a burst, some may go to the second before the first has been tried
        submit(testbed, contractor, b"%d" % index)
        testbed.run_until(lambda index=index: len(contractor.final_states()) == index + 1)  # type: ignore[misc]
    assert len(first.submits) == 5 and not second.submits
    first.listener.close()
    first.streams[Command.BIND_TRANSCEIVER].close()
    for index in range(5):
        submit(testbed, contractor, b"more-%d" % index)
    testbed.run_until(lambda: len(contractor.final_states()) == 10)
    assert len(second.submits) == 5
