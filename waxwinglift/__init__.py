"""PostgreSQL proxy fleet with session consistency.

The folders follow life spans: ``request``, ``connection``, ``version`` and
``process``.  A shorter-lived folder may import from a longer-lived one; only
the wiring in ``process`` imports all of them.
"""

__version__ = "0.1.0"
