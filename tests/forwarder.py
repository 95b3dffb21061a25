"""A forwarder for tests: they feed its controller with events, and it checks rules that hold for every reply."""

from __future__ import annotations

from snowlock import Controller
from snowlock.interface import (
    Arrival,
    AttemptEnded,
    CloseIdle,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    Fail,
    ListKind,
    Log,
    MessageClass,
    Outcome,
    RateHint,
    Refuse,
    Safety,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)

MS = 1_000_000
SECOND = 1_000 * MS


def message_class(safety: Safety = Safety.SAFE, **overrides: object) -> MessageClass:
    values: dict[str, object] = {
        "aim_ns": SECOND,
        "deadline_ns": 10 * SECOND,
        "safety": safety,
        "window_ns": 25 * SECOND,
    }
    return MessageClass(**(values | overrides))  # type: ignore[arg-type]


def settings(*classes: MessageClass, **overrides: object) -> Settings:
    values: dict[str, object] = {
        "classes": classes or (message_class(),),
        "slots": 20,
        "routes_apart": (True, False),
        "tick_ns": 5 * MS,
        "settle_ns": 100 * MS,
        "rate_hint": RateHint.ROUGH,
    }
    return Settings(**(values | overrides))  # type: ignore[arg-type]


def route(name: str) -> bytes:
    return name.encode().ljust(6, b".")


class Forwarder:
    """Feeds events to a controller on a simulated clock, fires its timers, and records its actions with their times.

    ``feed`` fails if a message is sent, or answered again, after its final answer.
    """

    def __init__(self, controller_settings: Settings | None = None, seed: int = 7) -> None:
        self.settings = controller_settings or settings()
        self.controller = Controller(self.settings, seed)
        self.now = 1_000 * SECOND
        self.timers: list[tuple[int, int]] = []  # time and token
        self.sends: list[tuple[int, Send]] = []
        self.attempts: dict[int, int] = {}  # by message: number of attempts
        self.in_flight: dict[tuple[int, int], bytes] = {}  # by message and attempt: endpoint
        self.answers: dict[int, tuple[int, object]] = {}  # by message: time, and final answer
        self.logs: list[str] = []
        self.closed: list[bytes] = []  # endpoints whose idle connections were to be closed
        self.subscribed = 0  # number of requests of the endpoint list

    def feed(self, *events: Event) -> list[Send]:
        """Feed one batch of events and return the sends of the reply."""
        sends = []
        for action in self.controller.handle(self.now, events):
            if isinstance(action, Send):
                assert action.message not in self.answers, "a send after the final answer"
                number = self.attempts.get(action.message, 0)
                self.attempts[action.message] = number + 1
                self.in_flight[action.message, number] = action.endpoint
                self.sends.append((self.now, action))
                sends.append(action)
            elif isinstance(action, (Refuse, Fail)):
                assert action.message not in self.answers, "a second final answer"
                self.answers[action.message] = (self.now, action)
            elif isinstance(action, SetTimer):
                self.timers.append((max(action.at_ns, self.now + 1), action.token))
            elif isinstance(action, Log):
                self.logs.append(action.text)
            elif isinstance(action, CloseIdle):
                self.closed.append(action.endpoint)
            elif isinstance(action, Subscribe):
                self.subscribed += 1
        return sends

    def run_to(self, at: int) -> list[Send]:
        """Advance the clock to a time, fire the timers due by then, and return the sends."""
        sends: list[Send] = []
        while self.timers and min(self.timers)[0] <= at:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            sends += self.feed(TimerFired(timer[1]))
        self.now = at
        return sends

    def wait(self, duration: int) -> list[Send]:
        return self.run_to(self.now + duration)

    def endpoints(
        self,
        *names: str,
        destination: int = 1,
        kind: int = 0,
        zone: int = 0,
        rate: float = 100.0,
        state: EndpointState = EndpointState.READY,
        list_kind: ListKind = ListKind.DELTA,
    ) -> list[Send]:
        entries = tuple(Endpoint(route(name), destination, zone, kind, state, rate) for name in names)
        return self.feed(EndpointList(list_kind, entries))

    def arrive(self, number: int, cls: int = 0, destination: int = 1, key: int = 0) -> list[Send]:
        time_left = self.settings.classes[cls].deadline_ns
        return self.feed(Arrival(number, cls, destination, time_left, 0, key))

    def outcome(
        self,
        number: int,
        outcome: Outcome,
        wait_ns: int = 0,
        latency: int = 100 * MS,
        attempt: int | None = None,
        report: tuple[float, ...] = (),
    ) -> list[Send]:
        attempt_number = self.attempts[number] - 1 if attempt is None else attempt
        endpoint = self.in_flight.pop((number, attempt_number))
        closed = outcome is Outcome.OK or number in self.answers
        if outcome is Outcome.OK and number not in self.answers:
            self.answers[number] = (self.now, outcome)
        return self.feed(
            AttemptEnded(number, attempt_number, endpoint, outcome, latency, closed, wait_ns, report=report)
        )
