"""Real gateways with large uploads: memory stays bounded and small requests go on."""

import asyncio
import json
import sys
import time
import unittest
from pathlib import Path

from endless_test import MEMORY_MB, MOST_OF_MEMORY, peak_mb
from quick import QuickCaller
from stage import MIB, Stage

BUILD = "build"
SECONDS = 6.0
CALM_S = 2.0
SMALL_CALLERS = 10
SMALL_SERVED = 0.95
FAILING = 0.03  # of the requests of every fourth server
LARGEST = 64 * MIB


def p99_ms(calls: list[tuple[float, float | None, int]]) -> float:
    """99th percentile of the time to an answer."""
    times = sorted(call[1] - call[0] for call in calls if call[1] is not None)
    return 1000 * times[int(0.99 * (len(times) - 1))] if times else float("inf")


class UploadsTest(unittest.IsolatedAsyncioTestCase):
    @staticmethod
    async def end(process: asyncio.subprocess.Process) -> None:
        """End a process."""
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def start(self, program: str, *arguments) -> asyncio.subprocess.Process:
        """Start a program of this folder."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(Path(__file__).parent / program), *(str(item) for item in arguments),
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE)
        self.addAsyncCleanup(self.end, process)
        return process

    async def play(self, seed: int, servers: int, callers: int, smallest: int, largest: int) -> None:
        """Let so many callers send bodies of these sizes beside callers of small requests."""
        async with Stage(BUILD, self.id(), 1, body_bytes=LARGEST) as stage:
            gateway = stage.gateways[0]
            for number in range(servers):
                process = await self.start("upload_server.py", f"q-{number}", FAILING if number % 4 == 0 else 0)
                await stage.announce_quick(f"q-{number}", int((await process.stdout.readline()).split()[0]))
            until = time.monotonic() + CALM_S + SECONDS
            small = [QuickCaller(number, gateway.ports.callers, "/quick/1", 0.05) for number in range(SMALL_CALLERS)]
            asking = [asyncio.create_task(caller.run(until)) for caller in small]
            await asyncio.sleep(CALM_S)
            begun = time.monotonic()
            uploads = await self.start("upload_callers.py", gateway.ports.callers, seed, callers, SECONDS, smallest, largest)
            ended = json.loads(await uploads.stdout.read())
            await asyncio.gather(*asking)
            peak = peak_mb(gateway.pid)
            calls = [call for caller in small for call in caller.calls]
            calm = [call for call in calls if begun - CALM_S + 1 < call[0] < begun]
            beside = [call for call in calls if call[0] >= begun]
            share = sum(call[2] == 200 for call in beside) / max(1, len(beside))
            print(f"{self.id()}: peak {peak:.0f} MB, uploads {ended}, {len(beside)} small requests, {share:.3f} served, "
                  f"p99 {p99_ms(calm):.1f} ms before, {p99_ms(beside):.1f} ms beside", flush=True)
            self.assertTrue(gateway.running)
            self.assertLess(peak, MOST_OF_MEMORY * MEMORY_MB)
            self.assertGreaterEqual(share, SMALL_SERVED)
            self.assertGreater(ended.get("200", 0), 0)

    async def test_three_callers_with_large_bodies(self):
        for servers in (13, 21):
            with self.subTest(servers=servers):
                await self.play(1, servers, 3, 15 * MIB, 15 * MIB)

    async def test_many_callers_with_bodies_of_all_sizes(self):
        for seed, callers in ((1, 10), (2, 60)):
            with self.subTest(seed=seed, callers=callers):
                await self.play(seed, 13, callers, 1 << 10, LARGEST)

    async def test_one_caller_with_the_largest_bodies(self):
        await self.play(1, 13, 1, 24 * MIB, 40 * MIB)


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
