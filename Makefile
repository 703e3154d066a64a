# sapphirestair: builds, tests and checks all programs.
B = build
PKGS = glib-2.0 jansson libcurl libmicrohttpd libpq libprotobuf-c libxxhash zlib
CFLAGS ?= -O2 -g
SAN ?=
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Werror
CPPFLAGS += -I. -Isrc -I$B $(shell pkg-config --cflags $(PKGS))
CSTD = -std=gnu11
LIBS = $(shell pkg-config --libs $(PKGS)) -lev -lm

KERNEL = compare text clock verdict counters log settings json_items stream httpd httpc
CORE = $(basename $(notdir $(wildcard src/core/*.c)))
KERNEL_O = $(KERNEL:%=$B/src/kernel/%.o) $B/src/kernel/toml_shim.o
CORE_O = $(CORE:%=$B/src/core/%.o) $B/proto/peer.pb-c.o
PLATFORM = $(patsubst %.c,$B/%.o,$(wildcard platform/*.c))
PLUGINS = pgserver pqtarget platform_http admin_http metrics peer
DAEMON_O = $(KERNEL_O) $(CORE_O) $B/src/kernel/plugin.o $B/src/kernel/exit.o $B/src/kernel/callers.o $B/src/kernel/caller_end.o $B/src/kernel/target_connections.o $B/src/kernel/http_outcome.o \
  $(PLUGINS:%=$B/src/plugins/%.o) $B/src/plugins/pgwire.o $B/src/plugins/pqparams.o $B/src/plugins/scram.o $B/src/plugins/platform_api.o \
  $(PLATFORM) $B/src/daemon/main.o
TARGET_O = $(addprefix $B/standin/,target.o log_receiver.o session.o server.o store.o sql.o) \
  $B/src/kernel/stream.o $B/src/kernel/clock.o $B/src/plugins/pgwire.o
PLATFORM_O = $(addprefix $B/standin/,platform.o objects.o) $B/src/kernel/compare.o $B/src/kernel/httpd.o
LOAD_O = $(addprefix $B/bench/,ss_load.o load_ops.o load_report.o \
  ledger.o)
SCENARIO_O = $(addprefix $B/bench/,ss_scenario.o deploy.o deploy_control.o)
NETWORK_O = $B/standin/network.o $B/src/kernel/httpd.o $B/src/kernel/stream.o
SIM_O = $(addprefix $B/tests/,sim.o sim_target.o sim_platform.o \
  sim_callers.o) $B/bench/ledger.o $(CORE_O) \
  $(addprefix $B/standin/,session.o server.o store.o sql.o) \
  $(addprefix $B/src/kernel/,compare.o text.o clock.o verdict.o counters.o log.o) \
  $B/src/plugins/pgwire.o
UNIT_O = $(patsubst %.c,$B/%.o,$(wildcard tests/test_*.c)) $(SIM_O) \
  $(addprefix $B/tests/,unit.o line_sim.o line_sim_platform.o line_server.o \
  line_expect.o line_texts.o line_params.o server_reader.o sql_server.o \
  target_harness.o fleet_sim.o fleet_platform.o answers.o cache_sim.o rate_sim.o) \
  $(addprefix $B/platform/,line.o dialect.o errors.o records.o responses.o \
  targets.o callers.o) \
  $(addprefix $B/src/plugins/,metrics.o pqparams.o scram.o platform_api.o pgserver.o peer.o) \
  $(addprefix $B/src/kernel/,json_items.o settings.o toml_shim.o callers.o \
  caller_end.o exit.o \
  target_connections.o stream.o) $B/src/ctl/progress.o
WORLD_O = $(patsubst %.c,$B/%.o,$(wildcard tests/world/*.c)) \
  $B/tests/server_reader.o $B/src/core/replay.o \
  $(addprefix $B/src/kernel/,compare.o text.o)
CLUSTER_O = $(patsubst %.c,$B/%.o,$(wildcard tests/cluster/*.c)) \
  $(addprefix $B/tests/,server_reader.o world/net.o world/store.o \
  world/vms.o) $B/src/core/replay.o $(addprefix $B/src/kernel/,compare.o text.o)
SOURCES = $(filter-out proto/%,$(wildcard src/*/*.[ch] src/*/*.cc \
  platform/*.[ch] standin/*.[ch] bench/*.[ch] tests/*.[ch] \
  tests/world/*.[ch] tests/cluster/*.[ch]))
PROGRAMS = $(addprefix $B/,sapphirestaird sapphirectl ss-standin-target \
  ss-standin-platform ss-standin-network ss-load ss-scenario ss-property ss-unit ss-bench ss-client ss-soak \
  ss-world ss-cluster)

all: packages
	@$(MAKE) --no-print-directory $(PROGRAMS)

# Installs missing packages.
packages:
	@sh scripts/install-packages.sh

$B/sapphirestaird: $(DAEMON_O)
	$(CXX) $(SAN) -o $@ $^ $(LIBS)
$B/sapphirectl: $B/src/ctl/main.o $B/src/ctl/progress.o $B/src/core/scanner.o
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-standin-target: $(TARGET_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-standin-platform: $(PLATFORM_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-standin-network: $(NETWORK_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-scenario: $(SCENARIO_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-property: $(SIM_O) $B/tests/property.o
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-unit: $(UNIT_O)
	$(CXX) $(SAN) -o $@ $^ $(LIBS) -lcunit
$B/ss-bench: $B/bench/ss_bench.o $B/bench/ledger.o
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-client: $B/tests/client.o
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-soak: $B/bench/ss_soak.o
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-world: $(WORLD_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-cluster: $(CLUSTER_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)
$B/ss-load: $(LOAD_O)
	$(CC) $(SAN) -o $@ $^ $(LIBS)

# The codec of the peer protocol is generated.
CODEC_H = $B/proto/peer.pb-c.h
$B/proto/peer.pb-c.c $(CODEC_H) &: proto/peer.proto
	@mkdir -p $B/proto
	protoc-c --proto_path=proto --c_out=$B/proto peer.proto
$B/proto/%.o: $B/proto/%.c
	$(CC) $(CSTD) $(CPPFLAGS) $(CFLAGS) $(SAN) -MMD -c -o $@ $<
$B/%.o: %.c | $(CODEC_H)
	@mkdir -p $(dir $@)
	$(CC) $(CSTD) $(CPPFLAGS) $(WARN) $(CFLAGS) $(SAN) -MMD -c -o $@ $<
$B/%.o: %.cc
	@mkdir -p $(dir $@)
	$(CXX) -std=c++17 $(CPPFLAGS) -Wall -Wextra $(CFLAGS) $(SAN) -MMD -c -o $@ $<

check: all
	B=$B tests/run.sh

bench: all
	sh bench/run.sh

format:
	clang-format -i $(SOURCES)

lint: $(CODEC_H)
	clang-format --dry-run --Werror $(SOURCES)
	printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P8 -n4 sh -c \
	  'clang-tidy --quiet "$$@" -- $(CSTD) $(CPPFLAGS) 2>/dev/null' _

sanitize:
	$(MAKE) -j8 B=build-sanitize CFLAGS="-O1 -g" \
	  SAN="-fsanitize=address,undefined -fno-sanitize-recover=undefined" all
	ASAN_OPTIONS=detect_leaks=1 B=build-sanitize HISTORIES=80 RESTORES=16 tests/run.sh

demo: all
	$B/ss-scenario bench/demo.scn

clean:
	rm -rf $B

-include $(shell find $B -name '*.d' 2>/dev/null)
.PHONY: all bench packages check clean demo format lint sanitize
