"""Two software versions serve. The store poller of a data centre of eight daemons is cut off from
the store for 5.5 s, and half of the connections of another daemon are reset. The callers of the
streams take them up at daemons that nothing has disturbed."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from link import Link  # noqa: E402
from standin import Daemon, Engine, Store, run_case  # noqa: E402
from streams import Stream  # noqa: E402

ZONE = "regina-east"
DAEMONS = 8
CUT_SECONDS = 5.5
KIND = "masticstep-stream-origins"
HOST = "desk.example"


class WatchedStore(Store):
    """Knows from which link the records of streams were last written."""

    last_writer = None

    async def handle(self, request, reader, writer):
        if request.method in ("POST", "PUT") and KIND in request.path:
            self.last_writer = writer.get_extra_info("peername")
        return await super().handle(request, reader, writer)


async def main(record, folder, daemons, has_trouble):
    base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    store = WatchedStore()
    await store.start(f"{base}.200")
    engines = []
    for number in range(8):
        version = "v1" if number < 4 else "v2"
        engines.append(Engine(record, store, f"i-{os.urandom(4).hex()}", "drafter", ZONE,
                              "prefill" if number % 4 == 0 else "decode", version=version))
        await engines[-1].register(f"{base}.{100 + number}")
    store.put("config", "main", {
        "version": 3,
        "routes": [{"name": "quote-line", "host": HOST, "pathPrefix": "/quote/",
                    "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 400,
                    "priority": 0, "service": "drafter", "attempts": 2, "sessionAffinity": True,
                    "resumable": True, "targetGapMs": 150}],
        "services": [{"name": "drafter", "healthPath": "/health", "maxConnections": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacityTokens": 460000,
                                 "tokenKvBytes": 163840, "linkMbps": 1200000, "handleTtlS": 10,
                                 "switchS": 1, "stride": 1}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 10000}})
    links = []
    for number in range(DAEMONS):
        links.append(Link(store.address))
        address = await links[-1].start(f"{base}.{150 + number}")
        daemons.append(Daemon(folder, record, f"front-{ZONE}-{number + 1}",
                              f"{base}.{number + 1}", ZONE, [ZONE], address))
        daemons[-1].start()
    for daemon in daemons:
        if not await daemon.await_ready():
            record.say("a daemon does not get ready")
            return 2
    await asyncio.sleep(4)
    fresh, tasks = [], []

    async def traffic(number):
        while True:
            stream = Stream(record, HOST, "/quote/line", 8)
            fresh.append((number, time.monotonic(), stream))
            tasks.append(asyncio.ensure_future(
                stream.run([(daemons[number].ip, 8149)], tries=1)))
            await asyncio.sleep(0.5)

    traffic_tasks = [asyncio.ensure_future(traffic(number)) for number in range(DAEMONS)]
    await asyncio.sleep(6)

    def link_of_writer():
        for number, link in enumerate(links):
            for _, to_store in link.writers:
                if to_store.get_extra_info("sockname") == store.last_writer:
                    return number
        return None

    poller = None
    for _ in range(50):
        poller = link_of_writer()
        if poller is not None:
            break
        await asyncio.sleep(0.1)
    if poller is None:
        record.say("no daemon writes records of streams")
        return 2
    victim = (poller + 1) % DAEMONS
    calm = [number for number in range(DAEMONS) if number not in (poller, victim)]
    record.write(f"{daemons[poller].name} writes the records of streams")
    if has_trouble:
        links[poller].cut()
        record.write(f"{daemons[poller].name} is cut off from the store")
    cut_at = time.monotonic()
    await asyncio.sleep(1.0)

    # Streams at a daemon whose connections are reset in part.
    streams = [Stream(record, HOST, "/quote/line", 60) for _ in range(48)]
    attempts = [asyncio.ensure_future(
        stream.attempt((daemons[victim].ip, 8149), time.monotonic() + 10))
        for stream in streams]
    await asyncio.sleep(1.5)
    reset_at = time.monotonic()
    taken_up = []

    async def take_up(stream, attempt, number):
        attempt.cancel()  # closes the connection
        try:
            await attempt
        except asyncio.CancelledError:
            pass
        end = time.monotonic() + 6
        await asyncio.sleep(0.02)
        addresses = [(daemons[calm[(number + step) % len(calm)]].ip, 8149) for step in range(2)]
        for address in addresses:
            outcome = await stream.attempt(address, end)
            if stream.is_complete or outcome.status == 200:
                return
            await asyncio.sleep(min(outcome.retry_after or 0.05, 2))

    if has_trouble:
        record.write(f"half of the connections of {daemons[victim].name} are reset")
        broken = [number for number, stream in enumerate(streams)
                  if number % 2 == 0 and stream.events]
        taken_up = [streams[number] for number in broken]
        await asyncio.gather(*[take_up(streams[number], attempts[number], number)
                               for number in broken])
        await asyncio.sleep(max(0, cut_at + CUT_SECONDS - time.monotonic()))
        links[poller].heal()
        record.write(f"the link of {daemons[poller].name} is back")
    await asyncio.gather(*attempts, return_exceptions=True)
    for task in traffic_tasks:
        task.cancel()
    await asyncio.sleep(1)
    went_on = [stream for stream in taken_up if stream.goes_on]
    new = [stream for number, begun, stream in fresh
           if number in calm and reset_at <= begun <= reset_at + 2]
    begun = [stream for stream in new if stream.events]
    record.say(f"{len(taken_up)} streams taken up at daemons in touch, {len(went_on)} went on; "
               f"{len(begun)} of {len(new)} new streams there began")
    whole = [stream for stream in streams if stream.is_complete]
    record.say(f"{len(whole)} of {len(streams)} streams were completed")
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
