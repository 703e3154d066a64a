/* plugin: the daemon's kernel and the plug-ins that register themselves.
 *
 * The shell hands events to the decision core and the core's actions to the
 * plug-ins; it decides nothing.
 */
#ifndef SS_PLUGIN_H
#define SS_PLUGIN_H

#include <ev.h>

#include "core/node.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/settings.h"

#define SS_PLUGINS_MAX 16

typedef struct SsShell SsShell;

/* What callers and targets speak; a plug-in of one runs only with it. */
typedef enum
{
  SS_INTERFACE_ANY,
  SS_INTERFACE_POSTGRESQL,
  SS_INTERFACE_LINE
} SsInterface;

typedef struct
{
  const char *name;
  SsInterface interface;
  uint32_t handles; /* bit by SsActionKind */
  /* Optional: changes the core's parameters before it starts. */
  void (*prepare) (const SsSettings *settings, SsNodeParams *params);
  /* Returns NULL, or what went wrong; freed by the caller. */
  char *(*init) (SsShell *shell);
  void (*finish) (SsShell *shell);
  void (*on_action) (SsShell *shell, SsAction *action);
} SsPlugin;

struct SsShell
{
  struct ev_loop *loop;
  const SsClock *clock;
  const SsSettings *settings;
  SsLog log;
  SsNode node;
  ev_timer tick;
  ev_prepare prepare;
  SsInterface interface;
  GPtrArray *retired; /* settings that were read again; NULL: none */
  int32_t exit_code;
};

#define SS_HANDLES(kind) (1U << SS_ACTION_##kind)

/* ss_interface_parse: returns false where NAME is none. */
bool ss_interface_parse (const char *name, SsInterface *interface);

/* ss_plugin_register: PLUGIN is static. */
void ss_plugin_register (const SsPlugin *plugin);

/* SS_PLUGIN_REGISTER: registers a plug-in before main runs. */
#define SS_PLUGIN_REGISTER(plugin)                                             \
  __attribute__ ((constructor)) static void register_plugin (void)             \
  {                                                                            \
    ss_plugin_register (&(plugin));                                            \
  }

/* ss_shell_init: starts every plug-in; returns NULL or what went wrong, to be
 * freed by the caller.
 */
char *ss_shell_init (SsShell *shell, struct ev_loop *loop, const SsClock *clock,
                     const SsSettings *settings);
void ss_shell_finish (SsShell *shell);
/* ss_shell_reload: reads the settings at PATH again; what can change while
 * the daemon runs is in force at once.  Invalid ones are logged and left.
 */
void ss_shell_reload (SsShell *shell, const char *path);

/* ss_shell_event: hands EVENT to the core and carries out its actions. */
void ss_shell_event (SsShell *shell, const SsEvent *event);

#endif
