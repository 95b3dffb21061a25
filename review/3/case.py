"""Case 3: while a call to an SMPP gateway is still out, the same message is sent to an HTTP endpoint."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

DEST, OTHERS = 900, (7, 8, 9)
HANG = 8.0
GRACE = 0.3  # a connection that the courier closed before the second call is seen closed by then


class HangingGateway(rig.Gateway):
    """A gateway that takes every submit_sm; while it hangs it answers none, and afterwards all of them."""

    def __init__(self, record: rig.Record, name: str) -> None:
        super().__init__(record, name)
        self.answering = asyncio.Event()
        self.answering.set()
        self.out: dict[str, asyncio.StreamWriter] = {}  # by text: the connection of a submit without a response

    async def on_submit(self, writer: asyncio.StreamWriter, sequence: int, text: str, fields: dict[str, Any]) -> None:
        """Answer a submit_sm after the latency, and not before the end of a hang."""
        self.out[text] = writer
        await asyncio.sleep(self.latency)
        await self.answering.wait()
        if self.out.get(text) is writer:
            del self.out[text]
        if self.is_open(writer):
            self.record(f"gateway {self.name} answers {text}")
            writer.write(rig.pdu(rig.SUBMIT_SM | rig.RESPONSE, sequence, b"1\0"))

    def is_open(self, writer: asyncio.StreamWriter) -> bool:
        """Whether the courier has not closed the connection."""
        return writer in self.writers and not writer.is_closing()

    def is_out(self, text: str) -> bool:
        """Whether a submit_sm with the text has no response yet, on a connection that is open."""
        return text in self.out and self.is_open(self.out[text])


class WatchingEndpoint(rig.Endpoint):
    """An HTTP endpoint that notes calls whose message is still out at the gateway."""

    def __init__(self, record: rig.Record, name: str, gateway: HangingGateway) -> None:
        super().__init__(record, name)
        self.gateway, self.second_copies = gateway, list[str]()

    async def on_call(self, trace: str) -> None:
        """Note a second copy: a call during which the gateway's call stays out."""
        if not self.gateway.is_out(trace):
            return
        writer = self.gateway.out[trace]
        await asyncio.sleep(GRACE)
        if self.gateway.out.get(trace) is writer and self.gateway.is_out(trace):
            self.record(f"SECOND COPY of {trace}: the call to the gateway is still out, on an open connection")
            self.second_copies.append(trace)


async def case(record: rig.Record, folder: Path, couriers: list[rig.Courier]) -> int:
    """Let the gateway of a destination hang; the destination also has an HTTP endpoint in another room."""
    discovery, gateway = rig.Discovery(record), HangingGateway(record, "sms-1")
    endpoint = WatchingEndpoint(record, "hop-900", gateway)
    for server in (discovery, gateway, endpoint):
        await server.start()
    discovery.set("hop-900", endpoint.port, DEST, zone="room-b")
    for dest in OTHERS:
        other = rig.Endpoint(record, f"hop-{dest}")
        await other.start()
        discovery.set(other.name, other.port, dest)
    (folder / "password").write_text("secret")
    (folder / "password").chmod(0o600)
    conf = (
        f"smpp\n    enabled on\n    listen 127.0.0.1:{rig.free_port()}\n"
        f"smpp-gateway sms-1\n    address 127.0.0.1:{gateway.port}\n    destination {DEST}\n    system-id us\n"
        f"    password-file {folder}/password\n    zone room-a\n"
    )
    settings = rig.platform_settings(dcs=["room-a", "room-b"], zone=0, fees={"cross_zone": 0.01})
    settings["limits"] = settings["limits"] | {"parallel_tries": False}
    courier = rig.Courier(record, folder, discovery.port, settings, conf)
    couriers.append(courier)
    await courier.start()
    rig.spawn(rig.background(record, courier.port, OTHERS, 9))

    async def hand_in(trace: str, qos: str) -> bool:
        body, key = trace.encode() + b" level 7", trace if qos == "work-order" else ""
        return await rig.submit(record, courier.port, trace, qos, DEST, body, 16_000, key) in (200, 202)

    for i in range(20):
        await hand_in(f"warm-{i}", "reading")
        await asyncio.sleep(0.2)
    if not any(text.startswith("warm") for _, text in gateway.submits):
        raise rig.CannotRunError("the gateway in the courier's room is not used")
    if rig.TROUBLE:
        record("gateway sms-1 takes calls and answers none")
        gateway.answering.clear()
    taken = await asyncio.gather(
        hand_in("payment-0", "payment"),
        *(hand_in(f"reading-{i}", "reading") for i in range(3)),
        *(hand_in(f"order-{i}", "work-order") for i in range(3)),
    )
    await asyncio.sleep(HANG)
    gateway.answering.set()
    await asyncio.sleep(14)
    record(f"{sum(taken)} messages taken on, {len(endpoint.second_copies)} second copies: {endpoint.second_copies}")
    if not any(taken):
        raise rig.CannotRunError("no message was taken on")
    return rig.BROKEN if endpoint.second_copies or not courier.running() else rig.HELD


rig.main(Path(__file__).resolve().parent, case)
