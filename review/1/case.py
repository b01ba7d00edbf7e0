"""A server that left is used longer than drain_ms after the nodes that read the store were killed."""

import pathlib
import signal
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
import standins  # noqa: E402
from standins import BROKEN, DRAIN_S, HELD, STABLE_WINDOW_S, TROUBLE  # noqa: E402

DOWN_S = 1.0  # herd_kill of the site file: share = 1.0, for_s = 1.0
LEAVE_AFTER_S = 0.1
ROUNDS = 5
SERVES_ON_S = 3.0  # "at times many seconds" beyond drain_ms


def play_round(deployment, number):
    """Kills the nodes that read the store as a server leaves; returns the late requests and those answered."""
    record = deployment.record
    leaving = standins.Server(deployment, f"i-khata-leaving-{number}", "khata-app", deployment.zones[0])
    deployment.servers.append(leaving)
    deployment.wait_ready(deployment.nodes)
    time.sleep(STABLE_WINDOW_S + 1)  # More nodes than necessary read the store after a start.
    readers = [n for n in deployment.nodes if n.state()["store_reached"]]
    record.write("nodes that read the store: " + ", ".join(n.name for n in readers))
    if not 1 <= len(readers) <= len(deployment.nodes) * 0.55:
        raise RuntimeError(f"{len(readers)} nodes read the store")
    calm = [n for n in deployment.nodes if n not in readers]
    clients = [standins.Client(deployment, node, "/look/1", name=f"r{number}c{n}")
               for node in calm for n in range(2)]
    for client in clients:
        client.start()
    time.sleep(1)
    killed = readers if TROUBLE else []
    for node in killed:
        node.signal(signal.SIGKILL)
    for node in killed:
        node.process.wait()
        threading.Timer(DOWN_S, node.start).start()
    time.sleep(LEAVE_AFTER_S)
    left_at = leaving.leave()
    record.write(f"store acknowledges that the entry of {leaving.name} is removed")
    time.sleep(DRAIN_S + SERVES_ON_S)
    for client in clients:
        client.running = False
    for client in clients:
        client.finish()
    sent = {a: r[0] for c in clients for a, r in c.results.items()}
    late = [at - left_at for at, a in leaving.arrivals
            if at > left_at + DRAIN_S and sent.get(a, 0) > left_at + DRAIN_S]
    answered = sum(1 for c in clients for r in c.results.values() if r[2] == 200)
    record.write(f"round {number}: {answered} requests answered with 200; {len(late)} requests sent and run later "
                 f"than {DRAIN_S} s after the removal, last {max(late, default=0):.3f} s")
    if answered < 100:
        raise RuntimeError("too few requests were answered")
    return late


def case(directory):
    with standins.Deployment(directory) as deployment:
        deployment.tenants = [{"name": "red", "api_keys": ["key-1"]}]
        deployment.route("look", "idempotent")
        deployment.publish()
        deployment.servers = [standins.Server(deployment, f"i-khata-{zone}", "khata-app", zone)
                              for zone in deployment.zones]
        deployment.start()
        rounds = [play_round(deployment, number) for number in range(ROUNDS)]
        print("late requests in each round:", [len(late) for late in rounds],
              f"last {max((at for late in rounds for at in late), default=0):.3f} s after a removal")
        return BROKEN if any(rounds) else HELD


standins.main(case, CASE)
