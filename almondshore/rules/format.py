"""Formats typed rules as the text of a rules file."""

from datetime import timedelta

from almondshore.rules.model import (
    AllowRule,
    MoveRule,
    RouteRule,
    Rule,
    RuleSet,
    ServiceRule,
    TenantRule,
)


def in_file_order(rules: RuleSet) -> list[Rule]:
    """Return the rules of all kinds, sorted by line number."""
    return sorted((rule for kind in rules for rule in kind), key=lambda rule: rule.source.line)


def format_rules(rules: RuleSet) -> str:
    """Format rules as a rules file, one rule per line, sorted by line number."""
    return "".join(f"{format_rule(rule)}\n" for rule in in_file_order(rules))


def format_rule(rule: Rule) -> str:
    """Format a rule as one line with a comment that names the requester and reason."""
    return f"{format_body(rule)}  # {rule.source.requester}: {rule.source.reason}"


def format_body(rule: Rule) -> str:
    """Format a rule as one line without its comment; deadlines are in UTC."""
    match rule:
        case ServiceRule():
            return f"service {rule.name} version {rule.version}"
        case RouteRule():
            once = " once" if rule.once else ""
            return (
                f"route {','.join(rule.methods)} {rule.path} to {rule.service}"
                f" class {rule.request_class}{once} timeout {_format_duration(rule.timeout)}"
            )
        case TenantRule():
            rate = f"{rule.rate:.3f}".rstrip("0").rstrip(".")
            return f"tenant {rule.name} limit {rate}/s burst {rule.burst}"
        case MoveRule():
            deadline = rule.deadline.isoformat(sep=" ", timespec="minutes").removesuffix("+00:00")
            return f"move {rule.service} to {rule.version} by {deadline} UTC prefer {rule.prefer}"
        case AllowRule():
            return f"allow {rule.service} {rule.version}"
    raise TypeError(f"not a rule: {rule!r}")


def _format_duration(duration: timedelta) -> str:
    milliseconds = duration // timedelta(milliseconds=1)
    return f"{milliseconds}ms" if milliseconds % 1000 else f"{milliseconds // 1000}s"
