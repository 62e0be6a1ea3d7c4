"""Durations that the platform states in seconds."""

from datetime import timedelta


def from_seconds(seconds: float) -> timedelta:
    """Return a duration.

    :raises ValueError: if it is not finite or too long
    """
    try:
        return timedelta(seconds=seconds)
    except OverflowError as error:
        raise ValueError(f"{seconds} seconds are too long") from error
