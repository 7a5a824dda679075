"""A Deregister without a body, as the first call to a node that has just
started, is forgotten when a heartbeat of before arrives."""
import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab-3"))
from lab import CannotRun, Client, TROUBLE, now, run

DRAIN_S = 2.0
CONTACT_S = 3.0
LATE_S = 1.5
WATCH_S = 5.0


async def main(lab, record):
    start = now()
    runs = []
    sent = {}
    stop = False
    statuses = {}

    def say(text):
        record(f"{now() - start:6.2f} s {text}")

    async def handler(call):
        runs.append((now(), call.backend, call.id))
        await asyncio.sleep(0.02)
        await call.reply(200, b"ok")

    for n in range(4):
        await lab.add("a" if n % 2 == 0 else "b", handler,
                      zone=f"zone-{n % 2}", slots=20)
    await lab.start(["a", "b"])

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
    await asyncio.sleep(1)
    node, leaver = lab.nodes[0], lab.backends[0]
    record(f"backend that leaves: {leaver.id} at {leaver.ip}:8547")
    # The next heartbeat would be due 1.5 s after the last one.
    leaver.tasks[0].cancel()
    await leaver.beat()
    leaver.sequence += 1
    late = leaver.heartbeat()
    late_at = now() + LATE_S
    say("the backend sends a heartbeat, which is held up")
    if TROUBLE:
        node.signal(signal.SIGKILL)
        await node.process.wait()
        say("node process killed")
    await asyncio.sleep(0.2)
    if TROUBLE:
        await node.start(lab.folder)
        say("node process started again")
    await asyncio.sleep(0.6)
    started = now() - 0.6
    acknowledged = None
    for _ in range(5):
        if await leaver.post(f"/shallotwood/Instances.Deregister/{leaver.id}",
                             b""):
            acknowledged = now()
            break
    if acknowledged is None:
        raise CannotRun("the departure was not acknowledged")
    say("backend: Deregister acknowledged with 200; it serves on")
    await asyncio.sleep(max(0.0, late_at - now()))
    answer = await leaver.post(
        f"/shallotwood/Instances.Heartbeat/{leaver.id}", late)
    say(f"the heartbeat arrives {LATE_S} s late, "
        f"{'acknowledged' if answer else 'not acknowledged'}")
    calm = max(started + CONTACT_S, acknowledged + DRAIN_S)
    await asyncio.sleep(calm + WATCH_S - now())
    stop = True
    await asyncio.gather(*clients, return_exceptions=True)

    mine = [(at, request) for at, backend, request in runs
            if backend is leaver]
    broken = [(at, request) for at, request in mine
              if sent[request][0] > calm]
    record(f"answers to clients by status: {statuses}")
    record(f"runs at the backend: {len(mine)}; more than {DRAIN_S} s after "
           f"the acknowledgement and with all machines in touch: "
           f"{len(broken)}")
    for at, request in broken[:10]:
        record(f"{at - start:6.2f} s backend runs {request}, "
               f"{at - acknowledged:.2f} s after the acknowledgement, sent by "
               f"a client to {sent[request][1].ip}")
    return broken


run(main)
