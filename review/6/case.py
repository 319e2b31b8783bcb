"""After the only machine that holds its tasks is taken back, a job gets no other machine."""

import asyncio
import os
from typing import Any

WATCHED_S = float(os.environ.get("WATCHED_S", "88"))
MADHYAM = ("madhyam", "ahmedabad-east", False)
BHARI = ("bhari", "vadodara-dc", True)


def site(lab: Any) -> Any:
    capacity = {BHARI: 5, ("bhari", "vadodara-dc", False): 3, MADHYAM: 5}
    return {**lab.RAJKOT, "machines": {MADHYAM: 2, BHARI: 1}, "capacity": capacity}


async def run(m: Any, lab: Any) -> None:
    await lab.healthy()
    await asyncio.sleep(2.0)
    if m.TROUBLE:
        name = next(name for name, each in lab.cloud.rented.items() if each["build"] == "bhari")
        await lab.take_back(name)
        await asyncio.sleep(1.0)
    uid = await lab.submit(1, run_s=10.0, pieces=3, cpus=4.0, mem_gb=100.0, kit="img-02")
    for _ in range(int(WATCHED_S / 4)):
        await asyncio.sleep(4.0)
        _, answer = await lab.poll(uid, m.NODES[0])
        if lab.starts or (answer or {}).get("stage") == "done":
            break
    large = [body for _, _, body in lab.cloud.asked if body["build"] == "bhari"]
    lab.note("rental requests for a machine that holds a task", count=len(large))
    if not lab.starts:
        lab.broken("an accepted job must run", uid=uid, watched_s=WATCHED_S, requests=len(large))
    else:
        await lab.until(lambda: len(lab.ended) == 3, 25.0, "the job's tasks are done")
