# What people do here, by name.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# RELAY_CONFIG names the platform's file; OPERATOR=deploy/flight.json sets up the Flight front.
run: build
	exec target/release/mallowgauge $(OPERATOR)
