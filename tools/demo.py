#!/usr/bin/env python3
"""Shows the main paths of masticstep on loopback with stand-ins.

Starts a platform, two data centres of three engines and two daemons each, and a plain ordering
service; publishes examples/; streams; orders; drains an engine and a daemon under load. Ends with
"demo: ok" and code 0. Stops all it started.
"""
import argparse
import itertools
import json
import pathlib
import signal
import sys
import threading
import time

from demo_fleet import DAEMONS, DATA_CENTRES, ENGINES, KEY, Failed, Fleet, call, order_key, stream, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Load:
    """Callers that stream without pause, through the ready daemons of their data centre."""

    CALLERS = 4  # in each data centre

    def __init__(self, fleet):
        self.fleet = fleet
        self.ready = set(DAEMONS)
        self.finished = 0
        self.failures = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.balance, daemon=True)]
        for centre, number in itertools.product(DATA_CENTRES, range(self.CALLERS)):
            self.threads.append(threading.Thread(target=self.run_caller, args=(centre, number), daemon=True))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join(20)

    def balance(self):
        """Follows /readyz of the daemons, as the balancer in front of them does."""
        while not self.stopping.wait(0.1):
            for name in DAEMONS:
                try:
                    is_ready = self.fleet.is_ready(name)
                except OSError:
                    is_ready = False
                (self.ready.add if is_ready else self.ready.discard)(name)

    def run_caller(self, centre, number):
        for count in itertools.count():
            if self.stopping.is_set():
                return
            daemons = [name for name in sorted(self.ready) if DAEMONS[name] == centre]
            name = daemons[count % len(daemons)] if daemons else None
            try:
                if name is None:
                    raise Failed("no daemon of %s is ready" % centre)
                stream(self.fleet.addresses[name], "sign %s %d %d" % (centre, number, count), 30)
                with self.lock:
                    self.finished += 1
            except Failed as error:
                with self.lock:
                    self.failures.append("%s: %s" % (name, error))
                time.sleep(0.1)

    def check(self, more):
        """Waits until so many more requests have finished; raises Failed if one failed."""
        with self.lock:
            target = self.finished + more
        wait_until("%d requests" % more, lambda: self.failures or self.finished >= target)
        if self.failures:
            raise Failed("%d requests failed, first: %s" % (len(self.failures), self.failures[0]))


def step(text):
    print("demo: " + text, flush=True)


def start(fleet):
    fleet.start_standin("platform", ["platform_standin"])
    step("platform stand-in at " + fleet.addresses["platform"])
    for seed, name in enumerate(ENGINES):
        fleet.start_standin(name, ["engine_standin", "--name", name, "--seed", str(seed)])
    step("%d engines in %s" % (len(ENGINES), " and ".join(DATA_CENTRES)))
    fleet.start_standin("order-1", ["service_standin"])
    step("ordering service at " + fleet.addresses["order-1"])
    fleet.start_daemons()
    step("%d daemons: %s" % (len(DAEMONS), ", ".join(DAEMONS)))


def publish(fleet):
    folder = fleet.fill_examples(ROOT / "examples")
    began = time.monotonic()
    fleet.run(["publish", folder, "--platform", "http://" + fleet.addresses["platform"], "--wait"])
    for name in DAEMONS:
        wait_until(name + " has the configuration", lambda: fleet.is_ready(name))
    step("configuration in force everywhere after %.1f s" % (time.monotonic() - began))


def stream_in_each_data_centre(fleet):
    for name, centre in DAEMONS.items():
        if name.endswith("-1"):
            text = stream(fleet.addresses[name], "draft a sign for a bakery in " + centre, 8)
            step("%s streamed 8 tokens: %s" % (name, text))


def order_twice(fleet):
    key = order_key()
    body = json.dumps({"sign": "bakery", "size_cm": 120})
    headers = {"Authorization": "Bearer " + KEY, "Idempotency-Key": key, "Content-Type": "application/json"}
    answers = [call(fleet.addresses[name], "POST", "/services/ordering/orders", body, headers)
               for name in ("regina-1", "regina-2")]
    if answers[0][0] != 200 or answers[0] != answers[1]:
        raise Failed("orders answered %s" % (answers,))
    executions = json.loads(call(fleet.addresses["order-1"], "GET", "/executions")[1])
    if executions != {key: 1}:
        raise Failed("executions are %s" % executions)
    step("one order placed twice under one key ran once")


def drain_engine(fleet, load):
    name = "draft-1"
    notice = json.dumps({"name": name, "state": "leaving"})
    status, _ = call(fleet.addresses["platform"], "PUT", "/objects/hosts/" + name, notice)
    if status != 200:
        raise Failed("the platform took no notice of " + name)

    def requests():
        return json.loads(call(fleet.addresses[name], "GET", "/standin/counters")[1])["requests"]

    # The bound of the design page is 5 s after the notice.
    end = time.monotonic() + 5
    while time.monotonic() < end:
        load.check(4)
    before = requests()
    load.check(40)
    if requests() != before:
        raise Failed("%s got %d requests after its notice" % (name, requests() - before))
    step("%s left under load: no new work, no failed request" % name)


def drain_daemon(fleet, load):
    name = "regina-2"
    if call(fleet.admin[name], "POST", "/drain")[0] >= 300:
        raise Failed(name + " refused to drain")
    code = fleet.wait_for_end(name)
    load.check(40)
    if code != 0:
        raise Failed("%s ended with code %d" % (name, code))
    step("%s drained under load: %d requests finished, none failed" % (name, load.finished))


def stop_daemons(fleet):
    names = [name for name in DAEMONS if fleet.processes[name].poll() is None]
    for name in names:
        fleet.processes[name].send_signal(signal.SIGTERM)
    codes = {name: fleet.wait_for_end(name) for name in names}
    if any(codes.values()):
        raise Failed("exit codes %s" % codes)
    step("the other daemons stopped gracefully")


def keep_running(fleet):
    step("bearer key: " + KEY)
    for name, address in fleet.addresses.items():
        admin = ", admin http://" + fleet.admin[name] if name in fleet.admin else ""
        step("%-10s http://%s%s" % (name, address, admin))
    step("running until Ctrl-C; end single processes to see how the others go on")
    running = set(fleet.processes)
    try:
        while running:
            for name in sorted(running):
                code = fleet.processes[name].poll()
                if code is not None:
                    running.discard(name)
                    step("%s ended with code %d" % (name, code))
            time.sleep(0.5)
    except KeyboardInterrupt:
        pass


def run(fleet, keep):
    start(fleet)
    publish(fleet)
    stream_in_each_data_centre(fleet)
    order_twice(fleet)
    if keep:
        keep_running(fleet)
        return
    with Load(fleet) as load:
        load.check(20)
        drain_engine(fleet, load)
        drain_daemon(fleet, load)
    stop_daemons(fleet)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default=str(ROOT / "build"), help="build folder")
    parser.add_argument("--keep", action="store_true", help="leave everything running until Ctrl-C")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fleet = Fleet(arguments.build)
    try:
        run(fleet, arguments.keep)
        step("ok")
        return 0
    except Failed as error:
        print("demo: failed: %s" % error, file=sys.stderr)
        return 1
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
