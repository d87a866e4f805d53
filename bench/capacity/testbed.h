/* Testbed of many instances (nodes) in one process on a fake clock. Each node
   runs a real decision core; the network, the engines and the platform are
   simulated. Messages are encoded to count their bytes, but delivered in
   memory: all messages that a node sends to a peer while it handles one event
   form a frame, as in one iteration of the event loop.  */
#ifndef TESTBED_H
#define TESTBED_H

#include "capacity/generator.h"
#include "capacity/platform.h"
#include "node/core.h"
#include "policy/event_queue.h"

#define TESTBED_NODES_MAX 512
#define TESTBED_PACKET_PAYLOAD 1448 /* bytes in a TCP segment */
#define TESTBED_PACKET_OVERHEAD 52  /* IPv4 and TCP headers with timestamps */
#define TESTBED_FRAME_OVERHEAD 20   /* bytes of length and tag of a frame */

struct traffic
{
  guint64 messages;
  guint64 bytes; /* of frames, without packet headers */
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
  /* Number of starts; events for an earlier start are dropped. */
  guint generation;
  struct counter_set counter_set;
  struct traffic sent;
  struct traffic received;
  gint64 cpu_ns; /* within core_handle, without the callbacks of the testbed */
  guint64 bytes_by_kind[MSG_N];    /* sent, without frame overhead */
  guint64 messages_by_kind[MSG_N]; /* sent */
  guint stream_tokens;             /* of each response */
  gint64 applied_at; /* latest configuration, microseconds, fake clock */
};

struct testbed_options
{
  struct generator_options config;
  guint per_domain; /* nodes of each failure domain */
  guint seeds; /* nodes of each failure domain in the list of peers; 0: two */
  gboolean no_config; /* the platform holds no configuration */
};

struct testbed
{
  struct event_queue events;
  struct platform platform;
  GRand *rand;
  struct testbed_options options;
  struct testbed_node nodes[TESTBED_NODES_MAX];
  guint n;
  GHashTable *by_id;      /* borrowed ids -> struct testbed_node * */
  GHashTable *by_address; /* borrowed addresses -> struct testbed_node * */
  guint8 dialled[TESTBED_NODES_MAX][TESTBED_NODES_MAX];
  guint8 connected[TESTBED_NODES_MAX][TESTBED_NODES_MAX];
  gboolean partitioned[CLUSTER_DOMAINS_MAX]; /* reaches no other domain */
  gboolean no_platform[CLUSTER_DOMAINS_MAX]; /* does not reach the platform */
  double load_requests_per_s;                /* of each node */
  guint load_tokens;    /* of each response; 0: keyed requests */
  guint64 last_request; /* id of the latest request */
  guint64 finished;
  guint64 failed;
  gint64 callback_ns;    /* time of the callbacks within core_handle */
  struct outbox *outbox; /* messages of the node that handles an event */
};

/* Makes the nodes and starts all of them. */
struct testbed *testbed_new (const struct testbed_options *options);
/* Frees TESTBED with its nodes; pending events are dropped. */
void testbed_free (struct testbed *testbed);
/* Advances the clock by US microseconds. */
void testbed_run (struct testbed *testbed, gint64 us);
/* Starts node I without any state of an earlier start. */
void testbed_start_node (struct testbed *testbed, guint i);
/* Stops node I. CRASH: only the process died, so its peers see their
   connections close; otherwise they are not told, as when the machine loses
   power. */
void testbed_stop_node (struct testbed *testbed, guint i, gboolean crash);
/* Passes EVENT to the core of NODE and sends the resulting messages. */
void testbed_handle (struct testbed_node *node, const struct core_event *event);
/* Sends a client request to NODE, with a response of TOKENS. */
void testbed_request (struct testbed_node *node, guint tokens);
/* Sends a request to the service "account" with a new idempotency key. */
void testbed_request_keyed (struct testbed_node *node);
/* Sends requests from now on to each node that is ready: a Poisson process of
   PER_S requests per second. TOKENS 0: keyed requests. */
void testbed_start_load (struct testbed *testbed, double per_s, guint tokens);
/* Sets all counts of the nodes and the platform to zero. */
void testbed_reset_counts (struct testbed *testbed);
/* Returns how many running nodes have no configuration of VERSION or newer. */
guint testbed_count_outdated (const struct testbed *testbed, guint64 version);
/* Returns how many nodes accept client requests. */
guint testbed_count_ready (const struct testbed *testbed);
/* Returns the processor time of this process, nanoseconds. */
gint64 testbed_cpu_ns (void);
/* Returns the bytes of TRAFFIC with the headers of its packets. */
double testbed_wire_bytes (const struct traffic *traffic);

#endif
