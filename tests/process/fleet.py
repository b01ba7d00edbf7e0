"""Runs a fleet on loopback: a fake platform, fake backend servers and daemons, each a process."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

BUILD = pathlib.Path(os.environ.get("BANYANRING_BUILD", pathlib.Path(__file__).parents[2] / "build"))


def find_free_ports(count):
    """Returns free ports. All stay bound until the last one is found, so that they are distinct."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Response:
    """An HTTP response; `complete` is false if the connection closed before the end of the body."""

    def __init__(self, status, body, headers, complete=True):
        self.status, self.body, self.headers, self.complete = status, body, headers, complete

    def json(self):
        return json.loads(self.body)


def http_request(address, method, path, body=None, headers=None, timeout=30):
    """Sends an HTTP request; raises OSError if the connection is refused or reset."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        try:
            text = response.read().decode()
            return Response(response.status, text, dict(response.getheaders()))
        except http.client.IncompleteRead as error:
            return Response(response.status, error.partial.decode(), dict(response.getheaders()), False)
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Fleet:
    """A fleet and its configuration and VM list; to be used in a `with` block."""

    def __init__(self, nodes=3, engines=2, plains=1, slots=4, token_ms=10, plain_ms=20, cold_ms=0,
                 settings=None):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="banyanring-"))
        self.processes = {}
        self.revision = {"config": 0, "vms": 0}
        self.settings = {"lapse_ms": 800, "pull_ms": 60, "token_loan_ms": 600, "slot_loan_ms": 600,
                         "poll_ms": 200, "report_fresh_ms": 1500, "address_keep_ms": 500, "drain_ms": 700, "ticket_ms": 4000,
                         **(settings or {})}
        ports = find_free_ports(1 + 3 * nodes + engines + plains)
        self.platform = f"127.0.0.1:{ports.pop()}"
        self.nodes = {n: [f"127.0.0.1:{ports.pop()}" for _ in range(3)] for n in range(1, nodes + 1)}
        self.cold_ms = cold_ms
        self.backends = {}
        for index in range(engines):
            self.backends[f"llm-{index}"] = ("engine", f"127.0.0.1:{ports.pop()}", token_ms)
        for index in range(plains):
            self.backends[f"app-{index}"] = ("plain", f"127.0.0.1:{ports.pop()}", plain_ms)
        self.keys = {"red": "key-red", "blue": "key-blue"}
        self.config = {
            "services": [
                {"name": "llm", "kind": "engine", "longest_run_ms": 20000, "long_tokens": 500},
                {"name": "app", "kind": "plain", "longest_run_ms": 10000}],
            "routes": [
                {"path": "/draft", "service": "llm", "tier": 2, "idempotent": True, "deadline_ms": 20000},
                {"path": "/urgent", "service": "llm", "tier": 0, "idempotent": True, "deadline_ms": 20000},
                {"path": "/lookup", "service": "app", "tier": 0, "idempotent": True, "deadline_ms": 10000},
                {"path": "/order", "service": "app", "tier": 1, "deadline_ms": 10000},
                {"path": "/open", "service": "app", "tier": 3, "idempotent": True, "open": True,
                 "deadline_ms": 10000}],
            "organisations": [{"name": name, "rate": 20000, "burst": 60000} for name in self.keys],
            "keys": [{"digest": hashlib.sha256(key.encode()).hexdigest(), "organisation": name}
                     for name, key in self.keys.items()],
            "servers": [
                {"name": name, "service": "llm" if kind == "engine" else "app", "address": address,
                 "domain": f"d{index % 2}", "slots": slots, "cold_slots": 1}
                for index, (name, (kind, address, _)) in enumerate(self.backends.items())],
            "domains_out": []}
        self.vms = [{"id": n, "entry": a[0], "peer": a[1], "domain": f"d{n % 2}", "state": "live"}
                    for n, a in self.nodes.items()]

    def __enter__(self):
        try:
            self.publish_config()
            self.publish_vms()
            self.start_platform()
            for name in self.backends:
                self.start_backend(name)
            for node in self.nodes:
                self.start_node(node)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *unused):
        for name in list(self.processes):
            self.signal(name, signal.SIGCONT)  # A test may have stopped it.
            self.kill(name)

    def spawn(self, name, *command):
        output = open(self.directory / f"{name}.out", "ab")
        self.processes[name] = subprocess.Popen([str(argument) for argument in command], stdout=output, stderr=output)

    def signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def wait_exit(self, name, timeout=30):
        return self.processes.pop(name).wait(timeout)

    def write(self, name, value):
        """Replaces a file atomically, so that no reader sees a part of it."""
        path = self.directory / (name + ".new")
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        path.rename(self.directory / name)

    def publish_config(self):
        self.revision["config"] += 1
        shards = {name: {name: entries} for name, entries in self.config.items()}
        self.write("config.json", {"revision": self.revision["config"], "shards": shards})

    def publish_vms(self):
        self.revision["vms"] += 1
        self.write("vms.json", {"revision": self.revision["vms"], "vms": self.vms})

    def start_platform(self):
        self.spawn("platform", BUILD / "tests/standin_platform", "--listen", self.platform, "--dir",
                   self.directory)

    def start_backend(self, name, cold_ms=None):
        kind, address, token_ms = self.backends[name]
        self.spawn(name, BUILD / "tests/standin_backend", "--listen", address, "--kind", kind,
                   "--token-ms", token_ms, "--cold-ms", self.cold_ms if cold_ms is None else cold_ms)

    def start_node(self, node):
        entry, peer, operator = self.nodes[node]
        settings = {"node": node, "entry_listen": entry, "peer_listen": peer,
                    "operator_listen": operator, "platform": self.platform, "domain": f"d{node % 2}",
                    "log_file": str(self.directory / f"node-{node}.log"), **self.settings}
        self.write(f"node-{node}.json", settings)
        self.spawn(f"node-{node}", BUILD / "banyanringd", "--settings", self.directory / f"node-{node}.json")

    def state(self, node):
        return http_request(self.nodes[node][2], "GET", "/debug/state").json()

    def wait_until(self, what, condition, timeout=60):
        """Waits for a condition. The timeout only ends a failed test and checks no performance."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise AssertionError(f"timed out waiting for: {what}")

    def wait_ready(self, nodes=None):
        """Waits until the nodes are ready and may use all slots that they own."""
        def is_usable(node):
            state = self.state(node)
            slots = state["slots"]
            unusable = slots["awaiting"] + slots["quarantined"]
            return state["ready"] and unusable == 0 and all(
                s["known"] and not s["suspected"] for s in state["servers"].values())
        for node in nodes or self.nodes:
            self.wait_until(f"node {node} ready", lambda n=node: is_usable(n))

    def ledger(self, name):
        return http_request(self.backends[name][1], "GET", "/ledger").json()

    def runs(self, prefix=""):
        """Returns all runs in the ledgers of the running backend servers whose names have the prefix."""
        entries = []
        for name in self.backends:
            if name.startswith(prefix) and name in self.processes:
                entries += [e for e in self.ledger(name)["entries"] if "start_ms" in e]
        return entries


class Caller:
    """Sends requests as callers should: caches the entry addresses and uses tickets."""

    def __init__(self, fleet, organisation):
        self.fleet, self.key = fleet, fleet.keys.get(organisation, organisation)
        self.addresses, self.addresses_expire = [], 0

    def make_headers(self, ticket=None):
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        return {**headers, "X-Banyan-Ticket": ticket} if ticket else headers

    def entry(self):
        """Returns the best entry address; requests the list again once it has expired."""
        if time.monotonic() < self.addresses_expire and self.addresses:
            return self.addresses[0]
        for address in self.addresses + [a[0] for a in self.fleet.nodes.values()]:
            try:
                response = http_request(address, "GET", "/v1/address", headers=self.make_headers(), timeout=2)
            except OSError:
                continue
            if response.status == 200:
                body = response.json()
                self.addresses = body["addresses"]
                self.addresses_expire = time.monotonic() + body["keep_ms"] / 1000
                return self.addresses[0]
        raise OSError("no entry VM responded")

    def ticket(self, path, address=None):
        return http_request(address or self.entry(), "POST", "/v1/tickets", json.dumps({"path": path}),
                            self.make_headers()).json()["ticket"]

    def send(self, path, body, ticket=None, address=None, timeout=30):
        return http_request(address or self.entry(), "POST", path, json.dumps(body),
                            {**self.make_headers(ticket), "Content-Type": "application/json"}, timeout)
