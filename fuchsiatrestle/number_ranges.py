"""Types of the numbers that other programs send, with their ranges.

A number in JSON may be of any size, but the messages between the system's own
processes, its log and its snapshots hold at most 64 bits.  So each number is
checked where it is decoded.  The ranges also leave room for the sums and
products that are computed from the numbers.
"""

import typing

import msgspec

__all__ = (
    'Amount',
    'Duration',
    'Int64',
    'Measurement',
    'SequenceNumber',
    'Timestamp',
    'parse_decimal',
)

MAX_INT64 = 2**63 - 1
MAX_AMOUNT = 10**12
MAX_DURATION_MS = 10**12
MAX_TIMESTAMP_MS = 10**14
MAX_MEASUREMENT = 10**12

# Any whole number that every part of the system can store.
Int64 = typing.Annotated[int, msgspec.Meta(ge=-MAX_INT64 - 1, le=MAX_INT64)]
# Position in a series, or another number that is only compared.
SequenceNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
# Number of tasks, or a capacity in thousandths of a core, MiB or pieces.
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# Milliseconds.
Duration = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# Reading of a clock, in milliseconds since the epoch or any other time.
Timestamp = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)]
# Rough figure of any sign, whole or not.
Measurement = typing.Union[
    typing.Annotated[
        int, msgspec.Meta(ge=-MAX_MEASUREMENT, le=MAX_MEASUREMENT)
    ],
    typing.Annotated[
        float, msgspec.Meta(ge=-MAX_MEASUREMENT, le=MAX_MEASUREMENT)
    ],
]


def parse_decimal(text, max_number):
    """Returns the whole number that a text writes in decimal digits.

    Args:
        text: the text, of any length.
        max_number: the largest number that is accepted.

    Raises:
        ValueError: the text is no number from 0 to ``max_number``.
    """
    is_number = text.isascii() and text.isdecimal()
    # Converting very long texts takes long, and Python refuses to.
    significant_digits = text.lstrip('0')
    if not is_number or len(significant_digits) > len(str(max_number)):
        raise ValueError(f'expected a whole number from 0 to {max_number}')
    number = int(text[-len(str(max_number)) :])
    if number > max_number:
        raise ValueError(f'expected a whole number from 0 to {max_number}')
    return number
