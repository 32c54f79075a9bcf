"""Small HTTP requests with short timeouts, for administration and polling."""

import http.client
import json


def request(address: str, port: int, method: str, target: str, body=None, headers=None, timeout: float = 3.0):
    """(status, headers, body); status 0 when nobody answered."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, target, payload, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def get_json(address: str, port: int, target: str, timeout: float = 10.0):
    """The JSON of a 200 answer, else None."""
    status, _, body = request(address, port, "GET", target, timeout=timeout)
    return json.loads(body) if status == 200 else None
