"""Property tests of idempotency keys and of the configuration.

Further tests disable one mechanism each and check that the property tests then fail.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import machine_configuration
import machine_keys
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from machine_configuration import ConfigurationMachine
from machine_keys import KeysMachine

# Each run is the same: examples come from a fixed seed, and no database keeps failures.
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)
# A defect only has to be found; its example is not shrunk.
SEARCH = settings(SETTINGS, max_examples=2000, phases=[Phase.generate])

MACHINES: list[type[RuleBasedStateMachine]] = [KeysMachine, ConfigurationMachine]
DEFECTS = [
    *((KeysMachine, name, defect) for name, defect in machine_keys.DEFECTS.items()),
    *(
        (ConfigurationMachine, name, defect)
        for name, defect in machine_configuration.DEFECTS.items()
    ),
]


@pytest.mark.parametrize("machine", MACHINES, ids=lambda machine: machine.__name__)
def test_invariants_hold(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(machine, settings=SETTINGS)


@pytest.mark.parametrize(
    ("machine", "defect"),
    [pytest.param(machine, defect, id=name) for machine, name, defect in DEFECTS],
)
def test_a_missing_mechanism_is_caught(
    machine: type[RuleBasedStateMachine],
    defect: tuple[Any, str, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(*defect)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SEARCH)


def check_invariants(machine: ConfigurationMachine) -> None:
    machine.serving_instances_have_accepted_changes()
    machine.applied_never_decreases()


@pytest.mark.parametrize("schedule", machine_configuration.SCHEDULES, ids=lambda s: s.__name__)
def test_invariants_hold_on_a_schedule(schedule: Callable[[ConfigurationMachine], None]) -> None:
    machine = ConfigurationMachine()
    schedule(machine)
    check_invariants(machine)


@pytest.mark.parametrize("name", machine_configuration.SCHEDULED)
def test_a_missing_mechanism_is_caught_on_a_schedule(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    schedule, defect = machine_configuration.SCHEDULED[name]
    monkeypatch.setattr(*defect)
    machine = ConfigurationMachine()
    schedule(machine)
    with pytest.raises(AssertionError):
        check_invariants(machine)
