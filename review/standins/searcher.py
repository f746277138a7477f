"""Stand-in of a searcher: serves one request at a time on a connection, as PROTOCOL.md says."""

import socket
import threading
import time

from standins import http

ID = "X-Magnoliaspan-Request-Id"
DEADLINE = "X-Magnoliaspan-Request-Deadline"
SIGNATURE = "X-Magnoliaspan-Response-Signature"
INSTANCE = "X-Magnoliaspan-Target-Instance"
NOT_EXECUTED = "X-Magnoliaspan-Not-Executed"


class Searcher:
    """A sound searcher. Cases change it by overriding `serve`, or `run` for the work alone."""

    def __init__(self, record, ip, service, name, zone, capacity=4):
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.lock = threading.Lock()
        self.runs = []
        self.connections = set()
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = "%s:%d" % self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = http.Connection(sock)
            self.connections.add(connection)
            threading.Thread(target=self._loop, args=(connection,), daemon=True).start()

    def _loop(self, connection):
        try:
            while True:
                self.serve(connection, connection.read())
        except (http.Closed, http.Malformed, ValueError):
            connection.close()
        finally:
            self.connections.discard(connection)

    def serve(self, connection, request):
        connection.send(self.answer(connection, request))

    def answer(self, connection, request):
        """Returns the bytes of the response to `request`, after running it."""
        if request.target == "/health":
            return http.encode_response(200, [("X-Magnoliaspan-Instance-Id", self.name)])
        if request.field(ID) is None:
            return http.encode_response(400, [(NOT_EXECUTED, "1")])
        wanted = request.field(INSTANCE)
        if wanted is not None and wanted != self.name:
            return http.encode_response(421, [(ID, request.field(ID)), ("X-Magnoliaspan-Instance-Id", self.name), (NOT_EXECUTED, "1")])
        return self.run(connection, request)

    def shed(self, request):
        return http.encode_response(503, [(ID, request.field(ID)), (NOT_EXECUTED, "1")])

    def note_run(self, request):
        """Records that the work on `request` begins; returns the number of runs of its id here so far."""
        identifier = request.field(ID)
        with self.lock:
            self.runs.append((time.monotonic(), identifier))
            count = sum(1 for _, other in self.runs if other == identifier)
        self.record.write(f"searcher {self.name} runs {request.start!r} id={identifier}")
        return count

    def work(self, request):
        """Does the work and returns the body of the response."""
        time.sleep(0.02)
        return f"{self.name} {request.field(ID)}\n".encode()

    def run(self, connection, request):
        count = self.note_run(request)
        body = self.work(request)
        signature = f"{self.name}.{request.field(ID)}.{count}"
        return http.encode_response(200, [(ID, request.field(ID)), (SIGNATURE, signature)], body)
