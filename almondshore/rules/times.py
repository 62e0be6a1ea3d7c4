"""Local times of deadlines, with the gaps and overlaps of daylight saving time."""

from datetime import UTC, datetime
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from almondshore.core.errors import AlmondshoreError


class LocalTimeError(AlmondshoreError):
    """A local time does not name exactly one instant.

    :ivar code: code of the finding to report
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


def to_utc(day: str, time: str, zone: str) -> datetime:
    """Convert a local date and time to UTC.

    :param day: date as ``YYYY-MM-DD``
    :param time: time as ``HH:MM``
    :param zone: name of a time zone, such as ``Europe/Rome``
    :raises LocalTimeError: if a value is malformed or the time is skipped or occurs twice
    """
    try:
        local = datetime.strptime(f"{day} {time}", "%Y-%m-%d %H:%M")
    except ValueError:
        raise LocalTimeError(
            "bad-time", f"'{day} {time}' is not a time such as 2026-12-08 06:00"
        ) from None
    try:
        info = ZoneInfo(zone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise LocalTimeError("unknown-time-zone", f"'{zone}' is not a known time zone") from None
    first, second = (local.replace(tzinfo=info, fold=fold) for fold in (0, 1))
    if first.utcoffset() != second.utcoffset():
        back = first.astimezone(UTC).astimezone(info).replace(tzinfo=None)
        if back != local:
            raise LocalTimeError("time-in-gap", f"{day} {time} is skipped in {zone}")
        raise LocalTimeError("time-in-overlap", f"{day} {time} occurs twice in {zone}")
    return first.astimezone(UTC)
