"""A backend server with quick answers, for the case beside it: each connection has a thread.

Arguments: its id, a file, a share. Prints its port. While the file exists, it runs that share of its requests and keeps
silent: nothing more comes on such a connection. It closes a connection that rests for KEEP_S.
"""

import os
import random
import socket
import sys
import threading

MOST_BYTES = 65536
KEEP_S = 10.0  # a connection that rests longer is closed


def serve(connection: socket.socket, own: str, flag: str, share: float) -> None:
    """Answer the requests of one connection."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.settimeout(KEEP_S)
    unread = b""
    try:
        while True:
            while b"\r\n\r\n" not in unread:
                part = connection.recv(MOST_BYTES)
                if not part:
                    return
                unread += part
            head, _, unread = unread.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            common = f"Sailpath-Instance-Id: {own}\r\nSailpath-Server-Load: 0,0,6,100\r\n"
            if lines[0].split(" ")[1] == "/health":
                connection.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n".encode())
                continue
            request = fields.get("sailpath-request-id", "")
            if os.path.exists(flag) and random.random() < share:
                connection.settimeout(60.0)
                while connection.recv(MOST_BYTES):
                    pass
                return
            connection.sendall((f"HTTP/1.1 200 OK\r\n{common}Sailpath-Request-Id: {request}\r\n"
                                f"Sailpath-Response-Signature: s.{request}\r\nContent-Length: 16\r\n\r\n").encode()
                               + request.encode().ljust(16))
    except OSError:
        pass
    finally:
        connection.close()


listener = socket.socket()
listener.bind(("127.0.0.1", 0))
listener.listen(256)
print(listener.getsockname()[1], flush=True)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted, sys.argv[1], sys.argv[2], float(sys.argv[3])), daemon=True).start()
