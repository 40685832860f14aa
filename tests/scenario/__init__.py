"""The scenario language: cases as text, run against real processes.

A file `test-data/*.test` consists of sections: `[case NAME]` is a test, `[deployment NAME]` holds
steps that several cases share. Each line is one step. `docs/design/scenarios.md` lists the steps.

* `language` parses the text into sections and steps, and checks each step against its function.
* `steps` has the table of steps and runs a section. The functions of the steps are in `programs`,
  `faults` and `requests`; `probes` has a function for each value that a case can check.
* `world` is the state of one running case; `callers` and `network` are its callers and links.
"""
