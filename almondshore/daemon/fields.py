"""Field types of settings: each converts a YAML node to a validated value."""

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
    """The value of a setting is invalid.

    :ivar node: node with the invalid value, which may be an item of a list
    :ivar code: code of the finding
    """

    def __init__(self, node: yaml.Node, code: str, message: str):
        super().__init__(message)
        self.node = node
        self.code = code
        self.message = message


Field = Callable[[yaml.Node], object]
Number = TypeVar("Number", int, float)


def identifier() -> Field:
    """Return a field for a name that may be used in a platform key."""

    def convert(node: yaml.Node) -> str:
        text = _string_value(node)
        if not _IDENTIFIER.fullmatch(text):
            message = "expected 1 to 63 letters, digits, dots, dashes or underscores"
            raise FieldError(node, "malformed", message)
        return text

    return convert


def string() -> Field:
    """Return a field for any text, which the caller parses."""
    return lambda node: _string_value(node)


def boolean() -> Field:
    """Return a field for ``true`` or ``false``."""

    def convert(node: yaml.Node) -> bool:
        if _scalar_tag(node) != "bool" or node.value not in ("true", "false"):
            raise FieldError(
                node, "wrong-type", f"expected true or false, not {_describe_value(node)}"
            )
        return node.value == "true"

    return convert


def integer(lowest: int, highest: int) -> Field:
    """Return a field for an integer within inclusive bounds."""

    def convert(node: yaml.Node) -> int:
        if _scalar_tag(node) != "int" or not _INTEGER.fullmatch(node.value):
            raise FieldError(
                node, "wrong-type", f"expected a whole number, not {_describe_value(node)}"
            )
        return _check_bounds(node, int(node.value), lowest, highest)

    return convert


def number(lowest: float, highest: float) -> Field:
    """Return a field for an integer or decimal number within inclusive bounds."""

    def convert(node: yaml.Node) -> float:
        if _scalar_tag(node) not in ("int", "float") or not _NUMBER.fullmatch(node.value):
            raise FieldError(node, "wrong-type", f"expected a number, not {_describe_value(node)}")
        return _check_bounds(node, float(node.value), lowest, highest)

    return convert


def milliseconds(lowest: int, highest: int) -> Field:
    """Return a field for a duration in milliseconds within inclusive bounds."""
    convert_integer = integer(lowest, highest)
    return lambda node: timedelta(milliseconds=convert_integer(node))


def choice(values: Sequence[str]) -> Field:
    """Return a field for one of a fixed set of values."""

    def convert(node: yaml.Node) -> str:
        text = _string_value(node)
        if text not in values:
            raise FieldError(node, "out-of-range", f"expected one of {', '.join(values)}")
        return text

    return convert


def address(*, any_interface: bool = False) -> Field:
    """Return a field for an address ``ip:port``; host names are refused, not resolved.

    :param any_interface: whether ``0.0.0.0`` and ``[::]`` are accepted; an address that is
        advertised to other nodes must belong to one interface
    """

    def convert(node: yaml.Node) -> str:
        text = _string_value(node)
        parsed = parse_address(text)
        if parsed is None:
            message = f"{_describe_value(node)} is not ip:port, such as 127.0.0.1:7400"
            raise FieldError(node, "bad-address", message)
        if parsed.ip.is_multicast or (parsed.ip.is_unspecified and not any_interface):
            message = f"{parsed.ip} does not name one interface of a host"
            raise FieldError(node, "bad-address", message)
        return text

    return convert


def addresses() -> Field:
    """Return a field for a list of at most ``MAX_PEERS`` distinct addresses ``ip:port``."""
    convert_address = address()

    def convert(node: yaml.Node) -> tuple[str, ...]:
        if not isinstance(node, yaml.SequenceNode):
            raise FieldError(node, "wrong-type", "expected a list of ip:port")
        if len(node.value) > MAX_PEERS:
            raise FieldError(node, "out-of-range", f"more than {MAX_PEERS} addresses")
        values: list[str] = []
        for item in node.value:
            value = convert_address(item)
            if value in values:
                raise FieldError(item, "duplicate", f"{value} is listed twice")
            values.append(value)
        return tuple(values)

    return convert


def http_url() -> Field:
    """Return a field for the base URL ``http://ip:port`` of an HTTP API, without a path."""

    def convert(node: yaml.Node) -> str:
        text = _string_value(node)
        try:
            parts = urlsplit(text)
        except ValueError:
            parts = urlsplit("")
        is_base = parts.scheme == "http" and parts.path in ("", "/") and not parts.query
        if (
            not is_base
            or text.strip() != text
            or "#" in text
            or parse_address(parts.netloc) is None
        ):
            raise FieldError(node, "bad-address", f"{_describe_value(node)} is not http://ip:port")
        return f"http://{parts.netloc}"

    return convert


def _check_bounds(node: yaml.Node, value: Number, lowest: Number, highest: Number) -> Number:
    if not lowest <= value <= highest:
        raise FieldError(node, "out-of-range", f"{value} is not between {lowest} and {highest}")
    return value


def _string_value(node: yaml.Node) -> str:
    if _scalar_tag(node) != "str":
        raise FieldError(node, "wrong-type", f"expected text, not {_describe_value(node)}")
    return node.value


def _scalar_tag(node: yaml.Node) -> str:
    return node.tag.removeprefix(_TAG_PREFIX) if isinstance(node, yaml.ScalarNode) else ""


def _describe_value(node: yaml.Node) -> str:
    """Describe a node's value for an error message, shortened and on one line."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    return repr(node.value[:60]) if node.value else "an empty value"
