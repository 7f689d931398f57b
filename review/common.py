"""What the cases of this folder share: a gateway started by the command of the deploy file, the platform's store, a record.

The store, and the reading and writing of HTTP messages, are those of the project's soak (test/platform/soak). The
command line is read from deploy/system.toml and filled as DEPLOY.md of the users' pages says.
"""

import asyncio
import contextlib
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test" / "platform" / "soak"))

import wire  # noqa: E402
from store import Store  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes
LISTENER_PORTS = range(16000, 30000)   # below the ports that the system gives to outgoing connections
READY_WITHIN_S = 20.0
HOST = "case.example"

# The bounds and limits of the users' small sites.
BOUNDS = {"DrainS": 2, "GraceS": 6, "BudgetRatio": 0.2, "BudgetExtra": 62, "BudgetWindowS": 10, "ProbePerS": 60}
MACHINE = {"LinkMbps": 1000.0, "CpuShare": 0.2, "MemoryMb": 260, "MaxFds": 4100}
CALLER_LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}


class CouldNotRun(Exception):
    """The case says nothing about the rule."""


def trouble() -> bool:
    """The disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on now."""
    found: list[int] = []
    start = os.getpid() * 37 % len(LISTENER_PORTS)
    for step in range(len(LISTENER_PORTS)):
        port = LISTENER_PORTS[(start + step) % len(LISTENER_PORTS)]
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise CouldNotRun("no free ports")


def fill(template: str, fields: dict) -> str:
    """Fill the gaps of a command of the deploy file."""
    def value(name: str):
        at: object = fields
        for part in name.split("."):
            at = at[int(part)] if isinstance(at, list) else at.get(part) if isinstance(at, dict) else None
        return at

    def section(match: re.Match) -> str:
        given = value(match[2]) not in (None, False)
        return fill(match[3], fields) if given == (match[1] == "#") else ""

    def gap(match: re.Match) -> str:
        found = value(match[1])
        return "" if found is None else ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


def program() -> Path:
    """The newest build of the gateway."""
    built = [path for path in (ROOT / "target/bin/sailpath-gateway", ROOT / "build/bin/sailpath-gateway") if path.exists()]
    if not built:
        raise CouldNotRun("sailpath-gateway is not built: neither scripts/build nor the build of deploy/system.toml ran")
    return max(built, key=lambda path: path.stat().st_mtime)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, case: Path):
        self._begun = time.monotonic()
        self._file = open(case / "record.txt", "w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._begun:9.3f} {text}\n")
        self._file.flush()

    def verdict(self, text: str) -> None:
        """Write a line that closes the record, and print it."""
        self(text)
        print(text)


class Gateway:
    """One process of the program under test."""

    def __init__(self, number: int, zone: str, ports: list[int], seeds: list[int], store_port: int, folder: Path):
        self.front, self.ready, self.control, metrics = ports
        self.name = f"edge-{zone}-{number}"
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]["run"]
        fields = {"Node": self.name, "Zone": zone, "Ip": "127.0.0.1",
                  "Listen": {"Front": f"127.0.0.1:{self.front}", "Ready": f"127.0.0.1:{self.ready}",
                             "Control": f"127.0.0.1:{self.control}"},
                  "Seeds": [f"127.0.0.1:{port}" for port in seeds], "PortRange": [metrics, metrics],
                  "Platform": {"Address": f"127.0.0.1:{store_port}"}, "Bounds": BOUNDS, "Limits": MACHINE}
        self._command = [str(program()), *fill(run, fields).split()[1:]]
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Begin a life."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self._command, stdout=log, stderr=log, cwd=ROOT)

    def terminate(self) -> None:
        """Ask it to stop, as the platform does for planned work."""
        self.process.send_signal(signal.SIGTERM)

    async def is_ready(self, within_s: float = 1.0) -> bool:
        """Ask for its readiness, as the platform's balancer does."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(within_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                try:
                    writer.write(wire.request_bytes("GET", wire.READINESS_PATH, {"Host": "x"}, b""))
                    return (await wire.read_message(reader)).status == 200
                finally:
                    writer.close()
        return False

    def end(self) -> None:
        """End it for good."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def route(name: str, path: str, kind: str, service: str, timeout_s: float, aim_s: float, attempts: int = 2) -> dict:
    """A route of the configuration."""
    return {"Name": name, "Host": HOST, "PathPrefix": path, "RouteType": kind, "TimeoutS": timeout_s,
            "TargetLatencyS": aim_s, "Priority": 1, "Service": service, "MaxAttempts": attempts}


def configuration(routes: list[dict], services: list[str]) -> dict:
    """What the operator writes."""
    return {"Version": 3, "Routes": routes, "Limits": CALLER_LIMITS,
            "Services": [{"Name": name, "HealthPath": wire.HEALTH_PATH, "MaxConns": 260, "Protocol": "h1", "Tls": False}
                         for name in services]}


async def announce(store: Store, server_id: str, service: str, zone: str, port: int, slots: int = 3) -> None:
    """Write a server's entry."""
    await store.put(f"servers/{server_id}", {
        "Service": service, "Address": f"127.0.0.1:{port}", "Zone": zone, "Version": "v1", "Slots": slots,
        "State": "ready", "WarmupLeftS": 0, "Seq": 1})


async def start_gateways(count: int, store: Store, folder: Path) -> list[Gateway]:
    """Start gateways and wait until all are ready."""
    ports = free_ports(4 * count)
    controls = [ports[4 * number + 2] for number in range(count)]
    gateways = [Gateway(number + 1, "khomas-" + "abc"[number % 3], ports[4 * number:4 * number + 4], controls[:3],
                        store.port, folder) for number in range(count)]
    try:
        for gateway in gateways:
            gateway.start()
        end = time.monotonic() + READY_WITHIN_S
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end or gateway.process.poll() is not None:
                    raise CouldNotRun(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.05)
    except BaseException:
        for gateway in gateways:
            gateway.end()
        raise
    return gateways


async def _bounded(played, longest_s: float) -> bool:
    broken = await asyncio.wait_for(played, longest_s)
    # Connections that the end of the case breaks off are nobody's failure.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return broken


def run_case(case: Path, play, longest_s: float) -> int:
    """Play a case in a temporary folder; `play(folder, record)` gives true when the rule was broken."""
    record = Record(case)

    def interrupted(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(_bounded(play(Path(folder), record), longest_s))
        except (CouldNotRun, TimeoutError, OSError) as error:
            record.verdict(f"could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
    record.verdict("RULE BROKEN" if broken else "rule held")
    return BROKEN if broken else HELD
