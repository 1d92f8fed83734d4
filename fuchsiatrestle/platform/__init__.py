"""Adapter to the users' platform: names, formats and calls, no decisions.

The platform's word for a worker is minion, for a data centre zone, for a
team tenant and for an upstream back end.  Its names are decoded here, once,
into the product's own types; nothing outside this package knows them.

``python -m fuchsiatrestle.platform entry`` and ``... control`` run the two
programs with the settings file that the platform has written.
"""
