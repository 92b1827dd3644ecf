"""What decoding data from elsewhere may raise."""

import msgspec

# Lists or objects that are nested too deeply raise RecursionError, also in
# fields that nothing reads.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
