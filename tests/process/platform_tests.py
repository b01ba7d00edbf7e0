"""Real daemons on a stand-in platform. Usage: platform_tests.py NAME; each test_NAME is one test."""

import http.client
import json
import signal
import subprocess
import sys
import threading
import time

from platform_standin import BUILD, HOST, Fleet, get

APPLY_S = 2.0  # Target: a change is in force at each node that reaches the store within it.
FORGET_S = 6.0  # Target: the directory names no node that has been dead for longer.


class Client:
    """Sends requests over one kept connection to one node."""

    def __init__(self, port):
        self.port, self.connection, self.count = port, None, 0

    def send(self, path, body="", key="key-1", attempt=None):
        if self.connection is None:
            self.connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=8)
        self.count += 1
        headers = {"Host": HOST, "X-Attempt-Id": attempt or f"{id(self)}-{self.count}",
                   "X-Deadline-Remaining": "4000", "Authorization": f"Bearer {key}"}
        try:
            self.connection.request("POST", path, body, headers)
            reply = self.connection.getresponse()
            data = reply.read()
        except (OSError, http.client.HTTPException):
            self.connection.close()
            self.connection = None
            raise
        if reply.getheader("Connection") == "close":
            self.connection = None
        return reply, data.decode()


def test_serves():
    with Fleet() as fleet:
        fleet.wait_ready()
        client = Client(fleet.nodes[0].ports["front"])
        reply, body = client.send("/order/1", "crates")
        assert (reply.status, body) == (200, "crates done"), (reply.status, body)
        assert reply.getheader("X-Server-Seal") == "seal"
        reply, body = client.send("/draft/1", "long")
        assert reply.status == 200 and body.count("id: ") == 10, body
        assert client.send("/order/1", key="stolen")[0].status == 401
        assert client.send("/nowhere/1")[0].status == 404
        runs = fleet.runs()
        assert len(runs) == 2, runs
        assert all(run["tenant"] == "red" and run["key"] is None for run in runs), runs
        assert all(3000 < run["left"] <= 4000 for run in runs), runs
        _, metrics = get(fleet.nodes[0].metrics_port(), "/metrics")
        assert b'outcome="answered"' in metrics, metrics
        state = json.loads(get(fleet.nodes[0].metrics_port(), "/debug/state")[1])
        assert len(state["members"]) == 2 and len(state["servers"]) == 4, state


def test_change():
    with Fleet() as fleet:
        fleet.wait_ready()
        clients = [Client(node.ports["front"]) for node in fleet.nodes]
        assert all(c.send("/extra/1")[0].status == 404 for c in clients)
        fleet.publish(extra=("idempotent", "desk"))
        time.sleep(APPLY_S)
        assert all(c.send("/extra/1")[0].status == 200 for c in clients)
        fleet.keys = ["key-2"]
        fleet.publish()
        fleet.store.put("op/evacuate/z0", {})
        time.sleep(APPLY_S)
        assert all(c.send("/order/1")[0].status == 401 for c in clients)
        before = len(fleet.servers[2].runs)
        assert all(c.send("/order/1", key="key-2")[0].status == 200 for c in clients for _ in range(4))
        assert len(fleet.servers[2].runs) == before, "the evacuated zone still got requests"


def test_store_away():
    with Fleet(start=False) as fleet:
        fleet.nodes[0].start()
        fleet.wait_until("first node ready", fleet.nodes[0].ready)
        fleet.store.away = True
        for node in fleet.nodes[1:]:
            node.start()
        fleet.wait_ready()
        client = Client(fleet.nodes[2].ports["front"])
        assert client.send("/order/1")[0].status == 200, "served from what a peer knows"
        fleet.store.away = False
        fleet.publish(extra=("idempotent", "desk"))
        fleet.wait_until("the change is in force", lambda: client.send("/extra/1")[0].status == 200, 4)


def test_alone():
    with Fleet(start=False) as fleet:
        fleet.store.away = True
        fleet.nodes[1].start()
        time.sleep(1)
        assert not fleet.nodes[1].ready()
        client = Client(fleet.nodes[1].ports["front"])
        assert client.send("/order/1")[0].status == 503, "no configuration is known"
        fleet.store.away = False
        fleet.wait_until("alone, without any seed", fleet.nodes[1].ready, 3)
        assert client.send("/order/1")[0].status == 200


def test_kill():
    with Fleet() as fleet:
        fleet.wait_ready()
        gone = fleet.nodes[2]
        gone.stop(signal.SIGKILL)
        rest = fleet.nodes[:2]
        fleet.wait_until("the dead node is not named", lambda: all(
            len(n.addresses()) == 2 for n in rest), FORGET_S)
        assert Client(rest[0].ports["front"]).send("/order/1")[0].status == 200
        gone.start()
        fleet.wait_ready()


def test_rolling():
    """Nodes stop one after the other under load: no request that was read is cut."""
    with Fleet() as fleet:
        fleet.wait_ready()
        running, results, lock = True, [], threading.Lock()

        def load(number):
            client, wanted = None, 0
            while running:
                addresses = next((a for a in map(safe_addresses, fleet.nodes) if a), [])
                if not addresses:
                    continue
                port = int(addresses[number % len(addresses)].rsplit(":", 1)[1])
                if client is None or client.port != port:
                    client = Client(port)
                wanted += 1
                path, body = ("/draft/1", "") if number % 2 else ("/order/1", f"{number}-{wanted}")
                try:
                    reply, data = client.send(path, body, attempt=f"try-{number}-{wanted}")
                    whole = data.count("id: ") == 10 if number % 2 else data == f"{body} done"
                    outcome = "whole" if reply.status == 200 and whole else f"status {reply.status}"
                except ConnectionRefusedError:
                    outcome, client = "refused connection", None
                except (OSError, http.client.HTTPException) as error:
                    outcome, client = f"cut: {error!r}", None
                with lock:
                    results.append(outcome)

        threads = [threading.Thread(target=load, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for node in fleet.nodes:
            time.sleep(0.5)
            began = time.monotonic()
            assert node.stop() == 0
            assert time.monotonic() - began < 8, "stopped within the grace time"
            node.start()
            fleet.wait_ready()
        running = False
        for thread in threads:
            thread.join()
        counts = {outcome: results.count(outcome) for outcome in set(results)}
        print(counts)
        assert counts.get("whole", 0) > 100, counts
        assert not any(outcome.startswith("cut") for outcome in counts), counts
        ids = [run["id"] for run in fleet.runs() if run["path"] == "/order/1"]
        assert len(ids) == len(set(ids)), "an order ran twice"


def safe_addresses(node):
    try:
        return node.addresses()
    except OSError:
        return []


def test_reload():
    with Fleet(nodes=1) as fleet:
        fleet.wait_ready()
        node = fleet.nodes[0]
        node.settings.write_text("rubbish\n")
        node.process.send_signal(signal.SIGHUP)
        fleet.wait_until("bad settings are told", lambda: "settings_rejected" in node.log.read_text())
        assert Client(node.ports["front"]).send("/order/1")[0].status == 200
        assert node.stop() == 0
        bad = subprocess.run([node.process.args[0]], env={"BANYANRING_SETTINGS": str(node.settings)},
                             capture_output=True, check=False)
        assert bad.returncode == 2 and b"line 1" in bad.stderr, bad


def test_explain():
    with Fleet() as fleet:
        fleet.wait_ready()
        node = fleet.nodes[0]
        client = Client(node.ports["front"])
        assert client.send("/order/1", attempt="try-good")[0].status == 200
        assert client.send("/order/1", key="stolen", attempt="try-bad")[0].status == 401
        time.sleep(1.5)
        operator = f"127.0.0.1:{node.metrics_port()}"
        for where in (str(fleet.folder), operator):
            code, text = tool("explain", "try-good", where)
            assert code == 0 and "placed" in text and "i-desk-" in text, (where, text)
            code, text = tool("explain", "try-bad", where)
            assert code == 0 and "bad_key" in text, (where, text)
            code, text = tool("explain", "try-unknown", where)
            assert code == 1, (where, text)
        code, text = tool("explain", "try-bad", str(fleet.folder))
        assert "it has not run" in text and "withdrawn" in text, text
        code, text = tool("status", *(f"127.0.0.1:{n.metrics_port()}" for n in fleet.nodes))
        assert code == 0 and text.count("members 2/2") == 3, text
        code, text = tool("status", "127.0.0.1:1")
        assert code == 3, text
        assert json.loads(tool("dump", operator)[1])["node"] == "node-0"


def test_check():
    with Fleet(nodes=1, start=False) as fleet:
        good = fleet.folder / "good.conf"
        fleet.nodes[0].start()
        good.write_text(fleet.nodes[0].settings.read_text())
        assert tool("check", str(good)) == (0, f"{good}: usable\n")
        bad = fleet.folder / "bad.conf"
        bad.write_text(good.read_text() + "bounds.grace_s=soon\n")
        code, text = tool("check", str(bad))
        line = len(bad.read_text().splitlines())
        assert code == 1 and f"line {line}: bounds.grace_s: expected a number" in text, text
        deploy = fleet.folder / "system.toml"
        deploy.write_text('build = "true"\n[roles.a]\nrun = "x"\non = "front"\nshare = 2\n'
                          'serves = ["entry"]\n')
        code, text = tool("check", str(deploy))
        assert code == 1 and f"{deploy}:5: roles.a.share: allowed are" in text, text
        assert "allowed are front, control, directory" in text, text
        published = fleet.folder / "published.json"
        published.write_text('{"version": 1,\n"routes": [{"hostname": "h", "prefix": "/a",\n'
                             '"service": "nowhere"}],\n"services": []}')
        code, text = tool("check", str(published))
        assert code == 1 and ":2:" in text and "begin and end with a slash" in text, text
        assert 'no service "nowhere"' in text, text


def tool(*words):
    done = subprocess.run([f"{BUILD}/banyanringctl", *words], capture_output=True, text=True,
                          check=False)
    return done.returncode, done.stdout


if __name__ == "__main__":
    globals()[f"test_{sys.argv[1]}"]()
