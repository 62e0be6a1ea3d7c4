"""Answers of a host to other nodes that ask to send it a large body."""

import itertools
from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.messages import Headers, Request, Response
from almondshore.http.server import Exchange
from almondshore.limits.objective import Refusal, Refused
from almondshore.mesh.hop import (
    BODY_SIZE_HEADER,
    MILLISECOND,
    TRANSFER_HEADER,
    HopReport,
    HopTerms,
    Outcome,
    encode_report,
)
from almondshore.transfers.queue import Transfer, TransferQueue, TransferTerms

# Transfers that were granted and have not arrived; older ones are forgotten.
MAX_GRANTED = 64
MAX_SIZE_DIGITS = 9
_NUMBERS = itertools.count(1)


class BodyTransfer(Transfer):
    """A body that another node asks to send.

    :ivar identity: names the transfer to the node that was granted it
    """

    def __init__(
        self,
        *,
        receiver: "TransferReceiver",
        exchange: Exchange,
        hop_terms: HopTerms,
        terms: TransferTerms,
    ):
        self.receiver = receiver
        self.exchange = exchange
        self.hop_terms = hop_terms
        self.terms = terms
        self.identity = b"%016x" % next(_NUMBERS)

    def grant(self) -> None:
        """Let the other node send the request with its body."""
        self.receiver.grant(self)

    def refuse(self, retry_after: timedelta) -> None:
        """Refuse the request: the link has no room for its body in time."""
        self.receiver.refuse(self.exchange, self.hop_terms, Refusal.OVERLOADED, retry_after)


class TransferReceiver:
    """Grants and refuses bodies, by the slots of the local target and by the host's link.

    :param judge: returns the expected time from the arrival of a request to its response, or why it
        would be refused
    :param report: makes the report of an answer; its arguments are those of a refusal
    :param request_id: returns the id of a request
    :ivar queue: order in which bodies may be sent, None without a limit
    :ivar granted: transfers that were granted and have not arrived, by identity
    :ivar on_refusal: called with the reason of each refusal
    """

    def __init__(
        self,
        *,
        clock: Clock,
        judge: Callable[[HopTerms], timedelta | Refused],
        report: Callable[[HopTerms, Outcome, str, timedelta], HopReport],
        request_id: Callable[[Headers], bytes],
    ):
        self.clock = clock
        self.judge = judge
        self.report = report
        self.request_id = request_id
        self.queue: TransferQueue | None = None
        self.granted: dict[bytes, BodyTransfer] = {}
        self.on_refusal: Callable[[str], None] = lambda _reason: None

    def handle(self, exchange: Exchange, terms: HopTerms) -> bool:
        """Answer a request that asks to send a body, at once or when the link has room.

        :return: whether the request is such a question
        """
        size = exchange.request.header(BODY_SIZE_HEADER)
        if size is None:
            return False
        if not size.isdigit() or len(size) > MAX_SIZE_DIGITS:
            exchange.respond(Response(400))
            return True
        run_time = self.judge(terms)
        if isinstance(run_time, Refused):
            self.refuse(exchange, terms, run_time.reason, run_time.retry_after)
            return True
        objective_at = self.clock.monotonic() + terms.objective_ms * MILLISECOND
        transfer = BodyTransfer(
            receiver=self,
            exchange=exchange,
            hop_terms=terms,
            terms=TransferTerms(int(size), terms.urgency, objective_at, run_time),
        )
        if self.queue is None:
            transfer.grant()
            return True
        exchange.on_cancel = lambda: self.queue.cancel(transfer)
        self.queue.offer(transfer)
        return True

    def arrived(self, request: Request) -> None:
        """Record that a request has arrived with its body, if it belongs to a transfer."""
        transfer = self.granted.pop(request.header(TRANSFER_HEADER) or b"", None)
        if transfer is not None and self.queue is not None:
            self.queue.finish(transfer)

    def grant(self, transfer: BodyTransfer) -> None:
        """Answer that a body may be sent."""
        while len(self.granted) >= MAX_GRANTED:
            del self.granted[next(iter(self.granted))]
        self.granted[transfer.identity] = transfer
        report = self.report(transfer.hop_terms, Outcome.GRANTED, "", timedelta())
        headers = (encode_report(report), (TRANSFER_HEADER, transfer.identity))
        transfer.exchange.respond(Response(200, headers))

    def refuse(
        self, exchange: Exchange, terms: HopTerms, reason: str, retry_after: timedelta
    ) -> None:
        """Answer that a body is not wanted."""
        self.on_refusal(reason)
        log_event(
            "transfer_refused",
            request=self.request_id(exchange.request.headers).decode("latin-1"),
            route=terms.route,
            reason=reason,
            retry_after_ms=int(retry_after / MILLISECOND),
            waiting=len(self.queue.waiting) if self.queue is not None else 0,
        )
        report = self.report(terms, Outcome.REFUSED, str(reason), retry_after)
        exchange.respond(Response(503, (encode_report(report),)))
