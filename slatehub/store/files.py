"""The file operations of the store behind a small interface, so that tests can substitute a file system that fails or
loses unsynced data. `DiskFolder` holds the folder, its lock and its identity. Writes are never buffered, and a sync is
reported only when the operating system has reported it."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class FolderLockedError(OSError):
    """Another process holds the folder's lock."""


class AppendFile(Protocol):
    """A file that is only written at its end."""

    def write(self, data: bytes) -> None:
        """Appends all of `data`. Raises OSError; then it is unknown how much of it was written."""

    def sync(self) -> None:
        """Returns once all written data survives a power loss. Raises OSError; then it is unknown what is on the disk,
        and a second sync proves nothing: the system may have dropped the pages that it could not write."""

    def close(self) -> None: ...


class Folder(Protocol):
    """A flat folder of files. All methods raise OSError."""

    def list_names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str) -> AppendFile:
        """Opens the file for appending, and creates it if necessary."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates the file to `size` bytes, durably."""

    def replace(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None:
        """Makes all created, replaced and removed names so far durable."""

    def identity(self) -> str:
        """A copy of the folder has another identity: guards against two proxies that vote with the same store."""

    def close(self) -> None: ...


class DiskFile:
    """An append-only file on disk."""

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
    """A folder on disk, created if necessary, with an exclusive lock. Raises FolderLockedError while another process
    holds the lock. With `durable` False, syncs of files return without doing anything."""

    def __init__(self, folder: str, durable: bool = True) -> None:
        self.durable = durable
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self.folder = folder
        self.directory_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.lock_fd = os.open(self._path("lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close()
            raise FolderLockedError(error.errno, "another process has this folder") from None

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
        os.fsync(self.directory_fd)

    def identity(self) -> str:
        """Device and inode of the folder, and the machine id if there is one: they differ in a copy."""
        status = os.fstat(self.directory_fd)
        try:
            with open("/etc/machine-id", encoding="ascii") as file:
                machine_id = file.read(64).strip()
        except (OSError, ValueError):
            machine_id = ""
        return f"{machine_id}:{status.st_dev}:{status.st_ino}"

    def close(self) -> None:
        for fd in (self.lock_fd, self.directory_fd):
            os.close(fd)
