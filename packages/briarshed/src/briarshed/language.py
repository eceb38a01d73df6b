"""Parser of the operators' language, with one command per line."""

from __future__ import annotations

from functools import cache
from importlib import resources
from typing import Any, NamedTuple

from lark import Lark, Token, Tree, UnexpectedCharacters, UnexpectedInput
from returns.result import Failure, Result, Success

from briarshed import commands
from briarshed.commands import Command, Condition, Script, Statement
from briarshed.findings import Finding, suggest_name

INLINE_SOURCE = "<command>"
MAX_SCRIPT_LINES = 1_000
"""Limits the time for which parsing blocks the event loop of an entry."""

_DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_DESCRIPTIONS = {
    "NAME": "a name of a-z, 0-9, '.' and '-'",
    "FIELD": "a column name",
    "INT": "a whole number",
    "NUMBER": "a number",
    "DURATION": "a duration such as 60s, 10m or 2h",
    "ADDRESS": "an address such as 127.0.0.1:9001",
    "VALUE": "a value, in quotes if it has spaces",
    "OPERATOR": "one of = != < >",
    "_EQUALS": "'='",
    "COMMA": "','",
    "$END": "the end of the line",
}
_FLAGS: dict[str, tuple[str, Any]] = {
    "spare": ("spare", True),
    "not_spare": ("spare", False),
    "open": ("open", True),
    "closed": ("open", False),
    "all_teams": ("teams", ()),
}
"""Argument and value that a keyword sets by itself, by its grammar rule."""

_LISTS = ("teams", "pools", "columns", "group")
_DURATIONS = ("expires", "overlap", "since")
_WHOLE_NUMBERS = (
    "budget",
    "slots",
    "connections",
    "port",
    "limit",
    "max_jobs",
    "max_bytes",
    "version",
)


class _Argument(NamedTuple):
    name: str
    value: Any
    positions: tuple[int, ...]


def parse_script(
    text: str, source: str = INLINE_SOURCE
) -> Result[Script, tuple[Finding, ...]]:
    """Parse a script.

    Returns
    -------
    Result
        The script, or the findings of all its lines.
    """
    lines = text.splitlines()
    if len(lines) > MAX_SCRIPT_LINES:
        message = f"a script has at most {MAX_SCRIPT_LINES} lines"
        return Failure((Finding(source, MAX_SCRIPT_LINES + 1, 1, message),))
    statements: list[Statement] = []
    findings: list[Finding] = []
    dry_run = False
    has_earlier_command = False
    for number, line in enumerate(lines, start=1):
        if not _strip_comment(line):
            continue
        parsed = _parse_line(line)
        if isinstance(parsed, Finding):
            findings.append(parsed._replace(source=source, line=number))
            has_earlier_command = True
            continue
        first = parsed.children[0]
        if first.data == "dry_run":
            if has_earlier_command:
                message = "'dry run' covers a whole script and stands at its beginning"
                column = len(line) - len(line.lstrip()) + 1
                findings.append(Finding(source, number, column, message))
            dry_run = True
        has_earlier_command = True
        if parsed.children[-1].data != "dry_run":
            built = _build_statement(parsed.children[-1], line, number)
            findings += [found._replace(source=source) for found in built[1]]
            statements += built[0]
    if not findings and not statements:
        findings.append(Finding(source, 1, 1, "the script has no command"))
    if findings:
        return Failure(tuple(findings))
    return Success(Script(source, tuple(statements), dry_run))


@cache
def _load_parser() -> Lark:
    grammar = resources.files("briarshed").joinpath("language.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, cache=False)


def _strip_comment(line: str) -> str:
    return line.partition("#")[0].strip()


def _parse_line(line: str) -> Tree | Finding:
    interactive = _load_parser().parse_interactive(line)
    try:
        interactive.exhaust_lexer()
        return interactive.feed_eof()
    except UnexpectedInput as error:
        return _explain(error, line, interactive.accepts())


def _explain(error: UnexpectedInput, line: str, accepted: set[str]) -> Finding:
    token = getattr(error, "token", None)
    at_end = token is not None and token.type == "$END"
    if at_end:
        column = len(_strip_comment(line)) + len(line) - len(line.lstrip()) + 1
    elif isinstance(error, UnexpectedCharacters) or token is None:
        column = error.column
    else:
        column = token.column
    word = "" if at_end else _find_word(line, column)
    expected, keywords = _describe(accepted)
    subject = "the line ends too early" if at_end else f"'{word}' is not expected here"
    hint = suggest_name(word, keywords) if word else ""
    return Finding("", 1, column, f"{subject}; expected {expected}", hint)


def _find_word(line: str, column: int) -> str:
    rest = line[column - 1 :].split(maxsplit=1)[0]
    return rest if rest == "," else rest.rstrip(",")


def _describe(accepted: set[str]) -> tuple[str, list[str]]:
    patterns = {item.name: item.pattern for item in _load_parser().terminals}
    keywords = []
    others = []
    for name in sorted(accepted):
        if name in _DESCRIPTIONS:
            others.append(_DESCRIPTIONS[name])
        else:
            # Without the lookahead that ends each keyword in the grammar.
            keywords.append(patterns[name].value.partition("(?!")[0])
    words = [f"'{word}'" for word in sorted(keywords)] + others
    if len(words) > 1:
        return ", ".join(words[:-1]) + " or " + words[-1], keywords
    return words[0], keywords


def _build_statement(
    tree: Tree, line: str, number: int
) -> tuple[list[Statement], list[Finding]]:
    command_type = _find_command_type(str(tree.data))
    words = str(tree.data).replace("_", " ").replace("data centre", "data-centre")
    column = len(line) - len(line.lstrip()) + 1
    if isinstance(tree.meta.column, int):
        column = tree.meta.column
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    positions: dict[str, tuple[int, ...]] = {}
    for child in tree.children:
        if child is None:
            continue
        argument = _read_argument(child)
        if argument.name in values:
            message = f"'{_spell(argument.name)}' is given more than once"
            findings.append(Finding("", number, argument.positions[0], message))
        values[argument.name] = argument.value
        positions[argument.name] = argument.positions
    missing = [
        name
        for name in command_type._fields
        if name not in command_type._field_defaults and name not in values
    ]
    if missing:
        listed = ", ".join(f"'{_spell(name)}'" for name in missing)
        end = len(line.partition("#")[0].rstrip()) + 1
        findings.append(Finding("", number, end, f"'{words}' also needs {listed}"))
    if findings:
        return [], findings
    text = line[column - 1 :].partition("#")[0].strip()
    return [Statement(number, column, text, command_type(**values), positions)], []


def _spell(name: str) -> str:
    return name.replace("_", "-")


@cache
def _find_command_type(rule: str) -> type[Command]:
    name = "".join(part.capitalize() for part in rule.split("_"))
    return getattr(commands, name)


def _read_argument(tree: Tree) -> _Argument:
    name = str(tree.data)
    tokens = [child for child in tree.children if isinstance(child, Token)]
    positions = tuple(token.column for token in tokens)
    if name in _FLAGS:
        return _Argument(*_FLAGS[name], positions)
    if name == "where":
        conditions = [_read_condition(child) for child in tree.children]
        condition_positions = tuple(child.children[0].column for child in tree.children)
        return _Argument(name, tuple(conditions), condition_positions)
    if name in ("columns", "group"):
        fields = tuple(str(token).replace("-", "_") for token in tokens)
        return _Argument(name, fields, positions)
    return _Argument(name, _read_value(name, tokens), positions)


def _read_condition(tree: Tree) -> Condition:
    field, operator, value = (str(child) for child in tree.children)
    return Condition(field.replace("-", "_"), operator, value.strip('"'))


def _read_value(name: str, tokens: list[Token]) -> Any:
    if name in _LISTS:
        return tuple(str(token) for token in tokens)
    text = str(tokens[0])
    if name in _WHOLE_NUMBERS:
        return int(text)
    if name == "share":
        return float(text)
    if name in _DURATIONS:
        digits = text.rstrip("mshd")
        return int(digits) * _DURATION_UNITS_S[text[len(digits) :]]
    return text
