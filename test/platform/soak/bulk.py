"""A backend server with large, late, unframed and paused answers, and callers that read at a rate or not at all."""

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass, field

import wire
from store import Store

RECEIVE_BUFFER_BYTES = 16 << 10
SEGMENT_BYTES = 1448  # as on Ethernet; loopback would use 64 KiB
READ_BYTES = 16 << 10
HEAD_END = b"\r\n\r\n"


@dataclass
class Answer:
    """How the server answers; part of the target of the request."""

    size: int
    wait_ms: int = 0        # before the first byte
    form: str = "length"    # "length", "chunked" or "end": until the connection ends
    pause_ms: int = 0       # in the middle of the body

    def target(self) -> str:
        """The target that asks for this answer."""
        return f"/bulk/{self.size}/{self.wait_ms}/{self.form}/{self.pause_ms}"

    @staticmethod
    def of(target: str) -> "Answer":
        """The answer that a target asks for."""
        _, _, size, wait_ms, form, pause_ms = target.split("/")
        return Answer(int(size), int(wait_ms), form, int(pause_ms))


def body_of(request: str, size: int) -> bytes:
    """The body of the answer to a request."""
    line = f"{request} of a long report\n".encode()
    return (line * (size // len(line) + 1))[:size]


class BulkServer:
    """A server that answers as its requests ask."""

    def __init__(self, identity: str, slots: int = 100):
        self.id = identity
        self.port = 0
        self.slots = slots

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def announce(self, store: Store, service: str, zone: str, port: int) -> None:
        """Write the own entry, with the port that gateways connect to."""
        await store.put(f"servers/{self.id}", {
            "Service": service, "Address": f"127.0.0.1:{port}", "Zone": zone, "Version": "v1",
            "Slots": self.slots, "State": "ready", "WarmupLeftS": 0, "Seq": 1, "born": 1})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        own = {wire.INSTANCE_ID: self.id, wire.SERVER_LOAD: f"0,0,{self.slots},100"}
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                if message.target == wire.HEALTH_PATH:
                    writer.write(wire.answer_bytes(200, own, b""))
                    continue
                if not await self._answer(message, own, writer):
                    break
        writer.close()

    async def _answer(self, message: wire.Message, own: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        wanted = Answer.of(message.target)
        request = message.headers[wire.REQUEST_ID]
        await asyncio.sleep(wanted.wait_ms / 1000)
        body = body_of(request, wanted.size)
        framing = {"length": f"Content-Length: {len(body)}\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "end": ""}
        fields = {wire.REQUEST_ID: request, wire.SIGNATURE: f"sig.{request}", **own}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{framing[wanted.form]}{lines}\r\n".encode())
        half = len(body) // 2
        for part, is_last in ((body[:half], False), (body[half:], True)):
            chunked = wanted.form == "chunked" and part
            writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n" if chunked else part)
            await writer.drain()
            if not is_last:
                await asyncio.sleep(wanted.pause_ms / 1000)
        if wanted.form == "chunked":
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return wanted.form != "end"


@dataclass
class Got:
    """What a caller got for one request."""

    request: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    body_bytes: int = 0


@dataclass
class SlowCaller:
    """A caller on a connection of its own."""

    port: int
    bytes_per_s: float           # 0: does not read
    answers: list[Got] = field(default_factory=list)
    chatter: bytes = b""         # sent on while answers are read
    deadline_ms: int = 15000

    async def ask(self, wanted: list[tuple[str, Answer]], longest_s: float = 12.0) -> list[Got]:
        """Send all requests at once, read their answers one after the other."""
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            caller.setblocking(False)
            await loop.sock_connect(caller, ("127.0.0.1", self.port))
            for request, answer in wanted:
                await loop.sock_sendall(caller, wire.request_bytes("GET", answer.target(), {
                    "Host": "soak.example", wire.REQUEST_ID: request, wire.DEADLINE_MS: str(self.deadline_ms)}, b""))
                self.answers.append(Got(request, time.monotonic()))
            with contextlib.suppress(asyncio.TimeoutError, OSError):
                async with asyncio.timeout(longest_s):
                    await self._read(caller, wanted)
        return self.answers

    async def _read(self, caller: socket.socket, wanted: list[tuple[str, Answer]]) -> None:
        loop = asyncio.get_running_loop()
        if self.bytes_per_s == 0:
            await asyncio.sleep(3600)
        got = bytearray()
        taken = 0
        begun = None
        for (request, answer), record in zip(wanted, self.answers):
            expected = body_of(request, answer.size)
            while True:
                head_end = got.find(HEAD_END)
                record.body_bytes = max(0, len(got) - head_end - len(HEAD_END)) if head_end >= 0 else 0
                if head_end >= 0 and (record.body_bytes >= answer.size or not bytes(got).startswith(b"HTTP/1.1 200")):
                    break
                part = await loop.sock_recv(caller, READ_BYTES)
                if not part:
                    record.ended_at = time.monotonic()
                    return
                got += part
                taken += len(part)
                begun = begun or time.monotonic()
                if self.chatter:
                    with contextlib.suppress(OSError):
                        caller.send(self.chatter)
                await asyncio.sleep(max(0.0, begun + taken / self.bytes_per_s - time.monotonic()))
            record.ended_at = time.monotonic()
            record.status = int(got[9:12])
            start = head_end + len(HEAD_END)
            record.whole = record.status == 200 and bytes(got[start:start + answer.size]) == expected
            if record.status != 200:
                return
            del got[:start + answer.size]
