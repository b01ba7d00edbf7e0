"""Tests of daemon processes under failures. Usage: process_tests.py NAME, which runs test_NAME."""

import os
import signal
import socket
import sys
import threading
import time

from fleet import Caller, Fleet, http_request

CONFIG_APPLY_S = 8  # Target: a configuration change is in force on all nodes within 8 s.


class Load:
    """Callers that send orders with tickets, and drafts, until stopped, and record the outcomes."""

    def __init__(self, fleet, callers=4):
        self.fleet, self.running, self.outcomes, self.lock = fleet, True, [], threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        caller = Caller(self.fleet, "red" if number % 2 else "blue")
        count = 0
        while self.running:
            count += 1
            try:
                self.send_one(caller, number, count)
            except (OSError, ValueError, KeyError) as error:
                self.record("connection failed", None, str(error))
                caller.addresses_expire = 0
            time.sleep(0.02)

    def send_one(self, caller, number, count):
        if number % 3 == 0:
            response = caller.send("/draft", {"max_tokens": 5, "n": f"{number}-{count}"})
            complete = response.complete and response.body.endswith("data: [DONE]\n\n")
            self.record("draft", response, "complete" if complete else "truncated" if response.status == 200 else "rejected")
            return
        body_id = f"order-{number}-{count}"
        ticket = caller.ticket("/order")
        response = None
        for _ in range(3):
            try:
                response = caller.send("/order", {"mark": body_id}, ticket, timeout=15)
                break
            except OSError:
                caller.addresses_expire = 0
                caller.addresses = caller.addresses[1:]
        if response is None:
            self.record(body_id, None, "connection failed")
        elif response.status == 200:
            assert body_id in response.json()["echo"], f"{body_id} got the response of another request: {response.body}"
            self.record(body_id, response, "answered")
        else:
            self.record(body_id, response, response.json()["outcome"])

    def record(self, what, response, outcome):
        with self.lock:
            self.outcomes.append((what, outcome, response.headers.get("X-Banyan-Request-Id") if response else None))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        return self.outcomes

    def counts(self):
        result = {}
        for _, outcome, _ in self.outcomes:
            result[outcome] = result.get(outcome, 0) + 1
        return result


def check_ledgers(fleet, outcomes):
    """Checks that no request ran twice, none ran that was reported as not run, and no server received a key."""
    runs = fleet.runs()
    ids = [run["id"].rsplit(".s", 1)[0] for run in runs]
    assert len(ids) == len(set(ids)), "a request ran twice"
    assert not any(run["key_seen"] for run in runs), "a backend server received an API key"
    for what, outcome, request_id in outcomes:
        assert outcome != "not_run" or request_id not in ids, f"{what} was reported as not run, but ran"
    for name in fleet.backends:
        if name in fleet.processes:
            server = next(s for s in fleet.config["servers"] if s["name"] == name)
            assert fleet.ledger(name)["peak"] <= server["slots"], f"{name} ran more requests than it has slots"
    print(f"{len(runs)} runs in the ledgers")


def test_kill():
    with Fleet(nodes=3, engines=2, plains=2) as fleet:
        fleet.wait_ready()
        load = Load(fleet)
        for victim in (1, 2):
            time.sleep(2)
            fleet.kill(f"node-{victim}")
            time.sleep(1.5)
            fleet.start_node(victim)
            fleet.wait_ready()
        time.sleep(2)
        outcomes = load.stop()
        print(load.counts())
        check_ledgers(fleet, outcomes)
        assert load.counts().get("answered", 0) > 0


def test_freeze():
    with Fleet(nodes=3, engines=2, plains=2) as fleet:
        fleet.wait_ready()
        load = Load(fleet)
        for victim in (1, 3):
            time.sleep(1)
            fleet.signal(f"node-{victim}", signal.SIGSTOP)
            time.sleep(3)
            fleet.signal(f"node-{victim}", signal.SIGCONT)
            fleet.wait_ready()
        outcomes = load.stop()
        print(load.counts())
        check_ledgers(fleet, outcomes)


def test_platform():
    with Fleet(nodes=3) as fleet:
        fleet.wait_ready()
        red = Caller(fleet, "red")
        fleet.kill("platform")
        time.sleep(2)
        assert red.send("/lookup", {}).status == 200, "not served while the platform is down"
        fleet.start_platform()
        valid_revision = fleet.revision["config"]
        fleet.config["routes"].append({"path": "/bad", "service": "nowhere", "tier": 9})
        fleet.publish_config()
        fleet.wait_until("invalid configuration rejected", lambda: all(
            fleet.state(n)["platform"]["refused_revision"] == valid_revision + 1 for n in fleet.nodes))
        state = fleet.state(1)
        assert state["config_revision"] == valid_revision and len(state["platform"]["faults"]) >= 3, state["platform"]
        assert red.send("/lookup", {}).status == 200, "the last valid configuration is not in force"
        fleet.config["routes"].pop()
        fleet.publish_config()
        fleet.wait_until("valid configuration in force", lambda: all(
            fleet.state(n)["config_revision"] == valid_revision + 2 for n in fleet.nodes), CONFIG_APPLY_S)
        fleet.kill("node-2")
        fleet.kill("platform")
        fleet.start_node(2)
        time.sleep(3)
        assert not fleet.state(2)["ready"], "a node without configuration and VM list accepts requests"
        fleet.start_platform()
        fleet.wait_ready()


def test_key():
    with Fleet(nodes=3, token_ms=100) as fleet:
        fleet.wait_ready()
        result = {}
        stream = threading.Thread(target=lambda: result.update(
            response=Caller(fleet, "red").send("/draft", {"max_tokens": 190})))
        stream.start()
        time.sleep(0.5)
        revoked = fleet.config["keys"].pop(0)
        # The same revision also takes a failure domain out of service.
        fleet.config["domains_out"] = ["d1"]
        fleet.publish_config()
        started = time.monotonic()
        red = Caller(fleet, "red")
        fleet.wait_until("key rejected by all nodes", lambda: all(
            red.send("/lookup", {}, address=a[0]).status == 401 for a in fleet.nodes.values()), CONFIG_APPLY_S)
        stream.join()
        assert time.monotonic() - started < CONFIG_APPLY_S, "a stream with a revoked key was not ended"
        assert not result["response"].complete, "the caller cannot detect that its stream was aborted"
        out_of_service = [s["name"] for s in fleet.config["servers"] if s["domain"] == "d1"]
        blue = Caller(fleet, "blue")
        before = {name: len(fleet.ledger(name)["entries"]) for name in out_of_service}
        codes = [blue.send("/draft", {"max_tokens": 2, "n": n}).status for n in range(8)]
        assert codes == [200] * 8, codes
        for name in out_of_service:
            new = [e for e in fleet.ledger(name)["entries"][before[name]:] if "start_ms" in e]
            assert not new, f"{name} is out of service and got new requests"
        fleet.config["keys"].insert(0, revoked)
        fleet.config["domains_out"] = []
        fleet.publish_config()
        fleet.wait_until("key accepted again", lambda: red.send(
            "/lookup", {}, address=fleet.nodes[1][0]).status == 200, CONFIG_APPLY_S)


def test_rolling():
    with Fleet(nodes=4, engines=2, plains=2, token_ms=5) as fleet:
        fleet.wait_ready()
        load = Load(fleet, callers=5)
        for node in fleet.nodes:
            fleet.signal(f"node-{node}", signal.SIGTERM)
            assert fleet.wait_exit(f"node-{node}") == 0
            fleet.start_node(node)
            fleet.wait_ready()
        outcomes = load.stop()
        print(load.counts())
        check_ledgers(fleet, outcomes)
        failures = [o for o in outcomes if o[1] not in ("answered", "complete")]
        assert not failures, f"a graceful stop aborted or rejected requests: {failures[:5]}"


def test_crash():
    with Fleet(nodes=3, engines=4, plains=1) as fleet:
        fleet.wait_ready()
        red = Caller(fleet, "red")
        outcomes = []
        for attempt in range(6):
            node = fleet.nodes[1 + attempt % 3][0]
            response = red.send("/draft", {"prompt": "crash-me", "max_tokens": 3}, address=node)
            outcomes.append(response.json()["reason"] if response.status != 200 else "answered")
            time.sleep(0.3)
        crashed = [n for n in fleet.backends if fleet.processes[n].poll() is not None]
        print(outcomes, "crashed:", crashed)
        assert len(crashed) == 2, "not exactly two servers crashed"
        assert outcomes[-1] == "suspect", outcomes
        assert red.send("/draft", {"prompt": "harmless", "max_tokens": 3}).status == 200


def test_silent():
    """An engine stalls; its caller gets an error, and the slot becomes free again."""
    with Fleet(nodes=3, engines=1, plains=1, settings={"progress_ms": 1000}) as fleet:
        fleet.wait_ready()
        fleet.signal("llm-0", signal.SIGSTOP)
        started = time.monotonic()
        response = Caller(fleet, "red").send("/draft", {"max_tokens": 3})
        assert time.monotonic() - started < 15
        assert response.status != 200 and response.json()["outcome"] in ("unknown", "not_run"), response.body
        fleet.signal("llm-0", signal.SIGCONT)
        fleet.wait_until("the slot is free again", lambda: Caller(fleet, "blue").send(
            "/draft", {"max_tokens": 3, "again": time.monotonic()}).status == 200)


class EndlessServer:
    """A server that sends bytes without end in response to some paths, until the other side closes."""

    def __init__(self, address):
        self.beginning = {}  # First bytes by path; other paths get a load report.
        host, port = address.split(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            threading.Thread(target=self.serve, args=(self.listener.accept()[0],), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                head = connection.recv(65536).decode()
                beginning = self.beginning.get(head.split()[1])
                if beginning is None:
                    report = '{"started_at": 1, "running": 0}'
                    connection.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n{report}".encode())
                    return
                connection.sendall(beginning)
                while True:
                    connection.sendall(b"name: value " * 10000)
            except (OSError, IndexError):
                pass


def test_endless():
    """Servers send heads and bodies without end; memory stays bounded, and callers get an answer."""
    max_resident_mb = 256  # Target: control per node.
    head = b"HTTP/1.1 200 "
    body = b"HTTP/1.1 200 OK\r\n\r\n"

    def max_resident(node):
        with open(f"/proc/{fleet.processes[f'node-{node}'].pid}/status") as status:
            return max(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024

    fleet = Fleet(nodes=3, engines=1, plains=1)
    for service in fleet.config["services"]:
        service["longest_run_ms"] = 4000
    for route in fleet.config["routes"]:
        route["deadline_ms"] = 5000
    with fleet:
        fleet.wait_ready()
        servers = []
        for name, (_, address, _) in fleet.backends.items():
            fleet.kill(name)
            servers.append(EndlessServer(address))
        for path, beginning in (("/lookup", head), ("/lookup", body), ("/draft", head), ("/draft", body)):
            for server in servers:
                server.beginning = {path: beginning}
            outcomes = []

            def call(number):
                try:
                    response = Caller(fleet, "red").send(path, {"max_tokens": 3, "number": number})
                    outcomes.append((response.status, response.complete))
                except OSError:
                    outcomes.append((0, False))

            callers = [threading.Thread(target=call, args=(number,)) for number in range(3)]
            for caller in callers:
                caller.start()
            for caller in callers:
                while caller.is_alive():
                    caller.join(0.05)
                    for node in fleet.nodes:
                        assert max_resident(node) < max_resident_mb, (path, beginning, max_resident(node))
            print(path, beginning, outcomes, [round(max_resident(node)) for node in fleet.nodes])
            assert all(status != 200 or not complete for status, complete in outcomes), outcomes
        for server in servers:
            server.beginning = {"/load": body}
        end = time.monotonic() + 5
        while time.monotonic() < end:
            time.sleep(0.05)
            for node in fleet.nodes:
                assert max_resident(node) < max_resident_mb, ("/load", max_resident(node))


def test_garbage():
    with Fleet(nodes=3) as fleet:
        fleet.wait_ready()
        entry, peer, _ = fleet.nodes[1]
        for address in (entry, peer):
            for data in (b"\x00" * 70000, b"\xff\xfe garbage \r\n\r\n", os.urandom(4096)):
                with socket.create_connection(tuple(address.split(":"))) as connection:
                    try:
                        connection.sendall(data)
                    except OSError:
                        pass
        incomplete = socket.create_connection(tuple(entry.split(":")))
        incomplete.sendall(b"POST /lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
        red = Caller(fleet, "red")
        cases = [
            (413, red.send("/lookup", "x" * (2 << 20), address=entry)),
            (413, http_request(entry, "POST", "/lookup", "{}", {"X-Banyan-Key": "k" * 6000})),
            (404, red.send("/nowhere", {}, address=entry)),
            (401, Caller(fleet, "stranger").send("/lookup", {}, address=entry)),
            (401, http_request(entry, "POST", "/lookup", "{}")),
            (428, red.send("/order", {}, address=entry)),
            (422, red.send("/order", {}, "not-a-ticket", address=entry)),
            (422, red.send("/order", {}, red.ticket("/order", entry)[:-1] + "x", address=entry)),
            (422, Caller(fleet, "blue").send("/order", {}, red.ticket("/order", entry), address=entry)),
            (422, red.send("/order", {}, red.ticket("/lookup", entry), address=entry)),
            (400, http_request(entry, "POST", "/v1/tickets", "{broken", red.make_headers())),
            (200, http_request(entry, "POST", "/open", "{}")),
            (200, red.send("/lookup", {}, address=entry))]
        for expected, response in cases:
            assert response.status == expected, (expected, response.status, response.body)
        ticket = red.ticket("/order", entry)
        cancelled = http_request(fleet.nodes[2][0], "DELETE", f"/v1/tickets/{ticket}", None, red.make_headers())
        assert cancelled.json() == {"outcome": "not_run"}, cancelled.body
        assert red.send("/order", {}, ticket, address=entry).status == 422
        incomplete.close()
        assert fleet.state(1)["ready"]


def test_tool():
    """The commands of banyanringctl against a running fleet."""
    import json
    import subprocess
    from fleet import BUILD

    def tool(*arguments):
        process = subprocess.run([str(BUILD / "banyanringctl"), *arguments], capture_output=True, text=True)
        return process.returncode, process.stdout

    with Fleet(nodes=3) as fleet:
        fleet.wait_ready()
        operators = [a[2] for a in fleet.nodes.values()]
        code, table = tool("status", *operators)
        print(table)
        assert code == 0 and table.count(" yes ") == 3
        code, text = tool("send", fleet.nodes[1][0], "/order", "key-red", "{}", "--ticket", "--json")
        result = json.loads(text)
        assert code == 0 and result["status"] == 200, text
        code, text = tool("explain", result["request_id"], *operators)
        print(text)
        assert code == 0 and "dispatched" in text and "answered" in text
        assert tool("explain", "nothing", *operators)[0] == 1
        assert tool("dump", operators[0])[0] == 0
        assert tool("status", "127.0.0.1:1")[0] == 3
        assert tool("nonsense")[0] == 2
        code, text = tool("key", "digest", "key-red")
        assert text.strip() == fleet.config["keys"][0]["digest"]
        metrics = http_request(operators[0], "GET", "/metrics").body
        assert "banyanring_wait_seconds_bucket" in metrics and "banyanring_ready 1" in metrics


if __name__ == "__main__":
    globals()["test_" + sys.argv[1]]()
    print("passed")
