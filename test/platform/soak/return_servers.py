"""Backend servers with slots and a queue, as a process of their own: SEED NUMBER:SERVICE...

Prints a line with all ports. A line with a number on standard input is added to the work of each request from then on, in seconds.
"""

import asyncio
import sys
import time

from history import History
from servers import Server
from store import Store

SLOTS = 4


async def main(seed: int, wanted: list[str]) -> None:
    """Serve until standard input ends."""
    store = Store(time.monotonic)  # nobody reads it; the entries are written by whoever starts this process
    servers = []
    for one in wanted:
        number, _, service = one.partition(":")
        server = Server(int(number), service, "north", store, History(), time.monotonic, seed)
        await server.listen()
        server.slots = SLOTS
        server.advertised = server.port
        await server.start()
        servers.append(server)
    print(" ".join(str(server.port) for server in servers), flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        for server in servers:
            server.behaviour.delay_s = float(line)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2:]))
