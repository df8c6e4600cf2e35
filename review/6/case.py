"""The store comes back from an older copy while the holder of the duties is killed. Is a window of usage
reported twice with different counts?"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402

DAEMONS = 6
WINDOW_S = 5
KEYS = {"hule930": "92cqf75rjvz48wuakn2f", "fida11": "timaj3nr26tta828m82t"}
AWAY_S = float(os.environ.get("AWAY_S", "2.0"))
COPY_AGE_S = float(os.environ.get("COPY_AGE_S", "5.0"))
RESTART_S = 1.0
PARTS = os.environ.get("PARTS", "restore kill").split()


async def order(world, daemon, key):
    request_id = world.next_id()
    status = None
    writer = None

    async def ask():
        nonlocal status, writer
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.port)
        writer.write(w.request_text("POST", "/order/1", request_id, 1500, None, b"x" * 600, key))
        head = await w.read_head(reader)
        if head:
            status = int(head[0].split(" ")[1])
            await w.read_body(reader, head[1])

    try:
        await asyncio.wait_for(ask(), 1.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    world.record.write("order", daemon=daemon.name, id=request_id, status=status)


async def callers(world):
    number = 0
    while True:
        for daemon in world.daemons:
            number += 1
            key = list(KEYS.values())[number % 3 % 2]
            asyncio.ensure_future(order(world, daemon, key))
        await asyncio.sleep(0.1)


def conflicting(reports):
    """Returns the windows that were reported with different counts."""
    counts = {}
    windows = set()
    for _, _, _, window, its_counts in reports:
        if counts.setdefault(window, its_counts) != its_counts:
            windows.add(window)
    return sorted(windows)


async def case(world):
    world.zones = ["bkk-a", "bkk-b", "cnx-a", "cnx-b", "hkt-a", "hkt-b"]
    world.tenants = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
    cloud = w.Cloud(world, world.address(201))
    await cloud.start()
    world.more_settings = [
        "bounds.contactMs=5000", "bounds.strictRevocation=true", "bounds.revokeMs=5000",
        "bounds.requireFencing=false", "bounds.reportWindowS=%d" % WINDOW_S, "bounds.usageTolerance=0.05",
        "bounds.usageLateS=10", "cloud.address=%s:%d" % (cloud.ip, cloud.port), "cloud.ratePerS=50.0",
        "cloud.duties=usage_reporting", "cloud.dutyPerS=50.0",
        "contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
    ]
    for number in range(4):
        await world.add_engine("plain-%d" % (number + 1), w.SERVICE_PLAIN)
    routes = [w.route("fab-order", "/order/", "non_idempotent", w.SERVICE_PLAIN, 800, 250, public=False)]
    await world.start(DAEMONS, routes)
    world.task(world.store.keep_copies())
    await world.wait_until_ready()
    world.task(callers(world))
    end = w.now() + 45
    while len(cloud.reports) < 4:
        if w.now() > end:
            raise w.CannotRun("no usage is reported")
        await asyncio.sleep(0.05)
    holder = [daemon for daemon in world.daemons if daemon.name == cloud.reports[-1][1]][0]
    if w.trouble():
        window = cloud.reports[-1][3]
        world.record.say("window %d has been reported by %s; trouble: %s"
                         % (window, holder.name, ", ".join(PARTS)))
        await asyncio.sleep(0.2)
        if "restore" in PARTS:
            world.store.is_away = True
            await world.store._wake()
        if "kill" in PARTS:
            holder.signal(signal.SIGKILL)
            holder.process.wait()
            await asyncio.sleep(RESTART_S)
            holder.start()
        else:
            await asyncio.sleep(RESTART_S)
        await asyncio.sleep(AWAY_S - RESTART_S)
        if "restore" in PARTS:
            await world.store.restore(COPY_AGE_S)
            world.store.put("config", "main", world.configuration)
            world.record.say("the store is back from a copy %.0f s old" % COPY_AGE_S)
    await asyncio.sleep(30)
    for time, its_holder, fence, window, counts in cloud.reports:
        world.record.write("usage", at=round(time - world.record.begin, 2), holder=its_holder, fence=fence,
                           window=window, counts=counts)
        print("%6.2f %s fence %d window %d %s" % (time - world.record.begin, its_holder, fence, window,
                                                  counts))
    twice = conflicting(cloud.reports)
    world.record.say("%d usage reports; windows reported with different counts: %s"
                     % (len(cloud.reports), twice or "none"))
    world.record.say("ONE: " + ("broken" if twice else "held"))
    return 1 if twice else 0


w.run(FOLDER, case)
