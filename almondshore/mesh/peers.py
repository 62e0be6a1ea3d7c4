"""State from other nodes, for a node that the store does not answer."""

import random
from collections.abc import Callable
from datetime import timedelta

import eventlet
import msgspec
from eventlet.event import Event

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import CallResult, ConnectionPool
from almondshore.http.messages import Response, encode_request
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.change_server import CHANGES_PATH
from almondshore.mesh.changes import ChangeAnswer, decode_answer
from almondshore.mesh.directory import Directory
from almondshore.mesh.evidence import ResultRecorder, RouteCounts
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.model import Address
from almondshore.mesh.state import PeerSink

EVIDENCE_PATH = b"/evidence"
ALIVE_PATH = b"/alive"
PEER_TIMEOUT = timedelta(milliseconds=500)
# While the store is away, a peer is asked this often; changes must be in force within seconds.
POLL_INTERVAL = timedelta(milliseconds=500)
# A store that was silent for this long is taken to be away.
STORE_DOWN_AFTER = timedelta(milliseconds=300)
# A node that learns of a newer version waits this long for the store to bring it: a configuration
# is large, and traffic between zones is charged. Changes must be in force within 2 s.
STORE_UPDATE_WAIT = timedelta(milliseconds=1200)


class Evidence(msgspec.Struct):
    """Results at one target.

    :ivar routes: counts by route
    :ivar running: requests in the target's slots or waiting for one
    :ivar order_age_ms: how long the node has known of the service's rollout, 0 if of none
    """

    target: str
    service: str
    version: str
    running: int
    routes: dict[str, RouteCounts]
    order_age_ms: int = 0


class InternalHandler(ExchangeHandler):
    """Answers other nodes' questions about state and evidence."""

    def __init__(self, *, local: LocalTarget, recorder: ResultRecorder):
        self.local = local
        self.recorder = recorder
        self.order_age: Callable[[], timedelta] = timedelta
        self.changes: ExchangeHandler | None = None

    def handle(self, exchange: Exchange) -> None:
        """Answer a request."""
        path = exchange.request.target.partition(b"?")[0]
        if path == EVIDENCE_PATH:
            exchange.respond(Response(200, (), msgspec.json.encode(self.evidence())))
        elif path == CHANGES_PATH and self.changes is not None:
            self.changes.handle(exchange)
        elif path == ALIVE_PATH:
            exchange.respond(Response(200))
        else:
            exchange.respond(Response(404))

    def evidence(self) -> Evidence:
        """Return the results at the target beside this node."""
        announcement, queue = self.local.announced, self.local.queue
        return Evidence(
            target=announcement.target if announcement else "",
            service=announcement.service if announcement else "",
            version=announcement.version if announcement else "",
            running=len(queue.running) + len(queue.waiting) if queue else 0,
            routes=dict(self.recorder.routes),
            order_age_ms=int(self.order_age() / timedelta(milliseconds=1)),
        )


class PeerClient:
    """Asks other nodes."""

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
        """Return the body of a node's answer, or None; for use in a greenlet.

        :param new_connection: whether idle connections, which may be dead, are left alone
        :param timeout: in place of the client's own
        """
        done: Event = Event()
        headers = ((b"Host", f"{node[0]}:{node[1]}".encode()),)
        self.pool.call(
            node,
            encode_request(b"GET", target, headers, b""),
            timeout=self.timeout if timeout is None else timeout,
            on_done=done.send,
            max_idle=timedelta() if new_connection else None,
            stall=PEER_TIMEOUT,
        )
        result: CallResult = done.wait()
        if result.response is None or result.response.status != 200:
            return None
        return result.response.body


class PeerSync:
    """Takes state over from peers while the store is away, or when one has a newer version."""

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
        """Ask a random peer regularly while the store is away; for a greenlet of its own."""
        while True:
            eventlet.sleep(POLL_INTERVAL.total_seconds())
            peer = self.choose_peer() if self._is_store_down(self.clock.monotonic()) else None
            if peer is not None:
                self.fetch(peer)

    def on_peer_version(self, node: Address, version: int) -> None:
        """Fetch the state of a node whose configuration is newer, unless the store brings it."""
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
        """Return a random node to ask, one of the own zone if any can be reached."""
        others = [item for item in self.directory.targets.values() if item.node != self.node]
        reachable = [item for item in others if self.directory.is_reachable(item.node)]
        same_zone = [item for item in reachable if item.zone == self.zone]
        found = same_zone or reachable or others
        return self.rng.choice(found).node if found else None

    def _is_store_down(self, now: timedelta) -> bool:
        since = self.store_unavailable_since()
        return since is not None and now - since >= STORE_DOWN_AFTER

    def fetch(self, node: Address) -> bool:
        """Take over the state of a peer.

        :returns: whether the peer answered
        """
        query = b"config=%d" % self.sink.config_version()
        answer = fetch_changes(self.client, self.directory, node, query, reason="no-state")
        if answer is None:
            return False
        if not self._is_store_down(self.clock.monotonic()):
            # Only the configuration is behind; other entries of the peer may be outdated.
            answer = answer._replace(targets=[], rollouts=[])
        return apply_changes(self.sink, node, answer, remove=False)

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
    reason: str,
    timeout: timedelta | None = None,
) -> ChangeAnswer | None:
    """Ask a node for its state, and take note of whether it could be reached.

    :param reason: why the node is taken for unreachable if it does not answer, or not properly
    """
    answer = None
    body = client.get(node, CHANGES_PATH + b"?" + query, timeout=timeout)
    if body is not None:
        try:
            answer = decode_answer(body)
        except msgspec.MsgspecError as error:
            log_event("changes_malformed", level="ERROR", peer=node, error=error)
    if answer is None:
        directory.mark_unreachable(node, reason)
    else:
        directory.mark_reachable(node)
    return answer


def apply_changes(sink: PeerSink, node: Address, answer: ChangeAnswer, *, remove: bool) -> bool:
    """Take over a node's state; returns whether it was well-formed."""
    try:
        sink.apply(answer, source=f"{node[0]}:{node[1]}", remove=remove)
    except ValueError as error:
        log_event("changes_malformed", level="ERROR", peer=node, error=error)
        return False
    return True
