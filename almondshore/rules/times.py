"""Converts the local times of deadlines to UTC and rejects daylight saving gaps and overlaps."""

import re
from datetime import UTC, datetime
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from almondshore.core.errors import AlmondshoreError

DATE_PATTERN = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}\Z")
TIME_PATTERN = re.compile(r"[0-9]{2}:[0-9]{2}\Z")
# Names of the IANA time zone database, except 'localtime' and 'posixrules', whose meaning depends
# on the host that reads them.
TIME_ZONE_PATTERN = re.compile(
    r"(?!localtime|posixrules)[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+)*\Z"
)
MAX_TIME_ZONE_CHARS = 64


class LocalTimeError(AlmondshoreError):
    """A local time is malformed, or does not correspond to exactly one instant.

    :ivar code: code of the finding to report
    :ivar word: index of the invalid word: 0 the date, 1 the time, 2 the time zone
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
    :raises LocalTimeError: if a value is malformed, the year is out of range, or the time is
        skipped or occurs twice because of a clock change
    """
    date = _parse(day, DATE_PATTERN, "%Y-%m-%d", 0, "a date such as 2026-12-08")
    clock = _parse(time, TIME_PATTERN, "%H:%M", 1, "a time such as 06:00")
    local = datetime.combine(date.date(), clock.time())
    tz = _time_zone(zone)
    try:
        earlier, later = (local.replace(tzinfo=tz, fold=fold) for fold in (0, 1))
        instant = earlier.astimezone(UTC)
        round_trip = instant.astimezone(tz).replace(tzinfo=None)
    except OverflowError:
        raise LocalTimeError("bad-time", 0, f"the year of {day} is out of range") from None
    if earlier.utcoffset() != later.utcoffset():
        if round_trip != local:
            raise LocalTimeError("time-in-gap", 0, f"{day} {time} is skipped in {zone}")
        raise LocalTimeError("time-in-overlap", 0, f"{day} {time} occurs twice in {zone}")
    return instant


def _parse(text: str, pattern: re.Pattern, date_format: str, word: int, expected: str) -> datetime:
    try:
        if pattern.match(text):
            return datetime.strptime(text, date_format)
    except ValueError:
        pass
    raise LocalTimeError("bad-time", word, f"'{text[:20]}' is not {expected}")


def _time_zone(name: str) -> ZoneInfo:
    try:
        if TIME_ZONE_PATTERN.match(name) and len(name) <= MAX_TIME_ZONE_CHARS:
            return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        pass
    raise LocalTimeError(
        "unknown-time-zone", 2, f"'{name[:MAX_TIME_ZONE_CHARS]}' is not a known time zone"
    )
