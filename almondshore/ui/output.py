"""Output of the tool as tables and JSON."""

from collections.abc import Iterable, Sequence
from typing import Any, TextIO

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

# Wide enough that no cell is truncated or wrapped when the output goes to a file or a pipe.
PIPE_WIDTH_COLUMNS = 10_000


def print_table(out: TextIO, header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows as aligned columns under a header."""
    table = Table(*header, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(Text(printable(str(cell))) for cell in row))
    width = None if out.isatty() else PIPE_WIDTH_COLUMNS
    Console(file=out, width=width, highlight=False).print(table)


def print_json(out: TextIO, value: Any) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode(), file=out, flush=True)


def printable(text: str) -> str:
    """Replace control characters by ``?``; stored text must not control the operator's terminal."""
    return "".join(char if char.isprintable() else "?" for char in text)


def format_ready_targets(ready: dict[str, int]) -> str:
    """Format the number of ready targets of each version, such as ``v1: 2, v2: 1``."""
    return ", ".join(f"{version}: {count}" for version, count in ready.items())
