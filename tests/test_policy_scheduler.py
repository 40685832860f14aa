"""The scheduler of one engine: grants, refusals, loads and evictions, under a handed-in clock."""

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


def ask(name: str, number: int = 1, caller: str = "c", remaining: float = 60.0) -> GrantRequest:
    return GrantRequest(name, "entry", "e", target(number), caller, 0, remaining, 10)


def report(*loaded: tuple[int, int], incarnation: str = "i1", age_ms: float = 0.0) -> EngineReport:
    entries = tuple(LoadedAdapter(f"a{number}", "v1", running) for number, running in loaded)
    return EngineReport(incarnation, slots=2, max_batch=2, age_ms=age_ms, loaded=entries)


def scheduler(*loaded: tuple[int, int]) -> EngineScheduler:
    made = EngineScheduler("e", OPTS, 0.0, service="drafting")
    made.apply_report(report(*loaded), 0.0)
    return made


def granted(made: EngineScheduler, now: float) -> list[str]:
    return [each.dispatch_id for each in made.decide(now) if isinstance(each, Grant)]


def refused(made: EngineScheduler, now: float) -> dict[str, Reason]:
    return {each.dispatch_id: each.reason for each in made.decide(now) if isinstance(each, Refuse)}


def test_grants_what_is_loaded_while_places_are_free() -> None:
    made = scheduler((1, 0))
    for each in (ask("cold", 2), ask("r1"), ask("r2"), ask("r3")):
        assert made.submit(each, 0.0) is None
    assert granted(made, 0.0) == ["r1", "r2"]
    made.release("r1", 1.0)
    assert granted(made, 1.0) == ["r3"]


def test_callers_share_the_places() -> None:
    made = scheduler((1, 0))
    for name in ("m1", "m2", "m3"):
        made.submit(ask(name, caller="many"), 0.0)
    made.submit(ask("f1", caller="few"), 0.0)
    assert granted(made, 0.0) == ["m1", "f1"]


def _pin(made: EngineScheduler) -> None:
    made.submit(ask("r1", 1), 3.0)
    assert granted(made, 3.0) == ["r1"]


def _silent_asker(made: EngineScheduler) -> None:
    _pin(made)
    made.drop_requester("entry", 3.0)


def _running(made: EngineScheduler) -> None:
    made.apply_report(report((1, 1), (2, 0)), 3.0)


def _declared(made: EngineScheduler) -> None:
    made.adopt_pin("old", "peer", target(1), 60.0, 3.0)


def _awaited(made: EngineScheduler) -> None:
    made.submit(ask("r1", 2), 3.0)
    made.submit(ask("r2", 2), 3.0)
    made.submit(ask("r3", 1), 3.0)
    assert granted(made, 3.0) == ["r1", "r2"]


@pytest.mark.parametrize(
    ("use", "victim"),
    [(_pin, 2), (_silent_asker, 2), (_running, 2), (_declared, 2), (_awaited, None)],
)
def test_what_is_in_use_is_never_the_victim(
    use: Callable[[EngineScheduler], None], victim: int | None
) -> None:
    made = scheduler((1, 0), (2, 0))
    use(made)
    made.submit(ask("cold", 3), 3.0)
    bid = made.best_bid(3.0)
    assert (bid.victim if bid else None) == (target(victim) if victim else None)


def test_the_turn_is_checked_again_when_it_comes() -> None:
    made = scheduler((1, 0), (2, 0))
    made.submit(ask("cold", 3), 3.0)
    bid = made.best_bid(3.0)
    assert bid is not None
    made.submit(ask("r1", 1), 3.1)
    made.submit(ask("r2", 2), 3.1)
    assert granted(made, 3.1) == ["r1", "r2"]
    assert made.start_load(bid.target, 3.2) is None


def test_a_copy_just_loaded_stays() -> None:
    made = scheduler((1, 1))
    made.submit(ask("r2", 2), 10.0)
    assert made.start_load(target(2), 10.0) is not None
    made.finish_load(target(2), True, 10.5)
    assert granted(made, 10.5) == ["r2"]
    made.release("r2", 11.0)
    made.submit(ask("r3", 3), 11.0)
    assert made.best_bid(11.0) is None
    assert made.best_bid(13.0) is not None


def test_a_pin_without_release_ends_late_and_only_when_idle() -> None:
    made = scheduler((1, 0), (2, 1))
    made.submit(ask("r1", 1, remaining=5.0), 0.0)
    assert granted(made, 0.0) == ["r1"]
    made.submit(ask("cold", 3), 0.0)
    made.apply_report(report((1, 1), (2, 1)), 6.5)
    assert made.best_bid(6.5) is None
    made.apply_report(report((1, 0), (2, 1), age_ms=600.0), 6.5)
    assert made.best_bid(6.5) is None
    made.apply_report(report((1, 0), (2, 1)), 6.5)
    assert made.best_bid(6.5) is not None


def test_a_restart_forgets_slots_and_pins() -> None:
    made = scheduler((1, 0))
    made.submit(ask("r1"), 0.0)
    assert granted(made, 0.0) == ["r1"]
    made.apply_report(report(incarnation="i2"), 1.0)
    assert made.pins_of("entry") == []
    assert made.summary(1).loaded == ()


def test_an_old_report_does_not_undo_a_load() -> None:
    made = scheduler()
    made.submit(ask("r1"), 0.0)
    assert made.start_load(target(1), 0.0) is not None
    made.finish_load(target(1), True, 1.0)
    made.apply_report(report(age_ms=500.0), 1.2)
    assert granted(made, 1.2) == ["r1"]


def test_failed_loads_back_off_and_then_answer() -> None:
    made = scheduler()
    made.submit(ask("r1"), 0.0)
    for start in (0.0, 1.0):
        assert made.start_load(target(1), start) is not None
        made.finish_load(target(1), False, start + 0.1)
        assert made.best_bid(start + 0.1) is None
    assert refused(made, 1.1) == {"r1": Reason.LOAD_FAILED}
    again = made.submit(ask("r2"), 1.2)
    assert again is not None
    assert again.reason is Reason.LOAD_FAILED
    assert again.retry_after > 0.0


@pytest.mark.parametrize(
    ("asks", "last", "reason"),
    [
        (8, ask("last", 9, "other"), Reason.QUEUE_FULL),
        (4, ask("last", 9, "c"), Reason.FAIR_SHARE),
        (4, ask("last", 1, "other"), Reason.FAIR_SHARE),
        (0, ask("last", remaining=0.0), Reason.DEADLINE),
    ],
    ids=["queue", "caller", "adapter", "too-late"],
)
def test_refuses_at_once(asks: int, last: GrantRequest, reason: Reason) -> None:
    made = scheduler()
    for number in range(asks):
        spread = number >= 4
        each = ask(f"r{number}", number if spread else 1, f"c{number}" if spread else "c")
        assert made.submit(each, 0.0) is None
    refuse = made.submit(last, 0.0)
    assert refuse is not None
    assert refuse.reason is reason


def test_refuses_at_once_what_the_loads_ahead_leave_no_time_for() -> None:
    made = scheduler()
    for number in (1, 2, 3):
        assert made.submit(ask(f"r{number}", number), 0.0) is None
    assert made.start_load(target(1), 0.0) is not None
    made.finish_load(target(1), True, 2.0)
    refuse = made.submit(ask("late", 4, remaining=3.0), 2.0)
    assert refuse is not None
    assert refuse.reason is Reason.DEADLINE
    assert refuse.retry_after == pytest.approx(4.0)
    assert made.submit(ask("patient", 5, remaining=30.0), 2.0) is None
    assert made.submit(ask("together", 2, "other", remaining=3.0), 2.0) is None


def test_a_slow_spell_of_the_store_is_soon_forgotten() -> None:
    made = scheduler()
    made.submit(ask("r0", 1), 0.0)
    assert made.start_load(target(1), 0.0) is not None
    made.finish_load(target(1), True, 20.0)
    now = 20.0
    for number in range(2, 30):
        assert made.submit(ask(f"r{number}", number, remaining=5.0), now) is None
        granted(made, now)
        for each in range(number):
            made.release(f"r{each}", now)
        made.apply_report(report(), now)
        assert made.start_load(target(number), now) is not None
        made.finish_load(target(number), True, now + 0.5)
        now += 1.0
    made.submit(ask("first", 90), now)
    made.submit(ask("second", 91), now)
    assert made.submit(ask("third", 92, remaining=5.0), now) is None


@pytest.mark.parametrize(
    ("uses", "idle", "least", "most"),
    [(100, 0.0, 0.5, 1.1), (100, 50.0, 0.0, 0.02), (0, 0.0, 0.0, 0.0)],
    ids=["steady", "idle-bounds-it", "never-used"],
)
def test_rates(uses: int, idle: float, least: float, most: float) -> None:
    counts: DecayedCounts[str] = DecayedCounts(60.0, 10)
    for second in range(uses):
        counts.add("key", float(second))
    assert least <= counts.rate("key", max(0, uses - 1) + idle) <= most


def test_rates_keep_the_busiest_in_bounded_memory() -> None:
    counts: DecayedCounts[int] = DecayedCounts(60.0, 8)
    for key in range(100):
        counts.add(0, float(key))
        counts.add(key, float(key))
    assert counts.rate(0, 100.0) > counts.rate(99, 100.0) > 0.0
    assert counts.rate(50, 100.0) == 0.0
