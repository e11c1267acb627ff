"""A client library of others (python-binary-memcached) against a server of the binary protocol:
pip install python-binary-memcached, then python bmemcached_client.py HOST:PORT [USER PASSWORD].
It ends with 0 if all that was stored is read as it was."""

import sys

import bmemcached


def main() -> None:
    address, *login = sys.argv[1:]
    client = bmemcached.Client((address,), *login)
    assert client.set("py-k", "value")
    assert client.get("py-k") == "value"
    assert client.get("py-none") is None
    assert client.set("py-object", {"parcel": [1, 2, 3]}), "flags are kept: the library marks its types by them"
    assert client.get("py-object") == {"parcel": [1, 2, 3]}
    assert client.set_multi({f"py-{n}": n for n in range(100)}) == []
    found = client.get_multi([f"py-{n}" for n in range(150)])
    assert found == {f"py-{n}": n for n in range(100)}, len(found)
    assert not client.add("py-k", "other")
    assert client.replace("py-k", "third")
    value, version = client.gets("py-k")
    assert value == "third" and client.cas("py-k", "fourth", version)
    assert not client.cas("py-k", "fifth", version), "it is another version now"
    assert client.incr("py-n", 5, default=40) == 40
    assert client.incr("py-n", 5) == 45
    assert client.decr("py-n", 50) == 0
    assert client.delete("py-k") and client.get("py-k") is None
    assert client.set("py-large", b"\x07" * 300_000)
    assert client.get("py-large") == b"\x07" * 300_000
    client.disconnect_all()
    print("python-binary-memcached: all as it should be")


main()
