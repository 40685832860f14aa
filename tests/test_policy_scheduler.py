"""The scheduler of one engine: grants, refusals, loads and evictions, with a simulated clock."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from wigeonarch_core.decisions import Grant, Refuse
from wigeonarch_core.engine_report import EngineReport, LoadedAdapter
from wigeonarch_core.messages import GrantRequest
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.rates import DecayedCounts
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.scheduler import EngineScheduler

OPTS = PolicyOptions(thrash_guard=2.0, queue_limit=8, load_attempts=2, pin_margin=1.0)


def target(number: int) -> AdapterVersion:
    return AdapterVersion("drafting", f"a{number}", "v1")


def grant_request(
    name: str, number: int = 1, caller: str = "c", remaining: float = 60.0
) -> GrantRequest:
    return GrantRequest(name, "entry", "e", target(number), caller, 0, remaining, 10)


def report(*loaded: tuple[int, int], incarnation: str = "i1", age_ms: float = 0.0) -> EngineReport:
    entries = tuple(LoadedAdapter(f"a{number}", "v1", running) for number, running in loaded)
    return EngineReport(incarnation, slots=2, max_batch=2, age_ms=age_ms, loaded=entries)


def make_scheduler(*loaded: tuple[int, int]) -> EngineScheduler:
    scheduler = EngineScheduler("e", OPTS, 0.0, service="drafting")
    scheduler.apply_report(report(*loaded), 0.0)
    return scheduler


def granted(scheduler: EngineScheduler, now: float) -> list[str]:
    return [each.dispatch_id for each in scheduler.decide(now) if isinstance(each, Grant)]


def refused(scheduler: EngineScheduler, now: float) -> dict[str, Reason]:
    return {
        each.dispatch_id: each.reason for each in scheduler.decide(now) if isinstance(each, Refuse)
    }


def test_requests_for_loaded_adapters_are_granted_while_batch_places_are_free() -> None:
    scheduler = make_scheduler((1, 0))
    for each in (
        grant_request("cold", 2),
        grant_request("r1"),
        grant_request("r2"),
        grant_request("r3"),
    ):
        assert scheduler.submit(each, 0.0) is None
    assert granted(scheduler, 0.0) == ["r1", "r2"]
    scheduler.release("r1", 1.0)
    assert granted(scheduler, 1.0) == ["r3"]


def test_callers_share_the_batch_places() -> None:
    scheduler = make_scheduler((1, 0))
    for name in ("m1", "m2", "m3"):
        scheduler.submit(grant_request(name, caller="many"), 0.0)
    scheduler.submit(grant_request("f1", caller="few"), 0.0)
    assert granted(scheduler, 0.0) == ["m1", "f1"]


def _pin(scheduler: EngineScheduler) -> None:
    scheduler.submit(grant_request("r1", 1), 3.0)
    assert granted(scheduler, 3.0) == ["r1"]


def _silent_requester(scheduler: EngineScheduler) -> None:
    _pin(scheduler)
    scheduler.drop_requester("entry", 3.0)


def _running(scheduler: EngineScheduler) -> None:
    scheduler.apply_report(report((1, 1), (2, 0)), 3.0)


def _declared(scheduler: EngineScheduler) -> None:
    scheduler.adopt_pin("old", "peer", target(1), 60.0, 3.0)


def _waited_for(scheduler: EngineScheduler) -> None:
    scheduler.submit(grant_request("r1", 2), 3.0)
    scheduler.submit(grant_request("r2", 2), 3.0)
    scheduler.submit(grant_request("r3", 1), 3.0)
    assert granted(scheduler, 3.0) == ["r1", "r2"]


@pytest.mark.parametrize(
    ("use", "victim"),
    [(_pin, 2), (_silent_requester, 2), (_running, 2), (_declared, 2), (_waited_for, None)],
)
def test_an_adapter_in_use_is_never_evicted(
    use: Callable[[EngineScheduler], None], victim: int | None
) -> None:
    scheduler = make_scheduler((1, 0), (2, 0))
    use(scheduler)
    scheduler.submit(grant_request("cold", 3), 3.0)
    bid = scheduler.best_bid(3.0)
    assert (bid.victim if bid else None) == (target(victim) if victim else None)


def test_a_load_is_checked_again_when_its_permit_arrives() -> None:
    scheduler = make_scheduler((1, 0), (2, 0))
    scheduler.submit(grant_request("cold", 3), 3.0)
    bid = scheduler.best_bid(3.0)
    assert bid is not None
    scheduler.submit(grant_request("r1", 1), 3.1)
    scheduler.submit(grant_request("r2", 2), 3.1)
    assert granted(scheduler, 3.1) == ["r1", "r2"]
    assert scheduler.start_load(bid.target, 3.2) is None


def test_a_new_copy_is_not_evicted_at_once() -> None:
    scheduler = make_scheduler((1, 1))
    scheduler.submit(grant_request("r2", 2), 10.0)
    assert scheduler.start_load(target(2), 10.0) is not None
    scheduler.finish_load(target(2), True, 10.5)
    assert granted(scheduler, 10.5) == ["r2"]
    scheduler.release("r2", 11.0)
    scheduler.submit(grant_request("r3", 3), 11.0)
    assert scheduler.best_bid(11.0) is None
    assert scheduler.best_bid(13.0) is not None


def test_an_unreleased_pin_ends_only_when_overdue_and_idle() -> None:
    scheduler = make_scheduler((1, 0), (2, 1))
    scheduler.submit(grant_request("r1", 1, remaining=5.0), 0.0)
    assert granted(scheduler, 0.0) == ["r1"]
    scheduler.submit(grant_request("cold", 3), 0.0)
    scheduler.apply_report(report((1, 1), (2, 1)), 6.5)
    assert scheduler.best_bid(6.5) is None
    scheduler.apply_report(report((1, 0), (2, 1), age_ms=600.0), 6.5)
    assert scheduler.best_bid(6.5) is None
    scheduler.apply_report(report((1, 0), (2, 1)), 6.5)
    assert scheduler.best_bid(6.5) is not None


def test_a_restart_of_the_engine_clears_slots_and_pins() -> None:
    scheduler = make_scheduler((1, 0))
    scheduler.submit(grant_request("r1"), 0.0)
    assert granted(scheduler, 0.0) == ["r1"]
    scheduler.apply_report(report(incarnation="i2"), 1.0)
    assert scheduler.pins_of("entry") == []
    assert scheduler.summary(1).loaded == ()


def test_an_old_report_does_not_undo_a_load() -> None:
    scheduler = make_scheduler()
    scheduler.submit(grant_request("r1"), 0.0)
    assert scheduler.start_load(target(1), 0.0) is not None
    scheduler.finish_load(target(1), True, 1.0)
    scheduler.apply_report(report(age_ms=500.0), 1.2)
    assert granted(scheduler, 1.2) == ["r1"]


def test_failed_loads_back_off_and_then_refuse_requests() -> None:
    scheduler = make_scheduler()
    scheduler.submit(grant_request("r1"), 0.0)
    for start in (0.0, 1.0):
        assert scheduler.start_load(target(1), start) is not None
        scheduler.finish_load(target(1), False, start + 0.1)
        assert scheduler.best_bid(start + 0.1) is None
    assert refused(scheduler, 1.1) == {"r1": Reason.LOAD_FAILED}
    again = scheduler.submit(grant_request("r2"), 1.2)
    assert again is not None
    assert again.reason is Reason.LOAD_FAILED
    assert again.retry_after > 0.0


@pytest.mark.parametrize(
    ("waiting", "last", "reason"),
    [
        (8, grant_request("last", 9, "other"), Reason.QUEUE_FULL),
        (4, grant_request("last", 9, "c"), Reason.FAIR_SHARE),
        (4, grant_request("last", 1, "other"), Reason.FAIR_SHARE),
        (0, grant_request("last", remaining=0.0), Reason.DEADLINE),
    ],
    ids=["queue", "caller", "adapter", "too-late"],
)
def test_requests_are_refused_at_once(waiting: int, last: GrantRequest, reason: Reason) -> None:
    scheduler = make_scheduler()
    for number in range(waiting):
        spread = number >= 4
        each = grant_request(f"r{number}", number if spread else 1, f"c{number}" if spread else "c")
        assert scheduler.submit(each, 0.0) is None
    refuse = scheduler.submit(last, 0.0)
    assert refuse is not None
    assert refuse.reason is reason


def test_requests_are_refused_if_the_loads_ahead_take_too_long() -> None:
    scheduler = make_scheduler()
    for number in (1, 2, 3):
        assert scheduler.submit(grant_request(f"r{number}", number), 0.0) is None
    assert scheduler.start_load(target(1), 0.0) is not None
    scheduler.finish_load(target(1), True, 2.0)
    refuse = scheduler.submit(grant_request("late", 4, remaining=3.0), 2.0)
    assert refuse is not None
    assert refuse.reason is Reason.DEADLINE
    assert refuse.retry_after == pytest.approx(4.0)
    assert scheduler.submit(grant_request("patient", 5, remaining=30.0), 2.0) is None
    assert scheduler.submit(grant_request("together", 2, "other", remaining=3.0), 2.0) is None


def test_a_slow_period_of_the_store_is_soon_forgotten() -> None:
    scheduler = make_scheduler()
    scheduler.submit(grant_request("r0", 1), 0.0)
    assert scheduler.start_load(target(1), 0.0) is not None
    scheduler.finish_load(target(1), True, 20.0)
    now = 20.0
    for number in range(2, 30):
        assert scheduler.submit(grant_request(f"r{number}", number, remaining=5.0), now) is None
        granted(scheduler, now)
        for each in range(number):
            scheduler.release(f"r{each}", now)
        scheduler.apply_report(report(), now)
        assert scheduler.start_load(target(number), now) is not None
        scheduler.finish_load(target(number), True, now + 0.5)
        now += 1.0
    scheduler.submit(grant_request("first", 90), now)
    scheduler.submit(grant_request("second", 91), now)
    assert scheduler.submit(grant_request("third", 92, remaining=5.0), now) is None


@pytest.mark.parametrize(
    ("uses", "idle", "least", "most"),
    [(100, 0.0, 0.5, 1.1), (100, 50.0, 0.0, 0.02), (0, 0.0, 0.0, 0.0)],
    ids=["steady", "idle-bounds-it", "never-used"],
)
def test_rate_estimates(uses: int, idle: float, least: float, most: float) -> None:
    counts: DecayedCounts[str] = DecayedCounts(60.0, 10)
    for second in range(uses):
        counts.add("key", float(second))
    assert least <= counts.rate("key", max(0, uses - 1) + idle) <= most


def test_rates_of_the_busiest_keys_are_kept_in_bounded_memory() -> None:
    counts: DecayedCounts[int] = DecayedCounts(60.0, 8)
    for key in range(100):
        counts.add(0, float(key))
        counts.add(key, float(key))
    assert counts.rate(0, 100.0) > counts.rate(99, 100.0) > 0.0
    assert counts.rate(50, 100.0) == 0.0
