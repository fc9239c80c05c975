"""Annotated types for addresses, URLs and names in settings files."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator
from pydantic_core import PydanticCustomError

from nutmeglb_formats.names import NAME_HINT, is_name

MAX_PORT = 65_535


def settings_fault(
    message: str, remedy: str, *, section: str = "", key: str = ""
) -> PydanticCustomError:
    """Return a validation error whose message and remedy are shown to the operator unchanged."""
    context = {"remedy": remedy, "section": section, "key": key}
    return PydanticCustomError("settings_fault", "{message}", {"message": message, **context})


def check_address(value: str) -> str:
    """Return ``value`` unchanged, or raise a ``settings_fault`` if it is not ``ip:port``."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        remedy = "Write an IP address and a port, such as 127.0.0.1:7000 or [::1]:7000"
        raise settings_fault("The address has no IP address", remedy) from None
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise settings_fault("The address has no valid port", f"Use a port of 0 to {MAX_PORT}")
    return value


def _check_url(value: str) -> str:
    if not value.startswith(("http://", "https://")):
        raise settings_fault("The value is not a URL", "Write http://ip:port/path")
    return value


def _check_name(value: str) -> str:
    if not is_name(value):
        raise settings_fault("The name is not valid", NAME_HINT)
    return value


Name = Annotated[str, AfterValidator(_check_name)]
Address = Annotated[str, AfterValidator(check_address)]
HttpUrl = Annotated[str, AfterValidator(_check_url)]
