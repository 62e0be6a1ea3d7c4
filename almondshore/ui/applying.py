"""Publishing of a rules file on top of the version in force."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.errors import UserError
from almondshore.platform.port import Conflict, Platform, Unavailable
from almondshore.rules.compile import SERVICE_PREFIX, compile_rules, decode_service
from almondshore.rules.model import RuleSet
from almondshore.ui.platform_errors import require
from almondshore.versions.publish import Publisher

ATTEMPTS = 4
FIRST_RETRY_DELAY = timedelta(milliseconds=200)


class ConflictError(UserError):
    """Another operator published a version in between."""


class Outcome(NamedTuple):
    """The version that holds the rules, and whether this call created it."""

    version: int
    created: bool


class Applier:
    """Publishes rules; a repeat with the same rules changes nothing."""

    def __init__(self, *, platform: Platform, clock: Clock, wait: Callable[[timedelta], None]):
        self.publisher = Publisher(platform=platform)
        self.clock = clock
        self.wait = wait

    def apply(
        self, *, data: bytes, rules: RuleSet, author: str, reason: str, base: int | None
    ) -> Outcome:
        """Publish rules as the successor of the head.

        :param base: version that the rules were edited from; None for the head
        :raises ConflictError: if another operator changed the rules since
        :raises UserError: if the platform fails
        """
        current = require(self._retry(self.publisher.current))
        version = current.head.version
        if version and data == require(self._retry(lambda: self.publisher.rules_text(version))):
            return Outcome(version, created=False)
        if base is not None and base != version:
            raise ConflictError(f"version {version} by {current.head.author} is newer than {base}")
        base_parts = require(self._retry(lambda: self.publisher.parts(version)))
        now = self.clock.now()
        previous = {
            name.removeprefix(SERVICE_PREFIX): decode_service(part)
            for name, part in base_parts.items()
            if name.startswith(SERVICE_PREFIX)
        }
        parts = compile_rules(rules, version=version + 1, now=now, previous=previous)
        result = self._retry(
            lambda: self.publisher.publish(
                base=current,
                base_parts=base_parts,
                parts=parts,
                rules=data,
                author=author,
                reason=reason,
                at=now,
            )
        )
        if not is_successful(result) and isinstance(result.failure(), Conflict):
            raise ConflictError("another operator published a version at the same time")
        return Outcome(require(result).version, created=True)

    def _retry(self, call: Callable[[], Result]) -> Result:
        """Repeat a call while the platform does not answer, a bounded number of times."""
        delay = FIRST_RETRY_DELAY
        for _ in range(ATTEMPTS - 1):
            result = call()
            if is_successful(result) or not isinstance(result.failure(), Unavailable):
                return result
            self.wait(delay)
            delay *= 2
        return call()
