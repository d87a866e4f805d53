#include "fleet/health_review.h"

/* Servers that are compared with each other. A service with more of them is
   reviewed in groups, because the time that a review takes grows with the
   square of the group.  */
#define GROUP_MAX 64

/* Returns the ready servers of SERVICE, sorted by id.  */
static GPtrArray *
ready_servers (const struct registry *registry, const char *service)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  GPtrArray *ready = g_ptr_array_new ();
  for (guint i = 0; i < n; i++)
    if (servers[i]->state == REGISTRY_READY
        && g_str_equal (servers[i]->entry.service, service))
      g_ptr_array_add (ready, servers[i]);
  return ready;
}

/* Reviews SERVERS in groups of about the same size. Each takes every n-th
   server, so that all groups are alike. Returns how many were ejected.  */
static guint
review_groups (const GPtrArray *servers, gint64 now, GRand *rand)
{
  guint groups = (servers->len + GROUP_MAX - 1) / GROUP_MAX;
  guint ejected = 0;
  for (guint group = 0; group < groups; group++)
    {
      struct server_health *peers[GROUP_MAX];
      guint n = 0;
      for (guint i = group; i < servers->len; i += groups)
        {
          struct registry_server *server = g_ptr_array_index (servers, i);
          peers[n++] = &server->server_health;
        }
      ejected += server_health_review (peers, n, now, rand);
    }
  return ejected;
}

void
health_review (struct registry *registry, gint64 now, GRand *rand,
               health_review_ejected ejected, void *ctx)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  GHashTable *reviewed = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < n; i++)
    {
      const char *service = servers[i]->entry.service;
      if (!g_hash_table_add (reviewed, (gpointer)service))
        continue;
      GPtrArray *ready = ready_servers (registry, service);
      guint n_ejected = review_groups (ready, now, rand);
      if (n_ejected > 0)
        ejected (ctx, service, n_ejected, ready->len);
      g_ptr_array_unref (ready);
    }
  g_hash_table_unref (reviewed);
}
