/* Objects in the platform's store of which every instance keeps the newest
   version: the configuration and the server registry. In each failure domain
   two designated readers watch them in the store. The others receive new
   versions from peers, along a tree that each instance computes by itself. An
   instance that missed a version requests it from a peer whose heartbeat
   announces a newer one.  */
#include "node/core_internal.h"

#include <string.h>

#define READERS 2
#define PUSH_FANOUT 4
#define TREE_MAX 1024 /* instances in the tree */

/* X (NAME, "object") in the order of enum core_object */
#define OBJECTS(X)                                                             \
  X (CONFIG, "config")                                                         \
  X (REGISTRY, "fleet")

static const char *const object_names[CORE_OBJECT_COUNT] = {
#define OBJECT_NAME(id, name) name,
  OBJECTS (OBJECT_NAME)
#undef OBJECT_NAME
};

/* Puts CFG into force if it is newer than the current configuration. Returns
   whether it did. An older version never replaces a newer one.  */
gboolean
core_set_config (struct core *core, struct cluster_config *cfg)
{
  if (core->cfg != NULL && cfg->version <= core->cfg->version)
    {
      counter_add (core->counter_set, COUNTER_CONFIG_STALE, 1);
      return FALSE;
    }
  if (core->cfg == NULL)
    core->ready_at = clk_now (core->clk) + CORE_READY_DELAY_US;
  cluster_unref (core->cfg);
  core->cfg = cluster_ref (cfg);
  core->summary_at = 0;
  core_shards_set_config (core);
  core_lease_config (core);
  core_queue_view_changed (core, NULL);
  struct core_action action = { .kind = CORE_DO_CONFIG };
  action.config = core->cfg;
  core->act (core->ctx, &action);
  return TRUE;
}

static gboolean
accept_config (struct core *core, guint64 version, GBytes *body)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct cluster_config *cfg = cluster_parse (body, version, problems);
  if (cfg != NULL)
    core_set_config (core, cfg);
  else
    {
      struct core_action action = { .kind = CORE_DO_CONFIG_INVALID };
      action.config_invalid.version = version;
      action.config_invalid.problems = problems;
      core->act (core->ctx, &action);
    }
  gboolean ok = cfg != NULL;
  cluster_unref (cfg);
  g_ptr_array_unref (problems);
  return ok;
}

static void
dial_listed_instance (struct core *core, GKeyFile *file, const char *group)
{
  char *domain = g_key_file_get_string (file, group, "domain", NULL);
  char *address = g_key_file_get_string (file, group, "address", NULL);
  if (domain != NULL && address != NULL && strcmp (domain, core->domain.s) == 0)
    core_dial (core, address);
  g_free (domain);
  g_free (address);
}

/* Applies a version of the server registry: a key file with one group for each
   backend server, with state=live or state=leaving, and a group "instance:ID"
   for each instance. It is delayed and only a hint: servers that it does not
   name count as live.  */
static gboolean
accept_registry (struct core *core, GBytes *body)
{
  GKeyFile *file = g_key_file_new ();
  gboolean ok = g_key_file_load_from_bytes (file, body, G_KEY_FILE_NONE, NULL);
  char **groups = ok ? g_key_file_get_groups (file, NULL) : NULL;
  if (ok)
    g_hash_table_remove_all (core->listed_leaving);
  for (guint i = 0; groups != NULL && groups[i] != NULL; i++)
    {
      char *state = g_key_file_get_string (file, groups[i], "state", NULL);
      if (g_str_has_prefix (groups[i], "instance:"))
        dial_listed_instance (core, file, groups[i]);
      else if (state != NULL && strcmp (state, "leaving") == 0)
        g_hash_table_add (core->listed_leaving, g_strdup (groups[i]));
      g_free (state);
    }
  if (ok)
    core_shards_update_leaving (core);
  g_strfreev (groups);
  g_key_file_unref (file);
  return ok;
}

struct tree
{
  const struct core *core;
  guint64 seed;
  struct
  {
    guint64 score;
    const struct member_instance *instance;
  } nodes[TREE_MAX];
  guint n;
};

static void
add_to_tree (void *ctx, const struct member_instance *instance)
{
  struct tree *tree = ctx;
  if (!instance->live || tree->n == TREE_MAX
      || strcmp (instance->domain.s, tree->core->domain.s) != 0)
    return;
  tree->nodes[tree->n].score = str_hash (str_of (instance->id.s), tree->seed);
  tree->nodes[tree->n++].instance = instance;
}

static gint
by_score (gconstpointer a, gconstpointer b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;
  return x < y ? -1 : x > y;
}

static void
push_to (struct core *core, guint object, const struct member_instance *to)
{
  struct follower *follower = core->objects[object].follower;
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  guint64 has = object == CORE_OBJECT_CONFIG ? to->config_version
                                             : to->registry_version;
  if (strcmp (to->id.s, core->self.s) == 0
      || has >= follower_version (follower))
    return;
  str_id_set (&msg.object_body.object, str_of (object_names[object]));
  msg.object_body.version = follower_version (follower);
  msg.object_body.body.p
      = g_bytes_get_data (follower_body (follower), &msg.object_body.body.n);
  core_send (core, to->id.s, &msg);
}

/* Sends the version in force to this instance's children in the tree. If the
   version came from the store, sends it also to the instances at the top of
   the tree.  */
static void
push_version (struct core *core, guint object, gboolean from_store)
{
  struct tree *tree = g_new0 (struct tree, 1);
  guint self = 0;
  tree->core = core;
  tree->seed = follower_version (core->objects[object].follower);
  member_each (core->membership, add_to_tree, tree);
  qsort (tree->nodes, tree->n, sizeof tree->nodes[0], by_score);
  while (self < tree->n
         && strcmp (tree->nodes[self].instance->id.s, core->self.s) != 0)
    self++;
  for (guint i = 0; i < PUSH_FANOUT; i++)
    {
      guint child = self * PUSH_FANOUT + PUSH_FANOUT + i;
      if (child < tree->n)
        push_to (core, object, tree->nodes[child].instance);
      if (from_store && i < tree->n)
        push_to (core, object, tree->nodes[i].instance);
    }
  g_free (tree);
}

static gboolean
accept_version (void *ctx, guint64 version, GBytes *body,
                enum follower_source source)
{
  struct core_object_sync *sync = ctx;
  struct core *core = sync->core;
  gboolean ok = sync->object == CORE_OBJECT_CONFIG
                    ? accept_config (core, version, body)
                    : accept_registry (core, body);
  sync->push_pending = ok;
  sync->from_store = source != FOLLOWER_FROM_PEER;
  return ok;
}

static void
start_store_call (void *ctx, guint64 token, const struct storage_request *call)
{
  struct core_object_sync *sync = ctx;
  core_start_store_call (sync->core, CORE_ORIGIN_OBJECT + sync->object, token,
                         call);
}

static void
request_object (void *ctx, const char *peer, guint64 version)
{
  struct core_object_sync *sync = ctx;
  struct msg msg = { .kind = MSG_OBJECT_REQUEST };
  str_id_set (&msg.object_request.object, str_of (object_names[sync->object]));
  msg.object_request.version = version;
  core_send (sync->core, peer, &msg);
}

void
core_object_init (struct core *core)
{
  for (guint i = 0; i < CORE_OBJECT_COUNT; i++)
    {
      struct core_object_sync *sync = &core->objects[i];
      sync->core = core;
      sync->object = i;
      const struct follower_options options = {
        .clk = core->clk,
        .seed = g_rand_int (core->rand),
        .counter_set = i == CORE_OBJECT_CONFIG ? core->counter_set : NULL,
        .object = object_names[i],
        .store = start_store_call,
        .accept = accept_version,
        .request = request_object,
        .ctx = sync,
      };
      sync->follower = follower_new (&options);
    }
}

void
core_object_free (struct core *core)
{
  for (guint i = 0; i < CORE_OBJECT_COUNT; i++)
    follower_free (core->objects[i].follower);
}

static gboolean
is_designated_reader (const struct core *core)
{
  for (guint rank = 0; rank < READERS; rank++)
    {
      const struct member_instance *reader
          = member_owner (core->membership, STR_LIT ("watch"), rank);
      if (reader != NULL && strcmp (reader->id.s, core->self.s) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Sends a new version to peers once it is in force, and announces it by a
   heartbeat.  */
static void
push_if_pending (struct core *core, guint object)
{
  struct core_object_sync *sync = &core->objects[object];
  if (!sync->push_pending)
    return;
  sync->push_pending = FALSE;
  member_set_versions (
      core->membership,
      follower_version (core->objects[CORE_OBJECT_CONFIG].follower),
      follower_version (core->objects[CORE_OBJECT_REGISTRY].follower));
  push_version (core, object, sync->from_store);
  core->heartbeat_at = 0;
}

/* Updates the choice of the designated readers and runs the objects'
   timers.  */
void
core_object_tick (struct core *core)
{
  gint64 now = clk_now (core->clk);
  if (now - core->started >= CORE_DISCOVERY_US && now >= core->readers_at)
    {
      core->readers_at = now + CORE_READERS_INTERVAL_US;
      for (guint i = 0; i < CORE_OBJECT_COUNT; i++)
        follower_set_watcher (core->objects[i].follower,
                              is_designated_reader (core));
    }
  for (guint i = 0; i < CORE_OBJECT_COUNT; i++)
    {
      follower_tick (core->objects[i].follower);
      push_if_pending (core, i);
    }
}

/* Handles the store's response to a call for OBJECT.  */
void
core_object_store_response (struct core *core, guint object, guint64 token,
                            const struct storage_response *response)
{
  follower_complete (core->objects[object].follower, token, response);
  push_if_pending (core, object);
}

static int
find_object (const char *name)
{
  for (int i = 0; i < CORE_OBJECT_COUNT; i++)
    if (strcmp (object_names[i], name) == 0)
      return i;
  return -1;
}

/* Handles a request of instance FROM, which has an older version.  */
void
core_object_requested (struct core *core, const char *from,
                       const struct msg_object_request *request)
{
  int object = find_object (request->object.s);
  const struct member_instance *peer = member_find (core->membership, from);
  if (object < 0 || peer == NULL)
    return;
  struct member_instance behind = *peer;
  behind.config_version = request->version;
  behind.registry_version = request->version;
  push_to (core, (guint)object, &behind);
}

/* Handles a version sent by a peer.  */
void
core_object_received (struct core *core, const struct msg_object_body *body)
{
  int object = find_object (body->object.s);
  if (object < 0)
    return;
  GBytes *bytes = g_bytes_new (body->body.p, body->body.n);
  follower_receive (core->objects[object].follower, body->version, bytes);
  g_bytes_unref (bytes);
  push_if_pending (core, (guint)object);
}

/* Records which versions instance FROM has.  */
void
core_object_peer_versions (struct core *core, const char *from,
                           const struct msg_heartbeat *heartbeat)
{
  follower_peer_has (core->objects[CORE_OBJECT_CONFIG].follower, from,
                     heartbeat->config_version);
  follower_peer_has (core->objects[CORE_OBJECT_REGISTRY].follower, from,
                     heartbeat->registry_version);
}

/* Starts an operator's update of the configuration: BODY replaces version
   EXPECTED. DONE is called once, unless CORE is freed before. Returns < 0 if
   too many updates are in progress; DONE is not called then.  */
int
core_update_config (struct core *core, guint64 expected, GBytes *body,
                    follower_done done, void *ctx)
{
  return follower_update (core->objects[CORE_OBJECT_CONFIG].follower, expected,
                          body, done, ctx);
}

/* Adds the shared objects to JSON as an array.  */
void
core_object_dump (const struct core *core, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < CORE_OBJECT_COUNT; i++)
    follower_dump (core->objects[i].follower, json);
  json_builder_end_array (json);
}
