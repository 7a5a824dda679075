"""Large uploads to a backend that reads slowly: the entry machine's process
outgrows its memory and is killed with all that it holds."""
import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab-3"))
from lab import HOST, KEY, Client, TROUBLE, now, read_head, run

MEMORY_MB = 260
BODY_BYTES = 64_000_000  # max_body_bytes is 67,108,864
UPLOADS = 16
CLIENT_RATE = 20e6
BACKEND_RATE = 11.5e6
SMALL_CLIENTS = 10
WORK_S = 0.5
ALLOWED = 3


async def main(lab, record):
    start = now()
    at_work = {}
    finished = set()

    def say(text):
        record(f"{now() - start:6.2f} s {text}")

    async def handler(call):
        at_work[call.id] = now()
        if call.length > 1_000_000:
            say(f"backend  {call.id} begins to read {call.length} bytes")
            try:
                await call.discard_body(BACKEND_RATE if TROUBLE else None)
            except ConnectionError:
                say(f"backend  {call.id} connection closed, {call.left} bytes "
                    "missing")
                raise
        else:
            await call.read_body()
            await asyncio.sleep(WORK_S)
        finished.add(call.id)
        await call.reply(200, b"done")

    await lab.add("a", handler, limit=65536, receive_buffer=262144)
    entry, _ = await lab.add("b", handler, limit=65536, receive_buffer=262144)
    await lab.start(["a", "b"])
    say(f"entry machine: {entry.ip}, {entry.resident_mb():.0f} MB")
    stop = False
    most = 0
    killed_at = None

    async def platform():
        # DEPLOY.md: a process that exceeds memory_mb is killed. Bytes that
        # were received and not yet read are left out here.
        nonlocal most, killed_at
        while not stop:
            used = entry.resident_mb()
            most = max(most, used)
            if used > MEMORY_MB:
                entry.signal(signal.SIGKILL)
                killed_at = now()
                say(f"platform: process of {entry.ip} has {used:.0f} MB, more "
                    f"than memory_mb = {MEMORY_MB}: killed")
                return
            await asyncio.sleep(0.02)

    lost = []
    answers = {}

    async def small(client):
        kept = 0
        while not stop and killed_at is None:
            request = os.urandom(8).hex()
            status, _, _, whole = await client.call(
                "POST", "/a/non_idempotent/small", b"x", request_id=request)
            if status is not None and whole:
                answers[status] = answers.get(status, 0) + 1
                kept += 1
                continue
            counted = kept > 0 and request in at_work
            say(f"client   {request} on a connection kept for {kept} "
                f"requests: closed without an answer, "
                f"{'run by' if request in at_work else 'not passed on to'} "
                "its backend")
            if counted:
                lost.append(request)

    async def upload(n):
        request = os.urandom(8).hex()
        reader, writer = await asyncio.open_connection(entry.ip, 8548)
        begun = now()
        try:
            writer.write(
                f"POST /a/non_idempotent/large HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {request}\r\nX-Request-Timeout-Ms: 6000\r\n"
                f"Authorization: Token {KEY}\r\n"
                f"Content-Length: {BODY_BYTES}\r\n\r\n".encode())
            block = bytes(100_000)
            for sent in range(0, BODY_BYTES, len(block)):
                writer.write(block[:BODY_BYTES - sent])
                await writer.drain()
                await asyncio.sleep(begun + sent / CLIENT_RATE - now())
            line, _ = await read_head(reader)
            say(f"client   {request} upload {n} answered {line.split()[1]} "
                f"after {now() - begun:.2f} s")
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            say(f"client   {request} upload {n}: connection closed without "
                f"an answer after {now() - begun:.2f} s")
        finally:
            writer.close()

    clients = [Client(entry.ip) for _ in range(SMALL_CLIENTS)]
    tasks = [asyncio.create_task(small(client)) for client in clients]
    tasks.append(asyncio.create_task(platform()))
    await asyncio.sleep(1.5)
    await asyncio.gather(*[upload(n) for n in range(UPLOADS)])
    await asyncio.sleep(1)
    stop = True
    await asyncio.gather(*tasks)

    record(f"most memory of the entry machine's process: {most:.0f} MB of "
           f"{MEMORY_MB}")
    record(f"small requests answered, by status: {answers}")
    record(f"small requests that were passed on to a sound backend, on kept "
           f"connections that were closed without an answer: {len(lost)}, "
           f"allowed {ALLOWED}")
    return len(lost) > ALLOWED


run(main)
