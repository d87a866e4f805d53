#include "member/mem.h"
#include "base/json_add.h"

#include <string.h>

/* Events of charts/instance.chart. X (NAME, "name") */
#define MEM_EVENTS(X)                                                          \
  X (ALIVE, "alive")                                                           \
  X (LEAVE, "leave")                                                           \
  X (SILENCE, "silence")                                                       \
  X (FORGET, "forget")

enum mem_event
{
#define MEM_EVENT_ENUM(id, name) MEM_EVENT_##id,
  MEM_EVENTS (MEM_EVENT_ENUM)
#undef MEM_EVENT_ENUM
      MEM_EVENT_N
};

#define MEM_NAME(id, name) name,
static const char *const state_names[] = { MEM_STATES (MEM_NAME) };
static const char *const event_names[] = { MEM_EVENTS (MEM_NAME) };
#undef MEM_NAME

struct mem
{
  const struct clk *clk;          /* borrowed */
  const struct statechart *chart; /* borrowed */
  GPtrArray *instances;           /* struct mem_instance, owned, by id */
  struct mem_instance *self;      /* in instances */
  gint64 ticked; /* clock time of the last tick, microseconds */
};

int
mem_chart_load (const char *folder, struct statechart **chart, struct err *err)
{
  static const struct statechart_binding binding
      = { state_names, MEM_STATE_N, event_names, MEM_EVENT_N };
  char *path = g_build_filename (folder, "instance.chart", NULL);
  int r = statechart_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Moves INSTANCE by EVENT; an event that its state does not take is ignored.
   Returns whether its state changed.  */
static gboolean
step (const struct mem *mem, struct mem_instance *instance,
      enum mem_event event)
{
  int next = statechart_next (mem->chart, (int)instance->state, (int)event);
  if (next == STATECHART_NONE || next == (int)instance->state)
    return FALSE;
  instance->state = (enum mem_state)next;
  instance->live = next == MEM_LIVE || next == MEM_LEAVING;
  instance->leaving = next == MEM_LEAVING;
  return TRUE;
}

/* Returns the place of ID in the order, and in FOUND whether it is taken.  */
static guint
search (const struct mem *mem, const char *id, gboolean *found)
{
  guint low = 0;
  guint high = mem->instances->len;
  *found = FALSE;
  while (low < high)
    {
      guint mid = low + (high - low) / 2;
      const struct mem_instance *at = g_ptr_array_index (mem->instances, mid);
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

static struct mem_instance *
find (const struct mem *mem, const char *id)
{
  gboolean found;
  guint i = search (mem, id, &found);
  return found ? g_ptr_array_index (mem->instances, i) : NULL;
}

static struct mem_instance *
insert (struct mem *mem, const char *id)
{
  gboolean found;
  guint place = search (mem, id, &found);
  struct mem_instance *instance = g_new0 (struct mem_instance, 1);
  str_id_set (&instance->id, str_of (id));
  instance->state = (enum mem_state)statechart_initial (mem->chart);
  g_ptr_array_insert (mem->instances, (int)place, instance);
  return instance;
}

/* Makes the view of one instance, OPTIONS->self, which is live. Never fails;
   the caller frees it.  */
struct mem *
mem_new (const struct mem_options *options)
{
  struct mem *mem = g_new0 (struct mem, 1);
  mem->clk = options->clk;
  mem->chart = options->chart;
  mem->instances = g_ptr_array_new_with_free_func (g_free);
  mem->self = insert (mem, options->self.id.s);
  enum mem_state state = mem->self->state;
  *mem->self = options->self;
  mem->self->state = state;
  mem->self->heard = mem->ticked = clk_now (mem->clk);
  step (mem, mem->self, MEM_EVENT_ALIVE);
  return mem;
}

/* Frees MEM; NULL is allowed.  */
void
mem_free (struct mem *mem)
{
  if (mem == NULL)
    return;
  g_ptr_array_unref (mem->instances);
  g_free (mem);
}

static guint
count_domain (const struct mem *mem, const char *domain)
{
  guint n = 0;
  for (guint i = 0; i < mem->instances->len; i++)
    {
      const struct mem_instance *at = g_ptr_array_index (mem->instances, i);
      n += strcmp (at->domain.s, domain) == 0;
    }
  return n;
}

static void
take (struct mem_instance *instance, const struct msg_heartbeat *heartbeat,
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
is_old (const struct mem_instance *instance,
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
mem_heartbeat (struct mem *mem, const char *from,
               const struct msg_heartbeat *heartbeat, struct mem_change *change)
{
  memset (change, 0, sizeof *change);
  if (strcmp (from, mem->self->id.s) == 0)
    return heartbeat->incarnation == mem->self->incarnation ? 0 : ERR_CONFLICT;
  if (*from == '\0' || strlen (from) > STR_ID_MAX)
    return ERR_INVALID;
  struct mem_instance *instance = find (mem, from);
  if (instance != NULL && is_old (instance, heartbeat))
    return 0;
  if (instance == NULL)
    {
      if (mem->instances->len >= MEM_TOTAL_MAX
          || count_domain (mem, heartbeat->domain.s) >= MEM_INSTANCES_MAX)
        return ERR_LIMIT;
      instance = insert (mem, from);
    }
  else if (heartbeat->incarnation != instance->incarnation && instance->live)
    {
      change->view = TRUE;
      change->lost = instance->id;
    }
  if (strcmp (instance->domain.s, heartbeat->domain.s) != 0)
    change->view = TRUE;
  take (instance, heartbeat, clk_now (mem->clk));
  if (step (mem, instance,
            heartbeat->leaving ? MEM_EVENT_LEAVE : MEM_EVENT_ALIVE))
    change->view = TRUE;
  return 0;
}

/* Either side goes by its own count of peers, so the longest interval of one
   must not look like silence to the other.  */
G_STATIC_ASSERT (MEM_HEARTBEAT_MAX_US < MEM_SUSPECT_US);
G_STATIC_ASSERT (MEM_FAR_HEARTBEAT_MAX_US < MEM_FAR_SUSPECT_US);

static gboolean
is_far (const struct mem *mem, const struct mem_instance *instance)
{
  return strcmp (instance->domain.s, mem->self->domain.s) != 0;
}

gint64
mem_heartbeat_interval (const struct mem *mem, gboolean far)
{
  gint64 peers = 0;
  for (guint i = 0; i < mem->instances->len; i++)
    {
      const struct mem_instance *at = g_ptr_array_index (mem->instances, i);
      peers += at->live && at != mem->self && is_far (mem, at) == far;
    }
  if (far)
    return CLAMP (peers * MEM_FAR_HEARTBEAT_PER_PEER_US, MEM_FAR_HEARTBEAT_US,
                  MEM_FAR_HEARTBEAT_MAX_US);
  return CLAMP (peers * MEM_HEARTBEAT_PER_PEER_US, MEM_HEARTBEAT_US,
                MEM_HEARTBEAT_MAX_US);
}

/* Returns the silence that marks a near or far peer down, microseconds.  */
static gint64
suspect_after (const struct mem *mem, gboolean far)
{
  gint64 interval = mem_heartbeat_interval (mem, far);
  return far ? MAX (interval * MEM_FAR_SUSPECT_INTERVALS, MEM_FAR_SUSPECT_US)
             : MAX (interval * MEM_SUSPECT_INTERVALS, MEM_SUSPECT_US);
}

/* Time in which this process did not run is no silence of the others: without
   this, whoever wakes from a pause takes all of them for lost.  */
static void
discount_pause (struct mem *mem, gint64 now)
{
  gint64 pause = now - mem->ticked;
  mem->ticked = now;
  if (pause < MEM_PAUSE_US)
    return;
  for (guint i = 0; i < mem->instances->len; i++)
    {
      struct mem_instance *at = g_ptr_array_index (mem->instances, i);
      at->heard = MIN (at->heard + pause, now);
    }
}

/* Marks one silent instance down and reports it as lost, and forgets those
   down for MEM_FORGET_US; pointers to these end. Call it until CHANGE says
   that nothing changed.  */
void
mem_tick (struct mem *mem, struct mem_change *change)
{
  gint64 now = clk_now (mem->clk);
  memset (change, 0, sizeof *change);
  discount_pause (mem, now);
  gint64 near_limit = suspect_after (mem, FALSE);
  gint64 far_limit = suspect_after (mem, TRUE);
  for (guint i = mem->instances->len; i-- > 0;)
    {
      struct mem_instance *at = g_ptr_array_index (mem->instances, i);
      gint64 silent = now - at->heard;
      if (at == mem->self)
        continue;
      if (silent >= MEM_FORGET_US)
        step (mem, at, MEM_EVENT_FORGET);
      if (statechart_is_final (mem->chart, (int)at->state))
        {
          g_ptr_array_remove_index (mem->instances, i);
          continue;
        }
      if (silent < (is_far (mem, at) ? far_limit : near_limit)
          || !step (mem, at, MEM_EVENT_SILENCE))
        continue;
      change->view = TRUE;
      change->lost = at->id;
      return;
    }
}

void
mem_disconnected (struct mem *mem, const char *id)
{
  struct mem_instance *instance = find (mem, id);
  if (instance == NULL || instance == mem->self)
    return;
  gint64 limit = suspect_after (mem, is_far (mem, instance));
  gint64 latest = clk_now (mem->clk) - limit + MEM_RECONNECT_US;
  instance->heard = MIN (instance->heard, latest);
}

/* Marks the own instance as leaving, or no longer so.  */
void
mem_set_leaving (struct mem *mem, gboolean leaving)
{
  step (mem, mem->self, leaving ? MEM_EVENT_LEAVE : MEM_EVENT_ALIVE);
}

void
mem_set_versions (struct mem *mem, guint64 config, guint64 fleet)
{
  mem->self->config_version = config;
  mem->self->fleet_version = fleet;
}

void
mem_self_address (const struct mem *mem, char address[64])
{
  g_strlcpy (address, mem->self->address, 64);
}

/* Fills HEARTBEAT with the own instance and the next sequence number.  */
void
mem_fill_heartbeat (struct mem *mem, struct msg_heartbeat *heartbeat)
{
  const struct mem_instance *self = mem->self;
  memset (heartbeat, 0, sizeof *heartbeat);
  mem->self->sequence++;
  mem->self->heard = clk_now (mem->clk);
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
   mem_tick.  */
const struct mem_instance *
mem_find (const struct mem *mem, const char *id)
{
  return find (mem, id);
}

void
mem_each (const struct mem *mem,
          void (*visit) (void *ctx, const struct mem_instance *instance),
          void *ctx)
{
  for (guint i = 0; i < mem->instances->len; i++)
    visit (ctx, g_ptr_array_index (mem->instances, i));
}

static gboolean
may_own (const struct mem *mem, const struct mem_instance *instance)
{
  return instance->live && !instance->leaving
         && strcmp (instance->domain.s, mem->self->domain.s) == 0;
}

guint
mem_live_count (const struct mem *mem)
{
  guint n = 0;
  for (guint i = 0; i < mem->instances->len; i++)
    n += may_own (mem, g_ptr_array_index (mem->instances, i));
  return n;
}

/* Returns the best candidate for the name hashed to SEED that comes after
   ABOVE (NULL: none yet) in the order of scores; equal scores go by id.  */
static const struct mem_instance *
best_below (const struct mem *mem, guint64 seed,
            const struct mem_instance *above)
{
  const struct mem_instance *best = NULL;
  guint64 limit = above ? str_hash (str_of (above->id.s), seed) : 0;
  guint64 best_score = 0;
  for (guint i = 0; i < mem->instances->len; i++)
    {
      const struct mem_instance *at = g_ptr_array_index (mem->instances, i);
      if (!may_own (mem, at))
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
const struct mem_instance *
mem_owner (const struct mem *mem, struct str name, guint rank)
{
  guint64 seed = str_hash (name, 0);
  const struct mem_instance *owner = best_below (mem, seed, NULL);
  if (owner == NULL)
    return rank == 0 ? mem->self : NULL;
  for (; rank > 0 && owner != NULL; rank--)
    owner = best_below (mem, seed, owner);
  return owner;
}

/* Adds an array of the known instances to JSON.  */
void
mem_dump (const struct mem *mem, JsonBuilder *json)
{
  gint64 now = clk_now (mem->clk);
  json_builder_begin_array (json);
  for (guint i = 0; i < mem->instances->len; i++)
    {
      const struct mem_instance *at = g_ptr_array_index (mem->instances, i);
      json_builder_begin_object (json);
      json_add_str (json, "id", at->id.s);
      json_add_str (json, "domain", at->domain.s);
      json_add_str (json, "region", at->region.s);
      json_add_str (json, "address", at->address);
      json_add_str (json, "state",
                    statechart_state_name (mem->chart, (int)at->state));
      json_add_int (json, "incarnation", at->incarnation);
      json_add_int (json, "sequence", at->sequence);
      json_add_int (json, "silent_ms", (guint64)((now - at->heard) / CLK_MS));
      json_add_int (json, "config_version", at->config_version);
      json_add_int (json, "fleet_version", at->fleet_version);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
