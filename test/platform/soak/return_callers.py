"""Callers with random arrivals, as a process of their own: SEED RATE WAIT PORT..., WAIT: seconds or `told`.

A number on standard input multiplies the rate from then on. When standard input ends, the calls are printed, a line each.
"""

import asyncio
import contextlib
import json
import random
import sys
import threading
import time
from dataclasses import asdict, dataclass

import wire

TRIES = 3               # of one caller
HOST = "soak.example"
DEFAULT_WAIT_S = 0.2    # of a refused caller that is told nothing


@dataclass(frozen=True)
class Service:
    """A service with its one route."""

    name: str
    share: float        # of all requests
    servers: float      # share of all servers
    work_ms: int
    target_s: float
    timeout_s: float
    repeatable: bool


SERVICES = (Service("curves", 0.54, 0.42, 190, 0.6, 4.0, True), Service("fits", 0.17, 0.18, 250, 0.8, 6.0, False),
            Service("pays", 0.20, 0.11, 130, 0.4, 3.0, False), Service("logs", 0.09, 0.29, 750, 2.0, 15.0, True))


@dataclass
class Call:
    """One try of a request."""

    service: str
    gateway: int
    sent_at: float
    first: bool
    status: int = 0     # 0: no answer
    ended_at: float = 0.0


class Callers:
    """Sends first tries at random moments, whatever becomes of earlier ones."""

    def __init__(self, seed: int, per_s: float, wait_s: float | None, ports: list[int]):
        self._name = f"s{seed}"
        self._random = random.Random(seed)
        self._per_s = per_s
        self._wait_s = wait_s
        self._ports = ports
        self._calling: set[asyncio.Task] = set()
        self.times = 1.0
        self.ended = False
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Send until the end, and wait for what is under way."""
        next_at = time.monotonic()
        count = 0
        while not self.ended:
            next_at += self._random.expovariate(self._per_s * self.times)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            count += 1
            service = self._random.choices(SERVICES, [service.share for service in SERVICES])[0]
            calling = asyncio.create_task(self._call(service, count))
            self._calling.add(calling)
            calling.add_done_callback(self._calling.discard)
        if self._calling:
            await asyncio.wait(set(self._calling), timeout=SERVICES[0].timeout_s)

    async def _call(self, service: Service, count: int) -> None:
        """One caller: tries again while it is refused."""
        begun = time.monotonic()
        for tried in range(TRIES):
            number = self._random.randrange(len(self._ports))
            call = Call(service.name, number, time.monotonic(), tried == 0)
            self.calls.append(call)
            left = service.timeout_s - (call.sent_at - begun)
            told_s = DEFAULT_WAIT_S
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(left):
                    told_s = await self._try(service, f"{self._name}-{count}-{tried}", left, call)
            call.ended_at = time.monotonic()
            may_repeat = call.status == 503 or (call.status != 200 and service.repeatable)
            wait_s = told_s if self._wait_s is None else self._wait_s
            if not may_repeat or call.ended_at + wait_s - begun >= service.timeout_s:
                return
            await asyncio.sleep(wait_s)

    async def _try(self, service: Service, request: str, left: float, call: Call) -> float:
        """Send a request on a new connection; seconds after which a refused caller may return."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._ports[call.gateway])
        try:
            method, body = ("GET", b"") if service.repeatable else ("POST", b"x" * 100)
            writer.write(wire.request_bytes(method, f"/{service.name}/{request}", {
                "Host": HOST, wire.REQUEST_ID: request, wire.DEADLINE_MS: str(int(left * 1000)),
                "x-work-ms": str(service.work_ms)}, body))
            answer = await wire.read_message(reader)
            call.status = answer.status
            return float(answer.headers.get("retry-after", DEFAULT_WAIT_S))
        finally:
            writer.transport.abort()


def follow(callers: Callers) -> None:
    """Change the rate with each line; the end of the input ends the calls."""
    for line in sys.stdin:
        callers.times = float(line)
    callers.ended = True


def main() -> None:
    """Run."""
    seed, rate, wait, *ports = sys.argv[1:]
    callers = Callers(int(seed), float(rate), None if wait == "told" else float(wait), [int(port) for port in ports])
    threading.Thread(target=follow, args=(callers,), daemon=True).start()
    asyncio.run(callers.run())
    for call in callers.calls:
        print(json.dumps(asdict(call)))


if __name__ == "__main__":
    main()
