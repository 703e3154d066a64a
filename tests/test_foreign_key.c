/* Idempotency keys of different organisations, and writes in sessions of read
 * kinds, on the PostgreSQL interface.
 * Red: see KNOWN-RED.txt.
 */
#include <string.h>

#include "tests/sql_server.h"
#include "tests/unit.h"

static void
run_for (SqlServer *sim, const char *organisation, uint64_t request,
         const char *sql)
{
  SqlRun run = { request, sql, strlen (sql), "order-7", organisation };

  sql_server_deliver_run (sim, &run);
}

/* Guards against a write that is answered from the record of another
 * organisation, which chose the same idempotency key, and never runs.
 */
static void
organisations_do_not_share_keys (void)
{
  SqlServer sim;

  sql_server_init (&sim);
  run_for (&sim, "alpha", 1, "INSERT INTO kv (key, value) VALUES ('a', '1')");
  run_for (&sim, "beta", 2, "INSERT INTO kv (key, value) VALUES ('b', '1')");
  CU_ASSERT (sql_server_rows (&sim, "a") == 1);
  CU_ASSERT (sql_server_rows (&sim, "b") == 1);
  run_for (&sim, "alpha", 3, "INSERT INTO kv (key, value) VALUES ('a', '1')");
  CU_ASSERT (sql_server_rows (&sim, "a") == 1);
  sql_server_finish (&sim);
}

/* Guards against "not run" for a write that ran: in a session of a read kind it
 * is repeated as a read, and refused where no server is left.
 */
static void
write_in_a_read_kind_is_not_told_as_not_run (void)
{
  const SsAction *reply;
  SqlServer sim;

  sql_server_init (&sim);
  sql_server_run (&sim, "SET sapphirestair.kind = 'report'");
  sim.loses_next = true;
  reply
      = sql_server_run (&sim, "INSERT INTO kv (key, value) VALUES ('a', '1')");
  CU_ASSERT (sql_server_rows (&sim, "a") == 0
             || reply->verdict != SS_VERDICT_NOT_RUN);
  sql_server_finish (&sim);
}

CU_TestInfo test_foreign_key[] = {
  { "organisations do not share keys", organisations_do_not_share_keys },
  { "write in a read kind is not told as not run",
    write_in_a_read_kind_is_not_told_as_not_run },
  CU_TEST_INFO_NULL,
};
