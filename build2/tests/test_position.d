build2/tests/test_position.o: tests/test_position.c src/core/position.h \
 tests/unit.h
