/* At which versions of the servers' software the streams of each service may
   begin: at one only, so that every instance knows it of every stream, or at
   any, and the instances remember it for each stream. All instances have the
   same table, from the store; it changes only with a release.  */
#ifndef VERSION_TABLE_H
#define VERSION_TABLE_H

#include <json-glib/json-glib.h>

#include "fleet/registry.h"

/* X (NAME) */
#define VERSION_RULES(X)                                                       \
  X (UNKNOWN) /* the table does not have the service */                        \
  X (ONE)     /* streams begin at one version */                               \
  X (ANY)     /* streams begin at any version */

enum version_rule
{
#define VERSION_RULE_ENUM(id) VERSION_RULE_##id,
  VERSION_RULES (VERSION_RULE_ENUM)
#undef VERSION_RULE_ENUM
};

/* For this time after an instance has learned that streams may begin at any
   version, it still begins them at the one that was in force before. So no
   stream has begun at another one within this time of a moment at which the
   store had the table before. */
#define VERSION_TABLE_HOLD_US (1 * CLK_S)

struct version_table;

struct version_table *version_table_new (void);
void version_table_free (struct version_table *table);
int version_table_read (struct version_table *table, struct str text,
                        guint64 era, gint64 now);
GBytes *version_table_text (const struct version_table *table);
guint64 version_table_number (const struct version_table *table);
enum version_rule version_table_rule (const struct version_table *table,
                                      const char *service,
                                      const char **version);
gboolean version_table_holds (const struct version_table *table,
                              const char *service, gint64 now,
                              const char **version);
gboolean version_table_has_several (const struct version_table *table,
                                    const char *service);
void version_table_dump (const struct version_table *table, JsonBuilder *json);
gboolean version_table_is_mixed (const struct version_table *table);
void version_table_observe (struct version_table *table,
                            const struct registry *registry, gint64 now);
void version_table_distrust (struct version_table *table, gint64 now);
gboolean version_table_is_due (const struct version_table *table,
                               gint64 settle_us, gint64 now);
GBytes *version_table_propose (const struct version_table *table,
                               guint64 number, guint64 era, gint64 settle_us,
                               gint64 now);

#endif
