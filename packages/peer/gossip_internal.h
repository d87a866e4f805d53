/* What the files of the gossip share: gossip.c has its state and the rounds of
   messages, gossip_members.c the instances, gossip_contents.c what messages
   contain, gossip_receive.c what is done with those that arrive.  */
#ifndef GOSSIP_INTERNAL_H
#define GOSSIP_INTERNAL_H

#include "peer/gossip.h"
#include "peer/load_changes.h"

#define SENT_TIMES_KEPT 64  /* send times kept for each peer */
#define PLACEMENTS_KEPT 256 /* latest placements kept in a ring */

/* A peer from which nothing was received for this time is unresponsive and
   gets messages at a lower rate.  */
#define UNRESPONSIVE_AFTER_US (2 * CLK_S)

/* Age of the last sign of life of an instance, received from it or reported by
   others, beyond which it is not listed in messages or taken for the leader of
   its domain.  */
#define MEMBER_LIST_AGE_US (20 * CLK_S)

/* Time after which another instance may become the source of the load of a
   domain. */
#define SUMMARY_SOURCE_LAPSE_US (1200 * CLK_MS)

/* X (NAME): placements to be sent to peers */
#define PLACEMENT_RINGS(X)                                                     \
  X (HOME)   /* of this instance, at the preferred server of the prefix, for   \
                peers to which it sends directly */                            \
  X (OWN)    /* the other ones of this instance, for the same peers */         \
  X (DOMAIN) /* large ones of this domain that are not at the preferred        \
                server, for other domains */                                   \
  X (REMOTE) /* of other domains, for the peers in this domain */

enum ring_id
{
#define RING_ENUM(id) RING_##id,
  PLACEMENT_RINGS (RING_ENUM)
#undef RING_ENUM
      RING_N
};

struct placement_ring
{
  struct gossip_message_placement placements[PLACEMENTS_KEPT];
  guint64 n; /* added in total; the next goes to n % PLACEMENTS_KEPT */
};

struct peer
{
  guint32 ip;
  char domain[STR_ID_MAX + 1]; /* "": unknown */
  guint32 incarnation;
  gint64 last_heard;        /* clock time of the last message; 0: none */
  gint64 last_reported;     /* clock time of the last sign of life by others */
  gint64 next_send;         /* clock time */
  gint64 helped_at;         /* clock time of the last message sent at once
                               because this peer was behind */
  gint64 summaries_sent_at; /* clock time when a round was complete */
  guint n_summaries_sent;   /* in the current round */
  gboolean wants_reply;     /* as in its last message */
  guint n_waiting;          /* likewise */
  /* Lower bound of the clock time at which it last reached servers; 0: unknown.
   */
  gint64 servers_reached_at;
  guint client_port; /* as in its messages */
  guint32 seq;       /* of the last message sent to it */
  guint32 last_seq;  /* of the last message received from it */
  guint32 last_incarnation;
  guint64 loads_held;      /* last change of its loads that is held here; 0: the
                              complete list is needed */
  guint64 loads_confirmed; /* last change of the loads here that it holds */
  GArray *summaries_confirmed; /* of struct gossip_message_held, likewise */
  guint64 suspects_held; /* last change of its suspects that is held here */
  guint64 suspects_confirmed;    /* last change of those here that it holds */
  guint64 suspects_full_through; /* up to this change it gets all of them, as it
                                    held none */
  guint64 n_placements_sent[RING_N]; /* position in each ring */
  gint64 sent_at[SENT_TIMES_KEPT];   /* clock time of each message by its seq */
};

/* Load of another domain as one instance, its source, tells it. */
struct summary
{
  char domain[STR_ID_MAX + 1];
  guint32 source;     /* IP */
  gboolean is_direct; /* the source belongs to that domain */
  guint64 held;       /* last change of the source that is held; 0: the
                         complete list is needed */
  gint64 last_heard;  /* clock time */
  struct load_changes *changes; /* to forward it in the own domain, if direct;
                                   otherwise NULL */
};

struct gossip
{
  struct str_id id;
  struct str_id domain;
  guint32 ip;
  guint32 incarnation;
  gint64 started_at;         /* clock time */
  struct suspects *suspects; /* borrowed; NULL: not exchanged */
  GArray *seeds;             /* of guint32 */
  GHashTable *peers;         /* IP: struct peer, owned */
  GHashTable *summaries;     /* domain: struct summary, owned */
  struct placement_ring placement_rings[RING_N];
  GHashTable *servers_by_key; /* server key: struct registry_server, borrowed */
  guint index_generation;     /* of the server registry, for servers_by_key */
  struct gossip_message scratch_message; /* to encode and decode */
  GByteArray *scratch_bytes;             /* encoded message */
  struct gossip_local_state state;       /* at the last tick */
  struct gossip_duty duty;
  gint64 duty_term_us;
  guint64 n_load_changes; /* number of the last one */
  struct load_changes *own_loads;
  gint64 own_loads_at;              /* clock time up to which they are set */
  struct load_changes *own_summary; /* of this domain, for other domains */
  gint64 own_summary_at;
  guint scratch_added[RING_N]; /* placements in scratch_message, by ring */
};

/* What is the same for all messages of one call of gossip_tick. */
struct gossip_round
{
  const struct gossip_local_state *state;
  struct registry *registry;
  struct server_load_table *server_load_table;
  gint64 now;
  gboolean full_mesh;  /* all instances send to each other */
  gboolean is_leader;  /* this instance is the leader of its domain */
  guint n_local_peers; /* responsive peers of the domain */
  guint n_contenders;  /* those of them that have requests queued */
  gossip_send_fn send;
  void *ctx;
};

struct peer *gossip_add_peer (struct gossip *gossip, guint32 ip,
                              const char *domain, gint64 reported);
void gossip_ring_add (struct placement_ring *placement_ring,
                      const struct gossip_message_placement *placement);
gboolean
gossip_is_large_placement (const struct gossip_message_placement *placement);
gboolean gossip_is_local_peer (const struct gossip *gossip,
                               const struct peer *peer);
gboolean gossip_is_starting (const struct gossip *gossip, gint64 now);
gboolean gossip_is_unresponsive (const struct peer *peer, gint64 now);
gboolean gossip_is_recent (const struct peer *peer, gint64 now, gint64 age);
gboolean gossip_is_contender (const struct gossip *gossip,
                              const struct peer *peer, gint64 now);
const struct peer *gossip_domain_leader (const struct gossip *gossip,
                                         const char *domain, gint64 now);
void gossip_add_contents (struct gossip *gossip, struct peer *peer,
                          struct gossip_message *message,
                          const struct gossip_round *round);
void gossip_add_limits (const struct gossip *gossip, const struct peer *to,
                        struct gossip_message *message,
                        const struct gossip_round *round);
gboolean gossip_apply_limits (const struct gossip *gossip,
                              GHashTable *servers_by_key,
                              const struct peer *peer,
                              const struct gossip_message *message, gint64 sent,
                              gint64 now);
void gossip_add_relays (const struct gossip *gossip, const struct peer *to,
                        struct gossip_message *message,
                        const struct gossip_round *round);
void gossip_apply_relays (struct gossip *gossip, struct peer *peer,
                          const struct gossip_message *message, gint64 sent);
void gossip_add_duty (const struct gossip *gossip,
                      struct gossip_message *message, gint64 now);
void gossip_note_duty (struct gossip *gossip, const struct gossip_duty *duty);
void gossip_encode_within_limit (struct gossip *gossip, struct peer *to,
                                 gint64 now);
gboolean gossip_has_more_placements (const struct gossip *gossip,
                                     const struct peer *peer,
                                     const struct gossip_round *round);

#endif
