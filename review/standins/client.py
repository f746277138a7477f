"""Stand-in of the clients: one attempt at a request, each with an id of its own."""

import itertools
import os
import threading

from standins import http
from standins.searcher import DEADLINE, ID

_run = os.urandom(3).hex()
_numbers = itertools.count(1)
_lock = threading.Lock()


def new_id():
    with _lock:
        return f"{_run}{next(_numbers):08x}"


class Client:
    """Keeps a connection to one host while that host keeps it open."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.connection = None

    def attempt(self, method, target, deadline_ms, body=b"", fields=()):
        """Sends a request and returns its id and the response, or the exception that took its place."""
        identifier = new_id()
        try:
            return identifier, self._exchange(identifier, method, target, deadline_ms, body, fields)
        except (http.Closed, http.Malformed) as error:
            self.record.write(f"client id={identifier} gets no response: {type(error).__name__} {error}")
            self.close()
            return identifier, error

    def _exchange(self, identifier, method, target, deadline_ms, body, fields):
        if self.connection is None:
            self.connection = http.connect(self.address, 1)
        self.connection.sock.settimeout(deadline_ms / 1000 + 2)
        head = [("Host", "leno12.example"), (ID, identifier), (DEADLINE, deadline_ms), *fields]
        if body or method == "POST":
            head.append(("Content-Length", len(body)))
        self.record.write(f"client sends {method} {target} id={identifier} to {self.address}")
        self.connection.send(http.encode(f"{method} {target} HTTP/1.1", head, body))
        response = self.connection.read(method)
        self.record.write(f"client id={identifier} gets {response.status} {response.body[:60]!r}")
        if (response.field("Connection") or "").lower() == "close":
            self.close()
        return response

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None
