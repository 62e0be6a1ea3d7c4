"""In-process platform client on an object store, for tests without sockets."""

from collections.abc import Callable
from datetime import timedelta

from returns.result import Failure, Result, Success

from almondshore.storage.port import (
    Conflict,
    NotFound,
    Platform,
    PlatformError,
    RateLimited,
    StoredObject,
    TooLarge,
    Unavailable,
    WatchResult,
)
from standins.object_store import Fault, ObjectStore, Status

RETRY_AFTER = timedelta(seconds=1)


class MemoryPlatform(Platform):
    """Platform client that calls an object store directly and applies its rate limits and faults.

    ``Fault.SLOW`` has no effect here.
    """

    def __init__(self, *, store: ObjectStore):
        self.store = store

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return self._call("read", lambda: self._result(key, self.store.get(key), 0))

    def create(self, key: str, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        """Create an object, which must not exist yet."""
        return self.update(key, value, 0, write_id)

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its revision is the given one."""

        def write() -> Result[StoredObject, PlatformError]:
            status = self.store.put(key, value, revision, write_id)
            return self._result(key, status, len(value))

        return self._call("write", write)

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        return self._call("read", lambda: Success(self.store.list(prefix)))

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Return the changes after a position; never waits for the timeout."""
        return self._call(
            "read",
            lambda: Success(WatchResult(self.store.position, self.store.changes(prefix, after))),
        )

    def _call(self, kind: str, action: Callable[[], Result]) -> Result:
        if self.store.fault is Fault.DOWN:
            return Failure(Unavailable("the platform is down"))
        if not self.store.admit(kind):
            return Failure(RateLimited(RETRY_AFTER))
        result = action()
        if kind == "write" and self.store.fault is Fault.LOSE_ANSWERS:
            return Failure(Unavailable("the response was lost"))
        return result

    @staticmethod
    def _result(key: str, status: Status, size: int) -> Result[StoredObject, PlatformError]:
        if status.code == 200:
            return Success(status.object)
        if status.code == 404:
            return Failure(NotFound(key))
        if status.code == 413:
            return Failure(TooLarge(size))
        return Failure(Conflict(key, status.object))
