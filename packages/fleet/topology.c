#include "fleet/topology.h"

#include <string.h>

struct topology
{
  GHashTable *regions; /* domain: region */
  char *own_domain;
  char *own_region;
};

struct topology *
topology_new (const char *own_domain, const char *own_region)
{
  struct topology *topology = g_new0 (struct topology, 1);
  topology->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  topology->own_domain = g_strdup (own_domain);
  topology->own_region = g_strdup (own_region);
  return topology;
}

void
topology_free (struct topology *topology)
{
  if (topology == NULL)
    return;
  g_hash_table_unref (topology->regions);
  g_free (topology->own_domain);
  g_free (topology->own_region);
  g_free (topology);
}

void
topology_add (struct topology *topology, const char *domain, const char *region)
{
  g_hash_table_replace (topology->regions, g_strdup (domain),
                        g_strdup (region));
}

/* Returns the distance from this instance to DOMAIN. An unknown domain counts
   as in another region.  */
enum topology_distance
topology_distance (const struct topology *topology, const char *domain)
{
  if (strcmp (domain, topology->own_domain) == 0)
    return TOPOLOGY_SAME_DOMAIN;
  const char *region = g_hash_table_lookup (topology->regions, domain);
  if (region != NULL && strcmp (region, topology->own_region) == 0)
    return TOPOLOGY_SAME_REGION;
  return TOPOLOGY_OTHER_REGION;
}
