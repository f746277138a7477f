"""Stand-in of the platform's store: the three reading calls of PROTOCOL.md, and the writes of operator and searchers."""

import base64
import json
import socket
import threading
import time
import urllib.parse

from standins import http


class Store:
    """Serves items with revisions. Writes come from the test; their return is the acknowledgement."""

    def __init__(self, ip):
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._revision = 100
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = "%s:%d" % self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._revision += 1
            before = self._items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "rev": self._revision,
                "created_rev": before["created_rev"] if before else self._revision,
                "lease": 0,
            }
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()
        return time.monotonic()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(http.Connection(sock),), daemon=True).start()

    def _serve(self, connection):
        try:
            while True:
                request = connection.read()
                status, body = self._answer(request.target)
                connection.send(http.encode_response(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
        except (http.Closed, ValueError):
            connection.close()

    def _answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            with self._changed:
                keys = sorted(key for key in self._items if key.startswith(prefix) and key > query.get("after", ""))
                page = keys[:500]
                items = [self._items[key] for key in page]
                return 200, {"items": items, "truncated": len(page) < len(keys), "store_revision": self._revision}
        if url.path == "/api/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            with self._changed:
                while True:
                    events = [event for event in self._history if event["rev"] > after and event["key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events[:500], "store_revision": self._revision}
                    self._changed.wait(left)
        if url.path == "/api/kv-key":
            with self._changed:
                item = self._items.get(query.get("key", ""))
                return (200, dict(item, store_revision=self._revision)) if item else (404, {})
        return 404, {}


class Proxy:
    """Passes bytes on between hosts and a server; can make the connections that are open silent, for good and without a reset."""

    def __init__(self, ip, target):
        self._target = target
        self._lock = threading.Lock()
        self._open = []
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = "%s:%d" % self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Makes all open connections silent; returns their number. New ones work."""
        with self._lock:
            silenced, self._open = self._open, []
        for silent in silenced:
            silent.set()
        return len(silenced)

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            server = http.connect(self._target, 5).sock
            server.settimeout(None)
            silent = threading.Event()
            with self._lock:
                self._open.append(silent)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._pass_on, args=(source, sink, silent), daemon=True).start()

    def _pass_on(self, source, sink, silent):
        try:
            while True:
                data = source.recv(65536)
                if silent.is_set():
                    # Kept open and unread, as behind a path that drops all packets.
                    threading.Event().wait()
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        with self._lock:
            if silent in self._open:
                self._open.remove(silent)
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
