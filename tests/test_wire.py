"""The server and the client on loopback: connections that are kept open, refused and closed."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from fallpulley.effects import Request
from fallpulley.wire.adaptive_limit import AdaptiveLimit
from fallpulley.wire.client import Client
from fallpulley.wire.server import Server, response_head


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


Scenario = Callable[["Echo", str, "Caller"], Awaitable[None]]


class Echo:
    """Responds to every request with its body, or holds requests back while `holding` is set."""

    def __init__(self) -> None:
        self.held_requests: list[Request] = []
        self.holding = False

    def on_request(self, request: Request) -> None:
        if self.holding:
            self.held_requests.append(request)
        else:
            request.pending_response(200, request.body, None)


class Caller:
    """Waits for the responses to a client's calls."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.client = Client(tasks)

    async def call(
        self, address: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int | None, bytes]:
        completed = anyio.Event()
        outcomes: list[tuple[int | None, bytes]] = []

        def on_completed(status: int | None, response: bytes) -> None:
            outcomes.append((status, response))
            completed.set()

        self.client.call(address, method, path, body, timeout_s, on_completed)
        await completed.wait()
        return outcomes[0]


async def send_raw(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        with anyio.move_on_after(2.0):
            return await stream.receive()
    return b""


def run(scenario: Scenario, limit: AdaptiveLimit | None = None, sockets: int = 50) -> None:
    async def main() -> None:
        echo, address = Echo(), free_address()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Server(address, echo.on_request, sockets, limit).run)
            await anyio.sleep(0.05)
            await scenario(echo, address, Caller(tasks))
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_requests_share_a_connection_and_malformed_ones_affect_no_other() -> None:
    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        for body in (b"one", b"two"):
            assert await client.call(address, "POST", "/work", body, 2.0) == (200, body)
        assert client.client.idle_connections.count(address) == 1
        for malformed in (
            b"nonsense\r\n\r\n",
            b"GET / HTTP/9\r\n\r\n",
            b"\x00" * 100 + b"\r\n\r\n",
        ):
            assert b" 4" in (await send_raw(address, malformed))[:14]
        long = b"x" * (64 * 1024 + 1)
        assert (await client.call(address, "POST", "/work", long, 2.0))[0] in (400, None)
        assert (await client.call(address, "POST", "/work", b"y" * 64 * 1024, 2.0))[0] == 200
        assert await client.call(address, "GET", "/up", None, 2.0) == (200, b"")

    run(scenario)


def test_missing_response_is_reported_as_an_unknown_outcome() -> None:
    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        echo.holding = True
        assert await client.call(address, "POST", "/txn", b"{}", 0.2) == (None, b"")
        assert await client.call(free_address(), "GET", "/up", None, 0.5) == (None, b"")

    run(scenario)


def test_requests_of_users_are_refused_beyond_the_limit_and_heartbeats_are_not() -> None:
    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        echo.holding = True
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(client.call, address, "GET", "/work/job-1", None, 1.0)
            await anyio.sleep(0.1)
            refused = await send_raw(address, b"GET /work/job-2 HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b" 503 " in refused and b"Retry-After: 1" in refused
            echo.holding = False
            assert (await client.call(address, "POST", "/checkin", b"{}", 1.0))[0] == 200
            assert (await client.call(address, "GET", "/up", None, 1.0))[0] == 200
            for request in echo.held_requests:
                request.pending_response(200, b"", None)

    run(scenario, AdaptiveLimit(min_limit=2, max_limit=2))


def test_connections_beyond_the_share_of_sockets_are_closed() -> None:
    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        host, port = address.split(":")
        idle = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
        await anyio.sleep(0.05)
        assert (await client.call(address, "GET", "/up", None, 1.0))[0] is None
        for stream in idle:
            await stream.aclose()
        await anyio.sleep(0.05)
        assert (await client.call(address, "GET", "/up", None, 1.0))[0] == 200

    run(scenario, sockets=3)


def test_calls_beyond_the_connection_limit_wait_and_idle_connections_are_closed() -> None:
    """Idle connections to hundreds of machines, kept for 20 s, took the heartbeats' sockets."""

    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        client.client.max_connections = 4
        max_open = 0
        statuses: list[int | None] = []

        async def call(to_address: str) -> None:
            nonlocal max_open
            statuses.append((await client.call(to_address, "POST", "/do", b"{}", 2.0))[0])
            max_open = max(max_open, len(client.client.open_connections))

        others = [free_address() for _ in range(3)]
        async with anyio.create_task_group() as servers:
            for other in others:
                servers.start_soon(Server(other, echo.on_request, 50).run)
            await anyio.sleep(0.05)
            for _ in range(2):
                async with anyio.create_task_group() as tasks:
                    for to_address in [address, *others] * 6:
                        tasks.start_soon(call, to_address)
            assert statuses == [200] * 48
            assert max_open <= 4
            # Calls to the state service never wait, even when no sockets are left.
            client.client.max_connections = 0
            client.client.priority_addresses = frozenset([others[0]])
            assert (await client.call(others[0], "GET", "/up", None, 1.0))[0] == 200
            servers.cancel_scope.cancel()

    run(scenario)


def test_machine_gets_a_response_when_idle_users_hold_all_other_sockets() -> None:
    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        host, port = address.split(":")
        users = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
        status_request = b"GET /work/job-1 HTTP/1.1\r\nHost: a\r\n\r\n"
        for stream in users:
            await stream.send(status_request)
            assert b"connection: close" not in (await stream.receive()).lower()
        machine = await anyio.connect_tcp(host, int(port))
        assert (await client.call(address, "POST", "/checkin", b"{}", 1.0))[0] == 200
        # At capacity, users get a response, and their connections are closed after it.
        await users[-1].send(status_request)
        assert b"connection: close" in (await users[-1].receive()).lower()
        for stream in [*users, machine]:
            await stream.aclose()

    run(scenario, sockets=4)


def test_every_heartbeat_is_answered_when_the_fleet_is_larger_than_the_sockets() -> None:
    """Idle connections of machines were never closed: all machines beyond them were refused."""

    async def scenario(echo: Echo, address: str, client: Caller) -> None:
        host, port = address.split(":")
        heartbeat = b"POST /checkin HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
        streams: dict[int, anyio.abc.SocketStream] = {}
        answered_count, closed_count = 0, 0
        for _ in range(3):
            for machine in range(10):
                for _ in range(2):  # sent again if the idle connection was reset
                    stream = streams.pop(machine, None)
                    if stream is None:
                        stream = await anyio.connect_tcp(host, int(port))
                    try:
                        await stream.send(heartbeat)
                        response = (await stream.receive()).lower()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        await stream.aclose()
                        continue
                    answered_count += b"200" in response
                    if b"connection: close" in response:
                        closed_count += 1
                        await stream.aclose()
                    else:
                        streams[machine] = stream
                    break
        assert answered_count == 30 and closed_count >= 10
        # A user's request takes no socket from a heartbeat in progress, and is answered too.
        assert (await client.call(address, "GET", "/work/job-1", None, 1.0))[0] == 200
        for stream in streams.values():
            await stream.aclose()

    run(scenario, sockets=4)


def test_repeated_response_heads_are_validated_once() -> None:
    # Hundreds of responses a second share a few heads; h11 validates each header of a new one.
    response_head.cache_clear()
    heads = {id(response_head(200, 24)) for _ in range(50)}
    assert len(heads) == 1 and response_head.cache_info().misses == 1
    assert response_head(503, 24, 1.0) is not response_head(200, 24)
    assert (b"retry-after", b"1") in list(response_head(503, 24, 0.2).headers)


def test_adaptive_limit_stays_high_when_responses_slow_down_from_20_ms_to_300_ms() -> None:
    # With a slow state service, responses took 0.3 s instead of 20 ms. That was above six times
    # the best time, and the limit fell to 8.
    limit = AdaptiveLimit(min_limit=8, max_limit=400)

    def serve(took_s: float, times: int) -> None:
        for _ in range(times):
            assert limit.enter()
            limit.leave(took_s)

    serve(0.02, 50)
    serve(0.3, 300)
    assert limit.limit >= 64
    serve(3.0, 300)
    assert limit.limit < 16
    serve(0.3, 100)
    while limit.enter(query=True):
        pass
    assert limit.enter()  # a submission is accepted when queries are refused already
