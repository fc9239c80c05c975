"""Loads the settings file of an entry instance."""

from pathlib import Path

from result import Err, Result

from nutmeglb._internal.settings.models import Settings
from nutmeglb_formats.exceptions import SettingsError
from nutmeglb_formats.ini import load_ini


def load_text(text: str, *, file: str = "settings") -> Result[Settings, tuple[SettingsError, ...]]:
    """Return the settings in an INI text, or every error. Never raises on invalid input."""
    return load_ini(text, Settings, file=file)


def load_file(path: Path) -> Result[Settings, tuple[SettingsError, ...]]:
    """Return the settings in a file, or every error."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "it is not UTF-8 text"
        fault = SettingsError(
            "The settings file cannot be read",
            context={"file": str(path), "cause": reason},
            hint="Check the path and the permissions",
        )
        return Err((fault,))
    return load_text(text, file=path.name)
