"""Interface to the platform's object API, with its results and errors."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import NamedTuple

from returns.result import Result

MAX_VALUE_BYTES = 1024 * 1024


class StoredObject(NamedTuple):
    """An object of the platform.

    :ivar revision: number of this object's version, which a conditional update has to match
    :ivar write_id: identifier given by the writer of this revision
    """

    key: str
    value: bytes
    revision: int
    write_id: str


class WatchResult(NamedTuple):
    """Changes returned by a watch.

    :ivar position: position from which to continue, the ``after`` of the next watch
    :ivar objects: changed objects, oldest first; empty if the timeout passed
    """

    position: int
    objects: list[StoredObject]


class Conflict(NamedTuple):
    """A conditional write was refused.

    :ivar current: the stored object that the write conflicts with, if known
    """

    key: str
    current: StoredObject | None


class NotFound(NamedTuple):
    """The object does not exist."""

    key: str


class Unavailable(NamedTuple):
    """The platform gave no valid response; a write may or may not have taken effect."""

    detail: str


class RateLimited(NamedTuple):
    """The platform refused the call because of its rate limit.

    :ivar retry_after: time to wait before the next call
    """

    retry_after: timedelta


class BudgetExceeded(NamedTuple):
    """The call was not sent because the client's own call budget is exhausted.

    :ivar retry_after: time until a token may be available
    """

    retry_after: timedelta


class TooLarge(NamedTuple):
    """The value exceeds the size limit.

    :ivar size: size of the value in bytes
    """

    size: int


PlatformError = Conflict | NotFound | Unavailable | RateLimited | BudgetExceeded | TooLarge


class Platform(ABC):
    """The platform's object API: versioned objects with conditional updates and watches."""

    @abstractmethod
    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""

    @abstractmethod
    def create(self, key: str, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        """Create an object; fails with ``Conflict`` if it exists.

        A repeated create with the ``write_id`` of the stored object succeeds, so that a write
        whose response was lost can be retried.
        """

    @abstractmethod
    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its revision is still the given one.

        A repeated update with the ``write_id`` of the stored object succeeds.
        """

    @abstractmethod
    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects whose key starts with the prefix, ordered by key."""

    @abstractmethod
    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes under a prefix.

        :param after: position returned by the last watch; 0 returns the current objects
        :param timeout: longest time to wait for a change
        """
