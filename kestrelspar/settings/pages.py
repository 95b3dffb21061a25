"""Generates docs/configuration.md and the output of ``config show`` and ``config explain`` from the structs."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import NODEFAULT

from kestrelspar.settings import kinds, lines
from kestrelspar.settings.conf import Conf, Key, formatted_values, keys
from kestrelspar.settings.schema import SECTIONS, Section

HEAD = """# Configuration

Generated from the structs in `kestrelspar/settings/schema.py` by `kestrelspar config page`. Do not edit it here.

The platform's JSON (`RELAY_CONFIG`, with `RELAY_NAME`, `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_STATE` taking
precedence over the keys of the same name) describes a courier: its name, addresses and limits, and the platform's
settings. All other settings are in `deploy/kestrelspar.conf`, or in the file that `KESTRELSPAR_CONF` names. In
`deploy/kestrelspar.conf`, everything is off.

    log
        format      logfmt

    registry main
        type        etcd
        servers     127.0.0.1:2379 127.0.0.1:2381
        prefix      /kestrelspar/endpoints/
        patience    30s

A line without indentation opens a section, with a label if there may be several of its kind. Indented lines have the
form `key value ...`. `#` begins a comment, double quotes enclose blanks, and `include conf.d/*.conf` reads other files,
relative to the file with that line. Times and sizes have a unit: `500ms`, `30s`, `2m`, `64KB`, `3MB`. Keys with several
values may be repeated. Paths are relative to the file that names them. A secret is a file that only its owner may read.

`kestrelspar config check` reports all errors at once, as
`FILE:LINE: section.key: what is wrong (what is wanted; did you mean ...?)`, with exit code 2. Variables of former
versions (`KESTRELSPAR_SMPP`, `KESTRELSPAR_PLUGINS`, `KESTRELSPAR_MAP`) are also reported as errors.
"""


def format_default(key: Key) -> str:
    """The default of a key, as it would be written in the file; "needed" if the key is required, "none" if empty."""
    if key.default is NODEFAULT:
        return "needed"
    if key.default in ("", (), {}):
        return "none"
    if key.shape == "many":
        return " ".join(kinds.format_value(item, key.meta) for item in key.default)
    return kinds.format_value(key.default, key.meta)


def describe_values(key: Key) -> str:
    """Describe the values that a key accepts, and how many."""
    text = kinds.describe_accepted(key.meta)
    return {"one": text, "many": f"one or more: {text}", "named": f"NAME and {text}; repeated"}[key.shape]


def explain(section: type[Section]) -> Iterator[tuple[str, str, str, str]]:
    """Yield (key, accepted values, default, meaning) for each key of a section."""
    for key in keys(section).values():
        yield key.name, describe_values(key), format_default(key), key.doc


def page() -> str:
    """The text of docs/configuration.md."""
    parts = [HEAD]
    for title, section in SECTIONS.items():
        parts.append(
            f"\n## `{title}{' NAME' if section.LABELED else ''}`\n\n{section.__doc__}\n\n"
            "| key | value | default | meaning |\n| --- | --- | --- | --- |\n"
        )
        parts += [
            f"| `{name}` | {accepted} | {'needed' if default_text == 'needed' else f'`{default_text}`'} | {meaning} |\n"
            for name, accepted, default_text, meaning in explain(section)
        ]
    return "".join(parts)


def conf_text(conf: Conf, only_set: bool = False) -> str:
    """The effective configuration in the format of its file; with ``only_set``, without the defaults.

    The titles of sections in the file are shown even then. Of a secret, the name of its file is shown.
    """
    parts: list[str] = []
    for title, section in SECTIONS.items():
        found = conf.sections_of(section)
        rows = [(conf_section.label, conf_section.values) for conf_section in found]
        if not rows and not section.LABELED and not only_set:
            rows = [("", section())]
        for label, values in rows:
            parts.append(f"{title} {lines.quoted(label)}" if label else title)
            for key, written, is_default in formatted_values(section, values):
                if not (only_set and is_default):
                    parts += [f"    {key.name:<17} {row}{'    # default' if is_default else ''}" for row in written]
            parts.append("")
    return "\n".join(parts)
