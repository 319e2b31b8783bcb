"""After a controller lost its workers for 14 s, work that may use cheap machines never runs."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

from review.sites import toowoomba
from review.standins import BROKEN, HELD, Platform, job, run_case

ZONE = "toowoomba-west"
CUT_S = 14.0
# How long the accepted job is watched; the stand-in's machines are up 2 s after their rental.
WATCHED_S = float(os.environ.get("WATCHED_S", "85"))


async def case(platform: Platform, trouble: bool) -> int:
    """Cut the owner from the workers for a while; look whether a job accepted later runs."""
    # "At times machines are up within a second or two."
    platform.boot_s = lambda build: 2.0
    platform.duration_s = lambda worker, piece: 10.0
    await asyncio.sleep(4.0)
    platform.record(f"shard of {platform.owner()}, led by {platform.leader()}")
    if trouble:
        platform.cut = {platform.owner()}
        platform.record(f"cut: {platform.owner()} loses the workers")
        await asyncio.sleep(CUT_S)
        platform.cut = set()
        platform.record("cut over")
    await asyncio.sleep(3.0)
    platform.record(f"shard of {platform.owner()}, led by {platform.leader()}")
    ingest = job(
        1,
        jobclass="register-ingest",
        crew="records-desk",
        rank="standard",
        pieces=4,
        cpus=8.0,
        mem_gb=18.0,
        kit="img-01",
        size_gb=0.4,
        hall=ZONE,
        expect_s=30.0,
        due_s=300.0,
    )
    await platform.submit(ingest)
    accepted_at = time.monotonic()
    next_poll = 0.0
    while time.monotonic() < accepted_at + WATCHED_S:
        await asyncio.sleep(0.2)
        if time.monotonic() >= next_poll:
            next_poll = time.monotonic() + 5.0
            if await platform.poll(ingest["uid"]) == "done":
                platform.record(f"{ingest['uid']} is done")
                return HELD
    if platform.attempts or any(hall == ZONE for _, _, hall, _ in platform.rented):
        platform.record("the job is late, but a machine was rented or a task started for it")
        return HELD
    platform.record(
        f"broken: {WATCHED_S:.0f} s after the job was accepted no task has started; of all machines"
        " that it may use, the service has asked for cheap ones alone, which were refused each time"
    )
    return BROKEN


if __name__ == "__main__":
    SITE = toowoomba()
    SITE["machines"] = [("gum-node", "brisbane-north", False, 1)]
    # The cloud has fewer machines to give: no cheap ones in this zone, in both runs.
    SITE["capacity"][("gum-node", ZONE)] = {"count": 3, "spot": 0}
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, SITE, case))
