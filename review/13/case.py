"""An acknowledged departure, while the store is silent, does not outlast a
kill of the processes: a heartbeat that arrives late makes the backend ready."""
import asyncio
import json
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab-3"))
from lab import CannotRun, Client, TROUBLE, now, run

NODES = 4
DRAIN_S = 2.0
CONTACT_S = 3.0
SILENT_S = 4.5
DOWN_S = 0.3
LATE_AFTER_START_S = 1.0
CALM_S = 5.0


async def main(lab, record):
    start = now()
    runs = []
    sent = {}

    def stamp():
        return f"{now() - start:6.2f} s"

    def say(text):
        record(f"{stamp()} {text}")

    async def handler(call):
        runs.append((now(), call.backend, call.id))
        await asyncio.sleep(0.02)
        await call.reply(200, b"ok")

    for n in range(NODES):
        await lab.add("a" if n % 2 == 0 else "b", handler,
                      zone=f"zone-{n % 3}", slots=20)
    await lab.start(["a", "b"])
    stop = False
    statuses = {}

    async def client(node):
        it = Client(node.ip)
        while not stop:
            await asyncio.sleep(random.expovariate(10))
            request = f"{random.getrandbits(64):016x}"
            sent[request] = (now(), node)
            try:
                status = (await asyncio.wait_for(it.call(
                    "GET", "/a/idempotent/x", timeout_ms=1500,
                    request_id=request), 2))[0]
            except (asyncio.TimeoutError, OSError):
                status = None
                it.close()
            statuses[status] = statuses.get(status, 0) + 1

    clients = [asyncio.create_task(client(node)) for node in lab.nodes
               for _ in range(2)]
    await asyncio.sleep(2)

    leaver = lab.backends[0]
    record(f"backend that leaves: {leaver.id} at {leaver.ip}:8547")
    silent_at = now()
    if TROUBLE:
        lab.store.silent = True
        say("store: silent")
    await asyncio.sleep(0.3)

    # Its last heartbeat is sent now and arrives late.
    leaver.tasks[0].cancel()
    leaver.sequence += 1
    late = leaver.heartbeat()
    late_sent = now()
    say(f"backend: sends a heartbeat, ready, sequence {leaver.sequence}, "
        "which is held up")
    acknowledged = None
    for _ in range(5):
        if await leaver.post(f"/shallotwood/Instances.Deregister/{leaver.id}",
                             json.dumps({"born": leaver.born}).encode()):
            acknowledged = now()
            break
    if acknowledged is None:
        raise CannotRun("the departure was not acknowledged")
    say("backend: Deregister acknowledged with 200; it serves on")
    await asyncio.sleep(0.2)
    if TROUBLE:
        for node in lab.nodes:
            node.signal(signal.SIGKILL)
        for node in lab.nodes:
            await node.process.wait()
        say("all node processes killed")
        await asyncio.sleep(DOWN_S)
        for node in lab.nodes:
            await node.start(lab.folder)
        say("all node processes started again")
    started = now()
    await asyncio.sleep(LATE_AFTER_START_S)
    answer = await leaver.post(
        f"/shallotwood/Instances.Heartbeat/{leaver.id}", late)
    say(f"backend: the heartbeat arrives {now() - late_sent:.1f} s late, "
        f"{'acknowledged' if answer else 'not acknowledged'}")
    await asyncio.sleep(max(0.0, silent_at + SILENT_S - now()))
    lab.store.silent = False
    core_back = now()
    if TROUBLE:
        say(f"store: answers again, after {core_back - silent_at:.1f} s")
    calm = max(core_back, started) + CONTACT_S
    await asyncio.sleep(max(0.0, calm + CALM_S - now()))
    stop = True
    await asyncio.gather(*clients, return_exceptions=True)

    late_runs = [(at, request) for at, backend, request in runs
                 if backend is leaver and at > acknowledged + DRAIN_S]
    # Only what was sent when all machines had been in touch.
    broken = [(at, request) for at, request in late_runs
              if sent[request][0] > max(calm, acknowledged + DRAIN_S)]
    record(f"answers to clients by status: {statuses}")
    record(f"runs at the backend: "
           f"{sum(1 for _, b, _ in runs if b is leaver)}, of them later than "
           f"{DRAIN_S} s after the acknowledgement: {len(late_runs)}, of them "
           f"with all machines in touch: {len(broken)}")
    for at, request in broken[:10]:
        record(f"{at - start:6.2f} s backend runs {request}, "
               f"{at - acknowledged:.2f} s after the acknowledgement, sent by "
               f"a client to {sent[request][1].ip}")
    return broken


run(main)
