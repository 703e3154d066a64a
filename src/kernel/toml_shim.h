/* toml_shim: a C interface to the TOML library.
 *
 * A file is flattened to entries "table.key" with their type, value and line,
 * so that the settings module can look them up by name.
 */
#ifndef SS_TOML_SHIM_H
#define SS_TOML_SHIM_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    SS_TOML_STRING,
    SS_TOML_INTEGER,
    SS_TOML_FLOAT,
    SS_TOML_BOOLEAN,
    SS_TOML_OTHER
  } SsTomlType;

  typedef struct
  {
    char *key; /* "vm.name" */
    SsTomlType type;
    char *text;     /* for strings */
    int64_t number; /* for integers and booleans */
    double real;    /* for integers and floats */
    uint32_t line;
  } SsTomlEntry;

  typedef struct
  {
    SsTomlEntry *entries;
    size_t count;
    char *error; /* NULL on success: file, line and cause */
  } SsTomlFile;

  /* ss_toml_read: reads PATH; on failure FILE->error is set.  ss_toml_finish is
   * due in either case.
   */
  void ss_toml_read (SsTomlFile *file, const char *path);
  void ss_toml_finish (SsTomlFile *file);

#ifdef __cplusplus
}
#endif

#endif
