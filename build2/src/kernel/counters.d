build2/src/kernel/counters.o: src/kernel/counters.c src/kernel/counters.h
