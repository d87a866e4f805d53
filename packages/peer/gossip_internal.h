/* Shared by the files of the peers' state only.  */
#ifndef GOSSIP_INTERNAL_H
#define GOSSIP_INTERNAL_H

#include "peer/gossip.h"

#define SENT_TIMES_KEPT 64  /* send times kept for each peer */
#define PLACEMENTS_KEPT 256 /* placements kept until all are told */

/* X (NAME): placements that are to be told */
#define PLACEMENT_RINGS(X)                                                     \
  X (OWN)    /* this instance's, for peers that hear of them directly */       \
  X (DOMAIN) /* large ones of the whole domain, for other domains */           \
  X (REMOTE) /* of other domains, for the peers of this one */

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
  guint64 n; /* ever */
};

struct peer
{
  guint32 ip;
  char domain[STR_ID_MAX + 1]; /* "" until known */
  guint32 incarnation;
  gint64 last_heard;        /* clock time; 0: never */
  gint64 last_reported;     /* clock time at which others last heard it */
  gint64 next_send;         /* clock time */
  gint64 summaries_sent_at; /* clock time at which it last got all summaries */
  guint n_summaries_sent;   /* of the next round, told to it already */
  gboolean wants_reply;     /* it wants word back */
  guint32 seq;              /* of the last message to it */
  guint32 last_seq;
  guint32 last_incarnation;
  guint64 n_placements_sent[RING_N]; /* placements told to it so far */
  gint64
      sent_at[SENT_TIMES_KEPT]; /* clock times by seq modulo SENT_TIMES_KEPT */
};

struct summary
{
  struct gossip_message_summary summary;
  gint64 last_heard; /* clock time */
};

struct gossip
{
  struct str_id id;
  struct str_id domain;
  guint32 ip;
  guint32 incarnation;
  GArray *seeds;         /* of guint32 */
  GHashTable *peers;     /* IP: struct peer, owned */
  GHashTable *summaries; /* domain: struct summary, owned */
  struct placement_ring placement_rings[RING_N];
  GHashTable *servers_by_key; /* server key: struct flt_server, borrowed */
  guint index_generation;     /* generation of the fleet that INDEX is of */
  struct gossip_message scratch_message; /* scratch */
  GByteArray *scratch_bytes;             /* scratch */
};

struct peer *gossip_add_peer (struct gossip *gossip, guint32 ip,
                              const char *domain, gint64 reported);
void gossip_ring_add (struct placement_ring *placement_ring,
                      const struct gossip_message_placement *placement);
gboolean
gossip_is_large_placement (const struct gossip_message_placement *placement);
gboolean gossip_is_local_peer (const struct gossip *gossip,
                               const struct peer *peer);

#endif
