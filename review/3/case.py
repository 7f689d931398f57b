"""A caller that asks for `100 Continue` and does not read holds up the whole process.

The slow caller sends safe requests with a small body and `Expect: 100-continue` on a few connections, head first, then
the body, and reads none of the answers (with TROUBLE=0 it reads them all). When a connection takes no more, it opens
another one, for SLOW_CALLER_S at most. Meanwhile other callers send a GET each EVERY_S on connections of their own, and
the gateway is asked for its readiness each second, as the platform does. Rule CONFIG: of the requests that are still
unanswered at their route's TimeoutS, more than half have no answer half a second later.
"""

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common  # noqa: E402
import wire  # noqa: E402

CASE = Path(__file__).resolve().parent
CALLERS = 8
EVERY_S = 0.2
WORK_S = 0.02
TIMEOUT_S = 2.0              # TimeoutS of the route, as of price-lookup of the site
AFTER_TIMEOUT_S = 0.5        # the rule's
DEADLINE_MS = 4000           # the callers'
CONTACT_S = 3.0
SLOW_CALLER_S = 40.0         # longest time for which the slow caller tries
SEGMENT_BYTES = 536          # of the slow caller's link
RECEIVE_BUFFER_BYTES = 4096  # of the slow caller
FIRST_BYTES = 30_000         # of the first answer on each of its connections, and
STEP_BYTES = 20              # so many more on each further one: less than a `100 Continue`, which takes 25
CONNECTIONS = 6              # of the slow caller at once
PAUSE_S = 0.001              # between the head and the body, and before the next request
NO_PROGRESS_S = 0.6          # without a request at a server: the connection takes no more
WATCH_S = 8.0                # after the gateway has fallen silent
LONGEST_S = 100.0


class Server:
    """A backend server; what the slow caller asks for has no content."""

    ran: dict[str, asyncio.Event] = {}  # of the slow caller's requests

    def __init__(self, server_id: str):
        self.id, self.port = server_id, 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        own = {wire.INSTANCE_ID: self.id, wire.SERVER_LOAD: "0,0,6,100"}
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                if message.target == wire.HEALTH_PATH:
                    writer.write(wire.answer_bytes(200, own, b""))
                    continue
                request = message.headers[wire.REQUEST_ID]
                signed = {wire.REQUEST_ID: request, wire.SIGNATURE: f"s.{request}"}
                if message.first.startswith("POST"):
                    lines = ["HTTP/1.1 204 No Content", *(f"{name}: {value}" for name, value in signed.items())]
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                elif request in Server.ran:
                    writer.write(wire.answer_bytes(200, {**signed, **own}, b"." * int(message.target.rpartition("/")[2])))
                else:
                    await asyncio.sleep(WORK_S)
                    writer.write(wire.answer_bytes(200, {**signed, **own}, request.encode()))
                if request in Server.ran:
                    Server.ran[request].set()
        writer.close()


class SlowCaller:
    """Sends requests one after the other on a few connections and does not read the answers."""

    def __init__(self, port: int, servers: list[Server], record: common.Record):
        self._port, self._servers, self._record = port, servers, record
        self._sent = 0
        self.connections: list[socket.socket] = []

    async def run(self, until: float, silent: asyncio.Event) -> None:
        """Go on with new connections until the gateway falls silent."""
        async def one_after_the_other() -> None:
            while time.monotonic() < until and not silent.is_set():
                await self._use_connection(until, silent)

        await asyncio.gather(*(one_after_the_other() for _ in range(CONNECTIONS)))

    async def _use_connection(self, until: float, silent: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self.connections.append(caller)
        number = len(self.connections)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller.setblocking(False)
        reading = None
        rounds = 0
        try:
            async with asyncio.timeout(1):
                await loop.sock_connect(caller, ("127.0.0.1", self._port))
            if not common.trouble():
                reading = asyncio.create_task(self._read(caller))
            await self._ask(caller, f"GET /price/{FIRST_BYTES + number * STEP_BYTES} HTTP/1.1", "")
            while time.monotonic() < until and not silent.is_set():
                if not await self._ask(caller, "POST /price/stock HTTP/1.1", "x"):
                    self._record(f"slow caller: connection {number} takes no more after {rounds} requests")
                    return
                rounds += 1
        except (OSError, TimeoutError) as error:
            self._record(f"slow caller: connection {number}: {type(error).__name__} {error}")
            await asyncio.sleep(0.1)
        finally:
            if reading is not None:
                reading.cancel()

    async def _ask(self, caller: socket.socket, first: str, body: str) -> bool:
        """Send a request, with a body after its head; false when no server has run it in time."""
        loop = asyncio.get_running_loop()
        self._sent += 1
        request = f"e{self._sent:015x}"
        lines = [first, f"Host: {common.HOST}", f"{wire.REQUEST_ID}: {request}", f"{wire.DEADLINE_MS}: {DEADLINE_MS}"]
        if body:
            lines += [f"Content-Length: {len(body)}", "Expect: 100-continue"]
        ran = Server.ran[request] = asyncio.Event()
        await loop.sock_sendall(caller, ("\r\n".join(lines) + "\r\n\r\n").encode())
        if body:
            await asyncio.sleep(PAUSE_S)
            await loop.sock_sendall(caller, body.encode())
        try:
            await asyncio.wait_for(ran.wait(), NO_PROGRESS_S)
        except TimeoutError:
            return False
        await asyncio.sleep(PAUSE_S)
        return True

    @staticmethod
    async def _read(caller: socket.socket) -> None:
        while await asyncio.get_running_loop().sock_recv(caller, 65536):
            pass

    def leave(self) -> None:
        """Close all connections."""
        for caller in self.connections:
            caller.close()


class Callers:
    """Ordinary callers, each with one connection that it keeps, one request at a time."""

    def __init__(self, port: int):
        self._port = port
        self.calls: list[dict] = []  # request, sent, ended (None: not answered), status
        self.stop = asyncio.Event()

    async def run(self, number: int) -> None:
        """Send a request each EVERY_S."""
        count = 0
        reader = writer = None
        while not self.stop.is_set():
            count += 1
            call = {"request": f"{number:02x}{count:014x}", "sent": time.monotonic(), "ended": None, "status": None}
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    if writer is None:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                        call["sent"] = time.monotonic()
                    writer.write(wire.request_bytes("GET", "/price/look", {
                        "Host": common.HOST, wire.REQUEST_ID: call["request"], wire.DEADLINE_MS: str(DEADLINE_MS)}, b""))
                    self.calls.append(call)
                    answer = await wire.read_message(reader)
                call["ended"], call["status"] = time.monotonic(), answer.status
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if writer is not None:
                    writer.close()
                reader = writer = None
            await asyncio.sleep(EVERY_S)


async def watch_readiness(gateway: common.Gateway, silent: asyncio.Event, record: common.Record) -> None:
    """Ask each second; two misses in a row put the gateway out."""
    misses = 0
    while True:
        good = await gateway.is_ready()
        misses = 0 if good else misses + 1
        if misses == 2:
            record("readiness: two questions in a row without an answer")
            silent.set()
        await asyncio.sleep(1)


async def play(folder: Path, record: common.Record) -> bool:
    """Play the case once; true when the rule was broken."""
    store = common.Store(time.monotonic)
    await store.start()
    servers = [Server(f"i-{number}") for number in range(3)]
    for server in servers:
        await server.start()
        await common.announce(store, server.id, "catalogue", "khomas-a", server.port, slots=6)
    await store.put("op/config", common.configuration(
        [common.route("r-price", "/price/", "safe", "catalogue", TIMEOUT_S, 0.6)], ["catalogue"]))
    gateways = await common.start_gateways(1, store, folder)
    gateway = gateways[0]
    slow = SlowCaller(gateway.front, servers, record)
    tasks = []
    try:
        callers = Callers(gateway.front)
        tasks = [asyncio.create_task(callers.run(number)) for number in range(CALLERS)]
        await asyncio.sleep(CONTACT_S + 0.5)
        silent = asyncio.Event()
        tasks.append(asyncio.create_task(watch_readiness(gateway, silent, record)))
        begun = time.monotonic()
        record("slow caller: begins")
        await slow.run(begun + SLOW_CALLER_S, silent)
        record(f"slow caller: used {len(slow.connections)} connections, reads {'none' if common.trouble() else 'all'} of its answers")
        await asyncio.sleep(WATCH_S)
        judged_at = time.monotonic()
        record(f"gateway: process state {state_of(gateway)}, exit code {gateway.process.poll()}")
        slow.leave()
        await asyncio.sleep(2)
        record(f"gateway: ready {await gateway.is_ready()} 2 s after the slow caller has left")
        callers.stop.set()
        return judge(callers.calls, begun, judged_at, record)
    finally:
        slow.leave()
        for task in tasks:
            task.cancel()
        for item in gateways:
            item.end()


def state_of(gateway: common.Gateway) -> str:
    """What the process does, as the system tells."""
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    return next(line.split(":")[1].strip() for line in status.splitlines() if line.startswith("State"))


def judge(calls: list[dict], begun: float, judged_at: float, record: common.Record) -> bool:
    """Whether most requests that are unanswered at TimeoutS have no answer half a second later."""
    at_timeout = late = answered = 0
    for call in calls:
        if call["sent"] < begun or call["sent"] + TIMEOUT_S + AFTER_TIMEOUT_S > judged_at:
            continue
        took = float("inf") if call["ended"] is None else call["ended"] - call["sent"]
        answered += took <= TIMEOUT_S
        at_timeout += took > TIMEOUT_S
        late += took > TIMEOUT_S + AFTER_TIMEOUT_S
        if took > TIMEOUT_S:
            record(f"caller: {call['request']}: sent {call['sent'] - begun:.3f} s after the slow caller began, "
                   f"status {call['status']}, took {took:.3f} s")
    record(f"other callers: {answered} requests answered within TimeoutS, {at_timeout} not; of these {late} without an "
           f"answer {AFTER_TIMEOUT_S} s later")
    return late * 2 > at_timeout


sys.exit(common.run_case(CASE, play, LONGEST_S))
