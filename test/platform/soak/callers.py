"""Callers: each keeps one connection to a gateway for many requests, as long as the gateway leaves it open."""

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass

import wire
from history import Call, History

PATIENCE_S = 2.5
OPENING_S = 1.0
READ_BYTES = 16 << 10
SEGMENT_BYTES = 1448  # as on Ethernet; loopback would use 64 KiB


@dataclass
class Door:
    """A gateway as callers see it."""

    number: int
    port: int       # of the proxy in front of it
    life: int = 0
    ready: bool = False
    direct_port: int = 0  # of the gateway itself


@dataclass
class Kind:
    """A kind of request."""

    path: str
    repeatable: bool
    timeout: float
    work_ms: int
    body: int


BULK = Kind("/bulk/", True, 8.0, 30, 0)
LARGEST_ANSWER = 5 << 20
READ_S = (1.0, 4.5)     # time in which an answer is read


class Caller:
    """Sends one request after the other until it is told to end."""

    def __init__(self, number: int, doors: list[Door], kinds: list[Kind], history: History, now, seed: int):
        self._number = number
        self._doors = doors
        self._kinds = kinds
        self._history = history
        self._now = now
        self._random = random.Random(seed)
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._door = doors[0]
        self._life = 0
        self.pause = 0.15

    async def run(self, until: float) -> None:
        """Send until that time."""
        while self._now() < until:
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * self.pause)
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if self._writer is None:
                    await self._connect()
                await self._one()
        self._drop()

    async def send_again(self, target: str, until: float) -> None:
        """Send the same request again and again, each time to some gateway."""
        while self._now() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                self._drop()
                await self._connect()
                await self._one(target)
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
        self._drop()

    async def _connect(self) -> None:
        ready = [door for door in self._doors if door.ready]
        self._door = self._random.choice(ready or self._doors)
        self._life = self._door.life
        self._reader, self._writer = await asyncio.wait_for(self._open(), OPENING_S)

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._door.port)

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _one(self, target: str | None = None) -> None:
        assert self._reader is not None and self._writer is not None
        kind = self._random.choice(self._kinds)
        self._count += 1
        request = f"{self._number}-{self._count}-{self._random.randrange(1 << 30):x}"
        body = b"x" * kind.body if target else self._random.randbytes(kind.body)
        headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.DEADLINE_MS: str(int(PATIENCE_S * 1000)),
                   "x-work-ms": str(kind.work_ms)}
        call = Call(request, self._door.number, self._life, kind.path, kind.repeatable, self._now(), kind.timeout)
        self._history.calls.append(call)
        method = "GET" if kind.repeatable else "POST"
        self._writer.write(wire.request_bytes(method, target or f"{kind.path}{self._count}", headers, body))
        leaves = not target and kind.work_ms > 100 and self._random.random() < 0.15
        patience = kind.work_ms / 2000 if leaves else PATIENCE_S
        try:
            answer = await asyncio.wait_for(wire.read_message(self._reader), patience)
        except asyncio.TimeoutError:
            call.left_at = self._now()
            return self._drop()
        except (OSError, asyncio.IncompleteReadError):
            call.closed_at = self._now()
            return self._drop()
        call.answered_at = self._now()
        call.status = answer.status
        call.signature = answer.headers.get(wire.SIGNATURE, "")
        call.body = answer.body
        if answer.headers.get("connection", "").lower() == "close":
            self._drop()
        if call.status == 503:
            await asyncio.sleep(min(0.5, float(answer.headers.get("retry-after", "0.1"))))


class SlowReader(Caller):
    """Asks for large answers and reads them at the rate of a slow link; connects to gateways directly."""

    async def _one(self, target: str | None = None) -> None:
        assert self._reader is not None and self._writer is not None
        self._count += 1
        request = f"{self._number}-{self._count}-{self._random.randrange(1 << 30):x}"
        size = self._random.randrange(LARGEST_ANSWER)
        reading = self._random.uniform(*READ_S)
        pause = reading / (size / READ_BYTES + 1)
        headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.DEADLINE_MS: str(int(BULK.timeout * 1000)),
                   "x-work-ms": str(BULK.work_ms), "x-answer-bytes": str(size)}
        call = Call(request, self._door.number, self._life, BULK.path, BULK.repeatable, self._now(), BULK.timeout,
                    reading=reading)
        self._history.calls.append(call)
        self._writer.write(wire.request_bytes("GET", f"{BULK.path}{self._count}", headers, b""))
        try:
            async with asyncio.timeout(BULK.timeout + 1):
                answer = await self._read_slowly(pause)
        except asyncio.TimeoutError:
            call.left_at = self._now()
            return self._drop()
        except (OSError, asyncio.IncompleteReadError):
            call.closed_at = self._now()
            return self._drop()
        call.answered_at = self._now()
        call.status, call.body = answer.status, answer.body
        call.signature = answer.headers.get(wire.SIGNATURE, "")
        if answer.headers.get("connection", "").lower() == "close":
            self._drop()

    async def _read_slowly(self, pause: float) -> wire.Message:
        assert self._reader is not None
        message = await wire.read_head(self._reader)
        left = int(message.headers.get("content-length", "0"))
        parts = []
        while left > 0:
            part = await self._reader.read(min(left, READ_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            parts.append(part)
            left -= len(part)
            await asyncio.sleep(pause * len(part) / READ_BYTES)
        message.body = b"".join(parts)
        return message

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        caller.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", self._door.direct_port))
        except OSError:
            caller.close()
            raise
        return await asyncio.open_connection(sock=caller, limit=READ_BYTES)
