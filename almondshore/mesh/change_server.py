"""Long-polling endpoint that sends state changes to the nodes that follow this one."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import msgspec
from eventlet import hubs

from almondshore.core.logs import log_event
from almondshore.http.messages import Response
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.changes import (
    ChangeLog,
    ChangeResponse,
    StateKind,
    encode_response,
)
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.directory import Directory
from almondshore.mesh.hop import MILLISECOND, DurationMs
from almondshore.mesh.model import MeshConfig
from almondshore.mesh.state import EvacuationSink, RolloutSink
from almondshore.mesh.store import StoreEra

CHANGES_PATH = b"/changes"
# Longest time that a poll waits for a change.
MAX_POLL_WAIT = timedelta(milliseconds=700)
# State that was last confirmed longer ago counts as outdated. A watcher gets a response from the
# store every 0.8 s, and a change must take effect everywhere within 2 s.
MAX_STATE_AGE = timedelta(milliseconds=1300)
# Limit of the number of pending polls; further ones get an immediate response. With 19,000
# nodes in 41 zones, each watcher has 116 followers.
MAX_PENDING_POLLS = 512
ZERO = timedelta()


class ChangeQuery(msgspec.Struct):
    """Poll of a follower: the state that it has, and how long the response may be delayed.

    :ivar epoch: identifies the process whose changes it has applied; empty for none
    :ivar after: number of the last change that it has applied
    :ivar config: version of its configuration
    :ivar hold_ms: longest time to wait for a change
    :ivar max_age_ms: age from which the state is not wanted; 0 stands for any age
    """

    epoch: str = ""
    after: int = 0
    config: int = 0
    hold_ms: DurationMs = 0
    max_age_ms: DurationMs = 0


class _PendingPoll(NamedTuple):
    exchange: Exchange
    query: ChangeQuery
    timer: Any


class ChangeServer(ExchangeHandler):
    """Serves state changes by long polling.

    :param config: returns the configuration in effect
    :param age: returns how long ago this node's state was last known to be up to date
    :param era: era of the store
    :param is_reading: returns whether this node has not yet read the state of that era
    :ivar pending: polls that wait for a change
    """

    def __init__(
        self,
        *,
        changes: ChangeLog,
        config: Callable[[], MeshConfig | None],
        directory: Directory,
        rollouts: RolloutSink,
        crashes: CrashSink,
        evacuations: EvacuationSink,
        age: Callable[[], timedelta],
        era: StoreEra | None = None,
        is_reading: Callable[[], bool] = lambda: False,
    ):
        self.changes = changes
        self.config = config
        self.directory = directory
        self.rollouts = rollouts
        self.crashes = crashes
        self.evacuations = evacuations
        self.age = age
        self.era = era or StoreEra()
        self.is_reading = is_reading
        self.pending: dict[int, _PendingPoll] = {}
        self.response_scheduled = False
        changes.on_change = self._on_change

    def handle(self, exchange: Exchange) -> None:
        """Respond to a poll, immediately or when something changes or its wait ends.

        The response is immediate if there are changes, if this node's state is outdated, or if too
        many polls are pending.
        """
        query = _decode_query(exchange)
        if query is None:
            exchange.respond(Response(400))
            return
        # Respond when this node's state becomes outdated, so that the follower can leave it.
        poll_wait = min(query.hold_ms * MILLISECOND, MAX_POLL_WAIT, MAX_STATE_AGE - self.age())
        if poll_wait <= ZERO or self._has_changes(query) or len(self.pending) >= MAX_PENDING_POLLS:
            exchange.respond(self._make_response(query))
            return
        key = id(exchange)
        timer = hubs.get_hub().schedule_call_global(poll_wait.total_seconds(), self._respond, key)
        self.pending[key] = _PendingPoll(exchange, query, timer)
        exchange.on_cancel = lambda: self._remove_pending(key)

    def _has_changes(self, query: ChangeQuery) -> bool:
        covered = self.changes.covers(query.epoch, query.after)
        has_newer_items = not covered or self.changes.number > query.after
        return has_newer_items or self._newer_config(query) is not None

    def _newer_config(self, query: ChangeQuery) -> MeshConfig | None:
        config = self.config()
        return config if config is not None and config.version > query.config else None

    def _on_change(self) -> None:
        """Schedule one response to all pending polls; simultaneous changes share it."""
        if self.pending and not self.response_scheduled:
            self.response_scheduled = True
            hubs.get_hub().schedule_call_global(0, self._respond_to_all)

    def _respond_to_all(self) -> None:
        self.response_scheduled = False
        for key in list(self.pending):
            self._respond(key)

    def _respond(self, key: int) -> None:
        pending = self._remove_pending(key)
        if pending is not None:
            pending.exchange.respond(self._make_response(pending.query))

    def _remove_pending(self, key: int) -> _PendingPoll | None:
        pending = self.pending.pop(key, None)
        if pending is not None:
            pending.timer.cancel()
        return pending

    def _make_response(self, query: ChangeQuery) -> Response:
        changes, after = self.changes, query.after
        age_ms = int(self.age() / MILLISECOND)
        is_outdated = query.max_age_ms > 0 and age_ms > query.max_age_ms
        if is_outdated or self.is_reading():
            # Of an earlier era, only the configuration is of use to others.
            config = None if is_outdated else self._newer_config(query)
            nothing = ChangeResponse(
                epoch=changes.epoch,
                number=changes.number,
                age_ms=age_ms,
                whole=False,
                config=config.compressed if config is not None else b"",
                targets=[],
                removed_targets=[],
                rollouts=[],
                removed_rollouts=[],
                deaths=[],
                removed_deaths=[],
                era=self.era.number,
            )
            return Response(200, (), encode_response(nothing))
        whole = not changes.covers(query.epoch, after)
        if whole:
            after = -1
        targets, rollouts = self.directory.targets, self.rollouts.shares.rollouts
        reports = self.crashes.reports
        evacuations = self.evacuations.by_zone
        config = self._newer_config(query)
        response = ChangeResponse(
            epoch=changes.epoch,
            number=changes.number,
            age_ms=age_ms,
            whole=whole,
            config=config.compressed if config is not None else b"",
            targets=[targets[name] for name in changes.changed_since(StateKind.TARGET, after)],
            removed_targets=changes.removed_since(StateKind.TARGET, after),
            rollouts=[rollouts[name] for name in changes.changed_since(StateKind.ROLLOUT, after)],
            removed_rollouts=changes.removed_since(StateKind.ROLLOUT, after),
            deaths=[reports[name] for name in changes.changed_since(StateKind.DEATH, after)],
            removed_deaths=changes.removed_since(StateKind.DEATH, after),
            evacuations=[
                evacuations[name] for name in changes.changed_since(StateKind.EVACUATION, after)
            ],
            removed_evacuations=changes.removed_since(StateKind.EVACUATION, after),
            era=self.era.number,
            unsaved_rollouts=sorted(self.rollouts.unsaved),
        )
        return Response(200, (), encode_response(response))


def _decode_query(exchange: Exchange) -> ChangeQuery | None:
    query = exchange.request.target.partition(b"?")[2].decode("latin-1")
    try:
        return msgspec.convert(dict(parse_qsl(query)), ChangeQuery, strict=False)
    except msgspec.ValidationError as error:
        log_event(
            "changes_query_malformed",
            level="ERROR",
            peer=exchange.connection.peer,
            query=query,
            error=error,
        )
        return None
