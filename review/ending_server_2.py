"""Backend servers on loopback addresses of their own, some of which a machine may have no path to.

A server works WORK_S on a request, on SLOTS at once, and answers it whole. A request with ENDING in its path ends the
server that runs it after `ends_after_s`: nothing listens any more, its connections break, its entry goes after three
heartbeats; DOWN_S later a new incarnation with a new id stands at the same address. A server behind a cut resets what comes from
the machines that are cut off, old connections and new ones. Otherwise it is sound: it takes MAX_CONNS connections and resets more,
keeps QUEUE requests waiting and rejects more as not executed, rejects what has waited past its deadline, and tells its load.
"""

import asyncio
import contextlib
import time

import wire
from fleet_2 import reset
from store import Store

SLOTS = 3
QUEUE = 6
MAX_CONNS = 260
WORK_S = 0.09
ENDING = "/ends-"
DOWN_S = 4.0
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S


class Server:
    """One server behind one port, through all its incarnations."""

    def __init__(self, number: int, service: str, zone: str, store: Store, ends_after_s: float = 0.03):
        self._number = number
        self._service = service
        self._zone = zone
        self._store = store
        self._ends_after_s = ends_after_s
        self._up = False
        self._running = 0
        self._waiting = 0
        self._life = 0
        self._id = ""
        self._listener: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, str] = {}
        self._free = asyncio.Semaphore(SLOTS)
        self.port = 0
        self.cut_off: set[str] = set()
        self.arrivals: list[dict] = []
        self.ends: list[float] = []

    async def start(self) -> None:
        """Begin a life and announce it."""
        self._life += 1
        self._id = f"i-{self._number}-{self._life}"
        self._free = asyncio.Semaphore(SLOTS)
        self._running = self._waiting = 0
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port, reuse_address=True)
        self.port = self._listener.sockets[0].getsockname()[1]
        self._up = True
        await self._store.put(f"servers/{self._id}", {
            "Service": self._service, "Address": f"127.0.0.1:{self.port}", "Zone": self._zone, "Version": "v1",
            "Slots": SLOTS, "State": "ready", "WarmupLeftS": 0, "Seq": 1})

    def cut(self, machine: str) -> None:
        """Reset what this machine has open here, and what it opens from now on."""
        self.cut_off.add(machine)
        for writer, owner in list(self._open.items()):
            if owner == machine:
                reset(writer)

    def heal(self) -> None:
        self.cut_off.clear()

    async def _end(self) -> None:
        """End as a process that crashes does."""
        self._up = False
        self._listener.close()
        for writer in list(self._open):
            writer.transport.abort()
        self.ends.append(time.monotonic())
        asyncio.create_task(self._return(self._id))

    async def _return(self, ended: str) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start()
        await asyncio.sleep(max(0.0, LAPSE_S - DOWN_S))
        await self._store.remove(f"servers/{ended}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        owner = writer.get_extra_info("peername")[0]  # the address of a machine
        if owner in self.cut_off or len(self._open) >= MAX_CONNS:
            reset(writer)
            return
        self._open[writer] = owner
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                own = {wire.SERVER_LOAD: f"{self._running},{self._waiting},{SLOTS},100"}
                if message.target == wire.HEALTH_PATH:
                    writer.write(wire.answer_bytes(200, {**own, wire.INSTANCE_ID: self._id}, b""))
                    continue
                await self._work(message, writer, own)
        self._open.pop(writer, None)
        writer.close()

    async def _work(self, message: wire.Message, writer: asyncio.StreamWriter, own: dict[str, str]) -> None:
        request, life = message.headers[wire.REQUEST_ID], self._life
        own = {**own, wire.REQUEST_ID: request}
        if message.headers.get(wire.TARGET_INSTANCE, self._id) != self._id:
            writer.write(wire.answer_bytes(421, own, b""))
            return
        arrival = {"id": request, "server": self._id, "at": time.monotonic(), "from": self._open.get(writer, ""),
                   "ends": ENDING in message.target, "begun": False, "done": False}
        self.arrivals.append(arrival)
        if self._waiting >= QUEUE:
            writer.write(wire.answer_bytes(503, {**own, wire.NOT_EXECUTED: "full"}, b""))
            return
        until = arrival["at"] + int(message.headers[wire.DEADLINE_MS]) / 1000
        self._waiting += 1
        async with self._free:
            if life != self._life or not self._up:
                return
            self._waiting -= 1
            if time.monotonic() > until:
                writer.write(wire.answer_bytes(503, {**own, wire.NOT_EXECUTED: "late"}, b""))
                return
            self._running += 1
            arrival["begun"] = True
            await asyncio.sleep(self._ends_after_s if arrival["ends"] else WORK_S)
            if life != self._life or not self._up:
                return
            self._running -= 1
            if arrival["ends"]:
                await self._end()
                return
            arrival["done"] = True
            writer.write(wire.answer_bytes(200, {**own, wire.SIGNATURE: f"sig.{request}"}, b"status " + request.encode()))
