/* Gossip between instances: membership, load of backend servers, placements of
   prompts and the freshness of the configuration. Does no I/O; messages are
   unreliable datagrams. A peer is another instance; a local peer is one in the
   same failure domain. Times are clock times in microseconds.  */
#ifndef GOSSIP_H
#define GOSSIP_H

#include "fleet/registry.h"
#include "peer/gossip_message.h"
#include "policy/crash_suspects.h"
#include "sched/overload_hold.h"
#include "sched/placement.h"

struct gossip;

/* Strings are copied. */
struct gossip_options
{
  const char *id;
  const char *domain;
  guint32 ip;           /* own, host byte order */
  guint32 incarnation;  /* random number, new at each start */
  const guint32 *seeds; /* host byte order; borrowed for the call */
  guint n_seeds;
  struct suspects *suspects; /* borrowed; NULL: not exchanged */
  gint64 duty_term_us; /* of the duties' lease; 0: this instance has none */
};

/* What is known of the holder of the duties' lease. */
struct gossip_duty
{
  guint64 fence;  /* highest one known; 0: none */
  guint32 ip;     /* of its holder, host byte order */
  gint64 held_at; /* clock time at which it was last known to hold it; 0:
                     unknown */
};

/* Instances that collect usage, besides the holder; they are the candidates for
   the lease. */
#define GOSSIP_DUTY_CANDIDATES 3
/* Between the turns of two candidates: more than reads of the record take. */
#define GOSSIP_DUTY_TURN_US (500 * CLK_MS)

/* State of this instance that its messages carry; the fields have the same
   meaning as in struct gossip_message. */
struct gossip_local_state
{
  guint64 config_version;
  gint64 config_age_us;
  guint64 server_list_digest;
  gint64 server_list_age_us;
  guint n_waiting; /* requests queued here */
  struct overload_rejection rejections[GOSSIP_MESSAGE_REJECTIONS_MAX];
  guint n_rejections;
  guint64 store_era;         /* newest one known; 0: none */
  guint64 version_table;     /* number of the table of versions; 0: none */
  gint64 servers_reached_at; /* clock time at which this instance was last
                                sure to reach backend servers; 0: never */
  /* It cannot reach any: peers find out if they can, and are not told of those
     that it cannot reach. */
  gboolean asks_for_servers;
  guint client_port;  /* where it takes requests; 0: nowhere */
  guint64 duty_fence; /* while it holds the duties' lease; 0: it does not */
};

/* An instance to which requests can be passed on. */
struct gossip_relay
{
  guint32 ip; /* host byte order */
  guint port;
  gboolean is_local;
};

/* Another instance. */
struct gossip_member
{
  guint32 ip;         /* host byte order */
  const char *domain; /* borrowed; "": unknown */
  gint64 alive_at;    /* clock time of the last sign of life */
};

/* Age up to which it counts that an instance has reached servers. */
#define GOSSIP_REACHED_MAX_US (3 * CLK_S)

/* A peer's confirmation that config_version was the newest version at some time
   after confirmed_after. */
struct gossip_config_freshness
{
  guint64 config_version;
  gint64 confirmed_after; /* 0: no confirmation */
};

/* Contents of a received message other than load and placements. */
struct gossip_update
{
  struct gossip_config_freshness freshness;
  guint64 config_version; /* newest version that the peer has */
  gint64 config_age_us;
  guint64 server_list_digest;
  gint64 server_list_age_us;
  gint64 server_list_read_at; /* estimated clock time; 0: unknown */
  guint64 store_era;          /* newest one that the peer knows; 0: none */
  guint64 version_table;      /* as in struct gossip_local_state */
  /* Rejections for overload at a peer of the own domain. */
  struct overload_rejection rejections[GOSSIP_MESSAGE_REJECTIONS_MAX];
  guint n_rejections;
  gboolean joined;           /* first message of this incarnation */
  gboolean asks_for_servers; /* as in struct gossip_local_state */
  gboolean brittle_full;     /* a brittle server has turned a request away */
  char id[STR_ID_MAX + 1];
};

/* Sends a datagram to the instance at IP; BYTES are borrowed for the call. */
typedef void (*gossip_send_fn) (void *ctx, guint32 ip, struct str bytes);

struct gossip *gossip_new (const struct gossip_options *options, gint64 now);
void gossip_free (struct gossip *gossip);
void gossip_add_placement (struct gossip *gossip,
                           const struct registry_server *server,
                           const struct prefix_prompt *prompt,
                           gboolean at_home);
void gossip_ask (struct gossip *gossip, guint32 ip);
void gossip_hurry (struct gossip *gossip, gboolean own, gint64 now);
void gossip_tick (struct gossip *gossip, const struct gossip_local_state *state,
                  struct registry *registry,
                  struct server_load_table *server_load_table, gint64 now,
                  gossip_send_fn send, void *ctx);
int gossip_receive (struct gossip *gossip, guint32 ip, struct str bytes,
                    gint64 now, struct registry *registry,
                    struct server_load_table *server_load_table,
                    struct prefix_directory *prefix_directory,
                    struct gossip_update *update, struct err *err);
gboolean gossip_is_full_mesh (const struct gossip *gossip, gint64 now);
guint gossip_instance_count (const struct gossip *gossip, gint64 now);
guint gossip_alive_count (const struct gossip *gossip, gint64 now);
gboolean gossip_hears_most (const struct gossip *gossip, gint64 now);
guint gossip_local_peer_count (const struct gossip *gossip, gint64 now);
guint gossip_domain_rank (const struct gossip *gossip, gint64 now);
guint gossip_reader_rank (const struct gossip *gossip, gint64 now);
void gossip_list_members (const struct gossip *gossip, GArray *members);
guint gossip_limit_members (const struct gossip *gossip, gint64 now,
                            GArray *members);
guint gossip_contenders (const struct gossip *gossip, gint64 now,
                         struct placement_contender *contenders, guint max);
gint64 gossip_servers_reached_at (const struct gossip *gossip);
void gossip_relays (const struct gossip *gossip, gint64 now, GArray *relays);
gint64 gossip_local_interval_us (const struct gossip *gossip, gint64 now);
struct gossip_duty gossip_duty (const struct gossip *gossip);
guint gossip_collectors (const struct gossip *gossip, gint64 now, guint32 *ips,
                         guint max);
gboolean gossip_duty_is_due (const struct gossip *gossip, gint64 now);
guint64 gossip_instance_hash (guint32 ip);
guint32 gossip_server_key (const struct registry_server *server);

#endif
