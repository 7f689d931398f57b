"""A backend server that answers at once, as a process of its own: ID SHARE. Prints its port.

It keeps silent about SHARE of its requests after a line on standard input, until the next one.
"""

import random
import socket
import sys
import threading

import wire

MOST_BYTES = 65536
SLOTS = 100


class Server:
    """Serves each connection on a thread."""

    def __init__(self, identity: str, share: float):
        self.id = identity
        self.silent = 0.0
        self._share = share
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(256)
        self.port = self._listener.getsockname()[1]

    def follow(self, lines) -> None:
        """Change between answering and keeping silent with each line."""
        for _ in lines:
            self.silent = self._share - self.silent

    def accept(self) -> None:
        """Serve all connections."""
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        unread = b""
        try:
            while part := connection.recv(MOST_BYTES):
                unread += part
                while b"\r\n\r\n" in unread:
                    head, _, unread = unread.partition(b"\r\n\r\n")
                    answer = self._answer(head.decode("latin-1").split("\r\n"))
                    if answer is not None:
                        connection.sendall(answer)
        except OSError:
            pass
        finally:
            connection.close()

    def _answer(self, lines: list[str]) -> bytes | None:
        own = {wire.INSTANCE_ID: self.id, wire.SERVER_LOAD: f"0,0,{SLOTS},100"}
        if lines[0].split(" ")[1] == wire.HEALTH_PATH:
            return wire.answer_bytes(200, own, b"")
        if random.random() < self.silent:
            return None
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        request = fields[wire.REQUEST_ID]
        return wire.answer_bytes(200, {**own, wire.REQUEST_ID: request, wire.SIGNATURE: f"sig.{request}"}, b"done")


if __name__ == "__main__":
    server = Server(sys.argv[1], float(sys.argv[2]))
    print(server.port, flush=True)
    threading.Thread(target=server.follow, args=(sys.stdin,), daemon=True).start()
    server.accept()
