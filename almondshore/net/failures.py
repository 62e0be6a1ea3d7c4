"""Short descriptions of failed HTTP calls, for messages that people read."""

from urllib3.exceptions import TimeoutError as HttpTimeoutError


def describe_failure(error: Exception) -> str:
    """Return the cause of a failed call: of the system if it gave one, else of the library.

    The text of urllib3 repeats its own class names and the address. Its error for a refused
    connection is also a kind of timeout, so the system's cause is looked for first.
    """
    for found in (error, error.__cause__, error.__context__):
        if isinstance(found, OSError) and found.strerror:
            return found.strerror.lower()
    if isinstance(error, HttpTimeoutError):
        return "timed out"
    return f"{type(error).__name__}: {error}"
