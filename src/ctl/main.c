/* sapphirectl: the operators' command-line tool. */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl/progress.h"

#define VERSION "0.2.0"
#define DEFAULT_ADDRESS "127.0.0.1:7200"
#define CALL_TIMEOUT_MS 15000L
#define CONNECT_TIMEOUT_MS 1000L
#define WAIT_POLL_US 300000
#define WAIT_TIMEOUT_S 60

/* Exit codes. */
typedef enum
{
  EXIT_DONE = 0,
  EXIT_REFUSED = 1,
  EXIT_USAGE = 2,
  EXIT_MAY_HAVE_RUN = 3,
  EXIT_NO_RESPONSE = 4
} ExitCode;

static char **addresses;
static char *token;
static gboolean as_json;
static gboolean wait_until_done;

typedef struct
{
  bool sent;   /* the request may have reached a VM */
  long status; /* HTTP status; 0: no response */
  json_t *body;
} Response;

static size_t
append_text (char *data, size_t size, size_t count, void *user)
{
  g_string_append_len (user, data, (gssize) (size * count));
  return size * count;
}

static void
post_command (const char *address, const char *command, Response *response)
{
  CURL *easy = curl_easy_init ();
  GString *text = g_string_new (NULL);
  char *url = g_strdup_printf ("http://%s/v1/command", address);
  char *bearer
      = g_strdup_printf ("Authorization: Bearer %s", token ? token : "");
  struct curl_slist *headers = curl_slist_append (NULL, bearer);
  CURLcode code;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, command);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  code = curl_easy_perform (easy);
  response->sent = code != CURLE_COULDNT_CONNECT;
  response->status = 0;
  if (code == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response->status);
  response->body = json_loads (text->str, 0, NULL);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  g_string_free (text, TRUE);
  g_free (bearer);
  g_free (url);
}

static char *
cell_text (const json_t *value)
{
  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "true" : "false");
  if (json_is_integer (value))
    return g_strdup_printf ("%" JSON_INTEGER_FORMAT,
                            json_integer_value (value));
  if (json_is_real (value))
    return g_strdup_printf ("%g", json_real_value (value));
  return g_strdup ("");
}

static void
print_cell (const char *text, size_t width, bool last)
{
  if (last)
    printf ("%s\n", text);
  else
    printf ("%-*s  ", (int) width, text);
}

static void
print_row (json_t *row, const size_t *widths, size_t columns)
{
  const char *key;
  json_t *value;
  size_t column = 0;

  json_object_foreach (row, key, value)
  {
    char *text = cell_text (value);

    print_cell (text, widths[column], column + 1 == columns);
    g_free (text);
    column++;
  }
}

static void
print_table (json_t *rows)
{
  json_t *first = json_array_get (rows, 0);
  size_t columns = json_object_size (first);
  size_t *widths = g_new0 (size_t, columns + 1);
  const char *key;
  json_t *value;
  json_t *row;
  size_t column = 0;
  size_t i;

  json_object_foreach (first, key, value)
  {
    widths[column++] = strlen (key);
  }
  json_array_foreach (rows, i, row)
  {
    column = 0;
    json_object_foreach (row, key, value)
    {
      char *text = cell_text (value);

      if (column < columns)
        widths[column] = MAX (widths[column], strlen (text));
      column++;
      g_free (text);
    }
  }
  column = 0;
  json_object_foreach (first, key, value)
  {
    print_cell (key, widths[column], column + 1 == columns);
    column++;
  }
  json_array_foreach (rows, i, row)
  {
    print_row (row, widths, columns);
  }
  g_free (widths);
}

static void
print_response (const Response *r)
{
  json_t *rows = json_object_get (r->body, "rows");
  json_t *silent = json_object_get (r->body, "silent_vms");
  const char *message
      = json_string_value (json_object_get (r->body, "message"));
  json_t *version = json_object_get (r->body, "version");
  json_t *vm;
  size_t i;

  if (as_json)
    {
      json_dumpf (r->body, stdout, JSON_COMPACT);
      putchar ('\n');
      return;
    }
  if (json_array_size (rows))
    print_table (rows);
  else if (rows)
    puts ("(no rows)");
  json_array_foreach (silent, i, vm)
  {
    printf ("no reply from vm %s\n", json_string_value (vm));
  }
  if (!message)
    return;
  if (version)
    printf ("%s: %s (version %" JSON_INTEGER_FORMAT ")\n",
            json_string_value (json_object_get (r->body, "verdict")), message,
            json_integer_value (version));
  else
    puts (message);
}

static ExitCode
exit_code (const Response *r)
{
  if (!r->sent)
    return EXIT_NO_RESPONSE;
  if (r->status == 200)
    return EXIT_DONE;
  if (r->status == 409)
    return EXIT_REFUSED;
  return EXIT_MAY_HAVE_RUN;
}

/* Tries the addresses in order.  Goes on to the next one only if the command
 * can't have reached a VM, so that no command runs twice.
 */
static ExitCode
run_once (const char *command, Response *response)
{
  ExitCode code = EXIT_NO_RESPONSE;

  response->body = NULL;
  for (uint32_t i = 0; addresses[i] && code == EXIT_NO_RESPONSE; i++)
    {
      post_command (addresses[i], command, response);
      code = exit_code (response);
    }
  return code;
}

/* Returns whether R, the response to a progress query, shows that the command
 * is done: a stopped VM has no row, and a drained target has no statements
 * left.
 */
static bool
is_finished (const Response *r)
{
  json_t *row = json_array_get (json_object_get (r->body, "rows"), 0);

  if (!row)
    return true;
  return json_is_true (json_object_get (row, "draining"))
         && json_integer_value (json_object_get (row, "running")) == 0
         && json_integer_value (json_object_get (row, "queued")) == 0;
}

static ExitCode
wait_for (const char *command)
{
  char *query = ss_progress_query (command);
  int64_t deadline_us
      = g_get_monotonic_time () + WAIT_TIMEOUT_S * G_USEC_PER_SEC;
  ExitCode code = EXIT_DONE;
  bool done = query == NULL;

  while (!done && g_get_monotonic_time () < deadline_us)
    {
      Response r;

      g_usleep (WAIT_POLL_US);
      code = run_once (query, &r);
      if (code == EXIT_DONE)
        {
          print_response (&r);
          done = is_finished (&r);
        }
      json_decref (r.body);
    }
  g_free (query);
  return done ? EXIT_DONE : EXIT_MAY_HAVE_RUN;
}

static ExitCode
run_command (const char *command)
{
  Response r;
  ExitCode code = run_once (command, &r);

  if (r.body)
    print_response (&r);
  else if (code == EXIT_NO_RESPONSE)
    fprintf (stderr, "sapphirectl: no vm answers\n");
  else
    fprintf (stderr, "sapphirectl: the response was lost; the command may "
                     "have run\n");
  json_decref (r.body);
  if (code == EXIT_DONE && wait_until_done)
    code = wait_for (command);
  return code;
}

static ExitCode
run_lines (void)
{
  bool prompts = isatty (STDIN_FILENO);
  char *line = NULL;
  size_t line_bytes = 0;
  ExitCode code = EXIT_DONE;

  for (;;)
    {
      if (prompts)
        {
          fputs ("sapphirestair> ", stdout);
          fflush (stdout);
        }
      if (getline (&line, &line_bytes, stdin) < 0)
        break;
      g_strstrip (line);
      if (!*line || *line == '#')
        continue;
      if (strcmp (line, "quit") == 0 || strcmp (line, "exit") == 0)
        break;
      code = run_command (line);
      if (code != EXIT_DONE && !prompts)
        break;
    }
  free (line);
  return code;
}

static bool
read_token (const char *path)
{
  GError *error = NULL;

  if (!path)
    return true;
  if (g_file_get_contents (path, &token, NULL, &error))
    {
      g_strstrip (token);
      return true;
    }
  fprintf (stderr, "sapphirectl: %s\n", error->message);
  g_error_free (error);
  return false;
}

int
main (int argc, char **argv)
{
  static char *default_addresses[] = { (char *) DEFAULT_ADDRESS, NULL };
  static char *command;
  static char *format;
  static char *token_file;
  static gboolean version;
  static const GOptionEntry entries[] = {
    { "admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &addresses,
      "Address of a vm's administration API; may be given again", "IP:PORT" },
    { "command", 'c', 0, G_OPTION_ARG_STRING, &command,
      "Command; without it, commands are read from standard input", "COMMAND" },
    { "format", 'f', 0, G_OPTION_ARG_STRING, &format, "table or json",
      "FORMAT" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &token_file,
      "File with the bearer token required for changes", "FILE" },
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &wait_until_done,
      "Show a drain's or stop's progress until it is done", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &version, "Show the version",
      NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("- query and administer sapphirestair");
  GError *error = NULL;
  ExitCode code = EXIT_USAGE;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "sapphirectl: %s\n", error->message);
      g_error_free (error);
      goto done;
    }
  if (version)
    {
      printf ("sapphirectl %s\n", VERSION);
      code = EXIT_DONE;
      goto done;
    }
  if (format && strcmp (format, "json") != 0 && strcmp (format, "table") != 0)
    {
      fprintf (stderr, "sapphirectl: --format must be table or json\n");
      goto done;
    }
  as_json = format && strcmp (format, "json") == 0;
  if (!read_token (token_file))
    goto done;
  if (!addresses)
    addresses = g_strdupv (default_addresses);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  code = command ? run_command (command) : run_lines ();
  curl_global_cleanup ();
done:
  g_strfreev (addresses);
  g_free (command);
  g_free (format);
  g_free (token);
  g_free (token_file);
  g_option_context_free (context);
  return (int) code;
}
