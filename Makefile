# What people do here, by name.
.PHONY: build test lint run demo demo-flight bench-flight bench-phases test-phases trial trial-long trial-figures test-register \
	trial-handover trial-planted sites

build:
	cargo build --release --locked

# ARGS goes on to cargo test.
test:
	cargo test --workspace --locked $(ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# RELAY_CONFIG names the platform's file; OPERATOR=deploy/flight.json sets up the Flight front.
run: build
	exec target/release/mallowgauge $(OPERATOR)

# Lays the bench's names beside the sites of deploy/sites; a site and they are read from one folder.
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/design.json $(KIT)/sites/unlock.txt deploy/sites

# The program with stand-in hosts and discovery on loopback; a query over HTTP and one over Flight.
demo: build
	cargo run --release --locked -q -p mallowgauge-testkit --bin demo

# What column tables cost through the program, beside text and beside reading hosts directly; takes minutes.
bench-flight: build
	cargo run --release --locked -q -p mallowgauge-testkit --bin bench-flight

# The Python and the Rust example against a program with stand-in hosts; wants pyarrow (pip install pyarrow).
demo-flight: build
	cargo build --release --locked -q -p mallowgauge-flight-example
	cargo run --release --locked -q -p mallowgauge-testkit --bin demo -- python3 clients/python/flight_example.py grpc://ADDR
	cargo run --release --locked -q -p mallowgauge-testkit --bin demo -- target/release/mallowgauge-flight-example http://ADDR

# Two-phase searches beside single-phase ones; takes about five minutes.
bench-phases: build
	cargo run --release --locked -q -p mallowgauge-testkit --bin bench-phases

# The plan against its model, in 100,000 random cases.
test-phases:
	PHASES_CASES=100000 cargo test --release --locked -p mallowgauge-core --test two_phase

# Several real processes with faults between them: every plan file; takes about two minutes.
trial: build
	cargo build --release --locked -q -p mallowgauge-lab
	target/release/mallowgauge-lab fleet run trials

# Plans from 200 seeds, five processes each.
trial-long: build
	cargo build --release --locked -q -p mallowgauge-lab
	target/release/mallowgauge-lab fleet replay 1 --count 200 --jobs 4

# How soon a loss is known, what an idle fleet sends, what the section costs; wants an idle machine.
trial-figures: build
	cargo build --release --locked -q -p mallowgauge-lab
	target/release/mallowgauge-lab fleet measure
	target/release/mallowgauge-lab fleet cost

# The register of a query under every order of events: a fleet of one owner and a rival whole, others by random walks.
test-register:
	REGISTER_WALKS=200 cargo test --release --locked -p mallowgauge-cluster --test register_model -- --include-ignored --nocapture
	TAKEOVER_SEEDS=20000 cargo test --release --locked -p mallowgauge-cluster --test takeover

# Five processes, 2,000 kills, halts and cuts under load, 100,000 holds counted at the hosts; takes about a quarter of an hour.
trial-handover: build
	cargo build --release --locked -q -p mallowgauge-lab
	target/release/mallowgauge-lab fleet storm --faults 2000 --holds 100000

# A program with a promise broken on purpose, one after the other: each has to be caught.
trial-planted: build
	cargo build --release --locked -q -p mallowgauge-lab
	cargo build --release --locked -q -p mallowgauge --features planted --target-dir target/planted
	for bug in skip-the-intent forget-a-promise send-after-the-fence answer-before-the-record adopt-without-a-majority; do \
		echo "planted: $$bug"; \
		MALLOWGAUGE=target/planted/release/mallowgauge MALLOWGAUGE_PLANTED=$$bug \
			target/release/mallowgauge-lab fleet storm --faults 600 --each 30 --caught | grep -A2 -E 'caught|BROKEN|plans that' || exit 1; \
	done
