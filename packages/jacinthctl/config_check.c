#include "jacinthctl/config_check.h"

#include <string.h>

#include "base/json_text.h"
#include "config/cluster_config.h"
#include "platform/adapter.h"
#include "route/routing_table.h"

#define GROUP_LABEL "group ["

struct check
{
  char **lines;        /* of the text */
  GPtrArray *findings; /* of char *, borrowed */
  const char *preset;  /* under which the findings hold; NULL: under all */
  GHashTable *presets; /* finding: names of these presets, owned GString */
};

/* Returns the number, from 1, of the first line after line number FROM that
   contains NEEDLE; 0: there is none.  */
static guint
find_line (const struct check *check, const char *needle, guint from)
{
  for (guint i = 0; check->lines[i] != NULL; i++)
    if (i >= from && strstr (check->lines[i], needle) != NULL)
      return i + 1;
  return 0;
}

static void
add (const struct check *check, guint line, char *text)
{
  char *finding = line > 0 ? g_strdup_printf ("line %u, %s", line, text)
                           : g_strdup (text);
  g_free (text);
  if (check->preset == NULL)
    {
      g_ptr_array_add (check->findings, finding);
      return;
    }
  GString *names = g_hash_table_lookup (check->presets, finding);
  if (names == NULL)
    {
      names = g_string_new (NULL);
      g_hash_table_insert (check->presets, g_strdup (finding), names);
    }
  g_string_append_printf (names, " %s", check->preset);
  g_free (finding);
}

/* Returns the line of KEY in the group that begins at line GROUP, or GROUP if
   it has no such key.  */
static guint
find_key (const struct check *check, guint group, const char *key)
{
  gsize n = strlen (key);
  for (guint i = group; group > 0 && check->lines[i] != NULL; i++)
    {
      const char *line = check->lines[i];
      if (line[0] == '[')
        break;
      if (strncmp (line, key, n) == 0 && strchr (" \t=", line[n]) != NULL)
        return i + 1;
    }
  return group;
}

/* Adds a finding about KEY (NULL: all) of group TYPE:NAME.  */
static void add_group (const struct check *check, const char *type,
                       const char *name, const char *key, const char *format,
                       ...) G_GNUC_PRINTF (5, 6);

static void
add_group (const struct check *check, const char *type, const char *name,
           const char *key, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_autofree char *group = g_strdup_printf ("[%s:%s]", type, name);
  guint line = find_line (check, group, 0);
  if (key != NULL)
    line = find_key (check, line, key);
  add (check, line,
       g_strdup_printf ("group %s%s%s: %s", group, key ? ", key " : "",
                        key ? key : "", text));
}

/* Adds PROBLEM, "group [GROUP], key KEY: TEXT", with its line.  */
static void
add_problem (const struct check *check, const char *problem)
{
  const char *end = strchr (problem, ']');
  guint line = 0;
  if (g_str_has_prefix (problem, GROUP_LABEL) && end != NULL)
    {
      const char *start = problem + strlen (GROUP_LABEL) - 1;
      g_autofree char *group = g_strndup (start, (gsize)(end - start) + 1);
      line = find_line (check, group, 0);
      if (g_str_has_prefix (end, "], key "))
        {
          const char *key = end + strlen ("], key ");
          g_autofree char *name = g_strndup (key, strcspn (key, ":"));
          line = find_key (check, line, name);
        }
    }
  add (check, line, g_strdup (problem));
}

static void
string_free (gpointer data)
{
  g_string_free (data, TRUE);
}

static const char *
pool_type (const struct cluster_config *config, guint pool)
{
  return config->pools[pool].kind == CLUSTER_ENGINE ? "model" : "service";
}

/* Returns whether requests of CLASS that arrive in domain FROM may be sent to
   BACKEND.  */
static gboolean
reaches (const struct cluster_config *config, const struct cluster_class *class,
         guint from, const struct cluster_backend *backend)
{
  enum cluster_overflow overflow = MIN (config->overflow, class->overflow);
  const struct cluster_domain *here = &config->domains[from];
  const struct cluster_domain *there = &config->domains[backend->domain];
  if (backend->drain)
    return FALSE;
  if (backend->domain == from)
    return TRUE;
  return strcmp (here->region.s, there->region.s) == 0
             ? overflow >= CLUSTER_OVERFLOW_REGION
             : overflow == CLUSTER_OVERFLOW_ANYWHERE
                   && class->link_bytes_per_s > 0;
}

/* Finds the first domain whose requests of CLASS reach no server of POOL.
   Returns -1 if there is none.  */
static int
find_unserved (const struct cluster_config *config,
               const struct cluster_class *class, guint pool)
{
  for (guint d = 0; d < config->n_domains; d++)
    {
      gboolean served = FALSE;
      for (guint i = 0; i < config->n_backends && !served; i++)
        served = config->backends[i].pool == pool
                 && reaches (config, class, d, &config->backends[i]);
      if (!served)
        return (int)d;
    }
  return -1;
}

/* Checks what presets do not change: which entries nobody can reach, and
   whether anybody may change the configuration.  */
static void
check_entries (const struct check *check, const struct cluster_config *config)
{
  guint64 used = 0;
  gboolean may_write = FALSE;
  for (guint i = 0; i < config->n_teams; i++)
    used |= config->teams[i].classes;
  for (guint i = 0; i < config->n_classes; i++)
    if ((used >> i & 1) == 0)
      add_group (check, "class", config->classes[i].name.s, NULL,
                 "can never match: no team may use it");
  for (guint p = 0; p < config->n_pools; p++)
    {
      guint n = 0;
      guint n_drained = 0;
      for (guint i = 0; i < config->n_backends; i++)
        if (config->backends[i].pool == p)
          {
            n++;
            n_drained += config->backends[i].drain;
          }
      if (n == n_drained)
        add_group (check, pool_type (config, p), config->pools[p].name.s, NULL,
                   n == 0 ? "can never be reached: it has no backend server"
                          : "can't be reached: all its backend servers are "
                            "drained");
    }
  for (guint i = 0; i < config->n_operators; i++)
    may_write |= config->operators[i].may_write;
  if (!may_write)
    add (check, 0,
         g_strdup ("group [operator:NAME], key write: no operator may change "
                   "the configuration"));
}

/* Checks the limits of class number C of CONFIG, under its preset.  */
static void
check_class (const struct check *check, const struct cluster_config *config,
             guint c)
{
  const struct cluster_class *class = &config->classes[c];
  if (class->ttft_us > class->deadline_us)
    add_group (check, "class", class->name.s, "ttft_ms",
               "is above deadline_ms: the request ends before its target");
  if (class->tbt_us > class->deadline_us)
    add_group (check, "class", class->name.s, "tbt_ms",
               "is above deadline_ms: the request ends before its target");
  if (class->overflow == CLUSTER_OVERFLOW_ANYWHERE
      && class->link_bytes_per_s == 0)
    add_group (check, "class", class->name.s, "spill",
               "is anywhere, but link_bytes_per_s is 0: nothing may cross "
               "regions");
  for (guint p = 0; p < config->n_pools; p++)
    {
      gboolean has_server = FALSE;
      for (guint i = 0; i < config->n_backends; i++)
        has_server
            |= config->backends[i].pool == p && !config->backends[i].drain;
      int domain = has_server ? find_unserved (config, class, p) : -1;
      if (domain >= 0)
        add_group (check, pool_type (config, p), config->pools[p].name.s, NULL,
                   "can't be reached by class %s from domain %s: its servers "
                   "are further than the spill",
                   class->name.s, config->domains[domain].name.s);
    }
}

/* Checks CONFIG under each of its presets.  */
static void
check_presets (struct check *check, const struct cluster_config *config)
{
  guint64 crossing = 0; /* bit set of classes that leave their region */
  GHashTableIter iter;
  gpointer finding;
  gpointer names;
  check->presets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, string_free);
  for (guint i = 0; i < config->n_presets; i++)
    {
      struct err err;
      g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
      GBytes *body
          = cluster_with_preset (config->body, config->presets[i].s, &err);
      struct cluster_config *other
          = body != NULL ? cluster_parse (body, 1, problems) : NULL;
      check->preset = config->presets[i].s;
      for (guint c = 0; other != NULL && c < other->n_classes; c++)
        {
          gboolean anywhere = MIN (other->overflow, other->classes[c].overflow)
                              == CLUSTER_OVERFLOW_ANYWHERE;
          crossing |= (guint64)anywhere << c;
          check_class (check, other, c);
        }
      cluster_unref (other);
      g_clear_pointer (&body, g_bytes_unref);
    }
  check->preset = NULL;
  for (guint c = 0; c < config->n_classes; c++)
    if (config->classes[c].link_bytes_per_s > 0 && (crossing >> c & 1) == 0)
      add_group (check, "class", config->classes[c].name.s, "link_bytes_per_s",
                 "is never used: under no preset may the class leave its "
                 "region");
  g_hash_table_iter_init (&iter, check->presets);
  while (g_hash_table_iter_next (&iter, &finding, &names))
    g_ptr_array_add (check->findings,
                     g_strdup_printf ("%s (presets:%s)", (char *)finding,
                                      ((GString *)names)->str));
  g_clear_pointer (&check->presets, g_hash_table_unref);
}

static gboolean
check_cluster (struct check *check, struct str text)
{
  g_autoptr (GKeyFile) file = g_key_file_new ();
  if (!g_utf8_validate (text.p, (gssize)text.n, NULL)
      || !g_key_file_load_from_data (file, text.p, text.n, G_KEY_FILE_NONE,
                                     NULL))
    return FALSE;
  g_autoptr (GBytes) body = g_bytes_new (text.p, text.n);
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  struct cluster_config *config = cluster_parse (body, 1, problems);
  for (guint i = 0; i < problems->len; i++)
    add_problem (check, g_ptr_array_index (problems, i));
  if (config != NULL)
    {
      check_entries (check, config);
      check_presets (check, config);
      cluster_unref (config);
    }
  return TRUE;
}

/* What the checks of a routing table have in common.  */
struct routing_check
{
  const struct check *check;
  const struct routing_table *routing_table;
  GHashTable *routed; /* names of services, borrowed */
};

/* Adds a finding about the entry KIND NAME, at the first line that contains its
   name in quotes.  */
static void add_entry (const struct check *check, const char *kind,
                       const char *name, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

static void
add_entry (const struct check *check, const char *kind, const char *name,
           const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_autofree char *quoted = g_strdup_printf ("\"%s\"", name);
  add (check, find_line (check, quoted, 0),
       g_strdup_printf ("%s %s: %s", kind, name, text));
}

static void
check_shares (const struct routing_check *c, const struct routing_route *route)
{
  guint64 total = 0;
  for (guint i = 0; i < route->shares->len; i++)
    total += g_array_index (route->shares, struct routing_share, i).weight;
  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct routing_share *share
          = &g_array_index (route->shares, struct routing_share, i);
      /* Without any weight, all requests go to the first service. */
      if (share->weight > 0 || (total == 0 && i == 0))
        g_hash_table_add (c->routed, share->service);
      else
        add_entry (c->check, "route", route->name,
                   "service %s has weight 0 and never gets a request",
                   share->service);
    }
}

static void
check_route (void *ctx, const struct routing_route *route)
{
  struct routing_check *c = ctx;
  const struct routing_route *found = routing_table_find (
      c->routing_table, str_of (route->host), str_of (route->prefix));
  gboolean is_stream = route->kind == ROUTING_STREAM;
  if (strchr (route->host, ':') != NULL)
    add_entry (c->check, "route", route->name,
               "can never match: its host has a port, which is not compared");
  else if (route->prefix[0] != '/' || strchr (route->prefix, '?') != NULL)
    add_entry (c->check, "route", route->name,
               "can never match: its path prefix does not begin with a slash "
               "or has a query");
  else if (found != route)
    add_entry (c->check, "route", route->name,
               "can never match: route %s has the same host and prefix",
               found != NULL ? found->name : "");
  else
    check_shares (c, route);
  if (route->target_us > route->timeout_us)
    add_entry (c->check, "route", route->name,
               "its target is above its timeout: the client has left by then");
  if (is_stream && route->event_gap_us > route->timeout_us)
    add_entry (c->check, "route", route->name,
               "its longest gap between events is above its timeout");
  if (!is_stream && (route->event_gap_us > 0 || route->resumable))
    add_entry (c->check, "route", route->name,
               "is no stream: a longest gap or resumption has no effect");
}

static void
check_service (void *ctx, const struct routing_service *service)
{
  struct routing_check *c = ctx;
  if (!g_hash_table_contains (c->routed, service->name))
    add_entry (c->check, "service", service->name,
               "can never be reached: no route leads to it");
  if (service->has_engine && service->connections > 0
      && service->connections < service->engine.batch)
    add_entry (c->check, "service", service->name,
               "a server accepts %u connections, but its engine's batch is %u: "
               "the batch is never full",
               service->connections, service->engine.batch);
}

static void
check_team (void *ctx, const struct routing_team *team, guint n_keys)
{
  struct routing_check *c = ctx;
  if (n_keys == 0)
    add_entry (c->check, "team", team->name,
               "can never match: it has no key, or another team has the same");
}

static gboolean
check_routing (const struct check *check, struct str text)
{
  struct err err = { 0 };
  JsonNode *root = json_text_parse_object (text);
  if (root == NULL)
    return FALSE;
  json_node_unref (root);
  struct routing_table *routing_table = adapter_decode_text (text, &err);
  if (routing_table == NULL)
    {
      if (err.peer[0] != '\0')
        add_entry (check, "entry", err.peer, "%s", err.text);
      else
        add (check, 0, g_strdup_printf ("configuration: %s", err.text));
      return TRUE;
    }
  g_autoptr (GHashTable) routed = g_hash_table_new (g_str_hash, g_str_equal);
  struct routing_check c = { check, routing_table, routed };
  routing_table_each_route (routing_table, check_route, &c);
  routing_table_each_service (routing_table, check_service, &c);
  routing_table_each_team (routing_table, check_team, &c);
  routing_table_unref (routing_table);
  return TRUE;
}

static gint
compare_findings (gconstpointer a, gconstpointer b)
{
  const char *x = *(const char *const *)a;
  const char *y = *(const char *const *)b;
  guint line_x = 0;
  guint line_y = 0;
  if (g_str_has_prefix (x, "line "))
    line_x = (guint)g_ascii_strtoull (x + 5, NULL, 10);
  if (g_str_has_prefix (y, "line "))
    line_y = (guint)g_ascii_strtoull (y + 5, NULL, 10);
  return line_x != line_y ? (line_x < line_y ? -1 : 1) : strcmp (x, y);
}

gboolean
config_check (struct str text, GPtrArray *findings)
{
  g_autofree char *copy = g_strndup (text.p, text.n);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", -1);
  struct check check = { .lines = lines, .findings = findings };
  const char *first = copy + strspn (copy, " \t\r\n");
  gboolean readable = *first == '{' ? check_routing (&check, text)
                                    : check_cluster (&check, text);
  g_ptr_array_sort (findings, compare_findings);
  return readable;
}
