"""Callers that send large bodies, as a process of its own: PORT SEED CALLERS SECONDS SMALLEST LARGEST.

Prints how many requests ended with each status; 0: without an answer; "left": the caller left in the middle of its body.
"""

import json
import math
import random
import socket
import sys
import threading
import time
from collections import Counter

import wire

PIECE = b"b" * (1 << 16)
GIVES_UP_S = 5.0
SLOW_BYTES_A_SECOND = 4_000_000
SLOW_SHARE = 0.1
LEAVING_SHARE = 0.1
PAUSE_S = 0.05


class UploadCaller:
    """Sends one body after the other, each on a connection of its own."""

    def __init__(self, number: int, port: int, seed: int, smallest: int, largest: int, ended: Counter):
        self._number = number
        self._port = port
        self._random = random.Random(seed * 1000 + number)
        self._smallest = smallest
        self._largest = largest
        self._ended = ended

    def run(self, until: float) -> None:
        """Send until that time."""
        count = 0
        while time.monotonic() < until:
            count += 1
            try:
                self._ended[self._send(f"u{self._number}-{count}")] += 1
            except (OSError, ValueError):
                self._ended["0"] += 1
            time.sleep(PAUSE_S)

    def _send(self, request: str) -> str:
        size = int(math.exp(self._random.uniform(math.log(self._smallest), math.log(self._largest))))
        kind = self._random.random()
        slow = kind < SLOW_SHARE
        leaves_after = size // 2 if SLOW_SHARE <= kind < SLOW_SHARE + LEAVING_SHARE else size
        with socket.create_connection(("127.0.0.1", self._port), GIVES_UP_S) as connection:
            path = self._random.choice(("/quick/1", "/pay/1"))
            connection.sendall(
                f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nContent-Length: {size}\r\n"
                f"{wire.REQUEST_ID}: {request}\r\n{wire.DEADLINE_MS}: 6000\r\n\r\n".encode())
            try:
                sent = 0
                while sent < leaves_after:
                    part = PIECE[:leaves_after - sent]
                    connection.sendall(part)
                    sent += len(part)
                    if slow:
                        time.sleep(len(part) / SLOW_BYTES_A_SECOND)
                if leaves_after < size:
                    return "left"
            except OSError:
                pass  # refused before the body was read; the answer may have arrived
            return str(int(connection.recv(4096)[9:12]))


if __name__ == "__main__":
    port, seed, callers = (int(text) for text in sys.argv[1:4])
    until = time.monotonic() + float(sys.argv[4])
    ended: Counter = Counter()
    threads = [threading.Thread(target=UploadCaller(number, port, seed, int(sys.argv[5]), int(sys.argv[6]), ended).run,
                                args=(until,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(ended))
