"""Real daemons under failures. Usage: process_tests.py NAME; each function test_NAME is one test."""

import os
import signal
import socket
import sys
import threading
import time

from fleet import Caller, Fleet, http_call

IN_FORCE_S = 8  # Target: a change of configuration is in force everywhere within 8 s.


class Load:
    """Callers that send orders with tickets and drafts until stopped, and note what they were told."""

    def __init__(self, fleet, callers=4):
        self.fleet, self.running, self.told, self.lock = fleet, True, [], threading.Lock()
        self.threads = [threading.Thread(target=self.loop, args=(n,)) for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def loop(self, number):
        caller = Caller(self.fleet, "red" if number % 2 else "blue")
        count = 0
        while self.running:
            count += 1
            try:
                self.one(caller, number, count)
            except (OSError, ValueError, KeyError) as error:
                self.note("broken", None, str(error))
                caller.keep_until = 0
            time.sleep(0.02)

    def one(self, caller, number, count):
        if number % 3 == 0:
            reply = caller.send("/draft", {"max_tokens": 5, "n": f"{number}-{count}"})
            whole = reply.whole and reply.body.endswith("data: [DONE]\n\n")
            self.note("draft", reply, "whole" if whole else "cut" if reply.status == 200 else "refused")
            return
        mark = f"order-{number}-{count}"
        ticket = caller.ticket("/order")
        reply = None
        for _ in range(3):
            try:
                reply = caller.send("/order", {"mark": mark}, ticket, timeout=15)
                break
            except OSError:
                caller.keep_until = 0
                caller.addresses = caller.addresses[1:]
        if reply is None:
            self.note(mark, None, "broken")
        elif reply.status == 200:
            assert mark in reply.json()["echo"], f"{mark} got another's answer: {reply.body}"
            self.note(mark, reply, "answered")
        else:
            self.note(mark, reply, reply.json()["outcome"])

    def note(self, what, reply, outcome):
        with self.lock:
            self.told.append((what, outcome, reply.headers.get("X-Banyan-Request-Id") if reply else None))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        return self.told

    def counts(self):
        result = {}
        for _, outcome, _ in self.told:
            result[outcome] = result.get(outcome, 0) + 1
        return result


def check_ledgers(fleet, told):
    """No request ran twice, none that was told not run ran, and no server saw a key."""
    runs = fleet.runs()
    ids = [run["id"].rsplit(".s", 1)[0] for run in runs]
    assert len(ids) == len(set(ids)), "a request ran twice"
    assert not any(run["key_seen"] for run in runs), "a backend server saw a key"
    for what, outcome, request_id in told:
        assert outcome != "not_run" or request_id not in ids, f"{what} was told not run, but ran"
    for name in fleet.backends:
        if name in fleet.processes:
            server = next(s for s in fleet.config["servers"] if s["name"] == name)
            assert fleet.ledger(name)["peak"] <= server["slots"], f"{name} got more than its slots"
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
        told = load.stop()
        print(load.counts())
        check_ledgers(fleet, told)
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
        told = load.stop()
        print(load.counts())
        check_ledgers(fleet, told)


def test_platform():
    with Fleet(nodes=3) as fleet:
        fleet.wait_ready()
        red = Caller(fleet, "red")
        fleet.kill("platform")
        time.sleep(2)
        assert red.send("/lookup", {}).status == 200, "served while the platform is down"
        fleet.start_platform()
        good = fleet.revision["config"]
        fleet.config["routes"].append({"path": "/bad", "service": "nowhere", "tier": 9})
        fleet.publish_config()
        fleet.wait_until("refusal seen", lambda: all(
            fleet.state(n)["platform"]["refused_revision"] == good + 1 for n in fleet.nodes))
        state = fleet.state(1)
        assert state["config_revision"] == good and len(state["platform"]["faults"]) >= 3, state["platform"]
        assert red.send("/lookup", {}).status == 200, "the last good configuration stays in force"
        fleet.config["routes"].pop()
        fleet.publish_config()
        fleet.wait_until("good again", lambda: all(
            fleet.state(n)["config_revision"] == good + 2 for n in fleet.nodes), IN_FORCE_S)
        fleet.kill("node-2")
        fleet.kill("platform")
        fleet.start_node(2)
        time.sleep(3)
        assert not fleet.state(2)["ready"], "a node without configuration and VM list takes nothing"
        fleet.start_platform()
        fleet.wait_ready()


def test_key():
    with Fleet(nodes=3, token_ms=100) as fleet:
        fleet.wait_ready()
        result = {}
        stream = threading.Thread(target=lambda: result.update(
            reply=Caller(fleet, "red").send("/draft", {"max_tokens": 190})))
        stream.start()
        time.sleep(0.5)
        withdrawn = fleet.config["keys"].pop(0)
        # Operators race: the domain of a server leaves in the same moment.
        fleet.config["domains_out"] = ["d1"]
        fleet.publish_config()
        began = time.monotonic()
        red = Caller(fleet, "red")
        fleet.wait_until("key refused everywhere", lambda: all(
            red.send("/lookup", {}, address=a[0]).status == 401 for a in fleet.nodes.values()), IN_FORCE_S)
        stream.join()
        assert time.monotonic() - began < IN_FORCE_S, "an open stream of a withdrawn key goes on"
        assert not result["reply"].whole, "the caller must see that its stream broke off"
        out = [s["name"] for s in fleet.config["servers"] if s["domain"] == "d1"]
        blue = Caller(fleet, "blue")
        before = {name: len(fleet.ledger(name)["entries"]) for name in out}
        codes = [blue.send("/draft", {"max_tokens": 2, "n": n}).status for n in range(8)]
        assert codes == [200] * 8, codes
        for name in out:
            new = [e for e in fleet.ledger(name)["entries"][before[name]:] if "start_ms" in e]
            assert not new, f"{name} is out of service and got new work"
        fleet.config["keys"].insert(0, withdrawn)
        fleet.config["domains_out"] = []
        fleet.publish_config()
        fleet.wait_until("key works again", lambda: red.send(
            "/lookup", {}, address=fleet.nodes[1][0]).status == 200, IN_FORCE_S)


def test_rolling():
    with Fleet(nodes=4, engines=2, plains=2, token_ms=5) as fleet:
        fleet.wait_ready()
        load = Load(fleet, callers=5)
        for node in fleet.nodes:
            fleet.signal(f"node-{node}", signal.SIGTERM)
            assert fleet.wait_exit(f"node-{node}") == 0
            fleet.start_node(node)
            fleet.wait_ready()
        told = load.stop()
        print(load.counts())
        check_ledgers(fleet, told)
        bad = [t for t in told if t[1] not in ("answered", "whole")]
        assert not bad, f"a planned stop cut or refused: {bad[:5]}"


def test_crash():
    with Fleet(nodes=3, engines=4, plains=1) as fleet:
        fleet.wait_ready()
        red = Caller(fleet, "red")
        outcomes = []
        for attempt in range(6):
            node = fleet.nodes[1 + attempt % 3][0]
            reply = red.send("/draft", {"prompt": "crash-me", "max_tokens": 3}, address=node)
            outcomes.append(reply.json()["reason"] if reply.status != 200 else "answered")
            time.sleep(0.3)
        dead = [n for n in fleet.backends if fleet.processes[n].poll() is not None]
        print(outcomes, "dead:", dead)
        assert len(dead) == 2, "exactly two servers die"
        assert outcomes[-1] == "suspect", outcomes
        assert red.send("/draft", {"prompt": "harmless", "max_tokens": 3}).status == 200


def test_silent():
    """An engine's connection goes silent; the caller hears of it, and the slot is not lost."""
    with Fleet(nodes=3, engines=1, plains=1, settings={"progress_ms": 1000}) as fleet:
        fleet.wait_ready()
        fleet.signal("llm-0", signal.SIGSTOP)
        began = time.monotonic()
        reply = Caller(fleet, "red").send("/draft", {"max_tokens": 3})
        assert time.monotonic() - began < 15
        assert reply.status != 200 and reply.json()["outcome"] in ("unknown", "not_run"), reply.body
        fleet.signal("llm-0", signal.SIGCONT)
        fleet.wait_until("served again", lambda: Caller(fleet, "blue").send(
            "/draft", {"max_tokens": 3, "again": time.monotonic()}).status == 200)


def test_garbage():
    with Fleet(nodes=3) as fleet:
        fleet.wait_ready()
        entry, peer, _ = fleet.nodes[1]
        for address in (entry, peer):
            for text in (b"\x00" * 70000, b"\xff\xfe garbage \r\n\r\n", os.urandom(4096)):
                with socket.create_connection(tuple(address.split(":"))) as connection:
                    try:
                        connection.sendall(text)
                    except OSError:
                        pass
        half = socket.create_connection(tuple(entry.split(":")))
        half.sendall(b"POST /lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
        red = Caller(fleet, "red")
        cases = [
            (413, red.send("/lookup", "x" * (2 << 20), address=entry)),
            (413, http_call(entry, "POST", "/lookup", "{}", {"X-Banyan-Key": "k" * 6000})),
            (404, red.send("/nowhere", {}, address=entry)),
            (401, Caller(fleet, "stranger").send("/lookup", {}, address=entry)),
            (401, http_call(entry, "POST", "/lookup", "{}")),
            (428, red.send("/order", {}, address=entry)),
            (422, red.send("/order", {}, "not-a-ticket", address=entry)),
            (422, red.send("/order", {}, red.ticket("/order", entry)[:-1] + "x", address=entry)),
            (422, Caller(fleet, "blue").send("/order", {}, red.ticket("/order", entry), address=entry)),
            (422, red.send("/order", {}, red.ticket("/lookup", entry), address=entry)),
            (400, http_call(entry, "POST", "/v1/tickets", "{broken", red.headers())),
            (200, http_call(entry, "POST", "/open", "{}")),
            (200, red.send("/lookup", {}, address=entry))]
        for expected, reply in cases:
            assert reply.status == expected, (expected, reply.status, reply.body)
        ticket = red.ticket("/order", entry)
        cancelled = http_call(fleet.nodes[2][0], "DELETE", f"/v1/tickets/{ticket}", None, red.headers())
        assert cancelled.json() == {"outcome": "not_run"}, cancelled.body
        assert red.send("/order", {}, ticket, address=entry).status == 422
        half.close()
        assert fleet.state(1)["ready"]


def test_tool():
    """The command-line tool against a running fleet."""
    import json
    import subprocess
    from fleet import BUILD

    def tool(*words):
        done = subprocess.run([str(BUILD / "banyanringctl"), *words], capture_output=True, text=True)
        return done.returncode, done.stdout

    with Fleet(nodes=3) as fleet:
        fleet.wait_ready()
        operators = [a[2] for a in fleet.nodes.values()]
        code, table = tool("status", *operators)
        print(table)
        assert code == 0 and table.count(" yes ") == 3
        code, text = tool("send", fleet.nodes[1][0], "/order", "key-red", "{}", "--ticket", "--json")
        answer = json.loads(text)
        assert code == 0 and answer["status"] == 200, text
        code, text = tool("explain", answer["request_id"], *operators)
        print(text)
        assert code == 0 and "dispatched" in text and "answered" in text
        assert tool("explain", "nothing", *operators)[0] == 1
        assert tool("dump", operators[0])[0] == 0
        assert tool("status", "127.0.0.1:1")[0] == 3
        assert tool("nonsense")[0] == 2
        code, text = tool("key", "digest", "key-red")
        assert text.strip() == fleet.config["keys"][0]["digest"]
        metrics = http_call(operators[0], "GET", "/metrics").body
        assert "banyanring_wait_seconds_bucket" in metrics and "banyanring_ready 1" in metrics


if __name__ == "__main__":
    globals()["test_" + sys.argv[1]]()
    print("passed")
