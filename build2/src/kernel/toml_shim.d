build2/src/kernel/toml_shim.o: src/kernel/toml_shim.cc \
 src/kernel/toml_shim.h
