/* ss-client: checks an entry VM with libpq and with malformed input.
 *
 *   ss-client IP PORT SERVICE
 *
 * Prints each failed check.  The exit status is 0 if all checks pass, 1 if one
 * fails and 2 for wrong arguments.
 */
#include <arpa/inet.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *ip;
static const char *port;
static const char *service;
static int failures;

static void
check (bool ok, const char *what)
{
  if (ok)
    return;
  fprintf (stderr, "ss-client: %s\n", what);
  failures++;
}

static PGconn *
connect_to (const char *database, const char *more)
{
  char conninfo[512];

  snprintf (conninfo, sizeof conninfo,
            "hostaddr=%s port=%s dbname=%s user=check sslmode=prefer %s", ip,
            port, database, more);
  return PQconnectdb (conninfo);
}

/* Runs SQL and returns whether its first value, SQLSTATE or command tag is
 * EXPECTED.
 */
static bool
returns (PGconn *pq, const char *sql, const char *expected)
{
  PGresult *r = PQexec (pq, sql);
  const char *got;
  bool ok;

  if (PQresultStatus (r) == PGRES_TUPLES_OK && PQntuples (r) > 0)
    got = PQgetvalue (r, 0, 0);
  else if (PQresultStatus (r) == PGRES_FATAL_ERROR)
    got = PQresultErrorField (r, PG_DIAG_SQLSTATE);
  else
    got = PQcmdStatus (r);
  ok = got && strcmp (got, expected) == 0;
  if (!ok)
    fprintf (stderr, "ss-client: %s returned %s, expected %s\n", sql,
             got ? got : "(nothing)", expected);
  PQclear (r);
  return ok;
}

static void
check_statements (const char *key)
{
  char insert[128];
  char update[128];
  char select[128];
  PGconn *pq = connect_to (service, "");
  PGresult *r;

  snprintf (insert, sizeof insert,
            "INSERT INTO notes (key, value) VALUES ('%s', '1')", key);
  snprintf (update, sizeof update,
            "UPDATE notes SET value = '2' WHERE key = '%s'", key);
  snprintf (select, sizeof select, "SELECT value FROM notes WHERE key = '%s'",
            key);
  check (PQstatus (pq) == CONNECTION_OK, "a libpq client is refused");
  check (returns (pq, insert, "INSERT 0 1"), "INSERT");
  check (returns (pq, select, "1"), "SELECT");
  check (returns (pq, "BEGIN", "BEGIN"), "BEGIN");
  check (returns (pq, update, "UPDATE 1"), "UPDATE");
  check (PQtransactionStatus (pq) == PQTRANS_INTRANS,
         "the transaction status after BEGIN is wrong");
  check (returns (pq, "ROLLBACK", "ROLLBACK"), "ROLLBACK");
  check (returns (pq, select, "1"), "SELECT after ROLLBACK");
  check (returns (pq, "SELEKT", "42601"),
         "the SQLSTATE of a syntax error is wrong");
  r = PQexecParams (pq, "SELECT $1", 1, NULL, (const char *const[]){ "1" },
                    NULL, NULL, 0);
  check (PQresultStatus (r) == PGRES_FATAL_ERROR
             && strcmp (PQresultErrorField (r, PG_DIAG_SQLSTATE), "0A000") == 0,
         "the extended protocol is not refused with 0A000");
  PQclear (r);
  check (returns (pq, select, "1"), "the connection is not usable after 0A000");
  PQfinish (pq);
}

static void
check_request_id (void)
{
  PGconn *pq = connect_to (service, "");

  for (int i = 0; i < 2; i++)
    {
      check (returns (pq, "SET sapphirestair.request_id = 'once'", "SET"),
             "SET request_id");
      check (returns (pq, "INSERT INTO notes (key, value) VALUES ('b', '1')",
                      "INSERT 0 1"),
             "INSERT with an idempotency key");
    }
  check (returns (pq, "SELECT count(*) FROM notes WHERE key = 'b'", "1"),
         "a write with a repeated idempotency key ran again");
  PQfinish (pq);
}

static void
check_cancel (void)
{
  PGconn *pq = connect_to (service, "");
  PGcancel *cancel = PQgetCancel (pq);
  char text[256];
  PGresult *r;

  PQsendQuery (pq, "SELECT value FROM notes WHERE key = 'a'");
  check (PQcancel (cancel, text, sizeof text) == 1,
         "a cancel request is refused");
  r = PQgetResult (pq);
  check (PQresultStatus (r) == PGRES_TUPLES_OK
             || strcmp (PQresultErrorField (r, PG_DIAG_SQLSTATE), "57014") == 0,
         "the SQLSTATE of a cancelled statement is wrong");
  PQclear (r);
  while ((r = PQgetResult (pq)))
    PQclear (r);
  check (returns (pq, "SELECT value FROM notes WHERE key = 'a'", "1"),
         "the connection is not usable after a cancel request");
  PQfreeCancel (cancel);
  PQfinish (pq);
}

static void
check_refusals (void)
{
  PGconn *pq = connect_to ("nowhere", "");

  check (PQstatus (pq) != CONNECTION_OK, "an unknown service is served");
  PQfinish (pq);
  pq = connect_to (service, "options='-c sapphirestair.token=x'");
  check (PQstatus (pq) != CONNECTION_OK, "a malformed token is accepted");
  PQfinish (pq);
}

/* Sends DATA and checks that the VM closes the connection; each read waits for
 * 10 s at most.
 */
static void
check_malformed (const char *what, const void *data, size_t bytes)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { 10, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char answer[4096];
  ssize_t got = -1;

  address.sin_port = htons ((uint16_t) atoi (port));
  inet_pton (AF_INET, ip, &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0
      && send (fd, data, bytes, MSG_NOSIGNAL) == (ssize_t) bytes)
    while ((got = recv (fd, answer, sizeof answer, 0)) > 0)
      continue;
  check (got == 0, what);
  close (fd);
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    {
      fprintf (stderr, "usage: ss-client IP PORT SERVICE\n");
      return 2;
    }
  ip = argv[1];
  port = argv[2];
  service = argv[3];
  check_statements ("a");
  check_request_id ();
  check_cancel ();
  check_refusals ();
  check_malformed ("protocol version 2 is not refused", "\0\0\0\x08\0\2\0\0",
                   8);
  check_malformed ("an oversized startup message is not refused",
                   "\x7f\0\0\0\0\3\0\0", 8);
  check_malformed ("unterminated startup parameters are not refused",
                   "\0\0\0\x0c\0\3\0\0user", 12);
  check_malformed ("a client that sends nothing is not disconnected", "", 0);
  check_statements ("c");
  return failures ? 1 : 0;
}
