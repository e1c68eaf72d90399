"""Starts the command line. Contains nothing else."""

import signal

for number in (signal.SIGHUP, signal.SIGUSR2):
    # Ignored until `serve` installs its handlers: importing takes a while, and either signal would end the process.
    signal.signal(number, signal.SIG_IGN)

from .cli import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="slatehub")
