"""Property test of ownership: no copy is evicted in use, in whatever order things happen.

`test_ownership_faults` removes mechanisms one by one and checks that the model then finds harm.
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
    """Returns the state machine for engines that check fencing tokens or do not.

    Args:
        mutation: The mechanism to remove, if any.
        checks_fence: Whether the engine refuses orders with an old fencing token.
    """

    class Ownership(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.world = World(mutation, checks_fence=checks_fence)
            self.world.run(12.0)
            self.world.deliver_orders()
            self.world.run(1.0)

        @rule(name=NAMES, wanted=WANTED, lasting=LASTING, seconds=SECONDS, reports=st.booleans())
        def run_with_requests(
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
        def stall_process(self, name: str) -> None:
            self.world.processes[name].decide_and_freeze()

        @rule(name=NAMES)
        def thaw_process(self, name: str) -> None:
            self.world.processes[name].thaw()

        @rule(name=NAMES)
        def kill_process(self, name: str) -> None:
            self.world.kill(name)

        @rule(name=NAMES)
        def toggle_platform_cut(self, name: str) -> None:
            self.world.cut_off ^= {name}

        @rule(name=NAMES)
        def toggle_message_delay(self, name: str) -> None:
            self.world.muted ^= {name}

        @rule(fate=st.sampled_from(["late", "lost", "doubled"]))
        def deliver_delayed_messages(self, fate: str) -> None:
            if fate == "lost":
                self.world.delayed.clear()
            elif fate == "doubled":
                self.world.delayed *= 2
            self.world.deliver_delayed()

        @rule()
        def deliver_orders(self) -> None:
            self.world.deliver_orders()

        @rule(wanted=st.sampled_from(TARGETS))
        def end_requests(self, wanted: AdapterVersion) -> None:
            running = self.world.engine.running
            for name in [name for name, used in running.items() if used[0] == wanted]:
                self.world.finish_request(name)

        @rule()
        def restart_engine(self) -> None:
            self.world.engine.incarnation += 1
            self.world.engine.running.clear()
            self.world.engine.loaded.clear()

        @invariant()
        def no_copy_in_use_was_evicted(self) -> None:
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
def test_no_copy_in_use_is_evicted(checks_fence: bool) -> None:
    run_state_machine_as_test(machine(Mutation(), checks_fence=checks_fence), settings=BOUNDS)
