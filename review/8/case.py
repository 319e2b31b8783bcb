"""Two leaders, one after the other, send different rental requests under one name."""

import asyncio
from typing import Any

OPERATORS = "[shares]\nenabled = true\n"
FREEZE_S = 2.6
BACK_S = 5.0  # a controller that ended is back after this time
KIND = ("madhyam", "ahmedabad-east", False)
SPOT = ("madhyam", "ahmedabad-east", True)


def site(lab: Any) -> Any:
    return {**lab.RAJKOT_FLEET, "machines": {KIND: 6}, "capacity": {SPOT: 300}}


async def run(m: Any, lab: Any) -> None:
    await lab.healthy()
    teams = {label: f"inspect-core-{at:02d}" for at, label in enumerate(m.NODES)}
    table = {label: {"weight": 1.0, "teams": [team]} for label, team in teams.items()}
    port = lab.nodes[lab.leader()].mesh_port
    value = {"shares": table, "operation": "first"}
    lab.note("shares set", answer=await m.call(port, "POST", "/shares", value))
    await asyncio.sleep(6.0)
    number = 0

    async def jobs(count: Any, node: Any) -> None:
        nonlocal number
        for _ in range(count):
            number += 1
            await lab.submit(
                number, node=node, crew=teams[node], run_s=25.0, pieces=12, cpus=4.0, mem_gb=7.4
            )

    async def each_has_its_block() -> None:
        for _ in range(100):
            _, answer = await m.call(lab.nodes[lab.leader()].mesh_port, "GET", "/shares")
            blocks = (answer or {}).get("blocks", [])
            if len(blocks) == 3 and all(each["block"] == each["holder"] for each in blocks):
                return
            await asyncio.sleep(0.5)
        raise m.CannotRunError("a controller that came back did not get its block again")

    for count in (4, 4, 4):
        if lab.cloud.reused:
            break
        await each_has_its_block()
        old = lab.leader()
        claimed = asyncio.Event()

        def on_write(node: Any, changes: Any, old: Any = old, claimed: Any = claimed) -> None:
            for change in changes:
                if change.get("set") == "live/leader" and not claimed.is_set() and node != old:
                    lab.nodes[node].freeze()
                    claimed.set()

        if m.TROUBLE:
            lab.state.on_write = on_write
            lab.nodes[old].kill()
            await asyncio.wait_for(claimed.wait(), 15.0)
            new = lab.leader()
            thaw = asyncio.get_running_loop().call_later(FREEZE_S, lab.nodes[new].thaw)
            lab.state.on_write = None
            other = next(label for label in m.NODES if label not in (old, new))
            for _ in range(6):
                await jobs(count // 2, other)
                await asyncio.sleep(0.3)
            await asyncio.sleep(max(0.0, thaw.when() - asyncio.get_running_loop().time()))
            await asyncio.sleep(BACK_S - FREEZE_S)
            lab.nodes[old].start()
        else:
            await jobs(count, next(label for label in m.NODES if label != old))
        await asyncio.sleep(4.0)
    if lab.cloud.reused:
        lab.broken("request name reused", first=lab.cloud.reused[0])
