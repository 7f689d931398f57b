"""Callers that wait for `100 Continue` again and again and read nothing: PORT COUNT SECONDS."""

import asyncio
import contextlib
import socket
import sys
import time

import wire
from bulk import RECEIVE_BUFFER_BYTES, SEGMENT_BYTES

PAUSE_S = 0.002


async def flood(port: int, number: int, until: float) -> None:
    """Send requests whose callers wait for `100 Continue`, and read nothing."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller, contextlib.suppress(OSError, asyncio.TimeoutError):
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", port))
        count = 0
        while time.monotonic() < until:
            count += 1
            head = (f"POST /none/{count} HTTP/1.1\r\nHost: soak.example\r\n{wire.REQUEST_ID}: f{number}-{count}\r\n"
                    f"{wire.DEADLINE_MS}: 6000\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
            for part in (head.encode(), b"x"):
                async with asyncio.timeout(until - time.monotonic() + 0.1):
                    await loop.sock_sendall(caller, part)
                await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(max(0.0, until + 2 - time.monotonic()))


async def main(port: int, count: int, seconds: float) -> None:
    """Flood one port."""
    until = time.monotonic() + seconds
    await asyncio.gather(*(flood(port, number, until) for number in range(count)))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
