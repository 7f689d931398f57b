"""HTTP/1.1 messages on asyncio streams, and the platform's names that the stand-ins of the soak speak."""

import asyncio
from dataclasses import dataclass, field

REQUEST_ID = "sailpath-request-id"
DEADLINE_MS = "sailpath-request-deadline-ms"
TARGET_INSTANCE = "sailpath-target-instance"
INSTANCE_ID = "sailpath-instance-id"
SIGNATURE = "sailpath-response-signature"
NOT_EXECUTED = "sailpath-not-executed"
SERVER_LOAD = "sailpath-server-load"
SERVER_LIMIT = "server-limit"
SERVER_LEAVING = "server-leaving"
HEALTH_PATH = "/health"
READINESS_PATH = "/-/readiness"

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


@dataclass
class Message:
    """A request or an answer; names of headers are in lower case."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split(" ", 2)[1])

    @property
    def target(self) -> str:
        return self.first.split(" ", 2)[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one whole message; raises IncompleteReadError when the connection ends before."""
    message = await read_head(reader)
    headers = message.headers
    if headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(headers.get("content-length", "0")))
    return message


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; its body is left empty."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks up to its last one."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """An answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """A request with a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
