"""Who goes when a process holds too much for its callers, and who is let in."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from wigeonarch_runtime.caller_memory import LARGE_SHARE, SMALL_BYTES, CallerMemory, Holding

KB = 1024
LIMIT = 1024 * KB


@dataclass
class Callers:
    """Callers by name; `ended` lists those that were ended, in order."""

    memory: CallerMemory = field(default_factory=lambda: CallerMemory(lambda: LIMIT))
    holdings: dict[str, Holding] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)

    def hold(self, name: str, size: int, since: float, now: float) -> None:
        """Lets a caller hold something, from a time on."""
        if name not in self.holdings:
            self.holdings[name] = self.memory.open(lambda: self.ended.append(name), since)
        self.memory.set_held(self.holdings[name], size, now)


@pytest.mark.parametrize(
    ("held", "newest", "ended"),
    [
        pytest.param({"a": (500, 0.0), "b": (500, 0.0)}, 24, [], id="all_of_the_limit"),
        pytest.param({"old": (600, 0.0), "new": (400, 9.0)}, 100, ["old"], id="large_and_old"),
        pytest.param({"large": (900, 9.0), "small": (100, 5.0)}, 100, ["large"], id="larger"),
        pytest.param({"slow": (300, 0.0), "fast": (700, 9.9)}, 100, ["slow"], id="slower"),
        pytest.param({}, 1025, ["newest"], id="alone_over_the_limit"),
        pytest.param({"a": (500, 0.0), "b": (500, 1.0)}, 900, ["a", "b"], id="as_many_as_it_takes"),
    ],
)
def test_large_ones_that_last_go_first(
    held: dict[str, tuple[int, float]], newest: int, ended: list[str]
) -> None:
    callers = Callers()
    for name, (size, since) in held.items():
        callers.hold(name, size * KB, since, since)
    callers.hold("newest", newest * KB, 10.0, 10.0)
    assert callers.ended == ended
    assert callers.memory.held <= LIMIT


def test_request_that_may_have_run_is_not_ended_though_it_is_the_largest() -> None:
    callers = Callers()
    callers.hold("whole", 700 * KB, 0.0, 0.0)
    assert callers.memory.may_serve(callers.holdings["whole"], 700 * KB)
    callers.hold("small", 2 * KB, 9.0, 9.0)
    callers.hold("large", 500 * KB, 9.0, 10.0)
    assert callers.ended == ["large"]


def test_callers_that_fill_the_account_with_whole_requests_leave_room_for_small_ones() -> None:
    callers = Callers()
    let_in = 0
    for number in range(20):
        name = f"large-{number}"
        callers.hold(name, 100 * KB, float(number), float(number))
        let_in += callers.memory.may_serve(callers.holdings[name], 100 * KB)
    assert let_in == LIMIT * LARGE_SHARE // (100 * KB)
    callers.hold("small", SMALL_BYTES, 30.0, 30.0)
    assert callers.memory.may_serve(callers.holdings["small"], SMALL_BYTES)
    assert "small" not in callers.ended


def test_largest_request_is_served_while_no_other_is() -> None:
    callers = Callers()
    callers.hold("only", LIMIT, 0.0, 1.0)
    assert callers.memory.may_serve(callers.holdings["only"], LIMIT)


def test_all_is_given_back_in_any_order() -> None:
    callers = Callers()
    for number in range(5):
        callers.hold(str(number), 100 * KB, 0.0, 0.0)
        assert callers.memory.may_serve(callers.holdings[str(number)], 100 * KB)
    callers.memory.stop_serving(callers.holdings["1"])
    callers.memory.stop_serving(callers.holdings["1"])
    for holding in callers.holdings.values():
        callers.memory.close(holding)
        callers.memory.close(holding)
        callers.memory.set_held(holding, 10, 1.0)
    assert callers.memory.held == 0
    callers.hold("large", 700 * KB, 2.0, 2.0)
    assert callers.memory.may_serve(callers.holdings["large"], 700 * KB)
