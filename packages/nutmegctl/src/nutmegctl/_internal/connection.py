"""Addresses and token of the entry instances to call."""

import os
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from nutmeglb_formats.addresses import check_address, settings_fault
from nutmeglb_formats.exceptions import NutmegError, SettingsError, UsageError
from nutmeglb_formats.ini import load_ini

CONFIG_VARIABLE = "NUTMEGCTL_CONFIG"


class ClientSection(BaseModel):
    """Section ``[client]`` of the settings file of nutmegctl."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    servers: str = Field(description="Admin addresses as ip:port, separated by commas.")
    token_file: str = Field(min_length=1, description="File whose first line is the token.")


class ClientSettings(BaseModel):
    """Settings file of nutmegctl."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    client: ClientSection


@dataclass(frozen=True, slots=True)
class Connection:
    """Admin addresses to try in order, and the token."""

    servers: tuple[str, ...]
    token: str


Errors = tuple[NutmegError, ...]


def connection(server: str, token_file: str, config: str) -> Result[Connection, Errors]:
    """Return the connection from flags, else from the file ``config`` or ``NUTMEGCTL_CONFIG``."""
    config = config or os.environ.get(CONFIG_VARIABLE, "")
    if config and not (server and token_file):
        loaded = load_client_file(config)
        if isinstance(loaded, Err):
            return loaded
        section = loaded.ok_value.client
        server = server or section.servers
        # A relative path is resolved against the directory of the settings file.
        token_file = token_file or str(Path(config).parent / section.token_file)
    if not server or not token_file:
        hint = f"Give --server and --token-file, or --config=FILE, or set {CONFIG_VARIABLE}"
        return Err((UsageError("No entry instance is configured", hint=hint),))
    return _parse_connection(server, token_file)


def load_client_file(path: str) -> Result[ClientSettings, Errors]:
    """Load and validate the settings file of nutmegctl."""
    text = _read_file(path)
    if isinstance(text, Err):
        return text
    loaded = load_ini(text.ok_value, ClientSettings, file=path)
    if isinstance(loaded, Err):
        return Err(tuple(loaded.err_value))
    return Ok(loaded.ok_value)


def _parse_connection(server: str, token_file: str) -> Result[Connection, Errors]:
    servers = tuple(part.strip() for part in server.split(",") if part.strip())
    try:
        _Servers(servers=servers)
    except ValidationError as error:
        context = error.errors()[0].get("ctx", {})
        hint = str(context.get("remedy", "Write ip:port"))
        return Err((UsageError(f"The server {server!r} is not valid", hint=hint),))
    text = _read_file(token_file)
    if isinstance(text, Err):
        return text
    token = text.ok_value.partition("\n")[0].strip()
    if not token.isascii() or not token.isprintable() or not token:
        hint = "Write the token, as ASCII text, into its first line"
        context = {"file": token_file}
        return Err((SettingsError("The token file is not valid", context=context, hint=hint),))
    return Ok(Connection(servers, token))


class _Servers(BaseModel):
    servers: tuple[str, ...]

    def model_post_init(self, _: object) -> None:
        """Check every address."""
        if not self.servers:
            raise settings_fault("No address is given", "Write ip:port")
        for address in self.servers:
            check_address(address)


def _read_file(path: str) -> Result[str, Errors]:
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        cause = error.strerror if isinstance(error, OSError) else "it is not UTF-8 text"
        context = {"file": path, "cause": cause}
        hint = "Check the path and the permissions"
        return Err((UsageError("The file cannot be read", context=context, hint=hint),))


read_file = _read_file
