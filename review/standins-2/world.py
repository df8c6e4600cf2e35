"""Stand-ins of the platform for the review cases: store, engines, plain servers, callers.

They follow the pages in ../given/kit/more/system/ and run in the process of the case. The daemons run as
processes of their own, with the command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
# Not 1, which an interpreter that fails returns too; run.sh turns it into 1.
BROKEN = 10
DESCRIPTORS = 4200
SERVICE_LM = "sign-drafter"
SERVICE_PLAIN = "order-desk"
HOST = "review.example"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begin = now()

    def write(self, what, **fields):
        if self.file.closed:
            return  # an answer that came after the end of the case
        line = {"t": round(now() - self.begin, 3), "what": what}
        line.update(fields)
        self.file.write(json.dumps(line) + "\n")

    def say(self, text):
        self.write("note", text=text)
        print(text, flush=True)

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the first line and the headers by lower-case name; None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d x" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 on a loopback address and a free port."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.handle(method, target, head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 100
        self.objects = {}  # (kind, name): object
        self.history = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Condition()
        self.era = 1
        self.is_away = False
        self.copies = []  # (time, revision, objects)

    async def keep_copies(self):
        while True:
            if not self.is_away:
                self.copies.append((now(), self.revision, dict(self.objects)))
            await asyncio.sleep(0.2)

    async def restore(self, age_s):
        """Comes back from a copy of that age, after a time away."""
        copies = [copy for copy in self.copies if copy[0] <= now() - age_s]
        if not copies:
            raise CannotRun("there is no copy of that age")
        _, self.revision, objects = copies[-1]
        self.objects = dict(objects)
        self.history = [item for item in self.history if item[0] <= self.revision]
        self.copies = []
        self.era += 1
        self.is_away = False
        await self._wake()

    def put(self, kind, name, specification):
        """Writes as the operator or an engine does."""
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["created"] if old else self.revision
        obj = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": None,
        }
        self.objects[(kind, name)] = obj
        self._note(kind, obj, False)
        return obj

    def remove(self, kind, name):
        obj = self.objects.pop((kind, name), None)
        if obj:
            self.revision += 1
            obj = json.loads(json.dumps(obj))
            obj["metadata"]["revision"] = self.revision
            self._note(kind, obj, True)

    def _note(self, kind, obj, deleted):
        self.history.append((self.revision, kind, obj, deleted))
        asyncio.ensure_future(self._wake())

    async def _wake(self):
        async with self.changed:
            self.changed.notify_all()

    def _events(self, kind, since):
        return [
            {"object": obj, "deleted": deleted}
            for revision, its_kind, obj, deleted in self.history
            if its_kind == kind and revision > since
        ]

    async def handle(self, method, target, headers, body, reader, writer):
        if self.is_away:
            writer.write(answer(503, b"{}", [("Store-Era", str(self.era))]))
            await writer.drain()
            return True
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        status, reply = await self._call(method, parts, query, body)
        data = json.dumps(reply).encode()
        writer.write(answer(status, data, [("Content-Type", "application/json"), ("Store-Era", str(self.era))]))
        await writer.drain()
        return True

    async def _call(self, method, parts, query, body):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            after = query.get("after", "")
            items = [
                obj for (its_kind, its_name), obj in sorted(self.objects.items())
                if its_kind == kind and its_name > after
            ]
            return 200, {"items": items, "more": False, "asOf": self.revision}
        if method == "GET":
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, {})
        given = json.loads(body) if body else {}
        if method == "POST":
            name = given["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, given.get("specification"))
        obj = self.objects.get((kind, name))
        if obj is None:
            return 404, {}
        expected = query.get("revision", (given.get("metadata") or {}).get("revision"))
        if expected is not None and int(expected) != obj["metadata"]["revision"]:
            return 409, obj
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, given.get("specification"))

    async def _watch(self, kind, query):
        since = int(query["watch"])
        era = self.era
        end = now() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            if since > self.revision or era != self.era:
                return 410, {}
            if self.is_away:
                return 503, {}
            events = self._events(kind, since)
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine(Server):
    """A plain server, or a model engine with a stage. Behaves soundly unless fault is set."""

    def __init__(self, world, name, ip, service, stage=None):
        super().__init__(ip)
        self.world = world
        self.name = name
        self.service = service
        self.stage = stage
        self.sequence = 0
        self.slots = 64 if stage else 6
        self.active = 0
        self.handles = 0
        self.runs = {}  # request id: number of runs
        self.fault = None  # async function (request) that answers in place of the engine
        self.events = 42
        self.pace_s = 0.02
        self.work_s = 0.03
        self.busy = False

    def entry(self):
        entry = {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.world.zone,
            "version": "v1", "slots": self.slots, "state": "ready", "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.world.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def beat(self):
        while True:
            self.sequence += 1
            self.world.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def stamped(self, request, more=()):
        load = "%d,0,%d" % (self.active, self.slots)
        return [
            ("Masticstep-Request-Attempt-Id", request["id"]),
            ("Masticstep-Response-Stamp", "%s.%s" % (self.name, request["id"])),
            ("Masticstep-Instance-Load", load),
        ] + list(more)

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/health":
            writer.write(answer(200, b"", [("Masticstep-Instance-Id", self.name)]))
            return True
        if target.startswith("/masticstep/kv-handle/"):
            writer.write(answer(200))
            return True
        if target == "/masticstep/order":
            return await self._order(json.loads(body), writer)
        request = {
            "id": headers.get("masticstep-request-attempt-id", ""), "method": method, "target": target,
            "headers": headers, "body": body, "reader": reader, "writer": writer,
        }
        if headers.get("masticstep-expected-instance", self.name) != self.name:
            writer.write(answer(421, b"", [("Masticstep-Instance-Id", self.name)]))
            return True
        wants_prefill = headers.get("masticstep-serving-stage") == "prefill"
        if self.stage and wants_prefill != (self.stage == "prefill"):
            writer.write(answer(421, b"", [("Masticstep-Request-Attempt-Id", request["id"])]))
            return True
        self.active += 1
        try:
            return await self._run(request, wants_prefill)
        finally:
            self.active -= 1

    async def _run(self, request, wants_prefill):
        writer = request["writer"]
        if self.fault is not None and not wants_prefill:
            return await self.fault(self, request)
        if wants_prefill:
            await asyncio.sleep(0.01)
            self.handles += 1
            body = json.dumps({"handle": "%s%x" % (self.name.replace("-", ""), self.handles),
                               "tokens": 100, "version": 1}).encode()
            headers = [("Masticstep-Request-Attempt-Id", request["id"]),
                       ("Content-Type", "application/json")]
            writer.write(answer(200, body, headers))
            await writer.drain()
            return True
        self.count(request)
        if not self.stage:
            await asyncio.sleep(self.work_s)
            writer.write(answer(200, b"done " * 160, self.stamped(request)))
            await writer.drain()
            return True
        await self.begin_stream(request)
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.pace_s)
            await self.chunk(request, b"id: %d\ndata: token %d\n\n" % (number, number))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def count(self, request):
        self.runs[request["id"]] = self.runs.get(request["id"], 0) + 1
        self.world.record.write("run", engine=self.name, id=request["id"], target=request["target"])

    async def begin_stream(self, request):
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Content-Type: text/event-stream",
                 "Masticstep-Weight-Versions: 1"]
        lines += ["%s: %s" % item for item in self.stamped(request)]
        request["writer"].write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def chunk(self, request, data):
        request["writer"].write(b"%x\r\n%s\r\n" % (len(data), data))
        await request["writer"].drain()

    async def _order(self, order, writer):
        self.world.record.write("order", engine=self.name, order=order)
        if order.get("operation") != "stage" or not self.stage:
            writer.write(answer(400))
        elif order["stage"] == self.stage:
            writer.write(answer(200))
        elif self.busy:
            writer.write(answer(409))
        else:
            self.busy = True
            asyncio.ensure_future(self._change(order["stage"]))
            writer.write(answer(202))
        await writer.drain()
        return True

    async def _change(self, stage):
        await asyncio.sleep(1.0)
        self.stage = stage
        self.busy = False
        self.sequence += 1
        self.world.store.put("servers", self.name, self.entry())


async def endless(engine, request, data):
    """Begins a sound stream, then writes the same bytes until the caller closes."""
    engine.count(request)
    await engine.begin_stream(request)
    while True:
        await engine.chunk(request, data)


async def endless_comments(engine, request):
    return await endless(engine, request, (b": " + b"x" * 2000 + b"\n\n") * 16)


async def endless_line_ends(engine, request):
    return await endless(engine, request, b"\n" * 8192)


async def endless_body(engine, request):
    """Begins a signed answer in chunks, and writes chunks of one byte until the caller closes."""
    engine.count(request)
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += ["%s: %s" % item for item in engine.stamped(request)]
    request["writer"].write(("\r\n".join(lines) + "\r\n\r\n").encode())
    # Bytes of the body that come slowly, since each is behind much padding.
    data = (b"1;padding=" + b"x" * 500 + b"\r\nx\r\n") * 64
    while True:
        request["writer"].write(data)
        await request["writer"].drain()


FAULTS = {"endless_comments": endless_comments, "endless_line_ends": endless_line_ends,
          "endless_body": endless_body}


class Cloud(Server):
    """The platform's API for duties. Accepts all usage reports, and notes them."""

    def __init__(self, world, ip):
        super().__init__(ip)
        self.world = world
        self.reports = []  # (time, holder, fence, window, counts)

    async def handle(self, method, target, headers, body, reader, writer):
        said = json.loads(body) if body else {}
        holder = headers.get("masticstep-duty-holder", "")
        fence = int(headers.get("masticstep-fencing-token", "0"))
        self.world.record.write("duty call", path=target, holder=holder, fence=fence, body=said)
        if target == "/usage":
            self.reports.append((now(), holder, fence, said["window"], said["counts"]))
        writer.write(answer(200, b"{}", [("Content-Type", "application/json")]))
        await writer.drain()
        return True


class EngineProcess:
    """An engine in a process of its own, so that it takes no time from the callers."""

    def __init__(self, world, name, ip, zone, service, stage):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.stage = stage
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), self.name, self.ip, self.zone, self.service,
            self.stage or "", stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.world.task(self._read())

    async def _read(self):
        while True:
            line = await self.process.stdout.readline()
            if not line:
                return
            said = json.loads(line)
            if "entry" in said:
                self.stage = said["entry"].get("stage")
                if not self.world.store.is_away:
                    self.world.store.put("servers", self.name, said["entry"])
            else:
                self.world.record.write(**said["record"])

    def set_fault(self, name):
        self.process.stdin.write((name + "\n").encode())

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


class EngineWorld:
    """What an engine process knows of the world: it prints what it writes to the store and the record."""

    def __init__(self, zone):
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.store = self
        self.record = self

    def put(self, kind, name, entry):
        print(json.dumps({"entry": entry}), flush=True)

    def write(self, what, **fields):
        print(json.dumps({"record": dict(fields, what=what)}), flush=True)


async def serve_engine(name, ip, zone, service, stage):
    engine = Engine(EngineWorld(zone), name, ip, service, stage or None)
    await engine.start()
    beats = asyncio.ensure_future(engine.beat())
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while True:
        line = await commands.readline()
        if not line:
            break
        engine.fault = FAULTS.get(line.decode().strip())
    beats.cancel()


class Daemon:
    """One relay daemon, started with the command of the deploy file."""

    def __init__(self, world, number, zone):
        self.world = world
        self.zone = zone
        self.name = "front-%d" % number
        self.ip = world.address(number)
        self.port = 8149
        self.process = None

    def settings(self):
        lines = [
            "node=" + self.name, "role=relay", "machineClass=front", "serves=front", "ip=" + self.ip,
            "zone=" + self.zone, "region=" + self.zone.split("-")[0],
            "listen.front=%s:8149" % self.ip, "listen.ready=%s:8141" % self.ip,
            "internalPorts=7380,7395", "bootstrap=%s" % ("true" if self.process is None else "false"), "limits.cpuShare=0.25", "limits.cores=1",
            "limits.memoryMb=260", "limits.fileDescriptors=%d" % DESCRIPTORS, "limits.linkMbps=1000.0",
            "limits.diskMb=0", "discovery=platform", "entry=virtual_ip", "heartbeatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
            "faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.ackMs=5000",
            "bounds.catchUpS=4", "bounds.drainMs=2500", "bounds.graceS=8", "bounds.lossSlackMs=200",
            "bounds.configApplyMs=2500", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=6000",
            "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retrySlack=54",
            "bounds.recoveryS=12", "bounds.transitMs=300", "bounds.reuseWindowS=9.3",
            "bounds.requireFencing=true", "bounds.leaseMs=3000", "bounds.thawSlackMs=300",
            "platform.address=%s:%d" % (self.world.store.ip, self.world.store.port),
            "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000",
            "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
        ]
        lines += ["zones.%s=%s" % (zone, zone.split("-")[0]) for zone in self.world.zones]
        names = [line.split("=")[0] for line in self.world.more_settings]
        lines = [line for line in lines if line.split("=")[0] not in names]
        return "\n".join(lines + self.world.more_settings) + "\n"

    def start(self):
        program = os.path.join(ROOT, "target", "bin", "masticstep")
        if not os.path.exists(program):
            raise CannotRun("target/bin/masticstep is missing: run the build of the deploy file")
        path = os.path.join(self.world.folder, self.name + ".conf")
        with open(path, "w") as file:
            file.write(self.settings())
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder, "LANG": "C",
                       "MASTICSTEP_CONFIG": path}
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        # As many descriptors as the settings tell.
        limit = (DESCRIPTORS, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
        self.process = subprocess.Popen(
            [program, "relay"], cwd=ROOT, env=environment, stdout=log, stderr=log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def resident_mb(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1000
        return 0.0


class World:
    """One small deployment on loopback addresses."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="masticstep-review-")
        self.net = "127.%d.%d" % (random.randint(130, 250), random.randint(1, 250))
        self.zones = ["regina-east"]
        self.more_settings = []
        self.tenants = None
        self.born = int(time.time() * 1000)
        self.store = Store(self.address(200))
        self.engines = []
        self.daemons = []
        self.tasks = []
        self.requests = 0

    def address(self, number):
        return "%s.%d" % (self.net, number)

    def task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def add_engine(self, name, service, stage=None):
        zone = self.zones[len(self.engines) % len(self.zones)]
        engine = EngineProcess(self, name, self.address(100 + len(self.engines)), zone, service, stage)
        self.engines.append(engine)
        await engine.start()
        return engine

    async def start(self, daemons, routes, limits=None):
        await self.store.start()
        lm = {"name": SERVICE_LM, "healthPath": "/health", "maxConnections": 360, "protocol": "h1",
              "tls": False,
              "engine": {"slots": 64, "kvCapacityTokens": 469027, "tokenKvBytes": 163840,
                         "linkMbps": 1200000.0, "moves": True, "backups": True, "stride": 9, "most": 12,
                         "handleTtlS": 5.0, "switchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0,
                         "models": [{"name": "m"}]}}
        plain = {"name": SERVICE_PLAIN, "healthPath": "/health", "maxConnections": 100,
                 "protocol": "h1", "tls": False}
        self.configuration = {
            "version": 7, "routes": routes, "services": [lm, plain],
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        if self.tenants:
            self.configuration["tenants"] = self.tenants
        self.store.put("config", "main", self.configuration)
        for number in range(1, daemons + 1):
            daemon = Daemon(self, number, self.zones[(number - 1) % len(self.zones)])
            daemon.start()
            self.daemons.append(daemon)

    async def wait_until_ready(self, limit_s=30):
        end = now() + limit_s
        for daemon in self.daemons:
            while not await self.is_ready(daemon):
                if now() > end or daemon.process.poll() is not None:
                    raise CannotRun("%s does not get ready" % daemon.name)
                await asyncio.sleep(0.2)

    async def is_ready(self, daemon, limit_s=1.0):
        return await fetch_status(daemon.ip, 8141, "GET /masticstep/readiness", limit_s) == 200

    def next_id(self):
        self.requests += 1
        return "%08x%08x" % (random.getrandbits(32), self.requests)

    async def close(self):
        for daemon in self.daemons:
            daemon.stop()
        for engine in self.engines:
            await engine.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.record.close()
        keep = os.environ.get("KEEP_FOLDER")
        if keep:
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def fetch_status(ip, port, line, limit_s):
    """Returns the status of a request on a new connection, or None."""
    async def fetch():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write((line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").encode())
            head = await read_head(reader)
            return int(head[0].split(" ")[1]) if head else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(fetch(), limit_s)
    except (OSError, asyncio.TimeoutError):
        return None


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    fields = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
              "targetLatencyMs": target_ms, "priority": 0, "service": service, "attempts": 1}
    if kind == "streaming":
        fields.update({"sessionAffinity": True, "resumable": False, "targetGapMs": 150})
    fields.update(more)
    return fields


def request_text(method, path, request_id, deadline_ms, prompt=None, body=b"", key=None):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Masticstep-Request-Attempt-Id: " + request_id,
             "Masticstep-Deadline-Milliseconds: %d" % deadline_ms]
    if prompt:
        lines += ["Masticstep-Model: m", "Masticstep-Token-Counts: %d,%d" % prompt,
                  "Masticstep-Prompt-Prefix: 5c1e07a2:80,%08x:%d" % (random.getrandbits(32),
                                                                      prompt[0] - 80)]
    if key:
        lines.append("Authorization: Token " + key)
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(folder, coroutine):
    """Runs a case; exits with BROKEN, 0 if the rule held, or anything else if it could not run."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        print("could not run: a process may open too few files")
        sys.exit(2)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    status = 2

    async def main():
        world = World(folder)
        try:
            return await asyncio.wait_for(coroutine(world), 115)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            world.record.say("could not run: %r" % error)
            return 2
        finally:
            await world.close()

    try:
        status = asyncio.run(main())
    finally:
        sys.stdout.flush()
    sys.exit(BROKEN if status == 1 else status)


if __name__ == "__main__":
    asyncio.run(serve_engine(*sys.argv[1:]))
