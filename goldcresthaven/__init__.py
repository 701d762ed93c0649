"""Router for servers that each own their keys exclusively.

The package is flat. Core modules (ownership, routing, admission and their
kin) do no I/O: they take events and the time and return data. Driver
modules run curio, own the sockets and timers, and call the core.
docs/design.md lists the modules.
"""
