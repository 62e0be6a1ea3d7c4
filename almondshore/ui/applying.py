"""Publishes a rules file as the successor of the current configuration version."""

import hashlib
from collections.abc import Callable, Iterable, Mapping
from datetime import datetime, timedelta
from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.errors import InvalidInputError, UserError
from almondshore.core.findings import FindingList
from almondshore.core.messages import Veto
from almondshore.moves.veto import decode_veto, veto_key
from almondshore.rules.check import check_rules
from almondshore.rules.compile import SERVICE_PREFIX, compile_rules, decode_service
from almondshore.rules.diff import RuleChange, diff_rules
from almondshore.rules.model import MoveRule, RuleSet, ServicePart
from almondshore.rules.transition import (
    check_transition,
    check_vetoes,
    existing_move_ids,
    new_moves,
)
from almondshore.storage.port import Conflict, NotFound, Platform, Unavailable
from almondshore.ui.changes import MAX_VERSIONS, ChangeLog, published_rules
from almondshore.ui.platform_errors import PlatformFailedError, describe_error, require
from almondshore.ui.retrying import Retrier
from almondshore.versions.config import DIGEST_BYTES
from almondshore.versions.publish import Publisher, VersionedHead

# The coordinators of moves also publish versions, with unchanged rules. Each such version costs
# another attempt; more than a few of them during one command indicate a fault.
MAX_PUBLISH_ATTEMPTS = 5


class ConflictError(UserError):
    """The rules conflict with the published versions; nothing was published."""


class ApplyRequest(NamedTuple):
    """A rules file to publish.

    :ivar file: file name shown in findings
    :ivar base: version that the file was edited from; None if unknown
    """

    file: str
    data: bytes
    author: str
    reason: str
    base: int | None


class ApplyOutcome(NamedTuple):
    """The version that contains the rules.

    :ivar created: whether this call published it
    :ivar changes: rule changes compared with its predecessor; empty if not created by this call
    """

    version: int
    created: bool
    changes: list[RuleChange]


class Applier:
    """Publishes rules files. Applying the same file again has no effect; files are not merged."""

    def __init__(self, *, platform: Platform, clock: Clock, wait: Callable[[timedelta], None]):
        self.publisher = Publisher(platform=platform)
        self.clock = clock
        self.retry = Retrier(wait=wait)
        self.change_log = ChangeLog(publisher=self.publisher, retry=self.retry)

    def apply(self, request: ApplyRequest) -> ApplyOutcome:
        """Publish rules as the successor of the current version unless that contains them already.

        :raises ConflictError: if another operator changed the rules since the base, if an earlier
            version had the same rules, or if too many versions are published at the same time
        :raises InvalidInputError: if the rules have findings
        :raises UserError: if the platform fails
        """
        digest = hashlib.blake2b(request.data, digest_size=DIGEST_BYTES).hexdigest()
        base: int | None = request.base
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            current = require(self.retry(self.publisher.current))
            version = current.head.version
            if version and self.change_log.record(version).rules_digest == digest:
                return ApplyOutcome(version, False, [])
            if base is None:
                self._check_not_superseded(digest, version)
                base = version
            self._check_base_unchanged(base, version)
            outcome = self._publish(request, current, digest)
            if outcome is not None:
                return outcome
        raise ConflictError("other versions are being published at the same time; try again later")

    def _check_not_superseded(self, digest: str, newest: int) -> None:
        """Refuse rules that an earlier version contained, if no base is given.

        Otherwise an apply that is repeated after a lost response would undo versions that others
        have published since.
        """
        for version in range(newest - 1, max(newest - MAX_VERSIONS, 0), -1):
            record = self.change_log.record(version)
            if record.rules_digest == digest:
                raise ConflictError(
                    f"these rules are version {version} by {record.author}, which later versions "
                    f"replaced; to return to them use --base {newest}\n"
                    + self.change_log.describe(version, newest)
                )

    def _check_base_unchanged(self, base: int, newest: int) -> None:
        """Refuse if the rules of the newest version differ from those of the base."""
        if base == newest:
            return
        if base > newest:
            raise ConflictError(f"version {base} does not exist; the newest is version {newest}")
        if (
            base
            and self.change_log.record(base).rules_digest
            == self.change_log.record(newest).rules_digest
        ):
            return
        raise ConflictError(
            f"the rules were changed after version {base}; nothing was published\n"
            f"{self.change_log.describe(base, newest)}\n"
            f"include these changes in the file and apply it again with --base {newest}"
        )

    def _publish(
        self, request: ApplyRequest, current: VersionedHead, digest: str
    ) -> ApplyOutcome | None:
        """Publish the successor of a version; return None if another successor was published."""
        version = current.head.version
        parts = require(self.retry(lambda: self.publisher.parts(version)))
        previous = service_parts(parts)
        now = self.clock.now()
        rules = self._validate(request, now, previous)
        changes = diff_rules(published_rules(self.change_log.text(version)), rules)
        result = self.retry(
            lambda: self.publisher.publish(
                base=current,
                base_parts=parts,
                parts=compile_rules(rules, version=version + 1, now=now, previous=previous),
                rules=request.data,
                author=request.author,
                reason=request.reason,
                at=now,
            )
        )
        if self._is_published(result, version + 1, digest, now):
            return ApplyOutcome(version + 1, True, changes)
        return None

    def _validate(
        self, request: ApplyRequest, now: datetime, previous: Mapping[str, ServicePart]
    ) -> RuleSet:
        """Check a rules file by itself and against the configuration that it replaces.

        :raises InvalidInputError: if there are findings
        """
        findings = FindingList(file=request.file)
        move_ids = existing_move_ids(previous)
        rules = check_rules(request.data, now=now, findings=findings, existing_move_ids=move_ids)
        if not findings:
            check_transition(rules, previous=previous, findings=findings)
            vetoes = self._read_vetoes(new_moves(rules, previous=previous))
            check_vetoes(rules, vetoes=vetoes, previous=previous, findings=findings)
        if findings:
            raise InvalidInputError(findings.sorted())
        return rules

    def _read_vetoes(self, moves: Iterable[MoveRule]) -> list[Veto]:
        """Read the recorded vetoes of the versions to which the moves lead."""
        vetoes = []
        for rule in moves:
            key = veto_key(rule.service, rule.version)
            result = self.retry(lambda key=key: self.publisher.platform.get(key))
            if is_successful(result) or not isinstance(result.failure(), NotFound):
                vetoes.append(decode_veto(require(result).value))
        return vetoes

    def _is_published(self, result: Result, version: int, digest: str, at: datetime) -> bool:
        """Return whether the version was published by this call rather than by another writer.

        :raises PlatformFailedError: if the result of the write is unknown, or if the write failed
        """
        if is_successful(result):
            return True
        error = result.failure()
        if isinstance(error, Conflict):
            # The response to a successful first write may have been lost, and a newer version may
            # have been published before the retry.
            existing = self.retry(lambda: self.publisher.record(version))
            if is_successful(existing):
                return (existing.unwrap().rules_digest, existing.unwrap().at) == (digest, at)
            error = existing.failure()
        if isinstance(error, Unavailable):
            raise PlatformFailedError(
                f"{describe_error(error)}; it is not known whether version {version} was "
                "published; the same command can safely be repeated"
            )
        raise PlatformFailedError(describe_error(error))


def service_parts(parts: Mapping[str, bytes]) -> dict[str, ServicePart]:
    """Decode the service parts of a configuration, by service name."""
    return {
        name.removeprefix(SERVICE_PREFIX): decode_service(part)
        for name, part in parts.items()
        if name.startswith(SERVICE_PREFIX)
    }
