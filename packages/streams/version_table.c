#include "streams/version_table.h"

#include <string.h>

#define FIRST_LINE "versions 1 " /* number and era follow */
#define SERVICES_MAX 1000
#define NUMBER_MAX (G_MAXUINT64 / 4) /* of a table; each change adds 1 */
#define NOT_STATED "*"               /* no version can be called so */
#define ANY_VERSION "?"

struct service
{
  char name[STR_ID_MAX + 1];
  /* As in the table. */
  enum version_rule rule;
  char version[STR_ID_MAX + 1]; /* ONE; ANY: the one before */
  gint64 any_since;             /* ANY: clock time at which it became known */
  gint64 hold_until; /* ANY: clock time until which streams begin at VERSION */
  /* As in the list of servers. */
  gboolean is_listed;
  gboolean has_several;
  gboolean has_version;      /* a server of VERSION that is not leaving */
  char only[STR_ID_MAX + 1]; /* version of all its servers */
  gint64 only_since; /* clock time since which that has been so; 0: it is not */
};

struct version_table
{
  guint64 number;      /* counts the changes; 0: no table is known */
  GPtrArray *services; /* of struct service, owned */
};

struct version_table *
version_table_new (void)
{
  struct version_table *table = g_new0 (struct version_table, 1);
  table->services = g_ptr_array_new_with_free_func (g_free);
  return table;
}

void
version_table_free (struct version_table *table)
{
  if (table == NULL)
    return;
  g_ptr_array_unref (table->services);
  g_free (table);
}

static struct service *
find (const struct version_table *table, const char *name)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      struct service *service = table->services->pdata[i];
      if (g_str_equal (service->name, name))
        return service;
    }
  return NULL;
}

static struct service *
find_or_add (struct version_table *table, const char *name)
{
  struct service *service = find (table, name);
  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  g_strlcpy (service->name, name, sizeof service->name);
  g_ptr_array_add (table->services, service);
  return service;
}

guint64
version_table_number (const struct version_table *table)
{
  return table->number;
}

static void
set_any (struct service *service, gint64 now)
{
  if (service->rule != VERSION_RULE_ANY)
    service->any_since = now;
  if (service->rule == VERSION_RULE_ONE)
    service->hold_until = now + VERSION_TABLE_HOLD_US;
  service->rule = VERSION_RULE_ANY;
}

static void
set_one (struct service *service, const char *version)
{
  service->rule = VERSION_RULE_ONE;
  service->hold_until = 0;
  g_strlcpy (service->version, version, sizeof service->version);
}

/* Parses "SERVICE VERSION". Returns FALSE if LINE is malformed.  */
static gboolean
read_line (struct version_table *table, const char *line, gboolean is_current,
           gint64 now)
{
  g_auto (GStrv) fields = g_strsplit (line, " ", 2);
  if (g_strv_length (fields) != 2 || !str_id_ok (str_of (fields[0])))
    return FALSE;
  gboolean is_any = g_str_equal (fields[1], ANY_VERSION);
  const char *version = g_str_equal (fields[1], NOT_STATED) ? "" : fields[1];
  if (!is_any && version[0] != '\0' && !str_id_ok (str_of (version)))
    return FALSE;
  if (is_any || !is_current)
    set_any (find_or_add (table, fields[0]), now);
  else
    set_one (find_or_add (table, fields[0]), version);
  return TRUE;
}

/* Parses the first line, which has the number of the table and the era of the
   store that it was written for.  */
static gboolean
read_first_line (const char *line, guint64 *number, guint64 *era)
{
  if (!g_str_has_prefix (line, FIRST_LINE))
    return FALSE;
  g_auto (GStrv) fields = g_strsplit (line + strlen (FIRST_LINE), " ", 2);
  return g_strv_length (fields) == 2
         && g_ascii_string_to_unsigned (fields[0], 10, 1, NUMBER_MAX, number,
                                        NULL)
         && g_ascii_string_to_unsigned (fields[1], 10, 0, G_MAXUINT64, era,
                                        NULL);
}

/* Takes over TEXT, read at clock time NOW from a store in ERA (0: not stated),
   if it is a newer table than the one known. A table of an earlier era is from
   before what that copy of the store lacks, so streams may have begun at other
   versions since. Returns 0, ERR_CONFLICT if the table is older than the one
   known, or ERR_PROTOCOL; then lines before the malformed one may count.  */
int
version_table_read (struct version_table *table, struct str text, guint64 era,
                    gint64 now)
{
  g_autofree char *copy = str_dup (text);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", SERVICES_MAX + 2);
  guint64 number;
  guint64 table_era;
  if (strlen (copy) != text.n || lines[0] == NULL
      || !read_first_line (lines[0], &number, &table_era))
    return ERR_PROTOCOL;
  if (number <= table->number)
    return number < table->number ? ERR_CONFLICT : 0;
  gboolean is_current = era == 0 || table_era >= era;
  for (guint i = 1; lines[i] != NULL && lines[i][0] != '\0'; i++)
    if (!read_line (table, lines[i], is_current, now))
      return ERR_PROTOCOL;
  table->number = number;
  return 0;
}

static void
append_line (GString *out, const struct service *service,
             enum version_rule rule, const char *version)
{
  if (rule != VERSION_RULE_UNKNOWN)
    g_string_append_printf (out, "%s %s\n", service->name,
                            rule == VERSION_RULE_ANY ? ANY_VERSION
                            : version[0] == '\0'     ? NOT_STATED
                                                     : version);
}

static GString *
begin_text (guint64 number, guint64 era)
{
  GString *out = g_string_new (FIRST_LINE);
  g_string_append_printf (out, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
                          number, era);
  return out;
}

/* Returns the table as text for other instances, owned by the caller; NULL: no
   table is known.  */
GBytes *
version_table_text (const struct version_table *table)
{
  if (table->number == 0)
    return NULL;
  GString *out = begin_text (table->number, 0);
  for (guint i = 0; i < table->services->len; i++)
    {
      const struct service *service = table->services->pdata[i];
      append_line (out, service, service->rule, service->version);
    }
  return g_string_free_to_bytes (out);
}

/* Returns at which versions streams of SERVICE may begin. VERSION is the one of
   VERSION_RULE_ONE, borrowed until the table changes.  */
enum version_rule
version_table_rule (const struct version_table *table, const char *service,
                    const char **version)
{
  const struct service *found = find (table, service);
  *version
      = found != NULL && found->rule == VERSION_RULE_ONE ? found->version : "";
  return found != NULL ? found->rule : VERSION_RULE_UNKNOWN;
}

/* Returns whether streams of SERVICE, which may begin at any version, still
   begin at the one before, VERSION (borrowed until the table changes), which a
   server has that may get them.  */
gboolean
version_table_holds (const struct version_table *table, const char *service,
                     gint64 now, const char **version)
{
  const struct service *found = find (table, service);
  if (found == NULL || found->rule != VERSION_RULE_ANY
      || now >= found->hold_until || !found->has_version)
    return FALSE;
  *version = found->version;
  return TRUE;
}

/* Appends the rule of each service to JSON, an object: a version, or "any".  */
void
version_table_dump (const struct version_table *table, JsonBuilder *json)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const struct service *service = table->services->pdata[i];
      if (service->rule == VERSION_RULE_UNKNOWN)
        continue;
      json_builder_set_member_name (json, service->name);
      json_builder_add_string_value (
          json, service->rule == VERSION_RULE_ANY ? "any" : service->version);
    }
}

/* Returns whether servers of SERVICE are listed whose version is not the one at
   which its streams may begin.  */
gboolean
version_table_has_several (const struct version_table *table,
                           const char *service)
{
  const struct service *found = find (table, service);
  return found != NULL && found->is_listed
         && (found->has_several
             || (found->rule == VERSION_RULE_ONE
                 && !g_str_equal (found->only, found->version)));
}

/* Returns whether streams of some service may begin at any version.  */
gboolean
version_table_is_mixed (const struct version_table *table)
{
  for (guint i = 0; i < table->services->len; i++)
    if (((const struct service *)table->services->pdata[i])->rule
        == VERSION_RULE_ANY)
      return TRUE;
  return FALSE;
}

/* Takes note of the versions of all listed servers, also of those that are
   leaving. Called after each change of the list and regularly.  */
void
version_table_observe (struct version_table *table,
                       const struct registry *registry, gint64 now)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  struct service *service = NULL;
  char before[STR_ID_MAX + 1];
  for (guint i = 0; i < table->services->len; i++)
    {
      service = table->services->pdata[i];
      service->is_listed = service->has_several = FALSE;
      service->has_version = FALSE;
    }
  for (guint i = 0; i < n; i++)
    {
      const struct registry_entry *entry = &servers[i]->entry;
      if (service == NULL || !g_str_equal (service->name, entry->service))
        service = find_or_add (table, entry->service);
      service->has_version |= g_str_equal (service->version, entry->version)
                              && registry_may_serve (servers[i], now)
                              && !registry_is_leaving (servers[i]);
      if (service->is_listed)
        {
          service->has_several |= !g_str_equal (service->only, entry->version);
          continue;
        }
      g_strlcpy (before, service->only, sizeof before);
      service->is_listed = TRUE;
      g_strlcpy (service->only, entry->version, sizeof service->only);
      if (service->only_since == 0 || !g_str_equal (before, service->only))
        service->only_since = now;
    }
  for (guint i = 0; i < table->services->len; i++)
    {
      service = table->services->pdata[i];
      if (service->has_several)
        service->only_since = 0;
    }
}

/* The table in the store is lost or cannot be read: streams may have begun at
   any version.  */
void
version_table_distrust (struct version_table *table, gint64 now)
{
  for (guint i = 0; i < table->services->len; i++)
    set_any (table->services->pdata[i], now);
}

/* Returns the rule that SERVICE should have, and its version in VERSION. The
   first one follows from the list, as no stream has begun before. A second
   version ends the first one's time; after SETTLE_US with one version again, no
   stream that has begun at another one is left.  */
static enum version_rule
next_rule (const struct service *service, gint64 settle_us, gint64 now,
           const char **version)
{
  *version = service->version;
  if (!service->is_listed)
    return service->rule;
  switch (service->rule)
    {
    case VERSION_RULE_UNKNOWN:
      *version = service->only;
      return service->has_several ? VERSION_RULE_ANY : VERSION_RULE_ONE;
    case VERSION_RULE_ONE:
      return service->has_several
                     || !g_str_equal (service->only, service->version)
                 ? VERSION_RULE_ANY
                 : VERSION_RULE_ONE;
    case VERSION_RULE_ANY:
      break;
    }
  if (service->has_several || now - service->only_since < settle_us
      || now - service->any_since < settle_us)
    return VERSION_RULE_ANY;
  *version = service->only;
  return VERSION_RULE_ONE;
}

/* Returns whether the table has to change.  */
gboolean
version_table_is_due (const struct version_table *table, gint64 settle_us,
                      gint64 now)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const struct service *service = table->services->pdata[i];
      const char *version;
      if (next_rule (service, settle_us, now, &version) != service->rule)
        return TRUE;
    }
  return FALSE;
}

/* Returns the text of the table as it should be, with NUMBER, for a store in
   ERA; owned by the caller.  */
GBytes *
version_table_propose (const struct version_table *table, guint64 number,
                       guint64 era, gint64 settle_us, gint64 now)
{
  GString *out = begin_text (number, era);
  for (guint i = 0; i < table->services->len; i++)
    {
      const struct service *service = table->services->pdata[i];
      const char *version;
      enum version_rule rule = next_rule (service, settle_us, now, &version);
      append_line (out, service, rule, version);
    }
  return g_string_free_to_bytes (out);
}
