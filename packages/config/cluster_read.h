/* Reading of the configuration object; internal to packages/config.  */
#ifndef CLUSTER_READ_H
#define CLUSTER_READ_H

#include "config/cluster_config.h"
#include "config/ini.h"

/* Hashed look-ups from a name or digest to its index plus one. The keys are
   borrowed from the arrays of the struct cluster_config.  */
struct cluster_index
{
  GHashTable *classes;
  GHashTable *teams;
  GHashTable *team_keys;
  GHashTable *domains;
  GHashTable *pools; /* of both kinds: their names are unique together */
  GHashTable *backends;
  GHashTable *shards;
  GHashTable *operators;
  GHashTable *operator_tokens;
};

/* Fills CFG from INI. Problems are added to INI; the caller looks whether
   there are any.  */
void cluster_read (struct cluster_config *config, struct ini *ini);

#endif
