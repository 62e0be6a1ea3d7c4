"""Structured logging: one key=value line for each event."""

import json
import logging
import re
import sys
from datetime import UTC
from functools import lru_cache
from typing import TextIO

from loguru import logger

MAX_VALUE_CHARS = 2000
LIBRARY_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/@+,%*\[\]-]+")
_VALID_KEY = re.compile(r"[a-z][a-z0-9_]*")


class LibraryHandler(logging.Handler):
    """Forwards records of the standard logging module as ``library_log`` events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record at its own level, or as a warning if the level is not a standard one."""
        fields: dict[str, object] = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[0]:
            fields["error"] = f"{record.exc_info[0].__name__}: {record.exc_info[1]}"
        level = record.levelname if record.levelname in LIBRARY_LEVELS else "WARNING"
        log_event("library_log", level=level, **fields)


def setup_logs(*, level: str = "INFO", stream: TextIO | None = None) -> None:
    """Write log events and the warnings of libraries to a stream.

    :param level: lowest level written, a loguru level name
    :param stream: destination, standard error by default
    """
    logger.remove()
    logger.add(
        stream if stream is not None else sys.stderr,
        level=level,
        format=_format_record,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
    logging.captureWarnings(True)


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Log an event with its fields.

    :param event: name of the event in snake case
    :param fields: values by key; written with ``str`` and quoted where needed
    """
    logger.log(level, "{}", format_event(event, fields))


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return ``event=... key=value ...`` on one line."""
    parts = [f"event={format_value(event)}"]
    for key, value in fields.items():
        text = value if type(value) is int else format_value(value)
        parts.append(f"{_format_key(key)}={text}")
    return " ".join(parts)


def format_value(value: object) -> str:
    """Return a value as it is if it needs no quotes, else as an ASCII JSON string.

    Values longer than ``MAX_VALUE_CHARS`` are truncated.
    """
    if type(value) is int:
        return str(value)
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "...[cut]"
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text, ensure_ascii=True)


@lru_cache(maxsize=1000)
def _format_key(key: str) -> str:
    return key if _VALID_KEY.fullmatch(key) else re.sub(r"[^a-z0-9_]", "_", key.lower())


def _format_record(record: dict) -> str:
    at = record["time"].astimezone(UTC).isoformat(timespec="milliseconds")
    record["extra"]["line"] = f"time={at} level={record['level'].name} {record['message']}"
    return "{extra[line]}\n"
