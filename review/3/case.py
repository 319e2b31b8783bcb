"""A small job is accepted while no machine is up, and no machine is ever rented for it."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

from review.sites import rajkot
from review.standins import BROKEN, HELD, Platform, job, run_case

HERE = pathlib.Path(__file__).resolve().parent
# How long the accepted job is watched; the stand-in's machines are up 2 s after their rental.
WATCHED_S = float(os.environ.get("WATCHED_S", "100"))


async def case(platform: Platform, trouble: bool) -> int:
    """Take back the only machine of a quiet hour; look whether an accepted job runs after it."""
    # "At times machines are up within a second or two."
    platform.boot_s = lambda build: 2.0
    platform.duration_s = lambda worker, piece: 20.0
    retrain = job(
        1,
        jobclass="model-retrain",
        crew="inspect-core-00",
        rank="best_effort",
        pieces=3,
        cpus=1.0,
        mem_gb=2.2,
        kit="img-01",
        size_gb=0.2,
        expect_s=40.0,
        due_s=600.0,
    )
    if trouble:
        for worker in platform.machines.values():
            platform.record(f"cloud: takes back {worker.host}, cheap, without notice")
            worker.vanish()
    await asyncio.sleep(1.0)
    await platform.submit(retrain)
    accepted_at = time.monotonic()
    next_poll = 0.0
    while time.monotonic() < accepted_at + WATCHED_S:
        await asyncio.sleep(0.2)
        if time.monotonic() >= next_poll:
            next_poll = time.monotonic() + 5.0
            if await platform.poll(retrain["uid"]) == "done":
                platform.record(f"{retrain['uid']} is done")
                return HELD
    if platform.rented or platform.attempts:
        platform.record("the job is late, but a machine was rented or a task started for it")
        return HELD
    platform.record(
        f"broken: {WATCHED_S:.0f} s after the job was accepted no task has started, and no rental"
        " request has reached the cloud, which has machines of every kind to give"
    )
    return BROKEN


if __name__ == "__main__":
    SITE = rajkot()
    SITE["machines"] = [("madhyam", "ahmedabad-east", True, 1)]
    sys.exit(run_case(HERE, SITE, case))
