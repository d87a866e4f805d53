#include "member/membership.h"
#include "base/jsb.h"

#include <string.h>

/* Events of charts/instance.chart. X (NAME, "name") */
#define MEMBER_EVENTS(X)                                                       \
  X (ALIVE, "alive")                                                           \
  X (LEAVE, "leave")                                                           \
  X (SILENCE, "silence")                                                       \
  X (FORGET, "forget")

enum member_event
{
#define MEMBER_EVENT_ENUM(id, name) MEMBER_EVENT_##id,
  MEMBER_EVENTS (MEMBER_EVENT_ENUM)
#undef MEMBER_EVENT_ENUM
      MEMBER_EVENT_N
};

#define MEMBER_NAME(id, name) name,
static const char *const state_names[] = { MEMBER_STATES (MEMBER_NAME) };
static const char *const event_names[] = { MEMBER_EVENTS (MEMBER_NAME) };
#undef MEMBER_NAME

struct membership
{
  const struct clk *clk;        /* borrowed */
  const struct chr *chart;      /* borrowed */
  GPtrArray *instances;         /* struct member_instance, owned, by id */
  struct member_instance *self; /* in instances */
  gint64 ticked;                /* clock time of the last tick, microseconds */
};

int
member_chart_load (const char *folder, struct chr **chart, struct err *err)
{
  static const struct chr_binding binding
      = { state_names, MEMBER_STATE_N, event_names, MEMBER_EVENT_N };
  char *path = g_build_filename (folder, "instance.chart", NULL);
  int r = chr_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Moves INSTANCE by EVENT; an event that its state does not take is ignored.
   Returns whether its state changed.  */
static gboolean
step (const struct membership *membership, struct member_instance *instance,
      enum member_event event)
{
  int next = chr_next (membership->chart, (int)instance->state, (int)event);
  if (next == CHR_NONE || next == (int)instance->state)
    return FALSE;
  instance->state = (enum member_state)next;
  instance->live = next == MEMBER_LIVE || next == MEMBER_LEAVING;
  instance->leaving = next == MEMBER_LEAVING;
  return TRUE;
}

/* Returns the place of ID in the order, and in FOUND whether it is taken.  */
static guint
search (const struct membership *membership, const char *id, gboolean *found)
{
  guint low = 0;
  guint high = membership->instances->len;
  *found = FALSE;
  while (low < high)
    {
      guint mid = low + (high - low) / 2;
      const struct member_instance *at
          = g_ptr_array_index (membership->instances, mid);
      int order = strcmp (at->id.s, id);
      if (order == 0)
        *found = TRUE;
      if (order < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

static struct member_instance *
find (const struct membership *membership, const char *id)
{
  gboolean found;
  guint i = search (membership, id, &found);
  return found ? g_ptr_array_index (membership->instances, i) : NULL;
}

static struct member_instance *
insert (struct membership *membership, const char *id)
{
  gboolean found;
  guint place = search (membership, id, &found);
  struct member_instance *instance = g_new0 (struct member_instance, 1);
  str_id_set (&instance->id, str_of (id));
  instance->state = (enum member_state)chr_initial (membership->chart);
  g_ptr_array_insert (membership->instances, (int)place, instance);
  return instance;
}

/* Makes the view of one instance, OPTIONS->self, which is live. Never fails;
   the caller frees it.  */
struct membership *
member_new (const struct member_options *options)
{
  struct membership *membership = g_new0 (struct membership, 1);
  membership->clk = options->clk;
  membership->chart = options->chart;
  membership->instances = g_ptr_array_new_with_free_func (g_free);
  membership->self = insert (membership, options->self.id.s);
  enum member_state state = membership->self->state;
  *membership->self = options->self;
  membership->self->state = state;
  membership->self->heard = membership->ticked = clk_now (membership->clk);
  step (membership, membership->self, MEMBER_EVENT_ALIVE);
  return membership;
}

/* Frees MEM; NULL is allowed.  */
void
member_free (struct membership *membership)
{
  if (membership == NULL)
    return;
  g_ptr_array_unref (membership->instances);
  g_free (membership);
}

static guint
count_domain (const struct membership *membership, const char *domain)
{
  guint n = 0;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *at
          = g_ptr_array_index (membership->instances, i);
      n += strcmp (at->domain.s, domain) == 0;
    }
  return n;
}

static void
take (struct member_instance *instance, const struct msg_heartbeat *heartbeat,
      gint64 now)
{
  instance->incarnation = heartbeat->incarnation;
  instance->sequence = heartbeat->sequence;
  instance->domain = heartbeat->domain;
  instance->region = heartbeat->region;
  g_strlcpy (instance->address, heartbeat->address, sizeof instance->address);
  instance->config_version = heartbeat->config_version;
  instance->fleet_version = heartbeat->fleet_version;
  instance->heard = now;
}

static gboolean
is_old (const struct member_instance *instance,
        const struct msg_heartbeat *heartbeat)
{
  if (heartbeat->incarnation != instance->incarnation)
    return heartbeat->incarnation < instance->incarnation;
  return heartbeat->sequence <= instance->sequence;
}

/* Takes HEARTBEAT from instance FROM and says in CHANGE what it changed; a
   restarted instance is reported as lost. Returns 0, also for an old heartbeat
   that is ignored; ERR_CONFLICT if another process uses the own id; ERR_LIMIT
   if there are too many instances; ERR_INVALID for an empty id.  */
int
member_heartbeat (struct membership *membership, const char *from,
                  const struct msg_heartbeat *heartbeat,
                  struct member_change *change)
{
  memset (change, 0, sizeof *change);
  if (strcmp (from, membership->self->id.s) == 0)
    return heartbeat->incarnation == membership->self->incarnation
               ? 0
               : ERR_CONFLICT;
  if (*from == '\0' || strlen (from) > STR_ID_MAX)
    return ERR_INVALID;
  struct member_instance *instance = find (membership, from);
  if (instance != NULL && is_old (instance, heartbeat))
    return 0;
  if (instance == NULL)
    {
      if (membership->instances->len >= MEMBER_TOTAL_MAX
          || count_domain (membership, heartbeat->domain.s)
                 >= MEMBER_DOMAIN_MAX)
        return ERR_LIMIT;
      instance = insert (membership, from);
    }
  else if (heartbeat->incarnation != instance->incarnation && instance->live)
    {
      change->view = TRUE;
      change->lost = instance->id;
    }
  if (strcmp (instance->domain.s, heartbeat->domain.s) != 0)
    change->view = TRUE;
  take (instance, heartbeat, clk_now (membership->clk));
  if (step (membership, instance,
            heartbeat->leaving ? MEMBER_EVENT_LEAVE : MEMBER_EVENT_ALIVE))
    change->view = TRUE;
  return 0;
}

/* Either side goes by its own count of peers, so the longest interval of one
   must not look like silence to the other.  */
G_STATIC_ASSERT (MEMBER_HEARTBEAT_MAX_US < MEMBER_SUSPECT_US);
G_STATIC_ASSERT (MEMBER_REMOTE_HEARTBEAT_MAX_US < MEMBER_REMOTE_SUSPECT_US);

static gboolean
is_far (const struct membership *membership,
        const struct member_instance *instance)
{
  return strcmp (instance->domain.s, membership->self->domain.s) != 0;
}

gint64
member_heartbeat_interval (const struct membership *membership, gboolean far)
{
  gint64 peers = 0;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *at
          = g_ptr_array_index (membership->instances, i);
      peers += at->live && at != membership->self
               && is_far (membership, at) == far;
    }
  if (far)
    return CLAMP (peers * MEMBER_REMOTE_HEARTBEAT_PER_PEER_US,
                  MEMBER_REMOTE_HEARTBEAT_US, MEMBER_REMOTE_HEARTBEAT_MAX_US);
  return CLAMP (peers * MEMBER_HEARTBEAT_PER_PEER_US, MEMBER_HEARTBEAT_US,
                MEMBER_HEARTBEAT_MAX_US);
}

/* Returns the silence that marks a near or far peer down, microseconds.  */
static gint64
suspect_after (const struct membership *membership, gboolean far)
{
  gint64 interval = member_heartbeat_interval (membership, far);
  return far ? MAX (interval * MEMBER_REMOTE_SUSPECT_INTERVALS,
                    MEMBER_REMOTE_SUSPECT_US)
             : MAX (interval * MEMBER_SUSPECT_INTERVALS, MEMBER_SUSPECT_US);
}

/* Time in which this process did not run is no silence of the others: without
   this, whoever wakes from a pause takes all of them for lost.  */
static void
discount_pause (struct membership *membership, gint64 now)
{
  gint64 pause = now - membership->ticked;
  membership->ticked = now;
  if (pause < MEMBER_PAUSE_US)
    return;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      struct member_instance *at = g_ptr_array_index (membership->instances, i);
      at->heard = MIN (at->heard + pause, now);
    }
}

/* Marks one silent instance down and reports it as lost, and forgets those
   down for MEMBER_FORGET_US; pointers to these end. Call it until CHANGE says
   that nothing changed.  */
void
member_tick (struct membership *membership, struct member_change *change)
{
  gint64 now = clk_now (membership->clk);
  memset (change, 0, sizeof *change);
  discount_pause (membership, now);
  gint64 near_limit = suspect_after (membership, FALSE);
  gint64 far_limit = suspect_after (membership, TRUE);
  for (guint i = membership->instances->len; i-- > 0;)
    {
      struct member_instance *at = g_ptr_array_index (membership->instances, i);
      gint64 silent = now - at->heard;
      if (at == membership->self)
        continue;
      if (silent >= MEMBER_FORGET_US)
        step (membership, at, MEMBER_EVENT_FORGET);
      if (chr_is_final (membership->chart, (int)at->state))
        {
          g_ptr_array_remove_index (membership->instances, i);
          continue;
        }
      if (silent < (is_far (membership, at) ? far_limit : near_limit)
          || !step (membership, at, MEMBER_EVENT_SILENCE))
        continue;
      change->view = TRUE;
      change->lost = at->id;
      return;
    }
}

void
member_disconnected (struct membership *membership, const char *id)
{
  struct member_instance *instance = find (membership, id);
  if (instance == NULL || instance == membership->self)
    return;
  gint64 limit = suspect_after (membership, is_far (membership, instance));
  gint64 latest = clk_now (membership->clk) - limit + MEMBER_RECONNECT_US;
  instance->heard = MIN (instance->heard, latest);
}

/* Marks the own instance as leaving, or no longer so.  */
void
member_set_leaving (struct membership *membership, gboolean leaving)
{
  step (membership, membership->self,
        leaving ? MEMBER_EVENT_LEAVE : MEMBER_EVENT_ALIVE);
}

void
member_set_versions (struct membership *membership, guint64 config,
                     guint64 fleet)
{
  membership->self->config_version = config;
  membership->self->fleet_version = fleet;
}

void
member_self_address (const struct membership *membership, char address[64])
{
  g_strlcpy (address, membership->self->address, 64);
}

/* Fills HEARTBEAT with the own instance and the next sequence number.  */
void
member_fill_heartbeat (struct membership *membership,
                       struct msg_heartbeat *heartbeat)
{
  const struct member_instance *self = membership->self;
  memset (heartbeat, 0, sizeof *heartbeat);
  membership->self->sequence++;
  membership->self->heard = clk_now (membership->clk);
  heartbeat->incarnation = self->incarnation;
  heartbeat->sequence = self->sequence;
  heartbeat->domain = self->domain;
  heartbeat->region = self->region;
  g_strlcpy (heartbeat->address, self->address, sizeof heartbeat->address);
  heartbeat->leaving = self->leaving;
  heartbeat->config_version = self->config_version;
  heartbeat->fleet_version = self->fleet_version;
}

/* Returns the instance ID, in whatever state, or NULL. Valid until the next
   member_tick.  */
const struct member_instance *
member_find (const struct membership *membership, const char *id)
{
  return find (membership, id);
}

void
member_each (const struct membership *membership,
             void (*visit) (void *ctx, const struct member_instance *instance),
             void *ctx)
{
  for (guint i = 0; i < membership->instances->len; i++)
    visit (ctx, g_ptr_array_index (membership->instances, i));
}

static gboolean
may_own (const struct membership *membership,
         const struct member_instance *instance)
{
  return instance->live && !instance->leaving
         && strcmp (instance->domain.s, membership->self->domain.s) == 0;
}

guint
member_live_count (const struct membership *membership)
{
  guint n = 0;
  for (guint i = 0; i < membership->instances->len; i++)
    n += may_own (membership, g_ptr_array_index (membership->instances, i));
  return n;
}

/* Returns the best candidate for the name hashed to SEED that comes after
   ABOVE (NULL: none yet) in the order of scores; equal scores go by id.  */
static const struct member_instance *
best_below (const struct membership *membership, guint64 seed,
            const struct member_instance *above)
{
  const struct member_instance *best = NULL;
  guint64 limit = above ? str_hash (str_of (above->id.s), seed) : 0;
  guint64 best_score = 0;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *at
          = g_ptr_array_index (membership->instances, i);
      if (!may_own (membership, at))
        continue;
      guint64 score = str_hash (str_of (at->id.s), seed);
      if (above != NULL
          && (score > limit
              || (score == limit && strcmp (at->id.s, above->id.s) <= 0)))
        continue;
      if (best == NULL || score > best_score)
        {
          best = at;
          best_score = score;
        }
    }
  return best;
}

/* Returns the owner of NAME by highest hash of name and id, RANK 0 being the
   first choice. Costs one hash of an id for each instance and rank.  */
const struct member_instance *
member_owner (const struct membership *membership, struct str name, guint rank)
{
  guint64 seed = str_hash (name, 0);
  const struct member_instance *owner = best_below (membership, seed, NULL);
  if (owner == NULL)
    return rank == 0 ? membership->self : NULL;
  for (; rank > 0 && owner != NULL; rank--)
    owner = best_below (membership, seed, owner);
  return owner;
}

/* Adds an array of the known instances to JSON.  */
void
member_dump (const struct membership *membership, JsonBuilder *json)
{
  gint64 now = clk_now (membership->clk);
  json_builder_begin_array (json);
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *at
          = g_ptr_array_index (membership->instances, i);
      json_builder_begin_object (json);
      jsb_str (json, "id", at->id.s);
      jsb_str (json, "domain", at->domain.s);
      jsb_str (json, "region", at->region.s);
      jsb_str (json, "address", at->address);
      jsb_str (json, "state",
               chr_state_name (membership->chart, (int)at->state));
      jsb_int (json, "incarnation", at->incarnation);
      jsb_int (json, "sequence", at->sequence);
      jsb_int (json, "silent_ms", (guint64)((now - at->heard) / CLK_MS));
      jsb_int (json, "config_version", at->config_version);
      jsb_int (json, "fleet_version", at->fleet_version);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
