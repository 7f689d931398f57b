"""The platform's metadata store as a stand-in: ranges, watches with resume and 410, and the ways it fails."""

import asyncio
import base64
import contextlib
import json
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import wire

HISTORY_S = 20.0


class Fault(Enum):
    """What goes wrong with all calls."""

    NONE = "none"
    DOWN = "down"      # 503
    BUSY = "busy"      # 429
    SILENT = "silent"  # no answer
    SLOW = "slow"
    LOST = "lost"      # the connection ends in place of the answer


class Store:
    """Keys with revisions. Operators and servers write by `put` and `remove`, gateways read over HTTP."""

    def __init__(self, now):
        self._now = now
        self._items: dict[str, tuple[int, str]] = {}
        self._changes: list[tuple[float, int, str, str | None]] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self.revision = 1
        self.fault = Fault.NONE
        self.calls = 0
        self.written: list[tuple[float, str]] = []  # by gateways
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, key: str, value: object) -> None:
        """Write an item; the change has been taken when this returns."""
        await self._change(key, json.dumps(value))

    async def put_bytes(self, key: str, value: str) -> None:
        """Write an item as another writer does, whatever it is."""
        await self._change(key, value)

    async def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        if key in self._items:
            await self._change(key, None)

    async def _change(self, key: str, value: str | None) -> None:
        async with self._changed:
            self.revision += 1
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = (self.revision, value)
            self._changes.append((self._now(), self.revision, key, value))
            self._changed.notify_all()

    async def compact(self) -> None:
        """Forget the history."""
        async with self._changed:
            self._forgotten = self.revision
            self._changes.clear()
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                self.calls += 1
                if self.fault == Fault.LOST:
                    break
                if self.fault == Fault.SILENT:
                    await asyncio.sleep(3600)
                if self.fault == Fault.SLOW:
                    await asyncio.sleep(0.3)
                status, body = await self._answer(message.target, message.body)
                writer.write(wire.answer_bytes(status, {"Content-Type": "application/json"},
                                               json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str, body: bytes) -> tuple[int, object]:
        if self.fault == Fault.DOWN:
            return 503, {}
        if self.fault == Fault.BUSY:
            return 429, {}
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/-/kv-range":
            return self._range(query)
        if parts.path == "/-/kv-watch":
            return await self._watch(query)
        if parts.path == "/-/kv-txn":
            return await self._write(json.loads(body))
        return 404, {}

    async def _write(self, change: dict) -> tuple[int, object]:
        for expected in change["ExpectedRev"]:
            if self._items.get(expected["Key"], (0, ""))[0] != expected["Revision"]:
                return 412, {"items": []}
        for put in change["put"]:
            self.written.append((self._now(), put["Key"]))
            await self._change(put["Key"], base64.b64decode(put["Value"]).decode())
        for key in change["Remove"]:
            await self.remove(key)
        return 200, {"Revision": self.revision}

    def _range(self, query: dict[str, str]) -> tuple[int, object]:
        prefix = query.get("PathPrefix", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > query.get("after", ""))
        items = [self._item(key, *self._items[key]) for key in keys]
        return 200, {"items": items, "more": False, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after = int(query.get("after", "0"))
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(int(query.get("WaitMs", "0")) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: self.revision > after or self._forgotten > after)
        self._changes = [change for change in self._changes if change[0] > self._now() - HISTORY_S]
        if self._forgotten > after:
            return 410, {}
        events = [self._item(key, revision, value) if value is not None
                  else {"Key": key, "Revision": revision, "gone": True}
                  for _, revision, key, value in self._changes if revision > after]
        return 200, {"events": events, "at": self.revision}

    @staticmethod
    def _item(key: str, revision: int, value: str) -> dict[str, object]:
        return {"Key": key, "Value": base64.b64encode(value.encode()).decode(), "Revision": revision,
                "made": 1, "lease": 0}
