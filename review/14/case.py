"""A drill with the store while a zone is evacuated and machines are restarted in turn."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins3 import BROKEN, HELD, HOST, TROUBLE, Machine, Platform, Server, now, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ["ro-central-a", "ro-central-b", "ro-central-c", "ro-central-d"]
MACHINES = [("a-1", 0), ("b-1", 1), ("c-1", 2), ("a-2", 0), ("b-2", 1), ("c-2", 2), ("d-1", 3)]
EVACUATED = "ro-central-d"
KEY = "i9n73hh2b9wu3fexd9dn"
EVACUATE_S, STABLE_WINDOW_S = 5, 3
AWAY_S, COPY_AGE_S = 1, 8
TOKENS_PER_S = 33750  # Prompt tokens that a slower server of the site reads in a second.
WRITTEN_AGAIN_S = 8  # The operator writes again what the restored store lacks.
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-lookup", "hostname": HOST, "prefix": "/cufi504/", "route_type": "idempotent",
                "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "desk-wuno",
                "max_attempts": 2, "anonymous": False, "sticky": False, "resumable": False},
               {"name": "r-clause", "hostname": HOST, "prefix": "/pufi791/", "route_type": "streaming",
                "timeout_ms": 15000, "target_latency_ms": 300, "priority": 1, "service": "llm-huvo",
                "max_attempts": 2, "anonymous": False, "sticky": True, "resumable": True,
                "gap_target_ms": 200}],
    "services": [{"name": "desk-wuno", "health_path": "/healthz", "max_connections": 100,
                  "protocol": "h1", "tls": False, "cold_s": 0.0, "cold_per_s": 0.0},
                 {"name": "llm-huvo", "health_path": "/healthz", "max_connections": 360,
                  "protocol": "h1", "tls": False, "cold_s": 3.0, "cold_per_s": 13.0,
                  "engine": {"slots": 11, "kv_capacity": 483492, "stride": 5, "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                 "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
}


async def main():
    platform = Platform(FOLDER, ZONES)
    record, store = platform.record, platform.store
    try:
        await store.start()
        await platform.publish(CONFIG)
        platform.machines = [Machine(platform, f"front-ro-central-{name}", ZONES[zone])
                             for name, zone in MACHINES]
        platform.seeds = [machine.address("control") for machine in platform.machines[:3]]
        for number in range(40):
            service = "desk-wuno" if number < 4 else "llm-huvo"
            server = Server(platform, f"i-{number:08x}", service, ZONES[number % 4],
                            slots=6 if number < 4 else 11, work_s=0.06 if number < 4 else 0.3,
                            tokens_per_s=TOKENS_PER_S)
            platform.servers.append(server)
            await server.start()
        for machine in platform.machines:
            machine.start()
        await platform.wait_ready(platform.machines, listed=7)
        by_address = {machine.address("front"): machine for machine in platform.machines}
        for machine in platform.machines:
            machine.touched, machine.stopping_at = now(), float("inf")
        await asyncio.sleep(5)
        done, tasks = False, []

        async def traffic():
            start = now()
            for number in itertools.count():
                if done:
                    return
                # Clients leave out a stopping machine once their answer of the directory is 1 s old.
                machine = random.choice([m for m in platform.machines
                                         if m.running() and now() - m.stopping_at < 1])
                if number % 3 == 0:
                    request = platform.send(machine.address("front"), "/cufi504/fi50/2f", KEY, 3000, b"",
                                            "GET")
                else:
                    request = platform.send(machine.address("front"), "/pufi791/2f", KEY, 15000,
                                            tokens=(3310, 290))
                tasks.append(asyncio.ensure_future(request))
                await asyncio.sleep(max(0, start + (number + 1) / 90 - now()))

        async def restart(machines):
            for machine in machines:
                machine.touched, machine.stopping_at = float("inf"), now()
                machine.signal(signal.SIGTERM)
                while machine.running():
                    await asyncio.sleep(0.05)
                machine.start()
                machine.touched, machine.stopping_at = now(), float("inf")
                record.say(f"{machine.name} was stopped and started again")

        sender = asyncio.ensure_future(traffic())
        copy = store.copy()
        copied_at = now()
        evacuated_at = await store.put(f"op/evacuate/{EVACUATED}", {})
        record.say(f"{EVACUATED} is evacuated")
        await asyncio.sleep(COPY_AGE_S - AWAY_S)
        back_at = 0.0
        if TROUBLE:
            store.available = False
            record.say("the store is away for a moment")
            await asyncio.sleep(AWAY_S)
            store.available = True
            store.restore(copy)
            back_at = now()
            record.say(f"the store is back from a copy that is {now() - copied_at:.1f} s old")
            restarts = asyncio.ensure_future(restart(platform.machines[:3]))  # roll_term, share 0.44
            await asyncio.sleep(max(0, back_at + WRITTEN_AGAIN_S - now()))
        else:
            await asyncio.sleep(AWAY_S + WRITTEN_AGAIN_S)
        until = now()
        await platform.publish(CONFIG)
        await store.put(f"op/evacuate/{EVACUATED}", {})
        record.say("the operator has written again")
        if TROUBLE:
            await restarts
        await asyncio.sleep(1)
        done = True
        await sender
        await asyncio.gather(*tasks)

        zones = {server.name: server.zone for server in platform.servers}
        counted = []
        for run in platform.runs:
            sent = platform.sent[run["id"]]
            machine = by_address[sent["address"]]
            in_touch = sent["at"] - machine.touched > STABLE_WINDOW_S \
                and (not TROUBLE or run["at"] - back_at > STABLE_WINDOW_S
                     or run["at"] < back_at - AWAY_S)
            if (zones[run["server"]] == EVACUATED and in_touch
                    and evacuated_at + EVACUATE_S < run["at"] < until):
                counted.append((run, machine.name))
                record.write("counted", id=run["id"], machine=machine.name, server=run["server"],
                             ran_at=round(run["at"] - record.start, 3))
        senders = sorted({name for _, name in counted})
        record.say(f"requests that ran in {EVACUATED}, sent by machines in touch: {len(counted)} "
                   f"from {senders}")
        return BROKEN if counted else HELD
    finally:
        platform.close()


run_case(main)
