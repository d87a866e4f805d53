/* Load of a large fleet that changes with each request, for tests and
   benchmarks of the gossip.  */
#ifndef GOSSIP_LOAD_H
#define GOSSIP_LOAD_H

#include "unit/gossip_world.h"

#define LOAD_ROUND_US (200 * CLK_MS)
#define LOAD_PREFILL_ROUNDS                                                    \
  3 /* from the start of a request to its first event */
#define LOAD_REQUEST_ROUNDS 10 /* from the start of a request to its end */

static const struct server_load load_at_rest = { 4, 1, 1, 9000, 40000 };

/* Returns the load that instance I itself has at server K.  */
static struct server_load *
own_load (guint i, guint k)
{
  char id[16];
  g_snprintf (id, sizeof id, "e-%u", k);
  return server_load_own (net.nodes[i].server_load_table,
                          registry_find (net.nodes[i].registry, id)->number);
}

/* Gives each instance a few requests at every server of its failure domain.
   There are SERVERS servers.  */
static void
load_servers (guint servers, guint domains)
{
  net.servers = servers;
  for (guint i = 0; i < net.n; i++)
    {
      list_servers (&net.nodes[i]);
      for (guint k = i % domains; k < servers; k += domains)
        *own_load (i, k) = load_at_rest;
    }
}

/* Returns the load at which instance I starts a request in ROUND.  */
static struct server_load *
load_of_round (guint i, guint domains, guint round)
{
  guint n = (net.servers - i % domains - 1) / domains + 1;
  return own_load (i, i % domains + (i * 7 + round * 13) % n * domains);
}

/* Lets each instance start one request, receive the first event of an earlier
   one and end one before that.  */
static void
change_loads (guint domains, guint round)
{
  for (guint i = 0; i < net.n; i++)
    {
      struct server_load *load = load_of_round (i, domains, round);
      load->requests++;
      load->prefill_tokens += 6000;
      load->memory += 7000;
      if (round >= LOAD_PREFILL_ROUNDS)
        load_of_round (i, domains, round - LOAD_PREFILL_ROUNDS)->prefill_tokens
            -= 6000;
      if (round < LOAD_REQUEST_ROUNDS)
        continue;
      load = load_of_round (i, domains, round - LOAD_REQUEST_ROUNDS);
      load->requests--;
      load->memory -= 7000;
    }
}

#endif
