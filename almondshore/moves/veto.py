"""Vetoes: detection of a bad version by a single node, and the objects that record vetoes."""

from collections.abc import Iterable

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.messages import Evidence, Veto
from almondshore.moves.verdict import (
    FALSE_POSITIVE_RATE,
    LOCAL_ALPHA_SHARE,
    MoveVerdict,
    Regression,
)
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import Conflict, Platform, PlatformError

MAX_REASON = 300
# A node that has just started does not know all others that test, so at least this many count.
MIN_DETECTORS = 100


def veto_key(service: str, version: str) -> str:
    """Return the platform key of a version's veto."""
    return f"veto/{service}/{version}"


def read_veto(platform: Platform, service: str, version: str) -> Veto | None:
    """Return the recorded veto of a version; None if there is none or it cannot be read."""
    stored = platform.get(veto_key(service, version))
    return _decoded(stored.unwrap().value) if is_successful(stored) else None


def save_veto(platform: Platform, veto: Veto) -> bool:
    """Record a veto unless one at least as new is recorded; return whether that is certain."""
    key, value = veto_key(veto.service, veto.version), encode_veto(veto)
    write_id = f"{veto.origin}-{veto.config_version}-{veto.at.isoformat()}"
    result = platform.create(key, value, write_id)
    if is_successful(result) or not isinstance(result.failure(), Conflict):
        return is_successful(result)
    current = result.failure().current
    if current is None:
        return False
    known = _decoded(current.value)
    if known is not None and known.config_version >= veto.config_version:
        return True
    return is_successful(platform.update(key, value, current.revision, write_id))


def make_veto(
    part: ServicePart, regression: Regression, *, config_version: int, origin: str, clock: Clock
) -> Veto:
    """Return the veto of the new version of a service's move."""
    return Veto(
        part["name"],
        part["move"]["to_version"],
        config_version,
        regression.evidence[:MAX_REASON],
        origin,
        clock.now(),
    )


def load_vetoes(platform: Platform) -> Result[list[Veto], PlatformError]:
    """Read all recorded vetoes, for a relay that starts while no peer knows them.

    Malformed objects are left out.
    """
    return platform.list("veto/").map(
        lambda found: [veto for stored in found if (veto := _decoded(stored.value))]
    )


def encode_veto(veto: Veto) -> bytes:
    """Encode a veto for the platform."""
    return msgspec.msgpack.encode(veto)


def decode_veto(data: bytes) -> Veto:
    """Decode a recorded veto.

    :raises msgspec.MsgspecError: if the data is malformed
    """
    return msgspec.msgpack.decode(data, type=Veto)


def _decoded(data: bytes) -> Veto | None:
    try:
        return decode_veto(data)
    except msgspec.MsgspecError:
        return None


class LocalDetector:
    """Tests the evidence that one node has, so that a veto needs no coordinator.

    Evidence is recorded beside the targets, where each node sees one version only; a relay, which
    sums up its nodes, is the first to see both. The share of the false positive rate that is left
    to single nodes is divided by their number, so one needs stronger evidence than the
    coordinator.

    :ivar alpha: false positive rate of this node's tests for each move
    """

    def __init__(self, *, clock: Clock, node: str, nodes: int):
        self.clock = clock
        self.node = node
        self.alpha = FALSE_POSITIVE_RATE * LOCAL_ALPHA_SHARE / max(nodes, MIN_DETECTORS)
        self.verdicts: dict[tuple[str, str, int], MoveVerdict] = {}

    def observe(
        self, evidence: Evidence, parts: Iterable[ServicePart], config_version: int
    ) -> list[Veto]:
        """Take in the evidence of a window; return new vetoes."""
        vetoes = []
        current = {}
        for part in parts:
            move = part["move"]
            if move is None or move["state"] == MoveState.REVERTED.value:
                continue
            allowed = part["allowed"].get(move["to_version"], 0)
            key = (part["name"], move["move_id"], allowed)
            verdict = self.verdicts.get(key) or self._verdict(part)
            current[key] = verdict
            done = verdict.regression
            verdict.observe(evidence.window, evidence.rows, warm=False)
            if verdict.regression is not None and done is None:
                vetoes.append(
                    make_veto(
                        part,
                        verdict.regression,
                        config_version=config_version,
                        origin=self.node,
                        clock=self.clock,
                    )
                )
        self.verdicts = current
        return vetoes

    def _verdict(self, part: ServicePart) -> MoveVerdict:
        move = part["move"]
        return MoveVerdict(
            service=part["name"],
            old=move["from_version"],
            new=move["to_version"],
            routes=len(part["routes"]),
            alpha=self.alpha,
        )
