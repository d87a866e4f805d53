/* The other instances: who is there, what they tell, and proofs of freshness
   taken from them. Without I/O.  */
#ifndef PRS_H
#define PRS_H

#include "fleet/flt.h"
#include "peer/gossip_message.h"

struct prs;

struct prs_options
{
  const char *id;
  const char *domain;
  guint32 ip; /* own, host byte order */
  guint32 incarnation;
  const guint32 *seeds; /* IP numbers, borrowed for the call */
  guint n_seeds;
};

/* What this instance tells: the owner fills it in for each round. */
struct prs_state
{
  guint64 config;
  gint64 proof_age_us;
  guint64 fleet_digest;
  gint64 fleet_age_us;
};

/* A peer's word that CONFIG was the newest at some moment after ASKED. */
struct prs_proof
{
  guint64 config;
  gint64 asked; /* clock time; 0: no proof */
};

/* What came with a message, beside load and placements. */
struct prs_news
{
  struct prs_proof proof;
  guint64 config; /* newest version that the peer knows */
  guint64 fleet_digest;
  gint64 fleet_age_us;
  gboolean joined; /* first word of this incarnation */
  char id[STR_ID_MAX + 1];
};

typedef void (*prs_send) (void *ctx, guint32 ip, struct str bytes);

struct prs *prs_new (const struct prs_options *options, gint64 now);
void prs_free (struct prs *prs);
void prs_note (struct prs *prs, const struct flt_server *server,
               const struct pdr_prompt *prompt);
void prs_tick (struct prs *prs, const struct prs_state *state, struct flt *flt,
               struct sld *sld, gint64 now, prs_send send, void *ctx);
int prs_receive (struct prs *prs, guint32 ip, struct str bytes, gint64 now,
                 struct flt *flt, struct sld *sld, struct pdr *pdr,
                 struct prs_news *news, struct err *err);
gboolean prs_is_mesh (const struct prs *prs, gint64 now);
guint prs_instances (const struct prs *prs, gint64 now);
guint prs_alive (const struct prs *prs, gint64 now);
guint prs_near (const struct prs *prs, gint64 now);
guint prs_rank (const struct prs *prs, gint64 now);
guint prs_reader_rank (const struct prs *prs, gint64 now);
guint32 prs_server_key (const struct flt_server *server);

#endif
