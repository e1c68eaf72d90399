"""The bounds that the platform sets to every message, whatever carries it, and how the system says that
a bound of its own is reached. Nothing else stands here."""

import errno

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a body up to this is kept whole before any of it goes on
MAX_BODY_BYTES = 34 * 1024 * 1024  # the largest body that is taken or passed on at all
MAX_HEAD_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024  # read at once
MAX_MESSAGE_BYTES = (
    MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
)  # one message with the framing of its chunks and its trailers
RESOURCE_EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
