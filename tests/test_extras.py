"""Platform configuration, plug-ins and the nginx importer."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar import plugins
from kestrelspar.cli.nginx import import_ as nginx_import
from kestrelspar.core import entries
from kestrelspar.core.messages import DELIVERED, FAILED, End, Message
from kestrelspar.nginx import importer as nginx
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.settings import platform as config
from snowlock import interface as api
from snowlock.settings import SettingsError
from tests.bench import PAYMENT, READING, CourierTestbed
from tests.forwarder import Forwarder, message_class, route
from tests.forwarder import settings as controller_settings
from tests.test_wire import SETTINGS

ROOT = Path(__file__).parent.parent
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


# Configuration


def test_the_example_configuration_of_the_readme_is_valid(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "state").mkdir()
    loaded = config.read({"RELAY_CONFIG": str(ROOT / "deploy" / "example.json"), "RELAY_STATE": "state"})
    assert loaded.settings.classes and loaded.known["endpoints"]


def write_config(directory: Path, overrides: dict[str, Any] | None = None) -> dict[str, str]:
    raw: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:8443",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "state": str(directory),
        "limits": {"cores": 1.0, "sockets": 512, "disk_mb": 3},
        "settings": SETTINGS,
    }
    (directory / "config.json").write_text(json.dumps(raw | (overrides or {})))
    return {"RELAY_CONFIG": str(directory / "config.json")}


def test_configuration_is_read_with_defaults_and_variables(tmp_path: Path) -> None:
    loaded = config.read(write_config(tmp_path) | {"RELAY_NAME": "n9"})
    assert (loaded.name, loaded.listen, loaded.seed, loaded.sockets) == ("n9", ("127.0.0.1", 8443), 0x8C1F, 512)
    assert loaded.disk_bytes == 3_000_000 and loaded.settings.classes[0].safety is api.Safety.UNSAFE
    assert config.read(write_config(tmp_path, {"limits": {}})).sockets == 1024


def test_all_errors_of_a_configuration_are_reported_at_once(tmp_path: Path) -> None:
    # Guards against starts that fail again and again, each for only the next error.
    invalid = {
        "settings": SETTINGS | {"limits": {"max_attempts": "x"}, "classes": [{"semantics": "odd"}, 3]},
        "listen": "nowhere",
        "known": [],
        "limits": {"sockets": 0},
    }
    with pytest.raises(SettingsError) as caught:
        config.read(write_config(tmp_path, invalid))
    assert sorted(error.partition(": ")[0] for error in caught.value.errors) == [
        "config.known",
        "config.limits.sockets",
        "config.listen",
        "settings.classes[0].deadline_ns",
        "settings.classes[0].objective_ns",
        "settings.classes[0].semantics",
        "settings.classes[1]",
        "settings.limits.connect_timeout_ns",
        "settings.limits.max_attempts",
        "settings.limits.max_open",
    ]


@pytest.mark.parametrize(
    ("overrides", "key"),
    [
        ({"listen": "nowhere"}, "config.listen"),
        ({"listen": "127.0.0.1:99999"}, "config.listen"),
        ({"state": "/no/such/folder"}, "config.state"),
        ({"limits": {"disk_mb": -1}}, "config.limits.disk_mb"),
        ({"settings": 5}, "config.settings"),
        ({"settings": {}}, "settings.family_info"),
        ({"settings": SETTINGS | {"limits": {"max_attempts": "x"}}}, "settings.limits.max_attempts"),
        ({"settings": SETTINGS | {"classes": [{"objective_ns": 1}]}}, "settings.classes[0].deadline_ns"),
        ({"known": []}, "config.known"),
    ],
)
def test_errors_of_configuration_name_the_key(tmp_path: Path, overrides: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError, match=r"^" + key.replace("[", r"\[").replace("]", r"\]") + ":"):
        config.read(write_config(tmp_path, overrides))


# Plug-ins


def read_rules(directory: Path, text: str) -> list[plugins.Rule]:
    (directory / "s.rules").write_text(text)
    return plugins.read(directory / "s.rules")


def make_testbed_with_rules(directory: Path, text: str) -> tuple[CourierTestbed, plugins.Plugins, Message]:
    testbed = CourierTestbed(directory)
    message = Message("t1", READING, 0, 7, testbed.loop.now + SECOND, b"urgent: 5", testbed.sender, "k")
    return testbed, plugins.Plugins(testbed.loop, testbed.courier.settings, read_rules(directory, text)), message


def test_rules_change_defer_and_reject_messages(tmp_path: Path) -> None:
    _, plugin_host, message = make_testbed_with_rules(
        tmp_path,
        """
        # two colons in the condition
        on arrival when starts(lower(body), "urgent:") and tenant in ("harju-vesi", "x"): set class "payment"
        on arrival when cls == "payment" and 0 < size < 10: set dest dest + 1
        on arrival when dest == 8 and not (key == "k"): reject "never"
        on arrival when dest == 8: defer 500 if left_ms > 100 else 9
        on arrival when 1: reject "too late to be asked"
    """,
    )
    answer = plugin_host.arrival(message)
    assert (message.cls, message.dest) == (PAYMENT, 8)
    assert answer is not None and answer.defer and answer.retry_after == 500 * MS
    message.key, message.dest = "other", 7
    assert (answer := plugin_host.arrival(message)) is not None and not answer.defer and "never" in answer.reason


def test_a_rule_that_fails_is_logged_and_skipped(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    _, plugin_host, message = make_testbed_with_rules(
        tmp_path,
        """on arrival when size + body == 1: reject "a"
on arrival when 1 // 0: reject "b"
on arrival when 1: set class "telegram"
on arrival when 1: set dest "x"
on arrival when 1: defer -5
on arrival when number(body): reject "c"
on end when state == "failed": log "lost " + trace + " " + text(after_ms)
on end when len(5): log "d"
on arrival when """
        + " + ".join(["1"] * 150)
        + ''': reject "too many steps"''',
    )
    assert plugin_host.arrival(message) is None and (message.cls, message.dest) == (READING, 7)
    plugin_host.end(message, End(FAILED))
    plugin_host.end(message, End(DELIVERED))
    lines = capsys.readouterr().out.splitlines()
    assert sum("event=plugin-passed-over" in line for line in lines) == 9
    assert [line for line in lines if 'text="lost t1 0"' in line and "s.rules:7" in line]


@pytest.mark.parametrize(
    "line",
    [
        "on arrival when 1",
        "when 1: defer 1",
        "on arrival when 1: explode 1",
        "on end when 1: defer 1",
        'on arrival when state == "x": defer 1',
        "on arrival when open('x'): defer 1",
        "on arrival when 1: defer",
        "on arrival when ().__class__: defer 1",
        "on arrival when [x for x in body]: defer 1",
        "on arrival when body[0]: defer 1",
        "on arrival when 2 ** 9: defer 1",
        "on arrival when (lambda: 1)(): defer 1",
        "on arrival when f'{body}': defer 1",
        "on arrival when size is 1: defer 1",
        "on arrival when len(body, 1): defer 1",
    ],
)
def test_an_invalid_script_is_rejected_with_file_and_line(tmp_path: Path, line: str) -> None:
    with pytest.raises(plugins.ScriptError, match=r"s\.rules:2: "):
        read_rules(tmp_path, "# fine\n" + line)


@DETERMINISTIC
@given(st.text(st.sampled_from("abcdesiz()+-*'\":,.<>= 019\n"), max_size=60))
def test_a_rule_of_garbage_is_rejected_or_evaluated(text: str) -> None:
    try:
        rule = plugins.Rule(f"on arrival when {text}: defer {text}", "x:1")
        rule.condition.evaluate(dict.fromkeys(plugins.ARRIVAL_FIELDS, 1))
    except (plugins.ScriptError, plugins.EvaluationError):
        pass


def test_plug_ins_run_before_a_message_is_accepted(tmp_path: Path) -> None:
    testbed, plugin_host, message = make_testbed_with_rules(tmp_path, 'on arrival when 1: reject "closed today"')
    testbed.courier.hooks.append(plugin_host)
    accepted: list[bool] = []
    testbed.loop.spawn(testbed.courier.submit, message, lambda a: accepted.append(a.accepted) or True)
    testbed.run_until(lambda: accepted)
    assert accepted == [False] and not testbed.journal.entries


# The nginx importer

NGINX = """events {}
http {
    proxy_connect_timeout 300ms;
    access_log off;
    upstream pay {
        least_conn;
        server 10.0.0.1:81 weight=3 max_fails=2 fail_timeout=9s;
        server 10.0.0.2 backup;
        server 10.0.0.3:83 down;
        server pay.example.org:80;
    }
    server {
        listen 80;
        proxy_read_timeout 2m;
        location /pay/ { proxy_pass http://pay/api/; proxy_read_timeout 1s500ms;
            proxy_next_upstream_tries 2; }
        location = /read { proxy_pass http://127.0.0.1:9000; proxy_next_upstream_timeout 4; gzip on; }
        location ~ \\.php$ { proxy_pass http://pay; }
        location /static/ { root /srv; }
        location /tls/ { proxy_pass https://pay; }
    }
}
"""


def test_an_nginx_import_reports_unsupported_directives_and_its_map_can_be_loaded(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source, target = tmp_path / "nginx.conf", tmp_path / "map.json"
    source.write_text(NGINX)
    assert nginx_import([str(source), "--zone", "room-b"], standalone_mode=False) in (0, None)
    output, unsupported = capsys.readouterr()
    target.write_text(output)
    lines = sorted(int(line.split(":")[1]) for line in unsupported.splitlines())
    assert lines == [4, 6, 7, 10, 17, 18, 19, 19, 20] and all(str(source) in x for x in unsupported.splitlines())
    testbed = CourierTestbed(tmp_path)
    hops = [
        entries.to_next_hop(row, testbed.courier.settings, object())  # type: ignore[arg-type]
        for row in entries.read_map(str(target))
    ]
    first, second, down, other = hops
    assert first.endpoint == api.Endpoint(b"pay-1-0", 1, 1, 1, api.EndpointState.READY, 3.0, 0, 2, 1_500_000_000, 2)
    assert (first.address, first.target, first.connect_timeout) == (("10.0.0.1", 81), "/api/", 300 * MS)
    assert second.endpoint.rank == 1 and down.endpoint.state is api.EndpointState.DRAINING
    assert (other.target, other.delivery_timeout, other.endpoint.patience_ns) == ("/read", 4 * SECOND, 120 * 10**9)


@pytest.mark.parametrize(("text", "value"), [("5", 5000), ("250ms", 250), ("1m30s", 90_000)])
def test_nginx_times_are_converted_to_milliseconds(text: str, value: int) -> None:
    assert nginx.parse_milliseconds(text) == value
    for invalid in ("", "x", "5y", "-1", text + " "):
        with pytest.raises(ValueError):
            nginx.parse_milliseconds(invalid)


def test_the_controller_applies_the_bounds_of_an_imported_map() -> None:
    forwarder = Forwarder(controller_settings(message_class(), max_attempts=8))
    forwarder.feed(
        api.EndpointList(
            api.ListKind.DELTA,
            (
                api.Endpoint(route("spare"), 1, rate=500.0, rank=1, tries=2, patience_ns=70 * MS * 1000, fails=1),
                api.Endpoint(route("main"), 1, rate=1.0, tries=2, patience_ns=70 * MS * 1000, fails=1),
            ),
        )
    )
    (send,) = forwarder.arrive(1)
    assert send.endpoint == route("main") and send.timeout_ns == 70 * MS * 1000
    forwarder.outcome(1, api.Outcome.TIMEOUT)
    assert any("main" in bytes.fromhex(line.split(" ")[3][:-1]).decode() for line in forwarder.logs)
    forwarder.wait(5 * SECOND * 1000)
    forwarder.outcome(1, api.Outcome.ERROR)
    assert 1 in forwarder.answers and len(forwarder.sends) == 2
    forwarder.arrive(2)
    assert forwarder.sends[-1][1].endpoint == route("spare")
