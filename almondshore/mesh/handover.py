"""Passes faults of versions, and progress that cannot be stored, to other nodes."""

import random
from collections.abc import Callable
from typing import Annotated

import eventlet
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.decoding import decode_json
from almondshore.core.logs import log_event
from almondshore.http.messages import Response
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.model import Address, Rollout
from almondshore.mesh.peers import PeerClient
from almondshore.mesh.store import Changed, MeshStore, StoreError, Unavailable

HANDOVER_PATH = b"/rollout"
# Number of nodes that are asked at a time to store progress.
HELPERS = 3


class RolloutNotice(msgspec.Struct):
    """A fault of a version, or progress of a rollout that another node is asked to store.

    :ivar fault: fault of the rollout's version, empty if none is known
    :ivar store: whether the node is asked to store the rollout
    :ivar era: era of the store of which the rollout's revision is, None if it is not known
    """

    rollout: Rollout
    fault: Annotated[str, msgspec.Meta(max_length=500)] = ""
    store: bool = False
    era: int | None = None


class StoredRevision(msgspec.Struct):
    """Response to a request to store progress.

    :ivar revision: revision of the stored rollout, 0 if another one had been stored before
    """

    revision: int


class RolloutHandover(ExchangeHandler):
    """Sends notices to other nodes, and handles theirs.

    :param on_notice: called with each notice of another node
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        client: PeerClient,
        store: MeshStore,
        on_notice: Callable[[RolloutNotice], None] = lambda _notice: None,
    ):
        self.rng = rng
        self.client = client
        self.store = store
        self.on_notice = on_notice

    def announce_fault(self, rollout: Rollout, fault: str, nodes: list[Address]) -> None:
        """Tell nodes of a version about its fault, without waiting for them."""
        body = msgspec.json.encode(RolloutNotice(rollout, fault))
        for node in nodes:
            eventlet.spawn(self.client.post, node, HANDOVER_PATH, body)

    def save(self, rollout: Rollout, fault: str, helpers: list[Address]) -> Result[int, StoreError]:
        """Store the progress of a rollout, through another node if the store does not respond.

        :return: revision of the stored rollout
        """
        result = self.store.save_progress(rollout)
        if is_successful(result) or isinstance(result.failure(), Changed) or not helpers:
            return result
        body = msgspec.json.encode(RolloutNotice(rollout, fault, True, self.store.era.number))
        asked = self.rng.sample(helpers, min(HELPERS, len(helpers)))
        pool = eventlet.GreenPool(len(asked))
        for response in pool.imap(lambda node: self.client.post(node, HANDOVER_PATH, body), asked):
            if response is not None:
                return _decode_revision(response)
        return result

    def handle(self, exchange: Exchange) -> None:
        """Handle a notice; responds after the rollout has been stored, if that is asked for."""
        try:
            notice = decode_json(exchange.request.body, RolloutNotice)
        except msgspec.MsgspecError as error:
            peer = exchange.connection.peer
            log_event("rollout_notice_malformed", level="ERROR", peer=peer, error=error)
            exchange.respond(Response(400))
            return
        self.on_notice(notice)
        if notice.store:
            eventlet.spawn(self._store, exchange, notice)
        else:
            exchange.respond(Response(200))

    def _store(self, exchange: Exchange, notice: RolloutNotice) -> None:
        """Store progress, unless its revision is of another era of the store."""
        era = self.store.era
        if notice.era is not None and notice.era != era.number:
            exchange.respond(Response(200, (), msgspec.json.encode(StoredRevision(0))))
            return
        result = self.store.save_progress(notice.rollout)
        if is_successful(result):
            of_same_era = notice.era is None or notice.era == era.number
            revision = result.unwrap() if of_same_era else 0
        elif isinstance(result.failure(), Changed):
            revision = 0
        else:
            exchange.respond(Response(503))
            return
        exchange.respond(Response(200, (), msgspec.json.encode(StoredRevision(revision))))


def _decode_revision(body: bytes) -> Result[int, StoreError]:
    try:
        revision = decode_json(body, StoredRevision).revision
    except msgspec.MsgspecError as error:
        return Failure(Unavailable(f"malformed response: {error}"))
    return Success(revision) if revision else Failure(Changed(0))
