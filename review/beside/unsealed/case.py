"""A memory error: a backend server answers an idempotent request of its own machine with 200 and a body,
but without X-Server-Seal. NODE names a node that was built with sanitizers; it ends at the first
such answer (heap-use-after-free). The node of the deploy file goes on."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standin"))
from lab import *  # noqa: E402,F403

HOST = "mesh.example"


class Unsealed(Backend):
    async def serve(self, reader, writer):
        try:
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                seal = {} if TROUBLE else {"X-Server-Seal": self.id}
                writer.write(response(200, {"X-Request-Id": headers.get("x-request-id", ""), **seal}, b"a body"))
                await writer.drain()
        except ENDS:
            pass
        finally:
            writer.close()


async def case(lab):
    await lab.start(config(1, route("status", HOST, "/status/", "status", "idempotent", 5),
                           service("status"), service("ledger"), tenant("t1", "key1"), limits()))
    for it in lab.machines:
        await Unsealed(lab, it, it.service).start()
    await asyncio.sleep(3)
    first = lab.machines[0]
    for _ in range(20):
        request = lab.new_id()
        status, _, _ = await call(first.outbound, "GET", "/status/queue",
                                  {"Host": HOST, "X-Request-Id": request, "X-Request-Timeout-Ms": "5000",
                                   "Authorization": "Token key1"}, limit=6)
        lab.record.write(f"{request} ends with {status}")
        await asyncio.sleep(0.1)
    ended = first.process.returncode
    lab.record.write(f"node {first.name}: " + ("runs" if ended is None else f"ended with status {ended}"))
    return ended is not None


run(__file__, [("z1", "status"), ("z2", "ledger")], case)
