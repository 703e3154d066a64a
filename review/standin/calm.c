/* calm: a check of the stand-ins: some writes and reads, no disruption. */
#include <stdio.h>
#include <string.h>
#include "world.h"

int
main (int argc, char **argv)
{
  int ok = 0;
  int bad = 0;

  if (argc < 2 || !world_start (argv[1]))
    {
      world_stop ();
      return 2;
    }
  for (int k = 0; k < 60; k++)
    {
      static const char *const dbs[] = { DB_PRIMARY, DB_OWN, DB_BOUNDED };
      Caller c;
      char id[32];
      Answer a;

      if (!caller_open (&c, k % FRONTS, dbs[k % 3]))
        {
          bad++;
          continue;
        }
      if (k % 3 != 2)
        {
          new_id (id);
          a = caller_query (&c, id, "WRITE 1a4 abc", 2000);
          if (a.kind == ANSWER_DONE && is_signature_of (a.text, id)) ok++; else bad++;
        }
      new_id (id);
      a = caller_query (&c, id, "READ 1a4", 2000);
      if (a.kind == ANSWER_DONE && is_signature_of (a.text, id)) ok++; else bad++;
      caller_close (&c);
    }
  world_stop ();
  printf ("ok %d bad %d\n", ok, bad);
  return bad != 0;
}
