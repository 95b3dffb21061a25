"""Case 1: a late response of one gateway is taken for one of another gateway, and the message is lost."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

DEST, OTHERS, LIFE = 900, (7, 8, 9), 16.0
USUAL, SLOW = 0.1, 2.0  # response time of the first gateway, and while it is slow (20 times as long)
RECEIPT_AFTER = 3.0
BEFORE, SLOW_FOR, CLUMP = 20, 40, 3  # messages


class CountingGateway(rig.Gateway):
    """A gateway that numbers its messages from 1, and sends a receipt for each.

    Messages whose text begins with "away" are for a subscriber who can't be reached: UNDELIV. Others are delivered.
    """

    def __init__(self, record: rig.Record, name: str) -> None:
        super().__init__(record, name, USUAL)
        self.states: dict[str, int] = {}  # by message_id
        self.accepted: dict[str, str] = {}  # by text: message_id
        self.delivered: set[str] = set()  # texts

    async def on_submit(self, writer: asyncio.StreamWriter, sequence: int, text: str, fields: dict[str, Any]) -> None:
        """Accept the message, answer after the latency, and send the receipt some seconds later."""
        message_id = str(len(self.states) + 1)
        self.states[message_id], self.accepted[text] = rig.ENROUTE, message_id
        latency = self.latency
        await asyncio.sleep(latency)
        writer.write(rig.pdu(rig.SUBMIT_SM | rig.RESPONSE, sequence, message_id.encode() + b"\0"))
        self.record(f"gateway {self.name} answers {text} after {latency:g} s: accepted, id {message_id}")
        await asyncio.sleep(RECEIPT_AFTER)
        away = text.startswith("away")
        self.states[message_id] = rig.UNDELIVERABLE if away else rig.DELIVERED
        if not away:
            self.delivered.add(text)
        self.record(f"gateway {self.name}: {text} is {'not ' if away else ''}delivered")
        self.send_receipt(message_id, self.states[message_id])

    async def on_question(self, writer: asyncio.StreamWriter, command: int, sequence: int, body: bytes) -> None:
        """Answer query_sm by the state of the message; no message can be cancelled any more."""
        message_id, _ = rig.c_string(body, 0 if command == rig.QUERY_SM else body.index(b"\0") + 1)
        state = self.states.get(message_id)
        self.record(f"gateway {self.name} is asked (command {command}) about id {message_id}: {state}")
        if command == rig.CANCEL_SM or state is None:
            await super().on_question(writer, command, sequence, body)
            return
        writer.write(rig.pdu(command | rig.RESPONSE, sequence, message_id.encode() + b"\0\0" + bytes([state, 0])))


async def case(record: rig.Record, folder: Path, couriers: list[rig.Courier]) -> int:
    """Hand in messages for a destination with two gateways, of which the first is slow for ten seconds."""
    discovery = rig.Discovery(record)
    await discovery.start()
    for dest in OTHERS:
        endpoint = rig.Endpoint(record, f"hop-{dest}")
        await endpoint.start()
        discovery.set(endpoint.name, endpoint.port, dest)
    gateways = [CountingGateway(record, name) for name in ("sms-1", "sms-2")]
    (folder / "password").write_text("secret")
    (folder / "password").chmod(0o600)
    conf = f"smpp\n    enabled on\n    listen 127.0.0.1:{rig.free_port()}\n"
    for rank, gateway in enumerate(gateways):
        await gateway.start()
        conf += (
            f"smpp-gateway {gateway.name}\n    address 127.0.0.1:{gateway.port}\n    destination {DEST}\n"
            f"    system-id us\n    password-file {folder}/password\n    rank {rank}\n    outcome receipt\n"
        )
    courier = rig.Courier(record, folder, discovery.port, rig.platform_settings(), conf)
    couriers.append(courier)
    await courier.start()
    rig.spawn(rig.background(record, courier.port, OTHERS, 9))
    taken: dict[str, float] = {}

    async def hand_in(trace: str, qos: str) -> None:
        status = await rig.submit(
            record, courier.port, trace, qos, DEST, trace.encode() + b" level 7", int(LIFE * 1000)
        )
        if status in (200, 202):
            taken[trace] = time.monotonic()

    for i in range(BEFORE + 60):  # 4 messages a second, and one clump
        if i == BEFORE:
            gateways[0].latency = SLOW if rig.TROUBLE else USUAL
            for j in range(CLUMP):
                rig.spawn(hand_in(f"away-{j}", "reading"))
            await asyncio.sleep(0.1)
            rig.spawn(hand_in("here-payment", "payment"))
        elif i == BEFORE + SLOW_FOR:
            gateways[0].latency = USUAL
        rig.spawn(hand_in(f"here-{i}", "reading"))
        await asyncio.sleep(0.25)
    await asyncio.sleep(LIFE + 1)
    lost = []
    for trace in taken:
        ended = discovery.ended(trace)
        delivered = any(trace in gateway.delivered for gateway in gateways)
        if not ended and not delivered:
            lost.append(trace)
            accepted = [f"{g.name} id {g.accepted[trace]}" for g in gateways if trace in g.accepted]
            record(f"LOST: {trace}, accepted by {accepted}, neither delivered nor ended by a notice")
        elif delivered and ended:
            record(f"{trace} was delivered, and a notice says {ended}")
    record(f"{len(taken)} messages taken on, {len(lost)} lost")
    if len(taken) < 50:
        raise rig.CannotRunError("too few messages were taken on")
    return rig.BROKEN if lost or not courier.running() else rig.HELD


rig.main(Path(__file__).resolve().parent, case)
