/* Configuration objects of any size.  */
#ifndef GENERATOR_H
#define GENERATOR_H

#include "config/cluster_config.h"

#define GENERATOR_MODELS 5
#define GENERATOR_TIERS 5
#define GENERATOR_REGIONS 3
#define GENERATOR_SERVICE_BACKENDS                                             \
  3 /* servers of the plain service in a domain */

struct generator_options
{
  guint domains;
  guint backends; /* engines, spread evenly over domains and models */
  guint teams;
  gboolean services; /* a plain service besides the models */
};

/* The name of failure domain I and of its region. */
void generator_domain (guint i, struct str_id *domain, struct str_id *region);
GBytes *generator_body (const struct generator_options *options);
struct cluster_config *
generator_config (const struct generator_options *options);

#endif
