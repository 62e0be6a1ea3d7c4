"""What the simulation of load consists of: interface of the choosers, load, and targets."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.limits.objective import Job, ObjectiveQueue
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.model import LoadReport, Target, TargetState
from almondshore.placement.cost import Features
from almondshore.routing.completion import CompletionChooser

ZERO = timedelta()
ROUTE = "r"
ZONES = ("a", "b", "c")


class Chooser(ABC):
    """Interface of target selection in the simulation; one chooser for each node."""

    zone: str

    @abstractmethod
    def choose(
        self,
        targets: Iterable[Target],
        *,
        route: str,
        objective: timedelta,
        exclude: Collection[str] = (),
        features: Features | None = None,
    ) -> Target | None:
        """Return a target, or None if all are excluded."""

    @abstractmethod
    def started(self, target: str, features: Features | None = None) -> None:
        """Register a request that is sent to a target."""

    @abstractmethod
    def finished(
        self,
        target: str,
        route: str,
        report: LoadReport | None,
        features: Features | None = None,
    ) -> None:
        """Register the end of a request; the report is None if the target did not respond."""


Chooser.register(CompletionChooser)


class ClientBehaviour(NamedTuple):
    """How clients react to refusals, failures and slow responses.

    :ivar max_retries: maximum number of times that a client repeats a refused or failed request
    :ivar honours_retry_after: whether it waits for the retry-after time of a refusal
    :ivar timeout: time after which it abandons a request, None if it waits until the deadline
    """

    max_retries: int = 0
    honours_retry_after: bool = True
    timeout: timedelta | None = None


class Draw(NamedTuple):
    """Properties of one request.

    :ivar kind: under which its end is counted
    :ivar cost: its work, relative to the mean of its load
    """

    kind: str = ""
    path: bytes = b""
    tenant: str = ""
    body_bytes: int = 0
    cost: float = 1.0


PLAIN = Draw()


class Load(NamedTuple):
    """Load of the simulation; times in seconds.

    :ivar per_s: mean arrivals per second
    :ivar seconds: duration of the load
    :ivar work: mean service time on a target of speed 1
    :ivar objective: time in which a response is on time
    :ivar deadline: time after which a response is of no use
    :ivar work_sigma: standard deviation of the logarithm of the work
    :ivar zones: zones of the clients
    :ivar draw: draws the properties of a request, None if all are alike
    :ivar wave: share by which the arrivals of a zone rise and fall, one zone after the other
    :ivar wave_s: period of these waves
    """

    per_s: float
    seconds: float
    work: float = 0.2
    objective: float = 0.6
    deadline: float = 1.2
    work_sigma: float = 0.5
    zones: tuple[str, ...] = ZONES
    behaviour: ClientBehaviour = ClientBehaviour()
    route: str = ROUTE
    draw: Callable[[random.Random], Draw] | None = None
    wave: float = 0.0
    wave_s: float = 10.0


class Server:
    """A target with its request queue and its recorded results.

    :ivar entry: the target as it is listed in the directory
    :ivar queue: the queue of the target's local node, with the service times that it has learned
    :ivar failure_rate: share of the requests that fail
    :ivar unanswered_rate: share of the requests that it starts and never answers
    """

    def __init__(
        self,
        *,
        clock: Clock,
        name: str,
        zone: str,
        speed: float = 1.0,
        failure_rate: float = 0.0,
        unanswered_rate: float = 0.0,
        slots: int = 9,
        link_mbps: float = 0.0,
    ):
        self.entry = Target(
            name, "s", "v1", zone, slots, TargetState.READY, (name, 1), 1, 1, link_mbps
        )
        self.queue = ObjectiveQueue(clock=clock, slots=slots)
        self.recorder = ResultRecorder(clock=clock)
        self.speed = speed
        self.failure_rate = failure_rate
        self.unanswered_rate = unanswered_rate

    def report(self, features: Features, ran: timedelta = ZERO) -> LoadReport:
        """Return the load report that the target's local node would send.

        :param ran: service time of the request that it reports on, 0 if it did not run
        """
        return LoadReport(
            len(self.queue.running),
            len(self.queue.waiting),
            self.queue.slots,
            self.queue.times.expected(Features(features.route)),
            self.recorder.failure_rate(),
            False,
            work=self.queue.work_left(),
            ran=ran,
        )

    def record_unanswered(self, request: Job) -> None:
        """Record a request that was abandoned, as the target's local node does."""
        expected = self.queue.times.observed(request.terms.route)
        self.recorder.record_abandoned(request, expected=expected, warm=True)
