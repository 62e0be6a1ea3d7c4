"""Interface to the store that holds the configuration, targets, rollouts and deaths."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Generic, NamedTuple, TypeVar

from returns.result import Result

from almondshore.core.logs import log_event
from almondshore.mesh.model import Address, Death, Evacuation, MeshConfig, Rollout, Target
from almondshore.storage.port import NotFound, RateLimited, Unavailable

T = TypeVar("T")


class HistoryGone(NamedTuple):
    """The store no longer has the changes since a position; a full read is needed."""

    position: int


class Changed(NamedTuple):
    """A conditional write was refused, because the object is at another revision.

    :ivar revision: current revision, 0 if it is not known
    """

    revision: int


class StoreEra:
    """Era of the store, which increases by one each time the store is restored from a copy.

    Revisions of different eras are not comparable. A store that states no era is in era 0; if it
    states one later, the state that was read until then counts as that of an earlier era.

    :ivar number: highest era that is known, None before the first response
    """

    def __init__(self) -> None:
        self.number: int | None = None
        self.listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function, which must not block, each time a new era begins."""
        self.listeners.append(listener)

    def observe(self, number: int | None, *, source: str) -> bool:
        """Note the era of a response; returns whether the response is of the present era.

        :param number: era that the response states, None if it states none
        """
        if number is None:
            # A response without an era comes from a store that states none, or was made on its
            # way; it cannot be told from one of the present era.
            self.number = self.number or 0
            return True
        previous = self.number
        if previous is not None and number < previous:
            log_event("store_era_outdated", era=number, known=previous, source=source)
            return False
        self.number = number
        if previous is not None and number > previous:
            log_event("store_era_began", level="WARNING", era=number, known=previous, source=source)
            for listener in self.listeners:
                listener()
        return True

    def is_outdated(self, number: int | None) -> bool:
        """Return whether an era that another node stated is earlier than the known one."""
        return number is not None and self.number is not None and number < self.number


StoreError = Unavailable | RateLimited | NotFound | HistoryGone | Changed


class Snapshot(NamedTuple, Generic[T]):
    """All items of a feed.

    :ivar position: position to wait from
    """

    position: int
    items: Mapping[str, T]


class Changes(NamedTuple, Generic[T]):
    """Items that changed; a removed one is None.

    :ivar position: position to wait from next
    """

    position: int
    items: Mapping[str, T | None]


class Feed(ABC, Generic[T]):
    """Items of one kind in the store, and their changes."""

    name: str

    @abstractmethod
    def read(self, *, stale: bool = False) -> Result[Snapshot[T], StoreError]:
        """Read all items.

        :param stale: whether they may be seconds old, at a tenth of the cost
        """

    @abstractmethod
    def wait(self, position: int, timeout: timedelta) -> Result[Changes[T], StoreError]:
        """Wait for changes after a position; the result is empty if the timeout passed."""


class MeshStore(ABC):
    """Operations of a node on the store.

    :ivar era: era of the store, as known from its responses and from other nodes
    """

    era: StoreEra
    config: Feed[MeshConfig]
    targets: Feed[Target]
    rollouts: Feed[Rollout]
    deaths: Feed[Death]
    evacuations: Feed[Evacuation]

    @abstractmethod
    def set_address(self, address: Address) -> None:
        """Use the store at another address from now on."""

    @abstractmethod
    def save_target(self, target: Target, revision: int) -> Result[int, StoreError]:
        """Write a target's entry.

        :param revision: revision to replace, 0 to create
        :return: the new revision
        """

    @abstractmethod
    def delete_target(self, name: str, revision: int) -> Result[int, StoreError]:
        """Remove a target's entry if it is at the revision; 0 stands for any."""

    @abstractmethod
    def save_progress(self, rollout: Rollout) -> Result[int, StoreError]:
        """Write the progress of a rollout if its object is still at ``rollout.revision``."""

    @abstractmethod
    def save_death(self, death: Death) -> Result[int, StoreError]:
        """Write the report of a target's death; returns its revision."""

    @abstractmethod
    def delete_death(self, name: str, revision: int) -> Result[int, StoreError]:
        """Remove the report of a target's death."""

    @abstractmethod
    def decode_config(self, raw: bytes) -> MeshConfig | None:
        """Return a configuration from another node, or None if it is not valid."""
