/* Membership: which instances are alive, by heartbeats within the failure
   domain; who owns what, by rendezvous hashing over the live ones. A pure
   state machine.  */
#ifndef MEM_H
#define MEM_H

#include "base/clock.h"
#include "base/err.h"
#include "chart/statechart.h"
#include <json-glib/json-glib.h>
#include "base/str.h"
#include "msg/msg.h"

/* Time between heartbeats to a peer of the own failure domain (near) or of
   another (far): grows with the number of peers, which bounds the traffic, and
   stays under the shortest silence that marks a peer down. */
#define MEM_HEARTBEAT_US (400 * CLK_MS)
#define MEM_HEARTBEAT_MAX_US (1200 * CLK_MS)
#define MEM_HEARTBEAT_PER_PEER_US (30 * CLK_MS)
#define MEM_FAR_HEARTBEAT_US (1600 * CLK_MS)
#define MEM_FAR_HEARTBEAT_MAX_US (4 * CLK_S)
#define MEM_FAR_HEARTBEAT_PER_PEER_US (60 * CLK_MS)
/* Silence that marks a peer down: so many of the own intervals, at least the
   time given. */
#define MEM_SUSPECT_INTERVALS 4
#define MEM_SUSPECT_US (1600 * CLK_MS)
#define MEM_FAR_SUSPECT_INTERVALS 3
#define MEM_FAR_SUSPECT_US (5 * CLK_S)
/* Time for a new connection before a disconnected peer is down. */
#define MEM_RECONNECT_US (300 * CLK_MS)
/* Time between ticks from which on this process counts as paused. */
#define MEM_PAUSE_US MEM_HEARTBEAT_US
#define MEM_FORGET_US (600 * CLK_S) /* a down peer leaves the dump */
#define MEM_INSTANCES_MAX 256       /* of one failure domain */
#define MEM_TOTAL_MAX 1024          /* of all failure domains */

/* States of charts/instance.chart. X (NAME, "name") */
#define MEM_STATES(X)                                                          \
  X (UNKNOWN, "unknown")                                                       \
  X (LIVE, "live")                                                             \
  X (LEAVING, "leaving")                                                       \
  X (DOWN, "down")                                                             \
  X (GONE, "gone")

enum mem_state
{
#define MEM_STATE_ENUM(id, name) MEM_##id,
  MEM_STATES (MEM_STATE_ENUM)
#undef MEM_STATE_ENUM
      MEM_STATE_N
};

struct mem;

struct mem_instance
{
  struct str_id id;
  struct str_id domain;
  struct str_id region;
  char address[64]; /* IP:PORT for peers */
  guint64 incarnation;
  guint64 sequence; /* of the last heartbeat */
  gint64 heard;     /* clock time of the last heartbeat, microseconds */
  enum mem_state state;
  gboolean live;          /* MEM_LIVE or MEM_LEAVING */
  gboolean leaving;       /* MEM_LEAVING */
  guint64 config_version; /* in force there */
  guint64 fleet_version;
};

/* What changed by an event. */
struct mem_change
{
  gboolean view;      /* some instance came, went or started to leave */
  struct str_id lost; /* instance that went or was restarted; "" if none */
};

struct mem_options
{
  const struct clk *clk;          /* borrowed */
  const struct statechart *chart; /* by mem_chart_load, borrowed */
  struct mem_instance self;       /* id, domain, region, address, incarnation */
};

/* Loads instance.chart from FOLDER; the caller frees it by statechart_free. */
int mem_chart_load (const char *folder, struct statechart **chart,
                    struct err *err);
struct mem *mem_new (const struct mem_options *options);
void mem_free (struct mem *mem);
/* Takes a heartbeat from instance FROM. Old incarnations and sequences are
   ignored. Returns < 0 if it cannot be taken (limit, or own id twice). */
int mem_heartbeat (struct mem *mem, const char *from,
                   const struct msg_heartbeat *heartbeat,
                   struct mem_change *change);
/* Marks one silent instance down; call until CHANGE says nothing changed, and
   more often than MEM_PAUSE_US. */
void mem_tick (struct mem *mem, struct mem_change *change);
/* Notes that no connection to instance ID is left: unless it is heard of within
   MEM_RECONNECT_US, mem_tick marks it down. */
void mem_disconnected (struct mem *mem, const char *id);
void mem_set_leaving (struct mem *mem, gboolean leaving);
/* Notes the versions in force at the own instance. */
void mem_set_versions (struct mem *mem, guint64 config, guint64 fleet);
/* Copies the own address for peers into the 64 bytes of ADDRESS. */
void mem_self_address (const struct mem *mem, char address[64]);
void mem_fill_heartbeat (struct mem *mem, struct msg_heartbeat *heartbeat);

/* Time between heartbeats to each near or far peer, microseconds. */
gint64 mem_heartbeat_interval (const struct mem *mem, gboolean far);
/* Live, not leaving instances of the own failure domain, self included. */
guint mem_live_count (const struct mem *mem);
const struct mem_instance *mem_find (const struct mem *mem, const char *id);
/* Calls VISIT for each instance, self included, in the order of their ids. */
void mem_each (const struct mem *mem,
               void (*visit) (void *ctx, const struct mem_instance *instance),
               void *ctx);
/* Owner of NAME among the live, not leaving instances of the own failure
   domain; the own instance if no other is left. RANK 0 is the first choice.
   Returns NULL if there are not that many. */
const struct mem_instance *mem_owner (const struct mem *mem, struct str name,
                                      guint rank);
void mem_dump (const struct mem *mem, JsonBuilder *json);

#endif
