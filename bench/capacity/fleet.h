/* Many real nodes in one process on a fake clock: their messages are encoded
   for their size, framed by loop turn and peer, and handed over in memory.  */
#ifndef FLEET_H
#define FLEET_H

#include "capacity/gen.h"
#include "capacity/platform.h"
#include "node/core.h"
#include "policy/queue.h"

#define FLEET_NODES_MAX 512
#define FLEET_PACKET 1448        /* bytes of payload in a TCP segment */
#define FLEET_PACKET_OVERHEAD 52 /* bytes of IPv4 and TCP with timestamps */
#define FLEET_FRAME_OVERHEAD 20  /* bytes of length and tag */

struct traffic
{
  guint64 messages;
  guint64 bytes; /* of frames */
  guint64 packets;
};

struct fleet_node
{
  struct fleet *fleet;
  guint index;
  guint domain;
  struct str_id id;
  char address[ERR_PEER_MAX];
  struct core *core; /* NULL: down */
  guint life;        /* counts starts */
  struct counter_set counter_set;
  struct traffic out;
  struct traffic in;
  gint64 cpu_ns; /* within core_handle, without the bench's own work */
  guint64 kind_bytes[MSG_N]; /* sent, without frames */
  guint64 kinds[MSG_N];      /* sent */
  guint stream_tokens;       /* of each answer */
  gint64 applied_at;         /* last configuration, fake clock */
};

struct fleet_options
{
  struct gen gen;
  guint per_domain; /* nodes of each failure domain */
  guint seeds;      /* of each failure domain in everyone's settings; 0: 2 */
  gboolean no_config;
};

struct fleet
{
  struct queue queue;
  struct platform platform;
  GRand *rand;
  struct fleet_options options;
  struct fleet_node nodes[FLEET_NODES_MAX];
  guint n;
  GHashTable *by_id;      /* borrowed ids -> struct fleet_node * */
  GHashTable *by_address; /* borrowed addresses -> struct fleet_node * */
  guint8 dialled[FLEET_NODES_MAX][FLEET_NODES_MAX];
  guint8 linked[FLEET_NODES_MAX][FLEET_NODES_MAX];
  gboolean cut[CLUSTER_DOMAINS_MAX];     /* reaches no other domain */
  gboolean severed[CLUSTER_DOMAINS_MAX]; /* does not reach the platform */
  double load_per_s;                     /* requests of each node */
  guint load_tokens;                     /* of each answer; 0: keyed calls */
  guint64 next_request;
  guint64 finished;
  guint64 failed;
  gint64 act_ns;     /* the bench's own work within core_handle */
  struct turn *turn; /* what the running node sends */
};

struct fleet *fleet_new (const struct fleet_options *options);
void fleet_free (struct fleet *fleet);
void fleet_run (struct fleet *fleet, gint64 us);
void fleet_start (struct fleet *fleet, guint i);
/* Ends node I; its peers hear of it only if the process crashed and its
   machine still answers. */
void fleet_kill (struct fleet *fleet, guint i, gboolean crash);
void fleet_handle (struct fleet_node *node, const struct core_event *event);
/* A caller's request at NODE with an answer of TOKENS. */
void fleet_request (struct fleet_node *node, guint tokens);
/* Requests at PER_S a second and node from now on, Poisson; TOKENS 0: keyed
   calls of the plain service. */
void fleet_keyed (struct fleet_node *node);
void fleet_load (struct fleet *fleet, double per_s, guint tokens);
void fleet_reset (struct fleet *fleet);
guint fleet_behind (const struct fleet *fleet, guint64 version);
guint fleet_ready (const struct fleet *fleet);
gint64 fleet_cpu_ns (void);
double fleet_wire_bytes (const struct traffic *traffic);

#endif
