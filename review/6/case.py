"""A payment that was submitted in parts by submit_multi, and whose calls may have run, is sent again after a kill."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, CannotRunError, Case, free_address, main
from smpp2 import UDHI, Contractor, Gateway

ANSWER_AFTER = 2.0  # seconds: 5.9 times the usual 340 ms, as a gateway that is slow takes 5.8 to 23 times as long
KILL_AFTER = 0.6  # from the last submit
CONF = """smpp
    enabled         on
    listen          {listen}
    service-type    PAY payment
    destination     372555 900

smpp-account acme
    password-file   acme
    message-class   payment

smpp-gateway sms-1
    address         {gateway}
    destination     900
    system-id       us
    password-file   sms-1
"""


async def story(case: Case) -> str:
    """A contractor submits one payment in two parts; the courier is killed while the gateway has not answered."""
    record, courier, folder = case.record, case.courier, case.folder
    gateway, listen = Gateway(record, ANSWER_AFTER), free_address()
    await gateway.start()
    for name in ("acme", "sms-1"):
        (folder / name).write_text("secret")
        (folder / name).chmod(0o600)
    courier.conf = folder / "site.conf"
    courier.conf.write_text(CONF.format(listen=listen, gateway=gateway.address))
    await courier.start()
    contractor = Contractor(record, listen)
    if await contractor.bind(b"acme", b"secret"):
        raise CannotRunError("the bind was refused")
    for place, text in enumerate((b"charge fee 1 of account 4711, ", b"reference ABC"), 1):
        header = bytes([5, 0, 3, 77, 2, place])
        status, _ = await contractor.submit_multi(b"PAY", b"3725551", header + text, UDHI)
        if status:
            raise CannotRunError("a part was refused")
    await asyncio.sleep(KILL_AFTER)
    before = len(gateway.texts)
    if before != 2:
        raise CannotRunError("the two parts were not called")
    if TROUBLE:
        await courier.kill()
        contractor.close()
        await asyncio.sleep(0.6)
        await courier.start()
    await asyncio.sleep(6.0)
    runs = gateway.runs(b"charge fee 1")
    record(f"submit_sm at the gateway: {before} before, {len(gateway.texts)} in all; 'charge fee 1' ran {runs} times")
    return f"the payment 'charge fee 1' ran {runs} times" if runs > 1 else ""


if __name__ == "__main__":
    main(__file__, story)
