"""Router for servers that each own their keys exclusively.

The package has no subpackages. Core modules (such as ownership, routing
and admission) do no I/O: they take events and the time and return data.
Driver modules run curio, own the sockets and timers, and call the core.
docs/design.md lists the modules.
"""
