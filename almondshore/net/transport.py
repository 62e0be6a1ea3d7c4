"""The port through which nodes exchange control messages."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from almondshore.core.messages import Envelope, Send


class Transport(ABC):
    """Sends whole messages to peers; a message may be lost, never cut or changed."""

    @abstractmethod
    def send(self, item: Send) -> bool:
        """Hand a message to the transport without waiting.

        :returns: False if the message was dropped because the peer's buffer is full
        """

    @abstractmethod
    def receive_forever(self, handler: Callable[[Envelope], None]) -> None:
        """Call the handler for each message received until the transport is closed."""

    @abstractmethod
    def close(self) -> None:
        """Release all sockets."""
