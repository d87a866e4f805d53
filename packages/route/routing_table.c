#include "route/routing_table.h"

#include <string.h>

#define HEADER_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT (4 * 1024 * 1024)
#define HEADER_US_DEFAULT (10 * CLK_S)
#define IDLE_US_DEFAULT (60 * CLK_S)
#define ROUTE_RANKS 3 /* of routes that are told apart within one team rank */

struct rtb
{
  guint refs;
  guint64 version;
  struct rtb_limits limits;
  GHashTable *hosts;    /* name: GPtrArray of routes, longest prefix first */
  GHashTable *services; /* name: struct rtb_service */
  GHashTable *teams;    /* hexadecimal SHA-256 of a key: team, borrowed */
  GPtrArray *team_list; /* of struct rtb_team, owned */
  guint n_routes;
};

void
rtb_route_clear (struct rtb_route *route)
{
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  for (guint i = 0; route->shares != NULL && i < route->shares->len; i++)
    g_free (g_array_index (route->shares, struct rtb_share, i).service);
  if (route->shares != NULL)
    g_array_unref (route->shares);
  *route = (struct rtb_route){ 0 };
}

static void
route_free (gpointer data)
{
  rtb_route_clear (data);
  g_free (data);
}

static void
service_free (gpointer data)
{
  struct rtb_service *service = data;
  g_free (service->name);
  g_free (service);
}

static void
team_free (gpointer data)
{
  struct rtb_team *team = data;
  g_free (team->name);
  g_free (team);
}

/* Makes an empty table with the default limits.  */
struct rtb *
rtb_new (guint64 version)
{
  struct rtb *rtb = g_new0 (struct rtb, 1);
  rtb->refs = 1;
  rtb->version = version;
  rtb->limits = (struct rtb_limits){ .header_bytes = HEADER_BYTES_DEFAULT,
                                     .body_bytes = BODY_BYTES_DEFAULT,
                                     .header_us = HEADER_US_DEFAULT,
                                     .idle_us = IDLE_US_DEFAULT };
  rtb->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_ptr_array_unref);
  rtb->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  rtb->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  rtb->team_list = g_ptr_array_new_with_free_func (team_free);
  return rtb;
}

struct rtb *
rtb_ref (struct rtb *rtb)
{
  rtb->refs++;
  return rtb;
}

void
rtb_unref (struct rtb *rtb)
{
  if (rtb == NULL || --rtb->refs > 0)
    return;
  g_hash_table_unref (rtb->hosts);
  g_hash_table_unref (rtb->services);
  g_hash_table_unref (rtb->teams);
  g_ptr_array_unref (rtb->team_list);
  g_free (rtb);
}

static gint
by_prefix_length (gconstpointer a, gconstpointer b)
{
  const struct rtb_route *x = *(const struct rtb_route *const *)a;
  const struct rtb_route *y = *(const struct rtb_route *const *)b;
  gsize nx = strlen (x->prefix);
  gsize ny = strlen (y->prefix);
  return nx < ny ? 1 : nx > ny ? -1 : strcmp (x->name, y->name);
}

void
rtb_add_route (struct rtb *rtb, struct rtb_route *route)
{
  GPtrArray *routes = g_hash_table_lookup (rtb->hosts, route->host);
  if (routes == NULL)
    {
      routes = g_ptr_array_new_with_free_func (route_free);
      g_hash_table_insert (rtb->hosts, g_strdup (route->host), routes);
    }
  g_ptr_array_add (routes, g_memdup2 (route, sizeof *route));
  g_ptr_array_sort (routes, by_prefix_length);
  rtb->n_routes++;
}

void
rtb_add_service (struct rtb *rtb, struct rtb_service *service)
{
  struct rtb_service *copy = g_memdup2 (service, sizeof *service);
  g_hash_table_insert (rtb->services, copy->name, copy);
}

static char *
digest (struct str key)
{
  return g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)key.p,
                                      key.n);
}

/* Adds a team; of its KEYS only digests are kept.  */
void
rtb_add_team (struct rtb *rtb, struct rtb_team *team, const struct str *keys,
              guint n_keys)
{
  struct rtb_team *copy = g_memdup2 (team, sizeof *team);
  g_ptr_array_add (rtb->team_list, copy);
  for (guint i = 0; i < n_keys; i++)
    g_hash_table_insert (rtb->teams, digest (keys[i]), copy);
}

void
rtb_set_limits (struct rtb *rtb, const struct rtb_limits *limits)
{
  rtb->limits = *limits;
}

/* Checks what a decoder cannot see by itself: that every route leads to known
   services. Returns 0 or ERR_INVALID.  */
int
rtb_check (const struct rtb *rtb, struct err *err)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, rtb->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (guint i = 0; i < ((GPtrArray *)value)->len; i++)
      {
        const GPtrArray *routes = value;
        const struct rtb_route *route = g_ptr_array_index (routes, i);
        for (guint k = 0; k < route->shares->len; k++)
          {
            const char *service
                = g_array_index (route->shares, struct rtb_share, k).service;
            if (!g_hash_table_contains (rtb->services, service))
              return err_set (err, ERR_INVALID, "config.check", route->name,
                              "unknown service %s", service);
          }
      }
  return 0;
}

guint64
rtb_version (const struct rtb *rtb)
{
  return rtb->version;
}

const struct rtb_limits *
rtb_limits (const struct rtb *rtb)
{
  return &rtb->limits;
}

/* Finds the route of HOST (a port is ignored) whose prefix is the longest that
   begins PATH (a query is ignored). Returns NULL if there is none.  */
const struct rtb_route *
rtb_find (const struct rtb *rtb, struct str host, struct str path)
{
  const char *colon = memchr (host.p, ':', host.n);
  const char *query = memchr (path.p, '?', path.n);
  if (colon != NULL)
    host.n = (gsize)(colon - host.p);
  if (query != NULL)
    path.n = (gsize)(query - path.p);
  char *name = g_ascii_strdown (host.p, (gssize)host.n);
  const GPtrArray *routes = g_hash_table_lookup (rtb->hosts, name);
  g_free (name);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const struct rtb_route *route = g_ptr_array_index (routes, i);
      gsize n = strlen (route->prefix);
      if (n <= path.n && memcmp (route->prefix, path.p, n) == 0)
        return route;
    }
  return NULL;
}

const struct rtb_service *
rtb_service (const struct rtb *rtb, const char *name)
{
  return g_hash_table_lookup (rtb->services, name);
}

/* Tells whether callers need a key at all.  */
gboolean
rtb_has_teams (const struct rtb *rtb)
{
  return rtb->team_list->len > 0;
}

/* Returns the team that holds KEY, or NULL.  */
const struct rtb_team *
rtb_team_of (const struct rtb *rtb, struct str key)
{
  char *hash = digest (key);
  const struct rtb_team *team = g_hash_table_lookup (rtb->teams, hash);
  g_free (hash);
  return team;
}

/* Returns the service of ROUTE that DRAW, a random number, falls to by the
   weights.  */
const char *
rtb_pick (const struct rtb_route *route, guint64 draw)
{
  guint64 total = 0;
  for (guint i = 0; i < route->shares->len; i++)
    total += g_array_index (route->shares, struct rtb_share, i).weight;
  guint64 left = total ? draw % total : 0;
  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct rtb_share *share
          = &g_array_index (route->shares, struct rtb_share, i);
      if (left < share->weight)
        return share->service;
      left -= share->weight;
    }
  return g_array_index (route->shares, struct rtb_share, 0).service;
}

/* The rank of a request of TEAM (NULL: none) on ROUTE among all: the team's
   priority decides before the route's, which decides among requests of teams
   with the same. Priorities beyond what ranks can tell apart count as the
   last.  */
guint
rtb_rank (const struct rtb_route *route, const struct rtb_team *team)
{
  guint by_route = MIN (route->priority, ROUTE_RANKS - 1);
  guint by_team = by_route;
  if (team != NULL && team->priority != RTB_TEAM_PRIORITY_NONE)
    by_team = (guint)team->priority;
  return MIN (by_team * ROUTE_RANKS + by_route, RTB_RANKS - 1);
}

/* Tells whether a request that may have run may be sent again.  */
gboolean
rtb_may_repeat (const struct rtb_route *route)
{
  switch (route->kind)
    {
    case RTB_IDEMPOTENT:
      return TRUE;
    case RTB_ONCE:
      return FALSE;
    case RTB_STREAM:
      return route->resumable;
    }
  return FALSE;
}

guint
rtb_n_routes (const struct rtb *rtb)
{
  return rtb->n_routes;
}
