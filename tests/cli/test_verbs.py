"""The commands ``map`` and ``demo``, and a courier process that follows the stand-in registry."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from kestrelspar.cli import map as map_commands
from kestrelspar.cli.main import cli
from kestrelspar.standins.registry import Member
from tests.registry.registry_thread import RegistryThread
from tests.registry.test_follower import entry_json
from tests.test_program import ROOT, TEST_TIMEOUT, Program, StandInPlatform, wait_until, world

NGINX = """events {}
http {
    upstream pay { server 10.0.0.1:81 weight=3; server 10.0.0.2 backup; }
    server { location /pay/ { proxy_pass http://pay/api/; proxy_read_timeout 2s; } }
}
"""
__all__ = ["world"]


@pytest.fixture(params=["etcd", "consul"])
def registry(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[tuple[Member, str]]:
    with RegistryThread() as member:
        conf = tmp_path / "k.conf"
        conf.write_text(
            f"registry main\n  type {request.param}\n  servers 127.0.0.1:1 127.0.0.1:{member.address[1]}\n"
            "  prefix hops/\n  page 2\n"
        )
        yield member, str(conf)


def run_map(conf: str, *arguments: str, code: int = 0) -> str:
    result = CliRunner().invoke(cli, ["map", arguments[0], "--conf", conf, *arguments[1:]])
    assert result.exit_code == code, f"{arguments}: {result.output} {result.exception!r}"
    return result.output


def test_entries_are_put_drained_and_removed(registry: tuple[Member, str]) -> None:
    _, conf = registry
    run_map(conf, "put", "s-1", "--group", "3", code=2)
    assert "would put" in run_map(conf, "put", "s-1", "--group", "3", "--address", "10.0.0.1:80", "--dry-run")
    assert run_map(conf, "list", "--json").strip() == "[]"
    for name in ("s-1", "s-2", "s-3"):
        run_map(conf, "put", name, "--group", "3", "--address", "10.0.0.1:80", "--zone", "a", "--new")
    assert "--new" in run_map(conf, "put", "s-1", "--group", "4", "--new", code=1)
    assert "$.weight" in run_map(conf, "put", "s-1", "--weight", "-1", code=1)
    run_map(conf, "put", "s-2", "--weight", "2.5")
    assert "unchanged" in run_map(conf, "put", "s-2", "--weight", "2.5")
    run_map(conf, "drain", "s-1", "s-2")
    run_map(conf, "drain", "s-2", "--undo")
    run_map(conf, "remove", "s-3")
    assert "no such endpoint" in run_map(conf, "remove", "s-3", code=1)
    rows = json.loads(run_map(conf, "list", "--json"))
    assert [(r["name"], r.get("status", "active"), r.get("weight", 1.0)) for r in rows] == [
        ("s-1", "leaving", 1.0),
        ("s-2", "active", 2.5),
    ]
    assert "s-2" in run_map(conf, "list") and "draining" in run_map(conf, "watch", "--for", "500ms")


def test_an_invalid_entry_is_shown_and_can_be_removed(registry: tuple[Member, str]) -> None:
    member, conf = registry
    member.store.put("hops/bad", b"{}")
    assert "can't be read" in run_map(conf, "list", code=1)
    run_map(conf, "remove", "hops/bad")
    assert member.store.version_at(b"hops/bad", member.store.revision) is None


def test_two_operators_do_not_overwrite_each_other(
    registry: tuple[Member, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    member, conf = registry
    member.store.put("hops/s", entry_json("s"))
    read_rows = map_commands.Client.rows

    def rows_before_another_change(self: map_commands.Client) -> list[map_commands.Row]:
        rows = read_rows(self)
        member.store.put("hops/s", entry_json("s", address="127.0.0.1:7"))
        member.store.put("hops/new", entry_json("new"))
        return rows

    monkeypatch.setattr(map_commands.Client, "rows", rows_before_another_change)
    for arguments in (
        ("drain", "s"),
        ("remove", "s"),
        ("put", "s", "--weight", "5"),
        ("put", "new", "--group", "1", "--address", "10.0.0.1:80"),
    ):
        assert "changed by another client since it was read" in run_map(conf, *arguments, code=1)
        member.store.delete("hops/new")
    version = member.store.version_at(b"hops/s", member.store.revision)
    assert version is not None and version.value == entry_json("s", address="127.0.0.1:7")


def test_an_import_is_compared_and_written_and_removes_what_its_file_no_longer_has(
    registry: tuple[Member, str], tmp_path: Path
) -> None:
    member, conf = registry
    member.store.put("hops/other", entry_json("other"))
    file = tmp_path / "member.conf"
    file.write_text(NGINX.replace("weight=3", "weight=3 resolve"))
    assert "member.conf:3" in run_map(conf, "import", str(file), code=1) and member.store.revision == 2
    file.write_text(NGINX)
    assert "would add hops/pay-1-0" in run_map(conf, "import", str(file), "--dry-run")
    assert "only in the file: pay-1-0" in run_map(conf, "diff", str(file), code=1)
    assert "2 changes" in run_map(conf, "import", str(file))
    assert "no difference" in run_map(conf, "diff", str(file)) and "0 changes" in run_map(conf, "import", str(file))
    file.write_text(NGINX.replace(" server 10.0.0.2 backup;", "").replace("weight=3", "weight=4"))
    assert "weight: registry 3.0, file 4.0" in run_map(conf, "diff", str(file), code=1)
    assert "remove hops/pay-1-1" in run_map(conf, "import", str(file))
    assert {row["name"] for row in json.loads(run_map(conf, "list", "--json"))} == {"other", "pay-1-0"}
    member.store.put("hops/pay-1-0", entry_json("pay-1-0"))
    assert "added manually" in run_map(conf, "import", str(file), code=1)


def test_a_registry_that_does_not_answer_or_is_not_configured_is_reported(tmp_path: Path) -> None:
    conf = tmp_path / "k.conf"
    conf.write_text("registry a\n  type etcd\n  servers 127.0.0.1:1\n  prefix x/\n")
    assert "127.0.0.1:1: no connection" in run_map(str(conf), "list", code=1)
    assert "no registry 'b'" in run_map(str(conf), "list", "--registry", "b", code=2)


def test_the_courier_follows_a_registry_and_restarts_without_it(tmp_path: Path, world: str) -> None:
    with RegistryThread() as member:
        member.store.put(
            "hops/far", entry_json("far", address=world, group=9).replace(b"contractor", b"m").replace(b"room-a", b"a")
        )
        conf = tmp_path / "k.conf"
        conf.write_text(
            f"registry main\n  type etcd\n  servers 127.0.0.1:{member.address[1]}\n  prefix hops/\n  keep 64KB\n"
        )
        program = Program(tmp_path, world, KESTRELSPAR_CONF=str(conf)).ready()

        def submit(trace: str, dest: int = 9) -> int | None:
            return program.request_status(
                "POST",
                "/reading",
                **{"X-Trace-Id": trace, "X-Qos": "reading", "X-Expires-In": "15000m", "X-Route-To": f"dest={dest}"},
            )

        wait_until(lambda: submit("first") in (202, 409))
        wait_until((tmp_path / "registry-main.list").exists)
        assert program.end(signal.SIGTERM)[0] == 0
    program = Program(tmp_path, world, KESTRELSPAR_CONF=str(conf)).ready()
    assert submit("second") == 202  # its destination is known only from the saved list
    wait_until(lambda: "second" in StandInPlatform.calls)
    # SIGHUP switches to the registry in the changed settings. Its list lacks "far", which is therefore removed.
    with RegistryThread() as other:
        other.store.put(
            "new/near",
            entry_json("near", address=world, group=11).replace(b"contractor", b"m").replace(b"room-a", b"a"),
        )
        conf.write_text(
            f"registry main\n  type consul\n  servers 127.0.0.1:{other.address[1]}\n  prefix new/\n  keep 64KB\n"
        )
        program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: submit("third", 11) == 202)
        wait_until(lambda: "third" in StandInPlatform.calls)
        conf.write_text("")  # removing the section removes its entries, too
        program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: not (tmp_path / "registry-main.list").exists())
    conf.write_text("registry main\n  typ etcd\n")
    program.process.send_signal(signal.SIGHUP)
    assert any("event=configuration-not-taken" in line for line in iter(program.process.stdout or ()))
    code, out = program.end(signal.SIGTERM)
    assert code == 0 and "event=fault" not in out


def test_the_demo_needs_no_configuration_and_gives_each_message_one_outcome() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "kestrelspar", "demo", "--for", "1s", "--rate", "40"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "each with exactly one outcome" in done.stdout and "payment" in done.stdout


def test_serve_imports_no_modules_that_only_other_commands_need() -> None:
    code = (
        "import sys, kestrelspar.serve; "
        "print([m for m in ('click', 'rich', 'crossplane', 'pythonjsonlogger') if m in sys.modules]"
        " + [m for m in sys.modules if m.startswith('kestrelspar.peers')])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
