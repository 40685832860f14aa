"""No copy is evicted in use, whatever order things happen in; and the machine finds what breaks it.

`Mutant`s take one mechanism away each; the same machine must then find harm.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from ownership_world import RATES, TARGETS, Mutation, World
from wigeonarch_core.refs import AdapterVersion

NAMES = st.sampled_from(sorted(RATES))
WANTED = st.lists(st.sampled_from(TARGETS), max_size=3)
LASTING = st.sampled_from([0.7, 4.0, 25.0])
SECONDS = st.sampled_from([0.5, 1.0, 3.0, 9.0])


def machine(mutation: Mutation, *, checks_fence: bool) -> type[RuleBasedStateMachine]:
    """Returns the machine for a kind of engine and a mechanism taken away."""

    class Ownership(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.world = World(mutation, checks_fence=checks_fence)
            self.world.run(12.0)
            self.world.deliver_orders()
            self.world.run(1.0)

        @rule(name=NAMES, wanted=WANTED, lasting=LASTING, seconds=SECONDS, reports=st.booleans())
        def work_goes_on(
            self,
            name: str,
            wanted: list[AdapterVersion],
            lasting: float,
            seconds: float,
            reports: bool,
        ) -> None:
            process = self.world.processes[name]
            for target in wanted:
                if not process.frozen:
                    process.start_request(target, lasting)
            self.world.run(seconds, reports=reports)

        @rule(name=NAMES)
        def one_is_frozen_with_all_in_hand(self, name: str) -> None:
            self.world.processes[name].decide_and_freeze()

        @rule(name=NAMES)
        def one_is_thawed(self, name: str) -> None:
            self.world.processes[name].thaw()

        @rule(name=NAMES)
        def one_is_killed(self, name: str) -> None:
            self.world.kill(name)

        @rule(name=NAMES)
        def one_loses_or_regains_the_platform(self, name: str) -> None:
            self.world.cut_off ^= {name}

        @rule(name=NAMES)
        def ones_messages_are_held_up_or_not(self, name: str) -> None:
            self.world.muted ^= {name}

        @rule(fate=st.sampled_from(["late", "lost", "doubled"]))
        def held_up_messages_are(self, fate: str) -> None:
            if fate == "lost":
                self.world.delayed.clear()
            elif fate == "doubled":
                self.world.delayed *= 2
            self.world.deliver_delayed()

        @rule()
        def orders_arrive(self) -> None:
            self.world.deliver_orders()

        @rule(wanted=st.sampled_from(TARGETS))
        def requests_end(self, wanted: AdapterVersion) -> None:
            running = self.world.engine.running
            for name in [name for name, used in running.items() if used[0] == wanted]:
                self.world.finish_request(name)

        @rule()
        def the_engine_restarts(self) -> None:
            self.world.engine.incarnation += 1
            self.world.engine.running.clear()
            self.world.engine.loaded.clear()

        @invariant()
        def nothing_in_use_was_evicted(self) -> None:
            assert not self.world.engine.violations, self.world.engine.violations

    return Ownership


BOUNDS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
    database=None,
)


@pytest.mark.parametrize("checks_fence", [False, True])
def test_nothing_in_use_is_evicted(checks_fence: bool) -> None:
    run_state_machine_as_test(machine(Mutation(), checks_fence=checks_fence), settings=BOUNDS)
