build2/src/kernel/clock.o: src/kernel/clock.c src/kernel/clock.h
