"""Forms in which operators write a desired state."""

import json

import pydantic
from result import Err
from result import Ok
from result import Result

from waxwinglift.process._registry import Registry
from waxwinglift.version._desired import DesiredStateRequest

# Functions that return the request of a document's bytes, or why it is
# invalid, by the name of the form.
DESIRED_FORMATS = Registry()
PRODUCT_FORMAT = "product"


@DESIRED_FORMATS.register(PRODUCT_FORMAT)
def decode_product_form(body: bytes) -> Result[DesiredStateRequest, str]:
    """Decode the JSON object of a `DesiredStateRequest`.

    ``document`` may be missing: the file itself is the operator's document.
    """
    try:
        values = json.loads(body)
        if isinstance(values, dict):
            values.setdefault("document", [])
        # Only this command needs the adapter, which takes long to build.
        adapter = pydantic.TypeAdapter(DesiredStateRequest)
        return Ok(adapter.validate_json(json.dumps(values)))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"])
        return Err(f"{key}: {first['msg']}" if key else first["msg"])
    except (ValueError, RecursionError) as error:
        return Err(f"not JSON: {error}")
