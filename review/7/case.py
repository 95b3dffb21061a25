"""A spoilt Retry-After takes accepted messages' final answers away, and the courier's slots with them."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, Case, main, submission, submit

# The largest double, as some languages print it. The other refusals of this endpoint name a usual wait.
SPOILT, USUAL = "1.7976931348623157E308", "0.5"
CLUMP = 8  # messages for one member system at once
LIFETIME = 4.0
LATE = 0.35  # seconds after a message's time at which it is lost: 300 ms, and 50 ms on sockets


async def story(case: Case) -> str:
    """A member system that has served refuses a clump of messages once, with a spoilt Retry-After."""
    record, endpoint = case.record, case.endpoint
    taken: dict[str, float] = {}
    refused: set[str] = set()

    async def answer(trace: str, writer: asyncio.StreamWriter) -> None:
        if trace.startswith("clump") and trace not in refused:
            refused.add(trace)
            wait = SPOILT if TROUBLE else USUAL
            await asyncio.sleep(0.02)
            record(f"{endpoint.name}: refuses {trace}, Retry-After: {wait}")
            head = f"HTTP/1.1 429 Too Many Requests\r\nRetry-After: {wait}\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return
        await endpoint.run(trace, writer)

    async def hand_in(trace: str, cls: str) -> None:
        status = await submit(case.courier.listen, submission(trace, cls, expires_ms=int(LIFETIME * 1000)))
        record(f"client: {cls} {trace} is answered {status}")
        if status in (200, 202):
            taken[trace] = time.monotonic()

    endpoint.answer = answer
    await case.courier.start()
    for number in range(5):
        await hand_in(f"before-{number}", "reading")
        await asyncio.sleep(0.2)
    classes = ("reading", "work-order", "payment")
    await asyncio.gather(*(hand_in(f"clump-{number}", classes[number % 3]) for number in range(CLUMP)))
    await asyncio.sleep(1.0)
    for number in range(3):
        await hand_in(f"after-{number}", classes[number])
    await asyncio.sleep(LIFETIME + 1.0)

    told = {notice["id"]: at for at, notice in case.platform.notices}
    lost = [
        trace
        for trace, at in taken.items()
        if trace not in endpoint.runs and told.get(trace, at + LIFETIME + 1) > at + LIFETIME + LATE
    ]
    record(f"taken on: {len(taken)}; neither delivered nor ended in time: {' '.join(lost) or 'none'}")
    if lost:
        return f"{len(lost)} of {len(taken)} messages that were taken on were neither delivered nor ended"
    return ""


if __name__ == "__main__":
    main(__file__, story)
