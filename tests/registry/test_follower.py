"""The follower and the stand-in registry, connected by sockets: both protocols, each fault, restarts."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from kestrelspar.registry import saved_list
from kestrelspar.registry.follower import Follower
from kestrelspar.runtime.loop import SECOND
from kestrelspar.settings import schema
from kestrelspar.settings.resolve import Registry
from kestrelspar.standins.registry import Faults, Member, Store
from snowlock import interface as api
from tests.bench import JOURNAL_MAX_BYTES, CourierTestbed, listener
from tests.registry.registry_thread import RegistryThread
from tests.test_http import HttpTestbed, ok, submit_request

PREFIX = "hops/"
PROTOCOLS = ["etcd", "consul"]


def entry_json(name: str, status: str = "active", address: str = "127.0.0.1:9", group: int = 7) -> bytes:
    return json.dumps(
        {
            "name": name,
            "address": address,
            "group": group,
            "status": status,
            "type": "contractor",
            "zone": "room-a",
            "weight": 1.0,
            "since_ms": 0,
        }
    ).encode()


class FollowerHarness:
    """A courier with a follower of a stand-in registry of two members."""

    def __init__(
        self,
        state_directory: Path,
        protocol: str,
        testbed: CourierTestbed | None = None,
        store: Store | None = None,
        **overrides: Any,
    ) -> None:
        self.testbed = testbed or CourierTestbed(state_directory)
        self.state_directory, self.protocol, self.overrides = state_directory, protocol, overrides
        self.store = store or Store()
        self.members = [Member(self.testbed.loop, self.store, listener()[0], max_fragment_events=3) for _ in range(2)]
        self.follower = Follower(
            self.testbed.loop,
            self.testbed.buffers,
            self.testbed.courier,
            UnusedCarrier(),
            self.config(),
            str(state_directory),
            5,
        )

    def config(self, password: str = "", **overrides: Any) -> Registry:
        """The settings; ``password`` is etcd's password or Consul's token."""
        values: dict[str, Any] = {
            "type": self.protocol,
            "servers": tuple(m.address for m in self.members),
            "prefix": PREFIX,
            "check": 2 * SECOND,
            "page": 3,
            "wait": 4 * SECOND,
            "patience": 10 * SECOND,
            "answer_within": SECOND,
            "keep": 50_000,
        }
        if password:
            values |= {"username": "courier", "password_file": "-"} if self.protocol == "etcd" else {"token_file": "-"}
        return Registry("main", schema.Registry(**(values | self.overrides | overrides)), password, password)

    def put(self, *names: str, status: str = "active") -> None:
        self.store.commit([((PREFIX + name).encode(), entry_json(name, status), 0) for name in names])

    def remove(self, *names: str) -> None:
        self.store.delete(*(PREFIX + name for name in names))

    @property
    def ready_names(self) -> str:
        """The names of all ready hops, sorted and joined: most have one letter."""
        return "".join(
            sorted(
                hop.name
                for hop in self.testbed.courier.map.hops.values()
                if hop.endpoint.state is api.EndpointState.READY
            )
        )

    def until(self, names: str, within: int = 30 * SECOND) -> None:
        self.testbed.run_until(lambda: self.ready_names == names, within)

    def fault(self, **faults: Any) -> None:
        """Gives all members these faults and no others; without arguments, none."""
        for member in self.members:
            member.faults = Faults(**faults)


class UnusedCarrier:
    def attempt(self, *_: object) -> Any:
        raise AssertionError("unexpected delivery attempt")

    def close_idle(self, *_: object) -> None:
        pass


@pytest.fixture(params=PROTOCOLS)
def harness(request: pytest.FixtureRequest, tmp_path: Path) -> FollowerHarness:
    found = FollowerHarness(tmp_path, request.param)
    found.put(*"abcdefgh")
    found.follower.start()
    found.until("abcdefgh")
    return found


def test_puts_drains_and_removals_are_applied(harness: FollowerHarness) -> None:
    harness.put("i")
    harness.until("abcdefghi")
    harness.put("a", status="leaving")
    harness.remove("b", "c", "d", "e", "f")
    harness.until("ghi")
    assert harness.testbed.courier.map.hops[b"a"].endpoint.state is api.EndpointState.DRAINING
    harness.remove(*"aghi")
    harness.until("")
    harness.put("z")
    harness.until("z")


# By name, what puts the fault into effect. Some also close the current connections, so that new ones meet the fault.
FAULTS: dict[str, Callable[[FollowerHarness], object]] = {
    "drop": lambda harness: [m.close_connections() for m in harness.members],
    "cut in a line": lambda harness: harness.fault(cut=150),
    "cut in a head": lambda harness: harness.fault(cut=5),
    "garbage": lambda harness: (
        harness.fault(garbage=b'{"result":[1'),
        [m.close_connections() for m in harness.members],
    ),
    "garbage that is JSON": lambda harness: (
        harness.fault(garbage=b'[{"a":1}]'),
        [m.close_connections() for m in harness.members],
    ),
    "status 500": lambda harness: (harness.fault(status=500), [m.close_connections() for m in harness.members]),
    "status 429": lambda harness: (harness.fault(status=429), [m.close_connections() for m in harness.members]),
    "refuse": lambda harness: (harness.fault(refuse=True), [m.close_connections() for m in harness.members]),
    "silent": lambda harness: harness.fault(silent_until=harness.testbed.loop.now + 3 * SECOND),
    "deaf": lambda harness: harness.fault(deaf=True),
    "twice": lambda harness: harness.fault(twice=True),
    "no leader": lambda harness: harness.fault(leader=False),
    "index 0": lambda harness: harness.fault(index=0),
    "unpinned": lambda harness: harness.fault(unpinned=True),
    "another cluster": lambda harness: (
        harness.fault(cluster=77) if harness.protocol == "etcd" else None,
        [m.close_connections() for m in harness.members],
    ),
    "behind": lambda harness: (
        harness.fault(lag=harness.store.revision - 2),
        [m.close_connections() for m in harness.members],
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_restores_no_removed_entry_and_the_list_is_current_after_it(
    harness: FollowerHarness, name: str
) -> None:
    harness.remove("a", "b")
    harness.until("cdefgh")
    FAULTS[name](harness)
    harness.put("x")
    harness.remove("c")
    seen_names: set[str] = set()
    finished: list[int] = []
    harness.testbed.loop.call_at(harness.testbed.loop.now + 4 * SECOND, lambda: finished.append(1))
    # Collects the names at each turn of the loop; ``add`` returns None.
    harness.testbed.run_until(lambda: seen_names.add(harness.ready_names) or finished)
    assert not any(set(names) & {"a", "b"} for names in seen_names)
    harness.fault()
    harness.until("defghx")


def test_compaction_during_a_disconnection_loses_no_removal(harness: FollowerHarness) -> None:
    harness.fault(refuse=True)
    for member in harness.members:
        member.close_connections()
    harness.remove("a", "h")
    harness.put("b", status="leaving")
    harness.put("new")
    harness.store.compact(harness.store.revision)
    harness.fault()
    harness.until("cdefgnew")
    assert b"a" not in harness.testbed.courier.map.hops and len(harness.testbed.courier.map.hops) == 7


def test_an_expired_lease_removes_its_keys(harness: FollowerHarness) -> None:
    store, loop = harness.store, harness.testbed.loop
    lease = store.grant(loop.now, 5)
    store.commit([((PREFIX + "l").encode(), entry_json("l"), lease)])
    harness.until("abcdefghl")
    loop.call_at(loop.now + 5 * SECOND, lambda: store.expire_leases(loop.now))
    harness.until("abcdefgh")


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_tokens_are_sent_renewed_and_replaced_by_new_settings_without_a_gap(tmp_path: Path, protocol: str) -> None:
    harness = FollowerHarness(tmp_path, protocol)
    harness.store.accounts["courier"] = "secret"
    harness.put(*"ab")
    harness.follower.config = harness.config("wrong")
    harness.follower._create_connections()
    harness.follower.start()
    harness.testbed.run_for(2 * SECOND)
    assert harness.ready_names == ""
    harness.follower.apply_settings(harness.config("secret"))
    harness.until("ab")
    harness.store.tokens.clear()  # as if etcd's tokens had expired
    for member in harness.members:
        member.close_connections()
    harness.remove("a")
    harness.store.compact(harness.store.revision)  # so that the list is also requested with the old token
    harness.until("b")
    harness.testbed.run_for(5 * SECOND)  # long enough for a check of the list
    harness.store.tokens.clear()
    harness.put("c")
    harness.until("bc")
    harness.remove("c")
    harness.until("b")
    harness.store.accounts["courier"] = "other"
    harness.follower.apply_settings(harness.config("other"))
    harness.testbed.run_for(SECOND)
    assert harness.ready_names == "b"
    harness.put("c")
    harness.until("bc")


def test_a_change_of_prefix_or_protocol_compares_lists_and_a_stop_removes_everything(harness: FollowerHarness) -> None:
    harness.store.commit([(f"new/{n}".encode(), entry_json(n), 0) for n in "ax"])
    other_protocol = "consul" if harness.protocol == "etcd" else "etcd"
    seen_names: set[str] = set()
    harness.follower.apply_settings(harness.config(prefix="new/", type=other_protocol))
    harness.testbed.run_until(lambda: seen_names.add(harness.ready_names) or harness.ready_names == "ax")
    assert all("a" in names for names in seen_names), "an entry that both lists contain was missing"
    harness.follower.stop()
    assert harness.ready_names == "" and not (harness.state_directory / "registry-main.list").exists()


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_courier_that_starts_while_the_registry_is_down_uses_the_saved_list(
    tmp_path: Path, protocol: str, capsys: pytest.CaptureFixture[str]
) -> None:
    first = FollowerHarness(tmp_path, protocol)
    first.put(*"abc")
    first.follower.start()
    file = tmp_path / "registry-main.list"
    first.testbed.run_until(file.exists)
    first.remove("a")
    first.until("bc")
    first.testbed.run_for(12 * SECOND)  # long enough to save the list again
    second = FollowerHarness(tmp_path, protocol, CourierTestbed(tmp_path), Store())
    second.fault(refuse=True)
    second.follower.start()
    assert second.ready_names == "bc" and "event=registry-kept" in capsys.readouterr().out
    second.fault()
    second.members[0].store.revision = 50
    second.store.cluster = first.store.cluster
    second.put("c", "d")
    second.until("cd")


def test_a_saved_list_that_is_damaged_or_too_large_is_rejected_and_an_unused_one_removed(tmp_path: Path) -> None:
    harness = FollowerHarness(tmp_path, "etcd")
    harness.put(*"abc")
    harness.follower.start()
    file = tmp_path / "registry-main.list"
    harness.testbed.run_until(file.exists)
    intact = file.read_bytes()
    saved = saved_list.read(file, JOURNAL_MAX_BYTES)
    assert saved is not None and [row.entry.name for row in saved.rows] == list("abc")
    random = Random(3)
    for _ in range(200):
        damaged = bytearray(intact)
        damaged[random.randrange(len(damaged))] ^= 1 << random.randrange(8)  # and half of the files are truncated
        file.write_bytes(bytes(damaged)[: random.choice([len(damaged), random.randrange(len(damaged))])])
        try:
            found = saved_list.read(file, JOURNAL_MAX_BYTES)
        except ValueError:
            continue
        assert found is not None and found.rows == saved.rows  # the flipped bit is in a text of the header
    with pytest.raises(ValueError, match="larger"):
        saved_list.read(file, 10)
    assert saved_list.remove_unused(str(tmp_path), ["other"]) == ["registry-main.list"]


def test_on_a_full_disk_the_old_saved_list_stays_and_an_oversized_one_is_not_saved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    harness = FollowerHarness(tmp_path, "etcd", keep=2_000)
    harness.put(*"abc")
    harness.follower.start()
    file = tmp_path / "registry-main.list"
    harness.testbed.run_until(file.exists)
    intact = file.read_bytes()

    def fail(*_: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(saved_list.os, "rename", fail)
        harness.put("d")
        harness.testbed.run_for(12 * SECOND)
    assert file.read_bytes() == intact and not list(tmp_path.glob("*.new"))
    harness.store.commit([(f"{PREFIX}{n}".encode(), entry_json(f"{Random(n).random()}"), 0) for n in range(300)])
    harness.testbed.run_for(12 * SECOND)
    output = capsys.readouterr().out
    assert file.read_bytes() == intact and "No space left" in output and "takes more than 2000 bytes" in output


# ready: whether messages are accepted, and the courier is ready, while the list is stale.
@pytest.mark.parametrize(("on_stale", "ready"), [("serve", True), ("defer", False)])
def test_a_stale_list_stays_in_use_or_new_messages_are_deferred(tmp_path: Path, on_stale: str, ready: bool) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    harness = FollowerHarness(tmp_path, "etcd", testbed, on_stale=on_stale)
    address = f"127.0.0.1:{testbed.peer.address[1]}"
    harness.store.put(PREFIX + "far", entry_json("far", address=address, group=8))
    harness.follower.carrier = testbed.pool
    harness.follower.start()
    testbed.run_until(lambda: b"far" in testbed.courier.map.hops)
    assert testbed.courier.serving
    harness.fault(refuse=True)
    for member in harness.members:
        member.close_connections()
    testbed.run_for(15 * SECOND)
    response = testbed.talk(submit_request(X_Route_To="dest=8"))
    assert (b" 202 " in response) is ready and (b"Retry-After: 10" in response) is not ready
    assert testbed.courier.serving is ready and b"far" in testbed.courier.map.hops
    harness.fault()
    testbed.run_until(
        lambda: testbed.courier.serving and harness.follower.sync.confirmed_at > testbed.loop.now - SECOND
    )
    assert b" 202 " in testbed.talk(submit_request("t2", X_Route_To="dest=8"))


def test_a_drain_takes_effect_at_once_and_new_messages_go_to_the_other_hop(tmp_path: Path) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    harness = FollowerHarness(tmp_path, "etcd", testbed)
    harness.follower.carrier = testbed.pool
    address = f"127.0.0.1:{testbed.peer.address[1]}"
    for name in ("one", "two"):
        harness.store.put(PREFIX + name, entry_json(name, address=address, group=8))
    harness.follower.start()
    testbed.run_until(lambda: len(testbed.courier.map.hops) == 3)
    calls: list[tuple[int, str]] = []
    attempt = testbed.pool.attempt

    def record_attempt(message: Any, hop: Any, deadline: int, guard: Callable[[], bool]) -> Any:
        calls.append((testbed.loop.now, hop.name))
        return attempt(message, hop, deadline, guard)

    testbed.pool.attempt = record_attempt  # type: ignore[method-assign]
    testbed.talk(submit_request("first", X_Route_To="dest=8"))
    testbed.run_until(lambda: not testbed.journal.entries)
    first_hop = calls[0][1]
    other_hop = "two" if first_hop == "one" else "one"
    harness.store.put(PREFIX + first_hop, entry_json(first_hop, "leaving", address, 8))
    testbed.run_until(lambda: testbed.courier.map.hops[first_hop.encode()].endpoint.state is api.EndpointState.DRAINING)
    drained_at = testbed.loop.now
    for n in range(5):
        testbed.talk(submit_request(f"t{n}", X_Route_To="dest=8"))
    testbed.run_until(lambda: not testbed.journal.entries)
    assert {name for at, name in calls if at > drained_at} == {other_hop} and len(calls) == 6


# Third-party client libraries against the stand-in, to check that it follows the real protocols.


def test_a_third_party_etcd_library_works_with_the_stand_in() -> None:
    from etcd3gw.client import Etcd3Client

    with RegistryThread() as member:
        client = Etcd3Client(host="127.0.0.1", port=member.address[1], api_path="/v3/")
        events, cancel = client.watch_prefix("k")
        assert client.put("k1", "one") and client.put("k2", "two")
        assert client.get("k1") == [b"one"] and [v for v, _ in client.get_prefix("k")] == [b"one", b"two"]
        assert client.create("k3", "x") and not client.create("k3", "y") and client.replace("k3", "x", "z")
        lease = client.lease(ttl=60)
        assert client.put("k4", "leased", lease) and 0 < lease.ttl() <= 60
        assert client.delete("k1") and client.get("k1") == []
        received = [next(events) for _ in range(6)]
        assert [bytes(e["kv"]["key"]) for e in received] == [b"k1", b"k2", b"k3", b"k3", b"k4", b"k1"]
        assert received[5]["type"] == "DELETE"
        cancel()


def test_a_third_party_consul_library_works_with_the_stand_in() -> None:
    import consul

    with RegistryThread() as member:
        client = consul.Consul(host="127.0.0.1", port=member.address[1])
        assert client.kv.put("k/1", "one") and client.kv.put("k/2", "two")
        index, found = client.kv.get("k/", recurse=True)
        assert [row["Value"] for row in found] == [b"one", b"two"] and int(index) == 3
        assert not client.kv.put("k/1", "no", cas=1) and client.kv.put("k/1", "new", cas=found[0]["ModifyIndex"])
        next_index, row = client.kv.get("k/1", index=index, wait="5s")
        assert int(next_index) > int(index) and row["Value"] == b"new"
        assert client.kv.delete("k/", recurse=True) and client.kv.get("k/", recurse=True)[1] is None
