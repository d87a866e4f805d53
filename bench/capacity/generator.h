/* Generates cluster configurations of any size.  */
#ifndef GENERATOR_H
#define GENERATOR_H

#include "config/cluster_config.h"

#define GENERATOR_MODELS 5
#define GENERATOR_TIERS 5
#define GENERATOR_REGIONS 3
#define GENERATOR_SERVICE_BACKENDS 3 /* in each failure domain */

struct generator_options
{
  guint domains;  /* failure domains, spread evenly over the regions */
  guint backends; /* engines, spread evenly over domains and models */
  guint teams;
  gboolean services; /* with a service "account" besides the models */
};

/* Writes the names of failure domain I and of its region. */
void generator_domain (guint i, struct str_id *domain, struct str_id *region);
/* Returns the text of a configuration; the caller frees it. */
GBytes *generator_body (const struct generator_options *options);
/* Returns the parsed configuration with version 1; the caller frees it. */
struct cluster_config *
generator_config (const struct generator_options *options);

#endif
