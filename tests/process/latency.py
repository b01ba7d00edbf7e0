"""Measures the latency that a daemon adds, by pairs of requests through it and directly to a server."""

import statistics
import time

from fleet import Caller, Fleet, http_request

PAIRS = 400


def time_request_ms(send):
    started = time.perf_counter()
    assert send().status == 200
    return (time.perf_counter() - started) * 1000


def main():
    with Fleet(nodes=3, engines=1, plains=1, slots=8, plain_ms=0) as fleet:
        fleet.wait_ready()
        red = Caller(fleet, "red")
        entry = red.entry()
        backend = fleet.backends["app-0"][1]
        report = http_request(backend, "GET", "/load")
        print(f"load report: {len(report.body) + sum(len(k) + len(v) + 4 for k, v in report.headers.items())}"
              " bytes of response")
        direct, through = [], []
        for _ in range(PAIRS):
            direct.append(time_request_ms(lambda: http_request(backend, "POST", "/lookup", "{}")))
            through.append(time_request_ms(lambda: red.send("/lookup", {}, address=entry)))
        added = sorted(t - d for d, t in zip(direct, through))
        print(f"| direct p50 | through p50 | added p50 | added p99 |\n|---|---|---|---|\n"
              f"| {statistics.median(direct):.2f} ms | {statistics.median(through):.2f} ms | "
              f"{statistics.median(added):.2f} ms | {added[int(PAIRS * 0.99)]:.2f} ms |")
        states = [fleet.state(n) for n in fleet.nodes]
        cpu_ticks = [sum(map(int, open(f"/proc/{fleet.processes[f'node-{n}'].pid}/stat").read().split()[13:15]))
                     for n in fleet.nodes]
        rss_mb = [int(open(f"/proc/{fleet.processes[f'node-{n}'].pid}/statm").read().split()[1]) * 4096 / 1e6
                  for n in fleet.nodes]
        time.sleep(10)
        idle_percent = [(sum(map(int, open(f"/proc/{fleet.processes[f'node-{n}'].pid}/stat").read().split()[13:15]))
                         - c) / 10 for n, c in zip(fleet.nodes, cpu_ticks)]
        print(f"idle daemon: {max(idle_percent):.2f}% of a core, {max(rss_mb):.0f} MB, "
              f"{len(states[0]['contacts'])} peers")


if __name__ == "__main__":
    main()
