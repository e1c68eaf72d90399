"""Entry point of an emulating process: `python -m slatelab.live.helper DESCRIPTOR JOB`."""

import sys
from pathlib import Path

from slatelab.live.control_channel import main

if __name__ == "__main__":
    main(int(sys.argv[1]), Path(sys.argv[2]))
