"""The command line's application object and the helpers of its commands: connection options, calls, error output."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from cyclopts import App, Parameter

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.settings import SETTINGS_FILE_VARIABLE

app = App(
    name="otterreach",
    help=f"Command line for operators. Addresses that are not given are read from --settings, "
    f"or from the settings file named by {SETTINGS_FILE_VARIABLE}.",
)


def fail(failure: Failure) -> int:
    """Print a failure with its reason to standard error; return its code, which is the exit code."""
    print(f"{failure.code.name.lower()} ({int(failure.code)}): {failure.reason}", file=sys.stderr)
    return int(failure.code)


@Parameter(name="*")
@dataclass
class Connection:
    """Options for connecting to the system."""

    ctl: str = ""
    "ctl addresses, host:port, separated by commas."
    controllers: str = ""
    "Internal addresses of controllers, host:port, separated by commas."
    settings: Path | None = None
    "The settings file of any process of the system."
    within: float = 10.0
    "Time-out of the call with its retries, in seconds."

    def _settings(self) -> dict[str, Any]:
        """Return the settings file's content; exit the program if it can't be read."""
        import yaml

        name = self.settings or os.environ.get(SETTINGS_FILE_VARIABLE, "")
        try:
            raw = yaml.safe_load(Path(name).read_text(encoding="utf-8")) if name else None
        except (OSError, yaml.YAMLError) as error:
            raise SystemExit(fail(Failure(Code.SETTINGS, f"{name}: {error}"))) from None
        if not isinstance(raw, dict):
            raise SystemExit(
                fail(Failure(Code.SETTINGS, "no addresses given, and no settings file that is a YAML mapping"))
            )
        return raw

    def ctl_addresses(self) -> list[str]:
        """Return the addresses of the operators' API."""
        return self.ctl.split(",") if self.ctl else [str(peer) for peer in self._settings().get("peers") or ()]

    def controller_addresses(self) -> list[str]:
        """Return the addresses at which controllers answer internal RPC calls."""
        if self.controllers:
            return self.controllers.split(",")
        raw = self._settings()
        port = (raw.get("portRange") or [0])[0]
        return [f"{str(peer).rpartition(':')[0]}:{port}" for peer in raw.get("peers") or ()]


DEFAULT_CONNECTION = Connection()


def call_api(connection: Connection, method: str, path: str, body: bytes = b"", match: int | None = None) -> Any:
    """Call the operators' API and return its response or a Failure."""
    from otterreach.cli.caller import Caller

    headers = {b"Content-Type": b"application/json"} if body else {}
    if match is not None:
        headers[b"If-Match"] = b"%d" % match
    return asyncio.run(Caller(connection.ctl_addresses()).call(method, path, body, headers, connection.within))


def current_configuration(connection: Connection) -> dict[str, Any] | None | Failure:
    """Return the configuration in force; None if none has been accepted yet."""
    from otterreach.cli.caller import error_of

    answer = call_api(connection, "GET", "/config")
    if isinstance(answer, Failure):
        return answer
    if answer.status == HTTPStatus.NOT_FOUND:
        return None
    return json.loads(answer.body) if answer.status == HTTPStatus.OK else error_of(answer)


def read_file(file: Path) -> bytes | Failure:
    """Return the content of a file named on the command line, or a Failure."""
    try:
        return file.read_bytes()
    except OSError as error:
        return Failure(Code.CONFIG_UNREADABLE, f"{file}: {error.strerror}")
