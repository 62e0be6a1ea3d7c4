"""Stand-in for the platform's metadata store."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote

from common.http import Address, Message, Server, encode_response, read_message

OBJECTS = "/objects/"
JSON = {"Content-Type": "application/json"}
# Changes kept for watches; far more than a case makes.
MAX_HISTORY = 10_000


class Store:
    """Objects by kind and name with revisions, conditional writes and watches.

    :ivar history: revision, kind, object and whether it was removed, for each change
    """

    def __init__(self, *, address: Address):
        self.server = Server(address=address, handler=self._serve)
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        """Open the listener."""
        await self.server.start()

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as the operator does."""
        current = self.get(kind, name)
        await self._store(kind, name, spec, current["status"] if current else None, [])

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, None if there is none of this name."""
        return self.objects.get(kind, {}).get(name)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_message(reader)
            status, document = await self._handle(request)
            body = b"" if document is None else json.dumps(document).encode()
            writer.write(encode_response(status, JSON, body))
            await writer.drain()

    async def _handle(self, request: Message) -> tuple[int, object]:
        method, target, _ = request.start
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.removeprefix(OBJECTS).split("/")]
        options = {key: values[0] for key, values in parse_qs(query).items()}
        if method == "GET":
            return await self._read(parts, options)
        return await self._write(method, parts, options, request.body)

    async def _read(self, parts: list[str], options: dict[str, str]) -> tuple[int, object]:
        kind = parts[0]
        if "watch" in options:
            return await self._watch(kind, int(options["watch"]), options)
        if len(parts) > 1:
            item = self.get(kind, parts[1])
            return (200, item) if item else (404, None)
        after = options.get("after", "")
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name] for name in names]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def _watch(self, kind: str, since: int, options: dict[str, str]) -> tuple[int, object]:
        if self.history and since < self.history[0][0] - 1:
            return 410, None

        def events() -> list[dict[str, Any]]:
            return [
                {"object": item, "removed": removed}
                for revision, item_kind, item, removed in self.history
                if revision > since and item_kind == kind
            ]

        wait_s = int(options.get("wait_ms", "0")) / 1000
        try:
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(lambda: bool(events())), wait_s)
        except TimeoutError:
            pass
        return 200, {"events": events(), "current_rev": self.revision}

    async def _write(
        self, method: str, parts: list[str], options: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        document = json.loads(body) if body else {}
        metadata = document.get("metadata") or {}
        kind, name = parts[0], parts[1] if len(parts) > 1 else metadata["name"]
        current = self.get(kind, name)
        finalizers = metadata.get("finalizers") or []
        if method == "POST":
            if current is not None:
                return 409, current
            return 201, await self._store(kind, name, document.get("spec"), None, finalizers)
        if current is None:
            return 404, None
        expected = int(options.get("revision") or metadata.get("revision") or 0)
        if expected and expected != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            return 200, await self._remove(kind, name)
        spec, status = document.get("spec"), current["status"]
        if len(parts) > 2 and parts[2] == "status":
            spec, status = current["spec"], document.get("status")
            finalizers = current["metadata"]["finalizers"]
        return 200, await self._store(kind, name, spec, status, finalizers)

    async def _store(
        self, kind: str, name: str, spec: object, status: object, finalizers: list[str]
    ) -> dict[str, Any]:
        current = self.get(kind, name)
        if current is not None and (current["spec"], current["status"]) == (spec, status):
            return current
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": current["metadata"]["create_rev"] if current else self.revision,
            "finalizers": finalizers,
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = item
        await self._append(kind, item, removed=False)
        return item

    async def _remove(self, kind: str, name: str) -> dict[str, Any]:
        item = self.objects[kind].pop(name)
        self.revision += 1
        await self._append(kind, item, removed=True)
        return item

    async def _append(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        del self.history[:-MAX_HISTORY]
        async with self.changed:
            self.changed.notify_all()
