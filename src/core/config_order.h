/* config_order: which of two objects of the platform is the newer one.
 *
 * The operator numbers configurations, so that number decides where both have
 * one.  Else versions decide, within an era of the platform's store.  In a
 * later era the store may hold older content: there a group's term decides
 * first.
 */
#ifndef SS_CONFIG_ORDER_H
#define SS_CONFIG_ORDER_H

#include "core/config.h"

/* ss_config_is_newer: whether OBJECT is newer than the stored one of its key.
 */
bool ss_config_is_newer (const SsStoredObject *stored, const SsObject *object);

#endif
