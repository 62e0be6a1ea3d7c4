"""Check rules against the configuration that they replace."""

from collections.abc import Mapping

from almondshore.core.findings import FindingList
from almondshore.rules.compile import move_id
from almondshore.rules.model import MoveState, RuleSet, ServicePart


def moves_in_force(previous: Mapping[str, ServicePart]) -> frozenset[str]:
    """Return the identities of the moves that a configuration holds."""
    return frozenset(part["move"]["move_id"] for part in previous.values() if part["move"])


def check_transition(
    rules: RuleSet, *, previous: Mapping[str, ServicePart], findings: FindingList
) -> None:
    """Check that no finished move is undone by accident.

    After a move the service rule still names the old version. Without the move, that rule would
    send all traffic back to the old version at once.

    :param previous: service parts of the configuration in force, by service name
    """
    kept = {move_id(rule) for rule in rules.moves}
    for rule in rules.services:
        part = previous.get(rule.name)
        move = part["move"] if part else None
        if move is None or move["state"] != MoveState.DONE.value or move["move_id"] in kept:
            continue
        if rule.version == move["from_version"]:
            findings.add(
                line=rule.place.line,
                column=rule.place.columns.version,
                code="serving-version",
                message=f"version '{move['to_version']}' serves '{rule.name}' since its move; "
                f"write 'service {rule.name} version {move['to_version']}'",
            )
