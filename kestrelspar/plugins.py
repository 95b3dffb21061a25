"""Plug-ins: scripts with one rule per line, which act on a message's fields at its arrival and at its end.

    on arrival when tenant == "parnu-lahe-vesi" and size > 4000: defer 1500
    on arrival when cls == "reading" and dest == 12: set dest 13
    on end when state == "failed" and cls == "payment": log "payment lost: " + trace

Expressions are a subset of Python's; this module evaluates them, within a budget of steps. An invalid script is
rejected at start, with its file and line. A rule that fails for a message is logged and skipped.
"""

from __future__ import annotations

import ast
import operator
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kestrelspar.core.messages import Answer, End, Message, RefusalReason
from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, Loop
from snowlock import interface as api

MAX_STEPS = 200  # evaluated nodes of one expression, for one message
MAX_TEXT_LENGTH = 64 * 1024  # characters of the result of ``+``
MAX_NUMBER = 10**15  # absolute value of the result of an arithmetic operator
MAX_DEFER_MS = 60_000
# ``left_ms`` is the time until the message's deadline, ``front`` the name of its sender side.
ARRIVAL_FIELDS = frozenset({"trace", "cls", "tenant", "dest", "key", "size", "body", "left_ms", "front"})
END_FIELDS = ARRIVAL_FIELDS | {"state", "after_ms"}
ACTIONS = {"arrival": ("defer", "reject", "set class", "set dest"), "end": ("log",)}
_RULE = re.compile(r"on\s+(arrival|end)\s+when\s+(.*)", re.S)
_BINARY: dict[type[ast.AST], Callable[[Any, Any], Any]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.FloorDiv: operator.floordiv,
    ast.Mod: operator.mod,
}
_COMPARE: dict[type[ast.AST], Callable[[Any, Any], Any]] = {
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.In: lambda a, b: a in b,
    ast.NotIn: lambda a, b: a not in b,
}
_CALLS: dict[str, tuple[int, Callable[..., Any]]] = {  # functions by name, with their number of arguments
    "len": (1, len),
    "lower": (1, lambda text: text.lower()),
    "text": (1, str),
    "number": (1, int),
    "starts": (2, lambda text, part: text.startswith(part)),
    "ends": (2, lambda text, part: text.endswith(part)),
}


class ScriptError(ValueError):
    """An invalid script; the message names its file and line."""


class EvaluationError(Exception):
    """An expression that could not be evaluated for this message."""


class Expression:
    """An expression over the fields ``names``, evaluated within a budget of steps.

    Creating it raises ``SyntaxError`` or ``ValueError`` if it is invalid or not supported.
    """

    def __init__(self, source: str, names: frozenset[str]) -> None:
        self._tree = ast.parse(source.strip(), mode="eval").body
        self._steps = 0
        self._check(self._tree, names)

    def _check(self, node: ast.AST, names: frozenset[str]) -> None:
        """Raises ``ValueError`` for a node that is not supported."""
        if isinstance(node, ast.Name):
            if node.id not in names:
                raise ValueError(f"unknown field {node.id!r}")
            return
        if isinstance(node, ast.Constant):
            if not isinstance(node.value, (str, int, float)) or isinstance(node.value, complex):
                raise ValueError(f"{node.value!r} is not supported")
            return
        if isinstance(node, ast.Call):
            function = _CALLS.get(node.func.id) if isinstance(node.func, ast.Name) else None
            if function is None or node.keywords or len(node.args) != function[0]:
                raise ValueError(f"{ast.unparse(node)!r} is not a supported function call")
            for argument in node.args:
                self._check(argument, names)
            return
        supported = (
            isinstance(node, (ast.BoolOp, ast.IfExp, ast.Compare, ast.Tuple))
            or (isinstance(node, ast.BinOp) and type(node.op) in _BINARY)
            or (isinstance(node, ast.UnaryOp) and isinstance(node.op, (ast.Not, ast.USub)))
        )
        if not supported or isinstance(node, ast.Compare) and any(type(op) not in _COMPARE for op in node.ops):
            raise ValueError(f"{ast.unparse(node)!r} is not supported")
        for child in ast.iter_child_nodes(node):
            if isinstance(child, ast.expr):
                self._check(child, names)

    def evaluate(self, fields: dict[str, Any]) -> Any:
        """Evaluates the expression for these fields.

        Raises ``EvaluationError`` if types do not fit, a value is out of range or the budget is used up.
        """
        self._steps = MAX_STEPS
        try:
            return self._value(self._tree, fields)
        except (TypeError, ValueError, ArithmeticError, AttributeError) as error:
            raise EvaluationError(str(error)) from error

    def _value(self, node: ast.expr, fields: dict[str, Any]) -> Any:
        self._steps -= 1
        if self._steps < 0:
            raise EvaluationError("too many steps")
        if isinstance(node, ast.Constant):
            return node.value
        if isinstance(node, ast.Name):
            return fields[node.id]
        if isinstance(node, ast.BoolOp):
            decisive = isinstance(node.op, ast.Or)  # the truth value of an operand that ends the evaluation
            value: Any = None
            for part in node.values:
                value = self._value(part, fields)
                if bool(value) is decisive:
                    break
            return value
        if isinstance(node, ast.IfExp):
            return self._value(node.body if self._value(node.test, fields) else node.orelse, fields)
        if isinstance(node, ast.Compare):
            left = self._value(node.left, fields)
            for op, part in zip(node.ops, node.comparators, strict=True):
                right = self._value(part, fields)
                if not _COMPARE[type(op)](left, right):
                    return False
                left = right
            return True
        if isinstance(node, ast.Tuple):
            return tuple(self._value(part, fields) for part in node.elts)
        if isinstance(node, ast.UnaryOp):
            value = self._value(node.operand, fields)
            return not value if isinstance(node.op, ast.Not) else -value
        if isinstance(node, ast.Call):
            assert isinstance(node.func, ast.Name)
            return _CALLS[node.func.id][1](*[self._value(part, fields) for part in node.args])
        assert isinstance(node, ast.BinOp)
        left, right = self._value(node.left, fields), self._value(node.right, fields)
        both_text = isinstance(left, str) and isinstance(right, str)
        if not (both_text and isinstance(node.op, ast.Add)) and not all(
            isinstance(operand, (int, float)) for operand in (left, right)
        ):
            raise EvaluationError(f"{type(left).__name__} and {type(right).__name__} are incompatible operands")
        value = _BINARY[type(node.op)](left, right)
        if len(value) > MAX_TEXT_LENGTH if isinstance(value, str) else abs(value) > MAX_NUMBER:
            raise EvaluationError("value too large")
        return value


class Rule:
    """One line of a script; raises ``ScriptError`` if it is invalid. ``location`` is its file and line."""

    def __init__(self, line: str, location: str) -> None:
        self.location = location
        match = _RULE.fullmatch(line)
        if match is None:
            raise ScriptError(f"{location}: a rule has the form 'on arrival|end when CONDITION: ACTION'")
        self.trigger = match[1]
        names = ARRIVAL_FIELDS if self.trigger == "arrival" else END_FIELDS
        error = "no ':' between condition and action"
        rest = match[2]
        # A string may contain a colon, too, so each colon is tried until the text before it is a valid expression.
        for at in (i for i, character in enumerate(rest) if character == ":"):
            try:
                self.condition = Expression(rest[:at], names)
            except (SyntaxError, ValueError) as invalid:
                error = invalid.msg if isinstance(invalid, SyntaxError) else str(invalid)
                continue
            self._read_action(rest[at + 1 :].strip(), names)
            return
        raise ScriptError(f"{location}: {error}")

    def _read_action(self, text: str, names: frozenset[str]) -> None:
        for verb in ACTIONS[self.trigger]:
            if text == verb or text.startswith(verb + " "):
                self.verb = verb
                try:
                    self.argument = Expression(text[len(verb) :], names)
                except (SyntaxError, ValueError) as invalid:
                    raise ScriptError(f"{self.location}: {invalid}") from invalid
                return
        raise ScriptError(f"{self.location}: {text.split(' ')[0]!r} is not an action on {self.trigger}")


def read(path: Path) -> list[Rule]:
    """Reads the rules of a script, except empty lines and lines that begin with #. Raises ``ScriptError``."""
    try:
        lines = path.read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: {error}") from error
    return [
        Rule(line.strip(), f"{path}:{number}")
        for number, line in enumerate(lines, 1)
        if line.strip() and not line.strip().startswith("#")
    ]


class Plugins:
    """A hook of the courier, which calls it at the arrival and at the end of each message.

    A rule that fails for a message is logged and skipped.
    """

    def __init__(self, loop: Loop, settings: api.Settings, rules: list[Rule]) -> None:
        self.loop, self.settings, self.rules = loop, settings, rules

    def arrival(self, message: Message) -> Answer | None:
        """Runs the rules in order, up to the first that defers or rejects the message; returns None if none does.

        A rule that sets the class or destination changes the message, and later rules see the change.
        """
        for rule in self.rules:
            if rule.trigger != "arrival":
                continue
            fields = self._fields(message)
            try:
                if not rule.condition.evaluate(fields):
                    continue
                value = rule.argument.evaluate(fields)
                if rule.verb == "defer":
                    delay = int(value)
                    if not 0 <= delay <= MAX_DEFER_MS:
                        raise EvaluationError(f"{delay} ms is not a valid delay")
                    return Answer(False, True, RefusalReason.PLUGIN, rule.location, delay * MS)
                if rule.verb == "reject":
                    return Answer(False, False, RefusalReason.PLUGIN, str(value)[:200])
                if rule.verb == "set dest":
                    message.dest = int(value)
                else:
                    message.cls = [c.name for c in self.settings.classes].index(value)
            except (EvaluationError, ValueError, TypeError, OverflowError) as error:
                logs.warn("plugin-passed-over", trace=message.trace, rule=rule.location, why=str(error))
        return None

    def end(self, message: Message, end: End) -> None:
        """Runs all rules for the end of a message; several may log."""
        for rule in self.rules:
            if rule.trigger != "end":
                continue
            fields = self._fields(message) | {"state": end.state, "after_ms": end.after_ms}
            try:
                if rule.condition.evaluate(fields):
                    logs.event(
                        "plugin",
                        trace=message.trace,
                        rule=rule.location,
                        text=str(rule.argument.evaluate(fields))[:400],
                    )
            except EvaluationError as error:
                logs.warn("plugin-passed-over", trace=message.trace, rule=rule.location, why=str(error))

    def _fields(self, message: Message) -> dict[str, Any]:
        tenants = self.settings.tenants
        return {
            "trace": message.trace,
            "cls": self.settings.classes[message.cls].name,
            "dest": message.dest,
            "tenant": tenants[message.tenant].name if tenants else "",
            "key": message.key,
            "size": len(message.body),
            "body": message.body.decode("utf-8", "replace"),
            "left_ms": (message.deadline - self.loop.now) // MS,
            "front": message.sender.name,
        }
