"""`fallpulley shares show` and `fallpulley shares set`: asks controllers on the mesh address."""

from __future__ import annotations

import argparse
import sys
import time
import uuid

import anyio
import msgspec

from fallpulley.exit_codes import CONFLICT, FAILED, OK, REFUSED, UNREACHABLE, USAGE
from fallpulley.settings import split_address
from fallpulley.shares.messages import ErrorResponse, SetShares, Share, SharesResponse
from fallpulley.wire.client import Client

TIMEOUT_S = 5.0
POLL_S = 0.5
SOCKETS = 4


class UsageError(Exception):
    """What was typed can't be understood; the message says what was expected."""


def parse_share(text: str) -> tuple[str, Share]:
    """`LABEL=WEIGHT[:FLOOR[:CEILING]]`."""
    label, equals, numbers = text.partition("=")
    parts = numbers.split(":")
    if not label or not equals or not 1 <= len(parts) <= 3:
        raise UsageError(f"{text!r}: expected LABEL=WEIGHT[:FLOOR[:CEILING]]")
    try:
        values = [float(part) for part in parts]
    except ValueError:
        raise UsageError(f"{text!r}: weight, floor and ceiling are numbers") from None
    weight, floor, ceiling = [*values, 0.0, 0.0][:3]
    return label, Share(weight, floor, ceiling)


def parse_table(shares: list[str], teams: list[str]) -> dict[str, Share]:
    """The whole table from what was typed."""
    table = dict(parse_share(text) for text in shares)
    if len(table) < len(shares):
        raise UsageError("a controller stands twice")
    for text in teams:
        name, equals, label = text.partition("=")
        if not name or not equals or label not in table:
            raise UsageError(f"{text!r}: expected TEAM=LABEL, with a LABEL that has a share")
        share = table[label]
        table[label] = msgspec.structs.replace(share, teams=[*share.teams, name])
    return table


class Caller:
    """Asks one controller after the other until one answers."""

    def __init__(self, client: Client, addresses: list[str]) -> None:
        self.client = client
        self.addresses = addresses

    async def ask(self, method: str, body: bytes | None) -> tuple[int, bytes] | None:
        """Status and body of the first answer that is not `out of reach`; None: there is none."""
        last: tuple[int, bytes] | None = None
        for address in self.addresses:
            answer = await self._call(address, method, body)
            if answer is not None and answer[0] != 503:
                return answer
            last = answer or last
        return last

    async def _call(
        self, address: str, method: str, body: bytes | None
    ) -> tuple[int, bytes] | None:
        done = anyio.Event()
        found: list[tuple[int, bytes]] = []

        def answered(status: int | None, answer: bytes) -> None:
            if status is not None:
                found.append((status, answer))
            done.set()

        self.client.call(address, method, "/shares", body, TIMEOUT_S, answered)
        await done.wait()
        return found[0] if found else None


def _complain(text: str) -> None:
    print(f"fallpulley: {text}", file=sys.stderr)


def _failure(answer: tuple[int, bytes] | None) -> int:
    """Say why there is no table, and how to go on."""
    if answer is None:
        _complain("no controller answers: check the addresses given with --controller")
        return UNREACHABLE
    status, body = answer
    if status == 404:
        _complain("shares are off: set `[shares] enabled = true` and restart the controllers")
        return FAILED
    try:
        error = msgspec.json.decode(body, type=ErrorResponse)
    except msgspec.MsgspecError:
        _complain(f"the controller answered {status}")
        return FAILED
    if status == 409:
        _complain(f"conflict: {error.reason}; look again and repeat with --expect {error.revision}")
        return CONFLICT
    if status in (400, 422):
        _complain(f"refused: {error.reason}")
        return REFUSED
    _complain(f"{error.reason}; try again")
    return UNREACHABLE


def print_answer(answer: SharesResponse, as_json: bool) -> None:
    """The shares and the blocks, as tables or as JSON."""
    if as_json:
        print(msgspec.json.encode(answer).decode())
        return
    age = f"{answer.age_s:.1f} s"
    print(f"revision {answer.revision} by {answer.controller_id}, records of {age} ago")
    print(f"{'controller':<24} {'weight':>7} {'floor':>7} {'ceiling':>7}  teams")
    for label, share in answer.shares.items():
        ceiling = f"{share.ceiling:g}" if share.ceiling else "-"
        teams = ", ".join(share.teams) or "-"
        print(f"{label:<24} {share.weight:>7g} {share.floor:>7g} {ceiling:>7}  {teams}")
    print(f"{'block':<24} {'holder':<24} {'target':>7} {'has':>7} {'machines':>8}  state")
    for shard in answer.shards:
        draining = f", {shard.draining} draining" if shard.draining else ""
        target = "-" if shard.target is None else f"{shard.target:g}"
        print(
            f"{shard.shard_id:<24} {shard.owner or '-':<24} {target:>7} {shard.processors:>7g}"
            f" {shard.machines:>8}  {shard.state}{draining}"
        )


async def _run(options: argparse.Namespace, request: SetShares | None) -> int:
    async with anyio.create_task_group() as tasks:
        caller = Caller(Client(tasks, SOCKETS, options.controller), options.controller)
        if request is None:
            answer = await caller.ask("GET", None)
        else:
            answer = await caller.ask("POST", msgspec.json.encode(request))
        if answer is None or answer[0] != 200:
            tasks.cancel_scope.cancel()
            return _failure(answer)
        shown = msgspec.json.decode(answer[1], type=SharesResponse)
        shown, code = await _wait(caller, shown, getattr(options, "wait", 0.0))
        print_answer(shown, options.json)
        tasks.cancel_scope.cancel()
    return code


async def _wait(caller: Caller, shown: SharesResponse, wait_s: float) -> tuple[SharesResponse, int]:
    """Look again until the blocks match their shares, for so long."""
    if wait_s <= 0:
        return shown, OK
    until = time.monotonic() + wait_s
    while not shown.converged and time.monotonic() < until:
        await anyio.sleep(POLL_S)
        answer = await caller.ask("GET", None)
        if answer is not None and answer[0] == 200:
            shown = msgspec.json.decode(answer[1], type=SharesResponse)
    if shown.converged:
        return shown, OK
    states = ", ".join(f"{shard.shard_id}: {shard.state}" for shard in shown.shards)
    _complain(f"not there after {wait_s:g} s ({states})")
    return shown, FAILED


def run(options: argparse.Namespace) -> int:
    """Carry out the command; the exit code."""
    try:
        for address in options.controller:
            split_address(address)
        request = None
        if options.shares_command == "set":
            table = parse_table(options.shares, options.team)
            operation = options.operation or uuid.uuid4().hex
            request = SetShares(table, operation, options.expect)
    except (UsageError, ValueError) as error:
        _complain(str(error))
        return USAGE
    return anyio.run(_run, options, request, backend="asyncio")
