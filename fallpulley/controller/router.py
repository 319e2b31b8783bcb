"""Routing of requests to their handlers, by path and method."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from fallpulley.controller.health import Health
from fallpulley.controller_context import ControllerContext
from fallpulley.effects import OperatorRequest, Request
from fallpulley.extensions import Extensions
from fallpulley.heartbeats.handler import HeartbeatHandler
from fallpulley.jobs.service import JobService

Handler = Callable[[Request, str], None]  # takes the request and the job id in its path

JOBS_PATH = "/work"
CANCEL_ACTION = "abort"


class Router:
    """Routes the requests of workers, users, the load balancer and operators."""

    def __init__(
        self,
        context: ControllerContext,
        health: Health,
        jobs: JobService,
        heartbeats: HeartbeatHandler,
        extensions: Extensions,
    ) -> None:
        self.context = context
        self.health = health
        self.jobs = jobs
        self.heartbeats = heartbeats
        self.extensions = extensions
        # Handlers by path and method; {id} in a path stands for a job id.
        self._routes: dict[str, dict[str, Handler]] = {
            "/checkin": {"POST": self._heartbeat},
            "/up": {"GET": self._health, "HEAD": self._health},
            JOBS_PATH: {"POST": self._submit},
            f"{JOBS_PATH}/{{id}}": {"GET": self._query},
            f"{JOBS_PATH}/{{id}}/{CANCEL_ACTION}": {"POST": self._cancel},
        }

    def handle(self, request: Request) -> None:
        """Pass a request to its handler, which responds at once or in a later step.

        A request without a handler gets status 404 or, if its path has others, 405.
        """
        path = request.path.partition("?")[0]
        job_id = ""
        if path.startswith(JOBS_PATH + "/"):
            job_id, _, action = path[len(JOBS_PATH) + 1 :].partition("/")
            path = f"{JOBS_PATH}/{{id}}" + (f"/{action}" if action else "")
        methods = self._routes.get(path)
        if methods is None:
            self.context.respond(request.pending_response, HTTPStatus.NOT_FOUND)
        elif request.method not in methods:
            self.context.respond(request.pending_response, HTTPStatus.METHOD_NOT_ALLOWED)
        else:
            methods[request.method](request, job_id)

    def handle_operator_request(self, request: OperatorRequest) -> None:
        """Pass an operator's request to the extension that serves its path, or respond with 404."""
        extension = self.extensions.for_operator_path(request.path.partition("?")[0])
        if extension is None:
            self.context.respond(request.pending_response, HTTPStatus.NOT_FOUND)
        else:
            extension.on_operator_request(request)

    def _heartbeat(self, request: Request, _: str) -> None:
        self.heartbeats.handle(request.pending_response, request.body)

    def _health(self, request: Request, _: str) -> None:
        healthy = self.health.is_healthy()
        status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
        self.context.respond(request.pending_response, status)

    def _submit(self, request: Request, _: str) -> None:
        self.jobs.submit(request.pending_response, request.body)

    def _query(self, request: Request, job_id: str) -> None:
        self.jobs.query(request.pending_response, job_id)

    def _cancel(self, request: Request, job_id: str) -> None:
        self.jobs.cancel(request.pending_response, job_id)
