"""Vetoes: detection of a bad version by a single node, and the objects that record vetoes."""

from collections.abc import Iterable

import msgspec
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.messages import Evidence, Veto
from almondshore.moves.verdict import (
    FALSE_POSITIVE_RATE,
    LOCAL_SHARE,
    Condemned,
    MoveVerdict,
)
from almondshore.platform.port import Platform, PlatformError
from almondshore.rules.model import MoveState, ServicePart

MAX_REASON = 300


def veto_key(service: str, version: str) -> str:
    """Return the platform key of a version's veto."""
    return f"veto/{service}/{version}"


def encode_veto(veto: Veto) -> bytes:
    """Encode a veto for the platform."""
    return msgspec.msgpack.encode(veto)


def decode_veto(data: bytes) -> Veto:
    """Decode a veto from the platform.

    :raises msgspec.MsgspecError: if the data is malformed
    """
    return msgspec.msgpack.decode(data, type=Veto)


def make_veto(
    part: ServicePart, condemned: Condemned, *, config_version: int, origin: str, clock: Clock
) -> Veto:
    """Return the veto of the new version of a service's move."""
    return Veto(
        part["name"],
        part["move"]["to_version"],
        config_version,
        condemned.evidence[:MAX_REASON],
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


def _decoded(data: bytes) -> Veto | None:
    try:
        return decode_veto(data)
    except msgspec.MsgspecError:
        return None


class LocalDetector:
    """Tests the evidence of one node, so that a veto needs neither relay nor coordinator.

    The share of the false positive rate that is left to single nodes is divided by their
    number, so a node needs stronger evidence than the coordinator.
    """

    def __init__(self, *, clock: Clock, node: str, nodes: int):
        self.clock = clock
        self.node = node
        self.alpha = FALSE_POSITIVE_RATE * LOCAL_SHARE / max(nodes, 1)
        self.verdicts: dict[tuple[str, str, int], MoveVerdict] = {}

    def observe(
        self, evidence: Evidence, parts: Iterable[ServicePart], config_version: int
    ) -> list[Veto]:
        """Take in the node's own evidence of a window; return new vetoes."""
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
            done = verdict.condemned
            verdict.observe(evidence.window, evidence.rows, warm=False)
            if verdict.condemned is not None and done is None:
                vetoes.append(
                    make_veto(
                        part,
                        verdict.condemned,
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
