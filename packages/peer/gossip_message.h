/* Messages between instances: load, placements, freshness of the configuration
   and members. They carry soft state only: a message may be lost, delayed or
   duplicated.  */
#ifndef GOSSIP_MESSAGE_H
#define GOSSIP_MESSAGE_H

#include "base/err.h"
#include "base/str.h"
#include "policy/crash_suspects.h"
#include "policy/server_limit.h"
#include "sched/prefix_directory.h"
#include "sched/server_load.h"

#define GOSSIP_MESSAGE_VERSION 1
#define GOSSIP_MESSAGE_BYTES_MAX 8192 /* when encoded */
#define GOSSIP_MESSAGE_MEMBERS_MAX 16
#define GOSSIP_MESSAGE_UNREACHABLE_MAX 32
#define GOSSIP_MESSAGE_LEAVING_MAX 32
#define GOSSIP_MESSAGE_REJECTIONS_MAX 8
#define GOSSIP_MESSAGE_LIMITS_MAX 8
#define GOSSIP_MESSAGE_RELAYS_MAX 4
#define GOSSIP_MESSAGE_BRITTLE_MAX 8
#define GOSSIP_MESSAGE_SUMMARIES_MAX 12
/* Servers at which one instance or domain has load. */
#define GOSSIP_MESSAGE_LOADS_MAX 200
#define GOSSIP_MESSAGE_SUMMARY_LOADS_MAX GOSSIP_MESSAGE_LOADS_MAX
#define GOSSIP_MESSAGE_PLACEMENTS_MAX 64
#define GOSSIP_MESSAGE_HELD_MAX 64
#define GOSSIP_MESSAGE_CRASHES_MAX 24
#define GOSSIP_MESSAGE_CRASH_PARTS_MAX 128 /* of all crashes together */
#define GOSSIP_AGE_UNKNOWN (-1)            /* nothing confirmed or read yet */

/* Load that the sender has at one backend server. */
struct gossip_message_load
{
  guint32 server_key; /* gossip_server_key */
  struct server_load load;
};

/* The changes that a list of loads covers, by the numbers of its sender. A list
   since 0 is complete and replaces what the receiver holds; in one of changes,
   a load without requests removes the server. THROUGH is 0 if the sender does
   not number its changes. */
struct gossip_message_range
{
  guint64 since;
  guint64 through;
};

/* Total load of all instances of one failure domain. */
struct gossip_message_summary
{
  char domain[STR_ID_MAX + 1];
  struct gossip_message_range range;
  struct gossip_message_load loads[GOSSIP_MESSAGE_SUMMARY_LOADS_MAX];
  guint n;
};

/* The last change that the sender of a message holds of the receiver's summary
   of a domain. */
struct gossip_message_held
{
  char domain[STR_ID_MAX + 1];
  guint64 through;
};

/* A live instance. */
struct gossip_message_member
{
  guint32 ip;   /* host byte order */
  guint age_ms; /* since its last known sign of life */
  char domain[STR_ID_MAX + 1];
};

/* A prompt that was sent to a backend server, by the sender of the message or
   by another instance. */
struct gossip_message_placement
{
  guint32 server_key;
  struct prefix_prompt prompt;
};

/* A rejection for overload at the sender. */
struct gossip_message_rejection
{
  guint32 service_key; /* overload_hold_service_key */
  guint tier;
  guint tokens; /* mean prompt length of the recent ones */
  guint age_ms;
};

/* What a response of a server says of its limit, which it has written within
   the time of the two ages. */
struct gossip_message_limit
{
  guint32 server_key;
  guint64 micro; /* server_limit_to_micro; 0: no limit any more */
  guint after_age_ms;
  guint before_age_ms;
};

/* Whether a response of a server says that it is brittle. */
struct gossip_message_brittle
{
  struct gossip_message_limit limit; /* one more than the rejections a second */
  guint room;        /* requests that all instances may have there */
  guint full_age_ms; /* since it has turned one away, plus 1; 0: never */
};

/* An instance that has reached servers. */
struct gossip_message_relay
{
  guint32 ip;
  guint client_port;
  guint servers_reached_age; /* as in struct gossip_message */
};

/* Requests that were on servers when these ended. */
struct gossip_message_suspects
{
  guint64 held; /* last change that the sender holds of the receiver's */
  struct gossip_message_range range; /* of CRASHES; since 0: complete */
  struct suspects_crash crashes[GOSSIP_MESSAGE_CRASHES_MAX]; /* AT is an age */
  guint n_crashes;
  struct suspects_trial trials[SUSPECTS_TRIALS_MAX]; /* of the sender */
  guint n_trials;
};

struct gossip_message
{
  char id[STR_ID_MAX + 1]; /* of the sender */
  char domain[STR_ID_MAX + 1];
  guint32 incarnation; /* random number, new at each start of the sender */
  guint32 seq;         /* number of this message to this receiver, from 1 */
  guint32 echo_seq;    /* last seq received from the receiver; 0: none */
  guint32 echo_incarnation; /* of the receiver when it sent echo_seq */
  guint64 config_version;   /* newest version of the sender; 0: none */
  /* Time since config_version was last confirmed as the newest, and time since
     the list of backend servers was read, or GOSSIP_AGE_UNKNOWN. */
  gint64 config_age_us;
  guint64 server_list_digest; /* 0: none read */
  gint64 server_list_age_us;
  gboolean wants_reply;  /* even if the receiver is in another domain */
  guint n_waiting;       /* requests queued at the sender */
  guint64 store_era;     /* newest one that the sender knows; 0: none */
  guint64 version_table; /* number of the sender's table of versions; 0: none */
  guint64 duty_fence;    /* highest one known of the duties' lease; 0: none */
  guint32 duty_ip;       /* of its holder */
  /* Milliseconds since the holder was last known to hold it, plus 1; 0:
     unknown. */
  guint duty_age;
  struct gossip_message_range loads_range; /* of the list of loads */
  guint64 loads_held; /* last change that the sender holds of the receiver's
                         loads; 0: it needs the complete list */
  struct gossip_message_member members[GOSSIP_MESSAGE_MEMBERS_MAX];
  guint n_members;
  struct gossip_message_load loads[GOSSIP_MESSAGE_LOADS_MAX];
  guint n_loads;
  struct gossip_message_placement placements[GOSSIP_MESSAGE_PLACEMENTS_MAX];
  guint n_placements;
  guint n_own_placements;  /* the first ones; the sender's own */
  guint n_home_placements; /* the first ones of these; at the preferred servers
                              of their prefixes */
  /* Keys of servers to which the sender could not connect. */
  guint32 unreachable[GOSSIP_MESSAGE_UNREACHABLE_MAX];
  guint n_unreachable;
  /* Keys of servers that have said that they are leaving, to the sender or to
     an instance that has told it. */
  guint32 leaving[GOSSIP_MESSAGE_LEAVING_MAX];
  guint n_leaving;
  struct gossip_message_rejection rejections[GOSSIP_MESSAGE_REJECTIONS_MAX];
  guint n_rejections;
  struct gossip_message_summary summaries[GOSSIP_MESSAGE_SUMMARIES_MAX];
  guint n_summaries;
  struct gossip_message_held held[GOSSIP_MESSAGE_HELD_MAX];
  guint n_held;
  struct gossip_message_suspects suspects;
  struct gossip_message_limit limits[GOSSIP_MESSAGE_LIMITS_MAX];
  guint n_limits;
  /* Milliseconds since the sender was last sure to reach servers, rounded up,
     plus 1; 0: never. */
  guint servers_reached_age;
  gboolean asks_for_servers; /* the sender cannot reach any */
  guint client_port;         /* where it takes requests; 0: nowhere */
  struct gossip_message_relay relays[GOSSIP_MESSAGE_RELAYS_MAX];
  guint n_relays;
  struct gossip_message_brittle brittle[GOSSIP_MESSAGE_BRITTLE_MAX];
  guint n_brittle;
};

void gossip_message_clear (struct gossip_message *gossip_message);
void gossip_message_encode (const struct gossip_message *gossip_message,
                            GByteArray *out);
int gossip_message_decode (struct str bytes,
                           struct gossip_message *gossip_message,
                           struct err *err);

#endif
