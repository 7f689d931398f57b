"""Real gateways that are stopped as planned while answers are under way: each caller that reads gets all of its answer."""

import asyncio
import sys
import time
import unittest

import wire
from bulk import Answer, SlowCaller
from fleet import GRACE_S
from stage import MIB, SLACK_S, Stage

BUILD = "build"
NOTICE_S = 2.3         # a stop closes idle connections after that time
LINK = 1_700_000       # bytes a second, 14 Mbit/s
LARGE = 7 * MIB        # takes longer than a process without work would stay, and a second less than the grace


class StopsTest(unittest.IsolatedAsyncioTestCase):
    async def play(self, callers: list[tuple[float, list[Answer]]], after_s: float = 0.2, chatter: bytes = b"") -> float:
        """Let callers ask, stop the gateway after that, check that all answers are whole; time that the stop took."""
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            asking = [asyncio.create_task(SlowCaller(gateway.ports.callers, rate, chatter=chatter).ask(
                [(f"c{number}-{place}", answer) for place, answer in enumerate(answers)]))
                for number, (rate, answers) in enumerate(callers)]
            await asyncio.sleep(after_s)
            stopping = asyncio.create_task(stage.stop(gateway))
            answered = await asyncio.gather(*asking)
            took = await stopping
            last = max(got.ended_at for answers in answered for got in answers)
            for got in (got for answers in answered for got in answers):
                self.assertTrue(got.whole, f"{got.request}: status {got.status}, {got.body_bytes} bytes")
            self.assertLessEqual(took, GRACE_S)
            print(f"{self.id()}: {len(callers)} callers, the process ended after {took:.2f} s")
            self.assertLessEqual(time.monotonic() - last, NOTICE_S + SLACK_S)
            return took

    async def test_large_answers_to_slow_callers_are_sent_whole(self):
        await self.play([(LINK, [Answer(LARGE, 300)])] * 3)

    async def test_an_answer_that_begins_late_is_sent_whole(self):
        await self.play([(LINK, [Answer(MIB, 3700)])])

    async def test_an_answer_that_its_server_pauses_in_is_sent_whole(self):
        await self.play([(LINK, [Answer(MIB, 100, form, 3000)]) for form in ("length", "chunked", "end")])

    async def test_pipelined_answers_are_sent_whole(self):
        await self.play([(LINK, [Answer(LARGE // 3, 300), Answer(LARGE // 3, 100), Answer(LARGE // 3, 100)])] * 2)

    async def test_many_answers_at_once_are_sent_whole(self):
        await self.play([(LINK, [Answer(LARGE, 300)])] * 3 + [(LINK / 10, [Answer(MIB // 4, 300)])] * 60)

    async def test_an_answer_is_sent_whole_while_its_caller_sends_on(self):
        await self.play([(LINK, [Answer(LARGE, 300)])], chatter=b"GET /bulk/1/0/length/0 HTTP/1.1\r\n")

    async def test_a_caller_that_does_not_read_keeps_the_process_no_longer_than_its_grace(self):
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            asking = [asyncio.create_task(SlowCaller(gateway.ports.callers, 0).ask([(f"c{number}", Answer(8 * MIB))]))
                      for number in range(5)]
            await asyncio.sleep(0.5)
            took = await stage.stop(gateway)
            for task in asking:
                task.cancel()
            self.assertLessEqual(took, GRACE_S)
            self.assertIn("reason=grace-over", (stage.out / "gateway-0.log").read_text())

    async def test_an_idle_process_ends_at_once_and_is_not_ready_meanwhile(self):
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            kept = [await asyncio.open_connection("127.0.0.1", gateway.ports.callers) for _ in range(20)]
            for number, (reader, writer) in enumerate(kept):
                writer.write(wire.request_bytes("GET", Answer(1000).target(), {
                    "Host": "soak.example", wire.REQUEST_ID: f"c{number}", wire.DEADLINE_MS: "5000"}, b""))
                self.assertEqual((await wire.read_message(reader)).status, 200)
            stopping = asyncio.create_task(stage.stop(gateway))
            await asyncio.sleep(0.2)
            self.assertFalse(await stage.is_ready(gateway))
            self.assertLessEqual(await stopping, NOTICE_S + 0.3 + SLACK_S)
            for _, writer in kept:
                writer.close()

    async def test_a_helper_passes_on_a_whole_answer_before_it_ends(self):
        async with Stage(BUILD, self.id(), 2) as stage:
            cut_off, helper = stage.gateways
            stage.cut_off(cut_off)
            # Until the gateways know each other, nobody can help.
            served = 0
            for number in range(100):
                got = await SlowCaller(cut_off.ports.callers, LINK).ask([(f"w{number}", Answer(100))])
                served += got[0].whole
                if served == 3:
                    break
                await asyncio.sleep(0.1)
            self.assertEqual(served, 3)
            asking = asyncio.create_task(SlowCaller(cut_off.ports.callers, LINK).ask(
                [("t0", Answer(2 * MIB, 300, "length", 3000))]))
            await asyncio.sleep(0.8)
            took = await stage.stop(helper)
            got = (await asking)[0]
            self.assertRegex((stage.out / "gateway-0.log").read_text(), "request=t0 .*/through=")
            self.assertTrue(got.whole, f"status {got.status}, {got.body_bytes} bytes")
            self.assertLessEqual(took, GRACE_S)

    async def test_stops_in_series_cut_nothing(self):
        async with Stage(BUILD, self.id(), 2) as stage:
            results = []
            for number in range(4):
                gateway = stage.gateways[number % 2]
                asking = [asyncio.create_task(SlowCaller(gateway.ports.callers, LINK).ask(
                    [(f"s{number}-{place}", Answer((2 * place + 1) * MIB, 100 * place))])) for place in range(3)]
                await asyncio.sleep(0.4)
                self.assertLessEqual(await stage.stop(gateway), GRACE_S)
                gateway.start()
                results += await asyncio.gather(*asking)
                await stage.wait_until(lambda: stage.is_ready(gateway), 10)
            self.assertEqual([got.request for answers in results for got in answers if not got.whole], [])


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
