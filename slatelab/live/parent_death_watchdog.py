"""Starts a command that the kernel kills when the lab that started it is gone: `parent_death_watchdog.py PARENT COMMAND...`.
It becomes the command by exec, so it owns nothing afterwards. It must import nothing but the standard
library, as it runs in front of every process of a run, and never outlive a parent that is gone already."""

import ctypes
import os
import signal
import sys

SET_PDEATHSIG = 1  # prctl(2); kept over exec, and bound to the thread that forked


def main() -> None:
    parent, command = int(sys.argv[1]), sys.argv[2:]
    if ctypes.CDLL(None, use_errno=True).prctl(SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
        sys.exit(f"parent_death_watchdog: prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # it died before the line above: no signal will come
        sys.exit("parent_death_watchdog: the parent process has ended")
    signal.pthread_sigmask(signal.SIG_SETMASK, ())
    os.execv(command[0], command)


if __name__ == "__main__":
    main()
