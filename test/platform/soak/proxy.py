"""A TCP proxy on loopback that misbehaves on command."""

import asyncio
import contextlib
from enum import Enum

CHUNK = 65536


class Mode(Enum):
    """How the proxy treats bytes and new connections."""

    PASS = "pass"
    DELAY = "delay"          # bytes are late
    RESET = "reset"          # connections are reset, new ones too
    SILENT = "silent"        # nothing passes either way
    ONE_WAY = "one-way"      # nothing comes back


class Proxy:
    """Listens on one port and forwards to another; bytes held up by silence are lost when the peer resets."""

    def __init__(self, target: tuple[str, int], delay: float = 0.25):
        self.target = target
        self.mode = Mode.PASS
        self.delay = delay
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._passes = asyncio.Event()
        self._passes.set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Refuse new connections, as a port does on which nothing listens; what is open stays."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def reopen(self) -> None:
        """Listen on the same port again."""
        if self._server is None:
            self._server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port, reuse_address=True)

    def set_mode(self, mode: Mode) -> None:
        """Misbehave from now on; RESET ends what is open."""
        self.mode = mode
        if mode in (Mode.SILENT, Mode.ONE_WAY):
            self._passes.clear()
        else:
            self._passes.set()
        if mode == Mode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == Mode.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        far = None
        try:
            await self._wait_to_pass(back=False)
            far_reader, far = await asyncio.open_connection(*self.target)
            self._writers.add(far)
            await asyncio.wait([asyncio.ensure_future(self._pump(reader, far, back=False)),
                                asyncio.ensure_future(self._pump(far_reader, writer, back=True))],
                               return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for end in (writer, far):
                if end is not None:
                    self._writers.discard(end)
                    with contextlib.suppress(OSError, RuntimeError):
                        end.close()

    async def _wait_to_pass(self, back: bool) -> None:
        while self.mode == Mode.SILENT or (back and self.mode == Mode.ONE_WAY):
            await self._passes.wait()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while data := await reader.read(CHUNK):
                await self._wait_to_pass(back)
                if self.mode == Mode.DELAY:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
