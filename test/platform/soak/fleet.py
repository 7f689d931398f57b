"""The gateways: real processes of the program under test, their lives and signals."""

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

import rules
import wire
from callers import Door
from history import History, Span, Stop
from proxy import Proxy

GRACE_S = 6.0


# Below the ports that the system gives to outgoing connections, which could take one before its gateway listens.
LISTENER_PORTS = range(15000, 32000)
PORTS_PER_RUN = 50
# Runs beside each other have process numbers close to each other, and so different ports.
_ports = itertools.islice(itertools.cycle(LISTENER_PORTS),
                          os.getpid() * PORTS_PER_RUN % len(LISTENER_PORTS), None)


def free_port() -> int:
    """A port that nobody listens on now, that no outgoing connection is given, and each one once."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError("an endless series ended")


@dataclass
class Ports:
    """Where one gateway listens."""

    callers: int
    readiness: int
    peers: int


class Gateway:
    """One gateway with the proxies before it and between it and the store."""

    def __init__(self, number: int, zone: str, program: Path, out: Path, bounds: rules.Bounds, history: History, now):
        self.number = number
        self.zone = zone
        self.ports = Ports(free_port(), free_port(), free_port())
        self.front = Proxy(("127.0.0.1", self.ports.callers))
        self.to_store = Proxy(("127.0.0.1", 0))
        self.door = Door(number, 0, direct_port=self.ports.callers)
        self.seeds: list[int] = []
        self.source = f"127.0.1.{number + 1}"  # Its connections to servers come from here
        self._program = program
        self._out = out
        self._bounds = bounds
        self._history = history
        self._now = now
        self._process: subprocess.Popen | None = None
        self._misses = 0

    async def prepare(self, store_port: int) -> None:
        """Start the proxies."""
        self.to_store.target = ("127.0.0.1", store_port)
        await self.front.start()
        await self.to_store.start()
        self.door.port = self.front.port

    def start(self, output: int | None = None) -> None:
        """Begin a life, unless another fault that overlaps has begun one already; `output`: a descriptor for the log."""
        if self.running:
            return
        self.door.life += 1
        seeds = ",".join(f"127.0.0.1:{port}" for port in self.seeds)
        arguments = [
            f"--name=gateway-{self.number}", f"--data-centre={self.zone}",
            f"--listen=127.0.0.1:{self.ports.callers}", f"--readiness-listen=127.0.0.1:{self.ports.readiness}",
            f"--peer-listen=127.0.0.1:{self.ports.peers}", f"--seeds={seeds}",
            f"--store=127.0.0.1:{self.to_store.port}", f"--drain-s={self._bounds.drain}", f"--grace-s={GRACE_S}",
            f"--retry-ratio={self._bounds.retry_ratio}", f"--retry-extra={self._bounds.retry_extra}",
            f"--retry-window-s={self._bounds.retry_window}", "--probe-rate=60", "--log-lines=400",
            f"--server-source={self.source}"]
        with open(self._out / f"gateway-{self.number}.log", "ab") as log:
            self._process = subprocess.Popen([str(self._program), *arguments], stdout=output or log, stderr=log)

    @property
    def pid(self) -> int:
        """Number of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """The process has not ended."""
        return self._process is not None and self._process.poll() is None

    def disturb(self, seconds: float) -> None:
        """Note that this gateway is out of touch from now on for so long."""
        self._history.spans.append(Span(self._now(), self._now() + seconds, gateway=self.number))

    def send(self, what: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.running and self._process is not None:
            self._process.send_signal(what)

    async def kill(self, down: float) -> None:
        """End it at once and start it again later."""
        self.disturb(down + 1)
        self.send(signal.SIGKILL)
        await self._ended()
        await asyncio.sleep(down)
        self.start()

    async def freeze(self, seconds: float) -> None:
        """Pause it."""
        self.disturb(seconds + 0.5)
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)

    async def stop_as_planned(self) -> bool:
        """Ask it to stop and start it again; false when it did not end within the grace."""
        stop = Stop(self.number, self.door.life, self._now())
        self._history.stops.append(stop)
        self.send(signal.SIGTERM)
        in_time = await self._ended(GRACE_S)
        stop.ended_at = self._now()
        if not in_time:
            self.send(signal.SIGKILL)
            await self._ended()
        self.disturb(1)
        self.start()
        return in_time

    async def _ended(self, longest: float = 30) -> bool:
        end = time.monotonic() + longest
        while self.running:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        return True

    async def watch_readiness(self) -> None:
        """Ask each second, as the platform's balancer does; two misses put the gateway out."""
        while True:
            good = False
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.ports.readiness)
                    writer.write(wire.request_bytes("GET", wire.READINESS_PATH, {"Host": "x"}, b""))
                    good = (await wire.read_message(reader)).status == 200
                    writer.close()
            self._misses = 0 if good else self._misses + 1
            self.door.ready = good or (self.door.ready and self._misses < 2)
            await asyncio.sleep(1)

    def log_names(self, event: str) -> bool:
        """Whether the log has a line of this event."""
        return f" event={event} " in (self._out / f"gateway-{self.number}.log").read_text(errors="replace")

    def end(self) -> None:
        """End the process for good."""
        if self.running and self._process is not None:
            self._process.kill()
            self._process.wait()
