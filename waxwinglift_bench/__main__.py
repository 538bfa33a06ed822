"""Command group ``python -m waxwinglift_bench``."""

from waxwinglift_bench.process import faults
from waxwinglift_bench.process import measure
from waxwinglift_bench.process import outage
from waxwinglift_bench.process import overload
from waxwinglift_bench.process import slopes
from waxwinglift_bench.process._commands import bench_command
from waxwinglift_bench.process._commands import bench_group

# Importing this module registers its command.
COMMAND_MODULES = (faults,)

bench_command(measure)
bench_command(outage)
bench_command(overload)
bench_command(slopes)

if __name__ == "__main__":
    bench_group()(prog_name="python -m waxwinglift_bench")
