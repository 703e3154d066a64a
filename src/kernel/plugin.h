/* plugin: the daemon's runtime and the registry of plug-ins.
 *
 * The runtime passes events to the core and the core's actions to the plug-ins;
 * all decisions are the core's.
 */
#ifndef SS_PLUGIN_H
#define SS_PLUGIN_H

#include <ev.h>

#include "core/node.h"
#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/settings.h"

#define SS_PLUGINS_MAX 16

typedef struct SsRuntime SsRuntime;

/* Protocol of callers and targets; a plug-in for one runs only with it. */
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
  uint32_t handles; /* set of SS_HANDLES bits */
  /* Optional: adjusts the core's parameters before it starts. */
  void (*prepare) (const SsSettings *settings, SsNodeParams *params);
  /* Returns NULL on success, else an error message to be freed with g_free. */
  char *(*init) (SsRuntime *runtime);
  /* Also called if init failed or was not called. */
  void (*finish) (SsRuntime *runtime);
  /* Carries out ACTION, of a kind in handles; it is borrowed for the call. */
  void (*on_action) (SsRuntime *runtime, SsAction *action);
  /* Optional: returns whether nothing is left to send before the process ends.
   */
  bool (*is_drained) (SsRuntime *runtime);
} SsPlugin;

struct SsRuntime
{
  struct ev_loop *loop;
  const SsClock *clock;
  const SsSettings *settings;
  SsLog log;
  SsNode node;
  ev_timer tick;         /* fires at the core's next deadline */
  ev_prepare prepare;    /* sets tick */
  ev_timer exit_poll;    /* see exit.h */
  int64_t stop_begun_ms; /* when the core began its graceful shutdown; 0: not */
  int64_t exit_due_ms;
  SsInterface interface;
  GPtrArray *reloaded_settings; /* all SsSettings read by reloads, also invalid
                                   ones; NULL: none */
};

#define SS_HANDLES(kind) (1U << SS_ACTION_##kind)

/* ss_interface_parse: returns false if NAME is not an interface. */
bool ss_interface_parse (const char *name, SsInterface *interface);

/* ss_plugin_register: adds PLUGIN, which must be static; aborts if there are
 * more than SS_PLUGINS_MAX.
 */
void ss_plugin_register (const SsPlugin *plugin);

/* SS_PLUGIN_REGISTER: registers a plug-in before main runs. */
#define SS_PLUGIN_REGISTER(plugin)                                             \
  __attribute__ ((constructor)) static void register_plugin (void)             \
  {                                                                            \
    ss_plugin_register (&(plugin));                                            \
  }

/* ss_runtime_init: starts the core and the plug-ins; RUNTIME must be zeroed.
 * Returns NULL on success, else an error message to be freed with g_free.
 * ss_runtime_finish is due in either case.
 */
char *ss_runtime_init (SsRuntime *runtime, struct ev_loop *loop,
                       const SsClock *clock, const SsSettings *settings);
void ss_runtime_finish (SsRuntime *runtime);
/* ss_runtime_reload: reloads the settings from PATH.  Settings that can change
 * at run time take effect at once; invalid settings are logged and ignored.
 */
void ss_runtime_reload (SsRuntime *runtime, const char *path);

/* ss_runtime_undrained: returns a plug-in that has something left to send, or
 * NULL.
 */
const SsPlugin *ss_runtime_undrained (SsRuntime *runtime);

/* ss_runtime_event: passes EVENT to the core and carries out its actions. */
void ss_runtime_event (SsRuntime *runtime, const SsEvent *event);

#endif
