"""Registry to which decorators add functions."""


class Registry(dict):
    """Functions by key; each key is registered once.

    Examples
    --------
    >>> HANDLERS = Registry()
    >>> @HANDLERS.register("query", "parse")
    ... def handle(message):
    ...     return message
    >>> sorted(HANDLERS)
    ['parse', 'query']
    """

    def register(self, *keys):
        """Return a decorator that registers a function for ``keys``.

        Parameters
        ----------
        *keys : hashable
            What the function handles, such as a message type.

        Returns
        -------
        callable
            Returns the decorated function unchanged.

        Raises
        ------
        ValueError
            When the decorator is applied and a key is already taken.
        """

        def decorator(function):
            for key in keys:
                if key in self:
                    raise ValueError(f"{key!r} is registered twice")
                self[key] = function
            return function

        return decorator
