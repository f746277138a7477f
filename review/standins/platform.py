"""Stand-in of the platform: starts entry hosts with the command and the settings template of the deploy file."""

import os
import random
import re
import shlex
import subprocess
import tempfile
import threading
import time

from standins import http
from standins.store import Store

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Of chajul-span, as SYSTEM.md gives them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 4000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "downgrade_ms": 250,
    "max_skew_ms": 15000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "warmup_factor": 1.5,
    "warmup_slack": 5,
    "evacuate_ms": 5000,
    "recover_s": 12,
}
ZONES = {"xela-a": "altiplano", "zona-doce": "capital", "zacapa-a": "oriente"}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class Record:
    """The file record.txt: what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


def render(template, fields):
    """Fills in a settings template: values, sections over lists and tables, and inverted sections (DEPLOY.md)."""

    def lookup(name, scopes):
        if name == ".":
            return scopes[-1].get(".")
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def expand(text, scopes):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        output, position = [], 0
        for match in section.finditer(text):
            output.append(values(text[position : match.start()], scopes))
            kind, name, inner = match.groups()
            value = lookup(name, scopes)
            if kind == "^":
                output.append(expand(inner, scopes) if not value else "")
            elif isinstance(value, dict):
                output += [expand(inner, scopes + [{".": one, "@": key}]) for key, one in value.items()]
            elif isinstance(value, list):
                output += [expand(inner, scopes + [{".": one, "@": key}]) for key, one in enumerate(value)]
            elif value is not None and value is not False:
                output.append(expand(inner, scopes + [{".": value}]))
            position = match.end()
        output.append(values(text[position:], scopes))
        return "".join(output)

    def values(text, scopes):
        return re.sub(r"\{\{([^#^/}][^}]*)\}\}", lambda match: text_of(lookup(match.group(1), scopes)), text)

    return expand(template, [fields])


class Host:
    """A machine with one entry host."""

    def __init__(self, platform, name, zone, ip):
        self.platform = platform
        self.name = name
        self.zone = zone
        self.ip = ip
        self.caller_address = f"{ip}:8226"
        self.ready_address = f"{ip}:8227"
        self.process = None
        self.settings = os.path.join(platform.folder, f"{name}.yaml")

    def start(self):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(self.platform.template, self.platform.fields_of(self)))
        command = [part.replace("/etc/magnoliaspan/settings.yaml", self.settings) for part in self.platform.command]
        environment = {"PATH": "/usr/bin:/bin", "HOME": "/tmp", "LANG": "C", "MAGNOLIASPAN_NODE_FILE": self.settings}
        log = open(os.path.join(self.platform.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
        )
        self.platform.record.write(f"platform starts {self.name} in {self.zone}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        try:
            connection = http.connect(self.ready_address, 1)
            connection.send(http.encode("GET /api/ready HTTP/1.1", [("Host", self.ready_address)]))
            status = connection.read("GET").status
            connection.close()
            return status == 200
        except (http.Closed, http.Malformed):
            return False

    def log(self):
        with open(os.path.join(self.platform.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Platform:
    """Hosts, a store and the operator on loopback addresses of this run alone."""

    def __init__(self, record):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._folder.name
        self._net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._last_ip = 0
        self.hosts = []
        self.seeds = []
        self.store = Store(self.new_ip())
        self.store_address = self.store.address
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
            deploy = file.read()
        self.command = shlex.split(re.search(r'^run = "(.*)"$', deploy, re.M).group(1))
        template = re.search(r'^template = "(.*)"$', deploy, re.M).group(1)
        with open(os.path.join(REPOSITORY, template), encoding="utf-8") as file:
            self.template = file.read()

    def new_ip(self):
        self._last_ip += 1
        return f"{self._net}.{self._last_ip}"

    def add_host(self, zone):
        host = Host(self, f"frontend-{zone}-{len(self.hosts) + 1}", zone, self.new_ip())
        self.hosts.append(host)
        if len(self.seeds) < 3:
            self.seeds.append(f"{host.ip}:8224")
        return host

    def fields_of(self, host):
        return {
            "node_name": host.name,
            "ip": host.ip,
            "zone": host.zone,
            "region": ZONES[host.zone],
            "zones": ZONES,
            "listen_addrs": {"frontend": host.caller_address, "readiness": host.ready_address, "control": f"{host.ip}:8224"},
            "seeds": self.seeds,
            "bounds": BOUNDS,
            "platform": {"address": self.store_address},
        }

    def publish(self, version, routes, services):
        """Writes a configuration; returns the time of its acknowledgement."""
        specs = [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 45,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 3.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ]
        acknowledged = self.store.put("op/config", {"version": version, "routes": routes, "services": specs, "limits": LIMITS})
        self.record.write(f"operator publishes version {version}, acknowledged")
        return acknowledged

    def register(self, searcher, state="ready"):
        self.record.write(f"searcher {searcher.name} of {searcher.service} at {searcher.address} is {state}")
        return self.store.put(f"servers/{searcher.name}", searcher.entry(state))

    def start_hosts(self, timeout=15):
        """Starts all hosts and waits until each is ready and knows the others; returns whether that came about."""
        for host in self.hosts:
            host.start()
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all(host.is_ready() for host in self.hosts):
                time.sleep(4)
                return True
            time.sleep(0.2)
        return False

    def stop(self):
        """Ends the processes that this run started."""
        for host in self.hosts:
            if host.is_running():
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        self._folder.cleanup()


def route(name, prefix, kind, deadline_ms, goal_ms, **destination):
    return {
        "name": name,
        "host": "leno12.example",
        "prefix": prefix,
        "type": kind,
        "timeout_ms": deadline_ms,
        "latency_goal_ms": goal_ms,
        "priority": 1,
        "max_attempts": 2,
        "allowed_regions": [],
        **destination,
    }
