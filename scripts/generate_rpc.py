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
    sources = sorted(PROTO_FOLDER.glob("*.proto"))
    services = [one for one in sources if has_service(one)]
    return compile_files(sources, "--python_out") or compile_files(
        services, "--grpclib_python_out"
    )


def has_service(source):
    """Return whether a .proto file declares a gRPC service."""
    lines = source.read_text(encoding="utf-8").splitlines()
    return any(line.startswith("service ") for line in lines)


def compile_files(sources, output_option):
    """Compile .proto files and return the compiler's exit code."""
    well_known = pathlib.Path(grpc_tools.__file__).parent / "_proto"
    return protoc.main(
        [
            "protoc",
            f"-I{ROOT}",
            f"-I{well_known}",
            f"{output_option}={ROOT}",
            *map(str, sources),
        ]
    )


if __name__ == "__main__":
    sys.exit(main())
