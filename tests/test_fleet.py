"""Back-off after refused offers, smoothing of the demand for machines, and the machine list."""

from __future__ import annotations

from http import HTTPStatus

import msgspec
import pytest

from fallpulley.cloud.offer import Offer
from fallpulley.controller_context import ControllerContext
from fallpulley.effects import HttpCall, Response
from fallpulley.fleet.cloud import CloudClient
from fallpulley.fleet.demand_group import DemandGroup
from fallpulley.fleet.machine_list import MachineListReader
from fallpulley.fleet.refusals import RefusedOffers
from fallpulley.fleet.smoothing import DemandSmoother
from fallpulley.placement.eligibility import ANY_MACHINE
from tests.simulated_cluster import controller_settings

OFFER = Offer("box", "a", True)


def test_back_off_of_a_refused_offer_grows_up_to_a_bound() -> None:
    refused = RefusedOffers()
    assert refused.on_refused(OFFER, 40.0, 0.0) == 10.0
    assert refused.current(9.9) == {OFFER} and refused.current(10.0) == set()
    assert refused.on_refused(OFFER, 40.0, 20.0) == 16.0
    assert refused.on_refused(OFFER, 40.0, 40.0) == 16.0
    refused.on_filled(OFFER)
    assert refused.current(40.0) == set()
    assert refused.on_refused(OFFER, 40.0, 60.0) == 10.0


def test_ended_demand_is_counted_for_about_a_boot_time() -> None:
    smoother = DemandSmoother()
    smoother.smooth("s", [DemandGroup(ANY_MACHINE, 100.0, 4.0)], 10.0, 40.0)
    (recent,) = smoother.smooth("s", [], 10.0, 40.0)
    assert recent.work == pytest.approx(75.0) and recent.eligible.allow_spot
    assert smoother.smooth("other", [], 10.0, 40.0) == []
    assert smoother.smooth("s", [], 40.0, 40.0) == []


def test_sudden_demand_counts_in_part_until_it_lasts() -> None:
    smoother = DemandSmoother()
    smoother.smooth("s", [DemandGroup(ANY_MACHINE, 0.0, 4.0)], 10.0, 40.0)
    (sudden,) = smoother.smooth("s", [DemandGroup(ANY_MACHINE, 100.0, 4.0)], 10.0, 40.0)
    assert sudden.work == pytest.approx(60.0)
    (lasting,) = smoother.smooth("s", [DemandGroup(ANY_MACHINE, 100.0, 4.0)], 40.0, 40.0)
    assert lasting.work == pytest.approx(100.0)


def listed_page(first: int, has_next: bool) -> Response:
    traits = {"addr": "", "build": "box", "hall": "a", "loaners": False, "stage": "running"}
    hosts = [traits | {"uid": f"vm-{number:06d}"} for number in range(first, first + 3)]
    body = msgspec.json.encode({"hosts": hosts, "has_next": has_next})
    return Response(HTTPStatus.OK, body, 0.0)


def test_page_of_an_aborted_machine_list_does_not_join_the_next_list() -> None:
    """Guards against a list that is published as complete with the last machines alone."""
    context = ControllerContext(controller_settings("node-0"), "boot", lambda: 0.0)
    published: list[int] = []
    reader = MachineListReader(
        context, CloudClient(context), lambda: published.append(len(reader.machines))
    )

    def next_call() -> HttpCall:
        context.now += 30.0
        reader.cloud.budget.refill(context.now)
        context.outbox.clear()
        reader.tick()
        (call,) = context.outbox
        assert isinstance(call, HttpCall)
        return call

    next_call().on_response(listed_page(1, has_next=True))
    page_of_aborted_list = next_call()
    reader.abort()
    first_page = next_call()
    page_of_aborted_list.on_response(listed_page(4, has_next=False))
    assert published == []
    first_page.on_response(listed_page(1, has_next=True))
    next_call().on_response(listed_page(4, has_next=False))
    assert published == [6]
