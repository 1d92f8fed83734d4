"""Commands about the evacuation of data centres."""

from fuchsiatrestle import records

__all__ = ('EndEvacuation', 'StartEvacuation')


class StartEvacuation(records.Record, tag='start-evacuation'):
    """Evacuates a data centre: nothing more is started on its workers.

    Attributes:
        data_centre: name of the data centre.
        base: number of agreed orders about the data centre (see
            ``queries.EvacuationView``) that was read when this one arrived;
            if there were more since, nothing is changed.
    """

    data_centre: str
    base: int


class EndEvacuation(records.Record, tag='end-evacuation'):
    """Ends the evacuation of a data centre.

    Attributes:
        data_centre: name of the data centre.
        base: see ``StartEvacuation``.
    """

    data_centre: str
    base: int


RECORD_CLASSES = (StartEvacuation, EndEvacuation)
