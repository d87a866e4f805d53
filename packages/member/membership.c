#include "member/membership.h"
#include "base/json_add.h"

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
  const struct clk *clk;          /* borrowed */
  const struct statechart *chart; /* borrowed */
  GPtrArray *instances; /* struct member_instance, owned, sorted by id */
  struct member_instance *self; /* this instance, an element of instances */
  gint64 last_tick;             /* clock time of the last tick, microseconds */
};

int
member_chart_load (const char *folder, struct statechart **chart,
                   struct err *err)
{
  static const struct statechart_binding binding
      = { state_names, MEMBER_STATE_N, event_names, MEMBER_EVENT_N };
  char *path = g_build_filename (folder, "instance.chart", NULL);
  int r = statechart_load (path, &binding, chart, err);
  g_free (path);
  return r;
}

/* Applies EVENT to INSTANCE's state; an event that the state does not accept is
   ignored. Returns whether the state changed.  */
static gboolean
apply_event (const struct membership *membership,
             struct member_instance *instance, enum member_event event)
{
  int next
      = statechart_next (membership->chart, (int)instance->state, (int)event);
  if (next == STATECHART_NONE || next == (int)instance->state)
    return FALSE;
  instance->state = (enum member_state)next;
  instance->live = next == MEMBER_LIVE || next == MEMBER_LEAVING;
  instance->leaving = next == MEMBER_LEAVING;
  return TRUE;
}

/* Returns the index of ID in the sorted instances, or where to insert it, and
   sets FOUND to whether it exists.  */
static guint
search (const struct membership *membership, const char *id, gboolean *found)
{
  guint low = 0;
  guint high = membership->instances->len;
  *found = FALSE;
  while (low < high)
    {
      guint mid = low + (high - low) / 2;
      const struct member_instance *instance
          = g_ptr_array_index (membership->instances, mid);
      int order = strcmp (instance->id.s, id);
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
  instance->state = (enum member_state)statechart_initial (membership->chart);
  g_ptr_array_insert (membership->instances, (int)place, instance);
  return instance;
}

/* Returns the view of one instance, OPTIONS->self, which starts as live. Never
   fails. The caller frees it with member_free.  */
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
  membership->self->last_heard = membership->last_tick
      = clk_now (membership->clk);
  apply_event (membership, membership->self, MEMBER_EVENT_ALIVE);
  return membership;
}

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
      const struct member_instance *instance
          = g_ptr_array_index (membership->instances, i);
      n += strcmp (instance->domain.s, domain) == 0;
    }
  return n;
}

static void
update_instance (struct member_instance *instance,
                 const struct msg_heartbeat *heartbeat, gint64 now)
{
  instance->incarnation = heartbeat->incarnation;
  instance->sequence = heartbeat->sequence;
  instance->domain = heartbeat->domain;
  instance->region = heartbeat->region;
  g_strlcpy (instance->address, heartbeat->address, sizeof instance->address);
  instance->config_version = heartbeat->config_version;
  instance->registry_version = heartbeat->registry_version;
  instance->last_heard = now;
}

static gboolean
is_old (const struct member_instance *instance,
        const struct msg_heartbeat *heartbeat)
{
  if (heartbeat->incarnation != instance->incarnation)
    return heartbeat->incarnation < instance->incarnation;
  return heartbeat->sequence <= instance->sequence;
}

/* Processes HEARTBEAT from instance FROM and describes in CHANGE what it
   changed; a restarted instance is reported as lost. Returns 0, also for an old
   heartbeat that is ignored; ERR_CONFLICT if another process uses this
   instance's id; ERR_LIMIT if there are too many instances; ERR_INVALID for an
   empty or overlong id.  */
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
  update_instance (instance, heartbeat, clk_now (membership->clk));
  if (apply_event (membership, instance,
                   heartbeat->leaving ? MEMBER_EVENT_LEAVE
                                      : MEMBER_EVENT_ALIVE))
    change->view = TRUE;
  return 0;
}

/* Each side uses its own count of peers. The longest interval of one must
   therefore be shorter than the shortest silence after which the other marks it
   down.  */
G_STATIC_ASSERT (MEMBER_HEARTBEAT_MAX_US < MEMBER_SUSPECT_US);
G_STATIC_ASSERT (MEMBER_REMOTE_HEARTBEAT_MAX_US < MEMBER_REMOTE_SUSPECT_US);

static gboolean
is_remote (const struct membership *membership,
           const struct member_instance *instance)
{
  return strcmp (instance->domain.s, membership->self->domain.s) != 0;
}

gint64
member_heartbeat_interval (const struct membership *membership, gboolean remote)
{
  gint64 peers = 0;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *instance
          = g_ptr_array_index (membership->instances, i);
      peers += instance->live && instance != membership->self
               && is_remote (membership, instance) == remote;
    }
  if (remote)
    return CLAMP (peers * MEMBER_REMOTE_HEARTBEAT_PER_PEER_US,
                  MEMBER_REMOTE_HEARTBEAT_US, MEMBER_REMOTE_HEARTBEAT_MAX_US);
  return CLAMP (peers * MEMBER_HEARTBEAT_PER_PEER_US, MEMBER_HEARTBEAT_US,
                MEMBER_HEARTBEAT_MAX_US);
}

/* Returns the silence after which a peer of the own failure domain, or a remote
   one, is marked down, microseconds.  */
static gint64
suspect_after (const struct membership *membership, gboolean remote)
{
  gint64 interval = member_heartbeat_interval (membership, remote);
  return remote ? MAX (interval * MEMBER_REMOTE_SUSPECT_INTERVALS,
                       MEMBER_REMOTE_SUSPECT_US)
                : MAX (interval * MEMBER_SUSPECT_INTERVALS, MEMBER_SUSPECT_US);
}

/* Does not count time in which this process was paused as silence of the
   others. Without this, an instance that resumes after a pause would mark all
   others down.  */
static void
discount_pause (struct membership *membership, gint64 now)
{
  gint64 pause = now - membership->last_tick;
  membership->last_tick = now;
  if (pause < MEMBER_PAUSE_US)
    return;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      struct member_instance *instance
          = g_ptr_array_index (membership->instances, i);
      instance->last_heard = MIN (instance->last_heard + pause, now);
    }
}

/* Marks one silent instance down and reports it as lost, and removes those that
   have been silent for MEMBER_FORGET_US; pointers to these become invalid. Call
   it until CHANGE reports no change.  */
void
member_tick (struct membership *membership, struct member_change *change)
{
  gint64 now = clk_now (membership->clk);
  memset (change, 0, sizeof *change);
  discount_pause (membership, now);
  gint64 local_limit = suspect_after (membership, FALSE);
  gint64 remote_limit = suspect_after (membership, TRUE);
  for (guint i = membership->instances->len; i-- > 0;)
    {
      struct member_instance *instance
          = g_ptr_array_index (membership->instances, i);
      gint64 silent = now - instance->last_heard;
      if (instance == membership->self)
        continue;
      if (silent >= MEMBER_FORGET_US)
        apply_event (membership, instance, MEMBER_EVENT_FORGET);
      if (statechart_is_final (membership->chart, (int)instance->state))
        {
          g_ptr_array_remove_index (membership->instances, i);
          continue;
        }
      if (silent
              < (is_remote (membership, instance) ? remote_limit : local_limit)
          || !apply_event (membership, instance, MEMBER_EVENT_SILENCE))
        continue;
      change->view = TRUE;
      change->lost = instance->id;
      return;
    }
}

void
member_disconnected (struct membership *membership, const char *id)
{
  struct member_instance *instance = find (membership, id);
  if (instance == NULL || instance == membership->self)
    return;
  gint64 limit = suspect_after (membership, is_remote (membership, instance));
  gint64 latest = clk_now (membership->clk) - limit + MEMBER_RECONNECT_US;
  instance->last_heard = MIN (instance->last_heard, latest);
}

/* Marks this instance as leaving, or as staying again.  */
void
member_set_leaving (struct membership *membership, gboolean leaving)
{
  apply_event (membership, membership->self,
               leaving ? MEMBER_EVENT_LEAVE : MEMBER_EVENT_ALIVE);
}

void
member_set_versions (struct membership *membership, guint64 config,
                     guint64 registry)
{
  membership->self->config_version = config;
  membership->self->registry_version = registry;
}

void
member_self_address (const struct membership *membership, char address[64])
{
  g_strlcpy (address, membership->self->address, 64);
}

/* Fills HEARTBEAT with this instance's data and the next sequence number.  */
void
member_fill_heartbeat (struct membership *membership,
                       struct msg_heartbeat *heartbeat)
{
  const struct member_instance *self = membership->self;
  memset (heartbeat, 0, sizeof *heartbeat);
  membership->self->sequence++;
  membership->self->last_heard = clk_now (membership->clk);
  heartbeat->incarnation = self->incarnation;
  heartbeat->sequence = self->sequence;
  heartbeat->domain = self->domain;
  heartbeat->region = self->region;
  g_strlcpy (heartbeat->address, self->address, sizeof heartbeat->address);
  heartbeat->leaving = self->leaving;
  heartbeat->config_version = self->config_version;
  heartbeat->registry_version = self->registry_version;
}

/* Returns the instance ID in any state, or NULL. The pointer is valid until the
   next member_tick.  */
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
is_owner_candidate (const struct membership *membership,
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
    n += is_owner_candidate (membership,
                             g_ptr_array_index (membership->instances, i));
  return n;
}

/* Returns the best candidate for the name hashed to SEED that ranks after
   PREVIOUS (NULL: the first one), or NULL. Candidates rank by score; equal
   scores by id.  */
static const struct member_instance *
best_candidate_after (const struct membership *membership, guint64 seed,
                      const struct member_instance *previous)
{
  const struct member_instance *best = NULL;
  guint64 limit = previous ? str_hash (str_of (previous->id.s), seed) : 0;
  guint64 best_score = 0;
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *instance
          = g_ptr_array_index (membership->instances, i);
      if (!is_owner_candidate (membership, instance))
        continue;
      guint64 score = str_hash (str_of (instance->id.s), seed);
      if (previous != NULL
          && (score > limit
              || (score == limit
                  && strcmp (instance->id.s, previous->id.s) <= 0)))
        continue;
      if (best == NULL || score > best_score)
        {
          best = instance;
          best_score = score;
        }
    }
  return best;
}

/* Returns the owner of NAME: the candidate with the highest hash of name and id
   (rendezvous hashing), or the one at RANK, 0 being the first. Costs one hash
   of an id per instance and rank.  */
const struct member_instance *
member_owner (const struct membership *membership, struct str name, guint rank)
{
  guint64 seed = str_hash (name, 0);
  const struct member_instance *owner
      = best_candidate_after (membership, seed, NULL);
  if (owner == NULL)
    return rank == 0 ? membership->self : NULL;
  for (; rank > 0 && owner != NULL; rank--)
    owner = best_candidate_after (membership, seed, owner);
  return owner;
}

/* Adds an array of all instances, in any state, to JSON.  */
void
member_dump (const struct membership *membership, JsonBuilder *json)
{
  gint64 now = clk_now (membership->clk);
  json_builder_begin_array (json);
  for (guint i = 0; i < membership->instances->len; i++)
    {
      const struct member_instance *instance
          = g_ptr_array_index (membership->instances, i);
      json_builder_begin_object (json);
      json_add_str (json, "id", instance->id.s);
      json_add_str (json, "domain", instance->domain.s);
      json_add_str (json, "region", instance->region.s);
      json_add_str (json, "address", instance->address);
      json_add_str (
          json, "state",
          statechart_state_name (membership->chart, (int)instance->state));
      json_add_int (json, "incarnation", instance->incarnation);
      json_add_int (json, "sequence", instance->sequence);
      json_add_int (json, "silent_ms",
                    (guint64)((now - instance->last_heard) / CLK_MS));
      json_add_int (json, "config_version", instance->config_version);
      json_add_int (json, "fleet_version", instance->registry_version);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
