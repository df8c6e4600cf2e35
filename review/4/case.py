"""An engine leaves while the store turns a daemon away. The engine says so in all its answers."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

import fleet  # noqa: E402

ZONES = {"regina-east": "regina"}
ROUTE = {
    "name": "r-layout",
    "host": "shop.example",
    "pathPrefix": "/layout/",
    "kind": "streaming",
    "timeoutMs": 10000,
    "targetLatencyMs": 800,
    "priority": 2,
    "service": "sign-drafter",
    "attempts": 1,
    "sessionAffinity": True,
    "resumable": False,
    "targetGapMs": 150,
}
STORE_CUT_S = 9.0  # platform_down, how "nodes": for_s 9.0 in the site file
LEAVES_AFTER_S = 0.5  # after the store began to turn the daemon away
EXITS_AFTER_S = 6.0  # after the store accepted the engine's report that it drains
DRAIN_S = 2.5  # drainMs
STREAMS_PER_S = 4.0  # of one machine
PIECES = 42
PIECE_S = 0.05
CALLER_PATIENCE_S = 3.2
DEADLINE_S = 10.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    def __init__(self, folder):
        here = os.path.dirname(os.path.abspath(__file__))
        self.record = fleet.Record(os.path.join(here, "record.txt"))
        self.store = fleet.Store()
        self.folder = folder
        self.engines = []
        self.daemons = []
        self.sent = {}  # id: time at which the caller sent it
        self.is_complete = {}  # id: whether the caller got the whole answer
        self.told_at = None  # when a caller had an answer of the leaving engine that says so
        self.leaving = None
        self.exited_at = None

    async def start(self):
        configuration = fleet.configuration([ROUTE], [fleet.model_service("sign-drafter")])
        self.store.put("config", "main", configuration)
        for stage in ("prefill", "prefill", "decode", "decode", "decode", "decode"):
            engine = fleet.Engine(
                self.store, self.record, "sign-drafter", "regina-east", fleet.random_ip(), stage
            )
            engine.pieces = PIECES
            engine.piece_s = PIECE_S
            await engine.start()
            engine.register()
            self.engines.append(engine)
        for number in (1, 2, 3):
            door = fleet.Door(self.store, fleet.random_ip())
            await door.start()
            daemon = fleet.Daemon(number, "regina-east", door, self.folder, ZONES, fleet.BOUNDS)
            daemon.start()
            self.daemons.append(daemon)
        await fleet.wait_ready(self.daemons)
        await asyncio.sleep(10.0)  # the lead of the site file; stages settle

    async def draft(self, number):
        daemon = self.daemons[0]
        name = fleet.new_id()
        parts = [(0x5C1E07A2, 512), (0x91BD3F00 + number % 5, 4870), (number + 1, 1228)]
        headers = fleet.prompt_headers(name, DEADLINE_S, "6610,%d" % PIECES, parts)
        self.sent[name] = self.record.now()
        self.record.add("caller sends %s" % name)
        answer = await fleet.call_stream(
            (daemon.ip, daemon.front), "/layout/1", headers, b"layout", CALLER_PATIENCE_S
        )
        self.is_complete[name] = answer.is_complete
        self.record.add(
            "caller of %s has status %d, %d events, %s"
            % (
                name,
                answer.status,
                len(answer.events),
                "complete" if answer.is_complete else "not complete",
            )
        )
        head_at = (answer.head_at or 0.0) - self.record.begin
        is_first = self.told_at is None or head_at < self.told_at
        if answer.has("Server-Leaving") and is_first:
            self.told_at = head_at
            self.record.add(
                "the daemon passed on an answer with Server-Leaving at %.3f" % self.told_at
            )

    async def traffic(self, seconds):
        tasks = []
        end = self.record.now() + seconds
        while self.record.now() < end:
            tasks.append(asyncio.create_task(self.draft(len(tasks))))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*tasks)

    async def trouble(self):
        await asyncio.sleep(3.0)
        door = self.daemons[0].door
        if TROUBLE:
            door.shut("silent")
            self.record.add("the store turns %s away" % self.daemons[0].name)
        await asyncio.sleep(LEAVES_AFTER_S)
        self.leaving = [it for it in self.engines if it.stage == "decode"][0]
        self.leaving.is_leaving = True
        self.leaving.register("draining")
        self.record.add("the store has accepted that %s drains" % self.leaving.id)
        await asyncio.sleep(EXITS_AFTER_S)
        self.store.delete("servers", self.leaving.id)
        self.leaving.stop()
        self.exited_at = self.record.now()
        self.record.add("%s exits" % self.leaving.id)
        await asyncio.sleep(STORE_CUT_S - LEAVES_AFTER_S - EXITS_AFTER_S)
        door.open()
        self.record.add("the store serves %s" % self.daemons[0].name)

    def judge(self):
        if self.told_at is None:
            self.record.add("no answer with Server-Leaving was passed on")
            if TROUBLE:
                raise fleet.CannotRun("no answer with Server-Leaving was passed on")
            return 0 if all(self.is_complete.values()) else 1
        bound = self.told_at + DRAIN_S
        late = [name for at, name in self.leaving.runs if self.sent[name] > bound]
        lost = [name for name in late if not self.is_complete[name]]
        self.record.add(
            "%d requests that callers sent later than %.1f s after the first answer with "
            "Server-Leaving had been passed on reached %s; %d of them were never answered whole"
            % (len(late), DRAIN_S, self.leaving.id, len(lost))
        )
        return 1 if late else 0

    def end(self):
        for daemon in self.daemons:
            daemon.end()


async def main():
    with fleet.temporary_folder() as folder:
        case = Case(folder)
        try:
            await case.start()
            await asyncio.gather(case.traffic(14.0), case.trouble())
            result = case.judge()
        finally:
            case.end()
        print("DRAIN broken" if result else "DRAIN held")
        return result


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (fleet.CannotRun, OSError) as problem:
        print("cannot run: %s" % problem)
        sys.exit(2)
