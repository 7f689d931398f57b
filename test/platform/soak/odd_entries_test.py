"""Real gateways beside entries in the store that another client left: nobody ends, and servers come and go as before.

Operators of a similar system saw machines that read one odd entry end again and again, or follow the list of servers no longer.
"""

import asyncio
import sys
import time
import unittest

from quick import QuickCaller, start_quick_server
from stage import Stage

BUILD = "build"
GATEWAYS = 3
FOLLOWS_S = 2.0    # from a write until all gateways go by it
DEEP = 100_000
VALID = ('{"Service":"quick","Address":"127.0.0.1:%s","Zone":"north","Version":"v1","Slots":%s,"State":"ready","WarmupLeftS":%s,'
         '"Seq":%s,"born":%s}')
NESTED = "[" * DEEP + "]" * DEEP
NESTED_OBJECTS = '{"a":' * DEEP + "1" + "}" * DEEP
MANY_DIGITS = "9" * 400

ODD = {
    "nested": NESTED,
    "nested-objects": NESTED_OBJECTS,
    "nested-open": "[" * DEEP,
    "nested-in-small-entry": VALID % ("1", "3", "0", "1", "[" * 8000 + "]" * 8000),
    "port-70000": VALID % ("70000", "3", "0", "1", "1"),
    "port-negative": VALID % ("-1", "3", "0", "1", "1"),
    "port-digits": VALID % (MANY_DIGITS, "3", "0", "1", "1"),
    "slots-overflow": VALID % ("1", "1e999", "0", "1", "1"),
    "slots-digits": VALID % ("1", MANY_DIGITS, "0", "1", "1"),
    "warm-up-overflow": VALID % ("1", "3", "1e308", "1", "1"),
    "sequence-negative": VALID % ("1", "3", "0", "-9223372036854775809", "1"),
    "born-overflow": VALID % ("1", "3", "0", "1", "18446744073709551616"),
    "types": '{"Service":[],"Address":{},"Zone":1,"Version":null,"Slots":"3","State":false,"WarmupLeftS":[],"Seq":{}}',
    "no-json": "\u0000\u0001{{{",
    "empty": "",
    "number": "1e999",
    "string": '"' + "x" * 300_000 + '"',
}
PREFIXES = ("servers/", "op/evacuate/", "sailpath/quarantine/", "sailpath/learned/")


class OddEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def start_server(self, stage: Stage, identity: str) -> None:
        """Start a server and announce it."""
        process = await start_quick_server(identity, 0.0)
        self.addAsyncCleanup(self.end, process)
        await stage.announce_quick(identity, int(await process.stdout.readline()))

    @staticmethod
    async def end(process: asyncio.subprocess.Process) -> None:
        """End a server."""
        process.kill()
        await process.wait()

    async def are_served(self, gateways, wanted: bool) -> None:
        """All requests at these gateways are answered, or none."""
        callers = [QuickCaller(number, gateway.ports.callers, "/quick/100", 0.05)
                   for number, gateway in enumerate(gateways)]
        await asyncio.gather(*(caller.run(time.monotonic() + 0.5) for caller in callers))
        for caller in callers:
            self.assertTrue(caller.calls)
            self.assertEqual({call[2] == 200 for call in caller.calls}, {wanted}, caller.calls)

    async def follow(self, stage: Stage, identity: str) -> None:
        """A server is taken up by all gateways in time, and left in time."""
        await self.start_server(stage, identity)
        await asyncio.sleep(FOLLOWS_S)
        await self.are_served(stage.gateways, True)
        await stage.remove(f"servers/{identity}")
        await asyncio.sleep(FOLLOWS_S)
        await self.are_served(stage.gateways, False)

    async def test_entries_that_come_while_gateways_run(self):
        async with Stage(BUILD, self.id(), GATEWAYS) as stage:
            for prefix in PREFIXES:
                for name, text in ODD.items():
                    await stage.write(prefix + name, text)
            await self.follow(stage, "q-1")
            self.assertEqual([gateway.running for gateway in stage.gateways], [True] * GATEWAYS)

    async def test_a_start_from_a_store_and_from_peers_that_hold_them(self):
        async with Stage(BUILD, self.id(), GATEWAYS) as stage:
            for prefix in PREFIXES:
                for name, text in ODD.items():
                    await stage.write(prefix + name, text)
            await self.start_server(stage, "q-1")
            # One after the other, so that the first reads the store and the others learn from peers, or from the store.
            for gateway in stage.gateways:
                await stage.stop(gateway)
                gateway.start()
                await stage.wait_until(lambda: stage.is_ready(gateway), 10)
            await self.are_served(stage.gateways, True)
            await stage.remove("servers/q-1")
            await asyncio.sleep(FOLLOWS_S)
            await self.follow(stage, "q-2")
            self.assertEqual([gateway.running for gateway in stage.gateways], [True] * GATEWAYS)


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
