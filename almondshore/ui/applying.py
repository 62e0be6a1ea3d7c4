"""Publishing of a rules file on top of the version in force."""

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
from almondshore.ui.platform_errors import PlatformFailedError, describe, require
from almondshore.ui.retrying import Retrier
from almondshore.versions.config import DIGEST_BYTES
from almondshore.versions.publish import Publisher, VersionedHead

# The coordinator of moves publishes versions too, with the same rules. Each of them costs one
# more round; more than a few in one command point to a fault.
MAX_ROUNDS = 5


class ConflictError(UserError):
    """Another operator changed the rules in between."""


class Change(NamedTuple):
    """A rules file to publish.

    :ivar base: version that the file was edited from; None if not known
    """

    file: str
    data: bytes
    author: str
    reason: str
    base: int | None


class Outcome(NamedTuple):
    """The version that holds the rules.

    :ivar created: whether this call published it
    :ivar changes: changed rules since its predecessor, if this call published it
    """

    version: int
    created: bool
    changes: list[RuleChange]


class Applier:
    """Publishes rules files; nothing is merged, and a repeat changes nothing."""

    def __init__(self, *, platform: Platform, clock: Clock, wait: Callable[[timedelta], None]):
        self.publisher = Publisher(platform=platform)
        self.clock = clock
        self.retry = Retrier(wait=wait)
        self.log = ChangeLog(publisher=self.publisher, retry=self.retry)

    def apply(self, change: Change) -> Outcome:
        """Publish rules as the successor of the head.

        :raises ConflictError: if another operator changed the rules since the base
        :raises InvalidInputError: if the rules have findings
        :raises UserError: if the platform fails
        """
        digest = hashlib.blake2b(change.data, digest_size=DIGEST_BYTES).hexdigest()
        base: int | None = change.base
        for _ in range(MAX_ROUNDS):
            current = require(self.retry(self.publisher.current))
            version = current.head.version
            if version and self.log.record(version).rules_digest == digest:
                return Outcome(version, False, [])
            if base is None:
                self._refuse_repeat_of_older(digest, version)
                base = version
            self._refuse_changed_rules(base, version)
            outcome = self._publish(change, current, digest)
            if outcome is not None:
                return outcome
        raise ConflictError("other versions are being published at the same time; try again later")

    def _refuse_repeat_of_older(self, digest: str, newest: int) -> None:
        """Refuse rules that an earlier version held.

        An apply that is repeated after a lost response would otherwise undo what others published
        on top of it.
        """
        for version in range(newest - 1, max(newest - MAX_VERSIONS, 0), -1):
            record = self.log.record(version)
            if record.rules_digest == digest:
                raise ConflictError(
                    f"these rules are version {version} by {record.author}, which later versions "
                    f"replaced; to return to them use --base {newest}\n"
                    + self.log.describe(version, newest)
                )

    def _refuse_changed_rules(self, base: int, newest: int) -> None:
        """Refuse if the newest version has other rules than the base."""
        if base == newest:
            return
        if base > newest:
            raise ConflictError(f"version {base} does not exist; the newest is version {newest}")
        if base and self.log.record(base).rules_digest == self.log.record(newest).rules_digest:
            return
        raise ConflictError(
            f"the rules were changed after version {base}; nothing was published\n"
            f"{self.log.describe(base, newest)}\n"
            f"take over these changes and apply again with --base {newest}"
        )

    def _publish(self, change: Change, current: VersionedHead, digest: str) -> Outcome | None:
        """Publish on top of a version; return None if another version came first."""
        version = current.head.version
        parts = require(self.retry(lambda: self.publisher.parts(version)))
        previous = service_parts(parts)
        now = self.clock.now()
        rules = self._accepted(change, now, previous)
        changes = diff_rules(published_rules(self.log.text(version)), rules)
        result = self.retry(
            lambda: self.publisher.publish(
                base=current,
                base_parts=parts,
                parts=compile_rules(rules, version=version + 1, now=now, previous=previous),
                rules=change.data,
                author=change.author,
                reason=change.reason,
                at=now,
            )
        )
        if self._published(result, version + 1, digest, now):
            return Outcome(version + 1, True, changes)
        return None

    def _accepted(
        self, change: Change, now: datetime, previous: Mapping[str, ServicePart]
    ) -> RuleSet:
        """Check a rules file against the configuration it replaces.

        :raises InvalidInputError: if there are findings
        """
        findings = FindingList(file=change.file)
        move_ids = existing_move_ids(previous)
        rules = check_rules(change.data, now=now, findings=findings, existing_move_ids=move_ids)
        if not findings:
            check_transition(rules, previous=previous, findings=findings)
            vetoes = self._vetoes(new_moves(rules, previous=previous))
            check_vetoes(rules, vetoes=vetoes, previous=previous, findings=findings)
        if findings:
            raise InvalidInputError(findings.sorted())
        return rules

    def _vetoes(self, moves: Iterable[MoveRule]) -> list[Veto]:
        """Read the recorded vetoes of the versions that moves are to."""
        vetoes = []
        for rule in moves:
            key = veto_key(rule.service, rule.version)
            result = self.retry(lambda key=key: self.publisher.platform.get(key))
            if is_successful(result) or not isinstance(result.failure(), NotFound):
                vetoes.append(decode_veto(require(result).value))
        return vetoes

    def _published(self, result: Result, version: int, digest: str, at: datetime) -> bool:
        """Return whether the version is the one just written, and not that of another."""
        if is_successful(result):
            return True
        error = result.failure()
        if isinstance(error, Conflict):
            # The response to the first attempt may have been lost, and another version may have
            # replaced this one before the next attempt.
            found = self.retry(lambda: self.publisher.record(version))
            if is_successful(found):
                return (found.unwrap().rules_digest, found.unwrap().at) == (digest, at)
            error = found.failure()
        if isinstance(error, Unavailable):
            raise PlatformFailedError(
                f"{describe(error)}; it is not known whether version {version} was published; "
                "the same command can safely be repeated"
            )
        raise PlatformFailedError(describe(error))


def service_parts(parts: Mapping[str, bytes]) -> dict[str, ServicePart]:
    """Decode the service parts of a configuration, by service name."""
    return {
        name.removeprefix(SERVICE_PREFIX): decode_service(part)
        for name, part in parts.items()
        if name.startswith(SERVICE_PREFIX)
    }
