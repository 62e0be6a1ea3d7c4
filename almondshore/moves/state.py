"""State of moves at a node: vetoes and the newest step of each move."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec
import xxhash

from almondshore.core.messages import MovesSnapshot, MoveStep, TargetRecord, Veto
from almondshore.core.rendezvous import rank
from almondshore.moves.plan import FINAL_STEP, STEP_SHARES, target_count
from almondshore.rules.model import MoveState, ServicePart

MAX_VETOES = 4096
MAX_STEPS = 4096

# Service and version of a veto, or service and move id of a step.
Key = tuple[str, str]


class MoveTable:
    """Vetoes and move steps, merged from messages that may be reordered or duplicated.

    For each version of a service the veto issued under the newest configuration is kept, since
    it applies wherever an older one does. For each move the highest epoch and the highest accepted
    step are kept: a message of an older epoch is rejected, and one of a newer epoch never lowers
    the step.

    :ivar synced: whether a snapshot of a peer was merged since the start; a node that is not
        synced does not know the current shares and should not report that it is ready
    """

    def __init__(self, *, max_vetoes: int = MAX_VETOES, max_steps: int = MAX_STEPS):
        self.max_vetoes = max_vetoes
        self.max_steps = max_steps
        self.vetoes: dict[Key, Veto] = {}
        self.steps: dict[Key, MoveStep] = {}
        self.services: set[str] = set()
        self.active_moves: set[Key] = set()
        self.synced = False
        self._digest: int | None = None

    def set_configuration(self, parts: Iterable[ServicePart]) -> None:
        """Set the services and active moves of the current configuration.

        The digest covers only these, and their entries are evicted last.
        """
        parts = list(parts)
        self.services = {part["name"] for part in parts}
        self.active_moves = {
            (part["name"], part["move"]["move_id"])
            for part in parts
            if part["move"] and part["move"]["state"] == MoveState.ACTIVE.value
        }
        self._digest = None

    def apply_step(self, step: MoveStep) -> bool:
        """Apply a step unless it is invalid or outdated; return whether the table changed."""
        if not 0 <= step.step <= FINAL_STEP:
            return False
        key = (step.service, step.move_id)
        known = self.steps.get(key)
        if known is not None:
            if step.epoch < known.epoch:
                return False
            step = step._replace(step=max(step.step, known.step))
            if step == known:
                return False
        self.steps[key] = step
        self._digest = None
        _evict(self.steps, self.max_steps, keep=self.active_moves)
        return key in self.steps

    def add_veto(self, veto: Veto) -> bool:
        """Add a veto unless a newer one is known; return whether the table changed."""
        key = (veto.service, veto.version)
        known = self.vetoes.get(key)
        if known is not None and _precedence(veto) <= _precedence(known):
            return False
        self.vetoes[key] = veto
        self._digest = None
        keep = {veto_key for veto_key in self.vetoes if veto_key[0] in self.services}
        _evict(self.vetoes, self.max_vetoes, keep=keep)
        return key in self.vetoes

    def merge(self, snapshot: MovesSnapshot) -> bool:
        """Merge a peer's snapshot; return whether the table changed."""
        self.synced = True
        changed = [self.add_veto(veto) for veto in snapshot.vetoes]
        changed += [self.apply_step(step) for step in snapshot.steps]
        return any(changed)

    def snapshot(self) -> MovesSnapshot:
        """Return all vetoes and steps as a message."""
        return MovesSnapshot(list(self.vetoes.values()), list(self.steps.values()))

    def digest(self) -> int:
        """Return a digest of the vetoes and steps that concern the current configuration.

        Equal content has an equal digest; it is 0 if there are none.
        """
        if self._digest is None:
            vetoes = sorted(v for v in self.vetoes.values() if v.service in self.services)
            steps = sorted(self.steps[key] for key in self.active_moves if key in self.steps)
            data = msgspec.msgpack.encode((vetoes, steps))
            self._digest = xxhash.xxh3_64_intdigest(data) if vetoes or steps else 0
        return self._digest

    def step(self, part: ServicePart) -> MoveStep | None:
        """Return the newest step of a service's move, or None if none is known."""
        move = part["move"]
        return self.steps.get((part["name"], move["move_id"])) if move else None

    def veto(self, part: ServicePart, version: str) -> Veto | None:
        """Return the veto in effect on a version of a service, or None.

        An ``allow`` rule overrides the vetoes issued under configuration versions older than
        the one that introduced it.
        """
        veto = self.vetoes.get((part["name"], version))
        if veto is None or veto.config_version < part["allowed"].get(version, 0):
            return None
        return veto

    def weights(self, part: ServicePart) -> dict[str, float]:
        """Return the share of requests for each version of a service; the shares add up to 1.

        Versions without a share are left out. A move that the configuration marks as done or
        reverted overrides its steps; a veto overrides both.
        """
        move = part["move"]
        if move is None:
            return {part["version"]: 1.0}
        if self.veto(part, move["to_version"]) is not None:
            return {move["from_version"]: 1.0}
        share = self.share(part)
        weights = {move["from_version"]: 1.0 - share, move["to_version"]: share}
        return {version: weight for version, weight in weights.items() if weight > 0}

    def share(self, part: ServicePart) -> float:
        """Return the new version's share of requests, from 0 to 1, ignoring vetoes."""
        move = part["move"]
        if move is None or move["state"] == MoveState.REVERTED.value:
            return 0.0
        if move["state"] == MoveState.DONE.value:
            return 1.0
        newest = self.step(part)
        return STEP_SHARES[newest.step] if newest else 0.0

    def limit_targets(
        self, part: ServicePart, targets: Mapping[str, Sequence[TargetRecord]]
    ) -> dict[str, list[TargetRecord]]:
        """Return the targets that serve each version during a move.

        Only as many targets of the new version are used as its share requires. Rendezvous hashing
        selects the same ones on every node; a larger share adds targets to them, and a lost
        target is replaced without changing the others.

        :param targets: known targets by version
        """
        limited = {version: list(records) for version, records in targets.items()}
        share = self.share(part)
        if not 0 < share < 1:
            return limited
        move = part["move"]
        new = {record.target: record for record in targets.get(move["to_version"], ())}
        count = target_count(share, len(new), len(targets.get(move["from_version"], ())))
        chosen = rank(f"{part['name']}/{move['to_version']}", new)[:count]
        limited[move["to_version"]] = [new[target] for target in chosen]
        return limited


def _precedence(veto: Veto) -> tuple:
    return (veto.config_version, veto.at, veto.origin, veto.reason)


def _evict(entries: dict, limit: int, *, keep: set[Key] | Mapping) -> None:
    """Remove the oldest entries above the limit, those in ``keep`` only after all others."""
    while len(entries) > limit:
        entries.pop(next((key for key in entries if key not in keep), next(iter(entries))))
