/* Reading of the configuration object; internal to packages/config.  */
#ifndef CFG_READ_H
#define CFG_READ_H

#include "config/cfg.h"
#include "config/ini.h"

/* Hashed look-ups from a name or digest to its index plus one. The keys are
   borrowed from the arrays of the struct cfg.  */
struct cfg_index
{
  GHashTable *classes;
  GHashTable *teams;
  GHashTable *team_keys;
  GHashTable *domains;
  GHashTable *pools; /* of both kinds: their names are unique together */
  GHashTable *backends;
  GHashTable *cells;
  GHashTable *operators;
  GHashTable *operator_tokens;
};

/* Fills CFG from INI. Problems are added to INI; the caller looks whether
   there are any.  */
void cfg_read (struct cfg *cfg, struct ini *ini);

#endif
