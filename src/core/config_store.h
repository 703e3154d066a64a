/* config_store: the platform's objects as this VM has adopted them, and what it
 * knows of them at the platform, which may hold older content after a restore.
 */
#ifndef SS_CONFIG_STORE_H
#define SS_CONFIG_STORE_H

#include "core/config.h"

/* ss_stored_object_is_equal: whether OBJECT has the content of STORED, which
 * may be NULL; their versions may differ.
 */
bool ss_stored_object_is_equal (const SsStoredObject *stored,
                                const SsObject *object);
/* ss_stored_object_view: returns STORED as an object that borrows its strings.
 */
SsObject ss_stored_object_view (const SsStoredObject *stored);
/* ss_stored_object_hash: returns a hash of the object's key and version, which
 * is equal on VMs that store the same version.
 */
uint64_t ss_stored_object_hash (const SsStoredObject *stored);
/* ss_stored_object_compress: returns the compressed value of STORED, which owns
 * it, or NULL where the value is too small to be worth it.
 */
GBytes *ss_stored_object_compress (SsStoredObject *stored);
/* ss_config_decompress: decompresses VALUE to VALUE_BYTES bytes, to be freed
 * with g_free.  Returns NULL where it is not valid.
 */
char *ss_config_decompress (const uint8_t *value, size_t compressed_bytes,
                            uint32_t value_bytes);
/* ss_config_store_object: stores OBJECT, which is adopted. */
void ss_config_store_object (SsConfig *config, const SsObject *object,
                             int64_t now_ms);
/* ss_config_record_seen: records that the platform holds OBJECT, which is not
 * adopted.
 */
void ss_config_record_seen (SsConfig *config, const SsObject *object,
                            int64_t now_ms);
/* ss_config_expected_version: returns the version that a write of KEY has to
 * expect at the platform; 0: there is no such object.
 */
int64_t ss_config_expected_version (const SsConfig *config, const char *key);
/* ss_config_is_lost: whether the platform, restored from a copy, holds older
 * content of KEY than this VM, or none.
 */
bool ss_config_is_lost (const SsConfig *config, const char *key);
/* ss_config_record_absent: records that the platform has no object KEY. */
void ss_config_record_absent (SsConfig *config, const char *key,
                              int64_t now_ms);

#endif
