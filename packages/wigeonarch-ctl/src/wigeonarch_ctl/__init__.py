"""`wigeonctl`, the command line for wigeonarch's operators; a client of the published schema.

`cli` parses the command line, `commands` implements the commands, `session` calls the server,
`render` prints replies, `texts` holds the messages for operators and `exits` the exit codes.
"""
