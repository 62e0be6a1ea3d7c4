"""Client of the platform's store."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from eventlet.event import Event
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.logs import log_event
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import Response, encode_request
from almondshore.mesh.model import Death, MeshConfig, Rollout, Target
from almondshore.mesh.store import (
    Changed,
    Changes,
    Feed,
    HistoryGone,
    MeshStore,
    Snapshot,
    StoreError,
)
from almondshore.platform import documents, names
from almondshore.storage.port import NotFound, RateLimited, Unavailable

T = TypeVar("T")

# The store answers in 4 ms; on slow days it takes 60 times as long, and answers may be lost.
CALL_TIMEOUT = timedelta(seconds=1)
# A waiting call is answered at the end of its wait; this is added for the way and a slow store.
WATCH_SLACK = timedelta(milliseconds=700)
# A configuration of a megabyte takes 1.6 s on a link of 5 Mbit/s that carries nothing else, so an
# answer that has begun is only given up when nothing more of it comes.
STALL_TIMEOUT = timedelta(seconds=1)
RATE_PAUSE = timedelta(milliseconds=500)


class Metadata(msgspec.Struct):
    """Identity of an object."""

    name: str
    # Revision of the last change of this object.
    revision: int = 0


class Object(msgspec.Struct):
    """An object of the store."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class ObjectHead(msgspec.Struct):
    """An object whose content is not needed."""

    metadata: Metadata


class RawSpec(msgspec.Struct):
    """An object whose content is kept as it is."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw()


class ListResponse(msgspec.Struct):
    """A page of objects."""

    items: list[msgspec.Raw]
    # Revision of the whole store, not of an object.
    current_rev: int
    has_more: bool = False


class ObjectChange(msgspec.Struct):
    """A change of an object."""

    object: msgspec.Raw
    removed: bool = False


class WatchResponse(msgspec.Struct):
    """Changes since a revision."""

    events: list[ObjectChange]
    current_rev: int


Decode = Callable[[msgspec.Raw], tuple[str, T]]


class ObjectClient:
    """Calls to the store; for use in greenlets."""

    def __init__(self, *, pool: ConnectionPool, address: Address):
        self.pool = pool
        self.address = address

    def call(
        self, method: bytes, path: str, body: bytes = b"", timeout: timedelta = CALL_TIMEOUT
    ) -> Result[Response, StoreError]:
        """Make a call; an answer that is not 200 or 201 is an error."""
        done: Event = Event()
        headers = [(b"Host", f"{self.address[0]}:{self.address[1]}".encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request(method, path.encode(), tuple(headers), body)
        self.pool.call(self.address, data, timeout=timeout, on_done=done.send, stall=STALL_TIMEOUT)
        result: CallResult = done.wait()
        if result.response is None:
            return Failure(Unavailable(str(result.failure.value)))
        return _checked(path, result.response)


class ObjectFeed(Feed[T]):
    """Objects of one kind.

    :param stale: whether answers about changes may be seconds old, at a tenth of the price; a read
        of all objects is never stale, since the history from its position may be gone already
    """

    def __init__(self, *, client: ObjectClient, kind: str, decode: Decode, stale: bool = False):
        self.client = client
        self.name = kind
        self.decode = decode
        self.stale = stale

    def read(self) -> Result[Snapshot[T], StoreError]:
        """Read all objects, page by page."""
        items: dict[str, T] = {}
        query: dict[str, str] = {}
        while True:
            path = f"{names.OBJECTS_PATH}{self.name}" + (f"?{urlencode(query)}" if query else "")
            answer = self.client.call(b"GET", path)
            page = answer.bind(lambda found: _decoded(found, ListResponse))
            if not is_successful(page):
                return page
            content = page.unwrap()
            for raw in content.items:
                query["after"] = msgspec.json.decode(raw, type=ObjectHead).metadata.name
                self._add(items, raw)
            if not content.has_more or not content.items:
                return Success(Snapshot(content.current_rev, items))

    def wait(self, position: int, timeout: timedelta) -> Result[Changes[T], StoreError]:
        """Wait for changes after a revision."""
        query = {"watch": position, "wait_ms": int(timeout / timedelta(milliseconds=1))}
        if self.stale:
            query["serializable"] = 1
        path = f"{names.OBJECTS_PATH}{self.name}?{urlencode(query)}"
        answer = self.client.call(b"GET", path, timeout=timeout + WATCH_SLACK)
        return answer.bind(lambda found: _decoded(found, WatchResponse)).map(self._to_changes)

    def _to_changes(self, answer: WatchResponse) -> Changes[T]:
        items: dict[str, T | None] = {}
        for event in answer.events:
            if event.removed:
                items[msgspec.json.decode(event.object, type=ObjectHead).metadata.name] = None
            else:
                self._add(items, event.object)
        return Changes(answer.current_rev, items)

    def _add(self, items: dict[str, Any], raw: msgspec.Raw) -> None:
        """Add an object; one that another writer spoilt names nothing to use."""
        try:
            name, item = self.decode(raw)
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            log_event("object_malformed", level="WARNING", kind=self.name, error=error)
            return
        items[name] = item


class PlatformStore(MeshStore):
    """The platform's store as the nodes use it."""

    def __init__(self, *, client: ObjectClient):
        self.client = client
        self.config = ObjectFeed(client=client, kind=names.CONFIG_KIND, decode=self._config_item)
        # The node beside a leaving target refuses requests by itself, so that entries of targets
        # may be seconds old; but a process that starts must see what the one before it stored.
        self.targets = ObjectFeed(
            client=client, kind=names.TARGET_KIND, decode=_target_item, stale=True
        )
        self.rollouts = ObjectFeed(client=client, kind=names.ROLLOUT_KIND, decode=_rollout_item)
        self.deaths = ObjectFeed(
            client=client, kind=names.DEATH_KIND, decode=_death_item, stale=True
        )

    def set_address(self, address: Address) -> None:
        """Use the store at another address from now on."""
        self.client.address = address

    def save_target(self, target: Target, revision: int) -> Result[int, StoreError]:
        """Create or replace a target's entry."""
        spec = documents.encode_target(target)
        return self._write(names.TARGET_KIND, target.target, spec, revision)

    def delete_target(self, name: str, revision: int) -> Result[int, StoreError]:
        """Remove a target's entry if it is at the revision; 0 stands for any."""
        return self._delete(names.TARGET_KIND, name, revision)

    def save_death(self, death: Death) -> Result[int, StoreError]:
        """Write the report of a target's death; one that is there already is as good."""
        result = self._write(names.DEATH_KIND, death.name, documents.encode_death(death), 0)
        return result.lash(
            lambda error: Success(error.revision) if isinstance(error, Changed) else Failure(error)
        )

    def delete_death(self, name: str, revision: int) -> Result[int, StoreError]:
        """Remove the report of a target's death."""
        return self._delete(names.DEATH_KIND, name, revision)

    def save_progress(self, rollout: Rollout) -> Result[int, StoreError]:
        """Write the status of a rollout if its object is unchanged."""
        path = _object_path(names.ROLLOUT_KIND, rollout.service) + "/status"
        metadata = {"name": rollout.service, "revision": rollout.revision}
        status = documents.encode_progress(rollout)
        body = msgspec.json.encode({"metadata": metadata, "status": status})
        return self.client.call(b"PUT", path, body).bind(_revision)

    def decode_config(self, raw: bytes) -> MeshConfig | None:
        """Return a configuration from another node, or None if it is not valid."""
        try:
            return documents.decode_config(raw)
        except (msgspec.MsgspecError, ValueError) as error:
            log_event("config_malformed", level="ERROR", error=error)
            return None

    def _write(self, kind: str, name: str, spec: object, revision: int) -> Result[int, StoreError]:
        """Create an object, or replace it if it is at the revision."""
        metadata: dict[str, Any] = {"name": name}
        if revision:
            metadata["revision"] = revision
        body = msgspec.json.encode({"metadata": metadata, "spec": spec})
        if revision:
            return self.client.call(b"PUT", _object_path(kind, name), body).bind(_revision)
        return self.client.call(b"POST", names.OBJECTS_PATH + kind, body).bind(_revision)

    def _delete(self, kind: str, name: str, revision: int) -> Result[int, StoreError]:
        path = _object_path(kind, name)
        if revision:
            path += f"?revision={revision}"
        return self.client.call(b"DELETE", path).map(lambda _response: revision)

    def _config_item(self, raw: msgspec.Raw) -> tuple[str, MeshConfig]:
        found = msgspec.json.decode(raw, type=RawSpec)
        return found.metadata.name, documents.decode_config(bytes(found.spec))


def _target_item(raw: msgspec.Raw) -> tuple[str, Target]:
    found = msgspec.json.decode(raw, type=Object)
    return found.metadata.name, documents.decode_target(found.metadata.name, found.spec)


def _rollout_item(raw: msgspec.Raw) -> tuple[str, Rollout]:
    found = msgspec.json.decode(raw, type=Object)
    rollout = documents.decode_rollout(found.spec, found.status, found.metadata.revision)
    return rollout.service, rollout


def _death_item(raw: msgspec.Raw) -> tuple[str, Death]:
    found = msgspec.json.decode(raw, type=Object)
    return found.metadata.name, documents.decode_death(found.metadata.name, found.spec)


def _object_path(kind: str, name: str) -> str:
    return f"{names.OBJECTS_PATH}{kind}/{quote(name, safe='')}"


def _checked(path: str, response: Response) -> Result[Response, StoreError]:
    """Return a good answer, or the error that its status stands for."""
    status = response.status
    if status in (200, 201):
        return Success(response)
    if status == 404:
        return Failure(NotFound(path))
    if status == 409:
        return Failure(Changed(_conflicting_revision(response)))
    if status == 410:
        return Failure(HistoryGone(0))
    if status == 429:
        return Failure(RateLimited(RATE_PAUSE))
    return Failure(Unavailable(f"status {status}"))


def _conflicting_revision(response: Response) -> int:
    """Return the revision of the object in the way, 0 if the answer does not show it."""
    try:
        return msgspec.json.decode(response.body, type=Object).metadata.revision
    except msgspec.MsgspecError as error:
        log_event("conflict_malformed", level="WARNING", error=error)
        return 0


def _revision(response: Response) -> Result[int, StoreError]:
    return _decoded(response, Object).map(lambda found: found.metadata.revision)


def _decoded(response: Response, kind: type[T]) -> Result[T, StoreError]:
    try:
        return Success(msgspec.json.decode(response.body, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(Unavailable(f"malformed answer: {error}"))
