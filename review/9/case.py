"""A plain server answers with a body without end. Do its callers get a final answer?"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402

TIMEOUT_MS = 800
DEADLINE_MS = 1500
FINAL_S = TIMEOUT_MS / 1000 + 0.5
ORDERS = 240
PAUSE_S = 0.1


async def order(world, daemon, results):
    request_id = world.next_id()
    text = w.request_text("POST", "/order/1", request_id, DEADLINE_MS, None, b"x" * 600)
    begin = w.now()
    result = {"status": None, "final_s": None}
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.port)
    writer.write(text)

    async def ask():
        head = await w.read_head(reader)
        if head:
            await w.read_body(reader, head[1])
            result["status"] = int(head[0].split(" ")[1])
        result["final_s"] = round(w.now() - begin, 3)

    try:
        await asyncio.wait_for(ask(), DEADLINE_MS / 1000)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    results.append(result)
    world.record.write("answered", id=request_id, daemon=daemon.name, **result)


async def case(world):
    for number in range(3):
        await world.add_engine("plain-%d" % (number + 1), w.SERVICE_PLAIN)
    routes = [w.route("fab-order", "/order/", "non_idempotent", w.SERVICE_PLAIN, TIMEOUT_MS, 250)]
    await world.start(2, routes)
    await world.wait_until_ready()
    await asyncio.sleep(6)  # longer than contactMs: all daemons are in touch
    if w.trouble():
        world.engines[0].set_fault("endless_body")
        world.record.say("%s writes without end from now on" % world.engines[0].name)
    results = []
    calls = []
    for number in range(ORDERS):
        daemon = world.daemons[number % len(world.daemons)]
        calls.append(asyncio.ensure_future(order(world, daemon, results)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*calls)
    late = [r for r in results if r["final_s"] is None or r["final_s"] * 1000 > TIMEOUT_MS]
    without = [r for r in late if r["final_s"] is None or r["final_s"] > FINAL_S]
    world.record.say("%d orders; %d unanswered at timeoutMs; %d of them half a second later"
                     % (len(results), len(late), len(without)))
    broken = len(late) >= 8 and len(without) > len(late) / 2
    world.record.say("CONFIG: " + ("broken" if broken else "held"))
    return 1 if broken else 0


w.run(FOLDER, case)
