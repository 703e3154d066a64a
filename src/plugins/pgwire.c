#include "plugins/pgwire.h"

#include <arpa/inet.h>
#include <string.h>

#define PROTOCOL_VERSION_3 196608
#define CODE_CANCEL 80877102
#define CODE_SSL 80877103
#define CODE_GSS 80877104
#define TYPE_TEXT 25

static uint32_t
read_u32 (const uint8_t *at)
{
  uint32_t value;

  memcpy (&value, at, sizeof value);
  return ntohl (value);
}

static SsPgwireMessage
bare_message (SsPgwireKind kind, uint32_t used_bytes)
{
  SsPgwireMessage m = { 0 };

  m.kind = kind;
  m.used_bytes = used_bytes;
  return m;
}

/* Whether TEXT is pairs of NUL-terminated strings, ended by an empty string. */
static bool
pairs_are_valid (const char *text, uint32_t bytes)
{
  uint32_t at = 0;
  uint32_t strings = 0;

  while (at < bytes)
    {
      const char *end = memchr (text + at, 0, bytes - at);

      if (!end)
        return false;
      if (end == text + at && strings % 2 == 0)
        return at + 1 == bytes;
      strings++;
      at = (uint32_t) (end - text) + 1;
    }
  return false;
}

static SsPgwireMessage
read_startup (const uint8_t *data, uint32_t data_bytes)
{
  SsPgwireMessage m;
  uint32_t length;
  uint32_t code;

  if (data_bytes < 8)
    return bare_message (SS_PGWIRE_NONE, 0);
  length = read_u32 (data);
  code = read_u32 (data + 4);
  if (length < 8)
    return bare_message (SS_PGWIRE_MALFORMED, 0);
  if (length > SS_PGWIRE_STARTUP_MAX_BYTES)
    return bare_message (SS_PGWIRE_TOO_LARGE, 0);
  if (data_bytes < length)
    return bare_message (SS_PGWIRE_NONE, 0);
  if (code == CODE_SSL || code == CODE_GSS)
    return bare_message (SS_PGWIRE_SSL_REQUEST, length);
  if (code == CODE_CANCEL && length == 16)
    {
      m = bare_message (SS_PGWIRE_CANCEL, length);
      m.cancel_process = read_u32 (data + 8);
      m.cancel_secret = read_u32 (data + 12);
      return m;
    }
  if (code != PROTOCOL_VERSION_3)
    return bare_message (SS_PGWIRE_BAD_VERSION, 0);
  m = bare_message (SS_PGWIRE_STARTUP, length);
  m.text = (const char *) data + 8;
  m.text_bytes = length - 8;
  if (!pairs_are_valid (m.text, m.text_bytes))
    return bare_message (SS_PGWIRE_MALFORMED, 0);
  return m;
}

static SsPgwireKind
kind_of (uint8_t type)
{
  switch (type)
    {
    case 'Q':
      return SS_PGWIRE_QUERY;
    case 'X':
      return SS_PGWIRE_TERMINATE;
    case 'S':
      return SS_PGWIRE_SYNC;
    case 'H':
    case 'd':
    case 'c':
    case 'f':
      return SS_PGWIRE_IGNORED;
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
      return SS_PGWIRE_EXTENDED;
    case 'p':
      return SS_PGWIRE_PASSWORD;
    case 'F':
      return SS_PGWIRE_FUNCTION_CALL;
    default:
      return SS_PGWIRE_MALFORMED;
    }
}

SsPgwireMessage
ss_pgwire_read (const uint8_t *data, uint32_t data_bytes, bool in_startup)
{
  SsPgwireMessage m;
  uint32_t length;

  if (in_startup)
    return read_startup (data, data_bytes);
  if (data_bytes < 1)
    return bare_message (SS_PGWIRE_NONE, 0);
  if (kind_of (data[0]) == SS_PGWIRE_MALFORMED)
    return bare_message (SS_PGWIRE_MALFORMED, 0);
  if (data_bytes < 5)
    return bare_message (SS_PGWIRE_NONE, 0);
  length = read_u32 (data + 1);
  if (length < 4)
    return bare_message (SS_PGWIRE_MALFORMED, 0);
  if (length > SS_PGWIRE_MESSAGE_MAX_BYTES)
    return bare_message (SS_PGWIRE_TOO_LARGE, 0);
  if (data_bytes < length + 1)
    return bare_message (SS_PGWIRE_NONE, 0);
  m = bare_message (kind_of (data[0]), length + 1);
  m.text = (const char *) data + 5;
  m.text_bytes = length - 4;
  if (m.kind == SS_PGWIRE_QUERY
      && (m.text_bytes == 0
          || memchr (m.text, 0, m.text_bytes) != m.text + m.text_bytes - 1))
    return bare_message (SS_PGWIRE_MALFORMED, 0);
  return m;
}

char *
ss_pgwire_sasl_initial (const SsPgwireMessage *message, const char *mechanism)
{
  uint32_t name_bytes = (uint32_t) strlen (mechanism) + 1;
  const char *response = message->text + name_bytes + 4;
  uint32_t bytes;

  if (message->text_bytes < name_bytes + 4
      || memcmp (message->text, mechanism, name_bytes) != 0)
    return NULL;
  bytes = read_u32 ((const uint8_t *) message->text + name_bytes);
  if (bytes != message->text_bytes - name_bytes - 4)
    return NULL;
  return g_strndup (response, bytes);
}

const char *
ss_pgwire_message_name (SsPgwireKind kind)
{
  static const char *const names[] = {
#define X(id, name) name,
    SS_PGWIRE_MESSAGES (X)
#undef X
  };

  return names[kind];
}

const char *
ss_pgwire_startup_value (const SsPgwireMessage *message, const char *name)
{
  const char *at = message->text;

  while (*at)
    {
      const char *value = at + strlen (at) + 1;

      if (strcmp (at, name) == 0)
        return value;
      at = value + strlen (value) + 1;
    }
  return NULL;
}

/* Takes the word at AT and moves AT behind it.  A backslash keeps the character
 * that follows it, also white space.
 */
static char *
take_option (const char **at)
{
  GString *word = g_string_new (NULL);

  while (**at && !g_ascii_isspace (**at))
    {
      if (**at == '\\' && (*at)[1])
        (*at)++;
      g_string_append_c (word, *(*at)++);
    }
  return g_string_free (word, FALSE);
}

/* Splits OPTIONS as PostgreSQL's server does; free with g_strfreev. */
static char **
split_options (const char *options)
{
  GPtrArray *words = g_ptr_array_new ();

  while (*options)
    {
      if (g_ascii_isspace (*options))
        options++;
      else
        g_ptr_array_add (words, take_option (&options));
    }
  g_ptr_array_add (words, NULL);
  return (char **) g_ptr_array_free (words, FALSE);
}

void
ss_pgwire_parse_options (const char *options,
                         void (*found) (void *data, const char *name,
                                        const char *value),
                         void *data)
{
  char **words = split_options (options);

  for (uint32_t i = 0; words[i]; i++)
    {
      char *pair = words[i];
      char *equals;

      if (strcmp (pair, "-c") == 0 && words[i + 1])
        pair = words[++i];
      else if (g_str_has_prefix (pair, "--"))
        pair += 2;
      else if (g_str_has_prefix (pair, "-c"))
        pair += 2;
      else
        continue;
      equals = strchr (pair, '=');
      if (!equals)
        continue;
      *equals = 0;
      found (data, pair, equals + 1);
    }
  g_strfreev (words);
}

static void
put_u8 (GByteArray *out, uint8_t value)
{
  g_byte_array_append (out, &value, 1);
}

static void
put_u16 (GByteArray *out, uint16_t value)
{
  uint16_t wire = htons (value);

  g_byte_array_append (out, (const uint8_t *) &wire, sizeof wire);
}

static void
put_u32 (GByteArray *out, uint32_t value)
{
  uint32_t wire = htonl (value);

  g_byte_array_append (out, (const uint8_t *) &wire, sizeof wire);
}

static void
put_string (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const uint8_t *) text, (guint) strlen (text) + 1);
}

static uint32_t
begin_message (GByteArray *out, char type)
{
  put_u8 (out, (uint8_t) type);
  put_u32 (out, 0);
  return out->len - 4;
}

static void
end_message (GByteArray *out, uint32_t length_at)
{
  uint32_t wire = htonl (out->len - length_at);

  memcpy (out->data + length_at, &wire, sizeof wire);
}

void
ss_pgwire_auth_ok (GByteArray *out)
{
  uint32_t at = begin_message (out, 'R');

  put_u32 (out, 0);
  end_message (out, at);
}

#define AUTH_SASL 10
#define AUTH_SASL_CONTINUE 11
#define AUTH_SASL_FINAL 12

void
ss_pgwire_auth_sasl (GByteArray *out, const char *mechanism)
{
  uint32_t at = begin_message (out, 'R');

  put_u32 (out, AUTH_SASL);
  put_string (out, mechanism);
  put_u8 (out, 0);
  end_message (out, at);
}

static void
put_sasl (GByteArray *out, uint32_t code, const char *text)
{
  uint32_t at = begin_message (out, 'R');

  put_u32 (out, code);
  g_byte_array_append (out, (const uint8_t *) text, (guint) strlen (text));
  end_message (out, at);
}

void
ss_pgwire_auth_sasl_continue (GByteArray *out, const char *text)
{
  put_sasl (out, AUTH_SASL_CONTINUE, text);
}

void
ss_pgwire_auth_sasl_final (GByteArray *out, const char *text)
{
  put_sasl (out, AUTH_SASL_FINAL, text);
}

void
ss_pgwire_parameter (GByteArray *out, const char *name, const char *value)
{
  uint32_t at = begin_message (out, 'S');

  put_string (out, name);
  put_string (out, value);
  end_message (out, at);
}

void
ss_pgwire_key_data (GByteArray *out, uint32_t process, uint32_t secret)
{
  uint32_t at = begin_message (out, 'K');

  put_u32 (out, process);
  put_u32 (out, secret);
  end_message (out, at);
}

void
ss_pgwire_ready (GByteArray *out, char transaction_status)
{
  uint32_t at = begin_message (out, 'Z');

  put_u8 (out, (uint8_t) transaction_status);
  end_message (out, at);
}

void
ss_pgwire_complete (GByteArray *out, const char *tag)
{
  uint32_t at = begin_message (out, 'C');

  put_string (out, tag);
  end_message (out, at);
}

void
ss_pgwire_empty_query (GByteArray *out)
{
  end_message (out, begin_message (out, 'I'));
}

static void
put_error_field (GByteArray *out, char code, const char *text)
{
  if (!text)
    return;
  put_u8 (out, (uint8_t) code);
  put_string (out, text);
}

void
ss_pgwire_error (GByteArray *out, const char *severity, const char *sqlstate,
                 const char *message, const char *detail, const char *hint)
{
  uint32_t at = begin_message (out, 'E');

  put_error_field (out, 'S', severity);
  put_error_field (out, 'V', severity);
  put_error_field (out, 'C', sqlstate);
  put_error_field (out, 'M', message);
  put_error_field (out, 'D', detail);
  put_error_field (out, 'H', hint);
  put_u8 (out, 0);
  end_message (out, at);
}

void
ss_pgwire_row_description (GByteArray *out, const SsPgwireColumn *columns,
                           uint16_t count)
{
  uint32_t at = begin_message (out, 'T');

  put_u16 (out, count);
  for (uint16_t i = 0; i < count; i++)
    {
      put_string (out, columns[i].name);
      put_u32 (out, 0);
      put_u16 (out, 0);
      put_u32 (out, columns[i].type_id);
      put_u16 (out, UINT16_MAX);
      put_u32 (out, UINT32_MAX);
      put_u16 (out, 0);
    }
  end_message (out, at);
}

void
ss_pgwire_row (GByteArray *out, const char *const *cells, uint16_t count)
{
  uint32_t at = begin_message (out, 'D');

  put_u16 (out, count);
  for (uint16_t i = 0; i < count; i++)
    {
      uint32_t bytes;

      if (!cells[i])
        {
          put_u32 (out, UINT32_MAX);
          continue;
        }
      bytes = (uint32_t) strlen (cells[i]);
      put_u32 (out, bytes);
      g_byte_array_append (out, (const uint8_t *) cells[i], bytes);
    }
  end_message (out, at);
}

void
ss_pgwire_text_columns (GByteArray *out, const char *const *names,
                        uint16_t count)
{
  SsPgwireColumn columns[16];

  g_return_if_fail (count <= G_N_ELEMENTS (columns));
  for (uint16_t i = 0; i < count; i++)
    {
      columns[i].name = names[i];
      columns[i].type_id = TYPE_TEXT;
    }
  ss_pgwire_row_description (out, columns, count);
}
