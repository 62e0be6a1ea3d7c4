"""Positions of the parts of a JSON document, for findings."""

import re
from collections.abc import Iterator

from almondshore.preflight.findings import Path

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]|[^\s\[\]{},:"]+', re.DOTALL)
_ESCAPE = re.compile(r"\\u([0-9a-fA-F]{4})|\\(.)")
_ESCAPED = {"b": "\b", "f": "\f", "n": "\n", "r": "\r", "t": "\t"}


class Places:
    """Positions of members and elements in a well-formed document.

    It finds positions only; the document is decoded elsewhere.

    :ivar offsets: offset of each part by path; for members, that of the last one of a name
    :ivar repeated: paths of members whose name occurs more than once in their object
    """

    def __init__(self, *, text: str):
        self.text = text
        self.offsets: dict[Path, int] = {(): 0}
        self.repeated: list[Path] = []
        self._locate()

    def position(self, path: Path) -> tuple[int, int]:
        """Return line and column, from 1, of a part or of the nearest part that contains it."""
        while path not in self.offsets:
            path = path[:-1]
        return line_and_column(self.text, self.offsets[path])

    def _locate(self) -> None:
        # The open containers: their path, and the index of the next element, None for an object.
        open_parts: list[tuple[Path, list[int] | None]] = []
        path: Path = ()
        name: str | None = None
        for token, offset in self._tokens():
            container, index = open_parts[-1] if open_parts else ((), None)
            if token == ",":
                name = None
            elif token == ":":
                continue
            elif token in "]}":
                if open_parts:
                    open_parts.pop()
            elif open_parts and index is None and name is None and token not in "[{":
                name = _unescape(token)
                path = (*container, name)
                if path in self.offsets:
                    self.repeated.append(path)
                self.offsets[path] = offset
            else:
                if index is not None:
                    path = (*container, index[0])
                    index[0] += 1
                    self.offsets[path] = offset
                if token in "[{":
                    open_parts.append((path, [0] if token == "[" else None))
                    name = None

    def _tokens(self) -> Iterator[tuple[str, int]]:
        for match in _TOKEN.finditer(self.text):
            yield match.group(), match.start()


def line_and_column(text: str, offset: int) -> tuple[int, int]:
    """Return line and column, from 1, of an offset."""
    return text.count("\n", 0, offset) + 1, offset - text.rfind("\n", 0, offset)


def _unescape(token: str) -> str:
    def replace(match: re.Match) -> str:
        if match.group(1):
            return chr(int(match.group(1), 16))
        return _ESCAPED.get(match.group(2), match.group(2))

    return _ESCAPE.sub(replace, token[1:-1])
