#include "route/routing_table.h"

#include <string.h>

#define HEADER_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT (4 * 1024 * 1024)
#define HEADER_TIMEOUT_US_DEFAULT (10 * CLK_S)
#define IDLE_TIMEOUT_US_DEFAULT (60 * CLK_S)

/* Route priorities that are distinguished among teams of the same priority.  */
#define TIERS_PER_TEAM_PRIORITY 3

#define PREFIX_HASH_BASE 16777619u /* of a polynomial hash of a prefix */

/* The first N bytes of a path, and their hash. */
struct prefix_key
{
  const char *p;
  gsize n;
  guint hash;
};

/* A prefix of a host, and its routes: of several the one with the first name is
   used. */
struct prefix_routes
{
  struct prefix_key key; /* the bytes are of the first route added */
  GPtrArray *routes;     /* of struct routing_route, a reference each */
};

/* The routes of a host. The time to find one grows with the length of the path
   and not with the number of routes. */
struct host
{
  char *name;
  GHashTable *prefixes; /* struct prefix_key: struct prefix_routes, owned */
  GHashTable *sizes;    /* lengths of the prefixes */
};

struct routing_table
{
  guint refs;
  guint64 version;
  struct routing_limits limits;
  GHashTable *hosts;    /* host name: struct host, owned */
  GHashTable *services; /* name: struct routing_service, owned */
  GHashTable *teams;    /* hexadecimal SHA-256 of an API key: team, borrowed */
  GPtrArray *team_list; /* of struct routing_team, owned */
  guint n_routes;
};

void
routing_route_clear (struct routing_route *route)
{
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  for (guint i = 0; route->shares != NULL && i < route->shares->len; i++)
    g_free (g_array_index (route->shares, struct routing_share, i).service);
  if (route->shares != NULL)
    g_array_unref (route->shares);
  *route = (struct routing_route){ 0 };
}

struct routing_route *
routing_route_ref (struct routing_route *route)
{
  route->refs++;
  return route;
}

void
routing_route_unref (gpointer data)
{
  struct routing_route *route = data;
  if (route == NULL || --route->refs > 0)
    return;
  routing_route_clear (route);
  g_free (route);
}

static guint
prefix_hash (gconstpointer key)
{
  return ((const struct prefix_key *)key)->hash;
}

static gboolean
prefix_equal (gconstpointer a, gconstpointer b)
{
  const struct prefix_key *x = a;
  const struct prefix_key *y = b;
  return x->n == y->n && memcmp (x->p, y->p, x->n) == 0;
}

static guint
hash_byte (guint hash, char byte)
{
  return hash * PREFIX_HASH_BASE + (guchar)byte + 1;
}

static struct prefix_key
prefix_key_of (const char *prefix)
{
  struct prefix_key key = { .p = prefix, .n = strlen (prefix) };
  for (gsize i = 0; i < key.n; i++)
    key.hash = hash_byte (key.hash, prefix[i]);
  return key;
}

static void
prefix_routes_free (gpointer data)
{
  struct prefix_routes *prefix_routes = data;
  g_ptr_array_unref (prefix_routes->routes);
  g_free (prefix_routes);
}

static void
host_free (gpointer data)
{
  struct host *host = data;
  g_hash_table_unref (host->prefixes);
  g_hash_table_unref (host->sizes);
  g_free (host->name);
  g_free (host);
}

static void
service_free (gpointer data)
{
  struct routing_service *service = data;
  g_free (service->name);
  if (service->scaling.prices != NULL)
    g_array_unref (service->scaling.prices);
  g_free (service);
}

static void
team_free (gpointer data)
{
  struct routing_team *team = data;
  g_free (team->name);
  g_free (team);
}

/* Returns an empty table with the default limits and one reference.  */
struct routing_table *
routing_table_new (guint64 version)
{
  struct routing_table *routing_table = g_new0 (struct routing_table, 1);
  routing_table->refs = 1;
  routing_table->version = version;
  routing_table->limits
      = (struct routing_limits){ .header_bytes = HEADER_BYTES_DEFAULT,
                                 .body_bytes = BODY_BYTES_DEFAULT,
                                 .header_timeout_us = HEADER_TIMEOUT_US_DEFAULT,
                                 .idle_timeout_us = IDLE_TIMEOUT_US_DEFAULT };
  routing_table->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_free);
  routing_table->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  routing_table->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  routing_table->team_list = g_ptr_array_new_with_free_func (team_free);
  return routing_table;
}

struct routing_table *
routing_table_ref (struct routing_table *routing_table)
{
  routing_table->refs++;
  return routing_table;
}

void
routing_table_unref (struct routing_table *routing_table)
{
  if (routing_table == NULL || --routing_table->refs > 0)
    return;
  g_hash_table_unref (routing_table->hosts);
  g_hash_table_unref (routing_table->services);
  g_hash_table_unref (routing_table->teams);
  g_ptr_array_unref (routing_table->team_list);
  g_free (routing_table);
}

static struct host *
find_or_add_host (struct routing_table *routing_table, const char *name)
{
  struct host *host = g_hash_table_lookup (routing_table->hosts, name);
  if (host != NULL)
    return host;
  host = g_new0 (struct host, 1);
  host->name = g_strdup (name);
  host->prefixes = g_hash_table_new_full (prefix_hash, prefix_equal, NULL,
                                          prefix_routes_free);
  host->sizes = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (routing_table->hosts, host->name, host);
  return host;
}

/* Adds ROUTE, of which another table may have a reference.  */
void
routing_table_share_route (struct routing_table *routing_table,
                           struct routing_route *route)
{
  struct host *host = find_or_add_host (routing_table, route->host);
  struct prefix_key key = prefix_key_of (route->prefix);
  struct prefix_routes *found = g_hash_table_lookup (host->prefixes, &key);
  if (found == NULL)
    {
      gpointer size = GSIZE_TO_POINTER (key.n);
      found = g_new0 (struct prefix_routes, 1);
      found->key = key;
      found->routes = g_ptr_array_new_with_free_func (routing_route_unref);
      g_hash_table_insert (host->prefixes, &found->key, found);
      g_hash_table_add (host->sizes, size);
    }
  g_ptr_array_add (found->routes, routing_route_ref (route));
  /* The first one by name takes the first place. */
  const struct routing_route *first = g_ptr_array_index (found->routes, 0);
  if (strcmp (route->name, first->name) < 0)
    {
      guint last = found->routes->len - 1;
      found->routes->pdata[last] = found->routes->pdata[0];
      found->routes->pdata[0] = route;
    }
  routing_table->n_routes++;
}

/* Returns the route as the table has it, borrowed.  */
struct routing_route *
routing_table_add_route (struct routing_table *routing_table,
                         struct routing_route *route)
{
  struct routing_route *copy = g_memdup2 (route, sizeof *route);
  copy->refs = 0;
  routing_table_share_route (routing_table, copy);
  return copy;
}

void
routing_table_add_service (struct routing_table *routing_table,
                           struct routing_service *service)
{
  struct routing_service *copy = g_memdup2 (service, sizeof *service);
  g_hash_table_insert (routing_table->services, copy->name, copy);
}

static char *
key_digest (struct str key)
{
  return g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)key.p,
                                      key.n);
}

/* Adds a team. Of its API keys only digests are stored.  */
void
routing_table_add_team (struct routing_table *routing_table,
                        struct routing_team *team, const struct str *keys,
                        guint n_keys)
{
  struct routing_team *copy = g_memdup2 (team, sizeof *team);
  g_ptr_array_add (routing_table->team_list, copy);
  for (guint i = 0; i < n_keys; i++)
    g_hash_table_insert (routing_table->teams, key_digest (keys[i]), copy);
}

void
routing_table_set_limits (struct routing_table *routing_table,
                          const struct routing_limits *limits)
{
  routing_table->limits = *limits;
}

/* Checks that the services of ROUTE exist. Returns 0 or ERR_INVALID.  */
int
routing_table_check_route (const struct routing_table *routing_table,
                           const struct routing_route *route, struct err *err)
{
  for (guint i = 0; i < route->shares->len; i++)
    {
      const char *service
          = g_array_index (route->shares, struct routing_share, i).service;
      if (!g_hash_table_contains (routing_table->services, service))
        return err_set (err, ERR_INVALID, "config.check", route->name,
                        "route refers to unknown service %s", service);
    }
  return 0;
}

guint64
routing_table_version (const struct routing_table *routing_table)
{
  return routing_table->version;
}

const struct routing_limits *
routing_limits (const struct routing_table *routing_table)
{
  return &routing_table->limits;
}

static const struct routing_route *
find_longest (const struct host *host, struct str path)
{
  const struct prefix_routes *longest = NULL;
  struct prefix_key key = { .p = path.p };
  for (;;)
    {
      const struct prefix_routes *found
          = g_hash_table_contains (host->sizes, GSIZE_TO_POINTER (key.n))
                ? g_hash_table_lookup (host->prefixes, &key)
                : NULL;
      if (found != NULL)
        longest = found;
      if (key.n == path.n)
        return longest != NULL ? g_ptr_array_index (longest->routes, 0) : NULL;
      key.hash = hash_byte (key.hash, path.p[key.n++]);
    }
}

/* Returns the route of HOST with the longest prefix that matches PATH, or NULL.
   A port in HOST and a query in PATH are ignored.  */
const struct routing_route *
routing_table_find (const struct routing_table *routing_table, struct str host,
                    struct str path)
{
  const char *colon = memchr (host.p, ':', host.n);
  const char *query = memchr (path.p, '?', path.n);
  if (colon != NULL)
    host.n = (gsize)(colon - host.p);
  if (query != NULL)
    path.n = (gsize)(query - path.p);
  char *name = g_ascii_strdown (host.p, (gssize)host.n);
  const struct host *found = g_hash_table_lookup (routing_table->hosts, name);
  g_free (name);
  return found != NULL ? find_longest (found, path) : NULL;
}

const struct routing_service *
routing_service (const struct routing_table *routing_table, const char *name)
{
  return g_hash_table_lookup (routing_table->services, name);
}

/* Returns the price of a regular server in DOMAIN; 1 if none is stated.  */
double
routing_domain_price (const struct routing_scaling *scaling, const char *domain)
{
  for (guint i = 0; scaling->prices != NULL && i < scaling->prices->len; i++)
    {
      const struct routing_domain_price *price
          = &g_array_index (scaling->prices, struct routing_domain_price, i);
      if (g_str_equal (price->domain, domain))
        return price->price;
    }
  return 1;
}

/* Returns whether there are teams; if not, clients need no API key.  */
gboolean
routing_table_has_teams (const struct routing_table *routing_table)
{
  return routing_table->team_list->len > 0;
}

/* Returns the team to which the API key belongs, or NULL.  */
const struct routing_team *
routing_table_team_of (const struct routing_table *routing_table,
                       struct str key)
{
  char *hash = key_digest (key);
  const struct routing_team *team
      = g_hash_table_lookup (routing_table->teams, hash);
  g_free (hash);
  return team;
}

/* Returns the service of ROUTE that the random number DRAW selects, with
   probabilities proportional to the weights.  */
const char *
routing_pick (const struct routing_route *route, guint64 draw)
{
  guint64 total = 0;
  for (guint i = 0; i < route->shares->len; i++)
    total += g_array_index (route->shares, struct routing_share, i).weight;
  guint64 left = total ? draw % total : 0;
  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct routing_share *share
          = &g_array_index (route->shares, struct routing_share, i);
      if (left < share->weight)
        return share->service;
      left -= share->weight;
    }
  return g_array_index (route->shares, struct routing_share, 0).service;
}

/* Returns the tier of requests of TEAM (NULL: none) on ROUTE. The priority of
   the team decides; among teams of the same priority, that of the route does.
   If there is no team, or it has no priority, that of the route is used for
   both. Priorities too low to have a tier of their own share the last one.  */
guint
routing_tier (const struct routing_route *route,
              const struct routing_team *team)
{
  guint by_route = MIN (route->priority, TIERS_PER_TEAM_PRIORITY - 1);
  guint by_team = by_route;
  if (team != NULL && team->priority != ROUTING_TEAM_PRIORITY_NONE)
    by_team = (guint)team->priority;
  return MIN (by_team * TIERS_PER_TEAM_PRIORITY + by_route, ROUTING_TIERS - 1);
}

/* Returns whether a request that may have been executed may be sent again.  */
gboolean
routing_may_repeat (const struct routing_route *route)
{
  switch (route->kind)
    {
    case ROUTING_IDEMPOTENT:
      return TRUE;
    case ROUTING_ONCE:
      return FALSE;
    case ROUTING_STREAM:
      return route->resumable;
    }
  return FALSE;
}

guint
routing_table_n_routes (const struct routing_table *routing_table)
{
  return routing_table->n_routes;
}

void
routing_table_each_route (const struct routing_table *routing_table,
                          void (*visit) (void *ctx,
                                         const struct routing_route *),
                          void *ctx)
{
  GHashTableIter hosts;
  gpointer host;
  g_hash_table_iter_init (&hosts, routing_table->hosts);
  while (g_hash_table_iter_next (&hosts, NULL, &host))
    {
      GHashTableIter prefixes;
      gpointer prefix;
      g_hash_table_iter_init (&prefixes, ((const struct host *)host)->prefixes);
      while (g_hash_table_iter_next (&prefixes, NULL, &prefix))
        {
          const GPtrArray *routes
              = ((const struct prefix_routes *)prefix)->routes;
          for (guint i = 0; i < routes->len; i++)
            visit (ctx, g_ptr_array_index (routes, i));
        }
    }
}

void
routing_table_each_service (const struct routing_table *routing_table,
                            void (*visit) (void *ctx,
                                           const struct routing_service *),
                            void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, routing_table->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (ctx, value);
}

void
routing_table_each_team (const struct routing_table *routing_table,
                         void (*visit) (void *ctx, const struct routing_team *,
                                        guint n_keys),
                         void *ctx)
{
  for (guint i = 0; i < routing_table->team_list->len; i++)
    {
      const struct routing_team *team
          = g_ptr_array_index (routing_table->team_list, i);
      guint n_keys = 0;
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, routing_table->teams);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        n_keys += value == team;
      visit (ctx, team, n_keys);
    }
}
