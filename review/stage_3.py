"""A small deployment on loopback for the scripts of the review: the platform, its store, clients and backend servers as stand-ins.

The gateways are the project's own program with the command of deploy/system.toml, each on a loopback address of its own, as
machines have. The store, servers and clients are written from PROTOCOL.md and DEPLOY.md and do nothing that these do not allow.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
MEMORY_MB = 260          # of a machine, as at admissa-gw
CPU_SHARE = 0.2
MAX_FDS = 4100
LINK_MBPS = 1000.0
RESTART_DELAY_S = 0.5    # "started again after a short delay"
MEMORY_LOOK_S = 0.05     # between two looks at the memory of a process
READY_WITHIN_S = 15.0
BOUNDS = {"DrainS": 2, "GraceS": 6, "BudgetRatio": 0.2, "BudgetExtra": 64, "BudgetWindowS": 10, "ProbePerS": 60}
ACCEPT_QUEUE = 1024
MAX_CONNS = 260          # of a server, from all callers together

started_at = time.monotonic()


def now() -> float:
    """Seconds since the script began."""
    return time.monotonic() - started_at


class Record:
    """What was sent, answered and run: one line an event, in record.txt of the case."""

    def __init__(self, folder: Path):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def write(self, text: str) -> None:
        self._file.write(f"{now():9.3f} s  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write it and print it."""
        self.write(text)
        print(f"{now():9.3f} s  {text}", flush=True)


# --- HTTP -------------------------------------------------------------------------------------------------------------


class Message:
    """A request or an answer."""

    def __init__(self, first: str, fields: dict[str, str], body: bytes):
        self.first, self.fields, self.body = first, fields, body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; names of fields in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message with a length."""
    message = await read_head(reader)
    message.body = await reader.readexactly(int(message.fields.get("content-length", "0")))
    return message


def message_bytes(first: str, fields: dict[str, str], body: bytes = b"", length: int | None = None) -> bytes:
    """A message with a length; `length` when the body is sent apart from it."""
    lines = [first, f"Content-Length: {len(body) if length is None else length}", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# --- The platform's store ---------------------------------------------------------------------------------------------


class Store:
    """The metadata store: ranges, watches and conditional writes."""

    def __init__(self, record: Record):
        self._record = record
        self._items: dict[str, tuple[int, bytes]] = {}
        self._changes: list[tuple[int, str, bytes | None]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self.address = ""

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(self._serve, ip, 0, backlog=ACCEPT_QUEUE)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def put(self, key: str, value: object) -> None:
        """Write as the operator and the servers do; the store has acknowledged it when this returns."""
        await self._change(key, json.dumps(value).encode())
        self._record.write(f"the store acknowledges {key}")

    async def remove(self, key: str) -> None:
        await self._change(key, None)
        self._record.write(f"the store has removed {key}")

    async def _change(self, key: str, value: bytes | None) -> None:
        async with self._changed:
            self._revision += 1
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = (self._revision, value)
            self._changes.append((self._revision, key, value))
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await read_message(reader)
                status, body = await self._answer(message)
                writer.write(message_bytes(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                           json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, message: Message) -> tuple[int, object]:
        parts = urlsplit(message.first.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/-/kv-range":
            keys = sorted(key for key in self._items
                          if key.startswith(query.get("PathPrefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self._item(key, *self._items[key]) for key in keys], "more": False, "at": self._revision}
        if parts.path == "/-/kv-watch":
            return await self._watch(int(query["after"]), int(query["WaitMs"]) / 1000)
        if parts.path == "/-/kv-txn":
            return await self._write(json.loads(message.body))
        return 404, {}

    async def _watch(self, after: int, wait_s: float) -> tuple[int, object]:
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        events = [self._item(key, revision, value) if value is not None else {"Key": key, "Revision": revision, "gone": True}
                  for revision, key, value in self._changes if revision > after]
        return 200, {"events": events, "at": self._revision}

    async def _write(self, change: dict) -> tuple[int, object]:
        expected = change["ExpectedRev"]
        if any(self._items.get(row["Key"], (0, b""))[0] != row["Revision"] for row in expected):
            return 412, {"items": [self._item(row["Key"], *self._items[row["Key"]]) for row in expected
                                   if row["Key"] in self._items]}
        for put in change["put"]:
            await self._change(put["Key"], base64.b64decode(put["Value"]))
        for key in change["Remove"]:
            await self._change(key, None)
        return 200, {"Revision": self._revision}

    @staticmethod
    def _item(key: str, revision: int, value: bytes) -> dict[str, object]:
        return {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": revision, "made": revision, "lease": 0}


# --- The platform's machines ------------------------------------------------------------------------------------------


def fill(template: str, fields: dict) -> str:
    """Fill the gaps of a template, as DEPLOY.md tells."""

    def look_up(path: str):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if look_up(m[1]) else "", template)
    template = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: "" if look_up(m[1]) else m[2], template)

    def text(match: re.Match) -> str:
        value = look_up(match[1])
        return ",".join(map(str, value)) if isinstance(value, list) else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


def find_free_ports(ips: list[str], count: int) -> list[int]:
    """Ports that are free at all these addresses, below those that the system gives to outgoing connections."""
    found = []
    for port in itertools.islice(itertools.cycle(range(15000, 31000)), random.randrange(16000), None):
        with contextlib.suppress(OSError):
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            found.append(port)
        if len(found) == count:
            return found
    raise AssertionError("an endless series ended")


class Machine:
    """An edge machine: starts the gateway's process, and ends it when it goes over the machine's memory."""

    def __init__(self, number: int, settings: dict, folder: Path, record: Record):
        self.name = settings["Node"]
        self.ip = settings["Ip"]
        self.front = settings["Listen"]["Front"]
        self.ready_address = settings["Listen"]["Ready"]
        self.own_ends = 0          # processes that went over the memory
        self.peak_mb = 0.0
        self.stopped = False
        self._record = record
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = [fill(word, settings) for word in deploy["roles"]["gateway"]["run"].split(" ")]
        self._log = open(folder / f"{self.name}.log", "ab")
        self._process: subprocess.Popen | None = None
        self._keeper: asyncio.Task | None = None

    def start(self) -> None:
        self._process = subprocess.Popen(self._command, cwd=ROOT, stdout=self._log, stderr=self._log)
        self._record.write(f"{self.name}: process {'' if self._keeper is None else 'again '}started")
        if self._keeper is None:
            self._keeper = asyncio.create_task(self._keep())

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        return self._process.pid

    def signal(self, what: signal.Signals) -> None:
        if self.running:
            self._process.send_signal(what)

    def memory_mb(self) -> float:
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def _keep(self) -> None:
        """End the process above the machine's memory, and start one that has ended again after a short delay."""
        while not self.stopped:
            await asyncio.sleep(MEMORY_LOOK_S)
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if self.running and used > MEMORY_MB:
                self.own_ends += 1
                self._record.say(f"{self.name}: the process holds {used:.0f} MB, over MemoryMb {MEMORY_MB}: the platform ends it")
                self.signal(signal.SIGKILL)
                self._process.wait()
            if not self.running and not self.stopped:
                self._record.say(f"{self.name}: the process has ended with {self._process.returncode}")
                await asyncio.sleep(RESTART_DELAY_S)
                if not self.stopped:
                    self.start()

    def end(self) -> None:
        self.stopped = True
        if self.running:
            self._process.kill()
            self._process.wait()
        self._log.close()

    async def is_ready(self) -> bool:
        """Ask the readiness address once, as the platform does each second."""
        host, port = self.ready_address.split(":")
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(message_bytes("GET /-/readiness HTTP/1.1", {"Host": "x"}))
                status = (await read_message(reader)).status
                writer.close()
                return status == 200
        return False


class Site:
    """The store and the machines."""

    def __init__(self, record: Record, zones: list[str], bounds: dict | None = None):
        self.record = record
        self.store = Store(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._zones = zones
        self._bounds = BOUNDS | (bounds or {})
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"

    def ip(self, number: int) -> str:
        return f"{self._net}.{number}"

    async def start_store(self) -> None:
        await self.store.start(self.ip(250))

    def prepare_machines(self) -> None:
        ips = [self.ip(number + 1) for number in range(len(self._zones))]
        front, ready, control, metrics = find_free_ports(ips, 4)
        for number, zone in enumerate(self._zones):
            self.machines.append(Machine(number, {
                "Node": f"edge-{zone}-{number + 1}", "Zone": zone, "Ip": ips[number], "PortRange": [metrics, metrics + 15],
                "Listen": {"Front": f"{ips[number]}:{front}", "Ready": f"{ips[number]}:{ready}",
                           "Control": f"{ips[number]}:{control}"},
                "Seeds": [f"{ip}:{control}" for ip in ips[:3]], "Platform": {"Address": self.store.address},
                "Bounds": self._bounds,
                "Limits": {"LinkMbps": LINK_MBPS, "CpuShare": CPU_SHARE, "MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS},
            }, self.folder, self.record))

    async def start_machines(self) -> None:
        for machine in self.machines:
            machine.start()
        until = now() + READY_WITHIN_S
        for machine in self.machines:
            while not await machine.is_ready():
                if now() > until:
                    raise RuntimeError(f"{machine.name} did not become ready")
                await asyncio.sleep(0.05)

    def end(self) -> None:
        for machine in self.machines:
            machine.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- Backend servers --------------------------------------------------------------------------------------------------


class Server:
    """A backend server: slots, a queue, its load, its identity, its entry in the store."""

    def __init__(self, site: Site, service: str, number: int, zone: str, work_s: float, slots: int = 3, queue: int = 6):
        self.id = f"i-{service}-{number}"
        self.service, self.zone, self.work_s, self.slots, self.queue = service, zone, work_s, slots, queue
        self.ip = site.ip(100 + len(site.servers))
        self.runs: dict[str, int] = {}      # by request id, how often it was run
        self.arrivals: list[tuple[float, str, str]] = []  # when, request id, start line
        self.port = 0
        self._site = site
        self._running = self._waiting = self._connections = 0
        self._room = asyncio.Semaphore(slots)
        site.servers.append(self)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.ip, 0, backlog=ACCEPT_QUEUE)
        self.port = server.sockets[0].getsockname()[1]
        await self.announce("ready")

    async def announce(self, state: str, sequence: int = 1) -> None:
        await self._site.store.put(f"servers/{self.id}", {
            "Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": state, "WarmupLeftS": 0, "Seq": sequence})

    def load(self) -> str:
        return f"{self._running},{self._waiting},{self.slots}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        if self._connections > MAX_CONNS:
            writer.transport.abort()
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await read_message(reader)
                await self._handle(message, writer)
        self._connections -= 1
        writer.close()

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        identity = message.fields.get("sailpath-request-id", "")
        if message.first.split(" ")[1] == "/health":
            return await self._send(writer, 200, {"Sailpath-Instance-Id": self.id, "Sailpath-Server-Load": self.load()})
        echo = {"Sailpath-Request-Id": identity, "Sailpath-Server-Load": self.load()}
        if message.fields.get("sailpath-target-instance", self.id) != self.id:
            return await self._send(writer, 421, echo | {"Sailpath-Not-Executed": "1"})
        if self._waiting >= self.queue:
            return await self._send(writer, 503, echo | {"Sailpath-Not-Executed": "1"})
        self.arrivals.append((now(), identity, message.first))
        deadline = now() + int(message.fields.get("sailpath-request-deadline-ms", "3600000")) / 1000
        self._waiting += 1
        async with self._room:
            self._waiting -= 1
            if now() > deadline:
                return await self._send(writer, 503, echo | {"Sailpath-Not-Executed": "1"})
            self._running += 1
            self.runs[identity] = self.runs.get(identity, 0) + 1
            self._site.record.write(f"server {self.id} runs {identity}")
            await asyncio.sleep(self.work_s)
            self._running -= 1
        await self._answer(message, identity, writer)

    async def _answer(self, message: Message, identity: str, writer: asyncio.StreamWriter) -> None:
        """Answer a request that was run."""
        body = f"done by {self.id}: {identity}".encode()
        await self._send(writer, 200, {"Sailpath-Request-Id": identity, "Sailpath-Response-Signature": f"{self.id}.{identity}",
                                       "Sailpath-Server-Load": self.load()}, body)

    @staticmethod
    async def _send(writer: asyncio.StreamWriter, status: int, fields: dict[str, str], body: bytes = b"") -> None:
        writer.write(message_bytes(f"HTTP/1.1 {status} X", fields, body))
        await writer.drain()


# --- Clients ----------------------------------------------------------------------------------------------------------


class Call:
    """One client attempt."""

    def __init__(self, identity: str, route: str, machine: str, first_on_connection: bool):
        self.id, self.route, self.machine, self.first_on_connection = identity, route, machine, first_on_connection
        self.sent_at = now()
        self.ended_at: float | None = None
        self.status: int | None = None     # None: the connection ended without an answer
        self.answer: Message | None = None


class Client:
    """Sends requests one after the other on a connection to one machine, and keeps the connection."""

    _ids = itertools.count(1)

    def __init__(self, site: Site, machine: Machine, host: str, method: str, path: str, deadline_ms: int, pause_s: float,
                 body_bytes: int = 0):
        self._site, self._machine, self._host, self._method = site, machine, host, method
        self._path, self._deadline_ms, self._pause_s, self._body = path, deadline_ms, pause_s, b"b" * body_bytes
        self.calls: list[Call] = []

    def head(self) -> bytes:
        """Further fields of each request."""
        return b""

    async def pause(self) -> None:
        """Wait before the next request."""
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.5))

    async def run(self, until: float) -> None:
        reader = writer = None
        while now() < until:
            await self.pause()
            new = writer is None
            if new:
                host, port = self._machine.front.split(":")
                try:
                    async with asyncio.timeout(1):
                        reader, writer = await asyncio.open_connection(host, int(port))
                except (OSError, asyncio.TimeoutError):
                    continue
            call = Call(f"{next(self._ids):016x}", self._path, self._machine.name, new)
            self.calls.append(call)
            try:
                async with asyncio.timeout(self._deadline_ms / 1000):
                    start = message_bytes(f"{self._method} {self._path} HTTP/1.1", {
                        "Host": self._host, "Sailpath-Request-Id": call.id,
                        "Sailpath-Request-Deadline-Ms": str(self._deadline_ms)}, length=len(self._body))
                    writer.write(start[:-2] + self.head() + b"\r\n" + self._body)
                    call.answer = await read_message(reader)
                    call.status = call.answer.status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            call.ended_at = now()
            seen = call.status if call.status is not None else "the connection's end, without an answer"
            self._site.record.write(f"client: {call.id} {self._method} {self._path} to {self._machine.name}, sent at "
                                    f"{call.sent_at:.3f} s, gets {seen}")
            if call.status is None or call.answer.fields.get("connection", "").lower() == "close":
                writer.close()
                reader = writer = None


def configuration(version: int, routes: list[dict], services: list[str], **more) -> dict:
    """A configuration as the operator writes it."""
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": MAX_CONNS} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 5, "IdleTimeoutS": 30}, **more}


def route(name: str, host: str, prefix: str, kind: str, service: str, timeout_s: float, target_s: float, priority: int = 1,
          attempts: int = 2, **more) -> dict:
    return {"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": kind, "Service": service, "TimeoutS": timeout_s,
            "TargetLatencyS": target_s, "Priority": priority, "MaxAttempts": attempts, **more}


def run(case, folder: Path) -> None:
    """Play a case and end with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    if not (ROOT / "target/bin/sailpath-gateway").exists():
        record.say("target/bin/sailpath-gateway is missing: build as deploy/system.toml says")
        sys.exit(2)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the processes are ended then too
    try:
        broken = asyncio.run(case(record, trouble))
    except (Exception, KeyboardInterrupt) as error:  # whatever keeps the case from running
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("BROKEN" if broken else "HELD")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
