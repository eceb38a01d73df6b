"""Parser of JSON with comments and trailing commas, with the position of each value."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer, UnexpectedInput, v_args

_GRAMMAR = r"""
    start: value
    ?value: object | array | STRING -> string | NUMBER -> number
          | "true" -> true | "false" -> false | "null" -> null
    object: "{" [member ("," member)* ","?] "}"
    member: STRING ":" value
    array: "[" [value ("," value)* ","?] "]"
    STRING: /"(\\.|[^"\\\n])*"/
    NUMBER: /-?\d+(\.\d+)?([eE][+-]?\d+)?/
    COMMENT: /\/\/[^\n]*/ | /\/\*(.|\n)*?\*\//
    %ignore COMMENT
    %ignore /[ \t\r\n]+/
"""


class Position(NamedTuple):
    """Line and column, both counted from 1."""

    line: int
    column: int


class Parsed(NamedTuple):
    """Parsed text: its value, the position of each path, and repeated keys."""

    value: Any
    positions: dict[tuple[str | int, ...], Position]
    repeated: list[tuple[tuple[str | int, ...], Position]]


class _Node(NamedTuple):
    kind: str
    position: Position
    content: Any


class _Builder(Transformer):
    @v_args(meta=True)
    def object(self, meta: Any, members: list[Any]) -> _Node:
        kept = [member for member in members if member is not None]
        return _Node("object", Position(meta.line, meta.column), kept)

    @v_args(meta=True)
    def array(self, meta: Any, items: list[Any]) -> _Node:
        kept = [item for item in items if item is not None]
        return _Node("array", Position(meta.line, meta.column), kept)

    def member(self, parts: list[Any]) -> tuple[str, Position, _Node]:
        name, value = parts
        return json.loads(name), Position(name.line, name.column), value

    def string(self, parts: list[Token]) -> _Node:
        return _make_scalar(parts[0])

    def number(self, parts: list[Token]) -> _Node:
        return _make_scalar(parts[0])

    @v_args(meta=True)
    def true(self, meta: Any, _parts: list[Any]) -> _Node:
        return _Node("scalar", Position(meta.line, meta.column), True)

    @v_args(meta=True)
    def false(self, meta: Any, _parts: list[Any]) -> _Node:
        return _Node("scalar", Position(meta.line, meta.column), False)

    @v_args(meta=True)
    def null(self, meta: Any, _parts: list[Any]) -> _Node:
        return _Node("scalar", Position(meta.line, meta.column), None)

    def start(self, parts: list[_Node]) -> _Node:
        return parts[0]


def _make_scalar(token: Token) -> _Node:
    return _Node("scalar", Position(token.line, token.column), json.loads(token))


class CommentedJsonError(ValueError):
    """The text is not JSON with comments."""

    def __init__(self, message: str, position: Position) -> None:
        super().__init__(message)
        self.position = position


def parse_commented_json(text: str) -> Parsed:
    """Parse JSON with comments.

    Raises
    ------
    CommentedJsonError
        With the position of the first error.
    """
    parser = Lark(
        _GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False
    )
    try:
        node = _Builder().transform(parser.parse(text))
    except UnexpectedInput as error:
        position = Position(max(error.line, 1), max(error.column, 1))
        raise CommentedJsonError("this is not JSON with comments", position) from error
    parsed = Parsed(None, {}, [])
    value = _collect(node, (), parsed)
    return parsed._replace(value=value)


def _collect(node: _Node, path: tuple[str | int, ...], parsed: Parsed) -> Any:
    parsed.positions.setdefault(path, node.position)
    if node.kind == "array":
        items = enumerate(node.content)
        return [_collect(item, (*path, index), parsed) for index, item in items]
    if node.kind != "object":
        return node.content
    result: dict[str, Any] = {}
    for name, position, value in node.content:
        if name in result:
            parsed.repeated.append(((*path, name), position))
        parsed.positions[(*path, name)] = position
        result[name] = _collect(value, (*path, name), parsed)
    return result
