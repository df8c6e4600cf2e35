"""A route is split over three services, and two software versions of each serve. A daemon is killed
while it answers streams, and their callers take them up at the others."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from standin import Daemon, Engine, Store, run_case  # noqa: E402
from streams import Stream  # noqa: E402

ZONE = "regina-east"
HOST = "desk.example"
SERVICES = ["drafter-a", "drafter-b", "drafter-c"]
STREAMS = 60


async def main(record, folder, daemons, has_trouble):
    base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    store = Store()
    await store.start(f"{base}.200")
    engines = []
    for service in SERVICES:
        for version in ("v1", "v2"):
            for stage in ("prefill", "decode", "decode"):
                engines.append(Engine(record, store, f"i-{os.urandom(4).hex()}", service, ZONE,
                                      stage, version=version))
                await engines[-1].register(f"{base}.{100 + len(engines)}")
    engine = {"slots": 64, "kvCapacityTokens": 460000, "tokenKvBytes": 163840,
              "linkMbps": 1200000, "handleTtlS": 10, "switchS": 1, "stride": 1}
    store.put("config", "main", {
        "version": 3,
        "routes": [{"name": "quote-line", "host": HOST, "pathPrefix": "/quote/",
                    "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 400,
                    "priority": 0, "attempts": 2, "sessionAffinity": True, "resumable": True,
                    "targetGapMs": 150,
                    "trafficSplit": [{"service": name, "weight": 1} for name in SERVICES]}],
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 360,
                      "protocol": "h1", "tls": False, "engine": engine} for name in SERVICES],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 10000}})
    for number in range(3):
        daemons.append(Daemon(folder, record, f"front-{ZONE}-{number + 1}",
                              f"{base}.{number + 1}", ZONE, [ZONE], store.address_text()))
        daemons[-1].start()
    for daemon in daemons:
        if not await daemon.await_ready():
            record.say("a daemon does not get ready")
            return 2
    await asyncio.sleep(6)
    addresses = [(daemon.ip, 8149) for daemon in daemons]
    fresh, tasks = [], []

    async def traffic(number):
        while True:
            stream = Stream(record, HOST, "/quote/line", 8)
            fresh.append((number, time.monotonic(), stream))
            tasks.append(asyncio.ensure_future(stream.run([addresses[number]], tries=1)))
            await asyncio.sleep(0.1)

    traffic_tasks = [asyncio.ensure_future(traffic(number)) for number in range(2)]
    await asyncio.sleep(2)
    streams = [Stream(record, HOST, "/quote/line", 100) for _ in range(STREAMS)]
    runs = []
    for number, stream in enumerate(streams):
        # One retry, as the sheet says: it takes the stream up.
        runs.append(asyncio.ensure_future(
            stream.run([addresses[2], addresses[number % 2]], tries=2)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(2.0)
    killed = time.monotonic()
    if has_trouble:
        daemons[2].kill()
        await asyncio.sleep(1.0)
        daemons[2].start()
    await asyncio.sleep(1.0)
    for task in traffic_tasks:
        task.cancel()
    await asyncio.gather(*runs)
    await asyncio.sleep(1.0)
    taken_up = [stream for stream in streams if len(stream.statuses) > 1 and stream.events]
    went_on = [stream for stream in taken_up if stream.goes_on]
    new = [stream for _, begun, stream in fresh if killed <= begun <= killed + 2]
    begun = [stream for stream in new if stream.events]
    record.say(f"{len(taken_up)} streams taken up at daemons in touch, {len(went_on)} went on; "
               f"{len(begun)} of {len(new)} new streams there began")
    record.say(f"{sum(stream.is_complete for stream in streams)} of {len(streams)} streams were "
               f"completed")
    if has_trouble and len(taken_up) < 12:
        record.say("too few streams were taken up")
        return 2
    share_new = len(begun) / max(1, len(new))
    share_on = len(went_on) / len(taken_up) if taken_up else 1.0
    if share_on < share_new / 2:
        record.say("LOST: of the streams taken up less than half as many went on")
        return 1
    return 0


sys.exit(run_case(HERE, main))
