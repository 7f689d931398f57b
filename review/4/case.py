"""One backend server spoils one answer to a fee payment: bytes without end. Do other callers lose their payments by it?

Two gateways, eight servers of a ledger service, callers that pay on kept connections. After WARM_S one server gives one
answer in chunks whose first chunk-size line does not end; it sends until its caller closes. The platform stand-in ends a
process that goes over MemoryMb, as DEPLOY.md says, and starts it again after RESTART_S.

Exit status: 1 when LOST is broken (more than MOST_LOST payments that a sound server had begun to run, taken from kept
connections that closed without an answer; a process that ends for its memory counts as running, by Own ends), 0 when it
held, 2 when the case could not run.
TROUBLE=0: the same without the spoiled answer.
"""

import asyncio
import json
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
SERVERS = 8
CALLERS = 10           # for each gateway
EVERY_S = 0.05         # from an answer to a caller's next payment
WARM_S = 4.0
ENDLESS_ANSWERS = 1
WATCH_S = 14.0
MOST_LOST = 3
SAMPLE_S = 0.02
RESTART_S = 1.0
DEADLINE_MS = 2500
GIVES_UP_S = 3.5
MEMORY_BYTES = fleet.MEMORY_MB * 1024 * 1024


class Caller:
    """Pays again and again, each time under an id of its own, on a connection that it keeps."""

    def __init__(self, number: int, gateway: fleet.Gateway):
        self._number = number
        self._gateway = gateway
        self.calls: list[dict] = []

    async def run(self, until: float) -> None:
        writer = None
        count = 0
        while time.monotonic() < until:
            count += 1
            call = {"id": f"pay-{self._number}-{count}", "gateway": self._gateway.name, "sent": time.monotonic(), "end": "none",
                    "kept": writer is not None}
            self.calls.append(call)
            try:
                async with asyncio.timeout(GIVES_UP_S):
                    if writer is None:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self._gateway.front)
                    writer.write(wire.request_bytes("POST", "/pay/seat", {
                        "Host": "admissa.example", wire.REQUEST_ID: call["id"], wire.DEADLINE_MS: str(DEADLINE_MS)}, b"fee"))
                    answer = await wire.read_message(reader)
                    call["end"] = answer.status
                    if answer.headers.get("connection", "") == "close":
                        writer.close()
                        writer = None
            except asyncio.TimeoutError:
                call["end"] = "no answer"
            except asyncio.IncompleteReadError:
                call["end"] = "connection ended"
            except OSError as error:
                call["end"] = type(error).__name__
            if isinstance(call["end"], str) and writer is not None:
                writer.transport.abort()
                writer = None
            call["took"] = time.monotonic() - call["sent"]
            await asyncio.sleep(EVERY_S)
        if writer is not None:
            writer.close()


async def watch_memory(stage: fleet.Fleet, out: Path, ends: list[dict], peaks: dict[str, int], until: float) -> None:
    """End a process that goes over its memory, as the platform does, and start it again."""
    seeds = [f"127.0.0.1:{gateway.control}" for gateway in stage.gateways]
    while time.monotonic() < until:
        for gateway in stage.gateways:
            used = gateway.resident_bytes()
            peaks[gateway.name] = max(peaks.get(gateway.name, 0), used)
            if used > MEMORY_BYTES or not gateway.running:
                why = "over MemoryMb" if used > MEMORY_BYTES else "ended by itself"
                ends.append({"gateway": gateway.name, "at": time.monotonic(), "bytes": used, "why": why})
                gateway.end()
                await asyncio.sleep(RESTART_S)
                gateway.start(seeds, stage.store.port, out / f"{gateway.name}.log")
        await asyncio.sleep(SAMPLE_S)


async def play(out: Path) -> int:
    stage = fleet.Fleet(GATEWAYS, out)
    servers = await asyncio.create_subprocess_exec(sys.executable, str(HERE / "server.py"), str(SERVERS),
                                                   stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24)
    try:
        await stage.store.start()
        for number, port in enumerate((await servers.stdout.readline()).split()):
            await stage.store.put(f"servers/i-{number}", {
                "Service": "offers-ledger", "Address": f"127.0.0.1:{int(port)}", "Zone": fleet.ZONES[number % 4],
                "Version": "v1", "Slots": 3, "State": "ready", "WarmupLeftS": 0, "Seq": 1})
        await stage.store.put("op/config", {
            "Version": 3, "Services": [{"Name": "offers-ledger", "HealthPath": "/health", "MaxConns": 260}],
            "Routes": [{"Name": "seat-confirm", "Host": "admissa.example", "PathPrefix": "/pay/", "RouteType": "unsafe",
                        "TimeoutS": 2.5, "TargetLatencyS": 0.3, "Priority": 0, "Service": "offers-ledger", "MaxAttempts": 3}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 5, "IdleTimeoutS": 15}})
        await stage.start()
        begun = time.monotonic()
        until = begun + WARM_S + WATCH_S
        ends: list[dict] = []
        peaks: dict[str, int] = {}
        callers = [Caller(number, stage.gateways[number % GATEWAYS]) for number in range(CALLERS * GATEWAYS)]
        tasks = [asyncio.create_task(caller.run(until)) for caller in callers]
        tasks.append(asyncio.create_task(watch_memory(stage, out, ends, peaks, until)))
        await asyncio.sleep(WARM_S)
        if TROUBLE:
            servers.stdin.write(b"endless %d\n" % ENDLESS_ANSWERS)
        await asyncio.gather(*tasks)
        servers.stdin.write(b"report\n")
        report = json.loads(await servers.stdout.readline())
        return judge(begun, callers, ends, peaks, report)
    finally:
        stage.close()
        servers.kill()
        await servers.wait()


def judge(begun: float, callers: list[Caller], ends: list[dict], peaks: dict[str, int], report: dict) -> int:
    calls = sorted((call for caller in callers for call in caller.calls), key=lambda call: call["sent"])
    ran = {request for _, request in report["ran"]}
    spoiled = {item["request"] for item in report["endless"]}
    lines = [f"trouble: {int(TROUBLE)}; times in seconds from the start of traffic"]
    for item in report["endless"]:
        ended = "still sent at the end" if item["ended_s"] is None else f"until its caller closed, {item['ended_s']:.2f} s"
        lines.append(f"endless answer to {item['request']} begun at {item['begun'] - begun:.2f}: {item['bytes']} bytes, {ended}")
    lines += [f"peak of {name}: {used / 2**20:.0f} MiB resident (MemoryMb {fleet.MEMORY_MB})" for name, used in sorted(peaks.items())]
    lines += [f"{item['gateway']} at {item['at'] - begun:.2f}: {item['why']}, {item['bytes'] / 2**20:.0f} MiB" for item in ends]
    ended = [call for call in calls if isinstance(call["end"], str) and call["end"] != "no answer"]
    lost = [call for call in ended if call["kept"] and call["id"] in ran and call["id"] not in spoiled]
    lines.append(f"{len(calls)} payments, {sum(call['end'] == 200 for call in calls)} answered 200, {len(ended)} whose connection "
                 f"ended or did not open, {len(lost)} of these begun by a sound server and taken from a kept connection (at most {MOST_LOST})")
    lines += [f"{call['sent'] - begun:.2f} {call['gateway']} {call['id']} {call['end']} after {call.get('took', 0):.2f}"
              f"{' ran' if call['id'] in ran else ''}" for call in calls]
    (HERE / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[:len(lines) - len(calls)]))
    if not any(call["end"] == 200 for call in calls) or (TROUBLE and not report["endless"]):
        return 2
    return 1 if len(lost) > MOST_LOST else 0


if __name__ == "__main__":
    fleet.run_case(play)
