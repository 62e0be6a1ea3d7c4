"""Client of the platform's store."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from eventlet.event import Event
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.decoding import decode_json
from almondshore.core.logs import log_event
from almondshore.http.buffering import GUARANTEED_STATE_BYTES
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import Response, encode_request
from almondshore.mesh.changes import compress_config
from almondshore.mesh.model import Death, Evacuation, MeshConfig, Rollout, Route, Target
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
from almondshore.platform.json_parts import split_elements, split_members
from almondshore.storage.port import NotFound, RateLimited, Unavailable

T = TypeVar("T")

# The store responds in 4 ms, but may take 60 times as long when it is slow, and may lose responses.
CALL_TIMEOUT = timedelta(seconds=1)
# Added to the wait of a watch, whose response comes at the end of that wait, for the network and a
# slow store.
WATCH_TIMEOUT_MARGIN = timedelta(milliseconds=700)
# A configuration of 1 MB takes 1.6 s on an otherwise idle link of 5 Mbit/s, so a response that has
# begun is abandoned only if no more of it arrives for this time.
STALL_TIMEOUT = timedelta(seconds=1)
RATE_LIMIT_DELAY = timedelta(milliseconds=500)


class Metadata(msgspec.Struct):
    """Name and revision of an object."""

    name: str
    # Revision of the last change of this object.
    revision: int = 0


class Object(msgspec.Struct):
    """An object of the store."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class RawSpec(msgspec.Struct):
    """An object whose ``spec`` is kept undecoded."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw()


class ListResponse(msgspec.Struct):
    """A page of objects."""

    items: list[msgspec.Raw]
    # Revision of the whole store, not of an object; a watch continues from it.
    current_rev: int
    has_more: bool = False


class ObjectChange(msgspec.Struct):
    """A changed or removed object."""

    object: msgspec.Raw
    removed: bool = False


class WatchResponse(msgspec.Struct):
    """Changes since a revision of the store."""

    events: list[ObjectChange]
    current_rev: int


ObjectDecoder = Callable[[msgspec.Raw], tuple[str, T]]


class ObjectClient:
    """Client of the store's HTTP API; a call blocks its greenlet only."""

    def __init__(self, *, pool: ConnectionPool, address: Address):
        self.pool = pool
        self.address = address

    def call(
        self, method: bytes, path: str, body: bytes = b"", timeout: timedelta = CALL_TIMEOUT
    ) -> Result[Response, StoreError]:
        """Make a call; a status other than 200 and 201 is a failure."""
        done: Event = Event()
        headers = [(b"Host", f"{self.address[0]}:{self.address[1]}".encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request(method, path.encode(), tuple(headers), body)
        self.pool.call(
            self.address,
            data,
            timeout=timeout,
            on_done=done.send,
            stall_timeout=STALL_TIMEOUT,
            guaranteed_bytes=GUARANTEED_STATE_BYTES,
        )
        result: CallResult = done.wait()
        if result.response is None:
            return Failure(Unavailable(str(result.failure.value)))
        return _check_status(path, result.response)


class ObjectFeed(Feed[T]):
    """Feed of the objects of one kind.

    :param decode: returns the name and the item of an undecoded object
    :param allow_stale: whether responses about changes may be seconds old, at a tenth of the cost;
        a read of all objects is not, since the history from an old position may be gone
    """

    def __init__(
        self, *, client: ObjectClient, kind: str, decode: ObjectDecoder, allow_stale: bool = False
    ):
        self.client = client
        self.name = kind
        self.decode = decode
        self.allow_stale = allow_stale

    def read(self, *, stale: bool = False) -> Result[Snapshot[T], StoreError]:
        """Read all objects, page by page."""
        items: dict[str, T] = {}
        query: dict[str, str | int] = {"serializable": 1} if stale else {}
        while True:
            path = f"{names.OBJECTS_PATH}{self.name}" + (f"?{urlencode(query)}" if query else "")
            result = self.client.call(b"GET", path)
            page = result.bind(lambda response: _decode_body(response, ListResponse, _split_list))
            if not is_successful(page):
                return page
            content = page.unwrap()
            before = query.get("after")
            for raw in content.items:
                name, item = self._decode(raw)
                if name is not None:
                    query["after"] = name
                if item is not None:
                    items[name] = item
            if not content.has_more or query.get("after") == before:
                return Success(Snapshot(content.current_rev, items))

    def wait(self, position: int, timeout: timedelta) -> Result[Changes[T], StoreError]:
        """Wait for changes after a revision."""
        query = {"watch": position, "wait_ms": int(timeout / timedelta(milliseconds=1))}
        if self.allow_stale:
            query["serializable"] = 1
        path = f"{names.OBJECTS_PATH}{self.name}?{urlencode(query)}"
        result = self.client.call(b"GET", path, timeout=timeout + WATCH_TIMEOUT_MARGIN)
        return result.bind(
            lambda response: _decode_body(response, WatchResponse, _split_watch)
        ).map(self._to_changes)

    def _to_changes(self, response: WatchResponse) -> Changes[T]:
        items: dict[str, T | None] = {}
        for event in response.events:
            if event.removed:
                name, item = self._name(event.object), None
            else:
                # A malformed object counts as none, also where it has replaced another.
                name, item = self._decode(event.object)
            if name is not None:
                items[name] = item
        return Changes(response.current_rev, items)

    def _decode(self, raw: msgspec.Raw) -> tuple[str | None, T | None]:
        """Return the name of an object and its item, each None if it cannot be read.

        Objects may be stored by another writer.
        """
        try:
            return self.decode(raw)
        except (msgspec.MsgspecError, ValueError, TypeError, OverflowError) as error:
            name = self._name(raw)
            log_event("object_malformed", level="WARNING", kind=self.name, object=name, error=error)
            return name, None

    def _name(self, raw: msgspec.Raw) -> str | None:
        """Return the name of an object, None if it cannot be read."""
        try:
            metadata = split_members(bytes(raw))["metadata"]
            return decode_json(metadata, Metadata).name
        except (msgspec.MsgspecError, ValueError, KeyError) as error:
            log_event("object_unnamed", level="WARNING", kind=self.name, error=error)
            return None


class PlatformStore(MeshStore):
    """Implementation of the mesh's store on the platform's store.

    :ivar routes: routes of the last configuration by name, which the next one shares
    """

    def __init__(self, *, client: ObjectClient):
        self.client = client
        self.routes: Mapping[str, Route] = {}
        self.config = ObjectFeed(client=client, kind=names.CONFIG_KIND, decode=self._config_item)
        # Entries of targets may be seconds old, since the node of a leaving target refuses requests
        # itself. A full read is never stale: a process that starts must see what its predecessor
        # stored.
        self.targets = ObjectFeed(
            client=client, kind=names.TARGET_KIND, decode=_target_item, allow_stale=True
        )
        self.rollouts = ObjectFeed(client=client, kind=names.ROLLOUT_KIND, decode=_rollout_item)
        self.deaths = ObjectFeed(
            client=client, kind=names.DEATH_KIND, decode=_death_item, allow_stale=True
        )
        self.evacuations = ObjectFeed(
            client=client, kind=names.EVACUATION_KIND, decode=_evacuation_item
        )

    def set_address(self, address: Address) -> None:
        """Use the store at another address for all further calls."""
        self.client.address = address

    def save_target(self, target: Target, revision: int) -> Result[int, StoreError]:
        """Create a target's entry if the revision is 0, else replace the entry of that revision."""
        spec = documents.encode_target(target)
        return self._write(names.TARGET_KIND, target.target, spec, revision)

    def delete_target(self, name: str, revision: int) -> Result[int, StoreError]:
        """Remove a target's entry if it has the revision; 0 matches any."""
        return self._delete(names.TARGET_KIND, name, revision)

    def save_death(self, death: Death) -> Result[int, StoreError]:
        """Store the report of a target's death; succeed if there is a report already."""
        result = self._write(names.DEATH_KIND, death.name, documents.encode_death(death), 0)
        return result.lash(
            lambda error: Success(error.revision) if isinstance(error, Changed) else Failure(error)
        )

    def delete_death(self, name: str, revision: int) -> Result[int, StoreError]:
        """Remove the report of a target's death if it has the revision; 0 matches any."""
        return self._delete(names.DEATH_KIND, name, revision)

    def save_progress(self, rollout: Rollout) -> Result[int, StoreError]:
        """Write the status of a rollout if its object is unchanged."""
        path = _object_path(names.ROLLOUT_KIND, rollout.service) + "/status"
        metadata = {"name": rollout.service, "revision": rollout.revision}
        status = documents.encode_progress(rollout)
        body = msgspec.json.encode({"metadata": metadata, "status": status})
        return self.client.call(b"PUT", path, body).bind(_decode_revision)

    def decode_config(self, raw: bytes) -> MeshConfig | None:
        """Decode a configuration that another node sent; None if it is malformed."""
        try:
            return self._decode_config(raw)
        except (msgspec.MsgspecError, ValueError) as error:
            log_event("config_malformed", level="ERROR", error=error)
            return None

    def _write(self, kind: str, name: str, spec: object, revision: int) -> Result[int, StoreError]:
        """Create an object if the revision is 0, else replace it if it has that revision."""
        metadata: dict[str, Any] = {"name": name}
        if revision:
            metadata["revision"] = revision
        body = msgspec.json.encode({"metadata": metadata, "spec": spec})
        if revision:
            return self.client.call(b"PUT", _object_path(kind, name), body).bind(_decode_revision)
        return self.client.call(b"POST", names.OBJECTS_PATH + kind, body).bind(_decode_revision)

    def _delete(self, kind: str, name: str, revision: int) -> Result[int, StoreError]:
        path = _object_path(kind, name)
        if revision:
            path += f"?revision={revision}"
        return self.client.call(b"DELETE", path).map(lambda _response: revision)

    def _config_item(self, raw: msgspec.Raw) -> tuple[str, MeshConfig]:
        stored = decode_json(raw, RawSpec)
        spec = documents.replace_keys(stored.spec)
        config = self._decode_config(spec)
        return stored.metadata.name, config._replace(compressed=compress_config(spec))

    def _decode_config(self, raw: bytes | msgspec.Raw) -> MeshConfig:
        config = documents.decode_config(raw, self.routes)
        self.routes = {
            route.name: route
            for prefixes in config.routes.hosts.values()
            for route in prefixes.values()
        }
        return config


def _target_item(raw: msgspec.Raw) -> tuple[str, Target]:
    stored = decode_json(raw, Object)
    return stored.metadata.name, documents.decode_target(stored.metadata.name, stored.spec)


def _rollout_item(raw: msgspec.Raw) -> tuple[str, Rollout]:
    stored = decode_json(raw, Object)
    rollout = documents.decode_rollout(stored.spec, stored.status, stored.metadata.revision)
    return rollout.service, rollout


def _death_item(raw: msgspec.Raw) -> tuple[str, Death]:
    stored = decode_json(raw, Object)
    return stored.metadata.name, documents.decode_death(stored.metadata.name, stored.spec)


def _evacuation_item(raw: msgspec.Raw) -> tuple[str, Evacuation]:
    metadata = decode_json(raw, Object).metadata
    return metadata.name, documents.decode_evacuation(metadata.name, metadata.revision)


def _object_path(kind: str, name: str) -> str:
    return f"{names.OBJECTS_PATH}{kind}/{quote(name, safe='')}"


def _check_status(path: str, response: Response) -> Result[Response, StoreError]:
    """Return the response if its status is 200 or 201, else the error for its status."""
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
        return Failure(RateLimited(RATE_LIMIT_DELAY))
    return Failure(Unavailable(f"unexpected HTTP status {status}"))


def _conflicting_revision(response: Response) -> int:
    """Return the revision of the conflicting object, 0 if the response does not contain it."""
    try:
        return decode_json(response.body, Object).metadata.revision
    except msgspec.MsgspecError as error:
        log_event("conflict_malformed", level="WARNING", error=error)
        return 0


def _decode_revision(response: Response) -> Result[int, StoreError]:
    return _decode_body(response, Object).map(lambda stored: stored.metadata.revision)


def _decode_body(
    response: Response, body_type: type[T], split: Callable[[bytes], T] | None = None
) -> Result[T, StoreError]:
    """Decode the body of a response.

    :param split: decodes a body of which a part is malformed; raises ValueError or MsgspecError
    """
    try:
        return Success(decode_json(response.body, body_type))
    except msgspec.MsgspecError as error:
        first_error = error
    if split is not None:
        try:
            return Success(split(response.body))
        except (msgspec.MsgspecError, ValueError, KeyError) as error:
            log_event("response_malformed", level="WARNING", error=error)
    return Failure(Unavailable(f"malformed response: {first_error}"))


def _split_list(body: bytes) -> ListResponse:
    """Decode a page of objects of which one is malformed."""
    members = split_members(body)
    return ListResponse(
        [msgspec.Raw(item) for item in split_elements(members["items"])],
        decode_json(members["current_rev"], int),
        decode_json(members.get("has_more", b"false"), bool),
    )


def _split_watch(body: bytes) -> WatchResponse:
    """Decode changes of which one has a malformed object."""
    members = split_members(body)
    events = [split_members(event) for event in split_elements(members["events"])]
    return WatchResponse(
        [
            ObjectChange(
                msgspec.Raw(event["object"]), decode_json(event.get("removed", b"false"), bool)
            )
            for event in events
        ],
        decode_json(members["current_rev"], int),
    )
