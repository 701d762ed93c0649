"""Starts and stops the processes of a local fleet.

Each process prints one JSON line with its addresses when it listens.
"""

from collections.abc import Mapping
from dataclasses import dataclass
import json
import pathlib
import selectors
import signal
import subprocess  # nosec
import sys
import time
from typing import Any

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0

ROOT = pathlib.Path(__file__).resolve().parent.parent


class StartError(Exception):
    """A process exited or printed nothing before the timeout."""


@dataclass(kw_only=True)
class Process:
    """A started process and the contents of its startup line."""

    name: str
    popen: subprocess.Popen[bytes]
    startup_info: Mapping[str, Any]
    terminating: bool = False

    def send(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM, unless it was sent before or the process has ended.

        A second SIGTERM while the interpreter shuts down would kill it.
        """
        if self.terminating or self.popen.poll() is not None:
            return
        self.terminating = True
        # A paused process handles SIGTERM only after it continues.
        self.popen.send_signal(signal.SIGCONT)
        self.popen.terminate()

    def stop(self) -> int:
        """Stop the process and return its exit code.

        It is killed if it does not end within ``STOP_TIMEOUT_S``.
        """
        self.terminate()
        try:
            code = self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            code = self.popen.wait()
        if self.popen.stdout is not None:
            self.popen.stdout.close()
        return code


def launch(module: str, *args: str) -> subprocess.Popen[bytes]:
    """Start a module of this repository without waiting for it."""
    return subprocess.Popen(
        [sys.executable, '-m', module, *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        # In a new session Ctrl-C does not reach the process, so that only the
        # launcher handles it and stops its processes in order.
        start_new_session=True,
    )


def wait_ready(name: str, popen: subprocess.Popen[bytes]) -> Process:
    """Wait until a process has printed its startup line.

    If it does not, kills the process and raises StartError.
    """
    try:
        startup_info = json.loads(_read_startup_line(popen, time.monotonic()))
    except (StartError, ValueError) as exc:
        popen.kill()
        popen.wait()
        raise StartError(f'{name} did not start: {exc}') from exc
    return Process(name=name, popen=popen, startup_info=startup_info)


def _read_startup_line(
    popen: subprocess.Popen[bytes], started: float
) -> bytes:
    assert popen.stdout is not None
    with selectors.DefaultSelector() as selector:
        selector.register(popen.stdout, selectors.EVENT_READ)
        remaining = START_TIMEOUT_S - (time.monotonic() - started)
        if not selector.select(remaining):
            raise StartError('it did not print its addresses in time')
    line = popen.stdout.readline()
    if not line:
        raise StartError(f'it exited with code {popen.wait()}')
    return line


def start(name: str, module: str, *args: str) -> Process:
    """Start a module of this repository and wait until it listens."""
    return wait_ready(name, launch(module, *args))
