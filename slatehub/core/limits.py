"""Size limits of messages, the same for every protocol, and the errnos that report exhausted resources."""

import errno

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # up to this, a body is buffered whole before any of it is forwarded
MAX_BODY_BYTES = 34 * 1024 * 1024  # the largest body that is accepted or forwarded at all
MAX_HEAD_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024  # size of one read
# One message with chunk framing and trailers.
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
RESOURCE_EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
