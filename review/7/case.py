"""An engine writes line ends without end. Are the requests to the other, sound servers still answered?"""

import asyncio
import json
import os
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402

STREAM_TIMEOUT_MS = 10000
ORDER_TIMEOUT_MS = 800
ORDER_DEADLINE_MS = 1500
TARGET_MS = 1000
ABANDON_S = max(2.0, 4 * TARGET_MS / 1000, 8 * 0.15)
STREAM_PAUSE_S = 0.15
ORDER_PAUSE_S = 0.1
LENGTH_S = 20.0


async def stream(ip, port, request_id):
    """A caller of the model engines, which leaves after the longest pause between events."""
    text = w.request_text("POST", "/draft/1", request_id, STREAM_TIMEOUT_MS, (600, 12), b"x" * 600)
    begin = w.now()
    writer = None
    size = 0
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        writer.write(text)
        while w.now() < begin + ABANDON_S:
            part = await asyncio.wait_for(reader.read(65536), begin + ABANDON_S - w.now() + 0.01)
            size += len(part)
            if not part or part.endswith(b"0\r\n\r\n"):
                break
    except (asyncio.TimeoutError, OSError):
        pass
    finally:
        if writer:
            writer.close()
    print(json.dumps({"what": "stream ended", "id": request_id, "bytes": size,
                      "seconds": round(w.now() - begin, 3)}), flush=True)


async def streams(ip, port):
    """All callers of the model engines, in a process of their own."""
    calls = []
    end = w.now() + LENGTH_S
    while w.now() < end:
        calls.append(asyncio.ensure_future(stream(ip, port, "57%014x" % len(calls))))
        await asyncio.sleep(STREAM_PAUSE_S)
    await asyncio.gather(*calls)


async def start_streams(world, daemon):
    process = await asyncio.create_subprocess_exec(
        sys.executable, os.path.abspath(__file__), "streams", daemon.ip, str(daemon.port),
        stdout=subprocess.PIPE)
    try:
        while True:
            line = await process.stdout.readline()
            if not line:
                break
            world.record.write(**json.loads(line))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def order(world, daemon, results):
    """An order to the plain service, on a new connection; waits until its deadline."""
    request_id = world.next_id()
    text = w.request_text("POST", "/order/1", request_id, ORDER_DEADLINE_MS, None, b"x" * 600)
    begin = w.now()
    result = {"id": request_id, "sent_s": begin, "status": None, "seconds": None}
    writer = None

    async def ask():
        nonlocal writer
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.port)
        writer.write(text)
        head = await w.read_head(reader)
        if head:
            await w.read_body(reader, head[1])
            result["status"] = int(head[0].split(" ")[1])
        result["seconds"] = round(w.now() - begin, 3)

    try:
        await asyncio.wait_for(ask(), ORDER_DEADLINE_MS / 1000)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    results.append(result)
    world.record.write("order", daemon=daemon.name, id=request_id, status=result["status"],
                       seconds=result["seconds"])


async def watch_readiness(world, daemon, misses):
    while True:
        begin = w.now()
        ready = await world.is_ready(daemon)
        world.record.write("readiness", daemon=daemon.name, ready=ready,
                           seconds=round(w.now() - begin, 3))
        misses.append(not ready)
        await asyncio.sleep(max(0.0, begin + 1 - w.now()))


async def case(world):
    for stage, count in (("prefill", 2), ("decode", 4)):
        for number in range(count):
            await world.add_engine("%s-%d" % (stage, number + 1), w.SERVICE_LM, stage)
    for number in range(3):
        await world.add_engine("plain-%d" % (number + 1), w.SERVICE_PLAIN)
    routes = [
        w.route("layout-draft", "/draft/", "streaming", w.SERVICE_LM, STREAM_TIMEOUT_MS, TARGET_MS),
        w.route("fab-order", "/order/", "non_idempotent", w.SERVICE_PLAIN, ORDER_TIMEOUT_MS, 250),
    ]
    await world.start(1, routes)
    await world.wait_until_ready()
    await asyncio.sleep(6)  # longer than contactMs: the daemon is in touch
    daemon = world.daemons[0]
    if w.trouble():
        faulty = [engine for engine in world.engines if engine.stage == "decode"][0]
        faulty.set_fault("endless_line_ends")
        world.record.say("%s writes without end from now on" % faulty.name)
    misses = []
    orders = []
    calls = []
    world.task(watch_readiness(world, daemon, misses))
    begin = w.now()
    calls.append(asyncio.ensure_future(start_streams(world, daemon)))
    while w.now() < begin + LENGTH_S:
        calls.append(asyncio.ensure_future(order(world, daemon, orders)))
        await asyncio.sleep(ORDER_PAUSE_S)
    await asyncio.gather(*calls)
    timeout_s = ORDER_TIMEOUT_MS / 1000
    late = [o for o in orders if o["seconds"] is None or o["seconds"] > timeout_s]
    unanswered = [o for o in late if o["seconds"] is None or o["seconds"] > timeout_s + 0.5]
    world.record.say("%d orders to sound servers; %d unanswered at timeoutMs; %d of them half a second "
                     "later; %d of %d readiness calls missed"
                     % (len(orders), len(late), len(unanswered), sum(misses), len(misses)))
    broken = len(late) >= 8 and len(unanswered) > len(late) / 2
    world.record.say("CONFIG: " + ("broken" if broken else "held"))
    return 1 if broken else 0


if sys.argv[1:2] == ["streams"]:
    asyncio.run(streams(sys.argv[2], int(sys.argv[3])))
else:
    w.run(FOLDER, case)
