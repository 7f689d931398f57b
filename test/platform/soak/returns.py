"""Real gateways that are all killed right after an acknowledged change and return, while callers go on."""

import argparse
import asyncio
import contextlib
import json
import shutil
import signal
import sys
import time
from dataclasses import dataclass, field, fields
from pathlib import Path

import rules
import wire
from fleet import Gateway
from history import History
from return_callers import HOST, SERVICES, Call
from return_servers import SLOTS
from stage import Stage
from store import Fault, Store

RECOVERY_S = 15.0       # bound of the rule, from the return on
STARTS_WITHIN_S = 0.3   # all gateways
OUTPUT_LIMIT = 1 << 20  # bytes of a line that a child process prints


@dataclass
class Scene:
    """What is played; times in seconds, rates a second."""

    gateways: int = 12
    servers: int = 40
    server_processes: int = 2
    caller_processes: int = 2
    per_s: float = 200.0
    warm_s: float = 6.0
    down_s: float = 1.5
    after_s: float = 25.0
    times: float = 1.0          # of the usual traffic, from the loss on
    times_for_s: float = 0.0
    delay_s: float = 0.0        # added to the work of each request, from the loss on
    delay_for_s: float = 0.0
    store_silent_s: float = 0.0  # from the loss on
    losses: int = 1
    between_s: float = 3.0      # losses
    back_after_s: float = 0.2   # refused callers; below 0: as they are told
    seed: int = 1


@dataclass
class Result:
    """What callers saw."""

    calls: list[Call] = field(default_factory=list)
    lost_at: float = 0.0
    back_at: float = 0.0

    @staticmethod
    def share(calls: list[Call]) -> float:
        """Served part of the calls."""
        return sum(call.status == 200 for call in calls) / max(1, len(calls))

    def before(self) -> list[Call]:
        """Calls before the loss."""
        return [call for call in self.calls if call.sent_at < self.lost_at - 1]

    def later(self) -> list[Call]:
        """Calls that were sent later than the bound after the return."""
        return [call for call in self.calls if call.sent_at > self.back_at + RECOVERY_S]

    def by_gateway(self) -> list[float]:
        """Served part of the first tries of `later`, by gateway, worst first."""
        numbers = sorted({call.gateway for call in self.later()})
        return sorted(self.share([call for call in self.later() if call.first and call.gateway == number])
                      for number in numbers)

    def by_second(self) -> list[float]:
        """Served part by second since the return."""
        length = int(max(call.sent_at for call in self.calls) - self.back_at)
        return [round(self.share([call for call in self.calls if 0 <= call.sent_at - self.back_at - second < 1]), 2)
                for second in range(length + 1)]

    def describe(self) -> str:
        """A few lines."""
        return (f"{len(self.calls)} tries; before {self.share(self.before()):.3f}, later "
                f"{self.share(self.later()):.3f}, first tries by gateway "
                f"{[round(share, 2) for share in self.by_gateway()]}\n  by second {self.by_second()}")


class Play:
    """Plays one scene."""

    def __init__(self, build: str, name: str, scene: Scene):
        self.scene = scene
        self.result = Result()
        self.out = Path(build) / "soak-returns" / name
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self._program = Path(build) / "bin" / "sailpath-gateway"
        self._store = Store(time.monotonic)
        self._servers: list[asyncio.subprocess.Process] = []
        self._callers: list[asyncio.subprocess.Process] = []
        self._gateways: list[Gateway] = []
        self._version = 0

    async def run(self) -> Result:
        """Play it."""
        try:
            await self._store.start()
            await self._start_servers()
            await self._change_configuration()
            await self._start_gateways()
            await self._start_callers()
            await self._play()
        finally:
            for gateway in self._gateways:
                gateway.end()
            for process in self._servers + self._callers:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return self.result

    @staticmethod
    async def _start(program: str, *arguments: object) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable, str(Path(__file__).parent / program), *(str(argument) for argument in arguments),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=OUTPUT_LIMIT)

    async def _start_servers(self) -> None:
        names = [service.name for service in SERVICES
                 for _ in range(max(2, round(self.scene.servers * service.servers)))]
        numbered = list(enumerate(names))
        for part in range(self.scene.server_processes):
            mine = numbered[part::self.scene.server_processes]
            process = await self._start("return_servers.py", self.scene.seed,
                                        *(f"{number}:{name}" for number, name in mine))
            self._servers.append(process)
            ports = (await process.stdout.readline()).split()
            for (number, name), port in zip(mine, ports, strict=True):
                await self._store.put(f"servers/i-{number}-1", {
                    "Service": name, "Address": f"127.0.0.1:{int(port)}", "Zone": "north", "Version": "v1",
                    "Slots": SLOTS, "State": "ready", "WarmupLeftS": 0, "Seq": 1, "born": 1})

    async def _change_configuration(self) -> None:
        """Write a new version; it has been acknowledged when this returns."""
        self._version += 1
        route = {"Host": HOST, "Priority": 1}
        await self._store.put("op/config", {
            "Version": self._version,
            "Services": [{"Name": service.name, "HealthPath": wire.HEALTH_PATH, "MaxConns": 860}
                         for service in SERVICES],
            "Routes": [{**route, "Name": f"r-{service.name}", "PathPrefix": f"/{service.name}/",
                        "RouteType": "safe" if service.repeatable else "unsafe", "TimeoutS": service.timeout_s,
                        "TargetLatencyS": service.target_s, "Service": service.name,
                        "MaxAttempts": 2 if service.repeatable else 1} for service in SERVICES]
                      + [{**route, "Name": f"r-version-{self._version}", "PathPrefix": f"/v{self._version}/",
                          "RouteType": "safe", "TimeoutS": 4.0, "TargetLatencyS": 0.6, "Service": SERVICES[0].name,
                          "MaxAttempts": 2}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}})

    async def _start_gateways(self) -> None:
        for number in range(self.scene.gateways):
            gateway = Gateway(number, "north", self._program, self.out, rules.Bounds(), History(), time.monotonic)
            await gateway.prepare(self._store.port)
            self._gateways.append(gateway)
        for gateway in self._gateways:
            gateway.seeds = [other.ports.peers for other in self._gateways[:3]]
            gateway.start()
        async with asyncio.timeout(30):
            for gateway in self._gateways:
                while not await Stage.is_ready(gateway):
                    await asyncio.sleep(0.05)

    async def _start_callers(self) -> None:
        scene = self.scene
        wait = "told" if scene.back_after_s < 0 else scene.back_after_s
        for number in range(scene.caller_processes):
            self._callers.append(await self._start(
                "return_callers.py", scene.seed * 1000 + number, scene.per_s / scene.caller_processes, wait,
                *(gateway.ports.callers for gateway in self._gateways)))

    async def _play(self) -> None:
        scene = self.scene
        await asyncio.sleep(scene.warm_s)
        self.result.lost_at = time.monotonic()
        troubles = [asyncio.create_task(trouble) for trouble in (
            self._for_a_while(self._servers, scene.delay_s, 0.0, scene.delay_for_s),
            self._for_a_while(self._callers, scene.times, 1.0, scene.times_for_s), self._silence_store())]
        for number in range(scene.losses):
            if number > 0:
                await asyncio.sleep(scene.between_s)
            await self._lose_all()
        self.result.back_at = time.monotonic()
        await asyncio.sleep(scene.after_s)
        await asyncio.gather(*troubles)
        for process in self._callers:
            process.stdin.close()
            output = await process.stdout.read()
            self.result.calls += [Call(**json.loads(line)) for line in output.splitlines()]

    async def _lose_all(self) -> None:
        """Kill all gateways right after an acknowledged change and start them again."""
        await self._change_configuration()
        for gateway in self._gateways:
            gateway.send(signal.SIGKILL)
        await asyncio.sleep(self.scene.down_s)
        for gateway in self._gateways:
            gateway.start()
            await asyncio.sleep(STARTS_WITHIN_S / len(self._gateways))

    @staticmethod
    async def _for_a_while(processes: list[asyncio.subprocess.Process], value: float, usual: float,
                           seconds: float) -> None:
        """Tell child processes a value, and the usual one after a time."""
        if seconds <= 0:
            return
        for process in processes:
            process.stdin.write(f"{value}\n".encode())
        await asyncio.sleep(seconds)
        for process in processes:
            process.stdin.write(f"{usual}\n".encode())

    async def _silence_store(self) -> None:
        if self.scene.store_silent_s <= 0:
            return
        self._store.fault = Fault.SILENT
        await asyncio.sleep(self.scene.store_silent_s)
        self._store.fault = Fault.NONE


def main() -> None:
    """Play a scene by hand: --build DIR --name NAME, and each field of `Scene` as a flag."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--name", default="by-hand")
    for item in fields(Scene):
        parser.add_argument("--" + item.name.replace("_", "-"), type=type(item.default), default=item.default)
    options = vars(parser.parse_args())
    build, name = options.pop("build"), options.pop("name")
    print(f"{name}: {asyncio.run(Play(build, name, Scene(**options)).run()).describe()}")


if __name__ == "__main__":
    main()
