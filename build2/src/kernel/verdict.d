build2/src/kernel/verdict.o: src/kernel/verdict.c src/kernel/verdict.h
