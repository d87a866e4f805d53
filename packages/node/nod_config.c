/* The objects of the platform that every instance follows: the configuration
   and the platform's list of servers. Two watchers a failure domain read
   them; the others get them from peers, over a tree that each instance works
   out for itself, and what a lost push leaves behind is asked for once a
   heartbeat tells of a newer version.  */
#include "node/nod_int.h"

#include <string.h>

#define WATCHERS 2
#define PUSH_FANOUT 4
#define LIST_MAX 1024 /* instances in the tree */

/* X (NAME, "object") in the order of nod->follows */
#define FOLLOWED(X)                                                            \
  X (CONFIG, "config")                                                         \
  X (FLEET, "fleet")

static const char *const object_names[NOD_FOLLOWED] = {
#define FOLLOWED_NAME(id, name) name,
  FOLLOWED (FOLLOWED_NAME)
#undef FOLLOWED_NAME
};

/* Takes over CFG if it is newer than what is in force. Returns whether it
   did; versions never go back.  */
gboolean
nod_set_config (struct nod *nod, struct cfg *cfg)
{
  if (nod->cfg != NULL && cfg->version <= nod->cfg->version)
    {
      ctr_add (nod->ctr, CTR_CONFIG_STALE, 1);
      return FALSE;
    }
  if (nod->cfg == NULL)
    nod->ready_at = clk_now (nod->clk) + NOD_SETTLE_US;
  cfg_unref (nod->cfg);
  nod->cfg = cfg_ref (cfg);
  nod->summary_at = 0;
  nod_cell_config (nod);
  nod_lease_config (nod);
  nod_ticket_view_changed (nod, NULL);
  struct nod_action action = { .kind = NOD_DO_CONFIG };
  action.config = nod->cfg;
  nod->act (nod->ctx, &action);
  return TRUE;
}

static gboolean
accept_config (struct nod *nod, guint64 version, GBytes *body)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct cfg *cfg = cfg_parse (body, version, problems);
  if (cfg != NULL)
    nod_set_config (nod, cfg);
  else
    {
      struct nod_action action = { .kind = NOD_DO_CONFIG_BAD };
      action.config_bad.version = version;
      action.config_bad.problems = problems;
      nod->act (nod->ctx, &action);
    }
  gboolean ok = cfg != NULL;
  cfg_unref (cfg);
  g_ptr_array_unref (problems);
  return ok;
}

static void
take_instance (struct nod *nod, GKeyFile *file, const char *group)
{
  char *domain = g_key_file_get_string (file, group, "domain", NULL);
  char *address = g_key_file_get_string (file, group, "address", NULL);
  if (domain != NULL && address != NULL && strcmp (domain, nod->domain.s) == 0)
    nod_dial (nod, address);
  g_free (domain);
  g_free (address);
}

/* The list has a group a backend server with state=live or state=leaving,
   and a group "instance:ID" an instance. It lags and is only a hint: servers
   that it does not name are taken as live.  */
static gboolean
accept_fleet (struct nod *nod, GBytes *body)
{
  GKeyFile *file = g_key_file_new ();
  gboolean ok = g_key_file_load_from_bytes (file, body, G_KEY_FILE_NONE, NULL);
  char **groups = ok ? g_key_file_get_groups (file, NULL) : NULL;
  if (ok)
    g_hash_table_remove_all (nod->listed_leaving);
  for (guint i = 0; groups != NULL && groups[i] != NULL; i++)
    {
      char *state = g_key_file_get_string (file, groups[i], "state", NULL);
      if (g_str_has_prefix (groups[i], "instance:"))
        take_instance (nod, file, groups[i]);
      else if (state != NULL && strcmp (state, "leaving") == 0)
        g_hash_table_add (nod->listed_leaving, g_strdup (groups[i]));
      g_free (state);
    }
  if (ok)
    nod_cell_leaving_changed (nod);
  g_strfreev (groups);
  g_key_file_unref (file);
  return ok;
}

struct tree
{
  const struct nod *nod;
  guint64 seed;
  struct
  {
    guint64 score;
    const struct member_instance *instance;
  } nodes[LIST_MAX];
  guint n;
};

static void
add_to_tree (void *ctx, const struct member_instance *instance)
{
  struct tree *tree = ctx;
  if (!instance->live || tree->n == LIST_MAX
      || strcmp (instance->domain.s, tree->nod->domain.s) != 0)
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
push_to (struct nod *nod, guint object, const struct member_instance *to)
{
  struct cft *cft = nod->follows[object].cft;
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  guint64 has = object == NOD_CONFIG ? to->config_version : to->fleet_version;
  if (strcmp (to->id.s, nod->self.s) == 0 || has >= cft_version (cft))
    return;
  str_id_set (&msg.object_body.object, str_of (object_names[object]));
  msg.object_body.version = cft_version (cft);
  msg.object_body.body.p
      = g_bytes_get_data (cft_body (cft), &msg.object_body.body.n);
  nod_send (nod, to->id.s, &msg);
}

/* Pushes the version in force to this instance's children in the tree; from
   the store also to the tree's first ones.  */
static void
push (struct nod *nod, guint object, gboolean from_store)
{
  struct tree *tree = g_new0 (struct tree, 1);
  guint self = 0;
  tree->nod = nod;
  tree->seed = cft_version (nod->follows[object].cft);
  member_each (nod->membership, add_to_tree, tree);
  qsort (tree->nodes, tree->n, sizeof tree->nodes[0], by_score);
  while (self < tree->n
         && strcmp (tree->nodes[self].instance->id.s, nod->self.s) != 0)
    self++;
  for (guint i = 0; i < PUSH_FANOUT; i++)
    {
      guint child = self * PUSH_FANOUT + PUSH_FANOUT + i;
      if (child < tree->n)
        push_to (nod, object, tree->nodes[child].instance);
      if (from_store && i < tree->n)
        push_to (nod, object, tree->nodes[i].instance);
    }
  g_free (tree);
}

static gboolean
on_accept (void *ctx, guint64 version, GBytes *body, enum cft_source source)
{
  struct nod_follow *follow = ctx;
  struct nod *nod = follow->nod;
  gboolean ok = follow->object == NOD_CONFIG
                    ? accept_config (nod, version, body)
                    : accept_fleet (nod, body);
  follow->push = ok;
  follow->from_store = source != CFT_FROM_PEER;
  return ok;
}

static void
on_store (void *ctx, guint64 token, const struct sto_call *call)
{
  struct nod_follow *follow = ctx;
  nod_store (follow->nod, NOD_CALLER_OBJECT + follow->object, token, call);
}

static void
on_ask (void *ctx, const char *peer, guint64 version)
{
  struct nod_follow *follow = ctx;
  struct msg msg = { .kind = MSG_OBJECT_ASK };
  str_id_set (&msg.object_ask.object, str_of (object_names[follow->object]));
  msg.object_ask.version = version;
  nod_send (follow->nod, peer, &msg);
}

void
nod_config_init (struct nod *nod)
{
  for (guint i = 0; i < NOD_FOLLOWED; i++)
    {
      struct nod_follow *follow = &nod->follows[i];
      follow->nod = nod;
      follow->object = i;
      const struct cft_options options = {
        .clk = nod->clk,
        .seed = g_rand_int (nod->rand),
        .ctr = i == NOD_CONFIG ? nod->ctr : NULL,
        .object = object_names[i],
        .store = on_store,
        .accept = on_accept,
        .ask = on_ask,
        .ctx = follow,
      };
      follow->cft = cft_new (&options);
    }
}

void
nod_config_free (struct nod *nod)
{
  for (guint i = 0; i < NOD_FOLLOWED; i++)
    cft_free (nod->follows[i].cft);
}

static gboolean
is_watcher (const struct nod *nod)
{
  for (guint rank = 0; rank < WATCHERS; rank++)
    {
      const struct member_instance *watcher
          = member_owner (nod->membership, STR_LIT ("watch"), rank);
      if (watcher != NULL && strcmp (watcher->id.s, nod->self.s) == 0)
        return TRUE;
    }
  return FALSE;
}

/* A new version is pushed once the follower has taken it over.  */
static void
push_if_new (struct nod *nod, guint object)
{
  struct nod_follow *follow = &nod->follows[object];
  if (!follow->push)
    return;
  follow->push = FALSE;
  member_set_versions (nod->membership,
                       cft_version (nod->follows[NOD_CONFIG].cft),
                       cft_version (nod->follows[NOD_FLEET].cft));
  push (nod, object, follow->from_store);
  nod->heartbeat_at = 0;
}

/* Chooses the watchers anew and runs the followers' timers.  */
void
nod_config_tick (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  if (now - nod->started >= NOD_GATHER_US && now >= nod->watch_at)
    {
      nod->watch_at = now + NOD_WATCHERS_US;
      for (guint i = 0; i < NOD_FOLLOWED; i++)
        cft_set_watcher (nod->follows[i].cft, is_watcher (nod));
    }
  for (guint i = 0; i < NOD_FOLLOWED; i++)
    {
      cft_tick (nod->follows[i].cft);
      push_if_new (nod, i);
    }
}

/* Takes the platform's answer to a call of object number OBJECT.  */
void
nod_config_answer (struct nod *nod, guint object, guint64 token,
                   const struct sto_answer *answer)
{
  cft_answer (nod->follows[object].cft, token, answer);
  push_if_new (nod, object);
}

static int
find_object (const char *name)
{
  for (int i = 0; i < NOD_FOLLOWED; i++)
    if (strcmp (object_names[i], name) == 0)
      return i;
  return -1;
}

/* Answers a peer that is behind.  */
void
nod_config_ask (struct nod *nod, const char *from,
                const struct msg_object_ask *ask)
{
  int object = find_object (ask->object.s);
  const struct member_instance *peer = member_find (nod->membership, from);
  if (object < 0 || peer == NULL)
    return;
  struct member_instance behind = *peer;
  behind.config_version = ask->version;
  behind.fleet_version = ask->version;
  push_to (nod, (guint)object, &behind);
}

/* Takes a version that a peer sent.  */
void
nod_config_body (struct nod *nod, const struct msg_object_body *body)
{
  int object = find_object (body->object.s);
  if (object < 0)
    return;
  GBytes *bytes = g_bytes_new (body->body.p, body->body.n);
  cft_offer (nod->follows[object].cft, body->version, bytes);
  g_bytes_unref (bytes);
  push_if_new (nod, (guint)object);
}

/* Notes which versions instance FROM has.  */
void
nod_config_peer (struct nod *nod, const char *from,
                 const struct msg_heartbeat *heartbeat)
{
  cft_peer_has (nod->follows[NOD_CONFIG].cft, from, heartbeat->config_version);
  cft_peer_has (nod->follows[NOD_FLEET].cft, from, heartbeat->fleet_version);
}

/* Starts an operator's update of the configuration: BODY takes the place of
   version EXPECTED. DONE is called once, unless the node is freed. Returns
   < 0 if too many updates are in progress; DONE is not called then.  */
int
nod_update_config (struct nod *nod, guint64 expected, GBytes *body,
                   cft_done done, void *ctx)
{
  return cft_update (nod->follows[NOD_CONFIG].cft, expected, body, done, ctx);
}

/* Adds the followed objects to JSON as an array.  */
void
nod_config_dump (const struct nod *nod, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < NOD_FOLLOWED; i++)
    cft_dump (nod->follows[i].cft, json);
  json_builder_end_array (json);
}
