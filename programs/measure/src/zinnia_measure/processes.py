"""Starts, signals and stops the processes of one run; nothing stays behind."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import httpcore

STOP_LIMIT_S = 15.0
START_LIMIT_S = 30.0
POLL_S = 0.05


class ProcessGroup:
    """Owns a set of child processes; leaving the context stops all of them.

    Parameters
    ----------
    directory : Path
        Where the output of each process goes, in ``<name>.log``.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: dict[str, subprocess.Popen] = {}
        self._logs: list = []

    def __enter__(self) -> "ProcessGroup":
        self._directory.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *_) -> None:
        self.stop_all(list(self._processes))
        for log in self._logs:
            log.close()

    def stop_all(self, names: list[str]) -> None:
        """Ask several processes to end at the same time and wait for all of them."""
        for name in names:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        for name in names:
            self.wait(name)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module`` under a name of this run."""
        log = open(self._directory / f"{name}.log", "ab")  # noqa: SIM115 - closed on exit
        self._logs.append(log)
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )

    def is_running(self, name: str) -> bool:
        """Return whether a process is still there."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def find_pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of our own processes."""
        if self.is_running(name):
            os.kill(self._processes[name].pid, number)

    def wait(self, name: str, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait for the end of a process, kill it after the limit; return its exit status."""
        process = self._processes.pop(name, None)
        if process is None:
            return 0
        try:
            return process.wait(limit_s)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop(self, name: str) -> int:
        """Ask a process to end and wait for it."""
        self.signal(name, signal.SIGTERM)
        return self.wait(name)

    def kill(self, name: str) -> None:
        """End a process at once, as a crash would."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def read_cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        fields = Path(f"/proc/{self.find_pid(name)}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def read_memory_mb(self, name: str) -> float:
        """Return the resident memory of a process, in megabytes."""
        pages = int(Path(f"/proc/{self.find_pid(name)}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


# A new connection for each request would cost the daemons more than the request.
_POOL = httpcore.ConnectionPool(max_connections=64, max_keepalive_connections=16)


def fetch(method: str, url: str, body: bytes = b"", headers=None, timeout_s: float = 5.0):
    """Send one HTTP request on a shared connection pool; return the response."""
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    return _POOL.request(
        method, url, headers=headers, content=body, extensions={"timeout": timeout}
    )


def wait_until(check, what: str, limit_s: float = START_LIMIT_S) -> float:
    """Poll until ``check`` returns true; return the seconds waited.

    Raises
    ------
    TimeoutError
        If it does not become true within the limit; names what was awaited.
    """
    start = time.monotonic()
    while time.monotonic() - start < limit_s:
        try:
            if check():
                return time.monotonic() - start
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            pass
        time.sleep(POLL_S)
    raise TimeoutError(f"{what} did not happen within {limit_s} s; see the logs of the run")


def answers(url: str) -> bool:
    """Return whether a URL answers with status 200."""
    return fetch("GET", url, timeout_s=1.0).status == 200
