"""Back-off after refused offers, and smoothing of the demand for machines."""

from __future__ import annotations

import pytest

from fallpulley.cloud.offer import Offer
from fallpulley.fleet.refusals import RefusedOffers
from fallpulley.fleet.sizing import DemandGroup
from fallpulley.fleet.smoothing import DemandSmoother

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
    smoother.smooth("s", [DemandGroup(True, None, None, 100.0, 4.0)], 10.0, 40.0)
    (recent,) = smoother.smooth("s", [], 10.0, 40.0)
    assert recent.work == pytest.approx(75.0) and recent.allow_spot
    assert smoother.smooth("other", [], 10.0, 40.0) == []
    assert smoother.smooth("s", [], 40.0, 40.0) == []


def test_sudden_demand_counts_in_part_until_it_lasts() -> None:
    smoother = DemandSmoother()
    smoother.smooth("s", [DemandGroup(True, None, None, 0.0, 4.0)], 10.0, 40.0)
    (sudden,) = smoother.smooth("s", [DemandGroup(True, None, None, 100.0, 4.0)], 10.0, 40.0)
    assert sudden.work == pytest.approx(60.0)
    (lasting,) = smoother.smooth("s", [DemandGroup(True, None, None, 100.0, 4.0)], 40.0, 40.0)
    assert lasting.work == pytest.approx(100.0)
