"""File with the addresses that an instance has bound."""

import json
from collections.abc import Mapping
from pathlib import Path


def write_ports_file(path: str, addresses: Mapping[str, str]) -> None:
    """Write ``{"caller": "ip:port", ...}``. Readers never see a partly written file.

    Raises
    ------
    OSError
        When the directory does not exist or is not writable.
    """
    partial_path = Path(path + ".partial")
    partial_path.write_text(json.dumps(dict(addresses)) + "\n")
    partial_path.replace(path)
