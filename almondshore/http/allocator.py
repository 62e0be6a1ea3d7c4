"""Returns freed memory to the system, as far as the C library supports it."""

import ctypes

from almondshore.core.logs import log_event

# Parameter of mallopt(3).
M_MMAP_THRESHOLD = -3
# Buffers of this size are mapped one by one and returned when they are freed. The C library would
# raise the bound to the size of the largest freed buffer, up to 32 MB, and keep the others in its
# heap: after a crowd with bodies of 200 KB, 30 MB stayed with the process.
MAPPED_BYTES = 128 * 1024


def map_large_buffers() -> None:
    """Let the C library map large buffers one by one; has no effect on other C libraries."""
    _call("mallopt", M_MMAP_THRESHOLD, MAPPED_BYTES)


def release_free_memory() -> None:
    """Return the free pages of the heap to the system; takes some milliseconds."""
    _call("malloc_trim", 0)


def _call(function: str, *arguments: int) -> None:
    try:
        getattr(ctypes.CDLL(None), function)(*arguments)
    except (AttributeError, OSError) as error:
        log_event("allocator_unsupported", function=function, error=error)
