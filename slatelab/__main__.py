"""Entry point of `python -m slatelab`."""

from slatelab.cli import main

if __name__ == "__main__":
    main()
