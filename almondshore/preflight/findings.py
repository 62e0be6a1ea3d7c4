"""Findings in a configuration, by the path of the part that they concern."""

from enum import StrEnum
from typing import NamedTuple

# Member names and indexes from the whole document to a part of it.
Path = tuple[str | int, ...]


class Level(StrEnum):
    """Whether a configuration with a finding may be put into force."""

    ERROR = "error"
    WARNING = "warning"


class ConfigFinding(NamedTuple):
    """A problem in one part of a configuration.

    :ivar code: stable identifier of the kind of finding
    :ivar message: explanation for the operator, without any key
    """

    level: Level
    path: Path
    code: str
    message: str


def error(path: Path, code: str, message: str) -> ConfigFinding:
    """Return a finding for what does not work as it is written."""
    return ConfigFinding(Level.ERROR, path, code, message)


def warning(path: Path, code: str, message: str) -> ConfigFinding:
    """Return a finding for what works, but is likely not meant."""
    return ConfigFinding(Level.WARNING, path, code, message)


def format_path(path: Path) -> str:
    """Return a path as text, such as ``tenants.alice.api_keys[1]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "document"
