/* Log events and SQLSTATEs: uniqueness, and agreement with the documentation.
 */
#include <glib.h>
#include <string.h>

#include "kernel/log.h"
#include "kernel/verdict.h"
#include "tests/unit.h"

static void
events_are_in_the_catalogue (void)
{
  char *page = NULL;

  CU_ASSERT_FATAL (g_file_get_contents ("docs/EVENTS.md", &page, NULL, NULL));
  for (int32_t i = 0; i < SS_EVENT_LOG_COUNT; i++)
    {
      SsLogEvent e = (SsLogEvent) i;
      char *row = g_strdup_printf (
          "| %d | %s | %s | %s |", ss_log_event_number (e),
          ss_log_event_name (e), ss_log_event_level (e), ss_log_event_text (e));

      if (!strstr (page, row))
        {
          g_printerr ("docs/EVENTS.md lacks: %s\n", row);
          CU_FAIL ("an event is not in the catalogue");
        }
      g_free (row);
    }
  g_free (page);
}

static void
event_numbers_are_unique (void)
{
  for (int32_t i = 0; i < SS_EVENT_LOG_COUNT; i++)
    for (int32_t j = 0; j < i; j++)
      CU_ASSERT (ss_log_event_number ((SsLogEvent) i)
                 != ss_log_event_number ((SsLogEvent) j));
}

static void
sqlstates_have_five_characters (void)
{
  for (int32_t i = 0; i <= SS_REASON_TOO_LARGE; i++)
    CU_ASSERT (strlen (ss_reason_sqlstate ((SsReason) i)) == 5);
}

CU_TestInfo test_catalogue[] = {
  { "events are in the catalogue", events_are_in_the_catalogue },
  { "event numbers are unique", event_numbers_are_unique },
  { "SQLSTATEs have five characters", sqlstates_have_five_characters },
  CU_TEST_INFO_NULL,
};
