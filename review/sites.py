"""The two small deployments of the brief, as settings and machines of the stand-ins."""

from __future__ import annotations

from typing import Any


def _team(name: str) -> dict[str, Any]:
    return {"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}


def _build(
    label: str,
    cpus: float,
    mem_gb: float,
    cache_gb: float,
    fetch: float,
    price: float,
    cheap: float,
    startup_s: float,
    halls: list[str],
) -> dict[str, Any]:
    return {
        "label": label,
        "cpus": cpus,
        "cards": 0.0,
        "mem_gb": mem_gb,
        "cache_gb": cache_gb,
        "fetch_gb_per_s": fetch,
        "hourly": price,
        "spot_price": cheap,
        "startup_s": startup_s,
        "halls": halls,
    }


def rajkot() -> dict[str, Any]:
    """Return Rajkot Line Inspection Photo Cluster (brief, rajkot-lineqc)."""
    return {
        "builds": [
            _build("chhota", 8.0, 32.0, 40.0, 0.8, 0.35, 0.11, 30.0, ["ahmedabad-east"]),
            _build("madhyam", 16.0, 64.0, 25.0, 0.25, 0.73, 0.2, 30.0, ["ahmedabad-east"]),
            _build("bhari", 32.0, 256.0, 80.0, 0.2, 1.68, 0.45, 50.0, ["vadodara-dc"]),
        ],
        "capacity": {
            ("chhota", "ahmedabad-east"): {"count": 6, "spot": 11},
            ("madhyam", "ahmedabad-east"): {"count": 7, "spot": 7},
            ("bhari", "vadodara-dc"): {"count": 3, "spot": 6},
        },
        "machines": [
            ("chhota", "ahmedabad-east", False, 5),
            ("madhyam", "ahmedabad-east", False, 6),
            ("bhari", "vadodara-dc", False, 3),
        ],
        "facts": {
            "nodes": 3,
            "zones": ["ahmedabad-east", "vadodara-dc"],
            "skew_ms": 100.0,
            "teams": [_team(f"inspect-core-{number:02d}") for number in range(16)],
            "objectives": [
                {"kind": "wait", "class": "urgent-recheck", "within_s": 6.0, "share": 0.92},
                {"kind": "finished", "class": "urgent-recheck", "within_s": 60.0, "share": 0.92},
                {"kind": "finished", "class": "shift-sweep", "within_s": 70.0, "share": 0.85},
                {"kind": "finished", "class": "shift-sweep", "within_s": 120.0, "share": 0.96},
                {"kind": "deadline", "class": "model-retrain", "share": 0.85, "times": 1.0},
            ],
            "workers": {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 40.0},
            "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 3.0},
            "machine_limits": {"core_share": 0.54, "memory_mb": 186.0, "sockets": 1200},
        },
    }


def toowoomba() -> dict[str, Any]:
    """Return Toowoomba Family Records Transcription Cluster (brief, toowoomba-registry)."""
    return {
        "builds": [
            _build(
                "gum-node",
                16.0,
                64.0,
                50.0,
                0.4,
                0.61,
                0.2,
                40.0,
                ["brisbane-north", "toowoomba-west"],
            ),
        ],
        "capacity": {
            ("gum-node", "brisbane-north"): {"count": 3, "spot": 23},
            ("gum-node", "toowoomba-west"): {"count": 3, "spot": 19},
        },
        "machines": [
            ("gum-node", "brisbane-north", False, 1),
            ("gum-node", "toowoomba-west", False, 1),
        ],
        "facts": {
            "nodes": 3,
            "zones": ["brisbane-north", "toowoomba-west"],
            "skew_ms": 5.0,
            "teams": [_team("records-desk")],
            "objectives": [
                {"kind": "wait", "class": "family-lookup", "within_s": 10.0, "share": 0.975},
                {"kind": "wait", "class": "family-lookup", "within_s": 50.0, "share": 0.98},
                {"kind": "finished", "class": "family-lookup", "within_s": 60.0, "share": 0.98},
                {"kind": "deadline", "class": "register-ingest", "share": 0.8, "times": 1.0},
                {"kind": "deadline", "class": "register-ingest", "share": 0.975, "times": 1.5},
            ],
            "workers": {"report_s": 3.0, "lease_s": 20.0, "cancel_s": 50.0},
            "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 32.0, "txn_ops": 32},
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "machine_limits": {"core_share": 0.18, "memory_mb": 266.0, "sockets": 1500},
        },
    }
