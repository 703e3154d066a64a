build2/src/kernel/log.o: src/kernel/log.c src/kernel/log.h
