"""Backend servers as stand-ins: slots, a queue, load reports, identity, draining, and the ways they fail."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import rules
import wire
from history import Arrival, History, Leaving
from store import Store

HEARTBEAT_S = 1.5
QUEUE = 6
ENDING = "/ends-"      # in the target of a request that ends the server that runs it
ENDS_AFTER_S = 0.03
SILENT_S = 60.0


@dataclass
class Behaviour:
    """What a server does wrong."""

    slowdown: float = 1.0   # times as long as usual
    delay_s: float = 0.0    # added to the work of each request
    lose: float = 0.0       # share of answers that are lost after the work
    garble: float = 0.0     # share of answers cut short
    extra: float = 0.0      # share of answers followed by a second one
    fail: float = 0.0       # share answered 500
    silent: float = 0.0     # share of requests that are run and never answered
    shed: bool = False      # turns all away as not run
    back_off: float = 0.1   # seconds that it asks for when it turns all away
    leaving: bool = False   # says in its answers that it leaves; the store does not know
    limit: float | None = None  # requests a second that it says it takes from all gateways together


class Server:
    """One server behind one port; a restart makes another instance of it."""

    def __init__(self, number: int, service: str, zone: str, store: Store, history: History, now, seed: int):
        self.number = number
        self.service = service
        self.zone = zone
        self.behaviour = Behaviour()
        self.port = 0
        self.advertised = 0     # port of the proxy in front of it
        self.slots = 3
        self.life = 0
        self.id = ""            # as it announces itself
        self.born = 0           # Unix milliseconds of the start of this life
        self.unreachable: Callable[[bool], Awaitable[None]] | None = None  # told when it stops and begins to listen
        self.running = 0
        self.waiting = 0
        self.draining = False
        self._up = False
        self._store = store
        self._history = history
        self._now = now
        self._random = random.Random(seed)
        self._free = asyncio.Semaphore(self.slots)
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port, for all lives."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def identity(self) -> str:
        """This life among all lives of all servers."""
        return f"{self.id}@{self.born}"

    async def start(self, service: str | None = None, same_id: bool = False) -> None:
        """Begin a life, of another service perhaps, and announce it."""
        self.service = service or self.service
        self.life += 1
        if not same_id or not self.id:
            self.id = f"i-{self.number}-{self.life}"
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.sequence = 0
        self.draining = False
        self.behaviour = Behaviour()
        self._free = asyncio.Semaphore(self.slots)
        if self.unreachable is not None:
            await self.unreachable(False)
        self._up = True
        await self.announce()

    async def announce(self) -> None:
        """Write the own entry."""
        self.sequence += 1
        await self._store.put(f"servers/{self.id}", {
            "Service": self.service, "Address": f"127.0.0.1:{self.advertised}", "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": "draining" if self.draining else "ready", "WarmupLeftS": 0,
            "Seq": self.sequence, "born": self.born})

    async def drain(self) -> None:
        """Say that it leaves."""
        self.draining = True
        await self.announce()
        self._history.leavings.append(Leaving(self.identity, self._now()))

    async def leave(self) -> None:
        """End after having drained."""
        await self._store.remove(f"servers/{self.id}")
        self.crash()

    def crash(self) -> None:
        """End at once; the entry stays until the store lets it lapse."""
        self._up = False
        for writer in list(self._writers):
            writer.transport.abort()

    async def end_under(self, arrival: Arrival) -> None:
        """End at once, as nothing listens any more before the connections break."""
        arrival.executed = arrival.ended_server = True
        arrival.ended_at = self._now()
        self._up = False
        if self.unreachable is not None:
            await self.unreachable(True)
        self.crash()

    async def lapse(self) -> None:
        """Lose the entry in the store."""
        await self._store.remove(f"servers/{self.id}")

    @property
    def up(self) -> bool:
        """It serves."""
        return self._up

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                if message.target == wire.HEALTH_PATH:
                    writer.write(wire.answer_bytes(503 if self.leaving else 200, self._own_headers(), b""))
                    continue
                if not await self._handle(message, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    @property
    def leaving(self) -> bool:
        """Its answers say that it leaves."""
        return self.draining or self.behaviour.leaving

    def _own_headers(self) -> dict[str, str]:
        limit = {} if self.behaviour.limit is None else {wire.SERVER_LIMIT: f"{self.behaviour.limit:.1f}"}
        leaving = {wire.SERVER_LEAVING: "1"} if self.leaving else {}
        return {wire.INSTANCE_ID: self.id, wire.SERVER_LOAD: f"{self.running},{self.waiting},{self.slots},100", **limit, **leaving}

    def _reply(self, writer: asyncio.StreamWriter, arrival: Arrival, status: int, headers: dict[str, str],
               body: bytes) -> bytes:
        arrival.status = status
        arrival.ended_at = self._now()
        arrival.leaving = self.leaving
        answer = wire.answer_bytes(status, {wire.REQUEST_ID: arrival.id, **self._own_headers(), **headers}, body)
        writer.write(answer)
        return answer

    async def _handle(self, message: wire.Message, reader: asyncio.StreamReader,
                      writer: asyncio.StreamWriter) -> bool:
        """Answer one request; false when the connection is to end."""
        request = message.headers.get(wire.REQUEST_ID, "")
        arrival = Arrival(request, self.identity, self.service, self._now())
        arrival.content = message.target if ENDING in message.target else ""
        self._history.arrivals.append(arrival)
        wanted = message.headers.get(wire.TARGET_INSTANCE, self.id)
        if wanted != self.id:
            self._reply(writer, arrival, 421, {wire.NOT_EXECUTED: "other"}, b"")
            return True
        if self.behaviour.shed or self.waiting >= QUEUE:
            arrival.back_off = self.behaviour.back_off
            self._reply(writer, arrival, 503, {wire.NOT_EXECUTED: "full", "Retry-After": f"{arrival.back_off:.1f}"}, b"")
            return True
        life = self.life
        self.waiting += 1
        free = self._free
        await free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            return await self._work(message, arrival, reader, writer, life)
        finally:
            self.running -= 1
            free.release()

    async def _work(self, message: wire.Message, arrival: Arrival, reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter, life: int) -> bool:
        if arrival.content:
            await asyncio.sleep(ENDS_AFTER_S)
            if self._up and life == self.life:
                await self.end_under(arrival)
            return False
        arrival.executed = True
        arrival.work = float(message.headers.get("x-work-ms", "30")) / 1000 * self.behaviour.slowdown
        arrival.work += self.behaviour.delay_s
        left = float(message.headers.get(wire.DEADLINE_MS, "60000")) / 1000
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([closed], timeout=min(arrival.work, left))
        if done:
            arrival.cut_at = self._now()
            return False
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        if life != self.life or not self._up:
            arrival.cut_at = self._now()
            return False
        if arrival.work > left:
            arrival.signature = rules.sign(arrival.server, arrival.id, b"")
            self._reply(writer, arrival, 504, {wire.SIGNATURE: arrival.signature}, b"")
            return True
        return await self._answer(message, arrival, writer)

    async def _answer(self, message: wire.Message, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        chance = self._random.random
        if chance() < self.behaviour.silent:
            await asyncio.sleep(SILENT_S)
            return False
        body = arrival.id.encode() * (1 + self._random.randrange(40)) + message.body
        size = int(message.headers.get("x-answer-bytes", "0"))
        body = body if size == 0 else (body * (size // len(body) + 1))[:size]
        if chance() < self.behaviour.lose:
            arrival.ended_at = self._now()
            return False
        status = 500 if chance() < self.behaviour.fail else 200
        arrival.signature = rules.sign(arrival.server, arrival.id, body)
        if chance() < self.behaviour.garble:
            arrival.ended_at = self._now()
            arrival.status = status
            whole = wire.answer_bytes(status, {wire.REQUEST_ID: arrival.id, wire.SIGNATURE: arrival.signature}, body)
            writer.write(whole[:-max(1, len(body) // 2)])
            return False
        answer = self._reply(writer, arrival, status, {wire.SIGNATURE: arrival.signature}, body)
        if chance() < self.behaviour.extra:
            writer.write(answer)
        return True
