"""A backend server whose answers may never end, as a process of its own: ID. Prints its port.

A line `KIND BYTES_A_SECOND` on standard input starts endless answers until their reader closes; `none 0` ends them; `report 0` prints the most
connections that were sending at once, and the longest time for which one sent, in seconds.
"""

import socket
import sys
import threading
import time
from typing import NoReturn

import wire
from quick_server import SLOTS, Server

PIECE_S = 0.01
BEGINNINGS = {
    "body": b"HTTP/1.1 200 OK\r\n%s\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n",
    "line": b"HTTP/1.1 200 OK\r\n%sX-Long: ",
    "lines": b"HTTP/1.1 200 OK\r\n%s",
    "extension": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;",
    "extensions": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n",
    "digits": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n",
    "trailer": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "continue": b"",
}


def piece_of(kind: str, size: int) -> bytes:
    """What is sent again and again."""
    return {"chunks": b"%x\r\n%s\r\n" % (size, b"x" * size), "lines": b"X-Line: y\r\n" * (size // 11 + 1),
            "extensions": b"1;%s\r\nx\r\n" % (b"x" * min(size, 60_000)), "digits": b"0" * size,
            "trailer": b"X-Line: y\r\n" * (size // 11 + 1),
            "continue": b"HTTP/1.1 100 Continue\r\n\r\n" * (size // 25 + 1)}.get(kind, b"x" * size)


class EndlessServer(Server):
    """Serves each connection on a thread."""

    def __init__(self, identity: str):
        super().__init__(identity, 0.0)
        self._kind, self._rate, self._health = "none", 0, False
        self._lock = threading.Lock()
        self._connections = threading.local()  # the connection that this thread serves
        self._sending: dict[int, float] = {}
        self._most = 0
        self._longest = 0.0

    def follow(self, lines) -> None:
        """Change the kind of answers with each line."""
        for line in lines:
            kind, rate = line.split()
            if kind == "report":
                print(self._most, round(self._longest, 2), flush=True)
                continue
            self._health = kind.startswith("health-")
            self._kind, self._rate = kind.removeprefix("health-"), int(rate)

    def _serve(self, connection: socket.socket) -> None:
        self._connections.connection = connection
        super()._serve(connection)

    def _answer(self, lines: list[str]) -> bytes:
        own = {wire.INSTANCE_ID: self.id, wire.SERVER_LOAD: f"0,0,{SLOTS},100"}
        health = lines[0].split(" ")[1] == wire.HEALTH_PATH
        if not health:
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            own[wire.REQUEST_ID] = fields[wire.REQUEST_ID]
            own[wire.SIGNATURE] = f"sig.{fields[wire.REQUEST_ID]}"
        if self._kind != "none" and self._health == health:
            self._send_endlessly(self._connections.connection, own)
        size = 0 if health else int(lines[0].split(" ")[1].rpartition("/")[2])
        return wire.answer_bytes(200, own, b"x" * size)

    def _send_endlessly(self, connection: socket.socket, own: dict[str, str]) -> NoReturn:
        kind, rate = self._kind, self._rate
        begun = time.monotonic()
        fields = "".join(f"{name}: {value}\r\n" for name, value in own.items()).encode()
        piece = piece_of(kind, max(1, int(rate * PIECE_S)))
        with self._lock:
            self._sending[threading.get_ident()] = begun
            self._most = max(self._most, len(self._sending))
        try:
            beginning = BEGINNINGS[kind]
            connection.sendall(beginning % fields if beginning else b"")
            while kind == self._kind:
                connection.sendall(piece)
                self._longest = max(self._longest, time.monotonic() - begun)
                time.sleep(PIECE_S)
        finally:
            with self._lock:
                del self._sending[threading.get_ident()]
        raise OSError("the answer was broken off")


if __name__ == "__main__":
    server = EndlessServer(sys.argv[1])
    print(server.port, flush=True)
    threading.Thread(target=server.follow, args=(sys.stdin,), daemon=True).start()
    server.accept()
