"""Processes, settings and calls of the demonstration. Python standard library only."""
import datetime
import http.client
import json
import os
import pathlib
import secrets
import subprocess
import tempfile
import time

KEY = "demo-key-dealer-12"  # its SHA-256 digest is in examples/accounts/kestrel.accounts.json
DATA_CENTRES = {"regina-a": "regina", "winnipeg-a": "winnipeg"}
DAEMONS = {"regina-1": "regina-a", "regina-2": "regina-a", "winnipeg-1": "winnipeg-a", "winnipeg-2": "winnipeg-a"}
ENGINES = ["draft-1", "draft-2", "draft-3", "draft-4", "draft-5", "draft-6"]
# Generous: a busy machine starts processes slowly. The demonstration itself ends within 60 s.
START_LIMIT_S = 20
FIRST_PORT = 20000


class Failed(Exception):
    """A step did not go as it must."""


def reserved_addresses(count):
    """Returns addresses that no other process takes before the daemons listen.

    They are on a loopback address of this process, and their ports lie below the range from which the kernel
    chooses ports of outgoing connections.
    """
    host = "127.%d.%d.2" % (1 + os.getpid() // 254 % 126, 1 + os.getpid() % 254)
    return ["%s:%d" % (host, FIRST_PORT + i) for i in range(count)]


def call(address, method, path, body=None, headers=None, timeout=15):
    """Makes one call; returns status and body. Raises OSError if no answer comes."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def wait_until(what, condition, limit_s=START_LIMIT_S):
    """Waits until the condition holds; connection errors count as not yet."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise Failed("%s: not within %d s" % (what, limit_s))


def stream(address, prompt, tokens):
    """Streams one completion and returns its text. Raises Failed unless the answer is whole."""
    connection = http.client.HTTPConnection(address, timeout=15)
    body = json.dumps({"model": "signs-8b", "prompt": prompt, "max_tokens": tokens, "stream": True})
    try:
        connection.request("POST", "/v1/completions", body=body, headers={"Authorization": "Bearer " + KEY})
        answer = connection.getresponse()
        if answer.status != 200:
            raise Failed("%s answered %d %s" % (address, answer.status, answer.read().decode()))
        parts, done = read_events(answer)
    except (OSError, http.client.HTTPException) as error:
        raise Failed("%s: connection failed: %s" % (address, error)) from error
    finally:
        connection.close()
    if not done or len(parts) != tokens:
        raise Failed("%s: %d of %d tokens, end %s" % (address, len(parts), tokens, done))
    return "".join(parts)


def read_events(answer):
    """Returns the texts of the token events in order and whether the stream ended with [DONE]."""
    parts = []
    for line in answer:
        line = line.decode().strip()
        if line == "data: [DONE]":
            return parts, True
        if not line.startswith("data: "):
            continue
        event = json.loads(line[len("data: "):])
        if "error" in event or event.get("offset") != len(parts):
            raise Failed("unexpected event: " + line)
        parts.append(event["choices"][0]["text"])
    return parts, False


def order_key():
    """Returns a dated idempotency key."""
    now = datetime.datetime.now(datetime.timezone.utc)
    return now.strftime("%Y%m%dT%H%M%SZ-") + secrets.token_hex(8)


class Fleet:
    """Starts processes and stops all of them, by process id."""

    def __init__(self, build):
        self.bin = pathlib.Path(build).resolve() / "bin"
        self.folder = tempfile.TemporaryDirectory(prefix="masticstep-demo-")
        self.path = pathlib.Path(self.folder.name)
        self.processes = {}
        self.addresses = {}
        self.admin = {}

    def start(self, name, arguments, reads_output=False):
        program = str(self.bin / arguments[0])
        with open(self.path / (name + ".log"), "wb") as log:
            output = subprocess.PIPE if reads_output else log
            self.processes[name] = subprocess.Popen([program] + arguments[1:], stdout=output, stderr=log)

    def start_standin(self, name, arguments):
        """Starts a stand-in and reads its address from its first line."""
        self.start(name, arguments, reads_output=True)
        line = self.processes[name].stdout.readline()
        if not line:
            raise Failed(name + " did not start: " + self.log_end(name))
        self.addresses[name] = json.loads(line)["address"]

    def start_daemons(self):
        callers, admins, peers = (reserved_addresses(3 * len(DAEMONS))[i::3] for i in range(3))
        for i, (name, centre) in enumerate(DAEMONS.items()):
            settings = {
                "host": name, "region": DATA_CENTRES[centre], "data_centre": centre,
                "caller_address": callers[i], "peer_address": peers[i], "admin_address": admins[i],
                "platform_url": "http://" + self.addresses["platform"],
                "peers": [peer for peer in peers if peer != peers[i]],
                "workers": 2, "balancer_notice_ms": 1000, "shutdown_ms": 15000}
            path = self.path / (name + ".json")
            path.write_text(json.dumps(settings))
            self.addresses[name] = callers[i]
            self.admin[name] = admins[i]
            self.start_daemon(name)

    def start_daemon(self, name):
        self.start(name, ["masticstep", "serve", "--settings", str(self.path / (name + ".json"))])
        wait_until(name + " starts", lambda: self.is_alive(name) and call(self.admin[name], "GET", "/healthz")[0] == 200)

    def is_alive(self, name):
        if self.processes[name].poll() is not None:
            raise Failed("%s ended with code %s: %s" % (name, self.processes[name].returncode, self.log_end(name)))
        return True

    def is_ready(self, name):
        return call(self.admin[name], "GET", "/readyz")[0] == 200

    def run(self, arguments, limit_s=40):
        """Runs a command of masticstep to its end; returns its output."""
        done = subprocess.run([str(self.bin / "masticstep")] + arguments, capture_output=True, timeout=limit_s)
        if done.returncode != 0:
            raise Failed("masticstep %s: code %d: %s" % (arguments[0], done.returncode, done.stderr.decode()))
        return done.stdout.decode()

    def fill_examples(self, examples):
        """Copies the examples with the addresses of this fleet."""
        target = self.path / "examples"
        for source in pathlib.Path(examples).rglob("*.json"):
            content = json.loads(source.read_text())
            for server in content.get("backend_servers", []):
                server["url"] = "http://" + self.addresses[server["name"]]
            path = target / source.relative_to(examples)
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(json.dumps(content, indent=1))
        return str(target)

    def wait_for_end(self, name, limit_s=20):
        """Waits for a process that is stopping; returns its exit code."""
        try:
            return self.processes[name].wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise Failed("%s did not end within %d s" % (name, limit_s)) from error

    def log_end(self, name):
        path = self.path / (name + ".log")
        return path.read_text(errors="replace")[-2000:] if path.exists() else ""

    def stop(self):
        """Ends every process that still runs. Stand-ins have nothing to save."""
        running = [each for each in self.processes.values() if each.poll() is None]
        for each in running:
            each.terminate()
        end = time.monotonic() + 5
        for each in running:
            try:
                each.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                each.kill()
                each.wait()
        self.folder.cleanup()
