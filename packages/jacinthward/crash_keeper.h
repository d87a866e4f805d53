/* Keeps what is known of crashes in the store: loads it at the start and saves
   it when it is due, one call at a time.  */
#ifndef CRASH_KEEPER_H
#define CRASH_KEEPER_H

#include "base/clock.h"
#include "base/counter.h"
#include "policy/crash_suspects.h"

struct crash_keeper;

struct crash_keeper_options
{
  const char *store_address;       /* IP:PORT */
  const struct clk *clk;           /* borrowed */
  struct counter_set *counter_set; /* borrowed */
  struct suspects *suspects;       /* borrowed */
  /* What was saved has been loaded. */
  void (*loaded) (void *ctx);
  void *ctx;
};

struct crash_keeper *
crash_keeper_new (const struct crash_keeper_options *options);
void crash_keeper_free (struct crash_keeper *keeper);
void crash_keeper_step (struct crash_keeper *keeper, gboolean is_responsible);
void crash_keeper_hurry (struct crash_keeper *keeper);
void crash_keeper_store_changed (struct crash_keeper *keeper);

#endif
