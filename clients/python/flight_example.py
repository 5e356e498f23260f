"""Example client of mallowgauge over Arrow Flight: a search, a non-idempotent query that is sent twice under one id,
a batch of such queries with DoPut, and tagged queries with DoExchange.

Usage: `python3 flight_example.py grpc://127.0.0.1:8815 [USER PASSWORD]`. Requires pyarrow (`pip install pyarrow`).
"""

import json
import sys
import uuid

import pyarrow as pa
import pyarrow.flight as fl


def command(kind, shards):
    """The command of a query, to be sent as JSON."""
    return {"kind": kind, "id": uuid.uuid4().hex[:16], "ranges": shards, "predicate": "c41e77d0"}


def run_query(client, query, options):
    """Sends a query and fetches its answer. Returns the rows, and whether the answer is complete."""
    info = client.get_flight_info(fl.FlightDescriptor.for_command(json.dumps(query)), options)
    tables, complete = [], True
    for endpoint in info.endpoints:
        reader, last_metadata = client.do_get(endpoint.ticket, options), None
        for chunk in reader:
            if chunk.data is not None:
                tables.append(pa.Table.from_batches([chunk.data]))
            if chunk.app_metadata is not None:
                last_metadata = json.loads(chunk.app_metadata.to_pybytes())
        # Only the last message states whether the answer is complete. A truncated stream raises an error.
        complete = complete and last_metadata["total"]
    return pa.concat_tables(tables).unify_dictionaries(), complete


def main():
    client = fl.connect(sys.argv[1])
    options = fl.FlightCallOptions(timeout=3.0)
    if len(sys.argv) > 3:
        token = client.authenticate_basic_token(sys.argv[2], sys.argv[3])
        options = fl.FlightCallOptions(timeout=3.0, headers=[token])

    rows, complete = run_query(client, command("search", [0, 1, 2]), options)
    print(f"search: {rows.num_rows} rows, columns {rows.column_names}, complete: {complete}")

    # A client that loses an answer sends the query again under the same id; it is executed only once.
    hold = command("place-hold", [0])
    first, _ = run_query(client, hold, options)
    second, _ = run_query(client, hold, options)
    print(f"hold sent twice under one id, same outcome: {first.equals(second)}")

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
        print(f"batch of holds: row {result['row']}: {result['status']}")
    writer.close()

    writer, reader = client.do_exchange(fl.FlightDescriptor.for_command("{}"), options)
    for tag, shard in [("a", 0), ("b", 1)]:
        writer.write_metadata(json.dumps({"tag": tag, **command("search", [shard])}).encode())
    writer.done_writing()
    for chunk in reader:
        if chunk.app_metadata is not None:
            metadata = json.loads(chunk.app_metadata.to_pybytes())
            if "status" in metadata:
                print(f"exchange: {metadata['tag']}: {metadata['status']}")
    writer.close()

    try:
        client.get_flight_info(fl.FlightDescriptor.for_command(b'{"kind": "browse"}'), options)
    except pa.ArrowInvalid as error:
        print(f"unknown class: {str(error).split('.')[0]}")
    for action in client.list_actions(options):
        print(f"action {action.type}")


if __name__ == "__main__":
    main()
