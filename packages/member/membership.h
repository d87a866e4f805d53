/* Membership: which instances are alive, by heartbeats within the failure
   domain; who owns what, by rendezvous hashing over the live ones. A pure
   state machine.  */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "base/clk.h"
#include "base/err.h"
#include "chart/chr.h"
#include <json-glib/json-glib.h>
#include "base/str.h"
#include "msg/msg.h"

/* Time between heartbeats to a peer of the own failure domain (near) or of
   another (far): grows with the number of peers, which bounds the traffic, and
   stays under the shortest silence that marks a peer down. */
#define MEMBER_HEARTBEAT_US (400 * CLK_MS)
#define MEMBER_HEARTBEAT_MAX_US (1200 * CLK_MS)
#define MEMBER_HEARTBEAT_PER_PEER_US (30 * CLK_MS)
#define MEMBER_REMOTE_HEARTBEAT_US (1600 * CLK_MS)
#define MEMBER_REMOTE_HEARTBEAT_MAX_US (4 * CLK_S)
#define MEMBER_REMOTE_HEARTBEAT_PER_PEER_US (60 * CLK_MS)
/* Silence that marks a peer down: so many of the own intervals, at least the
   time given. */
#define MEMBER_SUSPECT_INTERVALS 4
#define MEMBER_SUSPECT_US (1600 * CLK_MS)
#define MEMBER_REMOTE_SUSPECT_INTERVALS 3
#define MEMBER_REMOTE_SUSPECT_US (5 * CLK_S)
/* Time for a new connection before a disconnected peer is down. */
#define MEMBER_RECONNECT_US (300 * CLK_MS)
/* Time between ticks from which on this process counts as paused. */
#define MEMBER_PAUSE_US MEMBER_HEARTBEAT_US
#define MEMBER_FORGET_US (600 * CLK_S) /* a down peer leaves the dump */
#define MEMBER_DOMAIN_MAX 256          /* of one failure domain */
#define MEMBER_TOTAL_MAX 1024          /* of all failure domains */

/* States of charts/instance.chart. X (NAME, "name") */
#define MEMBER_STATES(X)                                                       \
  X (UNKNOWN, "unknown")                                                       \
  X (LIVE, "live")                                                             \
  X (LEAVING, "leaving")                                                       \
  X (DOWN, "down")                                                             \
  X (GONE, "gone")

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
  char address[64]; /* IP:PORT for peers */
  guint64 incarnation;
  guint64 sequence; /* of the last heartbeat */
  gint64 heard;     /* clock time of the last heartbeat, microseconds */
  enum member_state state;
  gboolean live;          /* MEMBER_LIVE or MEMBER_LEAVING */
  gboolean leaving;       /* MEMBER_LEAVING */
  guint64 config_version; /* in force there */
  guint64 fleet_version;
};

/* What changed by an event. */
struct member_change
{
  gboolean view;      /* some instance came, went or started to leave */
  struct str_id lost; /* instance that went or was restarted; "" if none */
};

struct member_options
{
  const struct clk *clk;       /* borrowed */
  const struct chr *chart;     /* by member_chart_load, borrowed */
  struct member_instance self; /* id, domain, region, address, incarnation */
};

/* Loads instance.chart from FOLDER; the caller frees it by chr_free. */
int member_chart_load (const char *folder, struct chr **chart, struct err *err);
struct membership *member_new (const struct member_options *options);
void member_free (struct membership *membership);
/* Takes a heartbeat from instance FROM. Old incarnations and sequences are
   ignored. Returns < 0 if it cannot be taken (limit, or own id twice). */
int member_heartbeat (struct membership *membership, const char *from,
                      const struct msg_heartbeat *heartbeat,
                      struct member_change *change);
/* Marks one silent instance down; call until CHANGE says nothing changed, and
   more often than MEMBER_PAUSE_US. */
void member_tick (struct membership *membership, struct member_change *change);
/* Notes that no connection to instance ID is left: unless it is heard of within
   MEMBER_RECONNECT_US, member_tick marks it down. */
void member_disconnected (struct membership *membership, const char *id);
void member_set_leaving (struct membership *membership, gboolean leaving);
/* Notes the versions in force at the own instance. */
void member_set_versions (struct membership *membership, guint64 config,
                          guint64 fleet);
/* Copies the own address for peers into the 64 bytes of ADDRESS. */
void member_self_address (const struct membership *membership,
                          char address[64]);
void member_fill_heartbeat (struct membership *membership,
                            struct msg_heartbeat *heartbeat);

/* Time between heartbeats to each near or far peer, microseconds. */
gint64 member_heartbeat_interval (const struct membership *membership,
                                  gboolean far);
/* Live, not leaving instances of the own failure domain, self included. */
guint member_live_count (const struct membership *membership);
const struct member_instance *member_find (const struct membership *membership,
                                           const char *id);
/* Calls VISIT for each instance, self included, in the order of their ids. */
void member_each (const struct membership *membership,
                  void (*visit) (void *ctx,
                                 const struct member_instance *instance),
                  void *ctx);
/* Owner of NAME among the live, not leaving instances of the own failure
   domain; the own instance if no other is left. RANK 0 is the first choice.
   Returns NULL if there are not that many. */
const struct member_instance *member_owner (const struct membership *membership,
                                            struct str name, guint rank);
void member_dump (const struct membership *membership, JsonBuilder *json);

#endif
