"""Kinds of settings: conversion of a YAML node to a checked value."""

import re
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import TypeVar
from urllib.parse import urlsplit

import yaml

from almondshore.net.address import parse_address

MAX_PEERS = 100
_INTEGER = re.compile(r"-?[0-9]{1,18}")
_NUMBER = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,18})?")
_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_TAG_PREFIX = "tag:yaml.org,2002:"


class FieldError(Exception):
    """A value is not what its key needs.

    :ivar node: node at fault, which may be an item of a list
    """

    def __init__(self, node: yaml.Node, code: str, message: str):
        super().__init__(message)
        self.node = node
        self.code = code
        self.message = message


Field = Callable[[yaml.Node], object]
Number = TypeVar("Number", int, float)


def identifier() -> Field:
    """Return a field for a name that can be part of a platform key."""

    def convert(node: yaml.Node) -> str:
        text = _text(node)
        if not _IDENTIFIER.fullmatch(text):
            message = "expected 1 to 63 letters, digits, dots, dashes or underscores"
            raise FieldError(node, "malformed", message)
        return text

    return convert


def string() -> Field:
    """Return a field for a line of text that its owner parses."""
    return lambda node: _text(node)


def integer(lowest: int, highest: int) -> Field:
    """Return a field for a whole number within inclusive bounds."""

    def convert(node: yaml.Node) -> int:
        if _tag(node) != "int" or not _INTEGER.fullmatch(node.value):
            raise FieldError(node, "wrong-type", f"expected a whole number, not {_shown(node)}")
        return _within(node, int(node.value), lowest, highest)

    return convert


def number(lowest: float, highest: float) -> Field:
    """Return a field for a number, with or without a fraction, within inclusive bounds."""

    def convert(node: yaml.Node) -> float:
        if _tag(node) not in ("int", "float") or not _NUMBER.fullmatch(node.value):
            raise FieldError(node, "wrong-type", f"expected a number, not {_shown(node)}")
        return _within(node, float(node.value), lowest, highest)

    return convert


def milliseconds(lowest: int, highest: int) -> Field:
    """Return a field for a duration given in milliseconds."""
    whole = integer(lowest, highest)
    return lambda node: timedelta(milliseconds=whole(node))


def choice(values: Sequence[str]) -> Field:
    """Return a field for one of several words."""

    def convert(node: yaml.Node) -> str:
        text = _text(node)
        if text not in values:
            raise FieldError(node, "out-of-range", f"expected one of {', '.join(values)}")
        return text

    return convert


def address(*, any_interface: bool = False) -> Field:
    """Return a field for an address ``ip:port``; host names are not resolved.

    :param any_interface: whether ``0.0.0.0`` and ``[::]`` are accepted; an address that other
        nodes are told to connect to must name one interface
    """

    def convert(node: yaml.Node) -> str:
        text = _text(node)
        parsed = parse_address(text)
        if parsed is None:
            message = f"{_shown(node)} is not ip:port, such as 127.0.0.1:7400"
            raise FieldError(node, "bad-address", message)
        if parsed.ip.is_multicast or (parsed.ip.is_unspecified and not any_interface):
            message = f"{parsed.ip} does not name one interface of a host"
            raise FieldError(node, "bad-address", message)
        return text

    return convert


def addresses() -> Field:
    """Return a field for a list of distinct addresses ``ip:port``."""
    single = address()

    def convert(node: yaml.Node) -> tuple[str, ...]:
        if not isinstance(node, yaml.SequenceNode):
            raise FieldError(node, "wrong-type", "expected a list of ip:port")
        if len(node.value) > MAX_PEERS:
            raise FieldError(node, "out-of-range", f"more than {MAX_PEERS} addresses")
        found: list[str] = []
        for item in node.value:
            value = single(item)
            if value in found:
                raise FieldError(item, "duplicate", f"{value} is listed twice")
            found.append(value)
        return tuple(found)

    return convert


def http_url() -> Field:
    """Return a field for the base address ``http://ip:port`` of an HTTP API."""

    def convert(node: yaml.Node) -> str:
        text = _text(node)
        try:
            parts = urlsplit(text)
        except ValueError:
            parts = urlsplit("")
        plain = parts.scheme == "http" and parts.path in ("", "/") and not parts.query
        if not plain or text.strip() != text or "#" in text or parse_address(parts.netloc) is None:
            raise FieldError(node, "bad-address", f"{_shown(node)} is not http://ip:port")
        return f"http://{parts.netloc}"

    return convert


def _within(node: yaml.Node, value: Number, lowest: Number, highest: Number) -> Number:
    if not lowest <= value <= highest:
        raise FieldError(node, "out-of-range", f"{value} is not between {lowest} and {highest}")
    return value


def _text(node: yaml.Node) -> str:
    if _tag(node) != "str":
        raise FieldError(node, "wrong-type", f"expected text, not {_shown(node)}")
    return node.value


def _tag(node: yaml.Node) -> str:
    return node.tag.removeprefix(_TAG_PREFIX) if isinstance(node, yaml.ScalarNode) else ""


def _shown(node: yaml.Node) -> str:
    """Return a node's value for a message, on one line and not too long."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    return repr(node.value[:60]) if node.value else "an empty value"
