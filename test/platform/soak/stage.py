"""Real gateways, servers of one service and a store, for tests that bring about one thing at a time."""

import asyncio
import shutil
import signal
import time
from pathlib import Path

import rules
import wire
from bulk import BulkServer
from fleet import GRACE_S, Gateway
from history import History
from proxy import Cut, Proxy
from store import Store

SLACK_S = 1.0          # for a busy machine
MIB = 1 << 20
QUICK_TIMEOUT_S = 2.0


class Stage:
    """Gateways, servers of one service and a store."""

    def __init__(self, build: str, name: str, gateways: int, zone: str = "north", body_bytes: int = MIB,
                 idle_s: float = 15.0):
        self._program = Path(build) / "bin" / "sailpath-gateway"
        self.out = Path(build) / "soak-stage" / name
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self._store = Store(time.monotonic)
        self._history = History()
        self._count = gateways
        self._zone = zone                # of the servers
        self._body_bytes = body_bytes    # the largest body of a request
        self._idle_s = idle_s            # after which a connection without progress is closed
        self._cut_off: set[str] = set()
        self.links: list[Proxy] = []
        self.servers = [BulkServer(f"i-{number}") for number in range(3)]
        self.gateways: list[Gateway] = []

    async def __aenter__(self) -> "Stage":
        await self._store.start()
        for server in self.servers:
            await server.listen()
            if self._count == 1:
                # Nobody is cut off from servers, and large answers are dear to pass through a proxy.
                await server.announce(self._store, "bulk", self._zone, server.port)
                continue
            link = Proxy(("127.0.0.1", server.port))
            link.is_cut_off = lambda source: source in self._cut_off
            await link.start()
            self.links.append(link)
            await server.announce(self._store, "bulk", self._zone, link.port)
        await self._store.put("op/config", {
            "Version": 1,
            "Services": [{"Name": name, "HealthPath": wire.HEALTH_PATH, "MaxConns": 200} for name in ("bulk", "quick")],
            "Routes": [{"Name": "r-bulk", "Host": "soak.example", "PathPrefix": "/bulk/", "RouteType": "safe",
                        "TimeoutS": 9.0, "TargetLatencyS": 8.0, "Priority": 1, "Service": "bulk", "MaxAttempts": 1},
                       {"Name": "r-order", "Host": "soak.example", "PathPrefix": "/order/", "RouteType": "unsafe",
                        "TimeoutS": 8.0, "TargetLatencyS": 4.0, "Priority": 1, "Service": "bulk", "MaxAttempts": 1},
                       {"Name": "r-hold", "Host": "soak.example", "PathPrefix": "/hold/", "RouteType": "safe",
                        "TimeoutS": 9.0, "TargetLatencyS": 8.0, "Priority": 1, "Service": "bulk", "MaxAttempts": 1},
                       {"Name": "r-quick", "Host": "soak.example", "PathPrefix": "/quick/", "RouteType": "safe",
                        "TimeoutS": QUICK_TIMEOUT_S, "TargetLatencyS": 0.6, "Priority": 1, "Service": "quick",
                        "MaxAttempts": 2},
                       {"Name": "r-pay", "Host": "soak.example", "PathPrefix": "/pay/", "RouteType": "unsafe",
                        "TimeoutS": QUICK_TIMEOUT_S, "TargetLatencyS": 0.6, "Priority": 1, "Service": "quick",
                        "MaxAttempts": 2}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": self._body_bytes, "HeaderTimeoutS": 3, "IdleTimeoutS": self._idle_s}})
        for number in range(self._count):
            gateway = Gateway(number, "north", self._program, self.out, rules.Bounds(), self._history, time.monotonic)
            await gateway.prepare(self._store.port)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.seeds = [other.ports.peers for other in self.gateways]
            gateway.start()
        for gateway in self.gateways:
            await self.wait_until(lambda: self.is_ready(gateway), 10)
        return self

    async def __aexit__(self, *_) -> None:
        for gateway in self.gateways:
            gateway.end()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    @staticmethod
    async def is_ready(gateway: Gateway) -> bool:
        """Ask for readiness once."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports.readiness)
                writer.write(wire.request_bytes("GET", wire.READINESS_PATH, {"Host": "x"}, b""))
                ready = (await wire.read_message(reader)).status == 200
                writer.close()
                return ready
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    @staticmethod
    async def wait_until(condition, longest_s: float) -> None:
        until = time.monotonic() + longest_s
        while not await condition():
            if time.monotonic() > until:
                raise RuntimeError("a gateway did not become ready")
            await asyncio.sleep(0.05)

    async def announce_quick(self, identity: str, port: int) -> None:
        """Write the entry of a server of the quick route."""
        await self._store.put(f"servers/{identity}", {
            "Service": "quick", "Address": f"127.0.0.1:{port}", "Zone": self._zone, "Version": "v1", "Slots": 100,
            "State": "ready", "WarmupLeftS": 0, "Seq": 1, "born": 1})

    async def write(self, key: str, text: str) -> None:
        """Write an entry as another client of the store may, whatever it holds."""
        await self._store.put_bytes(key, text)

    async def remove(self, key: str) -> None:
        """Remove an entry."""
        await self._store.remove(key)

    def cut_off(self, gateway: Gateway) -> None:
        """Take the path to servers from a gateway."""
        self._cut_off.add(gateway.source)
        for link in self.links:
            link.set_cut(Cut.RESET)

    async def stop(self, gateway: Gateway) -> float:
        """Ask a gateway to stop; seconds until its process has ended."""
        begun = time.monotonic()
        gateway.send(signal.SIGTERM)
        while gateway.running:
            if time.monotonic() - begun > GRACE_S + SLACK_S:
                gateway.end()
                return float("inf")
            await asyncio.sleep(0.01)
        return time.monotonic() - begun
