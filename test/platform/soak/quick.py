"""Callers of a route that takes no time, and its servers, which are processes of their own."""

import asyncio
import sys
import time
from pathlib import Path

import wire

GIVES_UP_S = 4.5


async def start_quick_server(identity: str, silent_share: float) -> asyncio.subprocess.Process:
    """Start a server; see `quick_server.py`. Its first line is its port."""
    return await asyncio.create_subprocess_exec(
        sys.executable, str(Path(__file__).parent / "quick_server.py"), identity, str(silent_share),
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)


class QuickCaller:
    """Sends a small request at intervals on one connection."""

    def __init__(self, number: int, port: int, path: str = "/bulk/16/0/length/0", every_s: float = 0.25,
                 gives_up_s: float = GIVES_UP_S):
        self._number = number
        self._port = port
        self._path = path
        self._every_s = every_s
        self._gives_up_s = gives_up_s
        self.calls: list[tuple[float, float | None, int]] = []  # sent, answered, status

    async def run(self, until: float) -> None:
        """Send until that time."""
        reader = writer = None
        count = 0
        while time.monotonic() < until:
            count += 1
            sent, answered, status = time.monotonic(), None, 0
            try:
                async with asyncio.timeout(self._gives_up_s):
                    if writer is None:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                    writer.write(wire.request_bytes("GET", self._path, {
                        "Host": "soak.example", wire.REQUEST_ID: f"q{self._number}-{count}",
                        wire.DEADLINE_MS: "6000"}, b""))
                    status = (await wire.read_message(reader)).status
                answered = time.monotonic()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if writer is not None:
                    writer.close()
                reader = writer = None
            self.calls.append((sent, answered, status))
            await asyncio.sleep(self._every_s)
        if writer is not None:
            writer.close()
