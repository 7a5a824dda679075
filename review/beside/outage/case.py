"""RECOVER: all nodes are killed and start again; then one request crashes its three backend servers. A
frequent, innocent request that was in flight there is refused by all nodes of the service from then
on (for ten minutes), though all machines are back."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standin"))
from lab import *  # noqa: E402,F403

HOST = "mesh.example"
AWAY_S = 3.0


async def case(lab):
    rec = lab.record
    crashes = []

    async def work(backend, first, _, __):
        if "/status/poison" in first and TROUBLE:
            crashes.append(rec.now())
            rec.write(f"backend {backend.id} crashes")
            asyncio.create_task(crash(backend))
            await asyncio.sleep(10)
        await asyncio.sleep(0.2)
        return 200, b"status"

    async def crash(backend):
        await backend.exit()
        await asyncio.sleep(AWAY_S)
        await Backend(lab, backend.machine, backend.service, work=work).start()
        rec.write(f"{backend.machine.name} has a backend server again")

    await lab.start(config(1, route("status", HOST, "/status/", "status", "idempotent", 5),
                           service("status"), service("ledger"), tenant("t1", "key1"), limits()))
    for it in lab.machines:
        await Backend(lab, it, it.service, work=work).start()
    await asyncio.sleep(4)
    answers = []

    async def get(machine, path):
        request, at = lab.new_id(), rec.now()
        status, headers, _ = await call(machine.outbound, "GET", path,
                                        {"Host": HOST, "X-Request-Id": request, "X-Request-Timeout-Ms": "5000",
                                         "Authorization": "Token key1"}, limit=6)
        if path == "/status/queue":
            answers.append((at, status))
        rec.write(f"{request} GET {path} sent at {at:.3f} to {machine.name} ends with {status}, "
                  f"Retry-After {headers.get('retry-after')}")
        return status

    tasks = []

    async def clients():
        while True:
            tasks.extend(asyncio.create_task(get(it, "/status/queue")) for it in lab.machines)
            await asyncio.sleep(0.1)

    traffic = asyncio.create_task(clients())
    await asyncio.sleep(4)
    began = rec.now()
    if TROUBLE:
        for it in lab.machines:
            it.signal(signal.SIGKILL)
        await asyncio.gather(*[it.restart_after_end() for it in lab.machines])
    await asyncio.sleep(4)
    # The client retries it once, as clients do with idempotent requests.
    for _ in range(2):
        await get(lab.machines[3], "/status/poison")
    # The nodes have been back for 4 s; the backend servers are back after this.
    back = rec.now() + AWAY_S
    await asyncio.sleep(back - rec.now() + BOUNDS["recovery_s"] + 10)
    traffic.cancel()
    await asyncio.gather(*tasks)
    before = [status for at, status in answers if at < began]
    after = [status for at, status in answers if at > back + BOUNDS["recovery_s"]]
    rec.write(f"GET /status/queue: before the kill {before.count(200)} of {len(before)} were served; later than "
              f"recovery_s after the {len(crashes)} backend servers were back {after.count(200)} of {len(after)}")
    return after.count(200) < len(after) / 4


run(__file__, [("z1", "status"), ("z2", "status"), ("z3", "status"), ("z1", "ledger"), ("z2", "ledger")], case)
