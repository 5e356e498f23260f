"""Asks a mallowgauge over Arrow Flight with pyarrow: a search, a hold asked for twice, holds in bulk, an
exchange. `python3 flight_example.py grpc://127.0.0.1:8815 [USER PASSWORD]`; `pip install pyarrow` first."""

import json
import sys
import uuid

import pyarrow as pa
import pyarrow.flight as fl


def command(kind, shards, **more):
    return {"kind": kind, "id": uuid.uuid4().hex[:16], "ranges": shards, "predicate": "c41e77d0", **more}


def ask(client, wish, options):
    """The rows of a query, and whether they are all of them."""
    info = client.get_flight_info(fl.FlightDescriptor.for_command(json.dumps(wish)), options)
    tables, whole = [], True
    for endpoint in info.endpoints:
        reader, last = client.do_get(endpoint.ticket, options), None
        for chunk in reader:
            if chunk.data is not None:
                tables.append(pa.Table.from_batches([chunk.data]))
            if chunk.app_metadata is not None:
                last = json.loads(chunk.app_metadata.to_pybytes())
        # Only the last message says it; a stream that was cut short has none and raises.
        whole = whole and last["total"]
    return pa.concat_tables(tables).unify_dictionaries(), whole


def main():
    client = fl.connect(sys.argv[1])
    options = fl.FlightCallOptions(timeout=3.0)
    if len(sys.argv) > 3:
        token = client.authenticate_basic_token(sys.argv[2], sys.argv[3])
        options = fl.FlightCallOptions(timeout=3.0, headers=[token])

    rows, whole = ask(client, command("search", [0, 1, 2]), options)
    print(f"search: {rows.num_rows} rows, columns {rows.column_names}, whole: {whole}")

    hold = command("place-hold", [0])
    first, _ = ask(client, hold, options)
    second, _ = ask(client, hold, options)
    print(f"hold asked for twice under one id: the same outcome: {first.equals(second)}")

    holds = pa.table({
        "id": [uuid.uuid4().hex[:16] for _ in range(3)],
        "kind": ["place-hold"] * 3,
        "ranges": pa.array([[0], [1], [2]], pa.list_(pa.uint32())),
        "predicate": ["c41e77d0"] * 3,
    })
    writer, results = client.do_put(fl.FlightDescriptor.for_command("{}"), holds.schema, options)
    writer.write_table(holds)
    writer.done_writing()
    for _ in range(3):
        result = json.loads(results.read().to_pybytes())
        print(f"hold in bulk: row {result['row']}: {result['status']}")
    writer.close()

    writer, reader = client.do_exchange(fl.FlightDescriptor.for_command("{}"), options)
    for tag, shard in [("a", 0), ("b", 1)]:
        writer.write_metadata(json.dumps({"tag": tag, **command("search", [shard])}).encode())
    writer.done_writing()
    for chunk in reader:
        if chunk.app_metadata is not None:
            said = json.loads(chunk.app_metadata.to_pybytes())
            if "status" in said:
                print(f"exchange: {said['tag']}: {said['status']}")
    writer.close()

    try:
        client.get_flight_info(fl.FlightDescriptor.for_command(b'{"kind": "browse"}'), options)
    except pa.ArrowInvalid as e:
        print(f"a class that is not: {str(e).split('.')[0]}")
    for action in client.list_actions(options):
        print(f"action {action.type}")


if __name__ == "__main__":
    main()
