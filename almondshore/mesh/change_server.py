"""Answers the nodes that follow this one with what has changed."""

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
    ChangeAnswer,
    ChangeLog,
    Kind,
    compress_config,
    encode_answer,
)
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.directory import Directory
from almondshore.mesh.hop import MILLISECOND
from almondshore.mesh.model import MeshConfig
from almondshore.mesh.state import RolloutSink

CHANGES_PATH = b"/changes"
# Longest time for which a follower is kept waiting while nothing changes.
MAX_HOLD = timedelta(milliseconds=700)
# State that was last confirmed longer ago is taken for outdated. A watcher hears from the store
# each 0.8 s, and a change must be in force everywhere within 2 s.
MAX_STATE_AGE = timedelta(milliseconds=1300)
# Followers kept waiting at a time; a zone of 19,000 nodes in 41 zones has 116 for each watcher.
MAX_HELD = 512
ZERO = timedelta()


class ChangeQuery(msgspec.Struct):
    """What a follower knows, and how long it may be kept waiting.

    :ivar epoch: names the process whose changes it has taken; empty for none
    :ivar after: number of the last change that it has taken
    :ivar config: version of its configuration
    """

    epoch: str = ""
    after: int = 0
    config: int = 0
    hold_ms: int = 0


class _Held(NamedTuple):
    exchange: Exchange
    query: ChangeQuery
    timer: Any


class ChangeServer(ExchangeHandler):
    """Keeps followers waiting until something changes.

    :param age: returns how long ago the store was last known to have nothing newer
    """

    def __init__(
        self,
        *,
        changes: ChangeLog,
        config: Callable[[], MeshConfig | None],
        directory: Directory,
        rollouts: RolloutSink,
        crashes: CrashSink,
        age: Callable[[], timedelta],
    ):
        self.changes = changes
        self.config = config
        self.directory = directory
        self.rollouts = rollouts
        self.crashes = crashes
        self.age = age
        self.held: dict[int, _Held] = {}
        self.scheduled = False
        changes.on_change = self._on_change

    def handle(self, exchange: Exchange) -> None:
        """Answer a follower, at once if there is anything to tell."""
        query = _decode_query(exchange)
        if query is None:
            exchange.respond(Response(400))
            return
        # A follower is to learn in time that this node's own state is outdated.
        hold = min(query.hold_ms * MILLISECOND, MAX_HOLD, MAX_STATE_AGE - self.age())
        if hold <= ZERO or self._has_news(query) or len(self.held) >= MAX_HELD:
            exchange.respond(self._answer(query))
            return
        key = id(exchange)
        timer = hubs.get_hub().schedule_call_global(hold.total_seconds(), self._release, key)
        self.held[key] = _Held(exchange, query, timer)
        exchange.on_cancel = lambda: self._drop(key)

    def _has_news(self, query: ChangeQuery) -> bool:
        covered = self.changes.covers(query.epoch, query.after)
        news = not covered or self.changes.number > query.after
        return news or self._newer_config(query) is not None

    def _newer_config(self, query: ChangeQuery) -> MeshConfig | None:
        config = self.config()
        return config if config is not None and config.version > query.config else None

    def _on_change(self) -> None:
        """Answer all that wait, once for the changes of one moment."""
        if self.held and not self.scheduled:
            self.scheduled = True
            hubs.get_hub().schedule_call_global(0, self._release_all)

    def _release_all(self) -> None:
        self.scheduled = False
        for key in list(self.held):
            self._release(key)

    def _release(self, key: int) -> None:
        held = self._drop(key)
        if held is not None:
            held.exchange.respond(self._answer(held.query))

    def _drop(self, key: int) -> _Held | None:
        held = self.held.pop(key, None)
        if held is not None:
            held.timer.cancel()
        return held

    def _answer(self, query: ChangeQuery) -> Response:
        changes, after = self.changes, query.after
        whole = not changes.covers(query.epoch, after)
        if whole:
            after = -1
        targets, rollouts = self.directory.targets, self.rollouts.shares.rollouts
        reports = self.crashes.reports
        config = self._newer_config(query)
        answer = ChangeAnswer(
            epoch=changes.epoch,
            number=changes.number,
            age_ms=int(self.age() / MILLISECOND),
            whole=whole,
            config=compress_config(config.raw) if config is not None else b"",
            targets=[targets[name] for name in changes.changed_since(Kind.TARGET, after)],
            removed_targets=changes.removed_since(Kind.TARGET, after),
            rollouts=[rollouts[name] for name in changes.changed_since(Kind.ROLLOUT, after)],
            removed_rollouts=changes.removed_since(Kind.ROLLOUT, after),
            deaths=[reports[name] for name in changes.changed_since(Kind.DEATH, after)],
            removed_deaths=changes.removed_since(Kind.DEATH, after),
        )
        return Response(200, (), encode_answer(answer))


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
