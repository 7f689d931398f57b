"""Starts gateways with the command of deploy/system.toml between stand-ins, for the scripts of review/4 to review/8.

The store, and HTTP messages, are the project's own stand-ins (test/platform/soak/store.py, wire.py). All addresses are
loopback addresses and all ports are free ones. `Fleet.close` ends every gateway that `Fleet` started; `run_case` sees to it
that it is called, also when the script is asked to end.
"""

import asyncio
import contextlib
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test" / "platform" / "soak"))

import wire  # noqa: E402
from store import Store  # noqa: E402

# As admissa-gw has them (SYSTEM.md).
BOUNDS = {"DrainS": 2, "GraceS": 6, "BudgetRatio": 0.2, "BudgetExtra": 64, "BudgetWindowS": 10, "ProbePerS": 60}
CONTACT_S = 3.0
MEMORY_MB = 260
LIMITS = {"LinkMbps": 1000.0, "CpuShare": 0.2, "MemoryMb": MEMORY_MB, "MaxFds": 4100}
ZONES = ("tema-a", "tema-b", "osu", "airport-city")
READY_WITHIN_S = 15.0

_ports = iter(range(15000 + os.getpid() * 37 % 15000, 32000))


def free_port() -> int:
    """A port that nobody listens on, below those of outgoing connections."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("no free port")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset; `abort` alone would end it as a process does that closes it."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def fill(text: str, fields: dict) -> str:
    """Fill the gaps of a template as DEPLOY.md tells them: values, sections and inverted sections."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if lookup(m[1]) else "", text)
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: "" if lookup(m[1]) else m[2], text)

    def value(match):
        found = lookup(match[1])
        return ",".join(map(str, found)) if isinstance(found, list) else "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Gateway:
    """One gateway: one machine of the class `edge`."""

    def __init__(self, number: int, source: bool):
        self.source = f"127.0.1.{number + 1}" if source else ""
        self.name = f"edge-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.front, self.ready, self.control, self.metrics = (free_port() for _ in range(4))
        self.process: subprocess.Popen | None = None

    def start(self, seeds: list[str], store_port: int, log: Path) -> None:
        """Begin a life."""
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]["run"]
        fields = {"Node": self.name, "Zone": self.zone, "Ip": "127.0.0.1", "Seeds": seeds,
                  "Listen": {"Front": f"127.0.0.1:{self.front}", "Ready": f"127.0.0.1:{self.ready}",
                             "Control": f"127.0.0.1:{self.control}"},
                  "Platform": {"Address": f"127.0.0.1:{store_port}"}, "PortRange": [self.metrics, self.metrics],
                  "Bounds": BOUNDS, "Limits": LIMITS}
        command = [fill(word, fields) for word in run.split(" ")]
        if self.source:
            command.append(f"--server-source={self.source}")
        with open(log, "ab") as out:
            self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=out, stderr=out)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End it at once."""
        if self.running:
            self.process.kill()
            self.process.wait()

    def resident_bytes(self) -> int:
        """Memory that the process uses now; 0 when it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024
        return 0

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(wire.request_bytes("GET", wire.READINESS_PATH, {"Host": "x"}, b""))
                good = (await wire.read_message(reader)).status == 200
                writer.close()
                return good
        return False


class Fleet:
    """Gateways and the platform's store.

    sources: each gateway's connections to servers come from an address of its own, as on machines of their own; without it all
    processes of one host connect from 127.0.0.1, and a server could not tell them apart. This adds one flag to the command.
    """

    def __init__(self, count: int, out: Path, sources: bool = False):
        self.store = Store(time.monotonic)
        self.gateways = [Gateway(number, sources) for number in range(count)]
        self._out = out

    async def start(self) -> None:
        """Start all gateways and wait until each is ready; the configuration and servers are in the store already."""
        seeds = [f"127.0.0.1:{gateway.control}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(seeds, self.store.port, self._out / f"{gateway.name}.log")
        until = time.monotonic() + READY_WITHIN_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until or not gateway.running:
                    raise RuntimeError(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all gateways."""
        for gateway in self.gateways:
            gateway.end()


class Caller:
    """Sends requests to one gateway on a connection that it keeps."""

    def __init__(self, name: str, gateway: Gateway, path: str, method: str = "GET", body: bytes = b"", deadline_ms: int = 2000):
        self._name = name
        self._gateway = gateway
        self._request = (method, path, body)
        self._deadline_ms = deadline_ms
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None
        self.calls: list[dict] = []

    async def send(self, left_s: float | None = None) -> object:
        """One request, with so much time left; its status, or why there was none."""
        deadline_ms = self._deadline_ms if left_s is None else max(1, int(left_s * 1000))
        call = {"id": f"{self._name}-{len(self.calls) + 1}", "gateway": self._gateway.name, "sent": time.monotonic(), "end": ""}
        self.calls.append(call)
        method, path, body = self._request
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._gateway.front)
                self._writer.write(wire.request_bytes(method, path, {
                    "Host": "admissa.example", wire.REQUEST_ID: call["id"], wire.DEADLINE_MS: str(deadline_ms)}, body))
                answer = await wire.read_message(self._reader)
                call["end"] = answer.status
                call["why"] = answer.body.decode("latin-1").strip()[:40]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            call["end"] = type(error).__name__
        if isinstance(call["end"], str):
            self.close()
        call["took"] = time.monotonic() - call["sent"]
        return call["end"]

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None

    async def run(self, until: float, every_s: float) -> None:
        """Send until that time."""
        while time.monotonic() < until:
            await self.send()
            await asyncio.sleep(every_s)


def run_case(play) -> None:
    """Run a case, `play(folder)`, in a temporary folder and exit with its status; 2 when it could not run to its end."""
    async def guarded(folder: str) -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await play(Path(folder))

    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(guarded(folder))
        except asyncio.CancelledError:
            print("was asked to end")
            status = 2
        except Exception:  # An error of the script is no broken rule
            traceback.print_exc()
            status = 2
    sys.stdout.flush()
    os._exit(status)  # All processes have ended; connections that are still open end with this one
