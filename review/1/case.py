"""A faulty searcher now and then announces an immense body and sends bytes until its caller closes."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import http  # noqa: E402
from standins.case import CannotRun, Spells, main, run_threads  # noqa: E402
from standins.client import Client  # noqa: E402
from standins.platform import BOUNDS, route  # noqa: E402
from standins.searcher import ID, SIGNATURE, Searcher  # noqa: E402

CLIENTS_PER_HOST = 8
LENGTH_S = 45
WORK_S = 0.2
# `garble`: share of the searchers and of their answers, and how long it lasts at a time.
FAULTY_SHARE = 0.25
SPOILT_SHARE = 0.02
SPELL_S = 5
ANNOUNCED_BYTES = 10**15
# LOST allows three requests, which were passed on to a sound searcher, whose kept connection is closed without an answer.
ALLOWED_LOST = 3
RESTART_S = 0.3


class FaultySearcher(Searcher):
    """Spoils SPOILT_SHARE of its answers during the spells: the body has no end."""

    def __init__(self, *arguments, faulty, spells):
        super().__init__(*arguments, capacity=24)
        self.faulty = faulty
        self.spells = spells
        self.answers = 0

    def run(self, connection, request):
        strikes = self.faulty and self.spells.strikes()
        self.answers += strikes
        if not strikes or self.answers % round(1 / SPOILT_SHARE):
            return super().run(connection, request)
        self.note_run(request)
        self.record.write(f"searcher {self.name} answers id={request.field(ID)} with a body without end")
        fields = [(ID, request.field(ID)), (SIGNATURE, f"{self.name}.{request.field(ID)}"), ("Content-Length", ANNOUNCED_BYTES)]
        connection.send(http.encode("HTTP/1.1 200 OK", fields, b"z" * 1000))
        while True:
            connection.send(b"z" * 1000)
            time.sleep(0.02)

    def work(self, request):
        time.sleep(WORK_S)
        return b"a record\n"


def play(platform, record, trouble):
    for zone in ("xela-a", "zacapa-a"):
        platform.add_host(zone)
    spells = Spells(SPELL_S)
    searchers = []
    for number in range(8):
        faulty = trouble and number < 8 * FAULTY_SHARE
        searchers.append(FaultySearcher(record, platform.new_ip(), "garantias", f"i-{number}", "xela-a", faulty=faulty, spells=spells))
    platform.publish(7, [route("r-ficha", "/ficha/", "idempotent", 10000, 1000, service="garantias")], ["garantias"])
    for searcher in searchers:
        platform.register(searcher)
    if not platform.start_hosts():
        raise CannotRun("the hosts did not become ready")
    # From here on all machines are in touch.
    time.sleep(BOUNDS["contact_ms"] / 1000)

    ends = []
    started = {host.name: 0.0 for host in platform.hosts}
    lost = []
    answered = []
    until = time.monotonic() + LENGTH_S
    spells.start()
    lock = threading.Lock()

    def keep_running(host):
        while time.monotonic() < until:
            if not host.is_running():
                record.write(f"{host.name} ended by itself, status {host.process.returncode}: {host.log()[-60:].strip()!r}")
                ends.append(host.name)
                time.sleep(RESTART_S)
                started[host.name] = time.monotonic()
                host.start()
            time.sleep(0.02)

    def ask(host):
        client = Client(record, host.caller_address)
        served = 0
        while time.monotonic() < until:
            kept = client.connection is not None
            identifier, response = client.attempt("GET", f"/ficha/{random.randrange(1000)}", 10000)
            if isinstance(response, http.Message):
                served += 1
                with lock:
                    answered.append(response.status)
            elif kept and time.monotonic() > started[host.name] + BOUNDS["contact_ms"] / 1000:
                # A machine that was started again is left out until it is in touch, though the rules count its own ends as running.
                with lock:
                    lost.append((identifier, host.name))
            else:
                time.sleep(0.2)
            time.sleep(random.uniform(0, 0.05))

    run_threads(
        [lambda host=host: ask(host) for host in platform.hosts for _ in range(CLIENTS_PER_HOST)]
        + [lambda host=host: keep_running(host) for host in platform.hosts]
    )
    time.sleep(WORK_S + 0.2)
    record.write(f"{answered.count(200)} of {len(answered)} answers are 200")
    for host in platform.hosts:
        record.write(f"{host.name} ended by itself {ends.count(host.name)} times")
    if answered.count(200) < 50:
        raise CannotRun("hardly any request was served")
    sound = {identifier for searcher in searchers if not searcher.faulty for _, identifier in searcher.runs}
    breaches = [f"LOST: id={identifier} ran at a sound searcher, {host} closed its kept connection" for identifier, host in lost if identifier in sound]
    return breaches if len(breaches) > ALLOWED_LOST else []


main(FOLDER, play)
