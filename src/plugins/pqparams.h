/* pqparams: the parameters of a connection to a target, for libpq.
 *
 * Each value is passed as it is: none is part of a connection string, in which
 * it could become another parameter.
 */
#ifndef SS_PQPARAMS_H
#define SS_PQPARAMS_H

#include <stdint.h>

#define SS_PQPARAMS_MAX 10
#define SS_PQPARAMS_PORT_BYTES 6

typedef struct
{
  const char *names[SS_PQPARAMS_MAX + 1]; /* ended by NULL, as libpq has it */
  const char *values[SS_PQPARAMS_MAX + 1];
  char port[SS_PQPARAMS_PORT_BYTES]; /* values refers to it */
} SsPqParams;

/* ss_pqparams_fill: fills PARAMS, which must not move afterwards, for the
 * server at ADDRESS (borrowed) and PORT.
 */
void ss_pqparams_fill (SsPqParams *params, const char *address, uint16_t port);

#endif
