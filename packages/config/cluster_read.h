/* Conversion of parsed INI text to the cluster configuration; internal to
   packages/config.  */
#ifndef CLUSTER_READ_H
#define CLUSTER_READ_H

#include "config/cluster_config.h"
#include "config/ini.h"

/* Hash tables from a name or digest to an array index plus one, so that 0 means
   that there is none. The keys are borrowed from the arrays of the struct
   cluster_config.  */
struct cluster_index
{
  GHashTable *classes;
  GHashTable *teams;
  GHashTable *team_keys;
  GHashTable *domains;
  GHashTable *pools; /* models and services together */
  GHashTable *backends;
  GHashTable *shards;
  GHashTable *operators;
  GHashTable *operator_tokens;
};

/* Fills CONFIG from INI. Problems are added to INI; the caller checks whether
   there are any.  */
void cluster_read (struct cluster_config *config, struct ini *ini);

#endif
