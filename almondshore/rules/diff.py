"""Semantic difference between two sets of rules."""

from collections.abc import Callable, Hashable, Iterable
from enum import StrEnum
from typing import NamedTuple

from almondshore.rules.check import canonical_path
from almondshore.rules.format import format_rule
from almondshore.rules.model import AllowRule, Columns, MoveRule, RouteRule, Rule, RuleSet


class ChangeKind(StrEnum):
    """What happened to a rule."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class RuleChange(NamedTuple):
    """A rule that was added, removed or changed; ``source`` refers to the file of each side.

    :ivar old: the previous rule; None if it was added
    :ivar new: the new rule; None if it was removed
    """

    kind: ChangeKind
    old: Rule | None
    new: Rule | None


def diff_rules(old: RuleSet, new: RuleSet) -> list[RuleChange]:
    """Return the differences, ordered by line.

    Rules are compared by content, requester and reason, not by position or spacing. Two rules that
    differ count as one changed rule if they have the same identity: the name of a service or
    tenant, the service of a move, the service and version of an override, the path of a route.
    """
    changes: list[RuleChange] = []
    for before, after in zip(old, new, strict=True):
        removed, added, _ = _pair(before, after, _without_position)
        removed, added, pairs = _pair(removed, added, _identity)
        if removed and isinstance(removed[0], RouteRule):
            removed, added, same_path = _pair(
                removed, added, lambda rule: canonical_path(rule.path)
            )
            pairs += same_path
        changes += [RuleChange(ChangeKind.CHANGED, *pair) for pair in pairs]
        changes += [RuleChange(ChangeKind.REMOVED, rule, None) for rule in removed]
        changes += [RuleChange(ChangeKind.ADDED, None, rule) for rule in added]
    return sorted(changes, key=lambda change: (change.new or change.old).source.line)


def describe_change(change: RuleChange) -> list[str]:
    """Format a change as lines: the old rule after ``-`` and the new rule after ``+``."""
    sides = (("-", change.old), ("+", change.new))
    return [f"{sign} line {rule.source.line}: {format_rule(rule)}" for sign, rule in sides if rule]


def _pair(
    old: Iterable[Rule], new: Iterable[Rule], key: Callable[[Rule], Hashable]
) -> tuple[list[Rule], list[Rule], list[tuple[Rule, Rule]]]:
    """Pair rules that have equal keys.

    :return: old rules without a pair, new rules without a pair, and the pairs
    """
    unmatched: dict[Hashable, list[Rule]] = {}
    for rule in old:
        unmatched.setdefault(key(rule), []).append(rule)
    pairs, added = [], []
    for rule in new:
        candidates = unmatched.get(key(rule))
        if candidates:
            pairs.append((candidates.pop(0), rule))
        else:
            added.append(rule)
    return [rule for rules in unmatched.values() for rule in rules], added, pairs


def _without_position(rule: Rule) -> Rule:
    return rule._replace(source=rule.source._replace(line=0, columns=Columns()))


def _identity(rule: Rule) -> Hashable:
    match rule:
        case RouteRule():
            return frozenset(rule.methods), canonical_path(rule.path)
        case MoveRule():
            return rule.service
        case AllowRule():
            return rule.service, rule.version
    return rule.name
