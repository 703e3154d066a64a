/* json_items: splits JSON text into the members of an object and the items of
 * an array, without parsing what they hold.
 *
 * A value that the JSON parser refuses (nested too deeply, a number beyond its
 * range, bytes that are not UTF-8) ends at the same byte as any other value, so
 * that those beside it can be read.  Only strings, escapes and the depth are
 * followed; there is no recursion, and no memory is allocated.
 */
#ifndef SS_JSON_ITEMS_H
#define SS_JSON_ITEMS_H

#include <stdbool.h>
#include <stddef.h>

/* A part of the text that is split, which owns it. */
typedef struct
{
  const char *text; /* NULL: none */
  size_t bytes;
} SsJsonText;

/* A position in a text. */
typedef struct
{
  const char *at;
  const char *end;
  bool is_first; /* nothing of the array or object was taken yet */
  bool failed;   /* the text can't be split; stays set */
} SsJsonCursor;

void ss_json_cursor_init (SsJsonCursor *c, SsJsonText text);
/* ss_json_enter: enters the value at the cursor, which has to begin with
 * OPENING, '{' or '['.  Returns false if it doesn't, without a failure.
 */
bool ss_json_enter (SsJsonCursor *c, char opening);
/* ss_json_next_member: moves to the next member of the object that was entered.
 * Its value is to be taken or entered next.  NAME is without quotes, escapes
 * included.  Returns false at the end of the object, which is left, and on a
 * failure.
 */
bool ss_json_next_member (SsJsonCursor *c, SsJsonText *name);
/* ss_json_next_item: the same for an array. */
bool ss_json_next_item (SsJsonCursor *c);
/* ss_json_take: takes the value at the cursor, whatever it is.  Returns false
 * on a failure.
 */
bool ss_json_take (SsJsonCursor *c, SsJsonText *value);
/* ss_json_is_done: whether the text was split to its end without a failure. */
bool ss_json_is_done (SsJsonCursor *c);

bool ss_json_text_is (SsJsonText text, const char *expected);
/* ss_json_find_members: sets VALUES to those of the members NAMES of OBJECT,
 * the last one of each name, or to none.  Returns false if OBJECT is no object
 * or can't be split; VALUES are then what was found so far.
 */
bool ss_json_find_members (SsJsonText object, const char *const *names,
                           SsJsonText *values, size_t count);

#endif
