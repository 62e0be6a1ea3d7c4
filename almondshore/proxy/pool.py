"""Pooled HTTP connections to the next hop."""

import socket
import time
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    IncompleteRead,
    NewConnectionError,
    ReadTimeoutError,
)

from almondshore.proxy.headers import REQUEST_ID, Headers

READ_CHUNK_BYTES = 64 * 1024


class ExchangeFailureKind(Enum):
    """Why an exchange with the next hop failed."""

    NOT_SENT = "not-sent"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "cut"
    TOO_LARGE = "too-large"
    MISMATCHED = "mismatched"


class Reply(NamedTuple):
    """A complete response of the next hop."""

    status: int
    headers: Headers
    body: bytes


class ExchangeFailure(NamedTuple):
    """A request without a complete response.

    :ivar kind: ``NOT_SENT`` only if no byte of the request was sent
    :ivar responded: whether the next hop had begun to respond and hence had run the request
    """

    kind: ExchangeFailureKind
    responded: bool
    detail: str


class HopPool:
    """Pools connections to the next hops and exchanges complete requests and responses.

    A connection returns to the pool only after its response was read to the end, so that a later
    request never receives bytes of an earlier response.
    """

    def __init__(
        self,
        *,
        max_hosts: int,
        connections_per_host: int,
        connect_timeout: timedelta,
        max_response_bytes: int,
    ):
        self.connect_timeout = connect_timeout
        self.max_response_bytes = max_response_bytes
        self.manager = urllib3.PoolManager(
            num_pools=max_hosts, maxsize=connections_per_host, block=False, retries=False
        )

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        timeout: timedelta,
        request_id: str = "",
    ) -> Reply | ExchangeFailure:
        """Send a request and read its complete response within the timeout.

        :param address: ``ip:port`` of the next hop
        :param path: path with query, as sent
        :param request_id: id that the response must carry, unless empty. After a response with
            another id the connection is closed, since later ones would be mismatched too.
        """
        timeout_s = timeout.total_seconds()
        deadline_s = time.monotonic() + timeout_s
        try:
            host, _, port = address.rpartition(":")
            response = self.manager.connection_from_host(host, int(port)).urlopen(
                method,
                path,
                body=body,
                headers=urllib3.HTTPHeaderDict(headers),
                timeout=urllib3.Timeout(
                    connect=min(self.connect_timeout.total_seconds(), timeout_s), total=timeout_s
                ),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                assert_same_host=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return ExchangeFailure(ExchangeFailureKind.NOT_SENT, False, str(error))
        except ReadTimeoutError as error:
            return ExchangeFailure(ExchangeFailureKind.TIMEOUT, False, str(error))
        except (HTTPError, OSError) as error:
            return ExchangeFailure(ExchangeFailureKind.CONNECTION_LOST, False, str(error))
        if request_id and response.headers.get(REQUEST_ID) != request_id:
            response.close()
            detail = "the response belongs to another request"
            return ExchangeFailure(ExchangeFailureKind.MISMATCHED, True, detail)
        return self._read_response(response, lambda: time.monotonic() > deadline_s)

    def is_listening(self, address: str) -> bool:
        """Return whether a server accepts connections at an address.

        Returns False only if the connection is refused; after any other error, a server may still
        be listening.
        """
        host, _, port = address.rpartition(":")
        try:
            connection = socket.create_connection(
                (host, int(port)), timeout=self.connect_timeout.total_seconds()
            )
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        connection.close()
        return True

    def _read_response(
        self, response: urllib3.BaseHTTPResponse, is_expired: Callable[[], bool]
    ) -> Reply | ExchangeFailure:
        chunks: list[bytes] = []
        size = 0
        failure = None
        try:
            for chunk in response.stream(READ_CHUNK_BYTES, decode_content=False):
                chunks.append(chunk)
                size += len(chunk)
                if size > self.max_response_bytes:
                    detail = f"the response has more than {self.max_response_bytes} bytes"
                    failure = ExchangeFailure(ExchangeFailureKind.TOO_LARGE, True, detail)
                    break
                if is_expired():
                    failure = ExchangeFailure(ExchangeFailureKind.TIMEOUT, True, "deadline passed")
                    break
        except ReadTimeoutError as error:
            failure = ExchangeFailure(ExchangeFailureKind.TIMEOUT, True, str(error))
        except (IncompleteRead, HTTPError, OSError) as error:
            failure = ExchangeFailure(ExchangeFailureKind.CONNECTION_LOST, True, str(error))
        if failure is not None:
            response.close()
            return failure
        response.release_conn()
        return Reply(response.status, list(response.headers.items()), b"".join(chunks))

    def close(self) -> None:
        """Close all connections."""
        self.manager.clear()
