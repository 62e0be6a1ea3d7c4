"""Checks rules against the configuration that they replace."""

from collections.abc import Iterable, Mapping

from almondshore.core.findings import FindingList
from almondshore.core.messages import Veto
from almondshore.rules.compile import move_id
from almondshore.rules.model import MoveRule, MoveState, RuleSet, ServicePart


def existing_move_ids(previous: Mapping[str, ServicePart]) -> frozenset[str]:
    """Return the identities of the moves in a configuration, whatever their state."""
    return frozenset(part["move"]["move_id"] for part in previous.values() if part["move"])


def check_transition(
    rules: RuleSet, *, previous: Mapping[str, ServicePart], findings: FindingList
) -> None:
    """Check that removing or replacing the rule of a completed move does not revert it.

    After a move the service rule still names the old version. If the move rule is removed, the
    service rule would send all traffic back to the old version at once.

    :param previous: service parts of the current configuration, by service name
    """
    rule_move_ids = {move_id(rule) for rule in rules.moves}
    for rule in rules.services:
        part = previous.get(rule.name)
        move = part["move"] if part else None
        if (
            move is None
            or move["state"] != MoveState.DONE.value
            or move["move_id"] in rule_move_ids
        ):
            continue
        if rule.version == move["from_version"]:
            findings.add(
                line=rule.source.line,
                column=rule.source.columns.version,
                code="serving-version",
                message=f"version '{move['to_version']}' has served '{rule.name}' since its move; "
                f"write 'service {rule.name} version {move['to_version']}'",
            )


def new_moves(rules: RuleSet, *, previous: Mapping[str, ServicePart]) -> list[MoveRule]:
    """Return the rules of the moves that the current configuration does not contain."""
    existing = existing_move_ids(previous)
    return [rule for rule in rules.moves if move_id(rule) not in existing]


def check_vetoes(
    rules: RuleSet,
    *,
    vetoes: Iterable[Veto],
    previous: Mapping[str, ServicePart],
    findings: FindingList,
) -> None:
    """Check that no new move goes to a vetoed version without an override.

    An override applies only to vetoes issued under configuration versions older than the one that
    introduced it.

    :param vetoes: recorded vetoes of the destination versions of new moves
    """
    recorded = {(veto.service, veto.version): veto for veto in vetoes}
    allows = {(rule.service, rule.version) for rule in rules.allows}
    for rule in new_moves(rules, previous=previous):
        key = (rule.service, rule.version)
        veto = recorded.get(key)
        if veto is None:
            continue
        part = previous.get(rule.service)
        allowed_since = part["allowed"].get(rule.version) if part else None
        if key in allows and (allowed_since is None or veto.config_version < allowed_since):
            continue
        hint = f"use a new version name or add 'allow {rule.service} {rule.version}'"
        if key in allows:
            hint = (
                "the allow rule is older than the veto; "
                "remove it in one version and add it again in the next"
            )
        findings.add(
            line=rule.source.line,
            column=rule.source.columns.version,
            code="vetoed-version",
            message=f"version '{rule.version}' was vetoed ({veto.reason}); {hint}",
        )
