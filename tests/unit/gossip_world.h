/* A simulation of instances that exchange gossip messages, for tests and
   benchmarks. The clock is simulated; the network delays and loses messages. */
#ifndef GOSSIP_WORLD_H
#define GOSSIP_WORLD_H

#include <string.h>

#include "peer/gossip.h"

#define NODES_MAX 390
#define SERVERS_MAX 680
#define STEP_US (50 * CLK_MS)

struct node
{
  struct gossip *gossip;
  struct registry *registry;
  struct server_load_table *server_load_table;
  struct prefix_directory *prefix_directory;
  struct gossip_local_state state;
  struct gossip_update update;
  guint32 ip;
  gboolean stopped;
  guint sent;
  guint64 bytes;
  guint received;
  gint64 confirmed_after_max;          /* latest one received for version 9 */
  guint64 store_era_max;               /* newest one received */
  guint64 config_version_max;          /* likewise */
  gint64 list_read_at;                 /* latest one received or set */
  guint rejections;                    /* messages that carried some */
  struct overload_rejection rejection; /* the first of the last such one */
};

struct packet
{
  guint from;
  guint32 to;
  GByteArray *bytes;
  gint64 due;
};

static struct
{
  struct node nodes[NODES_MAX];
  guint n;
  gint64 now;
  GQueue packets;
  GRand *rand;
  double loss;
  gint64 delay_max;
  gboolean held; /* no message arrives */
  guint sender;
  guint servers;              /* 0: two servers */
  guint slots;                /* of each server; 0: 8 */
  guint undecodable;          /* messages that could not be decoded */
  struct suspects **suspects; /* of the instances, borrowed; NULL: none */
} net;

static void
on_change (void *ctx, const struct registry_change *change)
{
  (void)ctx;
  (void)change;
}

static guint32
ip_of (guint i)
{
  return 0x0a000001 + i;
}

/* Puts net.servers servers into the registry of NODE.  */
static void
list_servers (struct node *node)
{
  static struct registry_entry entries[SERVERS_MAX];
  guint n = net.servers ? net.servers : 2;
  memset (entries, 0, sizeof entries);
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (entries[i].id, sizeof entries[i].id, "e-%u", i);
      g_strlcpy (entries[i].service, "llm", sizeof entries[i].service);
      g_strlcpy (entries[i].address, "10.9.0.1:80", sizeof entries[i].address);
      g_snprintf (entries[i].domain, sizeof entries[i].domain, "d%u", i);
      entries[i].slots = net.slots ? net.slots : 8;
    }
  registry_update (node->registry, entries, n, net.now);
}

/* Creates instance I in one of DOMAINS failure domains. The first three
   instances are the seeds.  */
static void
boot (guint i, guint domains)
{
  struct node *node = &net.nodes[i];
  char id[16];
  char domain[16];
  const guint32 seeds[] = { ip_of (0), ip_of (1), ip_of (2) };
  g_snprintf (id, sizeof id, "n%u", i);
  g_snprintf (domain, sizeof domain, "d%u", i % domains);
  const struct gossip_options options
      = { .id = id,
          .domain = domain,
          .ip = ip_of (i),
          .incarnation = g_rand_int (net.rand),
          .seeds = seeds,
          .n_seeds = 3,
          .duty_term_us = 3 * CLK_S,
          .suspects = net.suspects != NULL ? net.suspects[i] : NULL };
  memset (node, 0, sizeof *node);
  node->ip = ip_of (i);
  node->gossip = gossip_new (&options, net.now);
  node->registry = registry_new (on_change, NULL);
  node->server_load_table = server_load_table_new ();
  node->prefix_directory = directory_new ();
  node->state
      = (struct gossip_local_state){ .config_age_us = GOSSIP_AGE_UNKNOWN,
                                     .server_list_age_us = GOSSIP_AGE_UNKNOWN };
  list_servers (node);
}

/* Frees the state of instance I.  */
static void
halt (guint i)
{
  struct node *node = &net.nodes[i];
  gossip_free (node->gossip);
  registry_free (node->registry);
  server_load_table_free (node->server_load_table);
  directory_free (node->prefix_directory);
}

/* Creates the network with N instances.  */
static void
start (guint n, guint domains, guint32 seed)
{
  struct suspects **suspects = net.suspects;
  memset (&net, 0, sizeof net);
  net.suspects = suspects;
  net.now = 1000 * CLK_S;
  net.n = n;
  net.rand = g_rand_new_with_seed (seed);
  net.delay_max = 5 * CLK_MS;
  g_queue_init (&net.packets);
  for (guint i = 0; i < n; i++)
    boot (i, domains);
}

static void
packet_free (gpointer data)
{
  struct packet *packet = data;
  g_byte_array_unref (packet->bytes);
  g_free (packet);
}

static void
stop (void)
{
  for (guint i = 0; i < net.n; i++)
    halt (i);
  g_queue_clear_full (&net.packets, packet_free);
  g_rand_free (net.rand);
}

static void
on_send (void *ctx, guint32 ip, struct str bytes)
{
  struct node *from = ctx;
  from->sent++;
  from->bytes += bytes.n;
  if (g_rand_double (net.rand) < net.loss)
    return;
  struct packet *packet = g_new0 (struct packet, 1);
  packet->from = net.sender;
  packet->to = ip;
  packet->bytes = g_byte_array_new ();
  g_byte_array_append (packet->bytes, (const guint8 *)bytes.p, (guint)bytes.n);
  packet->due
      = net.now + (gint64)(g_rand_double (net.rand) * (double)net.delay_max);
  g_queue_push_tail (&net.packets, packet);
}

static void
deliver (void)
{
  for (GList *link = net.packets.head, *next; link != NULL; link = next)
    {
      struct packet *packet = link->data;
      next = link->next;
      if (packet->due > net.now)
        continue;
      guint i = packet->to - ip_of (0);
      struct node *node = &net.nodes[i];
      struct err err = { 0 };
      if (i < net.n && !node->stopped)
        {
          int code = gossip_receive (
              node->gossip, ip_of (packet->from),
              (struct str){ (const char *)packet->bytes->data,
                            packet->bytes->len },
              net.now, node->registry, node->server_load_table,
              node->prefix_directory, &node->update, &err);
          net.undecodable += code != 0 && code != ERR_CONFLICT;
          node->received += code == 0;
          if (code == 0)
            {
              node->rejections += node->update.n_rejections > 0;
              if (node->update.n_rejections > 0)
                node->rejection = node->update.rejections[0];
              node->store_era_max
                  = MAX (node->store_era_max, node->update.store_era);
              node->config_version_max
                  = MAX (node->config_version_max, node->update.config_version);
              node->list_read_at
                  = MAX (node->list_read_at, node->update.server_list_read_at);
            }
          if (code == 0 && node->update.freshness.config_version == 9)
            node->confirmed_after_max
                = MAX (node->confirmed_after_max,
                       node->update.freshness.confirmed_after);
        }
      g_queue_delete_link (&net.packets, link);
      packet_free (packet);
    }
}

/* Advances the clock by US microseconds; delivers and sends what is due.  */
static void
step (gint64 us)
{
  for (gint64 end = net.now + us; net.now < end; net.now += STEP_US)
    {
      if (!net.held)
        deliver ();
      for (guint i = 0; i < net.n; i++)
        if (!net.nodes[i].stopped)
          {
            struct node *node = &net.nodes[i];
            net.sender = i;
            gossip_tick (node->gossip, &node->state, node->registry,
                         node->server_load_table, net.now, on_send, node);
          }
    }
}

#endif
