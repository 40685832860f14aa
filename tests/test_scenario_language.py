"""Tests of the scenario language: parsing, and the file and line in the message of each mistake."""

from __future__ import annotations

from typing import Any

import pytest
from scenario.language import ScenarioError, load, parse
from scenario.steps import check

WORDS: dict[str, tuple[Any, ...]] = {
    "kill entry-a": ("kill", "entry-a"),
    "pause 0.5": ("pause", 0.5),
    'submit r s/a@v1 via=x text="a = b"': ("submit", "r", "s/a@v1"),
    "expect record e a.b == 3": ("expect", "record", "e", "a.b"),
}
MISTAKES = {
    "[case a]\nkill\n": "f.test:2: kill: missing a required argument",
    "[case a]\n\n# why\nkil entry-a\n": "f.test:4: no 'kil'; there are ",
    "[case a]\nsubmit r s/a via=x speed=3\n": "f.test:2: submit: got an unexpected keyword",
    "[case a]\nexpect colour r == 1\n": "f.test:2: no 'colour'; there are ",
    "[case a]\nexpect\n": "f.test:2: something is missing after 'expect'",
    "[case a]\nwait for outcome r\n": "f.test:2: it is `wait until PROBE`",
    "[case a]\nkill entry-a == 3\n": "f.test:2: only an expectation compares",
    "[case a]\npause 1\nexpect outcome r ==\n": "f.test:3: ",
    "[case a\n": "f.test:1: ",
}


@pytest.mark.parametrize("line", WORDS)
def test_words_of_a_step_are_parsed(line: str) -> None:
    (section,) = parse(f"[case a]\n{line}\n", "f.test")
    assert section.steps[0].words == WORDS[line]
    assert section.steps[0].where == "f.test:2"


def test_options_and_comparison_are_parsed() -> None:
    text = '[case a]\nfault e on=true n=2 s="a b" none=null list=a,b\nexpect x >= 0.5\n'
    (section,) = parse(text, "f.test")
    fault, expect = section.steps
    assert fault.options == {"on": True, "n": 2, "s": "a b", "none": None, "list": "a,b"}
    assert (expect.operator, expect.value) == (">=", 0.5)


@pytest.mark.parametrize("text", MISTAKES)
def test_mistake_names_file_and_line(text: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        for section in parse(text, "f.test"):
            check(section)
    assert str(caught.value).startswith(MISTAKES[text])


def test_two_cases_with_the_same_name_are_refused(tmp_path: Any) -> None:
    path = tmp_path / "f.test"
    path.write_text("[case a]\nready\n[case a]\nready\n")
    with pytest.raises(ScenarioError, match=r"f\.test:3: a is there already"):
        load([path])
