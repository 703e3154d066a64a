#include "kernel/json_items.h"

#include <string.h>

static bool
is_space (char byte)
{
  return byte == ' ' || byte == '\n' || byte == '\t' || byte == '\r';
}

/* Whether BYTE can't be part of a number, true, false or null. */
static bool
is_structural (char byte)
{
  switch (byte)
    {
    case ',':
    case ':':
    case '"':
    case '[':
    case ']':
    case '{':
    case '}':
      return true;
    default:
      return false;
    }
}

static void
skip_spaces (SsJsonCursor *c)
{
  while (c->at < c->end && is_space (*c->at))
    c->at++;
}

static bool
fail (SsJsonCursor *c)
{
  c->failed = true;
  return false;
}

void
ss_json_cursor_init (SsJsonCursor *c, SsJsonText text)
{
  c->at = text.text;
  c->end = text.text ? text.text + text.bytes : NULL;
  c->is_first = true;
  c->failed = false;
}

bool
ss_json_enter (SsJsonCursor *c, char opening)
{
  skip_spaces (c);
  if (c->failed || c->at == c->end || *c->at != opening)
    return false;
  c->at++;
  c->is_first = true;
  return true;
}

/* Skips a string, at whose opening quote the cursor is. */
static bool
skip_string (SsJsonCursor *c)
{
  c->at++;
  while (c->at < c->end && *c->at != '"')
    c->at += *c->at == '\\' && c->end - c->at > 1 ? 2 : 1;
  if (c->at == c->end)
    return fail (c);
  c->at++;
  return true;
}

/* Skips an array or object, at whose opening bracket the cursor is. */
static bool
skip_nested (SsJsonCursor *c)
{
  char closing = *c->at == '{' ? '}' : ']';
  size_t depth = 0;

  while (c->at < c->end)
    {
      char byte = *c->at;

      if (byte == '"')
        {
          if (!skip_string (c))
            return false;
          continue;
        }
      c->at++;
      if (byte == '{' || byte == '[')
        depth++;
      if ((byte == '}' || byte == ']') && --depth == 0)
        return byte == closing || fail (c);
    }
  return fail (c);
}

/* Skips a number, true, false or null, or what stands in the place of one. */
static bool
skip_scalar (SsJsonCursor *c)
{
  const char *start = c->at;

  while (c->at < c->end && !is_space (*c->at) && !is_structural (*c->at))
    c->at++;
  return c->at > start || fail (c);
}

static bool
skip_value (SsJsonCursor *c)
{
  if (c->at == c->end)
    return fail (c);
  if (*c->at == '"')
    return skip_string (c);
  if (*c->at == '{' || *c->at == '[')
    return skip_nested (c);
  return skip_scalar (c);
}

bool
ss_json_take (SsJsonCursor *c, SsJsonText *value)
{
  skip_spaces (c);
  value->text = c->at;
  if (c->failed || !skip_value (c))
    return false;
  value->bytes = (size_t) (c->at - value->text);
  return true;
}

/* Moves past the comma before the next member or item.  Returns false at the
 * end, CLOSING, and on a failure.
 */
static bool
move_on (SsJsonCursor *c, char closing)
{
  bool is_first = c->is_first;

  c->is_first = false;
  skip_spaces (c);
  if (c->failed || c->at == c->end)
    return fail (c);
  if (*c->at == closing)
    {
      c->at++;
      return false;
    }
  if (is_first)
    return true;
  if (*c->at != ',')
    return fail (c);
  c->at++;
  skip_spaces (c);
  return true;
}

bool
ss_json_next_item (SsJsonCursor *c)
{
  return move_on (c, ']');
}

bool
ss_json_next_member (SsJsonCursor *c, SsJsonText *name)
{
  if (!move_on (c, '}'))
    return false;
  if (c->at == c->end || *c->at != '"')
    return fail (c);
  name->text = c->at + 1;
  if (!skip_string (c))
    return false;
  name->bytes = (size_t) (c->at - name->text) - 1;
  skip_spaces (c);
  if (c->at == c->end || *c->at != ':')
    return fail (c);
  c->at++;
  return true;
}

bool
ss_json_is_done (SsJsonCursor *c)
{
  skip_spaces (c);
  return !c->failed && c->at == c->end;
}

bool
ss_json_text_is (SsJsonText text, const char *expected)
{
  return text.text && text.bytes == strlen (expected)
         && memcmp (text.text, expected, text.bytes) == 0;
}

bool
ss_json_find_members (SsJsonText object, const char *const *names,
                      SsJsonText *values, size_t count)
{
  SsJsonCursor c;
  SsJsonText name;
  SsJsonText value;

  memset (values, 0, count * sizeof *values);
  ss_json_cursor_init (&c, object);
  if (!ss_json_enter (&c, '{'))
    return false;
  while (ss_json_next_member (&c, &name) && ss_json_take (&c, &value))
    for (size_t i = 0; i < count; i++)
      if (ss_json_text_is (name, names[i]))
        values[i] = value;
  return ss_json_is_done (&c);
}
