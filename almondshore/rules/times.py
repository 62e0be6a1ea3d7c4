"""Local times of deadlines, with the gaps and overlaps of daylight saving time."""

import re
from datetime import UTC, datetime
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from almondshore.core.errors import AlmondshoreError

DAY = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}\Z")
TIME = re.compile(r"[0-9]{2}:[0-9]{2}\Z")
# The names of the IANA database. 'localtime' and 'posixrules' depend on the host that reads them.
ZONE = re.compile(r"(?!localtime|posixrules)[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+)*\Z")
MAX_ZONE_CHARS = 64


class LocalTimeError(AlmondshoreError):
    """A local time does not name exactly one instant.

    :ivar code: code of the finding to report
    :ivar word: index of the wrong word: 0 the date, 1 the time, 2 the time zone
    """

    def __init__(self, code: str, word: int, message: str):
        super().__init__(message)
        self.code = code
        self.word = word


def to_utc(day: str, time: str, zone: str) -> datetime:
    """Convert a local date and time to UTC.

    :param day: date as ``YYYY-MM-DD``
    :param time: time as ``HH:MM``
    :param zone: name of a time zone, such as ``Europe/Rome``
    :raises LocalTimeError: if a value is malformed or the time is skipped or occurs twice
    """
    date = _parse(day, DAY, "%Y-%m-%d", 0, "a date such as 2026-12-08")
    clock = _parse(time, TIME, "%H:%M", 1, "a time such as 06:00")
    local = datetime.combine(date.date(), clock.time())
    info = _zone(zone)
    try:
        first, second = (local.replace(tzinfo=info, fold=fold) for fold in (0, 1))
        instant = first.astimezone(UTC)
        back = instant.astimezone(info).replace(tzinfo=None)
    except OverflowError:
        raise LocalTimeError("bad-time", 0, f"the year of {day} is out of range") from None
    if first.utcoffset() != second.utcoffset():
        if back != local:
            raise LocalTimeError("time-in-gap", 0, f"{day} {time} is skipped in {zone}")
        raise LocalTimeError("time-in-overlap", 0, f"{day} {time} occurs twice in {zone}")
    return instant


def _parse(text: str, shape: re.Pattern, layout: str, word: int, what: str) -> datetime:
    try:
        if shape.match(text):
            return datetime.strptime(text, layout)
    except ValueError:
        pass
    raise LocalTimeError("bad-time", word, f"'{text[:20]}' is not {what}")


def _zone(name: str) -> ZoneInfo:
    try:
        if ZONE.match(name) and len(name) <= MAX_ZONE_CHARS:
            return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        pass
    raise LocalTimeError(
        "unknown-time-zone", 2, f"'{name[:MAX_ZONE_CHARS]}' is not a known time zone"
    )
