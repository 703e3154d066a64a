/* Settings files: accepted values and error messages. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "kernel/settings.h"
#include "tests/unit.h"

#define VALID_SETTINGS                                                         \
  "[vm]\nname = \"a\"\nfailure_domain = \"d\"\nip = \"127.0.0.1\"\n"           \
  "caller_port = 1\npeer_port = 2\nadmin_port = 3\n"                           \
  "[platform]\nip = \"127.0.0.1\"\nport = 4\n"

/* Loads TEXT as a settings file.  Returns the error message, to be freed with
 * g_free, or NULL if the file is valid.
 */
static char *
load_settings (const char *text)
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
expect_error (const char *text, const char *excerpt)
{
  char *error = load_settings (text);

  CU_ASSERT_PTR_NOT_NULL (error);
  if (error && !strstr (error, excerpt))
    {
      g_printerr ("got \"%s\", expected \"%s\"\n", error, excerpt);
      CU_FAIL ("the message lacks the expected text");
    }
  g_free (error);
}

static void
valid_file_is_accepted (void)
{
  char *error = load_settings (VALID_SETTINGS);

  CU_ASSERT_PTR_NULL (error);
  g_free (error);
}

static void
errors_name_line_key_and_allowed_values (void)
{
  expect_error (VALID_SETTINGS "colour = 1\n",
                ":11: unknown key platform.colour");
  expect_error (VALID_SETTINGS "[log]\nlevel = 3\n",
                ":12: log.level must be a string");
  expect_error (VALID_SETTINGS "[log]\nlevel = \"loud\"\n",
                "log.level must be debug, info");
  expect_error (VALID_SETTINGS "[callers]\nmax = 0\n",
                ":12: callers.max must be from 1 to 1000000");
  expect_error (VALID_SETTINGS "[callers]\nmax = \"x\"\n",
                ":12: callers.max must be an integer");
  expect_error (VALID_SETTINGS "[log]\nspans = 1\n",
                "log.spans must be true or false");
  expect_error (VALID_SETTINGS "[targets]\nlearn_speed = 1\n",
                "targets.learn_speed must be true or false");
  expect_error ("[vm]\nname = \"a\"\n", "is missing");
  expect_error ("[vm]\nname = \"\"\n", ":2: vm.name must not be empty");
  expect_error (VALID_SETTINGS "[platform]\n", "platform");
  expect_error (VALID_SETTINGS "port = 5\n", "port");
  expect_error ("[vm\n", "");
}

static void
host_names_are_refused (void)
{
  char **parts = g_strsplit (VALID_SETTINGS, "127.0.0.1", 2);
  char *text = g_strconcat (parts[0], "localhost", parts[1], NULL);

  expect_error (text, "vm.ip must be an IPv4 number, not \"localhost\"");
  g_free (text);
  g_strfreev (parts);
}

static void
missing_file_is_an_error (void)
{
  SsSettings s;
  char *error = ss_settings_init (&s, "/nonexistent.toml");

  CU_ASSERT_PTR_NOT_NULL (error);
  g_free (error);
  ss_settings_finish (&s);
}

/* The platform may write integers with a fraction of zero, and gives addresses
 * as IP:PORT.
 */
static void
settings_written_by_the_platform_are_accepted (void)
{
  char *error = load_settings (VALID_SETTINGS
                               "apply_ms = 3000.0\n[callers]\nmax = 7\n");

  CU_ASSERT_PTR_NULL (error);
  g_free (error);
  expect_error (VALID_SETTINGS "apply_ms = 3000.5\n",
                "apply_ms must be an integer");
  error = load_settings (
      "[vm]\nname = \"a\"\nfailure_domain = \"d\"\n"
      "ip = \"127.0.0.1\"\ninterface = \"line\"\n"
      "callers_at = \"127.0.0.1:1\"\nready_at = \"127.0.0.1:5\"\n"
      "peer_port = 2\nadmin_port = 3\ngrace_s = 2.5\n"
      "[platform]\nat = \"127.0.0.1:4\"\n"
      "promotions_at = \"127.0.0.1:6\"\n");
  CU_ASSERT_PTR_NULL (error);
  g_free (error);
  expect_error (VALID_SETTINGS "at = \"somewhere:1\"\n",
                "platform.at must be IPv4:PORT");
  expect_error ("[vm]\nname = \"a\"\nfailure_domain = \"d\"\n"
                "ip = \"127.0.0.1\"\ncaller_port = 1\npeer_port = 2\n"
                "admin_port = 3\ninterface = \"telnet\"\n"
                "[platform]\nip = \"127.0.0.1\"\nport = 4\n",
                "vm.interface must be postgresql or line");
  expect_error ("[vm]\ngrace_s = -1\n", "grace_s must be a number");
}

CU_TestInfo test_settings[] = {
  { "valid file is accepted", valid_file_is_accepted },
  { "errors name line, key and allowed values",
    errors_name_line_key_and_allowed_values },
  { "host names are refused", host_names_are_refused },
  { "missing file is an error", missing_file_is_an_error },
  { "settings written by the platform are accepted",
    settings_written_by_the_platform_are_accepted },
  CU_TEST_INFO_NULL,
};
