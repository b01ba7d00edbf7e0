"""Starts a small deployment for a case: entry nodes as processes, and stand-ins of the store, the
backend servers and the clients. Extends the project's own stand-ins. All addresses are loopback."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

REVIEW = pathlib.Path(__file__).resolve().parent
REPOSITORY = REVIEW.parent
BUILD = REPOSITORY / "target"
os.environ["BANYANRING_BUILD"] = str(BUILD)
sys.path.insert(0, str(REPOSITORY / "tests" / "process"))

import platform_standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = platform_standin.HOST
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = 32  # Ports of a node: its listen addresses and its port range.


def run_command():
    """Returns the command of the only role in the deploy file."""
    for line in (REPOSITORY / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            program, *arguments = json.loads(line.removeprefix("run = ")).split()
            return [str(REPOSITORY / program), *arguments]
    raise RuntimeError("deploy/system.toml names no command")


class Record:
    """The file record.txt of a case, with the time since the start of the case."""

    def __init__(self, directory):
        self.file = open(pathlib.Path(directory) / "record.txt", "w", encoding="utf-8")
        self.lock, self.start = threading.Lock(), time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
            self.file.flush()


class Server:
    """A backend server that renews its registration as PROTOCOL.md describes. `answer(handler)` may
    replace the usual answer."""

    def __init__(self, deployment, name, service, zone, slots=6, delay_s=0.03, answer=None):
        self.deployment, self.name, self.service, self.zone = deployment, name, service, zone
        self.slots, self.delay_s, self.answer = slots, delay_s, answer
        self.state, self.registered, self.sequence = "ready", True, 0
        self.born = int(time.time() * 1000)
        self.arrivals, self.lock = [], threading.Lock()  # (time, attempt id)
        self.port = platform_standin.find_free_ports()
        self.server = platform_standin.serve(ServerHandler, self.port, backend=self)
        self.server.handle_error = lambda *_: None
        threading.Thread(target=self.renew, daemon=True).start()

    def register(self):
        self.sequence += 1
        self.deployment.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "seq": self.sequence, "born": self.born})

    def renew(self):
        while True:
            with self.lock:
                if not self.registered:
                    return
                self.register()
            time.sleep(HEARTBEAT_S)

    def leave(self):
        """The store removes the entry; returns the time of the acknowledgement."""
        with self.lock:
            self.registered = False
            self.deployment.store.remove(f"servers/{self.name}")
            return time.monotonic()

    def stop(self):
        self.registered = False
        self.server.shutdown()
        self.server.server_close()


class ServerHandler(platform_standin.QuietHandler):
    backend = None

    def do_GET(self):
        self.run()

    def do_POST(self):
        self.run()

    def run(self):
        try:
            backend, attempt = self.backend, self.headers["X-Attempt-Id"]
            if self.path == "/healthz":
                self.respond(200, headers=[("X-Instance-Id", backend.name)])
                return
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            if self.headers["X-Expect-Instance"] != backend.name:
                self.respond(421, headers=[("X-Attempt-Id", attempt), ("X-Instance-Id", backend.name)])
                return
            backend.arrivals.append((time.monotonic(), attempt))
            backend.deployment.record.write(f"server {backend.name} runs {attempt} {self.path}")
            if backend.answer is not None:
                backend.answer(self, attempt, body)
                return
            time.sleep(backend.delay_s)
            self.respond(200, body + b" done", [("X-Attempt-Id", attempt), ("X-Server-Seal", "seal")])
        except ConnectionError:
            self.close_connection = True


class Node:
    """An entry VM: one process with the command of the deploy file. `dark` while it is down."""

    def __init__(self, deployment, number, zone, port):
        self.deployment, self.number, self.zone = deployment, number, zone
        self.ip, self.process = f"127.0.1.{number + 1}", None
        self.name = f"front-{zone}-{number}"
        self.ports = {name: port + index for index, name in
                      enumerate(("front", "ready", "control", "directory"))}
        self.range = (port + 8, port + PORTS - 1)
        self.settings = deployment.directory / f"{self.name}.conf"
        self.log = deployment.directory / f"{self.name}.log"

    def write_settings(self):
        deployment = self.deployment
        seeds = ",".join(f"{n.ip}:{n.ports['control']}" for n in deployment.nodes[:3])
        lines = [f"node_name={self.name}", "role=entry", "machine_class=front",
                 "serves=front,directory,control", f"ip={self.ip}", f"zone={self.zone}", "region=guj-west"]
        lines += [f"zones.{zone}=guj-west" for zone in deployment.zones]
        lines += [f"listen.{name}={self.ip}:{port}" for name, port in self.ports.items()]
        lines += [f"port_range={self.range[0]},{self.range[1]}", f"seeds={seeds}", "bootstrap=true",
                  f"limits.memory_mb={deployment.memory_mb}", "limits.max_fds=4100", "heartbeat_ms=1200",
                  "bounds.stable_window_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8",
                  "bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2",
                  "bounds.budget_window_s=10", "bounds.budget_slack=58", "bounds.quota_window_s=8",
                  "bounds.quota_overshoot=0.25", "bounds.quota_slack=140000", "bounds.cold_overshoot=1.5",
                  "bounds.cold_slack=5", "bounds.ttl_max_s=5",
                  f"platform.address=127.0.0.1:{deployment.store.port}", "platform.form=read"]
        temporary = self.settings.with_suffix(".new")
        temporary.write_text("\n".join(lines) + "\n")
        temporary.rename(self.settings)

    def start(self):
        self.write_settings()
        self.process = subprocess.Popen(
            run_command(), cwd=REPOSITORY, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT,
            env={"BANYANRING_SETTINGS": str(self.settings), "PATH": os.environ["PATH"], "LANG": "C"})
        self.deployment.record.write(f"started {self.name}")

    def signal(self, number):
        self.deployment.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def get(self, port, path, timeout=5):
        connection = http.client.HTTPConnection(self.ip, port, timeout=timeout)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def ready(self):
        try:
            return self.get(self.ports["ready"], "/api/readyz")[0] == 200
        except OSError:
            return False

    def addresses(self):
        try:
            status, body = self.get(self.ports["directory"],
                                    f"/api/resolve?name={HOST}&region=guj-west&zone={self.zone}")
            return json.loads(body)["addresses"] if status == 200 else []
        except OSError:
            return []

    def state(self):
        """The operators' state page."""
        return json.loads(self.get(self.range[0] + 1, "/debug/state")[1])


class Deployment:
    """A store, servers and entry nodes; to be used in a `with` block, which ends all of them."""

    zones = ("surat-a", "surat-b", "surat-c")
    memory_mb = 110
    node_zones = (0, 0, 0, 1, 1, 1, 1, 2, 2)

    def __init__(self, directory, node_zones=None):
        self.record = Record(directory)
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.store = platform_standin.Store()
        self.store.server.handle_error = lambda *_: None  # Nodes that are killed close their watches.
        self.version, self.routes, self.tenants, self.limits = 0, {}, [], {}
        self.services = [{"name": "khata-app", "max_connections": 110}]
        self.servers = []
        port = platform_standin.find_free_ports(PORTS)
        self.nodes = []
        for number, zone in enumerate(self.node_zones if node_zones is None else node_zones):
            self.nodes.append(Node(self, number, self.zones[zone], port))

    def route(self, name, kind, service="khata-app", **fields):
        self.routes[name] = {"name": f"r-{name}", "hostname": HOST, "prefix": f"/{name}/",
                             "route_type": kind, "timeout_ms": 800, "target_latency_ms": 300,
                             "priority": 2, "service": service,
                             "max_attempts": 2 if kind == "idempotent" else 1, **fields}

    def publish(self):
        """The operator writes a configuration; returns the time of the acknowledgement."""
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": list(self.routes.values()), "services": self.services,
            "tenants": self.tenants, "limits": self.limits})
        self.record.write(f"store acknowledges configuration {self.version}")
        return time.monotonic()

    def start(self):
        for node in self.nodes:
            node.start()
        self.wait_ready(self.nodes)

    def wait_ready(self, nodes, seconds=15):
        self.wait_until("all nodes ready and listed", lambda: all(
            n.ready() and len(n.addresses()) == len(self.nodes) for n in nodes), seconds)

    def wait_until(self, what, condition, seconds=10):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"after {seconds} s: {what}")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            if node.running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for server in self.servers:
            server.registered = False
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                if node.log.exists():
                    (pathlib.Path(keep) / node.log.name).write_bytes(node.log.read_bytes())
        self.temporary.cleanup()


class Client(threading.Thread):
    """Sends requests to one node over a kept connection, one at a time, until it is stopped. Each has
    its own attempt id, which begins with the name of the node."""

    def __init__(self, deployment, node, path, method="GET", key="key-1", left_ms=1500, gap_s=0.02,
                 name="c", headers=None, body=None, paced=False):
        super().__init__(daemon=True)
        self.deployment, self.node, self.path, self.method, self.key = deployment, node, path, method, key
        self.left_ms, self.gap_s, self.label, self.body = left_ms, gap_s, name, body
        self.extra, self.paced = headers or {}, paced  # Paced: gap_s between the starts of requests.
        self.running, self.results = True, {}  # attempt id: (sent, ended, status or error)

    def run(self):
        connection, count = None, 0
        while self.running:
            if connection is None:
                connection = http.client.HTTPConnection(self.node.ip, self.node.ports["front"], timeout=9)
            count += 1
            attempt = f"{self.node.name}-{self.label}-{count}"
            headers = {"Host": HOST, "X-Attempt-Id": attempt, "Authorization": f"Bearer {self.key}",
                       "X-Deadline-Remaining": str(self.left_ms), **self.extra}
            sent = time.monotonic()
            try:
                connection.request(self.method, self.path, self.body, headers)
                response = connection.getresponse()
                response.read()
                outcome = response.status
                if response.getheader("Connection") == "close":
                    connection = None
            except (OSError, http.client.HTTPException) as error:
                outcome = type(error).__name__
                connection.close()
                connection = None
            self.results[attempt] = (sent, time.monotonic(), outcome)
            self.deployment.record.write(f"client {attempt} {self.path} got {outcome}")
            elapsed = time.monotonic() - sent if self.paced else 0
            time.sleep(max(0.0, self.gap_s - elapsed))

    def finish(self):
        self.running = False
        self.join(10)


def main(case, directory):
    """Runs a case; exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    def stop(*_):
        raise TimeoutError("ended by SIGTERM")  # So that all processes are ended.

    signal.signal(signal.SIGTERM, stop)
    try:
        code = case(pathlib.Path(directory).resolve())
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
        code = NOT_RUN
    sys.stdout.flush()
    os._exit(code)
