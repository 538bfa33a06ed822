"""Starts control daemons, proxies and stand-in servers on loopback.

Each process has its own settings file and log file in one run folder.  The
product itself never starts processes.
"""

import contextlib
import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys
import time

BIN = pathlib.Path(sys.executable).parent
STOP_TIMEOUT_S = 10.0
GROUP = "ledger"
GROUP_SIZE = 3
DATA_CENTRES = ("ulaanbaatar", "darkhan", "erdenet")
REGION = "mongolia"


def free_ports(count):
    """Return ``count`` unused TCP ports on loopback."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            ports.append(listener.getsockname()[1])
        return ports


@dataclasses.dataclass(frozen=True)
class FleetPorts:
    """Ports of all processes of a fleet."""

    control_ports: tuple[int, ...]
    caller_ports: tuple[int, ...]
    peer_ports: tuple[int, ...]
    endpoint_ports: tuple[int, ...]


def choose_ports(control_count=3, proxies_count=2, endpoints_count=3):
    """Choose unused ports for a fleet of the given size."""
    ports = free_ports(control_count + 2 * proxies_count + endpoints_count)
    remaining_ports = iter(ports)
    return FleetPorts(
        tuple(next(remaining_ports) for _ in range(control_count)),
        tuple(next(remaining_ports) for _ in range(proxies_count)),
        tuple(next(remaining_ports) for _ in range(proxies_count)),
        tuple(next(remaining_ports) for _ in range(endpoints_count)),
    )


def _address(port):
    return f"127.0.0.1:{port}"


def _location(number):
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return f'data_centre = "{data_centre}"\nregion = "{REGION}"\n'


def _control_list(ports):
    return ", ".join(f'"{_address(port)}"' for port in ports.control_ports)


def control_settings(ports, number, folder):
    """Return the TOML text of a control daemon's settings."""
    members = "".join(
        f'[[members]]\nmember = "control-{index}"\n'
        f'address = "{_address(port)}"\n'
        for index, port in enumerate(ports.control_ports)
    )
    return (
        f'member = "control-{number}"\n'
        f'listen = "{_address(ports.control_ports[number])}"\n'
        f'data_folder = "{folder}/control-{number}"\n'
        f"[location]\n{_location(number)}"
        f"{members}"
        f"[observability]\n"
        f'trace_file = "{folder}/traces-control-{number}.jsonl"\n'
    )


def proxy_settings(ports, number, folder, owner_text=""):
    """Return the TOML text of a proxy's settings."""
    return (
        f'daemon = "proxy-{number}"\n'
        f'peer_listen = "{_address(ports.peer_ports[number])}"\n'
        f"control = [{_control_list(ports)}]\n"
        "[entry]\n"
        f"port = {ports.caller_ports[number]}\n"
        'token_secret = "demo-secret-of-the-fleet"\n'
        f"[location]\n{_location(number)}"
        f"[observability]\n"
        f'trace_file = "{folder}/traces-proxy-{number}.jsonl"\n'
        f"[owner]\n{owner_text}\n"
    )


def _inline_address(port):
    return f'{{ host = "127.0.0.1", port = {port} }}'


def endpoint_settings(ports, number, folder):
    """Return the TOML text of a stand-in server's settings.

    Servers form groups of three; the demo uses the first group.
    """
    control = ", ".join(_inline_address(port) for port in ports.control_ports)
    first = number - number % GROUP_SIZE
    group = f"{GROUP}-{first // GROUP_SIZE}" if first else GROUP
    role = "primary" if number == first else "replica"
    text = (
        f'id = "server-{number}"\n'
        f'group = "{group}"\n'
        f"address = {_inline_address(ports.endpoint_ports[number])}\n"
        f"control_addresses = [{control}]\n"
        f'initial_role = "{role}"\n'
        f"slots_count = 3\n"
        f"connection_limit_count = 25\n"
        f"{_location(number)}"
    )
    if number != first:
        primary = _inline_address(ports.endpoint_ports[first])
        text += f"primary_address = {primary}\nreplay_lag_ms = 5\n"
    return text


class Fleet:
    """Running processes of a fleet.

    ``owner_text`` contains TOML lines for the ``[owner]`` section of each
    proxy's settings.
    """

    def __init__(self, ports, folder, owner_text=""):
        self.ports = ports
        self.folder = folder
        self._owner_text = owner_text
        self._processes = {}

    def start(self, name, program, settings_text, *options):
        """Write the settings file of process ``name`` and start it."""
        path = self.folder / f"{name}.toml"
        path.write_text(settings_text, encoding="utf-8")
        with (self.folder / f"{name}.log").open("w") as log:
            self._processes[name] = subprocess.Popen(
                [str(BIN / program), *options, str(path)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self, name):
        """Kill a process to simulate a crash."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def pids(self):
        """Return a dictionary from process name to process id."""
        return {name: p.pid for name, p in self._processes.items()}

    def signal(self, name, number):
        """Send a signal to a process, which ``stop_all`` will still stop."""
        self._processes[name].send_signal(number)

    def current_servers(self, group):
        """Return the numbers of the servers in the group's current term.

        Only servers in the state ``joined`` are returned.
        """
        lines = self.run_operator("status").stdout.splitlines()
        heading = f"group {group}:"
        group_line = next(line for line in lines if line.startswith(heading))
        term = group_line.split("term ")[1].split(",")[0]
        prefix = "endpoint server-"
        return [
            int(line.removeprefix(prefix).split(":")[0])
            for line in lines
            if line.startswith(prefix) and f"term {term}, joined," in line
        ]

    def start_all(self):
        """Start control daemons, stand-in servers and proxies."""
        ports, folder = self.ports, self.folder
        for number in range(len(ports.control_ports)):
            text = control_settings(ports, number, folder)
            self.start(
                f"control-{number}", "waxwinglift-control", text, "--found"
            )
        for number in range(len(ports.endpoint_ports)):
            text = endpoint_settings(ports, number, folder)
            self.start(f"server-{number}", "waxwinglift-standin", text)
        for number in range(len(ports.caller_ports)):
            text = proxy_settings(ports, number, folder, self._owner_text)
            self.start(f"proxy-{number}", "waxwinglift-proxy", text)

    def run_operator(self, *arguments):
        """Run the operator's command and return the completed process."""
        control = []
        for port in self.ports.control_ports:
            control += ["--control", _address(port)]
        return subprocess.run(
            [str(BIN / "waxwinglift"), *control, *arguments],
            capture_output=True,
            text=True,
            timeout=30,
        )

    def stop_all(self):
        """Terminate all processes; kill those that do not exit in time."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self._processes.values():
            remaining_s = max(0.1, deadline_s - time.monotonic())
            try:
                process.wait(timeout=remaining_s)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


@contextlib.contextmanager
def running_fleet(folder, owner_text="", **sizes):
    """Yield a started fleet and stop all its processes afterwards."""
    fleet = Fleet(choose_ports(**sizes), folder, owner_text)
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.stop_all()
