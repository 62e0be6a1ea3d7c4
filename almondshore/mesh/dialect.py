"""Interface to the header conventions of callers and targets."""

from abc import ABC, abstractmethod
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from almondshore.http.client import ResponseMatch
from almondshore.http.messages import Headers, Request, Response


class ResponseClass(Enum):
    """Result of a request according to the target's response."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"


class TargetStatement(NamedTuple):
    """What a target says of itself in a response.

    :ivar rate_limit: requests per second that it takes from all nodes together, None if it states
        no limit
    :ivar leaving: whether it is about to leave
    """

    rate_limit: float | None = None
    leaving: bool = False


class Dialect(ABC):
    """Reads and writes the headers that callers and targets understand."""

    @abstractmethod
    def request_id(self, headers: Headers) -> bytes:
        """Return the id of a caller's attempt, empty if the header is missing."""

    @abstractmethod
    def time_left(self, request: Request) -> timedelta | None:
        """Return the time until the caller's deadline, or None if it states none."""

    @abstractmethod
    def keys(self, headers: Headers) -> frozenset[bytes]:
        """Return the distinct tenant keys that a request carries."""

    @abstractmethod
    def without_keys(self, headers: Headers) -> Headers:
        """Return the headers without tenant keys, and without a tenant that the caller names."""

    @abstractmethod
    def to_target(
        self,
        headers: Headers,
        *,
        time_left: timedelta,
        target: str,
        caller: str,
        tenant: str | None = None,
    ) -> Headers:
        """Return the headers of a request to a target.

        :param headers: end-to-end headers of the caller's request
        :param time_left: time until the request's deadline
        :param target: identity of the target
        :param caller: service that sent the request
        :param tenant: tenant of the caller's key, empty without one; None if the configuration
            has no tenants
        """

    @abstractmethod
    def match_response(self, response: Response, request_id: bytes) -> ResponseMatch:
        """Return whether a target's response belongs to the request with this id."""

    @abstractmethod
    def classify_response(self, response: Response) -> ResponseClass:
        """Return whether the request ran and succeeded, according to the target's response."""

    @abstractmethod
    def read_statement(self, response: Response) -> TargetStatement:
        """Return what a target says of itself in a response."""

    @abstractmethod
    def healthy_target(self, response: Response) -> str:
        """Return the identity of the target that reports itself as healthy, empty if it does not.

        :param response: response to a request for the service's health path
        """

    @abstractmethod
    def warmup_left(self, response: Response) -> timedelta | None:
        """Return for how much longer a target says that it is cold, None if it does not say."""

    @abstractmethod
    def to_caller(self, response: Response, *, idempotent: bool) -> Response:
        """Return a target's final response in the form that is sent to the caller.

        A status that callers take as proof that the request has not run is replaced by one that
        makes no such promise.
        """

    @abstractmethod
    def error_response(self, status: int, *, retry_after: timedelta | None = None) -> Response:
        """Return a response that this system generates instead of a target."""
