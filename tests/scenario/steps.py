"""The table of the scenario language's steps; checks and runs sections.

Each step is a function. Its name and arguments are the syntax.
"""

from __future__ import annotations

from typing import Final

from scenario import faults, probes, programs, requests
from scenario.language import Function, ScenarioError, Section, Step, function_of, rest_of
from scenario.world import World, wait_until


def expect(world: World, step: Step) -> None:
    """`expect PROBE ...`: checks a probe now, by a comparison or for being true."""
    found = probes.read(world, step)
    assert probes.holds(world, step, found), f"found {found!r}"


def wait(world: World, step: Step) -> None:
    """`wait until PROBE ...`: waits until the comparison, or the probe itself, is true."""
    wait_until(
        lambda: probes.holds(world, step, probes.read(world, step)),
        lambda: f"found {probes.read(world, step)!r}",
    )


def note(world: World, step: Step) -> None:
    """`note NAME PROBE ...`: stores a probe's value; later steps refer to it as `$NAME`."""
    world.notes[str(step.words[0])] = probes.read(world, rest_of(step))


def deployment(world: World, name: str) -> None:
    """Runs the steps of a deployment section."""
    assert name in world.deployments, f"no deployment {name!r}"
    run_steps(world, world.deployments[name])


STEPS: Final[dict[str, Function]] = {
    "deployment": deployment,
    "signal": programs.signal_to,
    **{
        each.__name__: each
        for each in (
            *(programs.links, programs.start, programs.ready, programs.restart, programs.pause),
            *(programs.kill, programs.freeze, programs.thaw, programs.term),
            *(faults.fault, faults.leaving, faults.unlist, faults.delay),
            *(faults.cut, faults.swallow, faults.swallow_open, faults.heal),
            *(faults.part, faults.join),
            *(requests.submit, requests.load, requests.drop, requests.ctl, requests.attempt),
        )
    },
}
# Steps that take the rest of their line as a probe, with the number of words before the probe.
PROBING: Final[dict[str, tuple[Function, int]]] = {"expect": (expect, 1), "wait": (wait, 2)}
NOTING: Final = "note"


def check(section: Section) -> None:
    """Checks every step of a section against its function.

    Raises:
        ScenarioError: A step is unknown or its arguments do not fit its function.
    """
    for step in section.steps:
        _check(step)


def _check(step: Step) -> None:
    verb = str(step.words[0])
    if verb in PROBING:
        if verb == "wait" and step.words[1:2] != ("until",):
            raise ScenarioError(f"{step.where}: it is `wait until PROBE`")
        function_of(rest_of(step, PROBING[verb][1]), probes.PROBES)
        return
    if verb == NOTING:
        function_of(rest_of(step, 2), probes.PROBES)
        return
    if step.operator:
        raise ScenarioError(f"{step.where}: only an expectation compares")
    function_of(step, STEPS | {name: each for name, (each, _) in PROBING.items()})


def run_steps(world: World, section: Section) -> None:
    """Runs the steps of a section; the message of a failure names file, line and step."""
    for step in section.steps:
        try:
            _run(world, step)
        except (AssertionError, OSError, TimeoutError) as exc:
            if str(exc).startswith("at "):
                raise
            raise AssertionError(f"at {step.where}: {step.text}\n  {exc}") from exc


def _run(world: World, step: Step) -> None:
    verb = str(step.words[0])
    if verb != "start":
        world.settle()
    if verb in PROBING:
        function, count = PROBING[verb]
        function(world, rest_of(step, count))
        return
    if verb == NOTING:
        note(world, rest_of(step))
        return
    words = [probes.noted(world, word) for word in step.words[1:]]
    options = {key: probes.noted(world, value) for key, value in step.options.items()}
    STEPS[verb](world, *words, **options)
