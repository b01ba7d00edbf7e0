"""A tenant gets several times its quota while the operator lowers the quota in small steps."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
import standins  # noqa: E402
from standins import BROKEN, HELD, STABLE_WINDOW_S, TROUBLE  # noqa: E402

WINDOW_S, OVERSHOOT, SLACK = 8, 0.25, 140000  # Bounds of the sheet.
RATE_PER_S, BURST = 36000, 36000
TOKENS = (1000, 200)  # Prompt and output tokens of a request.
REQUESTS_PER_S = 14  # Of each of the nine nodes: 7.5 times the usual, which is 1/1.8 of the quota.
CHANGES, GAP_S, STEP = 5, 2.0, 0.98
HOT_S = 11.0  # Longest `hot_tenant` of the site file.


def case(directory):
    with standins.Deployment(directory) as deployment:
        record = deployment.record

        def tenant(rate):
            return {"name": "red", "api_keys": ["key-1"], "unit": "tokens", "plain_tokens": 200,
                    "rate_per_s": round(rate), "burst": BURST}

        deployment.tenants = [tenant(RATE_PER_S)]
        deployment.route("look", "idempotent")
        deployment.publish()
        deployment.servers = [
            standins.Server(deployment, f"i-khata-{zone}-{n}", "khata-app", zone, delay_s=0.01)
            for zone in deployment.zones for n in range(2)]
        deployment.start()
        time.sleep(STABLE_WINDOW_S + 1)
        clients = [standins.Client(
            deployment, node, "/look/1", gap_s=1 / REQUESTS_PER_S, name=f"c{n}",
            headers={"X-Token-Counts": f"{TOKENS[0]},{TOKENS[1]}"})
            for node in deployment.nodes for n in range(1)]
        for client in clients:
            client.start()
        time.sleep(HOT_S - CHANGES * GAP_S)
        rate = RATE_PER_S
        for _ in range(CHANGES):
            if TROUBLE:
                rate *= STEP
                deployment.tenants = [tenant(rate)]
                deployment.publish()
                record.write(f"quota of red: {round(rate)} tokens a second, burst {BURST}")
            time.sleep(GAP_S)
        for client in clients:
            client.running = False
        for client in clients:
            client.finish()
        sent = {a: r[0] for c in clients for a, r in c.results.items()}
        arrivals = sorted((at, a) for s in deployment.servers for at, a in s.arrivals if a in sent)
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
        most = 0
        for first, _ in arrivals:
            count = sum(1 for at, a in arrivals if first <= at <= first + WINDOW_S and sent[a] >= first)
            most = max(most, count * sum(TOKENS))
        record.write(f"{len(sent)} requests sent, {len(arrivals)} run; most tokens in {WINDOW_S} s: "
                     f"{most}, bound {bound:.0f}")
        print(f"sent {len(sent)}, run {len(arrivals)}; most tokens in {WINDOW_S} s: {most}, bound {bound:.0f}")
        if len(sent) < 800:
            raise RuntimeError("too few requests were sent")
        return BROKEN if most > bound else HELD


standins.main(case, CASE)
