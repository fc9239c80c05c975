"""Log destination on standard output that never blocks."""

import os

STDOUT_DESCRIPTOR = 1


class StandardOutput:
    """Binary stream in non-blocking mode that drops lines while its reader falls behind.

    Attributes
    ----------
    dropped_lines
        Number of lines dropped since the last one written. The next line is preceded by a line
        that reports it.
    """

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self._descriptor = descriptor
        self._unsent = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write one line, or drop all of it."""
        if self._unsent and not self._send_unsent():
            self.dropped_lines += 1
            return len(data)
        dropped_message = b""
        if self.dropped_lines:
            dropped_message = (
                b'{"message_type": "logs", "text": "logs: lines dropped", "lines": %d}\n'
                % self.dropped_lines
            )
        self._unsent = dropped_message + data
        self.dropped_lines = 0
        self._send_unsent()
        return len(data)

    def flush(self) -> None:
        """Send the rest of an earlier line."""
        if self._unsent:
            self._send_unsent()

    def _send_unsent(self) -> bool:
        """Write as much as the reader accepts. Return whether nothing is left."""
        try:
            written = os.write(self._descriptor, self._unsent)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the stream, and there is no other place to report it.
            written = len(self._unsent)
        self._unsent = self._unsent[written:]
        return not self._unsent
