"""The transport map: ownership of entries, removals by a source, and rival sources."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.core import entries
from kestrelspar.core.transport_map import NO_BOUND, NextHop, TransportMap
from snowlock.interface import Endpoint, EndpointState
from tests.bench import settings

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE


class FakeCarrier:
    def close_idle(self, hop: NextHop) -> None:
        pass


def hop(name: str, port: int = 1, state: EndpointState = READY, within: int = NO_BOUND) -> NextHop:
    return NextHop(Endpoint(name.encode(), 7, state=state), ("127.0.0.1", port), FakeCarrier(), delivery_timeout=within)  # type: ignore[arg-type]


# Each step: source, its entries (name and port; ! means draining), whether these are all its entries, and removed ids;
# then the expected map (name=owner:port) and log events.
STEPS = [
    ("d", "a1 b1", True, "", "a=d:1 b=d:1", ""),
    ("r", "b2 c2", True, "", "a=d:1 b=d:1 c=r:2", "map-conflict"),
    ("r", "b2", False, "", "a=d:1 b=d:1 c=r:2", ""),  # the conflict is logged once
    ("r", "b2!", False, "", "a=d:1 b=d:1 c=r:2", ""),  # a rival cannot drain an entry that it does not own
    ("r", "c2", True, "", "a=d:1 b=d:1 c=r:2", ""),  # keeps the entries of d; r is no rival for b any more
    ("d", "a1", True, "", "a=d:1 c=r:2", ""),
    ("d", "b3", False, "", "a=d:1 b=d:3 c=r:2", ""),
    ("r", "b2", False, "", "a=d:1 b=d:3 c=r:2", "map-conflict"),
    ("d", "", False, "b", "a=d:1 b=r:2 c=r:2", "map-takes-over"),
    ("r", "", True, "", "a=d:1", ""),
    ("d", "", False, "zz a", "", ""),
]


def test_an_entry_is_owned_by_the_source_that_listed_it_first() -> None:
    table = TransportMap()
    for source, listed, complete, removed, expected, events in STEPS:
        update = [hop(text[0], int(text[1]), DRAINING if "!" in text else READY) for text in listed.split()]
        before = set(table.hops)
        change = table.apply(source, update, complete, [name.encode() for name in removed.split()])
        actual = {name.decode(): f"{table.owner(name)}:{held.address[1]}" for name, held in table.hops.items()}
        assert actual == dict(item.split("=") for item in expected.split()), (source, listed)
        assert [name for name, _ in change.events] == events.split()
        reported = {row.id: row.state for row in change.endpoints}  # the last row for each id
        assert all(reported[name] is GONE for name in before - set(table.hops))
        assert all(reported.get(name, READY) is READY for name in table.hops)
    assert table.destinations == {7}


def test_idle_connections_are_closed_when_an_entry_drains_moves_or_is_removed() -> None:
    table = TransportMap()
    table.apply("d", [hop("a", 1, within=500)])
    assert table.delivery_timeout(7) == 500 and table.delivery_timeout(8) == NO_BOUND
    assert [held.address[1] for held in table.apply("d", [hop("a", 2)]).close_idle] == [1] and table.delivery_timeout(
        7
    ) == NO_BOUND
    assert table.apply("d", [hop("a", 2, DRAINING)]).close_idle and table.apply("d", [], removed=[b"a"]).close_idle


# The entry as JSON, and a part of the error message.
@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"name":"a","address":"127.0.0.1:1","group":"7"}', "$.group"),
        ("[]", "object"),
        ("{", "truncated"),
        ('{"name":"a","address":"127.0.0.1","group":7}', "HOST:PORT"),
        ('{"name":"","address":"x:1","group":7}', "$.name"),
        ('{"name":"a","address":"127.0.0.1:1","group":7,"status":"left"}', "$.status"),
        ("\xff", "malformed"),
        ('{"name":"a","address":"127.0.0.1:1","group":7,"weight":0}', "$.weight"),
        ('{"name":"a","address":"127.0.0.1:1","group":7,"zone":"moon"}', "zone"),
    ],
)
def test_the_error_for_an_invalid_entry_names_the_field(text: str, expected: str) -> None:
    with pytest.raises(ValueError, match=expected.replace("$", r"\$")):
        entries.to_next_hop(entries.decode(text.encode("latin-1")), settings(), FakeCarrier())  # type: ignore[arg-type]


def test_the_error_for_an_invalid_map_file_names_the_fault(tmp_path: Path) -> None:
    for text, expected in (
        ('{"endpoints": [{}]}', r"\$\.endpoints\[0\]"),
        ("", "truncated"),
        ('{"endpoints": [' + ",".join(['{"name":"a","address":"127.0.0.1:1","group":1}'] * 2) + "]}", "two endpoints"),
    ):
        (tmp_path / "m.json").write_text(text)
        with pytest.raises(ValueError, match=expected):
            entries.read_map(str(tmp_path / "m.json"))
