/* Traffic of the gossip between instances at the size that users aim for: 390
   instances in 11 failure domains, 680 backend servers. Each instance has 4
   requests at each server of its failure domain and places 5 long prompts per
   second. Time and network are simulated.

   Prints the bytes per second that an instance sends, and in how many instances
   the load of a busy server is missing. Exits with 1 if a message could not be
   decoded or an instance misses the load.  */
#include "unit/gossip_world.h"

#define INSTANCES 390
#define DOMAINS 11
#define SERVERS 680
#define SEED 9
#define MEASURE_S 4
#define PLACEMENTS_PER_S 5 /* of each instance */
#define PLACEMENT_INTERVAL_US (200 * CLK_MS)

int
main (void)
{
  start (INSTANCES, DOMAINS, SEED);
  net.servers = SERVERS;
  for (guint i = 0; i < INSTANCES; i++)
    {
      list_servers (&net.nodes[i]);
      for (guint k = i % DOMAINS; k < SERVERS; k += DOMAINS)
        {
          char id[16];
          g_snprintf (id, sizeof id, "e-%u", k);
          guint number = registry_find (net.nodes[i].registry, id)->number;
          *server_load_own (net.nodes[i].server_load_table, number)
              = (struct server_load){ 4, 1, 1, 9000, 40000 };
        }
    }
  step (6 * CLK_S);
  for (guint i = 0; i < INSTANCES; i++)
    net.nodes[i].bytes = 0;
  for (guint s = 0; s < MEASURE_S * PLACEMENTS_PER_S; s++)
    {
      for (guint i = 0; i < INSTANCES; i++)
        {
          struct prefix_prompt prompt
              = { .blocks = { { i * 100 + s, 6000 }, { 6, 10 } }, .n = 2 };
          gossip_add_placement (net.nodes[i].gossip,
                                registry_find (net.nodes[i].registry, "e-7"),
                                &prompt, FALSE);
        }
      step (PLACEMENT_INTERVAL_US);
    }
  guint64 busiest = 0;
  guint64 total = 0;
  guint missing = 0;
  for (guint i = 0; i < INSTANCES; i++)
    {
      struct node *node = &net.nodes[i];
      busiest = MAX (busiest, node->bytes);
      total += node->bytes;
      guint number = registry_find (node->registry, "e-7")->number;
      missing
          += server_load_total (node->server_load_table, number).requests == 0;
    }
  g_print ("peer_bytes_out_mean %" G_GUINT64_FORMAT " B/s\n",
           total / INSTANCES / MEASURE_S);
  g_print ("peer_bytes_out_busiest %" G_GUINT64_FORMAT " B/s\n",
           busiest / MEASURE_S);
  g_print ("peer_messages_unread %u\n", net.undecodable);
  g_print ("peer_load_missing %u\n", missing);
  gboolean failed = net.undecodable > 0 || missing > 0;
  stop ();
  return failed;
}
