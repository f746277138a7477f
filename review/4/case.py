"""The operator takes a service out of a split by giving it the weight zero, in weights of another scale than before."""

import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import http  # noqa: E402
from standins.case import CannotRun, main  # noqa: E402
from standins.client import Client  # noqa: E402
from standins.platform import BOUNDS, route  # noqa: E402
from standins.searcher import Searcher  # noqa: E402

SERVICES = ["garantias", "bodega"]
BEFORE = [95, 5]
AFTER = [1, 0]
AFTER_SAME_SCALE = [100, 0]
# Requests at each host.
WARM_UP_REQUESTS = 40
REQUESTS = 60


def publish(platform, version, weights):
    split = [{"service": service, "weight": weight} for service, weight in zip(SERVICES, weights)]
    return platform.publish(version, [route("r-ficha", "/ficha/", "idempotent", 10000, 1000, traffic_split=split)], SERVICES)


def play(platform, record, trouble):
    # As many as the site has.
    for zone in ("xela-a", "xela-a", "xela-a", "zona-doce", "zacapa-a", "zacapa-a"):
        platform.add_host(zone)
    searchers = [
        Searcher(record, platform.new_ip(), service, f"i-{service}-{zone}", zone) for service in SERVICES for zone in ("xela-a", "zacapa-a")
    ]
    publish(platform, 7, BEFORE)
    for searcher in searchers:
        platform.register(searcher)
    if not platform.start_hosts():
        raise CannotRun("the hosts did not become ready")
    clients = {host.name: Client(record, host.caller_address) for host in platform.hosts}

    def ask(host):
        """Returns when a request was sent and the service that answered it."""
        at = time.monotonic()
        _, response = clients[host.name].attempt("GET", "/ficha/7", 10000)
        if not isinstance(response, http.Message) or response.status != 200:
            raise CannotRun(f"a request at {host.name} was not served")
        name = response.body.decode().split()[0]
        return at, next(searcher.service for searcher in searchers if searcher.name == name)

    for host in platform.hosts:
        for _ in range(WARM_UP_REQUESTS + random.randrange(20)):
            ask(host)
    acknowledged = publish(platform, 9, AFTER if trouble else AFTER_SAME_SCALE)
    due = acknowledged + BOUNDS["config_apply_ms"] / 1000
    time.sleep(due - time.monotonic() + 0.1)
    breaches = []
    for host in platform.hosts:
        late = 0
        for _ in range(REQUESTS):
            at, service = ask(host)
            if service == "bodega":
                late += 1
                breaches.append(f"CONFIG: {host.name} sent a request to the service of weight 0, {at - due:.2f} s after version 9 was due")
        record.write(f"{host.name}: {late} of {REQUESTS} requests to the service of weight 0")
    return breaches


main(FOLDER, play)
