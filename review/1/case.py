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
SERVES_ON_S = 6.0  # "at times many seconds" beyond drain_ms


def case(directory):
    with standins.Deployment(directory) as deployment:
        record = deployment.record
        deployment.tenants = [{"name": "red", "api_keys": ["key-1"]}]
        deployment.route("look", "idempotent")
        deployment.publish()
        deployment.servers = [standins.Server(deployment, f"i-khata-{zone}", "khata-app", zone)
                              for zone in deployment.zones]
        leaving = standins.Server(deployment, "i-khata-leaving", "khata-app", deployment.zones[0])
        deployment.servers.append(leaving)
        deployment.start()
        time.sleep(STABLE_WINDOW_S)  # More nodes than necessary read the store after a start.
        readers = [n for n in deployment.nodes if n.state()["store_reached"]]
        record.write("nodes that read the store: " + ", ".join(n.name for n in readers))
        if not 1 <= len(readers) <= len(deployment.nodes) * 0.55:
            raise RuntimeError(f"{len(readers)} nodes read the store")
        calm = [n for n in deployment.nodes if n not in readers]
        clients = [standins.Client(deployment, node, "/look/1", name=f"c{n}")
                   for node in calm for n in range(2)]
        for client in clients:
            client.start()
        time.sleep(STABLE_WINDOW_S + 1)
        killed = readers if TROUBLE else []
        for node in killed:
            node.signal(signal.SIGKILL)
        for node in killed:
            node.process.wait()
            threading.Timer(DOWN_S, node.start).start()
        time.sleep(LEAVE_AFTER_S)
        left_at = leaving.leave()
        record.write("store acknowledges that the entry of i-khata-leaving is removed")
        time.sleep(DRAIN_S + SERVES_ON_S)
        for client in clients:
            client.finish()
        late = [(at - left_at, attempt) for at, attempt in leaving.arrivals if at > left_at + DRAIN_S]
        late_sent = [(at, attempt) for at, attempt in late
                     if any(attempt in c.results and c.results[attempt][0] > left_at + DRAIN_S
                            for c in clients)]
        answered = sum(1 for c in clients for r in c.results.values() if r[2] == 200)
        record.write(f"{answered} requests answered with 200; {len(late)} requests reached "
                     f"i-khata-leaving later than {DRAIN_S} s after its removal, {len(late_sent)} of "
                     "them sent later as well; last " + (f"{late[-1][0]:.3f} s after" if late else "none"))
        print(f"late requests: {len(late)}, sent late: {len(late_sent)}, "
              f"last {late[-1][0] if late else 0:.3f} s after the removal")
        if answered < 100:
            raise RuntimeError("too few requests were answered")
        return BROKEN if late_sent else HELD


standins.main(case, CASE)
