# fulmargauge: build, checks and demo. `make help` lists the targets.

CC       ?= gcc
BUILD    ?= build
PKGS     := glib-2.0 gio-2.0 jansson libcurl libmicrohttpd libtirpc libxxhash \
            log4c libcyaml ck libuv
WARN     := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes
HARDEN   := -fstack-protector-strong -D_FORTIFY_SOURCE=2
OPT      ?= -O2
SAN      ?=
CPPFLAGS += -D_GNU_SOURCE -Ilib -Iplatform -Istandin $(shell pkg-config --cflags $(PKGS))
CFLAGS   += -std=gnu11 -g $(OPT) $(WARN) $(HARDEN) $(SAN)
LDLIBS   += $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lpthread -lm
LDFLAGS  += $(SAN)
# Sanitizer builds end at faults that other builds log and count.
CPPFLAGS += $(if $(SAN),-DFG_DEBUG_CHECKS)

GEN      := lib/peer/fg_proto.h lib/peer/fg_proto_xdr.c \
            lib/mesh/fg_mesh_proto.h lib/mesh/fg_mesh_proto_xdr.c
LIB_SRC  := $(wildcard lib/*/*.c platform/*.c)
LIB_OBJ  := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB      := $(BUILD)/libfulmargauge.a

# programs/NAME.c or programs/NAME/*.c is built into $(BUILD)/bin/NAME, and
# standin/NAME/*.c with standin/common into $(BUILD)/bin/standin-NAME.
PROG_SRC := $(wildcard programs/*.c programs/*/*.c)
SI_LIB   := $(patsubst %.c,$(BUILD)/%.o,$(wildcard standin/common/*.c))
SI_SRC   := $(filter-out standin/common/%,$(wildcard standin/*/*.c))
TEST_SRC := $(wildcard tests/unit/test_*.c)
TEST_AUX := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(TEST_SRC),$(wildcard tests/unit/*.c)))
BENCH_SRC := $(wildcard tests/bench/bench_*.c)
BENCH_AUX := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(BENCH_SRC),$(wildcard tests/bench/*.c)))

prog_names = $(sort $(foreach s,$(1),$(if $(filter $(2)/%.c,$(s)),$(firstword $(subst /, ,$(patsubst $(2)/%,%,$(basename $(s))))))))
PROGS    := $(call prog_names,$(PROG_SRC),programs)
SIS      := $(call prog_names,$(SI_SRC),standin)
BINS     := $(PROGS:%=$(BUILD)/bin/%) $(SIS:%=$(BUILD)/bin/standin-%)
TESTS    := $(patsubst tests/unit/%.c,$(BUILD)/bin/%,$(TEST_SRC))
BENCHES  := $(patsubst tests/bench/%.c,$(BUILD)/bin/%,$(BENCH_SRC))

.SECONDARY:

.PHONY: all
all: $(BINS)

.PHONY: help
help:
	@echo "make            build the programs and stand-ins into $(BUILD)/bin"
	@echo "make deps       install the Debian packages the build needs"
	@echo "make demo       install, build and run a whole system on loopback"
	@echo "make check      install, build and run every test"
	@echo "make lint       check the format and run the linters"
	@echo "make bench      compare the policies with the baselines"
	@echo "make slopes     measure state, CPU and bytes per unit (PART=roles: only the roles)"
	@echo "make check-asan make check-tsan   run the tests under the sanitizers"
	@echo "make fuzz       run each fuzzer for a fixed number of inputs"
	@echo "make format     format the sources with clang-format"

.PHONY: deps
deps:
	@scripts/install-deps.sh

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@echo "  AR      $@"
	@$(AR) rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC      $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# rpcgen output causes these warnings.
$(BUILD)/lib/peer/fg_proto_xdr.o $(BUILD)/lib/mesh/fg_mesh_proto_xdr.o: CFLAGS += -Wno-unused-variable -Wno-cast-function-type

define prog_rule
$(BUILD)/bin/$(3): $(patsubst %.c,$(BUILD)/%.o,$(wildcard $(1)/$(2).c $(1)/$(2)/*.c)) $(4) $(LIB)
	@mkdir -p $$(@D)
	@echo "  LD      $$@"
	@$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach p,$(PROGS),$(eval $(call prog_rule,programs,$(p),$(p),)))
$(foreach p,$(SIS),$(eval $(call prog_rule,standin,$(p),standin-$(p),$(SI_LIB))))

$(BUILD)/bin/test_%: $(BUILD)/tests/unit/test_%.o $(TEST_AUX) $(LIB)
	@mkdir -p $(@D)
	@echo "  LD      $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bin/bench_%: $(BUILD)/tests/bench/bench_%.o $(BENCH_AUX) $(LIB)
	@mkdir -p $(@D)
	@echo "  LD      $@"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# rpcgen output is committed; needed only after a change of a .x file.
.PHONY: proto
proto:
	cd lib/peer && rm -f fg_proto.h fg_proto_xdr.c && \
	rpcgen -N -M -h -o fg_proto.h fg_proto.x && \
	rpcgen -N -M -c -o fg_proto_xdr.c fg_proto.x
	cd lib/mesh && rm -f fg_mesh_proto.h fg_mesh_proto_xdr.c && \
	rpcgen -N -M -h -o fg_mesh_proto.h fg_mesh.x && \
	rpcgen -N -M -c -o fg_mesh_proto_xdr.c fg_mesh.x && \
	sed -i 's/"fg_mesh.h"/"fg_mesh_proto.h"/' fg_mesh_proto_xdr.c

.PHONY: tests
tests: $(BINS) $(TESTS)

.PHONY: check
check: deps
	@$(MAKE) --no-print-directory tests asan-gateway
	@BUILD=$(BUILD) tests/run.sh

.PHONY: unit
unit: tests
	@BUILD=$(BUILD) tests/run.sh unit

.PHONY: demo
demo: deps
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) scripts/demo.sh

.PHONY: bench
bench: $(BENCHES)
	@set -e; for b in $(filter-out %/bench_slopes,$(BENCHES)); do $$b; done

.PHONY: slopes
slopes: $(BUILD)/bin/bench_slopes
	@$(BUILD)/bin/bench_slopes $(PART)

ASAN := BUILD=build/asan OPT=-O1 SAN="-fsanitize=address,undefined -fno-omit-frame-pointer" HARDEN=-fstack-protector-strong

.PHONY: check-asan
check-asan:
	@$(MAKE) --no-print-directory $(ASAN) tests
	@BUILD=build/asan tests/run.sh sanitized

# The gateway alone, for the scenario that tests/run.sh plays with it.
.PHONY: asan-gateway
asan-gateway:
	@$(MAKE) --no-print-directory $(ASAN) build/asan/bin/fg-gateway

.PHONY: check-tsan
check-tsan:
	@$(MAKE) --no-print-directory BUILD=build/tsan OPT=-O1 SAN=-fsanitize=thread HARDEN=-fstack-protector-strong tests
	@G_SLICE=always-malloc BUILD=build/tsan tests/run.sh sanitized

.PHONY: fuzz
fuzz:
	@scripts/fuzz.sh

SOURCES := $(filter-out $(GEN),$(wildcard lib/*/*.[ch] platform/*.[ch] programs/*.[ch] programs/*/*.[ch] standin/*/*.[ch] tests/*/*.[ch]))

.PHONY: lint
lint:
	@clang-format --dry-run -Werror $(SOURCES)
	@cppcheck --quiet --std=c11 --enable=warning,portability --inline-suppr '-DG_DEFINE_QUARK(a,b)=' \
		--suppress=missingIncludeSystem --suppress=varFuncNullUB --error-exitcode=1 -j 4 -Ilib -Istandin \
		$(filter-out $(GEN) tests/%,$(filter %.c,$(SOURCES)))
	@printf '%s\n' $(filter-out $(GEN) tests/%,$(filter %.c,$(SOURCES))) | \
		xargs -P 4 -n 4 sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS) 2>/dev/null || exit 255' tidy
	@echo "lint: clean"

.PHONY: format
format:
	@clang-format -i $(SOURCES)

.PHONY: clean
clean:
	rm -rf build out

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
