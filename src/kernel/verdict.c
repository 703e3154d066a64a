#include "kernel/verdict.h"

const char *
ss_verdict_name (SsVerdict verdict)
{
  static const char *const names[] = {
#define X(id, name) name,
    SS_VERDICTS (X)
#undef X
  };

  return names[verdict];
}

typedef struct
{
  const char *name;
  const char *sqlstate;
  const char *message;
} ReasonRow;

static const ReasonRow reason_rows[] = {
#define X(id, name, sqlstate, message) { name, sqlstate, message },
  SS_REASONS (X)
#undef X
};

const char *
ss_reason_name (SsReason reason)
{
  return reason_rows[reason].name;
}

const char *
ss_reason_sqlstate (SsReason reason)
{
  return reason_rows[reason].sqlstate;
}

const char *
ss_reason_message (SsReason reason)
{
  return reason_rows[reason].message;
}
