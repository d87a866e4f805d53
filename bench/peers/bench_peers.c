#include "unit/gossip_world.h"

/* What instances tell each other at the size that the users aim for: 390
   instances in 11 domains, 680 servers. Each instance has 4 requests at each
   server of its domain and places 5 long prompts a second. Prints bytes a
   second, and in how many instances load had not become known. Exits with 1 if
   a message could not be read or load did not reach all.  */
int
main (void)
{
  start (390, 11, 9);
  net.servers = 680;
  for (guint i = 0; i < 390; i++)
    {
      list_servers (&net.nodes[i]);
      for (guint k = i % 11; k < 680; k += 11)
        {
          char id[16];
          g_snprintf (id, sizeof id, "e-%u", k);
          guint number = registry_find (net.nodes[i].registry, id)->number;
          *server_load_own (net.nodes[i].server_load_table, number)
              = (struct server_load){ 4, 1, 1, 9000, 40000 };
        }
    }
  step (6 * CLK_S);
  for (guint i = 0; i < 390; i++)
    net.nodes[i].bytes = 0;
  for (guint s = 0; s < 4 * 5; s++)
    {
      for (guint i = 0; i < 390; i++)
        {
          struct prefix_prompt prompt
              = { .blocks = { { i * 100 + s, 6000 }, { 6, 10 } }, .n = 2 };
          gossip_add_placement (net.nodes[i].gossip,
                                registry_find (net.nodes[i].registry, "e-7"),
                                &prompt);
        }
      step (200 * CLK_MS);
    }
  guint64 worst = 0;
  guint64 all = 0;
  guint missing = 0;
  for (guint i = 0; i < 390; i++)
    {
      struct node *node = &net.nodes[i];
      worst = MAX (worst, node->bytes);
      all += node->bytes;
      guint number = registry_find (node->registry, "e-7")->number;
      missing
          += server_load_total (node->server_load_table, number).requests == 0;
    }
  g_print ("peer_bytes_out_mean %" G_GUINT64_FORMAT " B/s\n", all / 390 / 4);
  g_print ("peer_bytes_out_busiest %" G_GUINT64_FORMAT " B/s\n", worst / 4);
  g_print ("peer_messages_unread %u\n", net.undecodable);
  g_print ("peer_load_missing %u\n", missing);
  gboolean failed = net.undecodable > 0 || missing > 0;
  stop ();
  return failed;
}
