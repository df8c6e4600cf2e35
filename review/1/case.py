"""A daemon without the store takes up streams that began at a software version that it has not seen."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

import fleet  # noqa: E402

ZONES = {
    "regina-east": "regina",
    "saskatoon-north": "saskatoon",
    "winnipeg-south": "winnipeg",
}
STAGES = {
    "regina-east": ("prefill", "decode"),
    "saskatoon-north": ("prefill", "decode", "decode"),
    "winnipeg-south": ("prefill", "decode", "decode"),
}
ROUTE = {
    "name": "r-quote",
    "host": "shop.example",
    "pathPrefix": "/quote/",
    "kind": "streaming",
    "timeoutMs": 10000,
    "targetLatencyMs": 800,
    "priority": 0,
    "service": "sign-drafter",
    "attempts": 2,
    "sessionAffinity": True,
    "resumable": True,
    "targetGapMs": 150,
}
STREAMS = 30
PIECES = 56
STORE_CUT_S = 9.0  # platform_down, how "nodes busy": for_s 9.0 in the site file
RELEASE_AFTER_S = 0.05  # in one zone, after the store began to turn the daemon away
GAP_S = 0.74  # release: x = 1.0, gap_s = 0.74 in the site file
STOPPED_AFTER_S = 0.9  # SIGTERM of the daemon of that zone
STREAMS_AFTER_S = 1.3
CALLER_PATIENCE_S = 3.2  # four times the objective
DEADLINE_S = 10.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Stream:
    """One stream of a caller, over all its attempts."""

    def __init__(self, number):
        self.number = number
        self.attempts = []  # ids
        self.events = []  # (id, software version)
        self.is_complete = False
        self.was_taken_up = False
        self.went_on = False


class Balancer:
    """Gives a caller a daemon of its zone, or of the nearest zones if none is in rotation."""

    def __init__(self, record, own, *nearest):
        self.record = record
        self.own = own
        self.nearest = nearest  # equally far
        self.misses = 0

    async def probe(self):
        while True:
            self.misses = 0 if await self.own.is_ready() else self.misses + 1
            if self.misses == 2:
                self.record.add("%s is out of rotation" % self.own.name)
            await asyncio.sleep(1.0)

    def choose(self, stream):
        return self.own if self.misses < 2 else self.nearest[stream.number % len(self.nearest)]


class Case:
    def __init__(self, folder):
        here = os.path.dirname(os.path.abspath(__file__))
        self.record = fleet.Record(os.path.join(here, "record.txt"))
        self.store = fleet.Store()
        self.folder = folder
        self.daemons = []
        self.engines = []

    async def join(self, zone, stage, version):
        engine = fleet.Engine(
            self.store, self.record, "sign-drafter", zone, fleet.random_ip(), stage, version
        )
        engine.pieces = PIECES
        await engine.start()
        engine.register()
        self.engines.append(engine)
        self.record.add("%s of version %s joins for %s in %s" % (engine.id, version, stage, zone))

    async def start(self):
        configuration = fleet.configuration([ROUTE], [fleet.model_service("sign-drafter")])
        self.store.put("config", "main", configuration)
        for zone, stages in STAGES.items():
            for stage in stages:
                await self.join(zone, stage, "v1")
        for number, zone in enumerate(ZONES):
            door = fleet.Door(self.store, fleet.random_ip())
            await door.start()
            daemon = fleet.Daemon(number, zone, door, self.folder, ZONES, fleet.BOUNDS)
            daemon.start()
            self.daemons.append(daemon)
        await fleet.wait_ready(self.daemons)
        await asyncio.sleep(10.0)  # the lead of the site file; stages settle

    async def attempt(self, stream, daemon, left_s):
        """Sends one attempt. Returns whether it brought events."""
        name = fleet.new_id()
        parts = [(0x5C1E07A2, 119), (0x91BD3F00 + stream.number % 7, 79), (stream.number + 1, 430)]
        headers = fleet.prompt_headers(name, left_s, "628,40", parts)
        if stream.events:
            headers.append(("Last-Event-Id", "%d" % stream.events[-1][0]))
            headers.append(("Resumes", stream.attempts[0]))
        stream.attempts.append(name)
        self.record.add(
            "caller of stream %d sends %s to %s after event %d"
            % (stream.number, name, daemon.name, stream.events[-1][0] if stream.events else 0)
        )
        answer = await fleet.call_stream(
            (daemon.ip, daemon.front), "/quote/1", headers, b"quote", CALLER_PATIENCE_S
        )
        stream.events += answer.events
        stream.is_complete = answer.is_complete
        self.record.add(
            "caller of stream %d has status %d, %d new events, %s"
            % (
                stream.number,
                answer.status,
                len(answer.events),
                "complete" if answer.is_complete else "not complete",
            )
        )
        return bool(answer.events)

    async def caller(self, stream):
        end = self.record.now() + DEADLINE_S
        await self.attempt(stream, self.balancer.choose(stream), DEADLINE_S)
        left = end - self.record.now()
        if not stream.is_complete and stream.events and left > 0.5:
            stream.was_taken_up = True
            stream.went_on = await self.attempt(stream, self.balancer.choose(stream), left)

    async def callers(self, streams):
        await asyncio.sleep(STREAMS_AFTER_S)
        tasks = []
        for stream in streams:
            tasks.append(asyncio.create_task(self.caller(stream)))
            await asyncio.sleep(0.015)
        await asyncio.gather(*tasks)

    async def release(self):
        """Replaces the engines of one zone one after the other; the new one starts first."""
        await asyncio.sleep(RELEASE_AFTER_S)
        old = [it for it in self.engines if it.zone == "regina-east"]
        for engine in sorted(old, key=lambda it: it.stage):
            await self.join("regina-east", engine.stage, "v2")
            engine.is_leaving = True
            engine.register("draining")
            self.record.add("the store has accepted that %s drains" % engine.id)
            await asyncio.sleep(GAP_S)

    async def cut(self):
        other = self.daemons[1]
        if TROUBLE:
            other.door.shut("busy")
            self.record.add("the store turns %s away" % other.name)
        await asyncio.sleep(STORE_CUT_S)
        if TROUBLE:
            other.door.open()
            self.record.add("the store serves %s" % other.name)

    async def stop_and_start(self):
        first = self.daemons[0]
        await asyncio.sleep(STOPPED_AFTER_S)
        first.send(signal.SIGTERM)
        self.record.add("SIGTERM to %s" % first.name)
        while first.is_running():
            await asyncio.sleep(0.02)
        self.record.add("%s has ended" % first.name)
        first.bootstrap = False
        first.start()

    async def run(self):
        streams = [Stream(number) for number in range(STREAMS)]
        self.balancer = Balancer(self.record, *self.daemons)
        probing = asyncio.create_task(self.balancer.probe())
        await asyncio.gather(self.callers(streams), self.cut(), self.release(), self.stop_and_start())
        probing.cancel()
        return self.judge(streams)

    def judge(self, streams):
        taken_up = [it for it in streams if it.was_taken_up]
        mixed = [it for it in streams if len({version for _, version in it.events}) > 1]
        for it in mixed:
            events = ["%d:%s" % item for item in it.events]
            self.record.add("caller of stream %d has %s" % (it.number, " ".join(events)))
        self.record.add(
            "of %d streams that callers took up again, %d hold events of two software versions"
            % (len(taken_up), len(mixed))
        )
        if len(taken_up) < 3:
            raise fleet.CannotRun("fewer than three streams were taken up")
        return 1 if len(mixed) > 2 else 0

    def end(self):
        for daemon in self.daemons:
            daemon.end()


async def main():
    with fleet.temporary_folder() as folder:
        case = Case(folder)
        try:
            await case.start()
            result = await case.run()
        finally:
            case.end()
        print("ORDER broken" if result else "ORDER held")
        return result


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (fleet.CannotRun, OSError) as problem:
        print("cannot run: %s" % problem)
        sys.exit(2)
