"""A server's word that it leaves, heard while its entry is gone from the store: does the machine that passed it on keep to it?

Two gateways, four servers of one service, callers that read at both. Server 0 is to be replaced. Three of its writes to the store
are left without an answer and are done LATE_S later: so its entry lapses after three heartbeats, comes back by a heartbeat that
it began before it left, and says `draining` only when that write is done too. From LEAVES_AT_S on its answers to requests
say `Server-Leaving: 1`.

Counted, as the rule DRAIN of the letters says, for each machine: requests that a client sent later than DrainS after that machine
had passed on an answer with `Server-Leaving` (the time at which the client had it) and that reached that server from that machine.
Exit status: 1 when there is one, 0 when there is none, 2 when the case could not run.
TROUBLE=0: the store takes the server's writes at once.
"""

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet_2 as fleet  # noqa: E402
import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 2
SERVERS = 4
SLOTS = 3
QUEUE = 6
MAX_CONNS = 260
WORK_S = 0.7
CALLERS = 5            # for each gateway
EVERY_S = 0.02
DEADLINE_MS = 6000
DRAIN_S = fleet.BOUNDS["DrainS"]
HEARTBEAT_S = 1.5
# Seconds from the start of traffic, of server 0
LAST_WRITE_S = 1.0                             # the last write that the store did in time
LATE_S = 5.5                                   # what it left without an answer it does 1 to 6 s later (platform_lost, late)
LAPSES_AT_S = LAST_WRITE_S + 3 * HEARTBEAT_S   # 5.5
HEARTBEATS_AT_S = (LAST_WRITE_S + HEARTBEAT_S, LAST_WRITE_S + 2 * HEARTBEAT_S)  # 2.5, 4.0: begun as `ready`, done at 8.0 and 9.5
LEAVES_AT_S = 5.6                              # begins to write `draining`, which is done at 11.1
ENDS_AT_S = 15.0                               # it serves on for DrainS and longer
LASTS_S = 16.0


class Server:
    """A server that works WORK_S on each request."""

    def __init__(self, number: int):
        self.id = f"i-{number}"
        self.port = 0
        self.leaving = False
        self.arrivals: list[dict] = []
        self._running = 0  # waiting ones too
        self._open = 0
        self._free = asyncio.Semaphore(SLOTS)

    async def start(self) -> None:
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]

    def entry(self, state: str, sequence: int) -> dict:
        """Its entry in the store."""
        return {"Service": "partner-exchange", "Address": f"127.0.0.1:{self.port}", "Zone": fleet.ZONES[0], "Version": "v1",
                "Slots": SLOTS, "State": state, "WarmupLeftS": 0, "Seq": sequence}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open >= MAX_CONNS:
            fleet.reset(writer)
            return
        self._open += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await wire.read_message(reader)
                load = {wire.SERVER_LOAD: f"{min(self._running, SLOTS)},{max(0, self._running - SLOTS)},{SLOTS},100"}
                if message.target == wire.HEALTH_PATH:
                    writer.write(wire.answer_bytes(503 if self.leaving else 200, {**load, wire.INSTANCE_ID: self.id}, b""))
                    continue
                request = message.headers[wire.REQUEST_ID]
                self.arrivals.append({"id": request, "at": time.monotonic(), "leaving": self.leaving})
                if self._running >= SLOTS + QUEUE:
                    writer.write(wire.answer_bytes(503, {**load, wire.REQUEST_ID: request, wire.NOT_EXECUTED: "full"}, b""))
                    continue
                self._running += 1
                async with self._free:
                    await asyncio.sleep(WORK_S)
                self._running -= 1
                leaving = {"Server-Leaving": "1", "Connection": "close"} if self.leaving else {}
                writer.write(wire.answer_bytes(200, {**load, **leaving, wire.REQUEST_ID: request,
                                                     wire.SIGNATURE: f"{self.id}.{request}"}, b"catalogue"))
                if leaving:
                    break
        self._open -= 1
        writer.close()


class Caller:
    """Reads again and again on a connection that it keeps."""

    def __init__(self, name: str, gateway: fleet.Gateway):
        self._name = name
        self.gateway = gateway
        self.calls: list[dict] = []

    async def run(self, until: float) -> None:
        writer = None
        while time.monotonic() < until:
            call = {"id": f"{self._name}-{len(self.calls) + 1}", "gateway": self.gateway.name, "sent": time.monotonic(), "end": "",
                    "by": "", "leaving": False}
            self.calls.append(call)
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    if writer is None:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.front)
                    writer.write(wire.request_bytes("GET", "/sync/catalogue", {
                        "Host": "admissa.example", wire.REQUEST_ID: call["id"], wire.DEADLINE_MS: str(DEADLINE_MS)}, b""))
                    answer = await wire.read_message(reader)
                call["end"] = answer.status
                call["by"] = answer.headers.get(wire.SIGNATURE, "").partition(".")[0]
                call["leaving"] = "server-leaving" in answer.headers
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                call["end"] = type(error).__name__
                if writer is not None:
                    writer.transport.abort()
                writer = None
            call["answered"] = time.monotonic()
            await asyncio.sleep(EVERY_S)


async def replace(store, server: Server, begun: float) -> None:
    """What becomes of server 0 and its entry."""
    async def at(seconds: float) -> None:
        await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))

    key = f"servers/{server.id}"
    if TROUBLE:
        await at(LAPSES_AT_S)
        await store.remove(key)
    await at(LEAVES_AT_S)
    server.leaving = True
    late = LATE_S if TROUBLE else 0.0
    if TROUBLE:
        for sequence, written_at in enumerate(HEARTBEATS_AT_S, 2):
            await at(written_at + late)
            await store.put(key, server.entry("ready", sequence))
    await at(LEAVES_AT_S + late)
    await store.put(key, server.entry("draining", 4))
    await at(ENDS_AT_S)
    await store.remove(key)


async def play(out: Path) -> int:
    stage = fleet.Fleet(GATEWAYS, out)
    try:
        await stage.store.start()
        servers = [Server(number) for number in range(SERVERS)]
        for server in servers:
            await server.start()
            await stage.store.put(f"servers/{server.id}", server.entry("ready", 1))
        await stage.store.put("op/config", {
            "Version": 3, "Services": [{"Name": "partner-exchange", "HealthPath": wire.HEALTH_PATH, "MaxConns": 260}],
            "Routes": [{"Name": "listing-sync", "Host": "admissa.example", "PathPrefix": "/sync/", "RouteType": "safe",
                        "TimeoutS": 6.0, "TargetLatencyS": 1.5, "Priority": 1, "Service": "partner-exchange", "MaxAttempts": 3}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 5, "IdleTimeoutS": 15}})
        await stage.start()
        begun = time.monotonic()
        callers = [Caller(f"sync-{number}", stage.gateways[number % GATEWAYS]) for number in range(CALLERS * GATEWAYS)]
        await asyncio.gather(replace(stage.store, servers[0], begun), *(caller.run(begun + LASTS_S) for caller in callers))
        ended_early = [gateway.name for gateway in stage.gateways if not gateway.running]
        return judge(begun, stage.gateways, callers, servers[0], ended_early)
    finally:
        stage.close()


def judge(begun, gateways, callers, leaver, ended_early) -> int:
    calls = {call["id"]: call for caller in callers for call in caller.calls}
    lines = [f"trouble: {int(TROUBLE)}; times in seconds from the start of traffic",
             f"{len(calls)} requests, {sum(call['end'] == 200 for call in calls.values())} answered 200; machines that ended: {ended_early}"]
    broken = 0
    heard = 0
    for gateway in gateways:
        words = [call["answered"] for call in calls.values() if call["gateway"] == gateway.name and call["leaving"]]
        if not words:
            lines.append(f"{gateway.name} passed on no answer with Server-Leaving")
            continue
        heard += 1
        late = [item for item in leaver.arrivals if calls[item["id"]]["gateway"] == gateway.name
                and calls[item["id"]]["sent"] > min(words) + DRAIN_S]
        broken += len(late)
        lines.append(f"{gateway.name} passed on Server-Leaving first at {min(words) - begun:.2f}; {len(late)} requests that clients sent "
                     f"later than {DRAIN_S} s after that reached {leaver.id} from it (at most 0)")
        lines += [f"  {item['id']} sent at {calls[item['id']]['sent'] - begun:.2f} reached it at {item['at'] - begun:.2f}" for item in late]
    shown = len(lines)
    lines += [f"{item['at'] - begun:.2f} {item['id']} reached {leaver.id} from {calls[item['id']]['gateway']}" for item in leaver.arrivals]
    lines += [f"{call['sent'] - begun:.2f} {call['gateway']} {call['id']} {call['end']} by {call['by']}{' leaving' if call['leaving'] else ''} "
              f"at {call['answered'] - begun:.2f}" for call in sorted(calls.values(), key=lambda call: call["sent"])]
    (HERE / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[:shown]))
    if ended_early or (TROUBLE and heard == 0) or not any(call["end"] == 200 for call in calls.values()):
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    fleet.run_case(play)
