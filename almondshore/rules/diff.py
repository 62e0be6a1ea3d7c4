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
    """A rule that differs; its place names the line and the requester in its own file.

    :ivar old: the rule before; None if it was added
    :ivar new: the rule after; None if it was removed
    """

    kind: ChangeKind
    old: Rule | None
    new: Rule | None


def diff_rules(old: RuleSet, new: RuleSet) -> list[RuleChange]:
    """Return the differences, ordered by line.

    Rules are compared by what they say and who asked for it, not by their position or spacing.
    A rule is changed if a rule of the same identity differs: the name of a service or tenant, the
    service of a move, the service and version of an override, the path of a route.
    """
    changes: list[RuleChange] = []
    for before, after in zip(old, new, strict=True):
        left, right, _ = _pair(before, after, _content)
        left, right, pairs = _pair(left, right, _identity)
        if left and isinstance(left[0], RouteRule):
            left, right, same_path = _pair(left, right, lambda rule: canonical_path(rule.path))
            pairs += same_path
        changes += [RuleChange(ChangeKind.CHANGED, *pair) for pair in pairs]
        changes += [RuleChange(ChangeKind.REMOVED, rule, None) for rule in left]
        changes += [RuleChange(ChangeKind.ADDED, None, rule) for rule in right]
    return sorted(changes, key=lambda change: (change.new or change.old).source.line)


def describe_change(change: RuleChange) -> list[str]:
    """Return a change as lines that start with ``-`` for the old and ``+`` for the new rule."""
    sides = (("-", change.old), ("+", change.new))
    return [f"{sign} line {rule.source.line}: {format_rule(rule)}" for sign, rule in sides if rule]


def _pair(
    old: Iterable[Rule], new: Iterable[Rule], key: Callable[[Rule], Hashable]
) -> tuple[list[Rule], list[Rule], list[tuple[Rule, Rule]]]:
    """Pair rules of equal keys; return the old and new rules left over, and the pairs."""
    waiting: dict[Hashable, list[Rule]] = {}
    for rule in old:
        waiting.setdefault(key(rule), []).append(rule)
    pairs, right = [], []
    for rule in new:
        same = waiting.get(key(rule))
        if same:
            pairs.append((same.pop(0), rule))
        else:
            right.append(rule)
    return [rule for rules in waiting.values() for rule in rules], right, pairs


def _content(rule: Rule) -> Rule:
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
