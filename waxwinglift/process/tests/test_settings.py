"""Tests the messages that an operator gets for invalid settings."""

import pytest

from waxwinglift.process import _settings

GOOD_PROXY = """
daemon = "proxy-0"
peer_listen = "127.0.0.1:7432"
control = ["127.0.0.1:7001"]
[entry]
host = "127.0.0.1"
port = 6432
token_secret = "0123456789abcdef"
[location]
data_centre = "darkhan"
region = "mongolia"
"""

GOOD_CONTROL = """
member = "control-0"
listen = "127.0.0.1:7001"
data_folder = "data"
[[members]]
member = "control-0"
address = "127.0.0.1:7001"
[location]
data_centre = "darkhan"
region = "mongolia"
"""

MODELS = {
    "proxy": (_settings.ProxySettings, GOOD_PROXY),
    "control": (_settings.ControlSettings, GOOD_CONTROL),
}


def load(tmp_path, kind, text):
    path = tmp_path / "settings.toml"
    path.write_text(text, encoding="utf-8")
    return _settings.load_settings(path, MODELS[kind][0])


@pytest.mark.parametrize("kind", sorted(MODELS))
def test_good_settings_load(tmp_path, kind):
    assert load(tmp_path, kind, MODELS[kind][1]).is_ok()


@pytest.mark.parametrize(
    ("kind", "old", "new", "expected"),
    [
        ("proxy", 'daemon = "proxy-0"', "", "daemon: is required"),
        ("proxy", "daemon =", "deamon =", "deamon: unknown key"),
        ("proxy", '"127.0.0.1"', '"localhost"', "must be an IP address"),
        ("proxy", "127.0.0.1:7432", "host:7432", "must be an IP address"),
        ("proxy", "127.0.0.1:7432", "127.0.0.1", "<IP address>:<port>"),
        ("proxy", "127.0.0.1:7432", "127.0.0.1:70000", "0 to 65535"),
        ("proxy", "port = 6432", "port = 70000", "less than or equal to 65"),
        ("proxy", '["127.0.0.1:7001"]', "[]", "control: "),
        ("proxy", "0123456789abcdef", "short", "at least 8"),
        ("proxy", "[location]", "[location", "not valid TOML"),
        ("proxy", "port =", "porte =", "entry.porte: unknown key"),
        (
            "proxy",
            "[location]",
            "[timing]\nrenew_interval_ms = 9\n[location]",
            "timing.renew_interval_ms: Input should be greater than or "
            "equal to 50 (got 9)",
        ),
        (
            "proxy",
            "[location]",
            "[timing]\ndrain_timeout_ms = 40000\n[location]",
            "timing.drain_timeout_ms (40000) must be above "
            "entry.drain_timeout_ms + entry.drain_answer_timeout_ms (40000)",
        ),
        (
            "proxy",
            "[location]",
            "[owner]\ndrain_timeout_ms = 40000\n[location]",
            "timing.drain_timeout_ms (45000) must be above "
            "owner.drain_timeout_ms + owner.drain_answer_timeout_ms (50000)",
        ),
        ("control", 'member = "control-0"\nl', 'member = "x"\nl', "join"),
        (
            "control",
            "[[members]]",
            '[[members]]\nmember = "control-0"\n'
            'address = "127.0.0.1:7002"\n[[members]]',
            "member control-0 occurs twice",
        ),
    ],
)
def test_bad_settings_name_file_key_and_range(
    tmp_path, kind, old, new, expected
):
    # An invalid value that is accepted would cause a fault only at run time,
    # on one of many VMs.
    text = MODELS[kind][1].replace(old, new, 1)
    problem = load(tmp_path, kind, text).unwrap_err()
    assert "settings.toml" in problem
    assert expected in problem


def test_secret_is_not_shown(tmp_path):
    # Error messages appear in logs and terminals.
    text = GOOD_PROXY.replace("0123456789abcdef", "abc")
    assert "abc" not in load(tmp_path, "proxy", text).unwrap_err()


@pytest.mark.parametrize(
    ("kind", "old", "new"),
    [
        ("proxy", "[location]", "[owner]\npassword = 987654\n[location]"),
        (
            "proxy",
            "[location]",
            "[entry.passwords]\npay = 987654\n[location]",
        ),
        ("proxy", "[entry]", "[entry]\npasswords = 987654"),
        ("proxy", "[location]", "[owner]\npassword = [987654]\n[location]"),
        ("proxy", "[location]", "[[owner]]\npassword = 987654\n[location]"),
        ("control", "[[", "endpoint_password = 987654\n[["),
    ],
    ids=[
        "owner's password",
        "callers' password",
        "callers' passwords",
        "list of passwords",
        "table that is a list",
        "control's password",
    ],
)
def test_password_is_not_shown(tmp_path, kind, old, new):
    # Error messages appear in logs and terminals.  A password of digits that
    # is not quoted is a number, which is refused.
    text = MODELS[kind][1].replace(old, new, 1)
    problem = load(tmp_path, kind, text).unwrap_err()
    assert "password" in problem or "owner" in problem
    assert "987654" not in problem


def test_deeply_nested_file(tmp_path):
    # It must not end the program with a traceback.
    assert load(tmp_path, "proxy", "a = " + "[" * 100_000).is_err()
