"""Queries between nodes, and state from peers while the store is unreachable."""

import random
from collections.abc import Callable
from datetime import timedelta

import eventlet
import msgspec
from eventlet.event import Event

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.buffering import GUARANTEED_STATE_BYTES
from almondshore.http.client import CallResult, ConnectionPool
from almondshore.http.messages import Response, encode_request
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.change_server import CHANGES_PATH
from almondshore.mesh.changes import ChangeResponse, decode_response
from almondshore.mesh.directory import Directory
from almondshore.mesh.evidence import ResultRecorder, RouteCounts
from almondshore.mesh.hop import MAX_DURATION_MS, MILLISECOND, Count, DurationMs
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.model import Address
from almondshore.mesh.state import PeerSink

EVIDENCE_PATH = b"/evidence"
ALIVE_PATH = b"/alive"
PEER_TIMEOUT = timedelta(milliseconds=500)
# While the store is unreachable, a peer is polled at this interval; changes must be in effect
# within seconds.
POLL_INTERVAL = timedelta(milliseconds=500)
# A store that has not responded for this long counts as unreachable.
STORE_DOWN_AFTER = timedelta(milliseconds=300)
# A node that learns of a newer version waits this long for the store to deliver it before it
# fetches it from a peer: configurations are large, and traffic between zones is charged. Changes
# must be in effect within 2 s.
STORE_UPDATE_WAIT = timedelta(milliseconds=1200)


class Evidence(msgspec.Struct):
    """Results at one target.

    :ivar running: number of requests that run at the target or wait for a slot
    :ivar routes: counts of results by route
    :ivar sent: requests sent to the target since it was first seen
    :ivar order_age_ms: for how long the node has known of the service's rollout, 0 if there is none
    """

    target: str
    service: str
    version: str
    running: Count
    routes: dict[str, RouteCounts]
    order_age_ms: DurationMs = 0
    sent: int = 0


class InternalHandler(ExchangeHandler):
    """Serves state, results and liveness probes to other nodes.

    :ivar handlers: handlers of further paths
    """

    def __init__(self, *, local: LocalTarget, recorder: ResultRecorder):
        self.local = local
        self.recorder = recorder
        self.order_age: Callable[[], timedelta] = timedelta
        self.handlers: dict[bytes, ExchangeHandler] = {}

    def handle(self, exchange: Exchange) -> None:
        """Respond to a request, with status 404 for an unknown path."""
        path = exchange.request.target.partition(b"?")[0]
        if path == EVIDENCE_PATH:
            exchange.respond(Response(200, (), msgspec.json.encode(self.evidence())))
        elif path in self.handlers:
            self.handlers[path].handle(exchange)
        elif path == ALIVE_PATH:
            exchange.respond(Response(200))
        else:
            exchange.respond(Response(404))

    def evidence(self) -> Evidence:
        """Return the results at the local target."""
        announcement, queue = self.local.announced, self.local.queue
        return Evidence(
            target=announcement.target if announcement else "",
            service=announcement.service if announcement else "",
            version=announcement.version if announcement else "",
            running=len(queue.running) + len(queue.waiting) if queue else 0,
            routes=self.recorder.snapshot(warm=self.local.is_warm()),
            order_age_ms=min(MAX_DURATION_MS, int(self.order_age() / MILLISECOND)),
            sent=self.recorder.sent,
        )


def get_response(
    pool: ConnectionPool,
    address: Address,
    target: bytes,
    *,
    timeout: timedelta,
    new_connection: bool,
    stall_timeout: timedelta | None = None,
    body: bytes | None = None,
) -> Response | None:
    """Send a request and return the response; blocks the calling greenlet.

    :param new_connection: whether to avoid idle connections, which may be broken
    :param stall_timeout: as for :meth:`ConnectionPool.call`
    :param body: body of a POST request; None to send a GET request
    :return: None if there was no complete response in time
    """
    done: Event = Event()
    headers = ((b"Host", f"{address[0]}:{address[1]}".encode()),)
    pool.call(
        address,
        encode_request(b"GET" if body is None else b"POST", target, headers, body or b""),
        timeout=timeout,
        on_done=done.send,
        max_idle_time=timedelta() if new_connection else None,
        stall_timeout=stall_timeout,
        guaranteed_bytes=GUARANTEED_STATE_BYTES,
    )
    result: CallResult = done.wait()
    return result.response


class PeerClient:
    """Sends requests to other nodes."""

    def __init__(self, *, pool: ConnectionPool, timeout: timedelta = PEER_TIMEOUT):
        self.pool = pool
        self.timeout = timeout

    def get(
        self,
        node: Address,
        target: bytes,
        *,
        new_connection: bool = False,
        timeout: timedelta | None = None,
    ) -> bytes | None:
        """Return the body of a node's response; blocks the calling greenlet.

        :param new_connection: whether to avoid idle connections, which may be broken
        :param timeout: overrides the client's timeout
        :return: None if the node did not respond in time or not with status 200
        """
        response = get_response(
            self.pool,
            node,
            target,
            timeout=self.timeout if timeout is None else timeout,
            new_connection=new_connection,
            stall_timeout=PEER_TIMEOUT,
        )
        return response.body if response is not None and response.status == 200 else None

    def post(self, node: Address, target: bytes, body: bytes) -> bytes | None:
        """Send a body to a node and return that of its response, as for :meth:`get`."""
        response = get_response(
            self.pool, node, target, timeout=self.timeout, new_connection=False, body=body
        )
        return response.body if response is not None and response.status == 200 else None


class PeerSync:
    """Fetches state from peers if the store is unreachable or late with a configuration.

    :param store_unavailable_since: returns the monotonic time at which the store stopped
        responding, None while it responds
    :ivar behind_since: monotonic time at which a peer was first seen to have a newer version
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        client: PeerClient,
        sink: PeerSink,
        node: Address,
        zone: str,
        store_unavailable_since: Callable[[], timedelta | None],
    ):
        self.clock = clock
        self.rng = rng
        self.client = client
        self.sink = sink
        self.directory = sink.directory
        self.node = node
        self.zone = zone
        self.store_unavailable_since = store_unavailable_since
        self.fetching = False
        self.behind_since: timedelta | None = None

    def run(self) -> None:
        """Poll random peers while the store is unreachable; runs forever, in its own greenlet."""
        while True:
            eventlet.sleep(POLL_INTERVAL.total_seconds())
            peer = self.choose_peer() if self._is_store_down(self.clock.monotonic()) else None
            if peer is not None:
                self.fetch(peer)

    def on_peer_version(self, node: Address, version: int) -> None:
        """Fetch the state of a node with a newer configuration if the store is late or down."""
        now = self.clock.monotonic()
        if version <= self.sink.config_version():
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        store_is_late = now - self.behind_since >= STORE_UPDATE_WAIT
        if self.fetching or not (store_is_late or self._is_store_down(now)):
            return
        self.fetching = True
        eventlet.spawn(self._fetch_once, node)

    def choose_peer(self) -> Address | None:
        """Return a random peer, preferably a reachable one in this zone; None if none is known."""
        peers = [item for item in self.directory.targets.values() if item.node != self.node]
        reachable = [item for item in peers if self.directory.is_reachable(item.node)]
        same_zone = [item for item in reachable if item.zone == self.zone]
        candidates = same_zone or reachable or peers
        return self.rng.choice(candidates).node if candidates else None

    def _is_store_down(self, now: timedelta) -> bool:
        since = self.store_unavailable_since()
        return since is not None and now - since >= STORE_DOWN_AFTER

    def fetch(self, node: Address) -> bool:
        """Fetch and apply the state of a peer.

        :return: whether the peer sent well-formed state
        """
        query = b"config=%d" % self.sink.config_version()
        response = fetch_changes(self.client, self.directory, node, query, reason="no-state")
        if response is None:
            return False
        if not self._is_store_down(self.clock.monotonic()):
            # Only the configuration is outdated here; other entries of the peer may be older.
            response = response._replace(targets=[], rollouts=[], evacuations=[])
        return apply_changes(self.sink, node, response, remove=False)

    def _fetch_once(self, node: Address) -> None:
        try:
            self.fetch(node)
        finally:
            self.fetching = False


def fetch_changes(
    client: PeerClient,
    directory: Directory,
    node: Address,
    query: bytes,
    *,
    reason: str | None,
    timeout: timedelta | None = None,
) -> ChangeResponse | None:
    """Fetch a node's state and update its reachability in the directory.

    :param reason: recorded if the node does not respond or its response is malformed; None if it
        may be starting, and is not to be marked as unreachable
    :param timeout: overrides the client's timeout
    :return: None if there was no well-formed response
    """
    response = None
    body = client.get(node, CHANGES_PATH + b"?" + query, timeout=timeout)
    if body is not None:
        try:
            response = decode_response(body)
        except msgspec.MsgspecError as error:
            log_event("changes_malformed", level="ERROR", peer=node, error=error)
    if response is not None:
        directory.mark_reachable(node)
    elif reason is not None:
        directory.mark_unreachable(node, reason)
    return response


def apply_changes(sink: PeerSink, node: Address, response: ChangeResponse, *, remove: bool) -> bool:
    """Apply a node's state.

    :param remove: whether entries that the node has removed, or does not have, are removed here
    :return: whether the state was well-formed
    """
    sink.observe_era(response)
    try:
        sink.apply(response, source=f"{node[0]}:{node[1]}", remove=remove)
    except ValueError as error:
        log_event("changes_malformed", level="ERROR", peer=node, error=error)
        return False
    return True
