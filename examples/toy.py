"""Three toy cache servers, an origin and discovery on loopback, to try rowanshift with.

    python examples/toy.py                                # in one shell
    python -m rowanshift serve -c examples/config.json    # in another
    curl -i -H 'X-Txn: 1' -H 'X-Org: demo' -H 'X-Remaining-Ms: 2000' http://127.0.0.1:8080/read/hello

Each server says on standard output what it was asked. Stop with Ctrl-C.
"""

import json
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Lock, Thread

ORIGIN = 9000
CACHES = [9001, 9002, 9003]
DISCOVERY = 9500
FETCH = 0.2  # seconds that the origin takes

lock = Lock()
values: dict[str, bytes] = {}  # at the origin; a key never written reads as its own name
kept: dict[int, dict[str, bytes]] = {port: {} for port in CACHES}
missed: dict[str, set[int]] = {}  # caches that lacked the key of a request, by its X-Txn


class Toy(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self, status: int, body: bytes = b"", **fields: str) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args) -> None:
        print(f"{self.server.server_port}: {args[1]} -> {args[2]}", flush=True)


class Cache(Toy):
    def do_GET(self) -> None:
        port, key = self.server.server_port, self.path
        with lock:
            value = kept[port].get(key)
            if value is None:
                missed.setdefault(self.headers["X-Txn"], set()).add(port)
        if value is None:
            self.answer(404, X_Found="miss")
        else:
            self.answer(200, value, X_Found="hit")


class Origin(Toy):
    def do_GET(self) -> None:
        time.sleep(FETCH)
        with lock:
            value = values.get(self.path, self.path.encode() + b"\n")
            for port in missed.pop(self.headers["X-Txn"], ()):
                kept[port][self.path] = value
        self.answer(200, value)

    def do_PUT(self) -> None:
        value = self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(FETCH)
        with lock:
            path = "/read/" + self.path.rsplit("/", 1)[-1]
            values[path] = value
            for cache in kept.values():
                cache.pop(path, None)
        self.answer(200, b"stored\n")


class Discovery(Toy):
    def do_GET(self) -> None:
        """The list never changes here: a watch gets it once, then an empty line every 2 s."""
        rows = [(f"cache-{port}", port, "cache") for port in CACHES] + [("origin", ORIGIN, "origin")]
        instances = [{"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "here", "cell": 0,
                      "machineType": kind, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0}
                     for name, port, kind in rows]
        body = json.dumps({"generation": 1, "reset": True, "instances": instances}).encode() + b"\n"
        if "follow=1" not in self.path:
            self.answer(200, body)
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        while True:
            self.wfile.write(f"{len(body):x}\r\n".encode() + body + b"\r\n")
            body = b"\n"
            time.sleep(2)


def main() -> None:
    for kind, ports in ((Cache, CACHES), (Origin, [ORIGIN]), (Discovery, [DISCOVERY])):
        for port in ports:
            server = ThreadingHTTPServer(("127.0.0.1", port), kind)
            server.daemon_threads = True
            Thread(target=server.serve_forever, daemon=True).start()
    print("toy servers are up", flush=True)
    while True:
        time.sleep(3600)


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        main()
