/* Configuration objects of any size.  */
#ifndef GEN_H
#define GEN_H

#include "config/cluster_config.h"

#define GEN_MODELS 5
#define GEN_TIERS 5
#define GEN_REGIONS 3
#define GEN_SERVICES 3 /* servers of the plain service in a domain */

struct gen
{
  guint domains;
  guint backends; /* engines, spread evenly over domains and models */
  guint teams;
  gboolean services; /* a plain service besides the models */
};

/* The name of failure domain I and of its region. */
void gen_domain (guint i, struct str_id *domain, struct str_id *region);
GBytes *gen_body (const struct gen *gen);
struct cluster_config *gen_config (const struct gen *gen);

#endif
