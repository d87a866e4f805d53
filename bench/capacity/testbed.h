/* Many real nodes in one process on a fake clock: their messages are encoded
   for their size, framed by loop turn and peer, and handed over in memory.  */
#ifndef TESTBED_H
#define TESTBED_H

#include "capacity/generator.h"
#include "capacity/platform.h"
#include "node/core.h"
#include "policy/event_queue.h"

#define TESTBED_NODES_MAX 512
#define TESTBED_PACKET_PAYLOAD 1448 /* bytes of payload in a TCP segment */
#define TESTBED_PACKET_OVERHEAD 52  /* bytes of IPv4 and TCP with timestamps */
#define TESTBED_FRAME_OVERHEAD 20   /* bytes of length and tag */

struct traffic
{
  guint64 messages;
  guint64 bytes; /* of frames */
  guint64 packets;
};

struct testbed_node
{
  struct testbed *testbed;
  guint index;
  guint domain;
  struct str_id id;
  char address[ERR_PEER_MAX];
  struct core *core; /* NULL: down */
  guint generation;  /* counts starts */
  struct counter_set counter_set;
  struct traffic sent;
  struct traffic received;
  gint64 cpu_ns; /* within core_handle, without the bench's own work */
  guint64 bytes_by_kind[MSG_N];    /* sent, without frames */
  guint64 messages_by_kind[MSG_N]; /* sent */
  guint stream_tokens;             /* of each answer */
  gint64 applied_at;               /* last configuration, fake clock */
};

struct testbed_options
{
  struct generator_options config;
  guint per_domain; /* nodes of each failure domain */
  guint seeds;      /* of each failure domain in everyone's settings; 0: 2 */
  gboolean no_config;
};

struct testbed
{
  struct event_queue events;
  struct platform platform;
  GRand *rand;
  struct testbed_options options;
  struct testbed_node nodes[TESTBED_NODES_MAX];
  guint n;
  GHashTable *by_id;      /* borrowed ids -> struct fleet_node * */
  GHashTable *by_address; /* borrowed addresses -> struct fleet_node * */
  guint8 dialled[TESTBED_NODES_MAX][TESTBED_NODES_MAX];
  guint8 connected[TESTBED_NODES_MAX][TESTBED_NODES_MAX];
  gboolean partitioned[CLUSTER_DOMAINS_MAX]; /* reaches no other domain */
  gboolean no_platform[CLUSTER_DOMAINS_MAX]; /* does not reach the platform */
  double load_requests_per_s;                /* requests of each node */
  guint load_tokens; /* of each answer; 0: keyed calls */
  guint64 next_request;
  guint64 finished;
  guint64 failed;
  gint64 callback_ns;    /* the bench's own work within core_handle */
  struct outbox *outbox; /* what the running node sends */
};

struct testbed *testbed_new (const struct testbed_options *options);
void testbed_free (struct testbed *testbed);
void testbed_run (struct testbed *testbed, gint64 us);
void testbed_start_node (struct testbed *testbed, guint i);
/* Ends node I; its peers hear of it only if the process crashed and its
   machine still answers. */
void testbed_stop_node (struct testbed *testbed, guint i, gboolean crash);
void testbed_handle (struct testbed_node *node, const struct core_event *event);
/* A caller's request at NODE with an answer of TOKENS. */
void testbed_request (struct testbed_node *node, guint tokens);
/* Requests at PER_S a second and node from now on, Poisson; TOKENS 0: keyed
   calls of the plain service. */
void testbed_request_keyed (struct testbed_node *node);
void testbed_start_load (struct testbed *testbed, double per_s, guint tokens);
void testbed_reset_counts (struct testbed *testbed);
guint testbed_count_outdated (const struct testbed *testbed, guint64 version);
guint testbed_count_ready (const struct testbed *testbed);
gint64 testbed_cpu_ns (void);
double testbed_wire_bytes (const struct traffic *traffic);

#endif
