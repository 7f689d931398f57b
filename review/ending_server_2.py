"""Backend servers on loopback addresses of their own, some of which a machine may have no path to.

A server works WORK_S on a request, on SLOTS at once, and answers it whole. A request with ENDING in its path ends the
server that runs it after `ends_after_s`: nothing listens any more, its connections break, its entry goes after three
heartbeats; DOWN_S later a new incarnation with a new id stands at the same address. A server that ends dark (`dark`: its machine
loses power) says nothing meanwhile: its connections and new ones hang. A server behind a cut resets what comes from the machines
that are cut off, old connections and new ones.
"""

import asyncio
import contextlib
import time

import wire
from store import Store

SLOTS = 3
WORK_S = 0.09
ENDING = "/ends-"
DOWN_S = 4.0
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S


class Server:
    """One server behind one port, through all its incarnations."""

    def __init__(self, number: int, service: str, zone: str, store: Store, ends_after_s: float = 0.03, dark: bool = False):
        self._number = number
        self._service = service
        self._zone = zone
        self._store = store
        self._ends_after_s = ends_after_s
        self._dark = dark
        self._up = asyncio.Event()
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
        if self._listener is None or not self._listener.is_serving():
            self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port, reuse_address=True)
            self.port = self._listener.sockets[0].getsockname()[1]
        self._up.set()
        await self._store.put(f"servers/{self._id}", {
            "Service": self._service, "Address": f"127.0.0.1:{self.port}", "Zone": self._zone, "Version": "v1",
            "Slots": SLOTS, "State": "ready", "WarmupLeftS": 0, "Seq": 1})

    def cut(self, machine: str) -> None:
        """Reset what this machine has open here, and what it opens from now on."""
        self.cut_off.add(machine)
        for writer, owner in list(self._open.items()):
            if owner == machine:
                writer.transport.abort()

    def heal(self) -> None:
        self.cut_off.clear()

    async def _end(self) -> None:
        """End as a process that crashes does, or as a machine that loses power."""
        self._up.clear()
        if not self._dark:
            self._listener.close()
            self._break_connections()
        self.ends.append(time.monotonic())
        asyncio.create_task(self._return(self._id))

    def _break_connections(self) -> None:
        for writer in list(self._open):
            writer.transport.abort()

    async def _return(self, ended: str) -> None:
        await asyncio.sleep(DOWN_S)
        self._break_connections()
        await self.start()
        await asyncio.sleep(max(0.0, LAPSE_S - DOWN_S))
        await self._store.remove(f"servers/{ended}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        owner = writer.get_extra_info("peername")[0]  # the address of a machine
        if owner in self.cut_off:
            writer.transport.abort()
            return
        self._open[writer] = owner
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                if not self._up.is_set():
                    continue
                own = {wire.SERVER_LOAD: f"{SLOTS - self._free._value},0,{SLOTS},100"}
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
                   "ends": ENDING in message.target, "done": False}
        self.arrivals.append(arrival)
        async with self._free:
            await asyncio.sleep(self._ends_after_s if arrival["ends"] else WORK_S)
            if life != self._life or not self._up.is_set():
                return
            if arrival["ends"]:
                await self._end()
                return
            arrival["done"] = True
            writer.write(wire.answer_bytes(200, {**own, wire.SIGNATURE: f"sig.{request}"}, b"status " + request.encode()))
