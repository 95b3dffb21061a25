"""The simulator's protocol: fixed byte strings, invalid input, and an exchange with the deployed command."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from snowlock import interface as api
from snowlock import wire

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "classes": [
        {
            "objective_ns": 10**9,
            "deadline_ns": 4 * 10**9,
            "semantics": "single_shot",
            "one_at_a_time": True,
            "value": 2.0,
            "unheard_of": 1,
        }
    ],
    "family_info": {"workers": 4, "routes_apart": [True], "toll": [0.5, 0.0], "decay": "by_half"},
    "limits": {
        "max_attempts": 3,
        "max_open": 50,
        "connect_timeout_ns": 10**9,
        "retry_after": True,
        "max_retry_after_ns": 7,
        "parallel_tries": False,
    },
    "rules": {"cold_from": 0.2, "ramp_time_ns": 10**10, "tip_multiple": 2.0, "fall_ns": 10**9},
    "load_report": {"columns": ["x1", "x0"], "how": "inline"},
    "quantum_ns": 5_000_000,
    "n_instances": 2,
    "weights": "rough",
    "something_new": {},
}


def opening(instance: int = 3, settings: object = None) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return struct.pack("<BHQI", 6, instance, 99, len(text)) + text


def frame(now: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(body), len(records), now) + body


ENDPOINT_LIST = bytes.fromhex("03 0000 01000000 0a124a07 2b23 0000 0000 3900 01 0000803f 0000000000000000")
LIST_CHANGE = bytes.fromhex("05 0300 02 2900000000000000 0000")
ARRIVAL = bytes.fromhex(
    "0a 0300 c4913a5dad290a00 00 00000000 640ad2557c3bf091 001c4e0e00000000001bb70000000000 00006442 0100"
)
ATTEMPT_ENDED = bytes.fromhex(
    "08 0300 c4913a5dad290a00 0000 0a124a07 2b23 0000 a0491a0100000000 01 0000000002 cdcccc3e0000a03f"
)
TARGET = bytes.fromhex("0a124a07 2b23")
MESSAGE = 0x000A29AD5D3A91C4


def decode(*records: bytes) -> list[tuple[int, wire.Item]]:
    return list(wire.Decoder().decode(b"".join(records), len(records)))


def test_events_are_decoded_from_fixed_bytes() -> None:
    decoded = decode(
        ENDPOINT_LIST,
        LIST_CHANGE,
        ARRIVAL,
        ATTEMPT_ENDED,
        bytes.fromhex("01 0300 4d00000000000000"),
        bytes.fromhex("07 0500 192b6f0e36110500"),
        bytes.fromhex("09 0300"),
    )
    endpoint = api.Endpoint(TARGET, 57, 0, 0, api.EndpointState.READY, 1.0)
    assert decoded[0] == (3, api.EndpointList(api.ListKind.CACHED, (endpoint,)))
    assert decoded[1] == (3, api.Arrival(MESSAGE, 0, 57, 240_000_000, 0, 0x91F03B7C55D20A64))
    ended = decoded[2][1]
    assert isinstance(ended, api.AttemptEnded) and ended.closed and ended.latency_ns == 18_500_000
    assert ended.report == pytest.approx((0.4, 1.25)) and ended.outcome is api.Outcome.OK
    assert decoded[3:] == [(3, api.TimerFired(77)), (5, api.Withdrawn(0x0005_1136_0E6F_2B19)), (3, wire.Detached())]


def test_actions_are_encoded_as_the_protocol_specifies() -> None:
    expected = {
        "42 0300 c4913a5dad290a00 00b4c40400000000 0a124a07 2b23": api.Send(MESSAGE, TARGET, 80_000_000),
        "43 0300 192b6f0e36110500 80b2e60e00000000": api.Refuse(0x5_1136_0E6F_2B19, 250_000_000),
        "47 0300 192b6f0e36110500": api.Fail(0x5_1136_0E6F_2B19),
        "4b 0300 4d00000000000000 9024361302000000": api.SetTimer(77, 0x0000000213362490),
        "4c 0300 0a124a07 2b23": api.CloseIdle(TARGET),
        "4a 0300 01": api.Subscribe(),
        "49 0300 1100 74776f2073657276657273206b6e6f776e": api.Log("two servers known"),
    }
    for text, action in expected.items():
        assert wire.encode(3, action) == bytes.fromhex(text)


def test_settings_are_read_by_key_and_unknown_keys_are_ignored() -> None:
    ((_, opened),) = decode(opening())
    assert isinstance(opened, wire.Opened)
    s = opened.settings
    assert s.classes[0].safety is api.Safety.UNSAFE and s.classes[0].ordered and s.decay is api.Decay.HALVES
    assert (s.limit_column, s.share_left_column, s.slots, s.rate_hint) == (0, 1, 4, api.RateHint.ROUGH)


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "snowlock.wirehost"], input=data, capture_output=True, cwd=ROOT, timeout=30, check=False
    )


@pytest.mark.parametrize(
    "data",
    [
        b"\x01",
        frame(5, ARRIVAL[:-1]),
        frame(5, b"\xc8"),
        frame(5, opening(settings={"classes": []})),
        frame(5, opening(settings=[])),
        frame(5, ARRIVAL)[:-2],
        frame(5, LIST_CHANGE),
        frame(5, ARRIVAL + b"\0"),
    ],
)
def test_invalid_input_ends_the_process_with_one_line_on_standard_error(data: bytes) -> None:
    result = run(data)
    assert result.returncode != 0 and result.stdout == b""
    assert result.stderr.startswith(b"snowlock: ") and result.stderr.count(b"\n") == 1


def test_an_exception_in_the_controller_is_reported_as_fatal() -> None:
    bad_class = bytearray(ARRIVAL)
    bad_class[11] = 9
    result = run(frame(5, opening(), ENDPOINT_LIST, LIST_CHANGE, bytes(bad_class)))
    count, size = struct.unpack_from("<II", result.stdout)
    assert count == 1 and result.stdout[8] == 69 and b"IndexError" in result.stdout[8 : 8 + size]


def test_the_deployed_command_answers_frames() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True, timeout=300)
    process = subprocess.Popen(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdin and process.stdout
    replies = []
    for batch in (
        frame(10**9),
        frame(2 * 10**9, opening(), ENDPOINT_LIST, LIST_CHANGE, ARRIVAL),
        frame(3 * 10**9, ATTEMPT_ENDED),
    ):
        process.stdin.write(batch)
        process.stdin.flush()
        _, size = struct.unpack("<II", process.stdout.read(8))
        replies.append(process.stdout.read(size))
    process.stdin.close()
    assert process.wait(20) == 0
    assert replies[0] == b"" and replies[2] == b""
    assert bytes([66]) + struct.pack("<HQ", 3, MESSAGE) in replies[1] and replies[1].endswith(TARGET)
