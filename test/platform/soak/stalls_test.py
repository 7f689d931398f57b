"""Real gateways that go on serving whatever one server or one caller does not do: answer, or read."""

import asyncio
import os
import sys
import time
import unittest
from pathlib import Path

from quick import QuickCaller, start_quick_server
from stage import QUICK_TIMEOUT_S, SLACK_S, Stage

BUILD = "build"
WARM_S = 3.0
SILENT_S = 7.0
SILENT_SHARE = 0.8      # more than the retry budget makes up for
AFTER_S = 3.0
CALLERS = 300
QUICK_SERVERS = 5
EVERY_S = 0.6
LATE_S = 0.5            # after the route's time-out
MOST_OF_A_CORE = 0.5    # once all is well again
FLOOD_S = 4.0
USUAL_S = 0.25          # longest time of a small request beside callers that do not read


def processor_s(pid: int) -> float:
    """Processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class StallsTest(unittest.IsolatedAsyncioTestCase):
    def assert_not_stalled(self, stage: Stage) -> None:
        """The log names no stall."""
        self.assertNotIn("event=loop-stalled", (stage.out / "gateway-0.log").read_text())

    async def start_quick_server(self, stage: Stage, number: int) -> asyncio.subprocess.Process:
        """Start a server of the quick route and write its entry."""
        server = await start_quick_server(f"q-{number}", SILENT_SHARE)
        self.addCleanup(lambda: server.returncode is None and server.kill())
        await stage.announce_quick(f"q-{number}", int(await server.stdout.readline()))
        return server

    async def test_requests_without_an_answer_on_a_quick_route_hold_up_nobody(self):
        # Servers of another data centre: what is expected of them holds a round trip that loopback does not take.
        async with Stage(BUILD, self.id(), 1, "south") as stage:
            gateway = stage.gateways[0]
            servers = [await self.start_quick_server(stage, number) for number in range(QUICK_SERVERS)]
            until = time.monotonic() + WARM_S + SILENT_S + AFTER_S
            callers = [QuickCaller(number, gateway.ports.callers, "/quick/1", EVERY_S) for number in range(CALLERS)]
            asking = [asyncio.create_task(caller.run(until)) for caller in callers]
            await asyncio.sleep(WARM_S)
            for server in servers:
                server.stdin.write(b"silent\n")
            await asyncio.sleep(SILENT_S)
            for server in servers:
                server.stdin.write(b"answer\n")
            await asyncio.sleep(AFTER_S - 1)
            used = processor_s(gateway.pid)
            ready = await stage.is_ready(gateway)
            await asyncio.sleep(1)
            used = processor_s(gateway.pid) - used
            await asyncio.gather(*asking)
            for server in servers:
                server.kill()
                await server.wait()
            calls = [call for caller in callers for call in caller.calls]
            late = [call for call in calls if call[1] is None or call[1] - call[0] > QUICK_TIMEOUT_S + LATE_S + SLACK_S]
            timed_out = [call for call in calls if call[1] is not None and call[1] - call[0] > QUICK_TIMEOUT_S - 0.2]
            print(f"{self.id()}: {len(calls)} requests, {len(timed_out)} until the time-out, {len(late)} later, "
                  f"{used:.2f} of a core")
            self.assertEqual(late, [])
            self.assertTrue(ready)
            self.assertGreater(len(timed_out), 0)
            self.assertLess(used, MOST_OF_A_CORE)
            self.assert_not_stalled(stage)

    async def play_floods(self, count: int) -> None:
        """Let callers that read nothing ask for `100 Continue`; others are served as usual."""
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            until = time.monotonic() + FLOOD_S
            flooding = await asyncio.create_subprocess_exec(
                sys.executable, str(Path(__file__).parent / "flood.py"), str(gateway.ports.callers), str(count),
                str(FLOOD_S))
            callers = [QuickCaller(number, gateway.ports.callers) for number in range(5)]
            await asyncio.gather(*(caller.run(until + 2) for caller in callers))
            self.assertEqual(await flooding.wait(), 0)
            calls = [call for caller in callers for call in caller.calls]
            took = sorted(float("inf") if call[1] is None else call[1] - call[0] for call in calls)
            print(f"{self.id()}: {len(calls)} requests, half within {took[len(took) // 2] * 1000:.1f} ms, all within "
                  f"{took[-1] * 1000:.1f} ms")
            self.assertLess(took[-1], USUAL_S + SLACK_S)
            self.assert_not_stalled(stage)

    async def test_a_caller_that_reads_nothing_holds_up_nobody(self):
        await self.play_floods(1)

    async def test_fifty_callers_that_read_nothing_hold_up_nobody(self):
        await self.play_floods(50)

    async def test_a_log_that_nobody_reads_holds_up_nobody(self):
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            gateway.end()
            reading, writing = os.pipe()
            gateway.start(writing)
            os.close(writing)
            await stage.wait_until(lambda: stage.is_ready(gateway), 10)
            callers = [QuickCaller(number, gateway.ports.callers, every_s=0.05) for number in range(15)]
            await asyncio.gather(*(caller.run(time.monotonic() + 5) for caller in callers))
            os.close(reading)
            calls = [call for caller in callers for call in caller.calls]
            print(f"{self.id()}: {len(calls)} requests")
            unanswered = [call for call in calls if call[1] is None or call[1] - call[0] > USUAL_S + SLACK_S]
            self.assertGreater(len(calls), 400)
            self.assertEqual(unanswered, [])


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
