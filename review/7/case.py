"""A request that ends each server that runs it, at a machine that reaches servers through other machines only.

Four gateways (one a zone), ten servers. From WARM_S on, for CUT_S, the first gateway is partitioned from all servers; clients,
the store and the other machines still reach it, so it stays in touch. Clients ask this gateway for the same page, one each
ROUND_S; each tries TRIES times at most within its deadline (at once after a 502, not after a refusal). Other callers read
statuses at all gateways.

Counted, as the rule BUDGET of the letters says: the times that this request reaches a server later than ContactS after it
has ended the third one. Exit status: 1 when they are more than MOST_RETRIES, 0 when not, 2 when the case could not run.
TROUBLE=0: the same request, no partition.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet_2 as fleet  # noqa: E402
from ending_server_2 import ENDING, Server  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 4
SERVERS = 10
WARM_S = 4.0
CUT_BEFORE_S = 1.0     # from the cut to the first of the requests that end servers
CUT_S = 12.0
ROUNDS = 8
ROUND_S = 2.5
TRIES = 3              # of a client: its first and two retries
CALLERS = 3            # for each gateway
EVERY_S = 0.2
DEADLINE_MS = 2000
MOST_RETRIES = 3


async def heal(servers: list[Server]) -> None:
    """End the partition in time."""
    await asyncio.sleep(CUT_S)
    for server in servers:
        server.heal()


async def play(out: Path) -> int:
    stage = fleet.Fleet(GATEWAYS, out, sources=True)
    first = stage.gateways[0]
    try:
        await stage.store.start()
        servers = [Server(number, "applicant-portal", fleet.ZONES[number % 4], stage.store) for number in range(SERVERS)]
        for server in servers:
            await server.start()
        await stage.store.put("op/config", {
            "Version": 3, "Services": [{"Name": "applicant-portal", "HealthPath": "/health", "MaxConns": 260}],
            "Routes": [{"Name": "status-read", "Host": "admissa.example", "PathPrefix": "/status/", "RouteType": "safe",
                        "TimeoutS": 2.0, "TargetLatencyS": 0.25, "Priority": 0, "Service": "applicant-portal", "MaxAttempts": 3}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 5, "IdleTimeoutS": 15}})
        await stage.start()
        begun = time.monotonic()
        until = begun + WARM_S + CUT_BEFORE_S + ROUNDS * ROUND_S
        callers = [fleet.Caller(f"read-{number}", stage.gateways[number % GATEWAYS], f"/status/of-{number}")
                   for number in range(CALLERS * GATEWAYS)]
        tasks = [asyncio.create_task(caller.run(until, EVERY_S)) for caller in callers]
        await asyncio.sleep(WARM_S)
        if TROUBLE:
            for server in servers:
                server.cut(first.source)
            tasks.append(asyncio.create_task(heal(servers)))
        await asyncio.sleep(CUT_BEFORE_S)
        clients = []
        for number in range(ROUNDS):
            ends_at = time.monotonic() + ROUND_S
            gives_up_at = time.monotonic() + DEADLINE_MS / 1000
            client = fleet.Caller(f"ends-{number}", first, f"/status{ENDING}servers", deadline_ms=DEADLINE_MS)
            clients.append(client)
            for _ in range(TRIES):
                left_s = gives_up_at - time.monotonic()
                if left_s <= 0 or await client.send(left_s) in (200, 400, 401, 404, 429, 503):
                    break
                client.close()
            await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
        await asyncio.gather(*tasks)
        ended_early = [gateway.name for gateway in stage.gateways if not gateway.running]
        return judge(begun, first, callers, clients, servers, ended_early)
    finally:
        stage.close()


def judge(begun, first, callers, clients, servers, ended_early) -> int:
    arrivals = sorted((arrival for server in servers for arrival in server.arrivals), key=lambda item: item["at"])
    ends = sorted(at for server in servers for at in server.ends)
    bound = ends[2] + fleet.CONTACT_S if len(ends) > 2 else float("inf")
    late = [item for item in arrivals if item["ends"] and item["at"] > bound]
    calls = sorted((call for caller in [*callers, *clients] for call in caller.calls), key=lambda call: call["sent"])
    beside = [item for item in arrivals if not item["ends"] and item["begun"] and not item["done"]]
    lines = [f"trouble: {int(TROUBLE)}; times in seconds from the start of traffic",
             f"{sum(len(client.calls) for client in clients)} tries of the request, {sum(item['ends'] for item in arrivals)} arrivals, {len(ends)} servers ended, "
             f"third end at {ends[2] - begun:.2f}" if len(ends) > 2 else f"{len(ends)} servers ended",
             f"{len(late)} arrivals later than {fleet.CONTACT_S} s after the third end (at most {MOST_RETRIES})",
             f"arrivals by the address of the machine that connected (the first is {first.source}): "
             f"{ {name: sum(item['ends'] and item['from'] == name for item in arrivals) for name in sorted({i['from'] for i in arrivals})} }",
             f"other requests that were at a server as it ended: {len(beside)}; other requests refused as ends-servers: "
             f"{sum(call.get('why') == 'ends-servers' for caller in callers for call in caller.calls)}; machines that ended: {ended_early}"]
    lines += [f"server ended at {at - begun:.2f}" for at in ends]
    shown = len(lines)
    lines += [f"{item['at'] - begun:.2f} {item['id']} reached {item['server']} from {item['from']}" for item in arrivals if item["ends"]]
    lines += [f"{call['sent'] - begun:.2f} {call['gateway']} {call['id']} {call['end']} {call.get('why', '') if call['end'] != 200 else ''} "
              f"after {call['took']:.2f}" for call in calls]
    (HERE / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[:shown]))
    if len(ends) < 1 or ended_early or not any(call["end"] == 200 for call in calls):
        return 2
    return 1 if len(late) > MOST_RETRIES else 0


if __name__ == "__main__":
    fleet.run_case(play)
