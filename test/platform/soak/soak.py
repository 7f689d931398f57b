"""Randomized soak of the real gateway under faults from outside; see docs/design/soak.md.

Prints the faults it injects and what the rules found; exits with 1 when a rule was broken.
"""

import argparse
import asyncio
import itertools
import json
import random
import shutil
import signal
import sys
import time
from pathlib import Path

import rules
import wire
from callers import BULK, Caller, Kind, SlowReader
from fleet import Gateway
from history import History, Limited, PathCut, Span, Version
from proxy import Cut, Mode, Proxy
from quick import QuickCaller, start_quick_server
from servers import Server
from store import Fault, Store

ZONES = ("north", "south", "east")
KINDS = [Kind("/read/", True, 1.0, 30, 0), Kind("/slow/", True, 1.5, 300, 0), Kind("/pay/", False, 1.2, 40, 2000),
         Kind("/move/", True, 1.0, 20, 0)]
QUICK = Kind("/quick/", True, 1.0, 0, 0)
QUICK_SERVERS = 3
QUICK_GATEWAYS = 2
QUICK_CALLERS = 60
QUICK_EVERY_S = 0.4
QUICK_SILENT = 0.45
MOVING = ("m0", "m1", "m2")
SERVERS = [("a", 4), ("b", 3), ("m0", 2), ("m1", 2), ("m2", 2), ("k", 2)]
QUIET_S = 5.0


class Soak:
    """One run: gateways, stand-ins, callers, faults."""

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._random = random.Random(options.seed)
        self._history = History()
        self._bounds = rules.Bounds(slack=options.slack)
        self._store = Store(time.monotonic)
        self._servers: list[Server] = []
        self._links: dict[Server, Proxy] = {}
        self._gateways: list[Gateway] = []
        self._version = 0
        self._tasks: set[asyncio.Task] = set()
        self._counts: dict[str, int] = {}
        self._overdue_stops = 0
        self._quick_silent = False
        self._culprits = 0
        self._ends_by = 0.0
        self._returning: set[Server] = set()  # They start again soon
        self._quick_servers: list[asyncio.subprocess.Process] = []
        self._quick_calls: list[tuple[int, float, float | None, int]] = []  # gateway, sent, answered, status
        self._readiness: list[asyncio.Task] = []
        self._cut_off: set[Gateway] = set()  # They have lost their path to servers

    async def run(self) -> list[str]:
        """Play the run; what the rules found."""
        try:
            return await self._play()
        finally:
            for gateway in self._gateways:
                gateway.end()
            for server in self._quick_servers:
                server.kill()
                await server.wait()

    async def _play(self) -> list[str]:
        await self._prepare()
        begun = time.monotonic()
        until = begun + self._options.seconds
        callers = [Caller(n, [gateway.door for gateway in self._gateways], KINDS, self._history, time.monotonic,
                          self._options.seed * 1000 + n) for n in range(self._options.callers)]
        callers += [SlowReader(2000 + n, [gateway.door for gateway in self._gateways], [BULK], self._history,
                               time.monotonic, self._options.seed * 1000 + 500 + n)
                    for n in range(self._options.slow_readers)]
        quick = [QuickCaller(n, gateway.ports.callers, f"{QUICK.path}1", QUICK_EVERY_S)
                 for n in range(QUICK_CALLERS if self._options.quick else 0)
                 for gateway in [self._gateways[n % min(QUICK_GATEWAYS, len(self._gateways))]]]
        traffic = [asyncio.create_task(caller.run(until)) for caller in [*callers, *quick]]
        self._ends_by = until - QUIET_S - 4
        await self._inject(self._ends_by)
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        await asyncio.gather(*traffic)
        for gateway in self._gateways:
            gateway.end()
        for number, caller in enumerate(quick):
            gateway = number % min(QUICK_GATEWAYS, len(self._gateways))
            self._quick_calls += [(gateway, *call) for call in caller.calls]
        # Connections that the end of the run breaks off are nobody's failure.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        findings = self._check(until - QUIET_S)
        self._report(time.monotonic() - begun, findings)
        return findings

    async def _prepare(self) -> None:
        out = Path(self._options.out)
        shutil.rmtree(out, ignore_errors=True)
        out.mkdir(parents=True)
        await self._store.start()
        for number, (service, _) in enumerate(itertools.chain.from_iterable([entry] * entry[1] for entry in SERVERS)):
            server = Server(number, service, ZONES[number % len(ZONES)], self._store, self._history, time.monotonic,
                            self._options.seed * 100 + number)
            await server.listen()
            link = Proxy(("127.0.0.1", server.port))
            link.is_cut_off = self._is_cut_off
            await link.start()
            server.advertised = link.port
            server.unreachable = self._closer(link)
            self._servers.append(server)
            self._links[server] = link
            await server.start()
        for number in range(QUICK_SERVERS if self._options.quick else 0):
            server = await start_quick_server(f"q-{number}", QUICK_SILENT)
            self._quick_servers.append(server)
            port = int(await server.stdout.readline())
            await self._store.put(f"servers/q-{number}", {
                "Service": "q", "Address": f"127.0.0.1:{port}", "Zone": "none", "Version": "v1", "Slots": 100,
                "State": "ready", "WarmupLeftS": 0, "Seq": 1, "born": 1})
        await self._configure()
        program = Path(self._options.build) / "bin" / "sailpath-gateway"
        for number in range(self._options.gateways):
            gateway = Gateway(number, ZONES[number % len(ZONES)], program, out, self._bounds, self._history,
                              time.monotonic)
            await gateway.prepare(self._store.port)
            self._gateways.append(gateway)
        for gateway in self._gateways:
            gateway.seeds = [other.ports.peers for other in self._gateways[:3]]
            gateway.start()
        self._readiness = [asyncio.create_task(gateway.watch_readiness()) for gateway in self._gateways]
        for _ in range(200):
            if all(gateway.door.ready for gateway in self._gateways):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways did not become ready")

    @staticmethod
    def _closer(link: Proxy):
        async def unreachable(closed: bool) -> None:
            await (link.close() if closed else link.reopen())
        return unreachable

    async def _configure(self) -> None:
        self._version += 1
        service = MOVING[self._version % len(MOVING)]

        def route(path: str, kind: Kind, target: str) -> dict[str, object]:
            return {"Name": "r" + path.strip("/"), "Host": "soak.example", "PathPrefix": path,
                    "RouteType": "safe" if kind.repeatable else "unsafe", "TimeoutS": kind.timeout,
                    "TargetLatencyS": 0.6, "Priority": 1, "Service": target, "MaxAttempts": 2}

        targets = {"/read/": "a", "/slow/": "a", "/pay/": "b", "/move/": service, "/quick/": "q", BULK.path: "k"}
        await self._store.put("op/config", {
            "Version": self._version, "Routes": [route(kind.path, kind, targets[kind.path]) for kind in [*KINDS, QUICK, BULK]],
            "Services": [{"Name": name, "HealthPath": wire.HEALTH_PATH, "MaxConns": 200} for name in [*(name for name, _ in SERVERS), "q"]],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}})
        self._history.versions.append(Version(self._version, service, time.monotonic()))

    async def _inject(self, until: float) -> None:
        faults = [getattr(self, name) for name in dir(self) if name.startswith("fault_")]
        if self._options.scenario:
            faults = [fault for fault in faults if self._options.scenario in fault.__name__]
        await asyncio.sleep(2)
        while time.monotonic() < until:
            fault = self._random.choice(faults)
            self._counts[fault.__name__[6:]] = self._counts.get(fault.__name__[6:], 0) + 1
            task = asyncio.create_task(fault(self._random.uniform(0.5, 3.5)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(0.2, 2.5))

    # Faults. Each takes about `seconds` and mends what it broke.

    async def fault_kill(self, seconds: float) -> None:
        await self._random.choice(self._gateways).kill(seconds / 3)

    async def fault_kill_all(self, seconds: float) -> None:
        if self._random.random() < 0.3:
            await asyncio.gather(*(gateway.kill(seconds / 3) for gateway in self._gateways))

    async def fault_freeze(self, seconds: float) -> None:
        await self._random.choice(self._gateways).freeze(seconds)

    async def fault_planned_stop(self, _: float) -> None:
        gateway = self._random.choice(self._gateways)
        if not gateway.running or any(stop.gateway == gateway.number and stop.ended_at == float("inf")
                                      for stop in self._history.stops):
            return
        if not await gateway.stop_as_planned() and \
                not self._history.disturbed(time.monotonic() - 9, time.monotonic() - 0.1, gateway.number):
            self._overdue_stops += 1

    async def fault_planned_stops_in_series(self, _: float) -> None:
        for _ in range(2):
            await self.fault_planned_stop(0)

    async def fault_servers_silent(self, seconds: float) -> None:
        if self._quick_silent:
            return
        self._quick_silent = True
        for line in (b"silent\n", b"answer\n"):
            for server in self._quick_servers:
                server.stdin.write(line)
            await asyncio.sleep(2 * seconds)
        self._quick_silent = False

    async def fault_hang_up(self, _: float) -> None:
        for gateway in self._gateways:
            gateway.send(signal.SIGHUP)

    async def fault_store(self, seconds: float) -> None:
        fault = self._random.choice([fault for fault in Fault if fault != Fault.NONE])
        span = Span(time.monotonic(), float("inf"))
        self._history.spans.append(span)
        self._store.fault = fault
        await asyncio.sleep(seconds)
        lapsed = [server for server in self._servers if server.up and self._random.random() < 0.5]
        if self._random.random() < 0.3:
            for server in lapsed:
                await server.lapse()
        self._store.fault = Fault.NONE
        for server in lapsed:
            await asyncio.sleep(0.1)
            if server.up:
                await server.announce()
        span.end = time.monotonic()

    async def fault_compaction(self, _: float) -> None:
        span = Span(time.monotonic(), time.monotonic() + 0.5)
        self._history.spans.append(span)
        await self._store.compact()

    async def fault_store_link(self, seconds: float) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.disturb(seconds + 0.5)
        await self._break_link(gateway.to_store, seconds)

    async def fault_caller_link(self, seconds: float) -> None:
        gateway = self._random.choice(self._gateways)
        gateway.disturb(seconds + 0.5)
        await self._break_link(gateway.front, seconds)

    async def fault_server_link(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        self._history.spans.append(Span(time.monotonic(), time.monotonic() + seconds + 0.5, server=server.identity))
        await self._break_link(self._links[server], seconds)

    def _is_cut_off(self, source: str) -> bool:
        return any(gateway.source == source for gateway in self._cut_off)

    async def cut_paths(self, gateways: list[Gateway], cut: Cut, seconds: float, servers: list[Server]) -> None:
        """Cut gateways off from servers and nothing else; a later cut takes the place of one that goes on."""
        start = time.monotonic()
        whole = len(servers) == len(self._servers)
        cuts = [PathCut(gateway.number, start) for gateway in gateways if whole]
        self._history.path_cuts += cuts
        self._cut_off = set(gateways)
        for server in servers:
            self._links[server].set_cut(cut)
        await asyncio.sleep(seconds)
        for path_cut in cuts:
            path_cut.end = time.monotonic()
        if self._cut_off == set(gateways):
            for link in self._links.values():
                link.set_cut(None)

    async def fault_lost_paths(self, seconds: float) -> None:
        count = self._random.randint(1, len(self._gateways) - 1)
        gateways = self._random.sample(self._gateways, count)
        whole = self._random.random() < 0.7
        servers = [server for server in self._servers if whole or self._random.random() < 0.6]
        cut = self._random.choice(list(Cut))
        await self.cut_paths(gateways, cut, 3 + 2 * seconds, servers)

    async def _break_link(self, link: Proxy, seconds: float) -> None:
        link.set_mode(self._random.choice([mode for mode in Mode if mode != Mode.PASS]))
        await asyncio.sleep(seconds)
        link.set_mode(Mode.PASS)

    async def fault_server_crash(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        if not server.up or server.draining:
            return
        server.crash()
        await asyncio.sleep(seconds)
        same_id = self._random.random() < 0.5
        if not same_id:
            await server.lapse()
        await server.start(same_id=same_id)

    async def fault_server_behaves(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        wrong = self._random.choice([("slowdown", 8.0), ("lose", 0.4), ("garble", 0.4), ("extra", 0.4), ("fail", 0.5),
                                     ("shed", True), ("silent", 0.45)])
        setattr(server.behaviour, *wrong)
        await asyncio.sleep(seconds)
        setattr(server.behaviour, wrong[0], type(server.behaviour)().__dict__[wrong[0]])

    async def fault_server_limited(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        if not server.up or server.draining or server.behaviour.limit is not None:
            return
        behaviour, identity = server.behaviour, server.identity
        behaviour.limit = self._random.choice([0.5, 1.5, 3.0])
        limited = Limited(identity, behaviour.limit, time.monotonic())
        self._history.limited.append(limited)
        until = min(limited.start + 4 + 2 * seconds, self._ends_by + 2)
        while time.monotonic() < until and server.behaviour is behaviour:
            await asyncio.sleep(0.1)
        limited.end = time.monotonic() - 0.1
        behaviour.limit = None

    async def fault_server_drains(self, _: float) -> None:
        server = self._random.choice(self._servers)
        if not server.up or server.draining:
            return
        await server.drain()
        await asyncio.sleep(self._bounds.drain + self._random.uniform(0.5, 2))
        await server.leave()
        await asyncio.sleep(2)
        others = [name for name, _ in SERVERS]
        swap = self._random.random() < 0.3 and sum(other.service == server.service and other.up
                                                   for other in self._servers) >= 2
        await server.start(self._random.choice(others) if swap else None)

    def _peers_of(self, server: Server) -> list[Server]:
        """The server, or now and then all of its service that are up."""
        if self._random.random() < 0.7:
            return [server]
        return [other for other in self._servers if other.service == server.service and other.up]

    async def fault_server_backs_off(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        behaviours = [other.behaviour for other in self._peers_of(server)]
        back_off = self._random.choice([1.0, 3.0, 7.0])
        for behaviour in behaviours:
            behaviour.shed, behaviour.back_off = True, back_off
        await asyncio.sleep(seconds * 1.5)
        for behaviour in behaviours:
            behaviour.shed = False

    async def fault_server_leaves_by_answers(self, _: float) -> None:
        server = self._random.choice(self._servers)
        leaving = [other for other in self._peers_of(server) if other.up and not other.leaving]
        lives = {other: other.identity for other in leaving}
        for other in leaving:
            other.behaviour.leaving = True
        await asyncio.sleep(self._bounds.drain + self._random.uniform(1, 4))
        for other in leaving:
            if other.up and other.identity == lives[other]:
                await other.leave()
        await asyncio.sleep(0.5)
        for other in leaving:
            if not other.up and other not in self._returning:
                await other.start()

    async def fault_request_ends_servers(self, seconds: float) -> None:
        self._culprits += 1
        kind = self._random.choice(KINDS[:3])
        caller = Caller(1000 + self._culprits, [gateway.door for gateway in self._gateways], [kind], self._history,
                        time.monotonic, self._options.seed * 777 + self._culprits)
        until = min(time.monotonic() + 4 * seconds + 4, self._ends_by)
        sending = asyncio.create_task(caller.send_again(f"{kind.path}ends-{self._culprits}", until))
        while time.monotonic() < until or not sending.done():
            await asyncio.sleep(0.2)
            for server in self._servers:
                if not server.up and server not in self._returning and not server.draining:
                    self._returning.add(server)
                    task = asyncio.create_task(self._come_back(server))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _come_back(self, server: Server) -> None:
        await asyncio.sleep(self._random.uniform(1, 3))
        if not server.up:
            same_id = self._random.random() < 0.5
            if not same_id:
                await server.lapse()
            await server.start(same_id=same_id)
        self._returning.discard(server)

    async def fault_server_starts_again(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        if not server.up or server.draining or server in self._returning:
            return
        self._returning.add(server)
        server.crash()
        await asyncio.sleep(seconds / 4)
        await server.start(same_id=True)
        self._returning.discard(server)

    async def fault_foreign_entries(self, seconds: float) -> None:
        server = self._random.choice(self._servers)
        whole = {"Service": "a", "Address": f"127.0.0.1:{server.advertised}", "Zone": "north", "Version": "v1",
                 "Slots": 3, "State": "ready", "WarmupLeftS": 0, "Seq": 1, "born": 5}
        name = self._random.choice(list(whole))
        values = ["", "\xff\xfe", "[" * 5000, "null", json.dumps({**whole, name: {"x": [1]}}),
                  json.dumps({key: value for key, value in whole.items() if key != name}),
                  json.dumps({**whole, "State": "resting"})]
        keys = [f"servers/foreign-{self._random.randrange(5)}", "servers/a/b", "other/key",
                "sailpath/quarantine/none", f"sailpath/quarantine/{'0' * 32}"]
        for key in keys:
            await self._store.put_bytes(key, self._random.choice(values))
        # Another writer's value in place of a server's own, until the server writes again.
        await self._store.put_bytes(f"servers/{server.id}", self._random.choice(values[:5]))
        await asyncio.sleep(seconds / 2)
        if server.up:
            await server.announce()
        for key in keys:
            await self._store.remove(key)

    async def fault_configuration(self, _: float) -> None:
        for _ in range(self._random.choice([1, 1, 4])):
            await self._configure()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))

    def _check(self, quiet_since: float) -> list[str]:
        findings = []
        for name, rule in rules.RULES.items():
            findings += [f"{name}: {finding}" for finding in rule(self._history, self._bounds)]
        late = [call for call in self._history.calls if call.sent_at > quiet_since]
        findings += [f"recovery: {finding}" for finding in rules.recovery(late)]
        findings += self._unanswered_quick_calls()
        for gateway in self._gateways:
            if gateway.log_names("loop-stalled"):
                findings.append(f"stall: gateway {gateway.number} stood still")
        if self._overdue_stops:
            findings.append(f"planned-stop: {self._overdue_stops} gateways did not end within the grace")
        return findings

    def _unanswered_quick_calls(self) -> list[str]:
        """Calls of the quick route without a final answer in time, but for those under a disturbance or a stop."""
        findings = []
        for gateway, sent, answered, _ in self._quick_calls:
            due = sent + QUICK.timeout + self._bounds.late + self._bounds.slack
            stopping = any(stop.gateway == gateway and stop.at <= due and sent <= stop.ended_at + 1
                           for stop in self._history.stops)
            if (answered or float("inf")) > due and not stopping and \
                    not self._history.disturbed(sent - self._bounds.contact, due, gateway):
                findings.append(f"quick-route: no answer {due - sent:.1f} s after it was sent to gateway {gateway}")
        return findings

    def _report(self, seconds: float, findings: list[str]) -> None:
        calls = self._history.calls
        statuses: dict[int, int] = {}
        for call in calls:
            statuses[call.status] = statuses.get(call.status, 0) + 1
        print(f"seed={self._options.seed} seconds={seconds:.0f} requests={len(calls)} "
              f"arrivals={len(self._history.arrivals)} statuses={dict(sorted(statuses.items()))} "
              f"quick={len(self._quick_calls)} faults={dict(sorted(self._counts.items()))} "
              f"ended={sum(arrival.ended_server for arrival in self._history.arrivals)}/{self._culprits} store-calls={self._store.calls} broken={len(findings)}")
        for finding in findings[:20]:
            print("  " + finding)


def main() -> int:
    """Read the command line and play one run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="directory of the build")
    parser.add_argument("--out", default="build/soak-gateway", help="directory for the logs of the gateways")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--gateways", type=int, default=5)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--slow-readers", type=int, default=5, help="callers that read large answers slowly")
    parser.add_argument("--no-quick", dest="quick", action="store_false", help="without the route of no work")
    parser.add_argument("--slack", type=float, default=0.4, help="added to bounds in time, seconds")
    parser.add_argument("--scenario", default="", help="only faults whose name contains this")
    return 1 if asyncio.run(Soak(parser.parse_args()).run()) else 0


if __name__ == "__main__":
    sys.exit(main())
