/* Membership: which instances are alive, determined by heartbeats, and which
   instance owns a name, determined by rendezvous hashing over the live ones of
   the failure domain. Does no I/O; time comes from the clock.  */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "base/clock.h"
#include "base/err.h"
#include "chart/statechart.h"
#include <json-glib/json-glib.h>
#include "base/str.h"
#include "msg/msg.h"

/* Time between heartbeats to a peer of the own failure domain or of another one
   (REMOTE). It grows with the number of peers to bound the traffic, and stays
   below the shortest silence that marks a peer down. */
#define MEMBER_HEARTBEAT_US (400 * CLK_MS)
#define MEMBER_HEARTBEAT_MAX_US (1200 * CLK_MS)
#define MEMBER_HEARTBEAT_PER_PEER_US (30 * CLK_MS)
#define MEMBER_REMOTE_HEARTBEAT_US (1600 * CLK_MS)
#define MEMBER_REMOTE_HEARTBEAT_MAX_US (4 * CLK_S)
#define MEMBER_REMOTE_HEARTBEAT_PER_PEER_US (60 * CLK_MS)
/* Silence that marks a peer down: this many of the own heartbeat intervals, but
   at least the given time. */
#define MEMBER_SUSPECT_INTERVALS 4
#define MEMBER_SUSPECT_US (1600 * CLK_MS)
#define MEMBER_REMOTE_SUSPECT_INTERVALS 3
#define MEMBER_REMOTE_SUSPECT_US (5 * CLK_S)
/* Time to reconnect before a disconnected peer is marked down. */
#define MEMBER_RECONNECT_US (300 * CLK_MS)
/* If the time between two ticks is at least this long, the process is assumed
   to have been paused. */
#define MEMBER_PAUSE_US MEMBER_HEARTBEAT_US
/* Silence after which a peer that is down is removed. */
#define MEMBER_FORGET_US (600 * CLK_S)
#define MEMBER_DOMAIN_MAX 256 /* instances of one failure domain */
#define MEMBER_TOTAL_MAX 1024 /* instances of all failure domains */

/* States of charts/instance.chart. X (NAME, "name") */
#define MEMBER_STATES(X)                                                       \
  X (UNKNOWN, "unknown")                                                       \
  X (LIVE, "live")                                                             \
  X (LEAVING, "leaving")                                                       \
  X (DOWN, "down")                                                             \
  X (REMOVED, "gone")

enum member_state
{
#define MEMBER_STATE_ENUM(id, name) MEMBER_##id,
  MEMBER_STATES (MEMBER_STATE_ENUM)
#undef MEMBER_STATE_ENUM
      MEMBER_STATE_N
};

struct membership;

struct member_instance
{
  struct str_id id;
  struct str_id domain;
  struct str_id region;
  char address[64]; /* IP:PORT at which peers connect */
  guint64 incarnation;
  guint64 sequence; /* of the last heartbeat */
  /* Clock time of the last heartbeat, microseconds. Moved forward after a pause
     of this process, back when the connection is lost. */
  gint64 last_heard;
  enum member_state state;
  gboolean live;            /* MEMBER_LIVE or MEMBER_LEAVING */
  gboolean leaving;         /* MEMBER_LEAVING */
  guint64 config_version;   /* configuration version that the instance uses */
  guint64 registry_version; /* server registry version that it uses */
};

/* What an event changed. */
struct member_change
{
  /* An instance was added, went down, started or stopped leaving, or moved to
     another failure domain. */
  gboolean view;
  struct str_id lost; /* instance that went down or was restarted; "" if none */
};

struct member_options
{
  const struct clk *clk;          /* borrowed */
  const struct statechart *chart; /* from member_chart_load, borrowed */
  struct member_instance self;    /* id, domain, region, address, incarnation */
};

/* Loads instance.chart from FOLDER. The caller frees it with statechart_free.
 */
int member_chart_load (const char *folder, struct statechart **chart,
                       struct err *err);
struct membership *member_new (const struct member_options *options);
void member_free (struct membership *membership);
/* Processes a heartbeat from instance FROM. Older incarnations and sequence
   numbers are ignored. Returns < 0 if it is rejected: too many instances, an
   invalid id, or another process with this instance's id. */
int member_heartbeat (struct membership *membership, const char *from,
                      const struct msg_heartbeat *heartbeat,
                      struct member_change *change);
/* Marks one silent instance down. Call it until CHANGE reports no change, and
   more often than every MEMBER_PAUSE_US. */
void member_tick (struct membership *membership, struct member_change *change);
/* Records that no connection to instance ID is left. Unless a heartbeat arrives
   within MEMBER_RECONNECT_US, member_tick marks it down. */
void member_disconnected (struct membership *membership, const char *id);
void member_set_leaving (struct membership *membership, gboolean leaving);
/* Sets the versions that this instance uses. */
void member_set_versions (struct membership *membership, guint64 config,
                          guint64 registry);
/* Copies this instance's address for peers into the 64 bytes of ADDRESS. */
void member_self_address (const struct membership *membership,
                          char address[64]);
void member_fill_heartbeat (struct membership *membership,
                            struct msg_heartbeat *heartbeat);

/* Time between heartbeats to each peer of the own failure domain, or to each
   REMOTE one, microseconds. */
gint64 member_heartbeat_interval (const struct membership *membership,
                                  gboolean remote);
/* Number of instances of the own failure domain, including this one, that are
   live and not leaving. */
guint member_live_count (const struct membership *membership);
const struct member_instance *member_find (const struct membership *membership,
                                           const char *id);
/* Calls VISIT for each instance, including this one, in the order of ids. */
void member_each (const struct membership *membership,
                  void (*visit) (void *ctx,
                                 const struct member_instance *instance),
                  void *ctx);
/* Returns the owner of NAME among the instances of the own failure domain that
   are live and not leaving, or this instance if there is none. RANK 0 is the
   first choice. Returns NULL if there are not that many. */
const struct member_instance *member_owner (const struct membership *membership,
                                            struct str name, guint rank);
void member_dump (const struct membership *membership, JsonBuilder *json);

#endif
