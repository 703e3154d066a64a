build2/src/core/budget.o: src/core/budget.c src/core/budget.h
