"""What the system agrees on.

``machine.StateMachine`` applies ``commands`` in log order and answers
``queries``; both speak in ``records``.  Nothing here reads a clock, a socket,
a file or a random source: equal logs give equal states.
"""
