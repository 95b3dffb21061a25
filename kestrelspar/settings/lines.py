"""The line format of ``kestrelspar.conf``: splits files into sections, without interpreting their keys.

A line without indentation opens a section, with a label if there may be several of its kind. Indented lines have the
form ``key word ...``. ``#`` begins a comment, double quotes enclose blanks, and ``include PATTERN`` reads other files.
Errors are collected instead of raised one by one, so that all errors of a file are reported together.
"""

from __future__ import annotations

import glob
import os
import re
from dataclasses import dataclass, field

MAX_FILE_SIZE = 4_000_000  # characters of one file; a wrong path must not fill the memory
MAX_FILES = 200  # files read in all, including repeated ones
# Groups: 1 a comment, 2 the inside of double quotes, 3 a plain word.
_WORD = re.compile(r'[ \t]*(?:(#.*)|"((?:[^"\\]|\\.)*)"(?=[ \t#]|$)|([^\s"#][^\s"]*)(?=[ \t]|$))')


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A line of a file; line 0 stands for the whole file, or for an environment variable."""

    path: str
    line: int

    def __str__(self) -> str:
        return f"{self.path}:{self.line}"


@dataclass(frozen=True, slots=True, order=True)
class ConfError:
    """An error in the configuration: its location, its key (empty: none), what is wrong and what is accepted."""

    location: SourceLocation
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.location}: {self.key}: {self.text}" if self.key else f"{self.location}: {self.text}"


class ConfErrors(ValueError):
    """Errors of a configuration, sorted by path and line."""

    def __init__(self, errors: list[ConfError]) -> None:
        super().__init__("\n".join(map(str, errors)))
        self.errors = errors


@dataclass(slots=True)
class Line:
    """One setting, as written: its key and the words after it."""

    location: SourceLocation
    key: str
    words: tuple[str, ...]


@dataclass(slots=True)
class Block:
    """One section, as written: the word that opens it, its label, and its settings."""

    location: SourceLocation
    kind: str
    label: str = ""
    lines: list[Line] = field(default_factory=list)


def words(text: str) -> tuple[str, ...]:
    """Split a line into words, without quotes and comment.

    Raises ``ValueError`` for a quote that does not end, or that adjoins other text.
    """
    found: list[str] = []
    position, text = 0, text.rstrip()
    while position < len(text):
        match = _WORD.match(text, position)
        if match is None:
            raise ValueError(
                f"can't be read from {text[position:].strip()!r:.40} on (wanted: words, or text in "
                'double quotes that end, with \\" and \\\\ inside)'
            )
        position = match.end()
        if match[1] is not None:
            break
        found.append(str(match[3]) if match[2] is None else re.sub(r"\\(.)", r"\1", match[2]))
    return tuple(found)


def quoted(word: str) -> str:
    """Quote a word, if necessary, so that ``words`` returns it unchanged."""
    if word and not re.search(r'[\s"#\\]', word):
        return word
    return '"' + word.replace("\\", "\\\\").replace('"', '\\"') + '"'


def read(path: str) -> tuple[list[Block], list[ConfError]]:
    """Read a file and the files that it includes. Returns their sections, and all errors of syntax or reading."""
    reader = _Reader()
    reader.read_file(path, None)
    return reader.blocks, reader.errors


class _Reader:
    """Reads files, and collects their sections and errors."""

    def __init__(self) -> None:
        self.blocks: list[Block] = []
        self.errors: list[ConfError] = []
        self._open_files: list[str] = []  # files being read, to detect one that includes itself
        self._file_count = 0

    def read_file(self, path: str, included_from: SourceLocation | None) -> None:
        """Read one file. ``included_from`` is the location of the include line that named it; None: the first file."""
        real_path, location = os.path.realpath(path), included_from or SourceLocation(path, 0)
        self._file_count += 1
        if real_path in self._open_files or self._file_count > MAX_FILES:
            reason = "includes itself" if real_path in self._open_files else f"is one of more than {MAX_FILES} files"
            self.errors.append(ConfError(location, "include", f"{path} {reason}"))
            return
        try:
            with open(path, encoding="utf-8") as file:
                text = file.read(MAX_FILE_SIZE + 1)
        except (OSError, UnicodeDecodeError) as error:
            reason = str(error.strerror) if isinstance(error, OSError) else "not UTF-8 text"
            self.errors.append(
                ConfError(location, "include" if included_from else "", f"{path} can't be read: {reason}")
            )
            return
        if len(text) > MAX_FILE_SIZE:
            self.errors.append(ConfError(location, "", f"{path} is longer than {MAX_FILE_SIZE} characters"))
            return
        self._open_files.append(real_path)
        block: Block | None = None
        for number, line in enumerate(text.split("\n"), 1):
            block = self._read_line(SourceLocation(path, number), line, block)
        self._open_files.pop()

    def _read_line(self, location: SourceLocation, text: str, block: Block | None) -> Block | None:
        """Read one line of the section ``block``. Returns the section to which indented lines after it belong.

        None, as at the beginning of a file and after an include: such lines are errors.
        """
        try:
            found = words(text)
        except ValueError as error:
            self.errors.append(ConfError(location, block.kind if block and text[:1] in " \t" else "", str(error)))
            return block
        if not found:
            return block
        if text[0] in " \t":
            if block is None:
                self.errors.append(
                    ConfError(location, "", f"{found[0]!r} is outside of any section (a line without indent opens one)")
                )
            else:
                block.lines.append(Line(location, found[0], found[1:]))
            return block
        if found[0] == "include":
            self._include(location, found[1:])
            return None
        if len(found) > 2:
            self.errors.append(
                ConfError(
                    location,
                    found[0],
                    f"{' '.join(found[1:])!r:.60} is no label (one word is "
                    "wanted; settings go on indented lines below)",
                )
            )
        self.blocks.append(Block(location, found[0], found[1] if len(found) > 1 else ""))
        return self.blocks[-1]

    def _include(self, location: SourceLocation, patterns: tuple[str, ...]) -> None:
        if not patterns:
            self.errors.append(ConfError(location, "include", "names no file"))
        for pattern in patterns:
            path = os.path.join(os.path.dirname(location.path), pattern)
            found = sorted(glob.glob(path))
            if not found and not glob.has_magic(pattern):
                found = [path]  # a missing file is an error, but a pattern may match nothing
            for name in found:
                self.read_file(name, location)
