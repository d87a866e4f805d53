/* Topology of the failure domains: which region each of them belongs to.  */
#ifndef TOPOLOGY_H
#define TOPOLOGY_H

#include <glib.h>

enum topology_distance
{
  TOPOLOGY_SAME_DOMAIN,
  TOPOLOGY_SAME_REGION,
  TOPOLOGY_OTHER_REGION
};

struct topology;

struct topology *topology_new (const char *own_domain, const char *own_region);
void topology_free (struct topology *topology);
void topology_add (struct topology *topology, const char *domain,
                   const char *region);
enum topology_distance topology_distance (const struct topology *topology,
                                          const char *domain);

#endif
