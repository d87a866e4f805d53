/* Choice of the cell to which a request's ticket goes, and of its owner.  */
#include "node/nod_int.h"

#include <string.h>

/* A request leaves its failure domain for one with free slots once the wait
   at home is longer than this share of its first-token target. */
#define SPILL_WAIT_SHARE 0.5
#define SPILL_WAIT_DEFAULT_US (1 * CLK_S) /* classes without a target */
#define SPILL_PART 0.5 /* of the work that may leave, at most at a time */
#define WAIT_UNKNOWN_US (3600 * CLK_S)
#define CANDIDATES_MAX 64

/* How far a cell is from this instance. */
enum distance
{
  DISTANCE_DOMAIN,
  DISTANCE_REGION,
  DISTANCE_LINK,
  DISTANCE_N
};

struct candidates
{
  const struct cfg_cell *cells[CANDIDATES_MAX];
  guint n;
};

/* Tells whether work for failure domain DOMAIN of CFG crosses the link
   between regions.  */
gboolean
nod_crosses_link (const struct nod *nod, const struct cfg *cfg, guint domain)
{
  return strcmp (cfg->domains[domain].region.s, nod->region.s) != 0;
}

static enum distance
distance_to (const struct nod *nod, const struct cfg *cfg, guint domain)
{
  if (strcmp (cfg->domains[domain].name.s, nod->domain.s) == 0)
    return DISTANCE_DOMAIN;
  return nod_crosses_link (nod, cfg, domain) ? DISTANCE_LINK : DISTANCE_REGION;
}

static const struct nod_cell_info *
fresh_info (const struct nod *nod, const char *cell)
{
  const struct nod_cell_info *info = g_hash_table_lookup (nod->infos, cell);
  if (info == NULL || clk_now (nod->clk) - info->heard > NOD_SUMMARY_FRESH_US)
    return NULL;
  return info;
}

/* Fills SUMMARY for CELL: exact if it is served here, else the last one
   heard. Returns FALSE if nothing recent is known.  */
static gboolean
find_summary (const struct nod *nod, const char *cell,
              struct msg_cell_summary *summary)
{
  const struct shard_owner *shard_owner
      = g_hash_table_lookup (nod->cells, cell);
  if (shard_owner != NULL)
    {
      shard_summary (shard_owner, summary);
      return TRUE;
    }
  const struct nod_cell_info *info = fresh_info (nod, cell);
  if (info == NULL)
    return FALSE;
  *summary = info->summary;
  return TRUE;
}

/* Returns the instance that owns CELL, a name that stays valid until the
   next event, or NULL if none is known.  */
const char *
nod_owner (struct nod *nod, struct str cell)
{
  const struct cfg *cfg = nod->cfg;
  int i = cfg ? cfg_find_cell (cfg, cell) : -1;
  if (i < 0)
    return NULL;
  if (distance_to (nod, cfg, cfg->cells[i].domain) == DISTANCE_DOMAIN)
    {
      const struct member_instance *owner
          = member_owner (nod->membership, cell, 0);
      return owner ? owner->id.s : nod->self.s;
    }
  const struct nod_cell_info *info = fresh_info (nod, cfg->cells[i].name.s);
  const struct member_instance *owner
      = info ? member_find (nod->membership, info->summary.owner.s) : NULL;
  gboolean down = owner != NULL && !owner->live;
  return info != NULL && !down ? info->summary.owner.s : NULL;
}

/* Expected wait of a ticket of TIER at CELL, in microseconds.  */
static gint64
expected_wait (const struct nod *nod, const struct cfg_cell *cell, guint tier)
{
  struct msg_cell_summary summary;
  if (!find_summary (nod, cell->name.s, &summary))
    return distance_to (nod, nod->cfg, cell->domain) == DISTANCE_DOMAIN
               ? 0
               : WAIT_UNKNOWN_US;
  if (summary.servers == 0)
    return WAIT_UNKNOWN_US;
  if (summary.free_slots > 0)
    return 0;
  guint ahead = 1;
  for (guint t = 0; t <= tier && t < G_N_ELEMENTS (summary.waiting); t++)
    ahead += summary.waiting[t];
  return ahead * CLK_S / MAX (1, summary.starts_per_s);
}

static gboolean
was_tried (const struct nod_req *req, const char *cell)
{
  for (guint i = 0; i < req->n_tried; i++)
    if (strcmp (req->tried[i].s, cell) == 0)
      return TRUE;
  return FALSE;
}

static void
find_candidates (struct nod *nod, const struct nod_req *req, guint pool,
                 struct candidates found[DISTANCE_N])
{
  const struct cfg *cfg = nod->cfg;
  for (guint i = 0; i < cfg->n_cells; i++)
    {
      const struct cfg_cell *cell = &cfg->cells[i];
      if (cell->pool != pool || was_tried (req, cell->name.s))
        continue;
      enum distance d = distance_to (nod, cfg, cell->domain);
      if (d != DISTANCE_DOMAIN
          && nod_owner (nod, str_of (cell->name.s)) == NULL)
        continue;
      if (found[d].n < CANDIDATES_MAX)
        found[d].cells[found[d].n++] = cell;
    }
}

/* Returns the better of two random cells of C, NULL if there is none.  */
static const struct cfg_cell *
pick_of_two (struct nod *nod, const struct candidates *c, guint tier)
{
  if (c->n == 0)
    return NULL;
  guint a = (guint)g_rand_int_range (nod->rand, 0, (gint32)c->n);
  guint b = (guint)g_rand_int_range (nod->rand, 0, (gint32)c->n);
  gint64 wait_a = expected_wait (nod, c->cells[a], tier);
  gint64 wait_b = expected_wait (nod, c->cells[b], tier);
  return wait_b < wait_a ? c->cells[b] : c->cells[a];
}

static gint64
bearable_wait (const struct cfg_class *class)
{
  if (class->ttft_us == 0)
    return SPILL_WAIT_DEFAULT_US;
  return (gint64)(SPILL_WAIT_SHARE * class->ttft_us);
}

/* Whether work goes to a cell nearby that has the shorter wait. Summaries
   lag, so only a part goes, the greater the difference the more; else all
   entries would run to and fro between two cells.  */
static gboolean
leaves_home (struct nod *nod, gint64 home_wait, gint64 near_wait)
{
  if (near_wait == 0 || home_wait == WAIT_UNKNOWN_US)
    return TRUE;
  double saved = 1.0 - (double)near_wait / (double)home_wait;
  return saved > 0 && g_rand_double (nod->rand) < saved * SPILL_PART;
}

/* Picks among the found cells: at home, then within the region, last over
   the link.  */
static const struct cfg_cell *
pick (struct nod *nod, const struct candidates found[DISTANCE_N],
      const struct cfg_class *class, enum cfg_spill spill, gboolean may_cross)
{
  const struct cfg_cell *home
      = pick_of_two (nod, &found[DISTANCE_DOMAIN], class->tier);
  gint64 home_wait
      = home ? expected_wait (nod, home, class->tier) : WAIT_UNKNOWN_US;
  if (home != NULL && home_wait <= bearable_wait (class))
    return home;
  const struct cfg_cell *near = NULL;
  if (spill >= CFG_SPILL_REGION)
    near = pick_of_two (nod, &found[DISTANCE_REGION], class->tier);
  gint64 near_wait
      = near ? expected_wait (nod, near, class->tier) : WAIT_UNKNOWN_US;
  if (near != NULL && leaves_home (nod, home_wait, near_wait))
    return near;
  if (home != NULL && home_wait < WAIT_UNKNOWN_US)
    return home;
  if (near != NULL)
    return near;
  const struct cfg_cell *far = NULL;
  if (spill >= CFG_SPILL_ANYWHERE && may_cross)
    far = pick_of_two (nod, &found[DISTANCE_LINK], class->tier);
  if (far != NULL && expected_wait (nod, far, class->tier) < WAIT_UNKNOWN_US)
    return far;
  return home;
}

/* Tells whether this entry may still send to a cell whose owner told of free
   slots: the entries of a failure domain share them until the next summary.
   Takes one if so.  */
static gboolean
claim (struct nod *nod, const char *cell)
{
  struct nod_cell_info *info = g_hash_table_lookup (nod->infos, cell);
  if (info == NULL || fresh_info (nod, cell) == NULL)
    return FALSE;
  guint entries
      = MAX (1, member_live_count (nod->membership)); /* 0: all leave */
  guint quota = info->summary.free_slots / entries;
  if (info->summary.free_slots == 0 || info->claimed >= MAX (1, quota))
    return FALSE;
  info->claimed++;
  return TRUE;
}

/* Finds a cell with free slots for REQ, which waits in a crowded one: at home
   or, if its class may leave, in the region. Returns FALSE if there is none;
   else REQ's cell and owner are the new ones.  */
gboolean
nod_route_move (struct nod *nod, struct nod_req *req)
{
  const struct cfg *cfg = nod->cfg;
  const struct cfg_class *class = &req->cfg->classes[req->spec.class_index];
  int from = cfg_find_cell (cfg, str_of (req->cell.s));
  enum distance farthest
      = MIN (class->spill, req->cfg->spill) >= CFG_SPILL_REGION
            ? DISTANCE_REGION
            : DISTANCE_DOMAIN;
  if (from < 0
      || expected_wait (nod, &cfg->cells[from], class->tier)
             <= bearable_wait (class))
    return FALSE;
  for (guint i = 0; i < cfg->n_cells; i++)
    {
      const struct cfg_cell *cell = &cfg->cells[i];
      if ((int)i == from || cell->pool != cfg->cells[from].pool
          || distance_to (nod, cfg, cell->domain) > farthest
          || was_tried (req, cell->name.s) || !claim (nod, cell->name.s))
        continue;
      const char *owner = nod_owner (nod, str_of (cell->name.s));
      if (owner == NULL)
        continue;
      req->cell = cell->name;
      str_id_set (&req->owner, str_of (owner));
      return TRUE;
    }
  return FALSE;
}

/* Chooses REQ's cell and owner. Returns FALSE, with the
   reason in REQ, if there is none to try.  */
gboolean
nod_route (struct nod *nod, struct nod_req *req)
{
  const struct cfg_pool *pool = &req->cfg->pools[req->spec.pool];
  const struct cfg_class *class = &req->cfg->classes[req->spec.class_index];
  req->no_route = MSG_REASON_NO_SERVER;
  int pool_now = cfg_find_pool (nod->cfg, pool->kind, str_of (pool->name.s));
  if (pool_now < 0)
    return FALSE;
  struct candidates found[DISTANCE_N] = { 0 };
  find_candidates (nod, req, (guint)pool_now, found);
  enum cfg_spill spill = MIN (class->spill, req->cfg->spill);
  gboolean may_cross = nod_budget_may_cross (nod, req->spec.class_index);
  const struct cfg_cell *cell = pick (nod, found, class, spill, may_cross);
  req->no_route
      = spill >= CFG_SPILL_ANYWHERE && !may_cross && found[DISTANCE_LINK].n > 0
            ? MSG_REASON_LINK_BUDGET
            : MSG_REASON_NO_SERVER;
  if (cell == NULL)
    return FALSE;
  const char *owner = nod_owner (nod, str_of (cell->name.s));
  if (owner == NULL)
    return FALSE;
  req->cell = cell->name;
  str_id_set (&req->owner, str_of (owner));
  return TRUE;
}
