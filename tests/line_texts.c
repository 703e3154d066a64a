#include "tests/line_texts.h"

#include <string.h>

#define LONG_TEXT_BYTES 5000

/* What the last field of a statement may hold.  The shapes with READ and WRITE
 * as a second word are those that a server takes for a mode if the first word
 * ends a name.
 */
static const char *const odd_texts[] = { "q5",
                                         "q5 WRITE odxc",
                                         "q5 READ odxc",
                                         "q5 odxc",
                                         " q5",
                                         "q5 ",
                                         "q5  WRITE  odxc ",
                                         "WRITE q5",
                                         "q5\tWRITE odxc",
                                         "q5\rWRITE odxc",
                                         "q5\x01\x7f",
                                         "w_q5",
                                         "wd_q5",
                                         "q5%s%n",
                                         "q5'; COMMIT; --",
                                         "\xc3\xa9t\xc3\xa9",
                                         "\xff\xfe",
                                         "WAITFOR 9.9 READ 1a",
                                         "-" };

static const char *const outside[]
    = { "READ 1a",        "READ 2b", "WRITE 1a x", "EXECUTE p 3c",
        "EXECUTE q 4d y", "BEGIN",   "BEGIN READ" };
static const char *const inside[]
    = { "READ 1a", "EXECUTE p 3c", "WRITE 1a x", "EXECUTE q 4d",
        "COMMIT",  "COMMIT",       "ROLLBACK" };

static char *
odd_text (LineSim *sim)
{
  guint choice = (guint) g_rand_int_range (
      sim->rand, 0, (gint32) G_N_ELEMENTS (odd_texts) + 1);

  if (choice == G_N_ELEMENTS (odd_texts))
    return g_strnfill (LONG_TEXT_BYTES, 'l');
  return g_strdup (odd_texts[choice]);
}

/* Returns BEFORE, with an odd text behind it. */
static char *
with_odd_text (LineSim *sim, const char *before)
{
  char *odd = odd_text (sim);
  char *text = g_strconcat (before, " ", odd, NULL);

  g_free (odd);
  return text;
}

static char *
next_set (LineSim *sim)
{
  char *before
      = g_strdup_printf ("SET v%d", g_rand_int_range (sim->rand, 0, 3));
  char *text = sim->odd_texts
                   ? with_odd_text (sim, before)
                   : g_strdup_printf ("%s %d", before,
                                      g_rand_int_range (sim->rand, 0, 4));

  g_free (before);
  return text;
}

static char *
next_prepare (LineSim *sim, const char *before)
{
  if (sim->odd_texts)
    return with_odd_text (sim, before);
  return g_strdup_printf ("%s shape%d", before,
                          g_rand_int_range (sim->rand, 0, 4));
}

static char *
next_run (LineSim *sim, const LineSession *s)
{
  const char *text
      = s->status == 'T'
            ? inside[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (inside))]
            : outside[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (outside))];

  if (!sim->odd_texts || !strchr (text, ' ')
      || g_str_has_prefix (text, "BEGIN"))
    return g_strdup (text);
  return with_odd_text (sim, text);
}

char *
line_texts_next (LineSim *sim, const LineSession *s)
{
  gint32 choice = g_rand_int_range (sim->rand, 0, 10);

  if (s->status == 'E')
    return g_strdup ("ROLLBACK");
  if (choice == 0)
    return next_set (sim);
  if (choice == 1 || !s->state.prepared)
    return next_prepare (sim, "PREPARE p READ");
  if (choice == 2 || !ss_session_state_prepared (&s->state, "q"))
    return next_prepare (sim, "PREPARE q WRITE");
  if (choice == 3 && sim->odd_texts)
    return g_strdup (g_rand_boolean (sim->rand) ? "DEALLOC p" : "DEALLOC q");
  return next_run (sim, s);
}
