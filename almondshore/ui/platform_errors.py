"""Error messages for failed platform calls."""

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.errors import UserError
from almondshore.storage.port import (
    BudgetExceeded,
    Conflict,
    NotFound,
    PlatformError,
    RateLimited,
    TooLarge,
    Unavailable,
)


class PlatformFailedError(UserError):
    """The platform did not respond, or a call to it failed or was refused."""


def describe_error(error: PlatformError) -> str:
    """Return a one-line message for an error of a platform call."""
    match error:
        case Unavailable(detail):
            return f"the platform does not answer: {detail}"
        case RateLimited(retry_after) | BudgetExceeded(retry_after):
            return f"too many calls; try again in {retry_after.total_seconds():g} s"
        case NotFound(key):
            return f"the platform has no object '{key}'"
        case Conflict(key, _):
            return f"the object '{key}' was changed concurrently"
        case TooLarge(size):
            return f"a value of {size} bytes is too large for the platform"
    return str(error)


def require(result: Result):
    """Return the value of a successful result.

    :raises PlatformFailedError: if the result is a failure
    """
    if not is_successful(result):
        raise PlatformFailedError(describe_error(result.failure()))
    return result.unwrap()
