"""Real gateways and callers on slow links: what goes on steadily is never cut, what stands still is closed in time."""

import asyncio
import sys
import time
import unittest

import wire
from bulk import Answer, SlowCaller
from stage import MIB, SLACK_S, Stage

BUILD = "build"
IDLE_S = 4.0
RATE = 400_000          # bytes a second
SIZE = 4 * MIB          # takes 10 s
UPLOAD_BYTES = 200_000
UPLOAD_PIECE_S = 0.5
UPLOAD_S = 4.0
SWEEP_S = 1.0           # between two checks of a connection, at most
STOP_AFTER_S = 6.0


class SlowLinksTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_that_is_read_slowly_and_steadily_arrives_whole(self):
        async with Stage(BUILD, self.id(), 1, idle_s=IDLE_S) as stage:
            port = stage.gateways[0].ports.callers
            begun = time.monotonic()
            got = await asyncio.gather(*(SlowCaller(port, RATE).ask([(f"s{number}", Answer(SIZE, form=form))], 30.0)
                                         for number, form in enumerate(("length", "chunked", "length"))))
            print(f"{self.id()}: {[answers[0].body_bytes for answers in got]} bytes after {time.monotonic() - begun:.1f} s")
            self.assertTrue(all(answers[0].whole for answers in got))

    async def test_the_same_while_the_process_stops(self):
        async with Stage(BUILD, self.id(), 1, idle_s=IDLE_S) as stage:
            gateway = stage.gateways[0]
            asking = asyncio.create_task(SlowCaller(gateway.ports.callers, RATE).ask([("t0", Answer(SIZE))], 30.0))
            await asyncio.sleep(STOP_AFTER_S)
            took = await stage.stop(gateway)
            got = await asking
            print(f"{self.id()}: {got[0].body_bytes} bytes, ended after {took:.1f} s")
            self.assertTrue(got[0].whole)
            self.assertLess(took, float("inf"))

    async def test_a_caller_that_stops_reading_is_closed_in_time(self):
        async with Stage(BUILD, self.id(), 1, idle_s=IDLE_S) as stage:
            gateway = stage.gateways[0]
            asking = asyncio.create_task(SlowCaller(gateway.ports.callers, 0).ask([("r0", Answer(8 * MIB))], 30.0))
            begun = time.monotonic()
            while not gateway.log_names("answer-cut") and time.monotonic() - begun < 30:
                await asyncio.sleep(0.1)
            took = time.monotonic() - begun
            asking.cancel()
            print(f"{self.id()}: closed after {took:.1f} s")
            self.assertGreater(took, IDLE_S)
            self.assertLess(took, IDLE_S + SWEEP_S + 2 * SLACK_S)

    async def test_a_body_that_comes_slowly_and_steadily_is_taken(self):
        async with Stage(BUILD, self.id(), 1, idle_s=2.0) as stage:
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.gateways[0].ports.callers)
            writer.write((f"POST {Answer(100).target()} HTTP/1.1\r\nHost: soak.example\r\n{wire.REQUEST_ID}: u0\r\n"
                          f"{wire.DEADLINE_MS}: 15000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n").encode())
            pieces = int(UPLOAD_S / UPLOAD_PIECE_S)
            for _ in range(pieces):
                writer.write(b"u" * (UPLOAD_BYTES // pieces))
                await asyncio.sleep(UPLOAD_PIECE_S)
            self.assertEqual((await asyncio.wait_for(wire.read_message(reader), 10)).status, 200)
            writer.close()


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
