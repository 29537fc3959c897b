"""Entry point of ``python -m trefoilpaddle`` and of the binary."""

from trefoilpaddle.cli.main import main

if __name__ == "__main__":
    main()
