"""Short descriptions of failed HTTP calls, for messages to operators."""

from urllib3.exceptions import TimeoutError as HttpTimeoutError


def describe_failure(error: Exception) -> str:
    """Return the error text of the operating system if there is one, else that of the library.

    The messages of urllib3 repeat its class names and the address, so they are not used for known
    causes. Its error for a refused connection is a subclass of its timeout error, so the operating
    system's error is looked for first.
    """
    for candidate in (error, error.__cause__, error.__context__):
        if isinstance(candidate, OSError) and candidate.strerror:
            return candidate.strerror.lower()
    if isinstance(error, HttpTimeoutError):
        return "timed out"
    return f"{type(error).__name__}: {error}"
