#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "kernel/settings.h"
#include "tests/unit.h"

#define GOOD                                                                   \
  "[vm]\nname = \"a\"\nfailure_domain = \"d\"\nip = \"127.0.0.1\"\n"           \
  "caller_port = 1\npeer_port = 2\nadmin_port = 3\n"                           \
  "[platform]\nip = \"127.0.0.1\"\nport = 4\n"

/* The message that TEXT gives; NULL where it is valid. */
static char *
check (const char *text)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("ss-settings-XXXXXX", &path, NULL);
  SsSettings s;
  char *error;

  g_close (fd, NULL);
  g_file_set_contents (path, text, -1, NULL);
  error = ss_settings_init (&s, path);
  ss_settings_finish (&s);
  g_unlink (path);
  g_free (path);
  return error;
}

static void
expect (const char *text, const char *words)
{
  char *error = check (text);

  CU_ASSERT_PTR_NOT_NULL (error);
  if (error && !strstr (error, words))
    {
      g_printerr ("got \"%s\", expected \"%s\"\n", error, words);
      CU_FAIL ("the message does not say what is wrong");
    }
  g_free (error);
}

static void
takes_a_whole_file (void)
{
  char *error = check (GOOD);

  CU_ASSERT_PTR_NULL (error);
  g_free (error);
}

static void
names_line_key_and_what_is_allowed (void)
{
  expect (GOOD "colour = 1\n", ":11: unknown key platform.colour");
  expect (GOOD "[log]\nlevel = 3\n", ":12: log.level must be a string");
  expect (GOOD "[log]\nlevel = \"loud\"\n", "log.level must be debug, info");
  expect (GOOD "[callers]\nmax = 0\n",
          ":12: callers.max must be from 1 to 1000000");
  expect (GOOD "[callers]\nmax = \"x\"\n",
          ":12: callers.max must be an integer");
  expect (GOOD "[log]\nspans = 1\n", "log.spans must be true or false");
  expect ("[vm]\nname = \"a\"\n", "is missing");
  expect ("[vm]\nname = \"\"\n", ":2: vm.name must not be empty");
  expect (GOOD "[platform]\n", "platform");
  expect (GOOD "port = 5\n", "port");
  expect ("[vm\n", "");
}

static void
refuses_names_for_addresses (void)
{
  char **parts = g_strsplit (GOOD, "127.0.0.1", 2);
  char *text = g_strconcat (parts[0], "localhost", parts[1], NULL);

  expect (text, "vm.ip must be an IPv4 number, not \"localhost\"");
  g_free (text);
  g_strfreev (parts);
}

static void
says_that_a_file_is_absent (void)
{
  SsSettings s;
  char *error = ss_settings_init (&s, "/nonexistent.toml");

  CU_ASSERT_PTR_NOT_NULL (error);
  g_free (error);
  ss_settings_finish (&s);
}

/* The users' platform writes whole numbers as it likes. */
static void
takes_numbers_of_the_platform (void)
{
  char *error = check (GOOD "apply_ms = 3000.0\n[callers]\nmax = 7\n");

  CU_ASSERT_PTR_NULL (error);
  g_free (error);
  expect (GOOD "apply_ms = 3000.5\n", "apply_ms must be an integer");
  error = check ("[vm]\nname = \"a\"\nfailure_domain = \"d\"\n"
                 "ip = \"127.0.0.1\"\ninterface = \"line\"\n"
                 "callers_at = \"127.0.0.1:1\"\nready_at = \"127.0.0.1:5\"\n"
                 "peer_port = 2\nadmin_port = 3\ngrace_s = 2.5\n"
                 "[platform]\nat = \"127.0.0.1:4\"\n"
                 "promotions_at = \"127.0.0.1:6\"\n");
  CU_ASSERT_PTR_NULL (error);
  g_free (error);
  expect (GOOD "at = \"somewhere:1\"\n", "platform.at must be IPv4:PORT");
  expect ("[vm]\nname = \"a\"\nfailure_domain = \"d\"\n"
          "ip = \"127.0.0.1\"\ncaller_port = 1\npeer_port = 2\n"
          "admin_port = 3\ninterface = \"telnet\"\n"
          "[platform]\nip = \"127.0.0.1\"\nport = 4\n",
          "vm.interface must be postgresql or line");
  expect ("[vm]\ngrace_s = -1\n", "grace_s must be a number");
}

CU_TestInfo test_settings[] = {
  { "takes a whole file", takes_a_whole_file },
  { "names line, key and what is allowed", names_line_key_and_what_is_allowed },
  { "refuses names for addresses", refuses_names_for_addresses },
  { "says that a file is absent", says_that_a_file_is_absent },
  { "takes numbers of the platform", takes_numbers_of_the_platform },
  CU_TEST_INFO_NULL,
};
