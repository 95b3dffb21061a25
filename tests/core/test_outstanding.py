"""A message whose call is still out after its time-out goes to no next hop, over whichever protocol."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.core.messages import Answer, Message, Result
from kestrelspar.core.transport_map import NextHop
from kestrelspar.runtime.loop import SECOND, TIMED_OUT, Suspension
from snowlock import interface as api
from snowlock.interface import Outcome
from tests.bench import READING, CourierTestbed


class Call:
    """A call that is out until the test ends it."""

    def __init__(self, testbed: CourierTestbed) -> None:
        self.testbed, self.ended, self.result = testbed, False, None
        self.waiting: Suspension | None = None

    def wait(self, deadline: int) -> Result | None:
        if not self.ended:
            self.waiting = Suspension(self.testbed.loop)
            if self.testbed.loop.park(self.waiting, deadline) is TIMED_OUT:
                return Result(Outcome.MOOT)
        return self.result

    def end(self, result: Result | None) -> None:
        self.ended, self.result = True, result
        if self.waiting is not None:
            self.waiting.resume()


class Carrier:
    """Answers each attempt with the same result, and counts the attempts."""

    def __init__(self, result: Result) -> None:
        self.result, self.attempts = result, 0

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: object) -> Result:
        assert guard()  # type: ignore[operator]
        self.attempts += 1
        return self.result

    def close_idle(self, hop: NextHop) -> None:
        pass


@pytest.mark.parametrize(
    ("late_result", "attempts", "end"),
    [(None, 1, "delivered"), (Result(Outcome.OK), 0, "delivered"), (Result(Outcome.REJECTED), 0, "failed")],
)
def test_no_second_attempt_over_another_protocol_while_a_call_is_out(
    tmp_path: Path, late_result: Result | None, attempts: int, end: str
) -> None:
    testbed = CourierTestbed(tmp_path)
    call = Call(testbed)
    gateway = Carrier(Result(Outcome.TIMEOUT, outstanding=call))
    endpoint = Carrier(Result(Outcome.OK))

    def listed(state: api.EndpointState) -> list[NextHop]:
        return [
            NextHop(api.Endpoint(b"gateway", 7, 0, 0, state, rank=0), ("", 0), gateway),  # type: ignore[arg-type]
            NextHop(api.Endpoint(b"endpoint", 7, 0, 0, rank=1), ("", 0), endpoint),  # type: ignore[arg-type]
        ]

    testbed.courier.apply_map_update("map", listed(api.EndpointState.READY), complete=True)
    testbed.courier.ready = True
    message = Message("t", READING, 0, 7, testbed.loop.now + 16 * SECOND, b"", testbed.sender)

    def accept(answer: Answer) -> bool:
        return answer.accepted

    testbed.loop.spawn(testbed.courier.submit, message, accept)
    testbed.run_until(lambda: gateway.attempts)
    testbed.courier.apply_map_update("map", listed(api.EndpointState.DRAINING), complete=True)
    testbed.run_for(6 * SECOND)
    assert endpoint.attempts == 0 and gateway.attempts == 1
    call.end(late_result)
    testbed.run_until(lambda: testbed.sender.ends)
    assert testbed.sender.ends == [("t", end)] and endpoint.attempts == attempts
