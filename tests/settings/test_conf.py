"""kestrelspar.conf: values are read, and all errors are reported at once, each with its place."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.cli.main import cli
from kestrelspar.settings import conf, kinds, lines, pages, resolve, schema
from kestrelspar.settings.lines import ConfErrors
from tests.bench import WORK_ORDER
from tests.bench import settings as platform_settings

ROOT = Path(__file__).parent.parent.parent
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)
REGISTRY = "registry main\n  type etcd\n  servers localhost:2379 127.0.0.1:2381\n  prefix /k/\n"


def write_conf(directory: Path, text: str) -> str:
    (directory / "pw").write_text("secret\n")
    (directory / "pw").chmod(0o600)
    (directory / "k.conf").write_text(text)
    return str(directory / "k.conf")


def errors_of(directory: Path, text: str) -> list[str]:
    with pytest.raises(ConfErrors) as caught:
        resolve.registries(conf.load(write_conf(directory, text)))
    return [str(error).removeprefix(f"{directory}/") for error in caught.value.errors]


def test_values_are_read_with_units_and_defaults(tmp_path: Path) -> None:
    (tmp_path / "conf.d").mkdir()
    (tmp_path / "conf.d" / "r.conf").write_text(
        REGISTRY + "  patience 60.5s # more\n  keep 64KB\n  servers 127.0.0.1:1\n"
    )
    loaded = conf.load(write_conf(tmp_path, 'include conf.d/*.conf\nlog\n\tformat "json"\n\n  # nothing\n'))
    (found,) = resolve.registries(loaded)
    assert (found.label, found.section.patience, found.section.keep, found.section.page) == (
        "main",
        60_500_000,
        64_000,
        500,
    )
    assert found.section.servers == (("127.0.0.1", 2379), ("127.0.0.1", 2381), ("127.0.0.1", 1))
    assert loaded.values_of(schema.Log).format == "json" and not loaded.values_of(schema.Plugins).enabled
    # The text that `config show` prints can be read again, with the same values.
    reloaded = conf.load(write_conf(tmp_path, pages.conf_text(loaded)))
    assert reloaded.values_of(schema.Log) == loaded.values_of(schema.Log) and resolve.registries(reloaded) == [found]


# The text of a file, and parts of the error messages that it causes.
@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("logg\n", ["k.conf:1: logg: unknown section (", "did you mean log?"]),
        ("log\n  levle info\n", ["k.conf:2: log.levle: unknown key (wanted: format, level; did you mean level?)"]),
        ("log\n  level loud\n", ["k.conf:2: log.level: 'loud' is unknown (wanted: debug or info or warning or error)"]),
        ("log\n  level info\n  level info\n", ["k.conf:3: log.level: is set a second time (first at"]),
        ("log\nlog\n", ["k.conf:2: log: is defined a second time"]),
        ("log x\n", ["k.conf:1: log x: takes no label"]),
        ("  level info\n", ["k.conf:1: 'level' is outside of any section"]),
        ('log\n  level "info\n', ["k.conf:2: log: can't be read from '\"info' on"]),
        ("include no.conf\n", ["k.conf:1: include:", "No such file"]),
        ("include k.conf\n", ["includes itself"]),
        (
            "registry\n  type etcd\n",
            [
                "k.conf:1: registry: has no label",
                "registry.servers: is missing (wanted: HOST:PORT",
                "registry.prefix: is missing",
            ],
        ),
        (REGISTRY + REGISTRY, ["k.conf:5: registry main: is defined a second time"]),
        (
            REGISTRY + "  patience 30\n  check 1ms\n  keep 2TB\n",
            [
                "k.conf:5: registry main.patience: '30' will not do (wanted: a time from 1s to 1d, like 500ms or 30s)",
                "k.conf:6: registry main.check: '1ms' is out of bounds",
                "k.conf:7: registry main.keep: '2TB' will not do",
            ],
        ),
        (REGISTRY + "  servers example.org:80\n", ["main.servers: 'example.org:80' will not do (wanted: HOST:PORT"]),
        (REGISTRY + "  token-file pw\n", ["k.conf:5: registry main.token-file: is consul's"]),
        (REGISTRY + "  check 20s\n", ["main.check: is more than half of patience, 30s: an unchanged list"]),
        (REGISTRY + "  username u\n", ["k.conf:5: registry main.username: and password-file go together"]),
        (REGISTRY + "  username u\n  password-file none\n", ["k.conf:6: registry main.password-file:", "No such file"]),
        (
            REGISTRY + "  username u\n  password-file k.conf\n",
            ["may be read by others, mode 644 (wanted: 600 or less)"],
        ),
        ("smpp\n  service-type RD\n", ["k.conf:2: smpp.service-type: has 1 words, a name and a value"]),
        ("peers\n  group a\n", ["k.conf:2: peers.group: needs a region (wanted: key region)"]),
        (
            "peers\n  broker eu/a 127.0.0.1:1\n",
            ["k.conf:2: peers.broker: needs a region (wanted: key region, one of eu)"],
        ),
        (
            "peers\n  region eu\n  broker eu/a 127.0.0.1:1\n  broker b 127.0.0.1:1\n  broker us/c 127.0.0.1:1\n",
            [
                "k.conf:4: peers.broker b: is not the name of a broker (wanted: REGION/NAME, at most 60 characters)",
                "k.conf:4: peers.broker b: has the address of eu/a",
                "k.conf:5: peers.broker us/c: has the address of eu/a",
            ],
        ),
        (
            "peers\n  region su\n  group a/b\n  broker eu/a 127.0.0.1:1\n  broker us/a 127.0.0.1:2\n",
            [
                "k.conf:2: peers.region: has no broker (wanted: one of eu, us, or a line broker su/NAME)",
                "k.conf:3: peers.group: 'a/b' is not a word",
            ],
        ),
        (f"peers\n  region {'e' * 59}\n", ["k.conf:2: peers.region:", "has 59 bytes (wanted: text of 0 to 58 bytes)"]),
        (
            "peers\n  broker eu/a 10.0.0.1:1\n  broker eu/a 10.0.0.1:2\n",
            ["conf:3: peers.broker: 'eu/a' is set a second"],
        ),
    ],
)
def test_each_error_names_file_line_and_key(tmp_path: Path, text: str, expected: list[str]) -> None:
    found = "\n".join(errors_of(tmp_path, text))
    assert [part for part in expected if part not in found] == [], found


def test_groups_regions_and_brokers_are_read_and_shown_unchanged(tmp_path: Path) -> None:
    text = "peers\n  region eu\n  group z1\n  broker eu/a 10.0.0.1:2771\n  broker us/b 10.0.0.2:2771\n"
    found = conf.load(write_conf(tmp_path, text))
    loaded = found.values_of(schema.Peers)
    assert (loaded.region, loaded.group, loaded.enabled) == ("eu", "z1", False)
    assert loaded.broker == {"eu/a": ("10.0.0.1", 2771), "us/b": ("10.0.0.2", 2771)}
    assert conf.load(write_conf(tmp_path, pages.conf_text(found))).values_of(schema.Peers) == loaded
    without_brokers = conf.load(write_conf(tmp_path, "peers\n  region eu\n  group z1\n")).values_of(schema.Peers)
    assert without_brokers.group == "z1" and not without_brokers.broker, "groups need no brokers"


def test_all_errors_of_all_files_are_reported_at_once_and_in_order(tmp_path: Path) -> None:
    (tmp_path / "more.conf").write_text("plugins\n  enabled perhaps\n")
    found = errors_of(tmp_path, "log\n  format xml\n  level loud\ninclude more.conf\nsmp\n")
    assert [line.split(": ")[0] for line in found] == ["k.conf:2", "k.conf:3", "k.conf:5", "more.conf:2"]


def test_names_are_resolved_with_the_platform_settings(tmp_path: Path) -> None:
    account_template = (
        "smpp\n  enabled on\n  service-type RD {}\nsmpp-account a\n  password-file pw\n  message-class work-order\n"
    )
    loaded = resolve.smpp(conf.load(write_conf(tmp_path, account_template.format("reading"))), platform_settings())
    assert loaded is not None and loaded.accounts[0].cls == WORK_ORDER and loaded.accounts[0].password == "secret"
    with pytest.raises(ConfErrors, match=r"k.conf:3: smpp.service-type: unknown class 'raeding'.* mean reading\?"):
        resolve.smpp(conf.load(write_conf(tmp_path, account_template.format("raeding"))), platform_settings())


def test_the_address_given_to_others_is_listen_or_advertise(tmp_path: Path) -> None:
    base = "peers\n  enabled on\n  key-file pw\n  listen 127.0.0.1:9001\n"
    assert conf.load(write_conf(tmp_path, base)).values_of(schema.Peers).advertised_address() == ("127.0.0.1", 9001)
    loaded = conf.load(write_conf(tmp_path, base + "  advertise 10.0.0.7:9002\n")).values_of(schema.Peers)
    assert loaded.advertised_address() == ("10.0.0.7", 9002) and loaded.listen == ("127.0.0.1", 9001)
    with pytest.raises(ConfErrors, match=r"k.conf:\d: peers.advertise: names more than one address"):
        conf.load(write_conf(tmp_path, base + "  advertise 10.0.0.7:9002 10.0.0.7:9003\n"))


def test_the_deployed_file_enables_nothing() -> None:
    loaded = conf.load(str(ROOT / "deploy" / "kestrelspar.conf"))
    assert resolve.smpp(loaded, platform_settings()) is None and not resolve.registries(loaded)
    assert not loaded.values_of(schema.Plugins).enabled and not loaded.sections_of(schema.Map)


def test_the_generated_page_of_settings_is_up_to_date() -> None:
    assert (ROOT / "docs" / "configuration.md").read_text() == pages.page(), "run: kestrelspar config page"


@DETERMINISTIC
@given(st.lists(st.text(st.characters(exclude_characters="\n\r\x0b\x0c\x1c\x1d\x1e\x85\u2028\u2029"), max_size=12)))
def test_quoted_words_are_read_back_unchanged(texts: list[str]) -> None:
    assert lines.words(" ".join(map(lines.quoted, texts))) == tuple(texts)


@DETERMINISTIC
@given(st.text(st.sampled_from('abl\n\t "\\#{}:19smpregistylog'), max_size=80))
def test_garbage_is_reported_and_raises_nothing_else(text: str) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("builtins.open", lambda *_, **__: __import__("io").StringIO(text))
        blocks, errors = lines.read("x.conf")
    assert all(error.location.path == "x.conf" for error in errors) and all(block.kind for block in blocks)
    for meta in (kinds.duration("", 0, 10**9), kinds.size("", 0, 10**9), kinds.address(""), kinds.switch("")):
        try:
            value = kinds.parse_value(text, meta, "")
        except ValueError:
            continue
        assert kinds.parse_value(kinds.format_value(value, meta), meta, "") == value


@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected_text"),
    [
        (["config", "check"], 0, "no fault found"),
        (["config", "explain", "registry.patience"], 0, "default  30s"),
        (["config", "explain", "registry.patient"], 1, "did you mean registry.patience?"),
        (["config", "explain"], 0, "smpp-gateway"),
        (["config", "show"], 0, "level             info"),
        (["config", "check", "/none.conf"], 2, "/none.conf can't be read"),
        (["confg"], 2, "No such command"),
        (["--help"], 0, "standin"),
        (["serve", "--config", "/none"], 2, "does not exist"),
    ],
)
def test_commands_print_what_is_expected_and_set_the_exit_code(
    arguments: list[str], exit_code: int, expected_text: str
) -> None:
    result = CliRunner().invoke(cli, arguments, env={"KESTRELSPAR_CONF": ""})
    assert result.exit_code == exit_code and expected_text in result.output, result.output
