"""Real gateways that are stopped as planned: requests that come late are answered, or refused while there is time for another try."""

import asyncio
import contextlib
import random
import signal
import sys
import time
import unittest
from dataclasses import dataclass

import wire
from bulk import Answer
from fleet import GRACE_S
from stage import SLACK_S, Stage

BUILD = "build"
SEED = 1
CALLERS = 40
SLOW_MS = 3000         # of the servers, for requests that can't be answered when they come late
QUICK_MS = 20
NOTICE_S = 2.3         # a stop closes idle connections after that time
END_S = 0.9 * GRACE_S  # the process has ended by then
LAST_S = 0.2           # before that end, in which even a quick request may be refused
PAUSE_S = 3.0          # of the process, by SIGSTOP
PROMPT_S = 0.6         # for a refusal, once the whole request has arrived or can't be answered any more
REPEATABLE = "/bulk"   # routes of the stage
AT_MOST_ONCE = "/order"
HOLD = "/hold"         # for requests that keep a connection open


@dataclass
class Result:
    """What became of one request."""

    request: str
    whole_at: float                     # seconds after SIGTERM at which its last byte was sent
    ended_at: float = 0.0
    status: int = 0                     # 0: the connection ended without an answer
    retry_after: str = ""
    closes: bool = False


def request_bytes(request: str, route: str, wait_ms: int, body: bytes = b"") -> bytes:
    """A request to the bulk servers."""
    target = Answer(100, wait_ms).target().replace("/bulk", route, 1)
    return wire.request_bytes("POST", target, {
        "Host": "soak.example", wire.REQUEST_ID: request, wire.DEADLINE_MS: "15000"}, body)


async def read_answer(reader: asyncio.StreamReader, result: Result, begun: float) -> None:
    """Read one answer, or the end of the connection."""
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        message = await wire.read_message(reader)
        result.status = message.status
        result.retry_after = message.headers.get("retry-after", "")
        result.closes = message.headers.get("connection", "") == "close"
    result.ended_at = time.monotonic() - begun


class LateRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def behind_another(self, port: int, request: str, route: str, begun: float, at_s: float, wait_ms: int) -> Result:
        """Send a request at `at_s` after SIGTERM, behind one that is answered 0.1 s later."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        first_ms = int((at_s + 0.1 - (time.monotonic() - begun)) * 1000)
        writer.write(request_bytes(f"{request}-first", HOLD, first_ms))
        await asyncio.sleep(max(0.0, begun + at_s - time.monotonic()))
        writer.write(request_bytes(request, route, wait_ms))
        result = Result(request, time.monotonic() - begun)
        first = Result(f"{request}-first", 0.0)
        await read_answer(reader, first, begun)
        self.assertEqual(first.status, 200)
        await read_answer(reader, result, begun)
        writer.close()
        return result

    async def slow_upload(self, port: int, request: str, route: str, begun: float, at_s: float, wait_ms: int) -> Result:
        """Send a request whose last byte follows at `at_s` after SIGTERM, unless it is answered before."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        whole = request_bytes(request, route, wait_ms, b"u" * 2000)
        writer.write(whole[:-1])
        result = Result(request, at_s)
        answer = asyncio.create_task(read_answer(reader, result, begun))
        await asyncio.wait([answer], timeout=max(0.0, begun + at_s - time.monotonic()))
        if not answer.done():
            with contextlib.suppress(OSError):
                writer.write(whole[-1:])
        await answer
        writer.close()
        return result

    @staticmethod
    async def ask(port: int, request: str, route: str, begun: float, wait_ms: int) -> Result:
        """Send a request on a new connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes(request, route, wait_ms))
        result = Result(request, time.monotonic() - begun)
        await read_answer(reader, result, begun)
        writer.close()
        return result

    async def learn(self, port: int, wait_ms: int) -> None:
        """Let some requests of each route be answered after a time."""
        for route in (REPEATABLE, AT_MOST_ONCE):
            results = [await self.ask(port, f"learn-{route[1:]}-{number}", route, 0.0, wait_ms) for number in range(3)]
            self.assertEqual([result.status for result in results], [200] * 3)

    async def play_pause(self, wait_ms: int, learn_ms: int) -> list[Result]:
        """Send SIGTERM to a process that is paused, ask when it goes on, and end it when its grace is over."""
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            await self.learn(gateway.ports.callers, learn_ms)
            gateway.send(signal.SIGSTOP)
            begun = time.monotonic()
            gateway.send(signal.SIGTERM)
            await asyncio.sleep(PAUSE_S)
            gateway.send(signal.SIGCONT)
            await asyncio.sleep(0.1)
            asking = [asyncio.create_task(self.ask(gateway.ports.callers, f"late-{number}",
                                                   (REPEATABLE, AT_MOST_ONCE)[number % 2], begun, wait_ms))
                      for number in range(CALLERS)]
            await asyncio.sleep(begun + GRACE_S - time.monotonic())
            gateway.end()
            return await asyncio.gather(*asking)

    async def play(self, ways, wait_ms: int, learn_ms: int | None) -> tuple[list[Result], str]:
        """Stop a gateway beside callers whose requests come at seeded times of the grace; results and the log."""
        draw = random.Random(SEED)
        async with Stage(BUILD, self.id(), 1) as stage:
            gateway = stage.gateways[0]
            if learn_ms is not None:
                await self.learn(gateway.ports.callers, learn_ms)
            begun = time.monotonic() + 0.3  # the callers connect before
            asking = [asyncio.create_task(ways[number % len(ways)](
                gateway.ports.callers, f"late-{number}", (REPEATABLE, AT_MOST_ONCE)[number // len(ways) % 2], begun,
                draw.uniform(NOTICE_S + 0.2, 0.85 * GRACE_S), wait_ms)) for number in range(CALLERS)]
            await asyncio.sleep(begun - time.monotonic())
            took = await stage.stop(gateway)
            self.assertLessEqual(took, GRACE_S)
            results = await asyncio.gather(*asking)
            return results, (stage.out / "gateway-0.log").read_text()

    def report(self, results: list[Result]) -> None:
        statuses = [result.status for result in results]
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        print(f"{self.id()}: seed {SEED}, {len(results)} requests, statuses {counts}, 0: cut with no answer")

    def check_refusals(self, results: list[Result]) -> None:
        """Each request that is not served is refused while its caller can ask elsewhere."""
        for result in results:
            if result.status == 200:
                continue
            self.assertEqual(result.status, 503, f"{result.request}, whole after {result.whole_at:.2f} s")
            self.assertEqual(result.retry_after, "0", result.request)
            self.assertTrue(result.closes, result.request)
            self.assertLessEqual(result.ended_at, result.whole_at + PROMPT_S + SLACK_S, result.request)

    async def test_requests_that_cannot_be_answered_are_refused(self):
        for learn_ms in (None, SLOW_MS // 2):
            with self.subTest(learn_ms=learn_ms):
                results, log = await self.play([self.behind_another, self.slow_upload], SLOW_MS, learn_ms)
                self.report(results)
                self.check_refusals(results)
                refused = [result.request for result in results if result.status == 503]
                for request in refused:
                    self.assertNotRegex(log, rf"request={request} .*attempts=[1-9]", "it was sent to a server")

    async def test_a_signal_during_a_pause_of_the_process_counts_from_the_pause(self):
        results = await self.play_pause(SLOW_MS, SLOW_MS // 2)
        self.report(results)
        self.check_refusals(results)
        results = await self.play_pause(QUICK_MS, QUICK_MS)
        self.report(results)
        self.assertEqual([result.request for result in results if result.status != 200], [])

    async def test_quick_requests_are_served_until_late(self):
        results, _ = await self.play([self.behind_another, self.slow_upload], QUICK_MS, QUICK_MS)
        self.report(results)
        self.check_refusals(results)
        self.assertEqual([result.request for result in results
                          if result.status != 200 and result.ended_at < END_S - LAST_S], [])


if __name__ == "__main__":
    if "--build" in sys.argv:
        at = sys.argv.index("--build")
        BUILD = sys.argv[at + 1]
        del sys.argv[at:at + 2]
    if "--seed" in sys.argv:
        at = sys.argv.index("--seed")
        SEED = int(sys.argv[at + 1])
        del sys.argv[at:at + 2]
    unittest.main(warnings="ignore")
