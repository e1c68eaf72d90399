"""The few file calls that the store makes, behind one small interface, so that a file system that fails, or forgets
what was not synced, can stand in. It owns the folder, its lock and who the folder is. It must never buffer a write,
and never report a sync that the system did not report."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class FolderLockedError(OSError):
    """Another process has the folder."""


class AppendFile(Protocol):
    def write(self, data: bytes) -> None:
        """All of it behind what is there. OSError; then nobody knows how much of it was written."""

    def sync(self) -> None:
        """Returns once all that was written will outlive a loss of power. OSError; then nobody knows, and asking
        again tells nothing: the system may have dropped the pages that it could not write."""

    def close(self) -> None: ...


class Folder(Protocol):
    def list_names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str) -> AppendFile:
        """The file, made where there is none, to be written at its end."""

    def truncate(self, name: str, size: int) -> None:
        """What stands behind `size` goes, durably."""

    def replace(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None:
        """Names made, replaced and removed so far outlive a loss of power."""

    def identity(self) -> str:
        """Differs where the folder was copied: guards against two machines that vote with one memory."""

    def close(self) -> None: ...


class DiskFile:
    def __init__(self, path: str, durable: bool = True) -> None:
        self.durable = durable
        self.fd = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def sync(self) -> None:
        if self.durable:
            os.fdatasync(self.fd)

    def close(self) -> None:
        os.close(self.fd)


class DiskFolder:
    """A folder of the machine's, made where there is none. FolderLockedError while it is held. `durable` False: syncs
    of files say yes at once."""

    def __init__(self, folder: str, durable: bool = True) -> None:
        self.durable = durable
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self.folder = folder
        self.dir = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.lock = os.open(self._path("lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            self.close()
            raise FolderLockedError(problem.errno, "another process has this folder") from None

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def list_names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        with open(self._path(name), "rb") as file:
            return file.read()

    def append(self, name: str) -> AppendFile:
        return DiskFile(self._path(name), self.durable)

    def truncate(self, name: str, size: int) -> None:
        fd = os.open(self._path(name), os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def replace(self, old: str, new: str) -> None:
        os.replace(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        os.remove(self._path(name))

    def sync_directory(self) -> None:
        os.fsync(self.dir)

    def identity(self) -> str:
        """Device and number of the folder, and the machine's id where it has one: a copy has others."""
        found = os.fstat(self.dir)
        try:
            with open("/etc/machine-id", encoding="ascii") as file:
                machine = file.read(64).strip()
        except (OSError, ValueError):
            machine = ""
        return f"{machine}:{found.st_dev}:{found.st_ino}"

    def close(self) -> None:
        for fd in (self.lock, self.dir):
            os.close(fd)
