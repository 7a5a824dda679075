"""DRAIN: a backend server deregisters and is acknowledged; all nodes are killed; a heartbeat that the
backend server had sent before arrives late at the restarted node, which takes it for ready again."""
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from lab import *  # noqa: E402,F403

HOST = "mesh.example"


async def case(lab):
    rec = lab.record
    first = lab.machines[0]

    async def pay_work(*_):
        await asyncio.sleep(0.3)
        return 200, b"paid"

    await lab.start(config(1, route("pay", HOST, "/pay/", "pay", "non_idempotent", 6),
                           service("pay"), service("ledger"), tenant("t1", "key1"), limits()))
    for it in lab.machines:
        await Backend(lab, it, it.service, work=pay_work if it.service == "pay" else None).start()
    leaving = lab.backends[0]
    sent, ended = {}, {}

    async def pay(machine):
        request = lab.new_id()
        sent[request] = rec.now()
        status, _, _ = await call(machine.outbound, "POST", "/pay/1",
                                  {"Host": HOST, "X-Request-Id": request, "X-Request-Timeout-Ms": "6000",
                                   "Authorization": "Token key1"}, b"a payment", 10)
        ended[request] = status
        rec.write(f"{request}, sent at {sent[request]:.3f} to {machine.name}, ends with {status}")

    tasks = []

    async def clients():
        # The machine of the leaving backend server gets none.
        while True:
            tasks.extend(asyncio.create_task(pay(it)) for it in lab.machines[1:])
            await asyncio.sleep(0.25)

    traffic = asyncio.create_task(clients())
    await asyncio.sleep(4)
    late = leaving.beat_body()
    rec.write(f"heartbeat {late['status']} of {leaving.id} is under way, and will arrive 3 s late")
    due = rec.now() + 3
    leaving.stop_beating()
    leaving.state = "draining"
    status = await leaving.send("Deregister", {"born": leaving.born})
    acknowledged = rec.now()
    rec.write(f"{leaving.id} deregisters at {first.name}: {status}")
    if status != 200:
        raise CannotRun("no acknowledgement")
    await asyncio.sleep(0.5)
    in_touch_again = 0
    if TROUBLE:
        for it in lab.machines:
            it.signal(signal.SIGKILL)
        await asyncio.gather(*[it.restart_after_end() for it in lab.machines])
        in_touch_again = rec.now() + BOUNDS["contact_s"]
    await asyncio.sleep(max(0, due - rec.now()))
    status = await leaving.send("Heartbeat", late)
    rec.write(f"the late heartbeat of {leaving.id} arrives: {status}")
    # It serves on for drain_s and "a little longer (at times many seconds)".
    await asyncio.sleep(8)
    await leaving.exit()
    rec.write(f"{leaving.id} exits")
    await asyncio.sleep(1)
    traffic.cancel()
    await asyncio.gather(*tasks)

    # The rule counts requests taken and sent on by machines in touch: after contact_s since the kill.
    since = max(acknowledged + BOUNDS["drain_s"], in_touch_again)
    late_runs = [request for request, at in leaving.runs if at > since and sent[request] > since]
    failed = [request for request in late_runs if ended[request] != 200]
    rec.write(f"DRAIN: {len(late_runs)} requests reached {leaving.id} more than drain_s after the "
              f"acknowledgement, from machines in touch; {len(failed)} of them were lost when it exited")
    return bool(late_runs)


run(__file__, [("z1", "pay"), ("z2", "pay"), ("z1", "ledger"), ("z2", "ledger")], case)
