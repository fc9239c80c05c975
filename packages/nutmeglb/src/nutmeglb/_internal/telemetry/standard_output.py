"""Log destination that never blocks: standard output in non-blocking mode."""

import os

STANDARD_OUTPUT = 1


class StandardOutput:
    """Binary stream that drops lines while its reader does not keep up.

    Attributes
    ----------
    dropped
        Number of lines lost since the last one written. The next line is preceded by a note.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write one line, or drop it whole."""
        if self._rest and not self._send_rest():
            self.dropped += 1
            return len(data)
        note = b""
        if self.dropped:
            note = b'{"message_type": "logs", "text": "logs: lines dropped", "lines": %d}\n' % (
                self.dropped
            )
        self._rest = note + data
        self.dropped = 0
        self._send_rest()
        return len(data)

    def flush(self) -> None:
        """Send what a former write left."""
        if self._rest:
            self._send_rest()

    def _send_rest(self) -> bool:
        """Write as much as the reader takes. Return whether nothing is left."""
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads: there is no other place to report it.
            written = len(self._rest)
        self._rest = self._rest[written:]
        return not self._rest
