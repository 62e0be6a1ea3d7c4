"""Check a rules file as a whole."""

from datetime import datetime

from almondshore.core.findings import FindingList
from almondshore.platform.port import MAX_VALUE_BYTES
from almondshore.rules.grammar import parse
from almondshore.rules.model import RuleSet


def check_rules(data: bytes, *, now: datetime, findings: FindingList) -> RuleSet:
    """Decode, parse and check the content of a rules file.

    :param data: content of the file, UTF-8, at most ``MAX_VALUE_BYTES``
    :param now: current time
    :param findings: receives all findings; if there are any, the result must not be used
    """
    if len(data) > MAX_VALUE_BYTES:
        findings.add(
            line=0,
            column=0,
            code="file-too-large",
            message=f"the file has {len(data)} bytes; at most {MAX_VALUE_BYTES} are accepted",
        )
        return RuleSet()
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        before = data[: error.start]
        findings.add(
            line=before.count(b"\n") + 1,
            column=error.start - (before.rfind(b"\n") + 1) + 1,
            code="bad-encoding",
            message="the file is not valid UTF-8",
        )
        return RuleSet()
    rules = parse(text, now=now, findings=findings)
    _check_references(rules, findings)
    return rules


def _check_references(rules: RuleSet, findings: FindingList) -> None:
    known = {service.name for service in rules.services}
    for rule in (*rules.routes, *rules.moves, *rules.allows):
        if rule.service not in known:
            findings.add(
                line=rule.place.line,
                column=0,
                code="unknown-service",
                message=f"service '{rule.service}' is not defined",
            )
