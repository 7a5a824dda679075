"""Stand-ins of the store, backends and clients around real nodes.

The node is the program of the deploy file, started as a separate process with
a settings file on its own loopback address. The stand-ins run in this process
and behave as PROTOCOL.md tells.
"""
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "shallotwood-sidecar"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
HOST = "shop.example"


class CannotRun(Exception):
    pass


def now():
    return time.monotonic()


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def free_network():
    """A loopback network of this run: 127.a.b.x, whose first hosts are free."""
    for _ in range(200):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
        try:
            for host in range(1, 9):
                for port in (8540, 8543, 8545, 8546, 8547, 8548, 7001):
                    s = socket.socket()
                    s.bind((prefix + str(host), port))
                    s.close()
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Store:
    """The platform's store in its form "objects", without any disruption."""

    def __init__(self, address):
        self.address = address
        self.rev = 10
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None
        self.silent = False

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def change(self, kind, item, deleted=False):
        self.rev += 1
        item["metadata"]["rev"] = self.rev
        items = self.kinds.setdefault(kind, {})
        if deleted:
            items.pop(item["metadata"]["name"], None)
        else:
            items[item["metadata"]["name"]] = item
        self.history.append((self.rev, kind, json.dumps(item), deleted))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec):
        item = {
            "metadata": {"name": name, "created": self.rev, "finalizers": [],
                         "deletion_pending": False},
            "spec": spec, "status": None}
        await self.change(kind, item)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ")
                if self.silent:
                    # The call is not done, and nothing comes back on this
                    # connection.
                    await asyncio.sleep(3600)
                status, answer = await self.answer(method, target, body)
                if self.silent:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts[:2] != ["shallotwood", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], "/".join(parts[3:])
        status_only = name.endswith("/status")
        if status_only:
            name = name[:-len("/status")]
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    float(query.get("wait_ms", 0)) / 1000)
        if method == "GET":
            names = sorted(n for n in items if n > query.get("after", ""))
            return 200, {"items": [items[n] for n in names[:500]],
                         "has_more": len(names) > 500, "at_rev": self.rev}
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata") or {}
        name = name or meta.get("name", "")
        old = items.get(name)
        if method == "POST":
            if old:
                return 409, old
            new = {"metadata": {"name": name, "created": self.rev + 1,
                                "finalizers": meta.get("finalizers") or [],
                                "deletion_pending": False},
                   "spec": sent.get("spec"), "status": sent.get("status")}
            await self.change(kind, new)
            return 200, new
        if not old:
            return 404, {}
        rev = meta.get("rev", query.get("rev"))
        if rev is not None and int(rev) != old["metadata"]["rev"]:
            return 409, old
        if method == "DELETE":
            await self.change(kind, old, deleted=True)
            return 200, old
        new = json.loads(json.dumps(old))
        if status_only:
            new["status"] = sent.get("status")
        else:
            new["spec"] = sent.get("spec")
            new["metadata"]["finalizers"] = meta.get("finalizers") or []
        if new == old:
            return 200, old
        await self.change(kind, new)
        return 200, new

    async def watch(self, kind, since, wait_s):
        end = now() + wait_s
        while True:
            events = [{"object": json.loads(item), "deleted": deleted}
                      for rev, of, item, deleted in self.history
                      if rev > since and of == kind]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def config(version, services, limits=None, rate=0, burst=0):
    """One route of each kind for each service."""
    resources = []
    for service in services:
        for kind in ("idempotent", "non_idempotent", "download"):
            resources.append({
                "entry_kind": "routes",
                "metadata": {"name": f"{kind}-{service}"},
                "spec": {"host": HOST, "path_prefix": f"/{service}/{kind}/",
                         "kind": kind, "timeout_s": 6, "target_latency_s": 1.5,
                         "priority": 1, "service": service, "max_attempts": 2,
                         "anonymous": False}})
        resources.append({
            "entry_kind": "services", "metadata": {"name": service},
            "spec": {"health_path": "/health", "max_connections": 370,
                     "protocol": "h1", "tls": False}})
    resources.append({
        "entry_kind": "tenants", "metadata": {"name": TENANT},
        "spec": {"api_keys": [KEY], "priority": 1, "rate_per_s": rate,
                 "burst": burst}})
    resources.append({
        "entry_kind": "limits", "metadata": {},
        "spec": limits or {"max_header_bytes": 16384,
                           "max_body_bytes": 67108864,
                           "header_timeout_s": 3, "idle_timeout_s": 15}})
    return {"version": version, "resources": resources}


class Node:
    def __init__(self, ip, service, zone, platform, log):
        self.ip, self.service, self.zone = ip, service, zone
        self.platform = platform
        self.log = open(log, "ab")
        self.log_path = log
        self.process = None
        self.first = True

    def settings(self):
        # What deploy/node.toml.template gives with a small site's figures.
        return "\n".join([
            f'name = "node-{self.ip}"', f'failure_domain = "{self.zone}"',
            f'service = "{self.service}"',
            f'backend_address = "{self.ip}:8547"',
            f'caller_address = "{self.ip}:8548"',
            f'peer_address = "{self.ip}:8543"',
            f'announce_address = "{self.ip}:8540"',
            f'readiness_address = "{self.ip}:8546"',
            f'metrics_address = "{self.ip}:7001"',
            f'platform_address = "{self.platform}"', "seeds = []",
            "retry_ratio = 0.2", "retry_allowance = 49", "retry_window = 10",
            "shutdown_limit = 6", "isolation_limit = 5",
            "max_descriptors = 4100",
            f"fleet_is_new = {'true' if self.first else 'false'}", ""])

    async def start(self, folder):
        path = pathlib.Path(folder) / f"node-{self.ip}.toml"
        path.write_text(self.settings())
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), stdout=self.log, stderr=self.log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "SHALLOTWOOD_BOOT": str(path)})
        self.first = False

    def signal(self, number):
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8546)
            writer.write(b"GET /shallotwood/readiness HTTP/1.1\r\nHost: n\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Backend:
    """A server of a service, beside a node. `handler(call)` runs a request."""

    def __init__(self, ip, service, zone, handler, receive_buffer=None,
                 slots=45, limit=8192):
        self.ip, self.service, self.zone = ip, service, zone
        self.handler = handler
        self.receive_buffer = receive_buffer
        self.slots = slots
        # Bytes that the stream reads ahead of the handler, half of them.
        self.limit = limit
        self.id = "i-" + os.urandom(4).hex()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.acknowledged = None
        self.tasks = []

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                            self.receive_buffer)
        sock.bind((self.ip, 8547))
        self.server = await asyncio.start_server(self.serve, sock=sock,
                                                 limit=self.limit)
        self.tasks.append(asyncio.create_task(self.beats()))

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        return await self.post(f"/shallotwood/Instances.Heartbeat/{self.id}",
                               self.heartbeat())

    def heartbeat(self):
        return json.dumps({
            "address": f"{self.ip}:8547", "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "concurrency": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "warmup_left_s": 0}}).encode()

    async def post(self, path, body):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8540)
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: n\r\nContent-Type: "
                f"application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n".encode() + body)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                if target == "/health":
                    writer.write(b"HTTP/1.1 200 OK\r\nX-Instance-Id: "
                                 + self.id.encode() +
                                 b"\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                call = Call(self, reader, writer, method, target, headers)
                wanted = headers.get("x-expect-instance")
                if wanted and wanted != self.id:
                    await call.read_body()
                    await call.reply(421, b"", seal=False)
                    continue
                await self.handler(call)
                await call.read_body()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Call:
    """A request at a backend."""

    def __init__(self, backend, reader, writer, method, target, headers):
        self.backend, self.reader, self.writer = backend, reader, writer
        self.method, self.target, self.headers = method, target, headers
        self.id = headers.get("x-request-id", "")
        self.length = int(headers.get("content-length", 0))
        self.chunked = "chunked" in headers.get("transfer-encoding", "")
        self.left = self.length

    async def read_body(self, pace=None):
        """pace: (bytes, seconds) - so many bytes, then so long a pause."""
        data = bytearray()
        if self.chunked:
            while True:
                line = await self.reader.readline()
                if not line:
                    raise ConnectionError("closed within the body")
                size = int(line.split(b";")[0], 16)
                data += await self.reader.readexactly(size)
                await self.reader.readline()
                if size == 0:
                    self.chunked = False
                    break
        while self.left > 0:
            part = await self.reader.read(min(self.left, pace[0] if pace
                                              else 65536))
            if not part:
                raise ConnectionError("closed within the body")
            self.left -= len(part)
            data += part
            if pace and self.left:
                await asyncio.sleep(pace[1])
        return bytes(data)

    def head(self, status, length, seal=True):
        text = f"HTTP/1.1 {status} X\r\nX-Request-Id: {self.id}\r\n"
        if seal:
            text += f"X-Server-Seal: seal-{self.backend.id}-{self.id}\r\n"
        if status == 421:
            text += f"X-Instance-Id: {self.backend.id}\r\n"
        return (text + f"Content-Length: {length}\r\n\r\n").encode()

    async def reply(self, status, body, seal=True):
        self.writer.write(self.head(status, len(body), seal) + body)
        await self.writer.drain()


class Client:
    """A client on a kept connection to one node; one request at a time."""

    def __init__(self, ip):
        self.ip = ip
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, 8548)

    async def call(self, method, path, body=b"", timeout_ms=6000, on_sent=None,
                   request_id=None, extra=""):
        """Returns (status or None, headers, body, whole)."""
        request_id = request_id or os.urandom(8).hex()
        if self.writer is None:
            await self.connect()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Request-Timeout-Ms: {timeout_ms}\r\n"
                f"Authorization: Token {KEY}\r\n{extra}")
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            if on_sent:
                on_sent()
            line, headers = await read_head(self.reader)
            status = int(line.split(" ")[1])
            data = bytearray()
            whole = True
            if "content-length" in headers:
                left = int(headers["content-length"])
                while left:
                    part = await self.reader.read(min(left, 65536))
                    if not part:
                        whole = False
                        break
                    left -= len(part)
                    data += part
            elif "chunked" in headers.get("transfer-encoding", ""):
                size = 1
                while size:
                    size = int(await self.reader.readuntil(b"\r\n"), 16)
                    data += (await self.reader.readexactly(size + 2))[:size]
            if headers.get("connection", "").lower() == "close" or not whole:
                self.close()
            return status, headers, bytes(data), whole
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.close()
            return None, {}, b"", False

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Lab:
    """A store, and machines with a node and a backend each."""

    def __init__(self, folder):
        self.prefix = free_network()
        self.folder = folder
        self.store = Store(self.prefix + "1:8545")
        self.nodes, self.backends = [], []

    async def add(self, service, handler, zone="zone-1", **how):
        ip = self.prefix + str(len(self.nodes) + 2)
        node = Node(ip, service, zone, self.store.address,
                    pathlib.Path(self.folder) / f"node-{ip}.log")
        backend = Backend(ip, service, zone, handler, **how)
        self.nodes.append(node)
        self.backends.append(backend)
        return node, backend

    async def start(self, services, **how):
        if not PROGRAM.exists():
            raise CannotRun("the deploy file's program is not built")
        await self.store.start()
        await self.store.put("config", "main", config("r1", services, **how))
        for node in self.nodes:
            await node.start(self.folder)
        await asyncio.sleep(0.5)
        for backend in self.backends:
            await backend.start()
        end = now() + 20
        while not all([await n.ready() for n in self.nodes]):
            if now() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.signal(signal.SIGKILL)
                await node.process.wait()


def run(main, limit_s=115):
    """Runs main(lab, record); exits with 1 if it returns findings."""
    here = pathlib.Path(sys.argv[0]).resolve().parent
    lines = []

    def record(text):
        lines.append(text)

    async def all_of_it(folder):
        lab = Lab(folder)
        try:
            return await asyncio.wait_for(main(lab, record), limit_s)
        finally:
            await lab.stop()

    code = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(all_of_it(folder))
            code = 1 if broken else 0
            lines.append(f"result: {'broken' if broken else 'held'}")
        except Exception as error:  # not a finding, whatever it is
            lines.append(f"result: could not run: {error!r}")
        if os.environ.get("KEEP_LOG"):
            to = pathlib.Path(os.environ["KEEP_LOG"])
            to.mkdir(exist_ok=True)
            for path in pathlib.Path(folder).glob("*.log"):
                (to / path.name).write_bytes(path.read_bytes())
    (here / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    sys.exit(code)
