"""A planned stop of a gateway while callers on slow links read whole answers of servers that are done.

Three callers each send one GET. A server answers each after WORK_S with BODY_BYTES; each caller reads LINK_BYTES_PER_S.
STOP_AFTER_S after the requests the gateway gets SIGTERM (not with TROUBLE=0). GraceS is 6 s, and all answers would be
read 4.8 s after the SIGTERM, before their route's TimeoutS. Rule LOST: a process has read a whole
request, it was passed on, and the connection ends without a complete answer.
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
CALLERS = 3
BODY_BYTES = 4 << 20         # 4 MiB
LINK_BYTES_PER_S = 860_000   # of a caller's link, 7 Mbit/s
READ_BYTES = 16 << 10
RECEIVE_BUFFER_BYTES = 16 << 10
SEGMENT_BYTES = 1448          # as on Ethernet; loopback would use 64 KiB
WORK_S = 0.3
STOP_AFTER_S = 0.2
CONTACT_S = 3.0             # ContactS, and a little more
TIMEOUT_S = 8.0             # TimeoutS of the route and the caller's deadline, as of archive-read on the demands page
DEADLINE_MS = 15000
LONGEST_S = 60.0


class Server:
    """A backend server that answers each request with a large body."""

    def __init__(self, server_id: str, record: common.Record):
        self.id, self.port, self._record = server_id, 0, record

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        own = {wire.INSTANCE_ID: self.id, wire.SERVER_LOAD: "0,0,3,100"}
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                if message.target == wire.HEALTH_PATH:
                    writer.write(wire.answer_bytes(200, own, b""))
                    continue
                request = message.headers[wire.REQUEST_ID]
                self._record(f"server {self.id}: begins {request}")
                await asyncio.sleep(WORK_S)
                writer.write(wire.answer_bytes(200, {wire.REQUEST_ID: request, wire.SIGNATURE: f"sig.{request}", **own},
                                               body_of(request)))
                await writer.drain()
                self._record(f"server {self.id}: has answered {request}")
        writer.close()


def body_of(request: str) -> bytes:
    """The body of the answer to a request."""
    line = f"{request} of a long report\n".encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


async def call(port: int, request: str, record: common.Record) -> tuple[float, bytes]:
    """Send a request and read its answer slowly; when its connection ended or all was read, and what was read."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", port))
        await loop.sock_sendall(caller, wire.request_bytes("GET", "/report/day", {
            "Host": common.HOST, wire.REQUEST_ID: request, wire.DEADLINE_MS: str(DEADLINE_MS)}, b"")
            .replace(b"Content-Length: 0\r\n", b""))
        record(f"caller: sent {request}")
        got = bytearray()
        begun = None
        while len(got) < BODY_BYTES or len(got) - got.index(b"\r\n\r\n") - 4 < BODY_BYTES:
            try:
                part = await loop.sock_recv(caller, READ_BYTES)
            except OSError as error:
                record(f"caller: {request}: {type(error).__name__}")
                break
            if not part:
                record(f"caller: {request}: the connection ended")
                break
            got += part
            begun = begun or time.monotonic()
            await asyncio.sleep(max(0.0, begun + len(got) / LINK_BYTES_PER_S - time.monotonic()))
        return time.monotonic(), bytes(got)


async def play(folder: Path, record: common.Record) -> bool:
    """Play the case once; true when the rule was broken."""
    store = common.Store(time.monotonic)
    await store.start()
    servers = [Server(f"i-{number}", record) for number in range(3)]
    for server in servers:
        await server.start()
        await common.announce(store, server.id, "ledger-view", "khomas-a", server.port)
    await store.put("op/config", common.configuration(
        [common.route("r-report", "/report/", "safe", "ledger-view", TIMEOUT_S, 1.5)], ["ledger-view"]))
    gateways = await common.start_gateways(1, store, folder)
    try:
        await asyncio.sleep(CONTACT_S + 0.5)
        sent_at = time.monotonic()
        requests = [f"c{number:015x}" for number in range(CALLERS)]
        calls = [asyncio.create_task(call(gateways[0].front, request, record)) for request in requests]
        await asyncio.sleep(STOP_AFTER_S)
        if common.trouble():
            record("gateway: SIGTERM")
            gateways[0].terminate()
        answers = await asyncio.gather(*calls)
        broken = False
        for request, (ended_at, got) in zip(requests, answers):
            head, _, body = got.partition(b"\r\n\r\n")
            whole = body == body_of(request)
            age = ended_at - sent_at
            excused = age >= TIMEOUT_S  # the route's timeout or the deadline was reached
            record(f"caller: {request}: {head[:12].decode()!r}, {len(body)} of {BODY_BYTES} bytes, whole={whole}, "
                   f"{age:.2f} s after it was sent")
            broken = broken or (not whole and not excused)
        record(f"gateway: exit code {gateways[0].process.poll()}")
        record("log of the gateway: " + " | ".join(
            line for line in gateways[0].log.read_text().splitlines() if "event=leaving" in line or "event=stopped" in line))
        return broken
    finally:
        for gateway in gateways:
            gateway.end()


sys.exit(common.run_case(CASE, play, LONGEST_S))
