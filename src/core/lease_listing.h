/* lease_listing: the groups on whose primaries a VM may hold leases, as its
 * object at the platform lists them.
 *
 * Load pattern: owners change while VMs come and go, and writes are answered
 * late, or never, and may be carried out late.  A promotion waits for the VMs
 * whose objects list the group.  So a VM gives a lease up before it sends the
 * write that no longer lists the group, and takes it again only from an object
 * that this write can't replace any more: one of a later version, written since
 * this VM started.
 */
#ifndef SS_LEASE_LISTING_H
#define SS_LEASE_LISTING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_LEASE_LISTING_LIFE_BYTES 17

typedef struct
{
  char life[SS_LEASE_LISTING_LIFE_BYTES]; /* identifies this start of the VM */
  uint64_t stamp;  /* rises with each write that gives leases up, so that the
                      next write changes the object */
  int64_t version; /* of the object that was adopted last */
  GHashTable *since_ms; /* group -> since when the object lists it */
  GHashTable *given_up; /* group -> the version that the last write without it
                           was based on */
} SsLeaseListing;

void ss_lease_listing_init (SsLeaseListing *listing, uint64_t life);
void ss_lease_listing_finish (SsLeaseListing *listing);
/* ss_lease_listing_adopt: takes over what VALUE, the object of VERSION, lists;
 * NULL: it is deleted.  Groups that were listed before in the same era keep
 * their time.
 */
void ss_lease_listing_adopt (SsLeaseListing *listing, const char *value,
                             uint32_t value_bytes, int64_t version,
                             int64_t now_ms);
/* ss_lease_listing_give_up: gives up all leases but those on GROUPS, the names
 * that a write based on VERSION lists.  Returns how many were given up.
 */
uint32_t ss_lease_listing_give_up (SsLeaseListing *listing,
                                   const GPtrArray *groups, int64_t version);
/* ss_lease_listing_since: returns since when the object lists GROUP, in ms, or
 * NULL if it does not.
 */
const int64_t *ss_lease_listing_since (const SsLeaseListing *listing,
                                       const char *group);

#endif
