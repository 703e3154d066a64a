#include "tests/world/texts.h"

#include <string.h>

#define LONG_BYTES 5000
#define LONG_PERMILLE 30
#define HUGE_BYTES 600000
#define ITEMS 40

/* The shapes with READ and WRITE as a second word are those that a server takes
 * for a mode if the first word ends a name.
 */
static const char *const odd_texts[] = { "q5",
                                         "q5 WRITE odxc",
                                         "q5 READ odxc",
                                         "q5 odxc",
                                         " q5",
                                         "q5 ",
                                         "  q5  ",
                                         "q5  WRITE  odxc ",
                                         "q5 READ",
                                         "WRITE q5",
                                         "READ q5",
                                         "q5\tWRITE odxc",
                                         "q5\rWRITE odxc",
                                         "q5\r",
                                         "\tq5",
                                         "q5\x01\x7f",
                                         "q5\x0b\x0c\x1b[0m",
                                         "w_q5",
                                         "r_q5",
                                         "wd_q5",
                                         "wh_q5 WRITE x",
                                         "q5%s%n%",
                                         "%",
                                         "q5'; COMMIT; --",
                                         "\"q5\" '\\'",
                                         "\xc3\xa9t\xc3\xa9",
                                         "\xff\xfe",
                                         "\xc3",
                                         "q5 \xff READ \x80",
                                         "WAITFOR 9.9 READ 1a",
                                         "QUERY 1 WRITE a b",
                                         "-" };

/* Most callers use the same few names. */
static const char *const names[]
    = { "s1",   "s1",    "s1",   "s1",    "s2",  "s2",   "s3",
        "w_q5", "r_q5",  "READ", "WRITE", "p%n", "\xff", "s\t1",
        "s\r1", "wh_q5", "'s1'", "-",     "s1x", "S1",   "EXECUTE" };

static const char *const value_names[]
    = { "v1", "v1", "v1", "v2", "v2", "v3", "w_q5", "v%s", "\xc3\xa9", "SET" };

static const char *const inside[]
    = { "READ",     "READ",    "WRITE",  "EXECUTE", "EXECUTE",
        "EXECUTE",  "EXECUTE", "COMMIT", "COMMIT",  "COMMIT",
        "ROLLBACK", "SET",     "PREPARE" };

static const char *const outside[]
    = { "READ",    "READ",    "READ",       "WRITE",   "WRITE",   "EXECUTE",
        "EXECUTE", "EXECUTE", "EXECUTE",    "EXECUTE", "EXECUTE", "EXECUTE",
        "SET",     "SET",     "PREPARE",    "PREPARE", "PREPARE", "PREPARE",
        "BEGIN",   "BEGIN",   "BEGIN READ", "DEALLOC" };

const char *
world_texts_odd (uint32_t number)
{
  return odd_texts[number];
}

uint32_t
world_texts_odd_count (void)
{
  return G_N_ELEMENTS (odd_texts);
}

static const char *
choose (GRand *rand, const char *const *list, size_t count)
{
  return list[g_rand_int_range (rand, 0, (gint32) count)];
}

/* Returns an odd text, to be freed. */
static char *
choose_odd (GRand *rand)
{
  if (g_rand_int_range (rand, 0, 1000) < LONG_PERMILLE)
    return g_strnfill (LONG_BYTES, 'l');
  return g_strdup (choose (rand, odd_texts, G_N_ELEMENTS (odd_texts)));
}

/* Joins the three pieces by spaces, and frees the last one. */
static char *
join (const char *keyword, const char *field, char *last)
{
  char *text = g_strconcat (keyword, " ", field, " ", last, NULL);

  g_free (last);
  return text;
}

/* Returns an item, or an item and what follows it. */
static char *
choose_arguments (GRand *rand, bool with_data)
{
  int item = g_rand_int_range (rand, 0, ITEMS);
  char *odd = choose_odd (rand);
  char *arguments = with_data ? g_strdup_printf ("%da4 %s", item, odd)
                              : g_strdup_printf ("%da4%s", item, odd);

  g_free (odd);
  return arguments;
}

static char *
next_run (GRand *rand, const char *keyword)
{
  char *arguments = choose_arguments (rand, strcmp (keyword, "WRITE") == 0);
  char *text = g_strconcat (keyword, " ", arguments, NULL);

  g_free (arguments);
  return text;
}

static char *
next_prepare (GRand *rand)
{
  const char *name = choose (rand, names, G_N_ELEMENTS (names));
  const char *mode = g_rand_boolean (rand) ? "READ" : "WRITE";
  char *before = g_strconcat ("PREPARE ", name, NULL);
  char *text = join (before, mode, choose_odd (rand));

  g_free (before);
  return text;
}

/* Returns a name that the session has prepared, or NULL. */
static const char *
choose_prepared (GRand *rand, const WorldState *state)
{
  guint count = g_hash_table_size (state->prepared);
  GList *all = g_hash_table_get_keys (state->prepared);
  const char *name = count ? g_list_nth_data (all, (guint) g_rand_int_range (
                                                       rand, 0, (gint32) count))
                           : NULL;

  g_list_free (all);
  return name;
}

static char *
next_execute (GRand *rand, const WorldState *state)
{
  const char *name = choose_prepared (rand, state);

  if (!name)
    return next_prepare (rand);
  return join ("EXECUTE", name, choose_arguments (rand, true));
}

static char *
next_set (GRand *rand)
{
  return join ("SET", choose (rand, value_names, G_N_ELEMENTS (value_names)),
               choose_odd (rand));
}

static char *
next_deallocate (GRand *rand, const WorldState *state)
{
  const char *name = choose_prepared (rand, state);

  return name ? g_strconcat ("DEALLOC ", name, NULL) : next_prepare (rand);
}

char *
world_texts_next (GRand *rand, char status, const WorldState *state)
{
  const char *keyword = status == 'T'
                            ? choose (rand, inside, G_N_ELEMENTS (inside))
                            : choose (rand, outside, G_N_ELEMENTS (outside));

  if (strcmp (keyword, "SET") == 0)
    return next_set (rand);
  if (strcmp (keyword, "PREPARE") == 0)
    return next_prepare (rand);
  if (strcmp (keyword, "EXECUTE") == 0)
    return next_execute (rand, state);
  if (strcmp (keyword, "DEALLOC") == 0)
    return next_deallocate (rand, state);
  if (strcmp (keyword, "READ") == 0 || strcmp (keyword, "WRITE") == 0)
    return next_run (rand, keyword);
  return g_strdup (keyword);
}

void
world_texts_push_huge (GQueue *texts, uint32_t kind)
{
  static const char *const before[]
      = { "PREPARE s1 WRITE", "WRITE 1a4", "SET v1", "READ 1a4",
          "PREPARE s1 READ" };
  char *huge = g_strnfill (HUGE_BYTES, 'h');
  char *text
      = g_strconcat (before[kind % G_N_ELEMENTS (before)], " ", huge, NULL);

  g_queue_push_tail (texts, text);
  if (g_str_has_prefix (text, "PREPARE"))
    g_queue_push_tail (texts, g_strdup ("EXECUTE s1 1a4 x"));
  else
    g_queue_push_tail (texts, g_strdup ("READ 1a4"));
  g_free (huge);
}
