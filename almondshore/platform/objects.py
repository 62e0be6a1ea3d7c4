"""Client of the platform's store."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.decoding import decode_json
from almondshore.core.logs import log_event
from almondshore.http.client import Address
from almondshore.http.messages import Response
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
from almondshore.platform.object_client import Metadata, Object, ObjectClient
from almondshore.storage.port import Unavailable

T = TypeVar("T")

# Added to the wait of a watch, whose response comes at the end of that wait, for the network and a
# slow store.
WATCH_TIMEOUT_MARGIN = timedelta(milliseconds=700)
# After a restore, this many calls for changes of a feed are not answered with stale state, which
# may be older than the restore. At 0.8 s each they cover the seconds by which it may be stale.
FRESH_WAITS = 6


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
        self.fresh_waits = 0
        client.era.subscribe(self._on_new_era)

    def read(self, *, stale: bool = False) -> Result[Snapshot[T], StoreError]:
        """Read all objects, page by page; a read during which an era began fails."""
        items: dict[str, T] = {}
        era: int | None = None
        query: dict[str, str | int] = {"serializable": 1} if stale else {}
        while True:
            path = f"{names.OBJECTS_PATH}{self.name}" + (f"?{urlencode(query)}" if query else "")
            result = self.client.call(b"GET", path)
            if "after" in query and self.client.era.number != era:
                return Failure(HistoryGone(0))
            era = self.client.era.number
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
        """Wait for changes after a revision; the history is gone if an era begins."""
        query = {"watch": position, "wait_ms": int(timeout / timedelta(milliseconds=1))}
        if self.fresh_waits:
            self.fresh_waits -= 1
        elif self.allow_stale:
            query["serializable"] = 1
        era = self.client.era.number
        path = f"{names.OBJECTS_PATH}{self.name}?{urlencode(query)}"
        result = self.client.call(b"GET", path, timeout=timeout + WATCH_TIMEOUT_MARGIN)
        if self.client.era.number != era and era is not None:
            # The position is a revision of the earlier era.
            return Failure(HistoryGone(position))
        return result.bind(
            lambda response: _decode_body(response, WatchResponse, _split_watch)
        ).map(self._to_changes)

    def _on_new_era(self) -> None:
        self.fresh_waits = FRESH_WAITS

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
        self.era = client.era
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
