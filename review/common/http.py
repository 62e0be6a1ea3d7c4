"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

Address = tuple[str, int]
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}
HEAD_END = b"\r\n\r\n"
# Streams buffer at most this much; heads of the stand-ins are far smaller.
STREAM_LIMIT_BYTES = 256 * 1024


class Message(NamedTuple):
    """A complete request or response.

    :ivar start: the three parts of the first line
    :ivar headers: values by lower-case name
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


class ClosedError(Exception):
    """The connection ended before a complete message."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length, in chunks or without a body.

    :raises ClosedError: if the connection ends first
    """
    try:
        head = await reader.readuntil(HEAD_END)
        lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
        start = (lines[0].split(" ", 2) + ["", ""])[:3]
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ClosedError(type(error).__name__) from error
    return Message((start[0], start[1], start[2]), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request, with a length if it has a body or is a POST or PUT."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


class Connection:
    """A client connection that carries one request at a time."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: Address) -> "Connection":
        """Connect to an address.

        :raises OSError: if that fails
        """
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=STREAM_LIMIT_BYTES), 1.0
        )
        return cls(reader=reader, writer=writer)

    async def exchange(self, data: bytes) -> Message:
        """Send an encoded request and return the response.

        :raises ClosedError: if the connection ends first
        """
        try:
            self.writer.write(data)
            await self.writer.drain()
        except ConnectionError as error:
            raise ClosedError(type(error).__name__) from error
        return await read_message(self.reader)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(Exception):
            self.writer.close()


async def call(address: Address, data: bytes, timeout_s: float) -> Message | None:
    """Send a request on a new connection; return None if there is no response in time."""
    connection = None
    try:
        connection = await Connection.open(address)
        return await asyncio.wait_for(connection.exchange(data), timeout_s)
    except (TimeoutError, OSError, ClosedError):
        return None
    finally:
        if connection is not None:
            connection.close()


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """Accepts connections and runs a handler for each; open ones can be cut.

    :ivar writers: writers of the open connections
    """

    def __init__(self, *, address: Address, handler: Handler):
        self.address = address
        self.handler = handler
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listener."""
        self.server = await asyncio.start_server(
            self._handle, *self.address, limit=STREAM_LIMIT_BYTES, reuse_address=True
        )

    def stop(self) -> None:
        """Close the listener and all open connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.close()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            await self.handler(reader, writer)
        except (ClosedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()
