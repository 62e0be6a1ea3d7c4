"""Port to what callers and targets say in headers."""

from abc import ABC, abstractmethod
from datetime import timedelta
from enum import Enum

from almondshore.http.messages import Headers, Request, Response


class ResponseClass(Enum):
    """What a response of a target says about the request."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"


class Dialect(ABC):
    """Reads and writes the headers of callers and targets."""

    @abstractmethod
    def request_id(self, headers: Headers) -> bytes:
        """Return the id of a caller's attempt, empty if it has none."""

    @abstractmethod
    def time_left(self, request: Request) -> timedelta | None:
        """Return how long the caller waits, or None if it does not say."""

    @abstractmethod
    def to_target(
        self, headers: Headers, *, time_left: timedelta, target: str, caller: str
    ) -> Headers:
        """Return the headers of a request to a target.

        :param headers: end-to-end headers of the caller's request
        """

    @abstractmethod
    def matches_request(self, response: Response, request_id: bytes) -> bool:
        """Tell whether a target's response answers the request with this id."""

    @abstractmethod
    def classify_response(self, response: Response) -> ResponseClass:
        """Return what a target's response says about the request."""

    @abstractmethod
    def to_caller(self, response: Response, *, idempotent: bool) -> Response:
        """Return a target's final response as the caller may see it.

        A status that tells callers that the request has not run is replaced by one that tells
        nothing.
        """

    @abstractmethod
    def error_response(self, status: int, *, retry_after: timedelta | None = None) -> Response:
        """Return a response of the system's own."""
