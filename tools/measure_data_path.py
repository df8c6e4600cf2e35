#!/usr/bin/env python3
"""Measures what the data path of the real binary costs: processor time a relayed token and memory an open stream.

Starts the demonstration's fleet on loopback, sends load through one daemon with the load tool and reads /proc. Prints
one JSON object a line, like the benchmarks. The figures are of this machine and are never a bound of a test.
"""
import argparse
import json
import os
import subprocess
import sys
import time

from demo_fleet import DAEMONS, ENGINES, KEY, Fleet, call, wait_until

DAEMON = next(iter(DAEMONS))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_bytes(pid):
    with open("/proc/%d/status" % pid) as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmRSS"))


def load(fleet, rate, seconds, output_tokens):
    command = [str(fleet.bin / "load_tool"), "--targets", "http://" + fleet.addresses[DAEMON], "--key", KEY,
               "--rate", str(rate), "--seconds", str(seconds), "--prompt-tokens", "100",
               "--output-tokens", str(output_tokens)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def tokens_relayed(fleet):
    text = call(fleet.admin[DAEMON], "GET", "/metrics")[1]
    return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith("masticstep_tokens_total"))


def running(fleet):
    return json.loads(call(fleet.admin[DAEMON], "GET", "/status")[1])["running_requests"]


def report(metric, value, unit):
    print(json.dumps({"case": "data_path", "metric": metric, "value": value, "unit": unit, "baselines": {}}), flush=True)


def measure(fleet, seconds):
    pid = fleet.processes[DAEMON].pid
    idle_start = cpu_seconds(pid)
    time.sleep(5)
    idle = (cpu_seconds(pid) - idle_start) / 5
    report("idle_cpu_share", idle, "cores")
    memory = memory_bytes(pid)
    report("idle_memory", memory, "bytes")
    tokens, cpu, start = tokens_relayed(fleet), cpu_seconds(pid), time.monotonic()
    tool = load(fleet, 20, seconds, 200)
    most, most_memory = 0, memory
    while tool.poll() is None:
        count = running(fleet)
        if count > most:
            most, most_memory = count, memory_bytes(pid)
        time.sleep(0.1)
    span = time.monotonic() - start
    tokens = tokens_relayed(fleet) - tokens
    used = cpu_seconds(pid) - cpu - idle * span
    report("tokens_per_s", tokens / span, "tokens/s")
    report("cpu_per_token", used / tokens * 1e6, "us")
    report("open_streams", most, "streams")
    report("memory_per_stream", (most_memory - memory) / most, "bytes")
    result = json.loads(tool.stdout.read())
    print(json.dumps({"case": "data_path", "load_tool": result}), file=sys.stderr)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build", help="build folder")
    parser.add_argument("--seconds", type=int, default=15, help="length of the load")
    arguments = parser.parse_args()
    fleet = Fleet(arguments.build)
    try:
        fleet.start_standin("platform", ["platform_standin"])
        for name in ENGINES:
            fleet.start_standin(name, ["engine_standin", "--name", name, "--blocks", "20000"])
        fleet.start_standin("order-1", ["service_standin"])
        fleet.start_daemons()
        examples = fleet.fill_examples(os.path.join(os.path.dirname(__file__), "..", "examples"))
        fleet.run(["publish", examples, "--platform", "http://" + fleet.addresses["platform"], "--wait"])
        wait_until("ready", lambda: all(fleet.is_ready(name) for name in DAEMONS))
        measure(fleet, arguments.seconds)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
