"""Regenerates the protobuf and grpclib code committed in process/rpc."""

import os
import pathlib
import sys

import grpc_tools
from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROTO_FOLDER = ROOT / "waxwinglift" / "process" / "rpc"


def main():
    """Compile each .proto file and return the compiler's exit code."""
    # protoc finds the grpclib plugin, which pip installs next to the
    # interpreter, through PATH.
    plugin_folder = str(pathlib.Path(sys.executable).parent)
    os.environ["PATH"] = plugin_folder + os.pathsep + os.environ["PATH"]
    well_known = pathlib.Path(grpc_tools.__file__).parent / "_proto"
    sources = sorted(str(path) for path in PROTO_FOLDER.glob("*.proto"))
    return protoc.main(
        [
            "protoc",
            f"-I{ROOT}",
            f"-I{well_known}",
            f"--python_out={ROOT}",
            f"--grpclib_python_out={ROOT}",
            *sources,
        ]
    )


if __name__ == "__main__":
    sys.exit(main())
