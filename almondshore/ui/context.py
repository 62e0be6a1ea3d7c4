"""Dependencies of the commands: clock, platform client and output streams."""

import io
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from typing import TextIO

from urllib3.exceptions import LocationParseError
from urllib3.util import Url, parse_url

from almondshore.core.clock import Clock, SystemClock
from almondshore.core.errors import UserError
from almondshore.storage.port import Platform

# The platform responds within milliseconds; a call without a response after this time has failed.
CALL_TIMEOUT = timedelta(seconds=3)
PLATFORM_VARIABLE = "ALMONDSHORE_PLATFORM"


class UsageError(UserError):
    """Wrong usage, such as an invalid URL or an unreadable file; the tool exits with status 2."""


def sleep(duration: timedelta) -> None:
    """Sleep in real time."""
    time.sleep(duration.total_seconds())


def require_url(text: str) -> str:
    """Check that a text is an HTTP or HTTPS URL with a host; return it without trailing slashes.

    :raises UsageError: if it is not
    """
    try:
        url = parse_url(text)
    except LocationParseError:
        url = Url()
    if url.scheme not in ("http", "https") or not url.host:
        raise UsageError(f"'{text}' is not a URL such as http://10.0.0.1:7403")
    return text.rstrip("/")


def connect(url: str, clock: Clock) -> Platform:
    """Return a client of the platform at a URL, without connecting to it.

    :raises UsageError: if it is not an HTTP URL
    """
    # Imported lazily, so that commands that read only files do not load the HTTP client.
    from almondshore.storage.http import HttpPlatform

    return HttpPlatform(url=require_url(url), clock=clock, timeout=CALL_TIMEOUT)


class Context:
    """Dependencies of one run of the tool.

    :ivar url: URL of the platform; empty if none was given
    :ivar wait: sleeps for a duration; tests advance a manual clock instead
    :ivar connect: creates the client of the platform at a URL
    """

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        out: TextIO | None = None,
        err: TextIO | None = None,
        wait: Callable[[timedelta], None] = sleep,
        connect: Callable[[str, Clock], Platform] = connect,
    ):
        self.clock = clock or SystemClock()
        # The standard streams are None if the process was started with them closed.
        self.out = out or sys.stdout or io.StringIO()
        self.err = err or sys.stderr or io.StringIO()
        self.wait = wait
        self.connect = connect
        self.url = ""

    def platform(self) -> Platform:
        """Return a client of the platform.

        :raises UsageError: if no URL was given
        """
        if not self.url:
            raise UsageError(f"no platform given; use --platform URL or set {PLATFORM_VARIABLE}")
        return self.connect(self.url, self.clock)

    def print_line(self, text: str) -> None:
        """Print text and a line break to the output, and flush it."""
        print(text, file=self.out, flush=True)
