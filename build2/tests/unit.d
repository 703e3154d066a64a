build2/tests/unit.o: tests/unit.c tests/unit.h
