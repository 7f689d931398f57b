"""A TCP proxy on loopback that misbehaves on command."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

CHUNK = 65536


class Mode(Enum):
    """How the proxy treats bytes and new connections."""

    PASS = "pass"
    DELAY = "delay"          # bytes are late
    RESET = "reset"          # connections are reset, new ones too
    SILENT = "silent"        # nothing passes either way
    ONE_WAY = "one-way"      # nothing comes back


class Cut(Enum):
    """How one process is cut off behind a proxy that passes everybody else."""

    HANG = "hang"            # nothing passes either way, on new connections neither
    RESET = "reset"          # connections are reset, new ones too
    KEEP = "keep"            # open connections live on, new ones are reset


@dataclass(eq=False)
class Passage:
    """One accepted connection and the one that it is forwarded on."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter | None = None
    held: bool = False       # by a cut: nothing passes

    def abort(self) -> None:
        """Reset both ends."""
        for end in (self.near, self.far):
            if end is not None:
                end.transport.abort()

    @property
    def source(self) -> str:
        """The address that the connection comes from; empty when it has ended."""
        return (self.near.get_extra_info("peername") or ("", 0))[0]


class Proxy:
    """Listens on one port and forwards to another; bytes held up by silence are lost when the peer resets."""

    def __init__(self, target: tuple[str, int], delay: float = 0.25):
        self.target = target
        self.mode = Mode.PASS
        self.delay = delay
        self.port = 0
        self.cut: Cut | None = None
        self.is_cut_off: Callable[[str], bool] = lambda source: False  # by the address that a connection comes from
        self._server: asyncio.Server | None = None
        self._passages: set[Passage] = set()
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
        if mode == Mode.RESET:
            for passage in list(self._passages):
                passage.abort()
        self._wake()

    def set_cut(self, cut: Cut | None) -> None:
        """Cut off the processes that `is_cut_off` tells, in this way; None lets them pass again."""
        self.cut = cut
        for passage in list(self._passages):
            passage.held = cut == Cut.HANG and self.is_cut_off(passage.source)
            if cut == Cut.RESET and self.is_cut_off(passage.source):
                passage.abort()
        self._wake()

    def _wake(self) -> None:
        self._passes.set()
        self._passes = asyncio.Event()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        passage = Passage(writer)
        cut_off = self.cut is not None and self.is_cut_off(passage.source)
        if self.mode == Mode.RESET or (cut_off and self.cut != Cut.HANG):
            writer.transport.abort()
            return
        passage.held = cut_off
        self._passages.add(passage)
        try:
            await self._wait_to_pass(passage, back=False)
            if cut_off:
                passage.abort()  # Without a path it would not have come up
                return
            far_reader, passage.far = await asyncio.open_connection(*self.target)
            await asyncio.wait([asyncio.ensure_future(self._pump(reader, passage.far, passage, back=False)),
                                asyncio.ensure_future(self._pump(far_reader, writer, passage, back=True))],
                               return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            self._passages.discard(passage)
            for end in (writer, passage.far):
                if end is not None:
                    with contextlib.suppress(OSError, RuntimeError):
                        end.close()

    async def _wait_to_pass(self, passage: Passage, back: bool) -> None:
        while passage.held or self.mode == Mode.SILENT or (back and self.mode == Mode.ONE_WAY):
            await self._passes.wait()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, passage: Passage,
                    back: bool) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while data := await reader.read(CHUNK):
                waited = passage.held
                await self._wait_to_pass(passage, back)
                if waited and reader.at_eof():
                    return  # What a cut holds up is lost when its sender closes
                if self.mode == Mode.DELAY:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
