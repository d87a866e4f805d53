/* What a message of a peer changes.  */
#include "peer/gossip_internal.h"

#define HOP_US                                                                 \
  (500 * CLK_MS) /* age that a name gains on its way; more than                \
                    the way takes, so that rumours die */
#define SUMMARY_PEER 0xf0000000u /* marks a domain among the peers of sld */

static GHashTable *
index_servers (struct prs *prs, struct flt *flt)
{
  guint n;
  struct flt_server *const *servers = flt_servers (flt, &n);
  if (prs->index_of == flt_generation (flt))
    return prs->index;
  prs->index_of = flt_generation (flt);
  g_hash_table_remove_all (prs->index);
  for (guint i = 0; i < n; i++)
    g_hash_table_insert (
        prs->index, GUINT_TO_POINTER (prs_server_key (servers[i])), servers[i]);
  return prs->index;
}

static void
take_loads (GHashTable *index, guint32 peer, gboolean summary,
            const struct prm_load *loads, guint n, struct sld *sld, gint64 now)
{
  sld_peer_begin (sld, peer, summary, now);
  for (guint i = 0; i < n; i++)
    {
      const struct flt_server *server
          = g_hash_table_lookup (index, GUINT_TO_POINTER (loads[i].server));
      if (server != NULL)
        sld_peer (sld, peer, server->number, &loads[i].load);
    }
}

static void
take_notes (struct prs *prs, GHashTable *index, const struct prm *m,
            gboolean near, struct pdr *pdr, gint64 now)
{
  for (guint i = 0; i < m->n_notes; i++)
    {
      const struct prm_note *note = &m->notes[i];
      const struct flt_server *server
          = g_hash_table_lookup (index, GUINT_TO_POINTER (note->server));
      if (server == NULL)
        continue;
      gboolean own = near && i < m->n_own;
      if (own)
        pdr_sample (pdr, &note->prompt, now);
      pdr_note (pdr, server->number, 0, &note->prompt, now);
      /* A near peer hands placements of other domains on; only its own are
         ours to tell elsewhere. */
      if (!near)
        prs_ring_add (&prs->rings[RING_ELSEWHERE], note);
      else if (own && prs_is_large (note))
        prs_ring_add (&prs->rings[RING_DOMAIN], note);
    }
}

static void
take_summaries (struct prs *prs, GHashTable *index, const struct prm *m,
                gboolean near, struct sld *sld, gint64 now)
{
  for (guint i = 0; i < m->n_summaries; i++)
    {
      const struct prm_summary *summary = &m->summaries[i];
      if (g_str_equal (summary->domain, prs->domain.s))
        continue;
      guint32 peer
          = SUMMARY_PEER
            | (guint32)(str_hash (str_of (summary->domain), 0) & 0xfffffff);
      take_loads (index, peer, TRUE, summary->loads, summary->n, sld, now);
      if (near)
        continue;
      struct summary *known = g_new (struct summary, 1);
      known->summary = *summary;
      known->heard = now;
      g_hash_table_replace (prs->summaries, g_strdup (summary->domain), known);
    }
}

/* The peer's proof was AGE old when it sent, and it sent after it had got our
   message ECHO; so it dates from no earlier than that message's time less
   AGE.  */
static struct prs_proof
date_proof (const struct prs *prs, const struct peer *peer, const struct prm *m)
{
  struct prs_proof proof = { 0 };
  if (m->proof_age_us < 0 || m->echo == 0 || m->echo_of != prs->incarnation
      || m->echo > peer->seq || peer->seq - m->echo >= SENT_MAX)
    return proof;
  gint64 asked = peer->sent[m->echo % SENT_MAX] - m->proof_age_us;
  if (asked > 0)
    proof = (struct prs_proof){ .config = m->config, .asked = asked };
  return proof;
}

/* Takes a datagram from the instance at IP. Returns 0, or a negative number
   if it cannot be read or is older than what is known.  */
int
prs_receive (struct prs *prs, guint32 ip, struct str bytes, gint64 now,
             struct flt *flt, struct sld *sld, struct pdr *pdr,
             struct prs_news *news, struct err *err)
{
  struct prm *m = &prs->message;
  int code = prm_decode (bytes, m, err);
  if (code < 0)
    return code;
  struct peer *peer = prs_learn (prs, ip, m->domain, now);
  if (peer == NULL)
    return err_set (err, ERR_INVALID, "peer.receive", m->id,
                    "comes from this instance's address");
  gboolean same = m->incarnation == peer->incarnation;
  if (same && (gint32)(m->seq - peer->heard_seq) <= 0)
    return ERR_CONFLICT; /* overtaken by a newer message */
  *news = (struct prs_news){ .proof = date_proof (prs, peer, m),
                             .config = m->config,
                             .fleet_digest = m->fleet_digest,
                             .fleet_age_us = m->fleet_age_us,
                             .joined = !same };
  g_strlcpy (news->id, m->id, sizeof news->id);
  g_strlcpy (peer->domain, m->domain, sizeof peer->domain);
  peer->incarnation = m->incarnation;
  peer->heard = now;
  peer->asks = m->asks;
  peer->heard_seq = m->seq;
  peer->heard_incarnation = m->incarnation;
  for (guint i = 0; i < m->n_members; i++)
    prs_learn (prs, m->members[i].ip, m->members[i].domain,
               now - (gint64)m->members[i].age_ms * CLK_MS - HOP_US);
  gboolean near = prs_is_near (prs, peer);
  GHashTable *index = index_servers (prs, flt);
  if (m->n_summaries == 0 || near)
    take_loads (index, ip, FALSE, m->loads, m->n_loads, sld, now);
  for (guint i = 0; i < m->n_down; i++)
    {
      struct flt_server *server
          = g_hash_table_lookup (index, GUINT_TO_POINTER (m->down[i]));
      if (server != NULL)
        flt_told_unreachable (server, now);
    }
  take_summaries (prs, index, m, near, sld, now);
  take_notes (prs, index, m, near, pdr, now);
  return 0;
}
