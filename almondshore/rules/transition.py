"""Check rules against the configuration that they replace."""

from collections.abc import Iterable, Mapping

from almondshore.core.findings import FindingList
from almondshore.core.messages import Veto
from almondshore.rules.compile import move_id
from almondshore.rules.model import MoveRule, MoveState, RuleSet, ServicePart


def existing_move_ids(previous: Mapping[str, ServicePart]) -> frozenset[str]:
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
                line=rule.source.line,
                column=rule.source.columns.version,
                code="serving-version",
                message=f"version '{move['to_version']}' serves '{rule.name}' since its move; "
                f"write 'service {rule.name} version {move['to_version']}'",
            )


def new_moves(rules: RuleSet, *, previous: Mapping[str, ServicePart]) -> list[MoveRule]:
    """Return the moves that the configuration in force does not hold."""
    held = existing_move_ids(previous)
    return [rule for rule in rules.moves if move_id(rule) not in held]


def check_vetoes(
    rules: RuleSet,
    *,
    vetoes: Iterable[Veto],
    previous: Mapping[str, ServicePart],
    findings: FindingList,
) -> None:
    """Check that no new move is to a vetoed version without an override.

    An override acts on vetoes issued under versions older than the one that introduced it.

    :param vetoes: recorded vetoes of the versions that new moves are to
    """
    by_version = {(veto.service, veto.version): veto for veto in vetoes}
    allows = {(rule.service, rule.version) for rule in rules.allows}
    for rule in new_moves(rules, previous=previous):
        key = (rule.service, rule.version)
        veto = by_version.get(key)
        if veto is None:
            continue
        part = previous.get(rule.service)
        introduced = part["allowed"].get(rule.version) if part else None
        if key in allows and (introduced is None or veto.config_version < introduced):
            continue
        hint = f"use a new version name or add 'allow {rule.service} {rule.version}'"
        if key in allows:
            hint = "the allow rule is older; remove it in one version and add it in the next"
        findings.add(
            line=rule.source.line,
            column=rule.source.columns.version,
            code="vetoed-version",
            message=f"version '{rule.version}' was vetoed ({veto.reason}); {hint}",
        )
