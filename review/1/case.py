"""A task that failed once, on the only machine of its zone, is never tried again."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.sites import toowoomba
from review.standins import (
    BROKEN,
    HELD,
    CannotRunError,
    Piece,
    Platform,
    WaitCheck,
    Worker,
    job,
    run_case,
)

ZONE = "toowoomba-west"
BOUND_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"


async def case(platform: Platform, trouble: bool) -> int:
    """Let a zone-bound task fail once; look whether it is left waiting."""
    lookup = job(
        1,
        jobclass="family-lookup",
        crew="records-desk",
        rank="high",
        pieces=1,
        cpus=2.0,
        mem_gb=6.7,
        kit="img-01",
        size_gb=0.4,
        hall=ZONE,
        loaners=False,
        expect_s=5.0,
    )
    task = f"{lookup['uid']}/0"
    failures: list[float] = []

    def outcome(worker: Worker, piece: Piece) -> str:
        if trouble and piece.name == task and not failures:
            failures.append(time.monotonic())
            return "error"
        return "done"

    def duration_s(worker: Worker, piece: Piece) -> float:
        return 5.0 if piece.name == task else 30.0

    platform.outcome, platform.duration_s = outcome, duration_s

    async def bulk() -> None:
        """Keep the other zone at work, as on any day: register-ingest, 6 a minute."""
        number = 100
        while True:
            number += 1
            await platform.submit(
                job(
                    number,
                    jobclass="register-ingest",
                    crew="records-desk",
                    rank="standard",
                    pieces=4,
                    cpus=8.0,
                    mem_gb=18.0,
                    kit="img-02",
                    size_gb=0.8,
                    hall="brisbane-north",
                    expect_s=30.0,
                    due_s=300.0,
                )
            )
            await asyncio.sleep(10.0)

    platform.spawn(bulk())
    await platform.submit(lookup)
    check = WaitCheck(platform, task, lambda worker: worker.hall == ZONE and not worker.cheap)
    next_poll = 0.0
    while True:
        await asyncio.sleep(0.2)
        if time.monotonic() >= next_poll:
            next_poll = time.monotonic() + 5.0
            if await platform.poll(lookup["uid"]) == "done":
                platform.record(f"{lookup['uid']} is done")
                return HELD
        if trouble and not failures:
            if platform.record.now() > 40.0:
                raise CannotRunError("the task did not run")
            continue
        check.look()
        if check.longest_s > BOUND_S:
            tried = sum(name == task for _, name, _ in platform.attempts)
            platform.record(
                f"broken: {task} has waited for {check.longest_s:.1f} s while {check.room_on},"
                f" which fits, had room; attempts in all: {tried}"
            )
            return BROKEN


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, toowoomba(), case))
