"""The commands `fallpulley shares show` and `fallpulley shares set`.

They send requests to the mesh addresses of controllers.
"""

from __future__ import annotations

import argparse
import sys
import time
import uuid
from http import HTTPStatus
from typing import NamedTuple

import anyio
import msgspec

from fallpulley.exit_codes import ExitCode
from fallpulley.settings import split_address
from fallpulley.shares.messages import ErrorResponse, SetShares, Share, SharesResponse
from fallpulley.wire.client import Client

REQUEST_TIMEOUT_SECONDS = 5.0  # for the request to each controller
POLL_INTERVAL_SECONDS = 0.5  # between requests of `shares set --wait`
MAX_SOCKETS = 4  # open at the same time


# -- command-line arguments ----------------------------------------------------------------------


class UsageError(Exception):
    """Raised for invalid command-line arguments; the message says what was expected."""


def parse_share(text: str) -> tuple[str, Share]:
    """Parse `LABEL=WEIGHT[:FLOOR[:CEILING]]` into a controller id and its share.

    Raises:
        UsageError: The text has another form.
    """
    controller_id, equals, numbers = text.partition("=")
    parts = numbers.split(":")
    if not controller_id or not equals or not 1 <= len(parts) <= 3:
        raise UsageError(f"{text!r}: expected LABEL=WEIGHT[:FLOOR[:CEILING]]")
    try:
        values = [float(part) for part in parts]
    except ValueError:
        raise UsageError(f"{text!r}: weight, floor and ceiling must be numbers") from None
    weight, floor, ceiling = [*values, 0.0, 0.0][:3]
    return controller_id, Share(weight, floor, ceiling)


def parse_table(shares: list[str], teams: list[str]) -> dict[str, Share]:
    """Parse the whole table of shares.

    Args:
        shares: Texts of the form `LABEL=WEIGHT[:FLOOR[:CEILING]]`.
        teams: Texts of the form `TEAM=LABEL`.

    Raises:
        UsageError: A text is invalid, or a controller has two shares.
    """
    table = dict(parse_share(text) for text in shares)
    if len(table) < len(shares):
        raise UsageError("a controller has more than one share")
    for text in teams:
        team, equals, controller_id = text.partition("=")
        if not team or not equals or controller_id not in table:
            raise UsageError(f"{text!r}: expected TEAM=LABEL, with a LABEL that has a share")
        share = table[controller_id]
        table[controller_id] = msgspec.structs.replace(share, teams=[*share.teams, team])
    return table


def _parse_request(options: argparse.Namespace) -> SetShares | None:
    """Build the request for `shares set`; None for `shares show`.

    Raises:
        UsageError: A share or a team is invalid.
        ValueError: The address of a controller is invalid.
    """
    for address in options.controller:
        split_address(address)
    if options.shares_command != "set":
        return None
    table = parse_table(options.shares, options.team)
    operation = options.operation or uuid.uuid4().hex
    return SetShares(table, operation, options.expect)


# -- requests to controllers ---------------------------------------------------------------------


class ControllerResponse(NamedTuple):
    """The HTTP status and the body of a controller's response."""

    status: int
    body: bytes


class SharesClient:
    """Sends each request to the controllers in turn until one of them can handle it."""

    def __init__(self, client: Client, addresses: list[str]) -> None:
        self._client = client
        self._addresses = addresses

    async def get(self) -> ControllerResponse | None:
        """Request the present shares; None if no controller responds."""
        return await self._request("GET", None)

    async def set(self, request: SetShares) -> ControllerResponse | None:
        """Replace the table of shares; None if no controller responds."""
        return await self._request("POST", msgspec.json.encode(request))

    async def _request(self, method: str, body: bytes | None) -> ControllerResponse | None:
        """Return the first response other than `unavailable`, else the last; None without any."""
        last: ControllerResponse | None = None
        for address in self._addresses:
            response = await self._call(address, method, body)
            if response is not None and response.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return response
            last = response or last
        return last

    async def _call(
        self, address: str, method: str, body: bytes | None
    ) -> ControllerResponse | None:
        completed = anyio.Event()
        response: ControllerResponse | None = None

        def on_response(status: int | None, response_body: bytes) -> None:
            nonlocal response
            if status is not None:
                response = ControllerResponse(status, response_body)
            completed.set()

        self._client.call(address, method, "/shares", body, REQUEST_TIMEOUT_SECONDS, on_response)
        await completed.wait()
        return response


# -- output --------------------------------------------------------------------------------------


def _print_error(text: str) -> None:
    print(f"fallpulley: {text}", file=sys.stderr)


def _print_failure(response: ControllerResponse | None) -> ExitCode:
    """Print why the request failed and what to do, and return the exit code."""
    if response is None:
        _print_error("no controller responded: check the addresses given with --controller")
        return ExitCode.UNREACHABLE
    if response.status == HTTPStatus.NOT_FOUND:
        _print_error(
            "shares are disabled: set `[shares] enabled = true` and restart the controllers"
        )
        return ExitCode.FAILED
    try:
        error = msgspec.json.decode(response.body, type=ErrorResponse)
    except msgspec.MsgspecError:
        _print_error(f"controller responded with HTTP status {response.status}")
        return ExitCode.FAILED
    if response.status == HTTPStatus.CONFLICT:
        advice = f"check the present shares, then repeat with --expect {error.revision}"
        _print_error(f"conflict: {error.reason}; {advice}")
        return ExitCode.CONFLICT
    if response.status in (HTTPStatus.BAD_REQUEST, HTTPStatus.UNPROCESSABLE_ENTITY):
        _print_error(f"refused: {error.reason}")
        return ExitCode.REFUSED
    _print_error(f"{error.reason}; try again")
    return ExitCode.UNREACHABLE


def print_shares(response: SharesResponse, as_json: bool) -> None:
    """Print the shares and the shards, as tables or as JSON."""
    if as_json:
        print(msgspec.json.encode(response).decode())
        return
    age = f"{response.age_s:.1f} s"
    print(f"revision {response.revision} by {response.controller_id}, records of {age} ago")
    _print_table_of_shares(response)
    _print_table_of_shards(response)


def _print_table_of_shares(response: SharesResponse) -> None:
    print(f"{'controller':<24} {'weight':>7} {'floor':>7} {'ceiling':>7}  teams")
    for controller_id, share in response.shares.items():
        ceiling = f"{share.ceiling:g}" if share.ceiling else "-"
        teams = ", ".join(share.teams) or "-"
        print(f"{controller_id:<24} {share.weight:>7g} {share.floor:>7g} {ceiling:>7}  {teams}")


def _print_table_of_shards(response: SharesResponse) -> None:
    print(f"{'block':<24} {'holder':<24} {'target':>7} {'has':>7} {'machines':>8}  state")
    for shard in response.shards:
        draining = f", {shard.draining} draining" if shard.draining else ""
        target = "-" if shard.target is None else f"{shard.target:g}"
        print(
            f"{shard.shard_id:<24} {shard.owner or '-':<24} {target:>7} {shard.processors:>7g}"
            f" {shard.machines:>8}  {shard.state}{draining}"
        )


# -- command -------------------------------------------------------------------------------------


async def _run(options: argparse.Namespace, request: SetShares | None) -> ExitCode:
    async with anyio.create_task_group() as tasks:
        client = SharesClient(Client(tasks, MAX_SOCKETS, options.controller), options.controller)
        response = await (client.get() if request is None else client.set(request))
        if response is None or response.status != HTTPStatus.OK:
            tasks.cancel_scope.cancel()
            return _print_failure(response)
        shares = msgspec.json.decode(response.body, type=SharesResponse)
        wait_s = getattr(options, "wait", 0.0)
        if wait_s > 0:
            shares = await _wait_until_converged(client, shares, wait_s)
        timed_out = wait_s > 0 and not shares.converged
        if timed_out:
            states = ", ".join(f"{shard.shard_id}: {shard.state}" for shard in shares.shards)
            _print_error(f"shares not reached after {wait_s:g} s ({states})")
        print_shares(shares, options.json)
        tasks.cancel_scope.cancel()
    return ExitCode.FAILED if timed_out else ExitCode.OK


async def _wait_until_converged(
    client: SharesClient, shares: SharesResponse, wait_s: float
) -> SharesResponse:
    """Poll for up to `wait_s` seconds until the shards match their shares.

    Returns the last successful response.
    """
    deadline = time.monotonic() + wait_s
    while not shares.converged and time.monotonic() < deadline:
        await anyio.sleep(POLL_INTERVAL_SECONDS)
        response = await client.get()
        if response is not None and response.status == HTTPStatus.OK:
            shares = msgspec.json.decode(response.body, type=SharesResponse)
    return shares


def run(options: argparse.Namespace) -> ExitCode:
    """Run `shares show` or `shares set`, and return the exit code."""
    try:
        request = _parse_request(options)
    except (UsageError, ValueError) as error:
        _print_error(str(error))
        return ExitCode.USAGE
    return anyio.run(_run, options, request, backend="asyncio")
