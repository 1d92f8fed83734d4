"""Adapter to the users' platform, whose protocol it decodes and encodes.

The platform calls a worker a minion, a data centre a zone, a team a tenant and
an upstream a back end.  Its names and formats are converted to and from the
types of the other packages here; nothing outside this package knows them.  The
package takes no scheduling decision.

``python -m fuchsiatrestle.platform entry`` and ``... control`` run the two
programs with the settings file that the platform has written.
"""
