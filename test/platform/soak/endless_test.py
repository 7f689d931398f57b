"""Real gateways beside servers whose answers never end: memory, processor time, connections and callers stay bounded."""

import asyncio
import os
import sys
import time
import unittest
from pathlib import Path

from quick import QuickCaller
from stage import QUICK_TIMEOUT_S, Stage
from stalls_test import processor_s

BUILD = "build"
SERVERS = 13
CALLERS = 20
WARM_S = 2.0
ENDLESS_S = 8.0
MEMORY_MB = 256         # that the process may use
MOST_OF_MEMORY = 0.85
SERVED_SHARE = 0.95     # of the requests whose servers answer
LONGEST_S = QUICK_TIMEOUT_S + 0.5
LONGEST_CHECK_S = 1.5
MOST_CHECKS = 32        # of one server at once
LEAVES_AFTER_S = 0.05   # an impatient caller
OTHER_DESCRIPTORS = 100 # listeners, callers, requests
SAMPLE_S = 0.05
MOST_OF_A_CORE = 0.8
FAST = 16_000_000       # bytes a second on one connection
SLOW = 1_600_000
LARGE = 4 << 20


def peak_mb(pid: int) -> float:
    """Largest resident memory of a process so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no VmHWM")


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    @staticmethod
    async def end(process: asyncio.subprocess.Process) -> None:
        """End a server."""
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def play(self, kind: str, rate: int, count: int, longest_s: float, served: float,
                   path: str = "/quick/1000", impatient: int = 0) -> None:
        """Let so many of the servers send without end and measure the gateway meanwhile; so many callers leave early."""
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            servers = []
            for number in range(SERVERS):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, str(Path(__file__).parent / "endless_server.py"), f"q-{number}",
                    stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
                self.addAsyncCleanup(self.end, process)
                servers.append(process)
                await stage.announce_quick(f"q-{number}", int(await process.stdout.readline()))
            until = time.monotonic() + WARM_S + ENDLESS_S
            callers = [QuickCaller(number, gateway.ports.callers, path, 0.1) for number in range(CALLERS - impatient)]
            leaving = [QuickCaller(number, gateway.ports.callers, path, 0.1, LEAVES_AFTER_S)
                       for number in range(CALLERS - impatient, CALLERS)]
            asking = [asyncio.create_task(caller.run(until)) for caller in callers + leaving]
            await asyncio.sleep(WARM_S)
            begun, used = time.monotonic(), processor_s(gateway.pid)
            for process in servers[:count]:
                process.stdin.write(f"{kind} {rate}\n".encode())
            descriptors = []
            while time.monotonic() < until:
                descriptors.append(len(os.listdir(f"/proc/{gateway.pid}/fd")))
                await asyncio.sleep(SAMPLE_S)
            await asyncio.gather(*asking)
            used = (processor_s(gateway.pid) - used) / (time.monotonic() - begun)
            most, longest = 0, 0.0
            for process in servers[:count]:
                process.stdin.write(b"report 0\n")
                told = (await process.stdout.readline()).split()
                most, longest = most + int(told[0]), max(longest, float(told[1]))
            peak = peak_mb(gateway.pid)
            calls = [call for caller in callers for call in caller.calls if call[0] > begun + ENDLESS_S / 2]
            share = sum(call[2] == 200 for call in calls) / max(1, len(calls))
            late = [call for call in calls if call[1] is None or call[1] - call[0] > LONGEST_S]
            print(f"{self.id()}: peak {peak:.0f} MB, {max(descriptors)} descriptors, {most} connections sending, longest "
                  f"{longest} s, {used:.2f} of a core, {len(calls)} calls, {share:.3f} served, {len(late)} late")
            self.assertTrue(gateway.running)
            self.assertLess(peak, MOST_OF_MEMORY * MEMORY_MB)
            self.assertLess(longest, longest_s)
            if kind.startswith("health"):
                self.assertLess(max(descriptors), MOST_CHECKS * count + OTHER_DESCRIPTORS)
            self.assertLess(used, MOST_OF_A_CORE)
            self.assertGreaterEqual(share, served)
            self.assertEqual(late, [])

    async def test_a_health_body_without_end(self):
        await self.play("health-body", FAST, 1, LONGEST_CHECK_S, SERVED_SHARE)

    async def test_a_slow_health_body_without_end(self):
        await self.play("health-body", SLOW, 3, LONGEST_CHECK_S, SERVED_SHARE)

    async def test_a_trickling_health_body_without_end(self):
        await self.play("health-body", 100, SERVERS, LONGEST_CHECK_S, SERVED_SHARE)

    async def test_health_chunks_without_end_of_all_servers(self):
        await self.play("health-chunks", FAST, SERVERS, LONGEST_CHECK_S, SERVED_SHARE)

    async def test_a_health_head_without_end(self):
        await self.play("health-lines", FAST, 3, LONGEST_CHECK_S, SERVED_SHARE)

    async def test_health_interim_answers_without_end(self):
        await self.play("health-continue", SLOW, SERVERS, LONGEST_CHECK_S, SERVED_SHARE)

    async def test_a_body_without_end(self):
        await self.play("body", FAST, 3, LONGEST_S, SERVED_SHARE)

    async def test_bodies_without_end_of_all_servers(self):
        await self.play("body", FAST, SERVERS, LONGEST_S, 0.0)

    async def test_chunks_without_end_of_all_servers(self):
        await self.play("chunks", FAST, SERVERS, LONGEST_S, 0.0)

    async def test_heads_without_end(self):
        for kind in ("line", "lines", "continue"):
            with self.subTest(kind):
                await self.play(kind, FAST, 3, LONGEST_S, SERVED_SHARE)

    async def test_the_framing_of_a_body_without_end(self):
        # Guards against memory that grows with a chunk size line, chunk extension or trailer that does not end.
        for kind, count, served in (("extension", 3, SERVED_SHARE), ("extensions", 3, SERVED_SHARE),
                                    ("trailer", SERVERS, 0.0), ("health-digits", SERVERS, SERVED_SHARE)):
            with self.subTest(kind):
                await self.play(kind, FAST, count, LONGEST_S, served)

    async def test_the_framing_of_answers_to_payments_without_end(self):
        # Guards against sends that are not repeatable and go on receiving after their time, or after their caller left.
        await self.play("extension", FAST, 3, LONGEST_S, SERVED_SHARE, "/pay/1000", CALLERS // 2)

    async def test_large_answers_arrive_whole(self):
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            callers = [QuickCaller(number, gateway.ports.callers, f"/bulk/{LARGE}/10/{form}/0", 0.2)
                       for number, form in enumerate(("length", "chunked", "end", "length", "chunked"))]
            await asyncio.gather(*(caller.run(time.monotonic() + 4) for caller in callers))
            calls = [call for caller in callers for call in caller.calls]
            print(f"{self.id()}: {len(calls)} calls, peak {peak_mb(gateway.pid):.0f} MB")
            self.assertEqual([call for call in calls if call[2] != 200], [])
            self.assertLess(peak_mb(gateway.pid), MOST_OF_MEMORY * MEMORY_MB)


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
