"""Interface through which nodes exchange control messages."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from almondshore.core.messages import Envelope, Send


class Transport(ABC):
    """Sends messages to peers; a message may be lost, but is never truncated or altered."""

    @abstractmethod
    def send(self, item: Send) -> bool:
        """Queue a message for sending, without blocking.

        :return: False if the message was dropped, for example because the peer's buffer is full
        """

    @abstractmethod
    def receive_forever(self, handler: Callable[[Envelope], None]) -> None:
        """Call the handler for each message received until the transport is closed."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets and end ``receive_forever``."""
