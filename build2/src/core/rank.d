build2/src/core/rank.o: src/core/rank.c src/core/rank.h
