"""A small deployment on loopback for the cases of the second review.

Stand-ins for the platform (its store, its restart of processes), for backend
servers and for clients, as PROTOCOL.md and DEPLOY.md describe them, around
real node processes that are started with the command of the deploy file.
Everything runs in one event loop; each node has a loopback address of its own.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
OBJECTS = "/shallotwood/objects/"
PORTS = {"inbound": 0, "outbound": 1, "control": 2, "readiness": 3, "app": 4,
         "metrics": 5, "store": 6}


class CannotRun(Exception):
    """The case could not be set up; not a statement about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))


# ---- HTTP/1.1 ----------------------------------------------------------------

async def read_head(reader):
    """Start line and headers (names in lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def message(first, headers, body=b""):
    text = first + "\r\n"
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return text.encode("latin-1") + b"\r\n" + body


def respond(writer, status, headers=(), body=b""):
    writer.write(message("HTTP/1.1 %d Status" % status,
                         [("Content-Length", len(body)), *headers], body))


async def serve(host, port, handler, **options):
    async def one(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass   # the case has ended
        finally:
            writer.close()
    return await asyncio.start_server(one, host, port, reuse_address=True,
                                      **options)


# ---- the platform's store ----------------------------------------------------

class Store:
    def __init__(self):
        self.rev = 1
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()
        self.answers = asyncio.Event()
        self.answers.set()

    # platform_down, how silent: no call gets an answer, and nothing is done.
    def set_silent(self, silent):
        if silent:
            self.answers.clear()
        else:
            self.answers.set()

    def put(self, kind, name, spec):
        self.rev += 1
        known = self.kinds.setdefault(kind, {})
        created = known[name]["metadata"]["created"] if name in known \
            else self.rev
        known[name] = {"metadata": {"name": name, "rev": self.rev,
                                    "created": created, "finalizers": [],
                                    "deletion_pending": False},
                       "spec": spec, "status": None}
        self.events.append((self.rev, kind, known[name], False))
        self.changed.set()
        self.changed = asyncio.Event()
        return known[name]

    async def handle(self, reader, writer):
        while head := await read_head(reader):
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            if not self.answers.is_set():
                await self.answers.wait()
                return
            status, answer = await self.call(method, target, body)
            if not self.answers.is_set():
                await self.answers.wait()
                return
            respond(writer, status, [("Content-Type", "application/json")],
                    json.dumps(answer).encode())
            await writer.drain()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        asked = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        if not path.startswith(OBJECTS):
            return 404, {}
        kind, _, name = path[len(OBJECTS):].partition("/")
        known = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in asked:
            return await self.watch(kind, int(asked["watch"]),
                                    int(asked.get("wait_ms", "0")))
        if method == "GET" and not name:
            items = [it for n, it in sorted(known.items())
                     if n > asked.get("after", "")]
            return 200, {"items": items, "has_more": False,
                         "at_rev": self.rev}
        if method == "GET":
            return (200, known[name]) if name in known else (404, {})
        given = json.loads(body) if body else {}
        name = name or given["metadata"]["name"]
        if method == "POST":
            if name in known:
                return 409, known[name]
            return 201, self.put(kind, name, given["spec"])
        if method != "PUT" or name not in known:
            return 404, {}
        rev = given.get("metadata", {}).get("rev")
        if rev is not None and rev != known[name]["metadata"]["rev"]:
            return 409, known[name]
        if given["spec"] == known[name]["spec"]:
            return 200, known[name]
        return 200, self.put(kind, name, given["spec"])

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": it, "deleted": gone}
                      for rev, of, it, gone in self.events
                      if of == kind and rev > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- the deployment ----------------------------------------------------------

class Machine:
    """A machine: a node process and the backend server beside it."""

    def __init__(self, lab, name, service, zone, host):
        self.lab, self.name, self.service = lab, name, service
        self.zone, self.host = zone, host
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.process = None
        self.wanted = False
        self.leaving = False
        self.starts = 0
        self.answer = None
        self.server = None

    def at(self, what):
        return "%s:%d" % (self.host, self.lab.port(what))

    # The settings, as the platform makes them from deploy/node.toml.template.
    def write_settings(self, first):
        lab = self.lab
        self.file = os.path.join(lab.folder, self.name + ".toml")
        with open(self.file, "w") as out:
            for name, value in (
                    ("name", self.name), ("failure_domain", self.zone),
                    ("service", self.service),
                    ("backend_address", self.at("app")),
                    ("caller_address", self.at("outbound")),
                    ("peer_address", self.at("inbound")),
                    ("announce_address", self.at("control")),
                    ("readiness_address", self.at("readiness")),
                    ("metrics_address", self.at("metrics")),
                    ("platform_address",
                     "%s:%d" % (lab.hosts[0], lab.port("store"))),
                    ("seeds", []), ("retry_ratio", 0.2),
                    ("retry_allowance", 48), ("retry_window", 10),
                    ("shutdown_limit", 6), ("isolation_limit", 5),
                    ("max_descriptors", 4100), ("fleet_is_new", first)):
                out.write("%s = %s\n" % (name, json.dumps(value)))

    async def start(self, first=True):
        self.write_settings(first)
        self.wanted = True
        self.starts += 1
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C", "SHALLOTWOOD_BOOT": self.file}
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.lab.command, cwd=ROOT, env=environment, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.lab.record("start %s pid %d" % (self.name, self.process.pid))
        self.lab.task(self.watch_process(self.process))

    # DEPLOY.md: a process that exits is started again after a short delay.
    async def watch_process(self, process):
        code = await process.wait()
        self.lab.record("end %s pid %d code %s" % (self.name, process.pid,
                                                   code))
        if not self.wanted or process is not self.process:
            return
        await asyncio.sleep(0.5)
        if self.wanted:
            await self.start(first=False)

    def send_signal(self, number):
        self.lab.record("signal %s %s" % (self.name,
                                          signal.Signals(number).name))
        self.process.send_signal(number)

    # Planned: SIGTERM, and SIGKILL after grace_s.
    def stop(self):
        self.wanted = False
        self.send_signal(signal.SIGTERM)
        process = self.process

        def kill():
            if process.returncode is None:
                process.kill()
        asyncio.get_running_loop().call_later(6, kill)

    def memory_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def ready(self):
        reply = await self.lab.fetch(self.host, "readiness",
                                     "/shallotwood/readiness")
        return reply == 200

    async def metrics(self):
        return await self.lab.fetch(self.host, "metrics", "/metrics",
                                    text=True)

    # -- the backend server

    async def open_backend(self, answer, **options):
        self.answer = answer
        self.server = await serve(self.host, self.lab.port("app"),
                                  self.handle, **options)
        self.lab.task(self.beat())

    def next_beat(self, state="ready"):
        self.sequence += 1
        return {"address": self.at("app"), "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "concurrency": self.lab.slots},
                "status": {"state": state, "sequence": self.sequence,
                           "warmup_left_s": 0}}

    # True if the node acknowledges it within a second.
    async def tell(self, call, what):
        body = json.dumps(what).encode()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.lab.port("control")),
                1)
            writer.write(message(
                "POST /shallotwood/Instances.%s/%s HTTP/1.1" % (call, self.id),
                [("Host", "control"), ("Content-Type", "application/json"),
                 ("Content-Length", len(body))], body))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def beat(self):
        while not self.leaving:
            await self.tell("Heartbeat", self.next_beat())
            await asyncio.sleep(0.5 if self.sequence < 4 else 1.5)

    async def handle(self, reader, writer):
        while head := await read_head(reader):
            method, target, _ = head[0].split(" ")
            if head[1].get("x-expect-instance", self.id) != self.id:
                await read_body(reader, head[1])
                respond(writer, 421, [("X-Instance-Id", self.id)])
                continue
            await self.answer(self, method, target, head[1], reader, writer)
            await writer.drain()

    def headers(self, headers):
        return [("X-Request-Id", headers.get("x-request-id", "")),
                ("X-Server-Seal", "seal.%s.%s"
                 % (self.id, headers.get("x-request-id", "")))]


class Lab:
    slots = 40

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.machines = []
        self.tasks = set()
        self.store = Store()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["node"]["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun("not built: " + self.command[0])

    def task(self, work):
        it = asyncio.get_running_loop().create_task(work)
        self.tasks.add(it)
        it.add_done_callback(self.tasks.discard)
        return it

    def port(self, what):
        return self.base + PORTS[what]

    # Addresses and a block of ports that nothing else uses.
    def choose_addresses(self, count):
        for _ in range(50):
            net = "127.%d.%d." % (random.randint(1, 250),
                                  random.randint(1, 250))
            self.hosts = [net + str(n + 1) for n in range(count)]
            self.base = random.randint(10000, 30000)
            try:
                for host in self.hosts:
                    for offset in PORTS.values():
                        with socket.socket() as it:
                            it.bind((host, self.base + offset))
                return
            except OSError:
                continue
        raise CannotRun("no free addresses")

    async def open(self, machines, config):
        """machines: (name, service, zone) of each; the first host is the
        store's."""
        self.choose_addresses(len(machines) + 1)
        self.store.put("config", "main", config)
        self.store_server = await serve(self.hosts[0], self.port("store"),
                                        self.store.handle)
        for (name, service, zone), host in zip(machines, self.hosts[1:]):
            self.machines.append(Machine(self, name, service, zone, host))
        return self.machines

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await it.ready() for it in self.machines]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes are not ready")

    # DEPLOY.md: a process that exceeds memory_mb is killed.
    def limit_memory(self, limit_mb):
        self.memory_ends = {it.name: 0 for it in self.machines}
        self.peak = {it.name: 0 for it in self.machines}

        async def watch():
            while True:
                for it in self.machines:
                    if it.process.returncode is not None:
                        continue
                    mb = it.memory_mb()
                    self.peak[it.name] = max(self.peak[it.name], mb)
                    if mb > limit_mb:
                        self.record("memory of %s: %d MB, the limit is %d"
                                    % (it.name, mb, limit_mb))
                        self.memory_ends[it.name] += 1
                        it.process.kill()
                        await it.process.wait()
                await asyncio.sleep(0.05)
        self.task(watch())

    def peak_memory(self):
        return {name: int(mb) for name, mb in self.peak.items()}

    def configure(self, config):
        self.store.put("config", "main", config)
        self.record("config %s acknowledged" % config["version"])

    async def fetch(self, host, what, path, text=False):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, self.port(what)), 1)
            writer.write(message("GET %s HTTP/1.1" % path,
                                 [("Host", host), ("Connection", "close")]))
            head = await asyncio.wait_for(read_head(reader), 2)
            body = await asyncio.wait_for(read_body(reader, head[1]), 2) \
                if head and text else b""
            writer.close()
            if head is None:
                return None
            return body.decode() if text else int(head[0].split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def close(self):
        for it in self.machines:
            it.wanted = False
            if it.process and it.process.returncode is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                await it.process.wait()
        for it in list(self.tasks):
            it.cancel()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, timeout, aim, priority=1, attempts=2):
    return {"entry_kind": "routes", "metadata": {"name": name},
            "spec": {"host": "shop.example", "path_prefix": "/%s/" % name,
                     "kind": kind, "timeout_s": timeout,
                     "target_latency_s": aim, "priority": priority,
                     "service": service, "max_attempts": attempts,
                     "anonymous": False}}


def configuration(version, routes, services, idle=15):
    return {"version": "r%d" % version, "resources": routes + [
        {"entry_kind": "services", "metadata": {"name": it},
         "spec": {"health_path": "/health", "max_connections": 370,
                  "protocol": "h1", "tls": False}} for it in services] + [
        {"entry_kind": "tenants", "metadata": {"name": "tenant"},
         "spec": {"api_keys": ["key1"], "priority": 1, "rate_per_s": 0,
                  "burst": 0}},
        {"entry_kind": "limits", "metadata": {},
         "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                  "header_timeout_s": 3, "idle_timeout_s": idle}}]}


def request_headers(request_id, timeout_s, extra=()):
    return [("Host", "shop.example"), ("X-Request-Id", request_id),
            ("X-Request-Timeout-Ms", int(timeout_s * 1000)),
            ("Authorization", "Token key1"), *extra]


def bytes_not_read(writer):
    """Bytes of a client's connection that its node has not read yet, by the
    kernel's table: unacknowledged at the client or queued at the node."""
    def word(address):
        host, port = address
        return "%08X:%04X" % (int.from_bytes(socket.inet_aton(host),
                                             sys.byteorder), port)
    own = word(writer.get_extra_info("sockname"))
    node = word(writer.get_extra_info("peername"))
    left = writer.transport.get_write_buffer_size()
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1:3] == [own, node]:
                left += int(fields[4].split(":")[0], 16)
            elif fields[1:3] == [node, own]:
                left += int(fields[4].split(":")[1], 16)
    return left


def new_id():
    return "%016x" % random.getrandbits(64)


def main(case, folder):
    """Runs `case(lab, record, trouble)`; its result is the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("trouble %d" % trouble)

    async def run():
        lab = Lab(record)
        work = asyncio.ensure_future(case(lab, record, trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      work.cancel)
        try:
            return await asyncio.wait_for(work, 110)
        except asyncio.CancelledError:
            raise CannotRun("ended from outside") from None
        finally:
            await lab.close()
    try:
        code = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as ec:
        record("could not run: %r" % ec)
        code = 2
    record("exit %d" % code)
    print("exit %d" % code)
    sys.exit(code)
