# What people do here, by name.
.PHONY: build test lint run demo

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings

# RELAY_CONFIG names the platform's file; OPERATOR=deploy/flight.json sets up the Flight front.
run: build
	exec target/release/mallowgauge $(OPERATOR)

# The program with stand-in hosts and discovery on loopback; a query over HTTP and one over Flight.
demo: build
	cargo run --release --locked -q -p mallowgauge-testkit --bin demo
