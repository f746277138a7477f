"""Clients send HEAD requests on connections that they keep."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import http  # noqa: E402
from standins.case import CannotRun, main  # noqa: E402
from standins.client import Client  # noqa: E402
from standins.platform import route  # noqa: E402
from standins.searcher import Searcher  # noqa: E402

ROUNDS = 5


class HeadSearcher(Searcher):
    """Answers HEAD as GET, without the body."""

    def answer(self, connection, request):
        response = super().answer(connection, request)
        return response.split(b"\r\n\r\n")[0] + b"\r\n\r\n" if request.method == "HEAD" else response


def play(platform, record, trouble):
    host = platform.add_host("xela-a")
    searcher = HeadSearcher(record, platform.new_ip(), "garantias", "i-1", "xela-a")
    platform.publish(7, [route("r-ficha", "/ficha/", "idempotent", 2500, 500, service="garantias")], ["garantias"])
    platform.register(searcher)
    if not platform.start_hosts():
        raise CannotRun("the host did not become ready")

    client = Client(record, host.caller_address)
    breaches = []
    served = 0
    for _ in range(ROUNDS):
        for method, target in (("GET", "/ficha/7"), ("HEAD" if trouble else "GET", "/ficha/7"), ("HEAD" if trouble else "GET", "/none/")):
            identifier, response = client.attempt(method, target, 2500)
            if not isinstance(response, http.Message):
                breaches.append(f"MIXED: what comes for {method} id={identifier} is no response: {response}")
                continue
            served += response.status == 200
            surplus = client.connection.surplus(0.1) if client.connection else b""
            if surplus:
                breaches.append(f"MIXED: after the response {response.status} to {method} id={identifier} come bytes of no answer: {surplus!r}")
                client.close()
    if served < ROUNDS:
        raise CannotRun("the GET requests were not served")
    return breaches


main(FOLDER, play)
