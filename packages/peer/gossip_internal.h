/* Shared by the files of the peers' state only.  */
#ifndef PRS_INT_H
#define PRS_INT_H

#include "peer/gossip.h"

#define SENT_MAX 64    /* send times kept for each peer */
#define NOTES_KEPT 256 /* placements kept until all are told */

/* X (NAME): placements that are to be told */
#define RINGS(X)                                                               \
  X (OWN)       /* this instance's, for peers that hear of them directly */    \
  X (DOMAIN)    /* large ones of the whole domain, for other domains */        \
  X (ELSEWHERE) /* of other domains, for the peers of this one */

enum ring_id
{
#define RING_ENUM(id) RING_##id,
  RINGS (RING_ENUM)
#undef RING_ENUM
      RING_N
};

struct ring
{
  struct prm_note notes[NOTES_KEPT];
  guint64 n; /* ever */
};

struct peer
{
  guint32 ip;
  char domain[STR_ID_MAX + 1]; /* "" until known */
  guint32 incarnation;
  gint64 heard;     /* clock time; 0: never */
  gint64 known;     /* clock time at which others last heard it */
  gint64 next_send; /* clock time */
  gint64 summed;    /* clock time at which it last got all summaries */
  guint summaries;  /* of the next round, told to it already */
  gboolean asks;    /* it wants word back */
  guint32 seq;      /* of the last message to it */
  guint32 heard_seq;
  guint32 heard_incarnation;
  guint64 told[RING_N];  /* placements told to it so far */
  gint64 sent[SENT_MAX]; /* clock times by seq modulo SENT_MAX */
};

struct summary
{
  struct prm_summary summary;
  gint64 heard; /* clock time */
};

struct prs
{
  struct str_id id;
  struct str_id domain;
  guint32 ip;
  guint32 incarnation;
  GArray *seeds;         /* of guint32 */
  GHashTable *peers;     /* IP: struct peer, owned */
  GHashTable *summaries; /* domain: struct summary, owned */
  struct ring rings[RING_N];
  GHashTable *index;  /* server key: struct flt_server, borrowed */
  guint index_of;     /* generation of the fleet that INDEX is of */
  struct prm message; /* scratch */
  GByteArray *bytes;  /* scratch */
};

struct peer *prs_learn (struct prs *prs, guint32 ip, const char *domain,
                        gint64 seen);
void prs_ring_add (struct ring *ring, const struct prm_note *note);
gboolean prs_is_large (const struct prm_note *note);
gboolean prs_is_near (const struct prs *prs, const struct peer *peer);

#endif
