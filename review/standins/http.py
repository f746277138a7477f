"""HTTP/1.1 messages on plain sockets, with each byte under the control of the caller.

The stand-ins need to send and read messages that the HTTP classes of the standard library would refuse or hide: a surplus
response, a response that stops halfway, bytes that are no response.
"""

import socket


class Closed(Exception):
    """The other end closed or reset the connection before a complete message arrived."""


class Malformed(Exception):
    """The bytes that arrived are not the message that was expected."""


class Message:
    """A request or response: its first line, its header fields in order and its body."""

    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def field(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.start.split(" ", 2)[0]

    @property
    def target(self):
        return self.start.split(" ", 2)[1]

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


def encode(start, fields=(), body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(status, fields=(), body=b"", reason="-"):
    return encode(f"HTTP/1.1 {status} {reason}", [("Content-Length", len(body)), *fields], body)


class Connection:
    """A socket with the bytes that were received and not used yet."""

    def __init__(self, sock):
        self.sock = sock
        self.rest = b""

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise Closed(str(error)) from error

    def _fill(self):
        try:
            data = self.sock.recv(65536)
        except (ConnectionError, socket.timeout, OSError) as error:
            raise Closed(str(error)) from error
        if not data:
            raise Closed("end of stream")
        self.rest += data

    def _line(self):
        while b"\r\n" not in self.rest:
            self._fill()
        line, self.rest = self.rest.split(b"\r\n", 1)
        return line.decode("latin-1")

    def _exactly(self, count):
        while len(self.rest) < count:
            self._fill()
        data, self.rest = self.rest[:count], self.rest[count:]
        return data

    def _chunks(self):
        body = b""
        while True:
            size = int(self._line().split(";")[0], 16)
            if size == 0:
                while self._line():
                    pass
                return body
            body += self._exactly(size)
            self._line()

    def read(self, response_to=None):
        """Returns the next message; `response_to` is the method of the request if a response is expected."""
        start = self._line()
        if response_to is not None and not start.startswith("HTTP/1.1 "):
            raise Malformed(start)
        fields = []
        while True:
            line = self._line()
            if not line:
                break
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
        message = Message(start, fields, b"")
        if response_to is not None and (response_to == "HEAD" or message.status in (204, 304) or message.status < 200):
            return message
        if "chunked" in (message.field("Transfer-Encoding") or "").lower():
            message.body = self._chunks()
        elif message.field("Content-Length") is not None:
            message.body = self._exactly(int(message.field("Content-Length")))
        return message

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    try:
        sock = socket.create_connection((host, int(port)), timeout=timeout)
    except OSError as error:
        raise Closed(str(error)) from error
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)
