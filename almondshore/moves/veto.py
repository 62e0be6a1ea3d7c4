"""Vetoes: detection of a faulty version by a single node, and stored vetoes."""

from collections.abc import Iterable

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.decoding import decode_msgpack
from almondshore.core.messages import Evidence, Veto
from almondshore.moves.verdict import (
    FALSE_POSITIVE_RATE,
    LOCAL_ALPHA_SHARE,
    MoveVerdict,
    Regression,
)
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import Conflict, Platform, PlatformError

MAX_REASON_CHARS = 300
# A node that has just started does not know all other detectors, so at least this many are assumed.
MIN_DETECTORS = 100


def veto_key(service: str, version: str) -> str:
    """Return the platform key of a version's veto."""
    return f"veto/{service}/{version}"


def read_veto(platform: Platform, service: str, version: str) -> Veto | None:
    """Return the stored veto of a version; None if there is none or it cannot be read."""
    stored = platform.get(veto_key(service, version))
    return _decode_or_none(stored.unwrap().value) if is_successful(stored) else None


def save_veto(platform: Platform, veto: Veto) -> bool:
    """Store a veto unless one that is at least as new is stored.

    :return: whether the platform confirmed that such a veto is stored
    """
    key, value = veto_key(veto.service, veto.version), encode_veto(veto)
    write_id = f"{veto.origin}-{veto.config_version}-{veto.at.isoformat()}"
    result = platform.create(key, value, write_id)
    if is_successful(result) or not isinstance(result.failure(), Conflict):
        return is_successful(result)
    current = result.failure().current
    if current is None:
        return False
    stored_veto = _decode_or_none(current.value)
    if stored_veto is not None and stored_veto.config_version >= veto.config_version:
        return True
    return is_successful(platform.update(key, value, current.revision, write_id))


def make_veto(
    part: ServicePart, regression: Regression, *, config_version: int, origin: str, clock: Clock
) -> Veto:
    """Return a veto of the new version of a service's move, with the evidence as its reason."""
    return Veto(
        part["name"],
        part["move"]["to_version"],
        config_version,
        regression.evidence[:MAX_REASON_CHARS],
        origin,
        clock.now(),
    )


def load_vetoes(platform: Platform) -> Result[list[Veto], PlatformError]:
    """Read all stored vetoes, for a relay that starts when no peer knows them.

    Malformed objects are skipped.
    """
    return platform.list("veto/").map(
        lambda objects: [veto for stored in objects if (veto := _decode_or_none(stored.value))]
    )


def encode_veto(veto: Veto) -> bytes:
    """Encode a veto for the platform."""
    return msgspec.msgpack.encode(veto)


def decode_veto(data: bytes) -> Veto:
    """Decode a stored veto.

    :raises msgspec.MsgspecError: if the data is malformed
    """
    return decode_msgpack(data, Veto)


def _decode_or_none(data: bytes) -> Veto | None:
    try:
        return decode_veto(data)
    except msgspec.MsgspecError:
        return None


class LocalDetector:
    """Tests the evidence of one node, so that a veto does not require a coordinator.

    Evidence recorded at the node of a target covers only one version. A relay, which aggregates
    the evidence of its nodes, is the first to see both. ``LOCAL_ALPHA_SHARE`` of the false positive
    rate is divided among the detectors, so that a single node requires stronger evidence than the
    coordinator.

    :ivar alpha: false positive rate of this node's tests per move
    """

    def __init__(self, *, clock: Clock, node: str, nodes: int):
        self.clock = clock
        self.node = node
        self.alpha = FALSE_POSITIVE_RATE * LOCAL_ALPHA_SHARE / max(nodes, MIN_DETECTORS)
        self.verdicts: dict[tuple[str, str, int], MoveVerdict] = {}

    def observe(
        self, evidence: Evidence, parts: Iterable[ServicePart], config_version: int
    ) -> list[Veto]:
        """Evaluate the evidence of a window; return the new vetoes."""
        vetoes = []
        current = {}
        for part in parts:
            move = part["move"]
            if move is None or move["state"] == MoveState.REVERTED.value:
                continue
            allowed = part["allowed"].get(move["to_version"], 0)
            key = (part["name"], move["move_id"], allowed)
            verdict = self.verdicts.get(key) or self._new_verdict(part)
            current[key] = verdict
            previous_regression = verdict.regression
            verdict.observe(evidence.window, evidence.rows, warm=False)
            if verdict.regression is not None and previous_regression is None:
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

    def _new_verdict(self, part: ServicePart) -> MoveVerdict:
        move = part["move"]
        return MoveVerdict(
            service=part["name"],
            old=move["from_version"],
            new=move["to_version"],
            routes=len(part["routes"]),
            alpha=self.alpha,
        )
