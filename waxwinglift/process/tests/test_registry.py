"""Tests registries: a second function must not replace the first."""

import pytest

from waxwinglift.process import Registry


def handle(value):
    return value


@pytest.mark.parametrize("keys", [("a",), ("a", "b"), (int, str)])
def test_function_is_registered_for_each_key(keys):
    registry = Registry()
    assert registry.register(*keys)(handle) is handle
    assert registry == dict.fromkeys(keys, handle)


@pytest.mark.parametrize("keys", [("a",), ("b", "a")])
def test_taken_key_is_refused(keys):
    registry = Registry(a=handle)
    with pytest.raises(ValueError, match="'a' is registered twice"):
        registry.register(*keys)(str)
    assert registry["a"] is handle
