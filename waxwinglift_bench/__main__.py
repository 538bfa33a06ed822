"""Command group ``python -m waxwinglift_bench``."""

from waxwinglift_bench.process import faults
from waxwinglift_bench.process._commands import bench_group

# Modules whose import registers the commands.
COMMAND_MODULES = (faults,)

if __name__ == "__main__":
    bench_group()(prog_name="python -m waxwinglift_bench")
