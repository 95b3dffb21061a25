"""``kestrelspar.conf``: turns its sections into checked structs, and reports all errors of the file at once."""

from __future__ import annotations

import difflib
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

from msgspec import NODEFAULT, Meta, structs

from kestrelspar.settings import kinds, lines, schema
from kestrelspar.settings.lines import ConfError, ConfErrors, SourceLocation
from kestrelspar.settings.schema import SECTIONS, Section

PATH_VARIABLE = "KESTRELSPAR_CONF"
DEFAULT_PATH = str(Path(__file__).parent.parent.parent / "deploy" / "kestrelspar.conf")
REMOVED_VARIABLES = {  # variables of former versions, and their replacement
    "KESTRELSPAR_SMPP": "move its keys to the sections smpp, smpp-account and smpp-gateway",
    "KESTRELSPAR_PLUGINS": "move its keys to the section plugins",
    "KESTRELSPAR_MAP": "name the file in a section `map NAME`, key `file`",
}
SectionT = TypeVar("SectionT", bound=Section)


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a section, as declared by its struct."""

    name: str  # as written in the file
    field: str  # name of the struct's field
    meta: Meta
    shape: str  # "one": a single value; "many": a tuple of values; "named": a dict of values by name
    default: Any  # NODEFAULT if the key is required, else a value of the field's type

    @property
    def doc(self) -> str:
        """The help text."""
        return self.meta.description or ""


@cache
def keys(section: type[Section]) -> dict[str, Key]:
    """The keys of a section, in the order of its fields, by the name that they have in the file."""
    hints = get_type_hints(section, include_extras=True)
    found = {}
    for item in structs.fields(section):
        hint = hints[item.name]
        assert get_origin(hint) is Annotated, f"{section.TITLE}.{item.name} has no kind"
        base_type, meta = get_args(hint)[:2]
        shape = "named" if get_origin(base_type) is dict else "one"
        if get_origin(base_type) is tuple and get_args(base_type)[-1] is Ellipsis:
            shape = "many"
        default = item.default
        if default is NODEFAULT and item.default_factory is not NODEFAULT:
            default = item.default_factory()
        name = item.name.replace("_", "-")
        found[name] = Key(name, item.name, meta, shape, default)
    return found


@dataclass(frozen=True, slots=True)
class ConfSection:
    """One section of the file: its values, and the location of each."""

    label: str
    values: Section
    location: SourceLocation
    locations: dict[str, SourceLocation]  # by key; for a key of shape "named" also by `key NAME`

    def error(self, key: str, text: str) -> ConfError:
        """An error in a key of this section that is found after parsing."""
        name = f"{self.values.TITLE}{f' {self.label}' if self.label else ''}.{key}"
        return ConfError(self.locations.get(key, self.location), name, text)


@dataclass(slots=True)
class Conf:
    """All sections of the configuration, by title. An unlabeled section that the file lacks has its defaults."""

    path: str
    sections: dict[str, list[ConfSection]] = field(default_factory=dict)

    def values_of(self, section: type[SectionT]) -> SectionT:
        """The values of a section that exists only once."""
        return self.section(section).values  # type: ignore[return-value]

    def section(self, section: type[Section]) -> ConfSection:
        """A section that exists only once; if the file lacks it, its location is line 0."""
        found = self.sections.get(section.TITLE)
        return found[0] if found else ConfSection("", section(), SourceLocation(self.path, 0), {})

    def sections_of(self, section: type[Section]) -> list[ConfSection]:
        """All sections of a kind that may be repeated, in the order of the file."""
        return self.sections.get(section.TITLE, [])


def configuration_path(environment: Mapping[str, str]) -> str:
    """The path of the configuration file: that in the variable ``KESTRELSPAR_CONF``, unless it is empty."""
    return environment.get(PATH_VARIABLE) or DEFAULT_PATH


def load(path: str, environment: Mapping[str, str] | None = None) -> Conf:
    """Read and check a file and the files that it includes. Raises ``ConfErrors`` with all errors.

    With ``environment``, variables of former versions that are still set are errors, too. Without a file at
    ``DEFAULT_PATH``, all settings have their defaults; any other file must exist.
    """
    errors = [
        ConfError(SourceLocation(variable, 0), "", f"this variable is not read any more: {replacement} of {path}")
        for variable, replacement in REMOVED_VARIABLES.items()
        if environment and environment.get(variable)
    ]
    if not os.path.exists(path) and path == DEFAULT_PATH:
        blocks: list[lines.Block] = []  # installed without the deploy directory: all settings have their defaults
    else:
        blocks, syntax_errors = lines.read(path)
        errors += syntax_errors
    conf = Conf(path)
    for block in blocks:
        _add_section(block, conf, errors)
    if errors:
        raise ConfErrors(sorted(errors))
    return conf


def _suggestion(name: str, names: Iterator[str] | list[str]) -> str:
    matches = difflib.get_close_matches(name, list(names), 1, 0.6)
    return f"; did you mean {matches[0]}?" if matches else ""


def _add_section(block: lines.Block, conf: Conf, errors: list[ConfError]) -> None:
    """Check one section and add it to the configuration; adds its errors to ``errors``."""
    struct = SECTIONS.get(block.kind)
    if struct is None:
        errors.append(
            ConfError(
                block.location,
                block.kind,
                f"unknown section (wanted: {', '.join(SECTIONS)}{_suggestion(block.kind, list(SECTIONS))})",
            )
        )
        return
    name = f"{block.kind} {block.label}" if block.label else block.kind
    existing = conf.sections.setdefault(block.kind, [])
    if struct.LABELED and not block.label:
        errors.append(ConfError(block.location, name, f"has no label (wanted: {block.kind} NAME)"))
    if block.label and not struct.LABELED:
        errors.append(ConfError(block.location, name, "takes no label: there is only one"))
    duplicate = next((section for section in existing if section.label == block.label), None)
    if duplicate is not None:
        errors.append(ConfError(block.location, name, f"is defined a second time (first at {duplicate.location})"))
    values: dict[str, Any] = {}
    locations: dict[str, SourceLocation] = {}
    known, error_count = keys(struct), len(errors)
    for line in block.lines:
        key = known.get(line.key)
        if key is None:
            errors.append(
                ConfError(
                    line.location,
                    f"{name}.{line.key}",
                    f"unknown key (wanted: {', '.join(known)}{_suggestion(line.key, list(known))})",
                )
            )
            continue
        if key.shape == "one" and key.name in locations:
            errors.append(
                ConfError(line.location, f"{name}.{key.name}", f"is set a second time (first at {locations[key.name]})")
            )
            continue
        locations[key.name] = line.location
        if key.shape == "named" and line.words:  # each of its lines may have an error of its own
            locations[f"{key.name} {line.words[0]}"] = line.location
        try:
            values[key.field] = _value(key, line, values.get(key.field))
        except ValueError as error:
            errors.append(
                ConfError(line.location, f"{name}.{key.name}", f"{error} (wanted: {kinds.describe_accepted(key.meta)})")
            )
    for key in known.values():
        if key.default is NODEFAULT and key.field not in values and key.name not in locations:
            errors.append(
                ConfError(
                    block.location, f"{name}.{key.name}", f"is missing (wanted: {kinds.describe_accepted(key.meta)})"
                )
            )
    if len(errors) == error_count:
        parsed_values = struct(**values)
        section = ConfSection(block.label, parsed_values, block.location, locations)
        errors += [section.error(key, text) for key, text in parsed_values.errors()]
        existing.append(section)
    else:  # invalid: stored without its values, so that a second section of that name is still reported
        existing.append(ConfSection(block.label, Section(), block.location, locations))


def _value(key: Key, line: lines.Line, existing: Any) -> Any:
    """Parse a line's words as the value of its key, added to ``existing``, the values of earlier lines.

    ``existing`` is None for the first line. Raises ``ValueError``, whose text says what is wrong.
    """
    base_directory = os.path.dirname(line.location.path)
    if key.shape == "named":
        if len(line.words) != 2:
            raise ValueError(f"has {len(line.words)} words, a name and a value are needed")
        name, word = line.words
        if name in (existing or {}):
            raise ValueError(f"{name!r:.40} is set a second time")
        return {**(existing or {}), name: kinds.parse_value(word, key.meta, base_directory)}
    found = [kinds.parse_value(word, key.meta, base_directory) for word in line.words]
    if key.shape == "many":
        if not found:
            raise ValueError("has no value")
        return (*(existing or ()), *found)
    if len(found) != 1:
        raise ValueError(f"has {len(found)} values, one is needed")
    return found[0]


def formatted_values(struct: type[Section], values: Section) -> Iterator[tuple[Key, list[str], bool]]:
    """Yield each key, the texts that would set its value, one for each line, and whether the value is the default.

    There are no texts for an empty value.
    """
    for key in keys(struct).values():
        value = getattr(values, key.field)
        if key.shape == "named":
            rows = [
                f"{lines.quoted(name)} {lines.quoted(kinds.format_value(item, key.meta))}"
                for name, item in value.items()
            ]
        elif key.shape == "many":
            rows = [" ".join(lines.quoted(kinds.format_value(item, key.meta)) for item in value)] if value else []
        else:
            rows = [lines.quoted(kinds.format_value(value, key.meta))] if value != "" else []
        yield key, rows, value == key.default


__all__ = [
    "Conf",
    "ConfErrors",
    "ConfSection",
    "Key",
    "keys",
    "load",
    "schema",
    "formatted_values",
    "configuration_path",
]
