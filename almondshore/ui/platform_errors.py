"""Messages for the typed errors of the platform."""

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
    """The platform did not answer or refused a call."""


def describe(error: PlatformError) -> str:
    """Return a one-line description of an error of the platform."""
    match error:
        case Unavailable(detail):
            return f"the platform does not answer: {detail}"
        case RateLimited(retry_after) | BudgetExceeded(retry_after):
            return f"too many calls; try again in {retry_after.total_seconds():g} s"
        case NotFound(key):
            return f"the platform has no object '{key}'"
        case Conflict(key, _):
            return f"the object '{key}' was changed at the same time"
        case TooLarge(size):
            return f"a value of {size} bytes is too large for the platform"
    return str(error)


def require(result: Result):
    """Return the value of a result.

    :raises PlatformFailedError: if the result is a failure
    """
    if not is_successful(result):
        raise PlatformFailedError(describe(result.failure()))
    return result.unwrap()
