/* version: the order of all states of the platform's store.
 *
 * The store may come back from a copy: its last writes are lost, and their
 * revisions are given out again.  An era lasts from one such return to the
 * next. A version is the revision together with the era, the era in the high
 * bits, so that versions of a later era are higher.  0 is no version.
 */
#ifndef SS_VERSION_H
#define SS_VERSION_H

#include <glib.h>
#include <stdint.h>

/* Versions stay below 2^53, which every JSON parser reads exactly. */
#define SS_VERSION_REVISION_BITS 40
#define SS_VERSION_REVISION_MAX ((INT64_C (1) << SS_VERSION_REVISION_BITS) - 1)
#define SS_VERSION_ERA_MAX ((INT64_C (1) << 13) - 1)

/* For log lines: era and revision, separated by a point. */
#define SS_VERSION_FORMAT "%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT
#define SS_VERSION_ARGS(version)                                               \
  ss_version_era (version), ss_version_revision (version)

/* ss_version: returns the version of REVISION in ERA; both are limited to their
 * range.
 */
static inline int64_t
ss_version (int64_t era, int64_t revision)
{
  return CLAMP (era, 0, SS_VERSION_ERA_MAX) << SS_VERSION_REVISION_BITS
         | CLAMP (revision, 0, SS_VERSION_REVISION_MAX);
}

static inline int64_t
ss_version_era (int64_t version)
{
  return version >> SS_VERSION_REVISION_BITS;
}

static inline int64_t
ss_version_revision (int64_t version)
{
  return version & SS_VERSION_REVISION_MAX;
}

#endif
