"""Answers that do not come, on a route whose requests take less than a millisecond, hang the whole gateway.

SERVERS servers answer a `safe` route at once. CALLERS callers send a GET each EVERY_S for QUICK_S, so that the gateway
learns how long the route takes; for longer, if the machine is too busy for quick answers. Then each server keeps silent
about the share SILENT of its requests for SILENT_S (not with TROUBLE=0); its health check stays good. Rule CONFIG: of
the requests that are still unanswered at their route's TimeoutS, more than half have no answer half a second later. The
gateway is watched for WATCH_S more.
"""

import asyncio
import contextlib
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common  # noqa: E402
import wire  # noqa: E402

CASE = Path(__file__).resolve().parent
SERVERS = 13             # as of catalogue of the site
SILENT = 0.45            # share of the requests, as srv_grey of the site and with `mute` of kt-windhoek-grown, and
SILENT_S = 8.5           # how long: as srv_grey with `all` on the day scale-1 of the site
CALLERS = 150
EVERY_S = 0.5
QUICK_S = 12.0           # at least, and
QUICK_MOST_S = 45.0      # at most, until half of the latest QUICK_CALLS calls take less than QUICK_MS
QUICK_CALLS = 1000
QUICK_MS = 2.5           # with the callers' and the gateway's own part
WATCH_S = 8.0
TIMEOUT_S = 2.0          # TimeoutS of the route, as of price-lookup of the site
AIM_S = 0.6
AFTER_TIMEOUT_S = 0.5    # the rule's
DEADLINE_MS = 4000
LONGEST_S = 90.0


class Callers:
    """Callers, each with one connection that it keeps, one request at a time."""

    def __init__(self, port: int):
        self._port = port
        self.calls: list[dict] = []  # request, sent, ended (None: not answered), status
        self.stop = asyncio.Event()

    async def run(self, number: int) -> None:
        """Send a request each EVERY_S."""
        count = 0
        reader = writer = None
        while not self.stop.is_set():
            count += 1
            call = {"request": f"{number:02x}{count:014x}", "sent": time.monotonic(), "ended": None, "status": None}
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    if writer is None:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                        call["sent"] = time.monotonic()
                    writer.write(wire.request_bytes("GET", "/price/look", {
                        "Host": common.HOST, wire.REQUEST_ID: call["request"], wire.DEADLINE_MS: str(DEADLINE_MS)}, b""))
                    self.calls.append(call)
                    answer = await wire.read_message(reader)
                call["ended"], call["status"] = time.monotonic(), answer.status
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if writer is not None:
                    writer.close()
                reader = writer = None
            await asyncio.sleep(EVERY_S)


async def watch_readiness(gateway: common.Gateway, record: common.Record) -> None:
    """Ask each second; two misses in a row put the gateway out."""
    misses = 0
    while True:
        misses = 0 if await gateway.is_ready() else misses + 1
        if misses == 2:
            record("readiness: two questions in a row without an answer")
        await asyncio.sleep(1)


def usual_ms(calls: list[dict]) -> float:
    """Time within which half of the latest calls were answered 200."""
    took = sorted(call["ended"] - call["sent"] for call in calls[-QUICK_CALLS:] if call["status"] == 200)
    return took[len(took) // 2] * 1000 if len(took) >= QUICK_CALLS / 2 else float("inf")


def processor_s(gateway: common.Gateway) -> float:
    """Processor time of the process, by the system."""
    fields = Path(f"/proc/{gateway.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def play(folder: Path, record: common.Record) -> bool:
    """Play the case once; true when the rule was broken."""
    store = common.Store(time.monotonic)
    await store.start()
    flag = folder / "servers-are-silent"
    servers: list[subprocess.Popen] = []
    tasks: list[asyncio.Task] = []
    gateways: list[common.Gateway] = []
    try:
        for number in range(SERVERS):
            server = subprocess.Popen([sys.executable, str(CASE / "server.py"), f"i-{number}", str(flag), str(SILENT)],
                                      stdout=subprocess.PIPE, text=True)
            servers.append(server)
            port = int(server.stdout.readline())
            await common.announce(store, f"i-{number}", "catalogue", "khomas-" + "abc"[number % 3], port, slots=6)
        await store.put("op/config", common.configuration(
            [common.route("r-price", "/price/", "safe", "catalogue", TIMEOUT_S, AIM_S)], ["catalogue"]))
        gateways = await common.start_gateways(1, store, folder)
        gateway = gateways[0]
        callers = Callers(gateway.front)
        tasks = [asyncio.create_task(callers.run(number)) for number in range(CALLERS)]
        tasks.append(asyncio.create_task(watch_readiness(gateway, record)))
        await asyncio.sleep(QUICK_S)
        until = time.monotonic() + QUICK_MOST_S - QUICK_S
        while (half_ms := usual_ms(callers.calls)) > QUICK_MS:
            if time.monotonic() > until:
                raise common.CouldNotRun(f"the machine is too busy: half of the calls take over {half_ms:.1f} ms")
            await asyncio.sleep(1)
        record(f"callers: {len(callers.calls)} requests so far, half of the latest answered 200 within {half_ms:.2f} ms")
        begun = time.monotonic()
        if common.trouble():
            record(f"servers: keep silent about {SILENT} of their requests")
            flag.touch()
        await asyncio.sleep(SILENT_S)
        flag.unlink(missing_ok=True)
        record("servers: answer all requests again")
        used = processor_s(gateway)
        await asyncio.sleep(WATCH_S)
        judged_at = time.monotonic()
        record(f"gateway: exit code {gateway.process.poll()}, ready {await gateway.is_ready()}, used "
               f"{(processor_s(gateway) - used) / WATCH_S * 100:.0f} % of a core in the last {WATCH_S:.0f} s")
        callers.stop.set()
        return judge(callers.calls, begun, judged_at, record)
    finally:
        for task in tasks:
            task.cancel()
        for item in gateways:
            item.end()
        for server in servers:
            server.kill()
            server.wait()


def judge(calls: list[dict], begun: float, judged_at: float, record: common.Record) -> bool:
    """Whether most requests that are unanswered at TimeoutS have no answer half a second later."""
    at_timeout = late = answered = 0
    for call in calls:
        if call["sent"] < begun or call["sent"] + TIMEOUT_S + AFTER_TIMEOUT_S > judged_at:
            continue
        took = float("inf") if call["ended"] is None else call["ended"] - call["sent"]
        answered += took <= TIMEOUT_S
        at_timeout += took > TIMEOUT_S
        late += took > TIMEOUT_S + AFTER_TIMEOUT_S
        if took > TIMEOUT_S:
            record(f"caller: {call['request']}: sent {call['sent'] - begun:.3f} s after the trouble began, "
                   f"status {call['status']}, took {took:.3f} s")
    record(f"callers: {answered} requests answered within TimeoutS, {at_timeout} not; of these {late} without an answer "
           f"{AFTER_TIMEOUT_S} s later")
    return late * 2 > at_timeout


sys.exit(common.run_case(CASE, play, LONGEST_S))
