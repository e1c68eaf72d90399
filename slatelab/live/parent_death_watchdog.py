"""Starts a command that the kernel kills when the lab that started it ends:

    parent_death_watchdog.py PARENT COMMAND...

The process becomes the command by exec. Only the standard library is imported, because this runs before every
process of a run. If the parent has already ended, the command is not started."""

import ctypes
import os
import signal
import sys

SET_PDEATHSIG = 1  # prctl(2); preserved by exec, and bound to the thread that forked


def main() -> None:
    """Binds this process to its parent and becomes the command."""
    parent, command = int(sys.argv[1]), sys.argv[2:]
    if ctypes.CDLL(None, use_errno=True).prctl(SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
        sys.exit(f"parent_death_watchdog: prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # the parent died before prctl was called: no signal will come
        sys.exit("parent_death_watchdog: the parent process has ended")
    signal.pthread_sigmask(signal.SIG_SETMASK, ())
    os.execv(command[0], command)


if __name__ == "__main__":
    main()
