"""Sending of a request whose body needs the consent of the receiving host."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

R = TypeVar("R")


class Pending(Protocol):
    """What is under way: the question for consent, or the request."""

    def cancel(self) -> None:
        """Stop it."""

    def is_receiving(self) -> bool:
        """Return whether a response has been received in part."""


class TransferSend(Generic[R]):
    """Asks for consent, and sends the request once it is given.

    :param send: sends the request with the identity of the transfer
    :param on_result: called once with the result of the question if there is no consent; otherwise
        ``send`` sees to the result
    :ivar asking: whether the request has not been sent yet
    """

    def __init__(self, *, send: Callable[[bytes], Pending], on_result: Callable[[R], None]):
        self.send = send
        self.on_result = on_result
        self.pending: Pending | None = None
        self.cancelled = False
        self.asking = True

    def on_answer(self, transfer: bytes | None, result: R) -> None:
        """Handle the answer to the question.

        :param transfer: identity of the granted transfer, None without consent
        :param result: result of the attempt without consent
        """
        if self.cancelled:
            return
        if transfer is None:
            self.on_result(result)
        else:
            self.asking = False
            self.pending = self.send(transfer)

    def cancel(self) -> None:
        """Stop whatever is under way."""
        self.cancelled = True
        if self.pending is not None:
            self.pending.cancel()

    def is_receiving(self) -> bool:
        """Return whether the response has been received in part."""
        return self.pending is not None and self.pending.is_receiving()
