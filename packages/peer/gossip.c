#include "peer/gossip_internal.h"

#include <stddef.h>
#include <string.h>

/* Few instances all talk to each other. In a larger fleet each talks to those
   of its own failure domain, and one of them, the first by address, talks to
   one of each other domain: it tells the load of its whole domain and the
   large prompts that were placed there, and its counterpart hands them on. So
   the traffic of an instance grows with its domain, not with the fleet.  */

#define MESH_MAX 16                  /* instances that all talk to each other */
#define NEAR_MIN_US (100 * CLK_MS)   /* between messages within a domain */
#define NEAR_PEER_US (16 * CLK_MS)   /* the same for each peer there */
#define FAR_US (250 * CLK_MS)        /* between messages to other domains */
#define FAR_LEADER_US (500 * CLK_MS) /* the same in a larger fleet */
#define SUMMARY_US (500 * CLK_MS)    /* between summaries handed on */
#define SILENT_US (2 * CLK_S)        /* a peer not heard for so long is away */
#define AWAY_US (1 * CLK_S)          /* between messages to one that is away */
#define FORGET_US (60 * CLK_S)       /* a peer not heard for so long is gone */
#define REMEMBER_US (30 * CLK_S)     /* for so long it still shares budgets */
#define NAMED_US                                                               \
  (20 * CLK_S) /* an instance heard by nobody for so long is                   \
                  not named any more */
#define MEMBERS_EVERY                                                          \
  8 /* messages of a larger fleet; one tells who                               \
       is there */

/* Names a life of a server to peers.  */
guint32
prs_server_key (const struct flt_server *server)
{
  guint64 hash
      = str_hash (str_of (server->entry.id), (guint64)server->entry.born);
  return (guint32)(hash ^ (hash >> 32));
}

struct peer *
prs_learn (struct prs *prs, guint32 ip, const char *domain, gint64 seen)
{
  gpointer key = GUINT_TO_POINTER (ip);
  struct peer *peer = g_hash_table_lookup (prs->peers, key);
  if (ip == prs->ip || ip == 0)
    return NULL;
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->ip = ip;
      for (guint i = 0; i < RING_N; i++)
        peer->told[i] = prs->rings[i].n;
      g_hash_table_insert (prs->peers, key, peer);
    }
  peer->known = MAX (peer->known, seen);
  if (peer->domain[0] == '\0')
    g_strlcpy (peer->domain, domain, sizeof peer->domain);
  return peer;
}

struct prs *
prs_new (const struct prs_options *options, gint64 now)
{
  struct prs *prs = g_new0 (struct prs, 1);
  str_id_set (&prs->id, str_of (options->id));
  str_id_set (&prs->domain, str_of (options->domain));
  prs->ip = options->ip;
  prs->incarnation = options->incarnation;
  prs->seeds = g_array_new (FALSE, FALSE, sizeof (guint32));
  g_array_append_vals (prs->seeds, options->seeds, options->n_seeds);
  prs->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  prs->summaries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  prs->index = g_hash_table_new (g_direct_hash, g_direct_equal);
  prs->bytes = g_byte_array_new ();
  for (guint i = 0; i < options->n_seeds; i++)
    prs_learn (prs, options->seeds[i], "", now);
  return prs;
}

void
prs_free (struct prs *prs)
{
  if (prs == NULL)
    return;
  g_array_unref (prs->seeds);
  g_hash_table_unref (prs->peers);
  g_hash_table_unref (prs->summaries);
  g_hash_table_unref (prs->index);
  g_byte_array_unref (prs->bytes);
  g_free (prs);
}

void
prs_ring_add (struct ring *ring, const struct prm_note *note)
{
  ring->notes[ring->n++ % NOTES_KEPT] = *note;
}

gboolean
prs_is_large (const struct prm_note *note)
{
  return pdr_shared_tokens (&note->prompt) >= PDR_LARGE_TOKENS;
}

/* Notes that a prompt was sent to SERVER, to be told to peers.  */
void
prs_note (struct prs *prs, const struct flt_server *server,
          const struct pdr_prompt *prompt)
{
  const struct prm_note note
      = { .server = prs_server_key (server), .prompt = *prompt };
  prs_ring_add (&prs->rings[RING_OWN], &note);
  if (prs_is_large (&note))
    prs_ring_add (&prs->rings[RING_DOMAIN], &note);
}

static gboolean
is_away (const struct peer *peer, gint64 now)
{
  return peer->heard == 0 || now - peer->heard > SILENT_US;
}

gboolean
prs_is_near (const struct prs *prs, const struct peer *peer)
{
  return g_str_equal (peer->domain, prs->domain.s);
}

/* Instances named or heard lately. Those of other domains are mostly known by
   name only.  */
static gboolean
is_counted (const struct peer *peer, gint64 now, gint64 age)
{
  return now - MAX (peer->heard, peer->known) <= age;
}

static guint
count (const struct prs *prs, gint64 now, gint64 age)
{
  guint n = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += is_counted (value, now, age);
  return n;
}

/* Tells whether the fleet is so small that all talk to each other.  */
gboolean
prs_is_mesh (const struct prs *prs, gint64 now)
{
  return count (prs, now, REMEMBER_US) <= MESH_MAX;
}

/* How many instances may take a part of what all share: those heard or named
   within the memory of peers, and at least the seeds.  */
guint
prs_instances (const struct prs *prs, gint64 now)
{
  return MAX (count (prs, now, REMEMBER_US), prs->seeds->len);
}

/* How many instances are heard, this one among them.  */
guint
prs_alive (const struct prs *prs, gint64 now)
{
  guint n = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += !is_away (value, now);
  return n;
}

/* How many present instances of this domain go before this one in the order
   of their addresses. The first reads the store for the others and talks to
   other domains.  */
guint
prs_rank (const struct prs *prs, gint64 now)
{
  guint rank = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      rank += !is_away (peer, now) && peer->ip < prs->ip
              && prs_is_near (prs, peer);
    }
  return rank;
}

/* How many instances go before this one in reading the store for all: the
   first of each domain in the order of the domains, then the others.  */
guint
prs_reader_rank (const struct prs *prs, gint64 now)
{
  GHashTable *before = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *others = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      if (peer->domain[0] == '\0' || prs_is_near (prs, peer)
          || !is_counted (peer, now, SILENT_US))
        continue;
      g_hash_table_add (others, peer->domain);
      if (strcmp (peer->domain, prs->domain.s) < 0)
        g_hash_table_add (before, peer->domain);
    }
  guint own = prs_rank (prs, now);
  guint rank = own == 0 ? g_hash_table_size (before)
                        : own + g_hash_table_size (others);
  g_hash_table_unref (before);
  g_hash_table_unref (others);
  return rank;
}

static gboolean
is_nameable (const struct peer *peer, const struct peer *to, gint64 now)
{
  return peer != to && peer->domain[0] != '\0'
         && is_counted (peer, now, NAMED_US);
}

static void
put_member (struct prm *m, const struct peer *peer, gint64 now)
{
  struct prm_member *member = &m->members[m->n_members++];
  member->ip = peer->ip;
  member->age_ms = (guint)((now - MAX (peer->heard, peer->known)) / CLK_MS);
  g_strlcpy (member->domain, peer->domain, sizeof member->domain);
}

/* Names instances to TO: those of its own domain at first and now and then,
   else all in turn.  */
static void
add_members (const struct prs *prs, const struct peer *to, struct prm *m,
             gint64 now)
{
  guint n = g_hash_table_size (prs->peers);
  guint every = prs_is_near (prs, to) ? MEMBERS_EVERY : 1;
  guint round = to->seq / every;
  gboolean few = n <= PRM_MEMBERS_MAX;
  gboolean domain = !few && round % 4 == 0;
  if (!few && to->seq % every != 1 % every)
    return;
  GList *peers = g_hash_table_get_values (prs->peers);
  for (guint i = 0; i < n && m->n_members < PRM_MEMBERS_MAX; i++)
    {
      guint turn = few ? i : (i + round * PRM_MEMBERS_MAX) % n;
      const struct peer *peer = g_list_nth_data (peers, turn);
      if (is_nameable (peer, to, now)
          && (!domain || g_str_equal (peer->domain, to->domain)))
        put_member (m, peer, now);
    }
  g_list_free (peers);
}

static void
put_load (struct prm_load *to, const struct flt_server *server,
          const struct sld_load *load)
{
  to->server = prs_server_key (server);
  to->load = *load;
}

static void
add_loads (struct prm *m, struct flt *flt, struct sld *sld)
{
  guint n;
  struct flt_server *const *servers = flt_servers (flt, &n);
  for (guint i = 0; i < n && m->n_loads < PRM_LOADS_MAX; i++)
    {
      const struct sld_load *own = sld_own (sld, servers[i]->number);
      if (own->requests > 0)
        put_load (&m->loads[m->n_loads++], servers[i], own);
    }
}

static void
add_down (struct prm *m, struct flt *flt, gint64 now)
{
  guint n;
  struct flt_server *const *servers = flt_servers (flt, &n);
  for (guint i = 0; i < n && m->n_down < PRM_DOWN_MAX; i++)
    if (flt_is_unreachable (servers[i], now))
      m->down[m->n_down++] = prs_server_key (servers[i]);
}

/* What all instances of this domain have at each server.  */
static void
add_own_summary (const struct prs *prs, struct prm *m, struct flt *flt,
                 struct sld *sld)
{
  guint n;
  struct flt_server *const *servers = flt_servers (flt, &n);
  struct prm_summary *summary = &m->summaries[m->n_summaries++];
  g_strlcpy (summary->domain, prs->domain.s, sizeof summary->domain);
  for (guint i = 0; i < n && summary->n < PRM_SUMMARY_LOADS_MAX; i++)
    {
      struct sld_load load = sld_direct (sld, servers[i]->number);
      if (load.requests > 0)
        put_load (&summary->loads[summary->n++], servers[i], &load);
    }
}

/* What other domains have told this instance lately, without those that the
   peer has got in this round.  */
static void
add_other_summaries (const struct prs *prs, const struct peer *to,
                     struct prm *m, gint64 now)
{
  guint skip = to->summaries;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct summary *known = value;
      if (now - known->heard > SILENT_US || m->n_summaries == PRM_SUMMARIES_MAX)
        continue;
      if (skip > 0)
        skip--;
      else
        m->summaries[m->n_summaries++] = known->summary;
    }
}

/* Encodes the message and leaves out what makes it too long to be read:
   summaries of other domains, which follow with the next message, then
   placements, which are hints.  */
static void
encode_fitting (struct prs *prs, struct peer *to, gint64 now)
{
  struct prm *m = &prs->message;
  guint summaries = m->n_summaries;
  guint own
      = summaries > 0 && g_str_equal (m->summaries[0].domain, prs->domain.s);
  for (;;)
    {
      g_byte_array_set_size (prs->bytes, 0);
      prm_encode (m, prs->bytes);
      if (prs->bytes->len <= PRM_BYTES_MAX
          || (m->n_summaries == own && m->n_notes == 0))
        break;
      if (m->n_summaries > own)
        m->n_summaries--;
      else
        m->n_notes /= 2;
      m->n_own = MIN (m->n_own, m->n_notes);
    }
  if (summaries == own)
    return;
  to->summaries += m->n_summaries;
  if (m->n_summaries < summaries)
    return;
  to->summaries = 0;
  to->summed = now;
}

static void
add_notes (struct prs *prs, struct peer *to, enum ring_id id, struct prm *m)
{
  const struct ring *ring = &prs->rings[id];
  guint64 from = to->told[id];
  if (ring->n - from > NOTES_KEPT)
    from = ring->n - NOTES_KEPT;
  while (from < ring->n && m->n_notes < PRM_NOTES_MAX)
    m->notes[m->n_notes++] = ring->notes[from++ % NOTES_KEPT];
  to->told[id] = from;
}

struct round
{
  const struct prs_state *state;
  struct flt *flt;
  struct sld *sld;
  gint64 now;
  gboolean mesh;  /* all talk to each other */
  gboolean first; /* this instance speaks for its domain */
  guint near;     /* present peers of the domain */
  prs_send send;
  void *ctx;
};

static void
add_contents (struct prs *prs, struct peer *peer, struct prm *m,
              const struct round *round)
{
  add_members (prs, peer, m, round->now);
  if (is_away (peer, round->now))
    return;
  gboolean direct = round->mesh || prs_is_near (prs, peer);
  if (direct)
    {
      add_loads (m, round->flt, round->sld);
      add_down (m, round->flt, round->now);
      add_notes (prs, peer, RING_OWN, m);
      m->n_own = m->n_notes;
    }
  else
    {
      add_own_summary (prs, m, round->flt, round->sld);
      add_notes (prs, peer, RING_DOMAIN, m);
    }
  if (round->mesh || !direct)
    return;
  add_notes (prs, peer, RING_ELSEWHERE, m);
  if (round->now - peer->summed >= SUMMARY_US)
    add_other_summaries (prs, peer, m, round->now);
}

static void
send_to (struct prs *prs, struct peer *peer, const struct round *round)
{
  struct prm *m = &prs->message;
  const struct prs_state *state = round->state;
  /* The lists are counted, so the head alone is cleared. */
  memset (m, 0, offsetof (struct prm, members));
  m->n_members = m->n_loads = m->n_notes = m->n_summaries = 0;
  m->n_own = m->n_down = 0;
  for (guint i = 0; i < PRM_SUMMARIES_MAX; i++)
    m->summaries[i].n = 0;
  g_strlcpy (m->id, prs->id.s, sizeof m->id);
  g_strlcpy (m->domain, prs->domain.s, sizeof m->domain);
  m->incarnation = prs->incarnation;
  m->seq = ++peer->seq;
  m->echo = peer->heard_seq;
  m->echo_of = peer->heard_incarnation;
  m->config = state->config;
  m->proof_age_us = state->proof_age_us;
  m->fleet_digest = state->fleet_digest;
  m->fleet_age_us = state->fleet_age_us;
  m->asks = round->first || round->near == 0;
  add_contents (prs, peer, m, round);
  peer->sent[m->seq % SENT_MAX] = round->now;
  encode_fitting (prs, peer, round->now);
  round->send (round->ctx, peer->ip,
               (struct str){ (const char *)prs->bytes->data, prs->bytes->len });
}

static gboolean
is_seed (const struct prs *prs, guint32 ip)
{
  for (guint i = 0; i < prs->seeds->len; i++)
    if (g_array_index (prs->seeds, guint32, i) == ip)
      return TRUE;
  return FALSE;
}

static const struct peer *
first_of_domain (const struct prs *prs, const char *domain, gint64 now)
{
  const struct peer *first = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (g_str_equal (peer->domain, domain) && is_counted (peer, now, NAMED_US)
          && (peer->heard == 0 || !is_away (peer, now))
          && (first == NULL || peer->ip < first->ip))
        first = peer;
    }
  return first;
}

/* How long until the next message to PEER; 0: none is due at all.  */
static gint64
interval (const struct prs *prs, const struct peer *peer,
          const struct round *round)
{
  gint64 now = round->now;
  gboolean away = is_away (peer, now);
  if (prs_is_near (prs, peer))
    return away ? AWAY_US
                : MAX (NEAR_MIN_US, NEAR_PEER_US * (gint64)round->near);
  if (round->mesh)
    return away && peer->heard != 0 ? AWAY_US : FAR_US;
  /* With no peer of its own domain yet, a new instance asks everywhere. */
  if (round->near == 0 && is_seed (prs, peer->ip))
    return FAR_US;
  if (peer->domain[0] == '\0' && is_seed (prs, peer->ip))
    return AWAY_US;
  if (!away && peer->asks)
    return FAR_LEADER_US;
  if (round->first && first_of_domain (prs, peer->domain, now) == peer)
    return FAR_LEADER_US;
  return 0;
}

/* How many other instances of this domain are present.  */
guint
prs_near (const struct prs *prs, gint64 now)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += prs_is_near (prs, value) && !is_away (value, now);
  return n;
}

/* Sends what is due to whom it is due.  */
void
prs_tick (struct prs *prs, const struct prs_state *state, struct flt *flt,
          struct sld *sld, gint64 now, prs_send send, void *ctx)
{
  const struct round round = { .state = state,
                               .flt = flt,
                               .sld = sld,
                               .now = now,
                               .mesh = prs_is_mesh (prs, now),
                               .first = prs_rank (prs, now) == 0,
                               .near = prs_near (prs, now),
                               .send = send,
                               .ctx = ctx };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, prs->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      if (now < peer->next_send)
        continue;
      if (!is_counted (peer, now, FORGET_US) && !is_seed (prs, peer->ip))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      gint64 wait = interval (prs, peer, &round);
      peer->next_send = now + (wait ? wait : AWAY_US);
      if (wait > 0)
        send_to (prs, peer, &round);
    }
}
