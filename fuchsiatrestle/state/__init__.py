"""Replicated state of a cell, as a deterministic state machine.

``machine.StateMachine`` applies ``commands`` in log order and answers
``queries``; commands, queries and their results are ``records``.  Code in this
package reads no clock, socket, file or random source, so equal logs give equal
states on all replicas.  A command is agreed when it is committed to the log;
the agreed state is what the agreed commands have produced.
"""
