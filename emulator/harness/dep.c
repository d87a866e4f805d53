#include "harness/dep.h"

#include <string.h>

#define PROGRAMS "packages/jacinthward/" /* below the build folder */
#define STANDINS "emulator/standin/"
#define START_TRIES_MAX 3
#define LETTERS 26 /* that end the names of instances; then numbers */

static const char config_head[]
    = "[jacinthward]\n"
      "preset=%s\n"
      "[preset:ordinary]\n"
      "spill=anywhere\n"
      "[preset:peak]\n"
      "spill=anywhere\n"
      "class.batch.max_waiting=32\n"
      "[preset:maintenance]\n"
      "spill=anywhere\n"
      "limit_scale=0.5\n"
      "[class:urgent]\n"
      "tier=0\nttft_ms=2000\ntbt_ms=200\ndeadline_ms=60000\nmin_share=0.3\n"
      "max_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[class:batch]\n"
      "tier=2\nttft_ms=0\ntbt_ms=0\ndeadline_ms=60000\nmin_share=0.1\n"
      "max_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[team:crew]\n"
      "key_sha256=%s\n"
      "weight=1\nmax_running=0\nclasses=urgent;batch\ndefault_class=urgent\n"
      "[operator:ops]\n"
      "token_sha256=%s\n"
      "write=yes\n"
      "[model:assistant]\n"
      "[service:account]\n"
      "repeatable=no\n";

static void
add_backend (GString *text, const struct dep_node *node, const char *pool,
             guint max_running)
{
  g_string_append_printf (text,
                          "[backend:%s]\n"
                          "address=127.0.0.1:%d\n"
                          "pool=%s\ndomain=%s\nmax_running=%u\n",
                          node->name, node->proc->port, pool, node->domain,
                          max_running);
}

gboolean
dep_checks_fence (guint engine)
{
  return engine % 2 == 0;
}

static GKeyFile *
read_example (const struct dep *dep, const char *name)
{
  GKeyFile *file = g_key_file_new ();
  char *path = g_build_filename (JW_SOURCE_DIR, "examples",
                                 dep->options.example, name, NULL);
  if (!g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, NULL))
    g_printerr ("%s cannot be read\n", path);
  g_free (path);
  return file;
}

static void
set_digest (GKeyFile *file, const char *group, const char *key,
            const char *secret)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, secret, -1);
  g_key_file_set_string (file, group, key, digest);
  g_free (digest);
}

static void
set_port (GKeyFile *file, const char *group, const char *key, int port)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", port);
  g_key_file_set_string (file, group, key, address);
  g_free (address);
}

/* Puts the ports of the N stand-ins in place of the example's: those of a pool
   and failure domain in the order of their names.  */
static void
set_backends (GKeyFile *file, const struct dep_node *nodes, guint n,
              const char *kind)
{
  for (guint i = 0; i < n; i++)
    {
      const char *number = strrchr (nodes[i].name, '-') + 1;
      char *group
          = g_strdup_printf ("backend:%s-%s-%s", nodes[i].domain, kind, number);
      set_port (file, group, "address", nodes[i].proc->port);
      g_free (group);
    }
}

/* Returns the example's configuration with the ports of the stand-ins and the
   keys of the tests.  */
static char *
example_config (const struct dep *dep, const char *preset)
{
  GKeyFile *file = read_example (dep, "config.ini");
  set_backends (file, dep->engines, dep->n_engines, "engine");
  set_backends (file, dep->services, dep->n_services, "account");
  set_digest (file, "team:crew", "key_sha256", DEP_TEAM_KEY);
  set_digest (file, "operator:ops", "token_sha256", DEP_OPERATOR_TOKEN);
  g_key_file_set_string (file, "jacinthward", "preset", preset);
  char *text = g_key_file_to_data (file, NULL, NULL);
  g_key_file_unref (file);
  return text;
}

char *
dep_config (const struct dep *dep, const char *preset)
{
  if (dep->options.example != NULL)
    return example_config (dep, preset);
  GString *text = g_string_new (NULL);
  char *key
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, DEP_TEAM_KEY, -1);
  char *token = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                               DEP_OPERATOR_TOKEN, -1);
  guint max_running = dep->options.max_running;
  g_string_append_printf (text, config_head, preset, key, token);
  for (const struct dep_domain *d = dep->options.domains; d->name != NULL; d++)
    g_string_append_printf (text, "[domain:%s]\nregion=%s\n", d->name,
                            d->region);
  for (guint i = 0; i < dep->n_engines; i++)
    {
      add_backend (text, &dep->engines[i], "assistant",
                   max_running ? max_running : 64);
      if (dep->options.mixed_fences)
        g_string_append_printf (text, "checks_fence=%s\n",
                                dep_checks_fence (i) ? "yes" : "no");
    }
  for (guint i = 0; i < dep->n_services; i++)
    add_backend (text, &dep->services[i], "account", 32);
  g_free (key);
  g_free (token);
  return g_string_free (text, FALSE);
}

static gboolean
put_config (struct dep *dep)
{
  char *text = dep_config (dep, "ordinary");
  static const char *const headers[] = { "If-None-Match", "*", NULL };
  const struct har_call call = {
    .method = "PUT",
    .port = dep->platform->port,
    .path = "/objects/config",
    .headers = headers,
    .body = text,
  };
  struct har_reply *reply = har_call (&call);
  gboolean ok = reply->status == 200;
  har_reply_free (reply);
  g_free (text);
  return ok;
}

static struct har_proc *
start_standin (struct dep *dep, const char *program, const char *name,
               const char *const *args)
{
  GPtrArray *argv = g_ptr_array_new ();
  char *path = g_strconcat (STANDINS, program, NULL);
  char *history = g_strdup_printf ("%s/%s.history", har_dir (dep->har), name);
  const char *const fixed[]
      = { path, "--name", name, "--history", history, NULL };
  for (guint i = 0; fixed[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)fixed[i]);
  if (dep->options.mixed_fences && strcmp (program, "standin_engine") == 0
      && !dep_checks_fence (dep->n_engines - 1))
    {
      g_ptr_array_add (argv, "--checks-fence");
      g_ptr_array_add (argv, "no");
    }
  for (guint i = 0; args != NULL && args[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)args[i]);
  g_ptr_array_add (argv, NULL);
  struct har_proc *proc
      = har_start (dep->har, name, (const char *const *)argv->pdata);
  g_ptr_array_unref (argv);
  g_free (history);
  g_free (path);
  return proc != NULL && har_wait_ready (proc) ? proc : NULL;
}

static gboolean
start_standins (struct dep *dep, const struct dep_domain *domain,
                struct dep_node *nodes, guint *n, guint count, const char *kind,
                const char *const *args)
{
  char *program = g_strconcat ("standin_", kind, NULL);
  gboolean ok = TRUE;
  for (guint i = 0; i < count && ok; i++)
    {
      struct dep_node *node = &nodes[(*n)++];
      node->domain = domain->name;
      node->region = domain->region;
      g_snprintf (node->name, sizeof node->name, "%s-%s-%u", domain->name, kind,
                  i + 1);
      node->proc = start_standin (dep, program, node->name, args);
      ok = node->proc != NULL;
    }
  g_free (program);
  return ok;
}

static void
place_entries (struct dep *dep, const struct dep_domain *domain)
{
  for (guint i = 0; i < domain->entries; i++)
    {
      struct dep_node *node = &dep->entries[dep->n_entries++];
      node->domain = domain->name;
      node->region = domain->region;
      node->peer_port = har_free_port ();
      g_snprintf (node->name, sizeof node->name, "%s-%c", domain->name,
                  'a' + (char)(i % LETTERS));
      if (i >= LETTERS)
        g_snprintf (node->name, sizeof node->name, "%s-%u", domain->name, i);
    }
}

/* Returns the settings of the example's instance with this run's ports.  */
static char *
example_settings (const struct dep *dep, const struct dep_node *node,
                  const char *peers, const char *key)
{
  char *name = g_strconcat (node->name, ".ini", NULL);
  GKeyFile *file = read_example (dep, name);
  g_key_file_set_string (file, "instance", "charts", JW_SOURCE_DIR "/charts");
  set_port (file, "listen", "callers", 0);
  set_port (file, "listen", "admin", 0);
  set_port (file, "listen", "peers", node->peer_port);
  g_key_file_set_string (file, "peers", "addresses", peers);
  g_key_file_set_string (file, "peers", "key_file", key);
  set_port (file, "platform", "address", dep->platform->port);
  g_key_file_set_string (file, "limits", "shutdown_grace_ms", "300");
  char *text = g_key_file_to_data (file, NULL, NULL);
  g_key_file_unref (file);
  g_free (name);
  return text;
}

static char *
made_settings (const struct dep *dep, const struct dep_node *node,
               const char *peers, const char *key)
{
  return g_strdup_printf (
      "[instance]\nid=%s\ndomain=%s\nregion=%s\nlog_level=info\ncharts=%s\n"
      "[listen]\ncallers=127.0.0.1:0\nadmin=127.0.0.1:0\n"
      "peers=127.0.0.1:%d\n"
      "[peers]\naddresses=%s\nkey_file=%s\n"
      "[platform]\naddress=127.0.0.1:%d\n"
      "[limits]\n%s\n",
      node->name, node->domain, node->region, JW_SOURCE_DIR "/charts",
      node->peer_port, peers, key, dep->platform->port,
      dep->options.limits ? dep->options.limits : "shutdown_grace_ms=300");
}

static char *
write_settings (struct dep *dep, const struct dep_node *node)
{
  const char *dir = har_dir (dep->har);
  GString *peers = g_string_new (NULL);
  char *path = g_strdup_printf ("%s/%s.ini", dir, node->name);
  char *key = g_strdup_printf ("%s/peer.key", dir);
  for (guint i = 0; i < dep->n_entries; i++)
    g_string_append_printf (peers, "127.0.0.1:%d;", dep->entries[i].peer_port);
  char *text = dep->options.example != NULL
                   ? example_settings (dep, node, peers->str, key)
                   : made_settings (dep, node, peers->str, key);
  g_file_set_contents (key, "a shared key of the test's instances", -1, NULL);
  g_file_set_contents (path, text, -1, NULL);
  g_string_free (peers, TRUE);
  g_free (text);
  g_free (key);
  return path;
}

static gboolean
start_entry (struct dep *dep, struct dep_node *node)
{
  char *settings = write_settings (dep, node);
  const char *const argv[]
      = { PROGRAMS "jacinthward", "--settings", settings, NULL };
  node->proc = har_start (dep->har, node->name, argv);
  g_free (settings);
  return node->proc != NULL && har_wait_ready (node->proc);
}

/* Another process may have taken the port meanwhile; then another is
   chosen.  */
gboolean
dep_start_entry (struct dep *dep, guint i)
{
  struct dep_node *node = &dep->entries[i];
  for (guint tries = 0; tries < START_TRIES_MAX; tries++)
    {
      if (start_entry (dep, node))
        return TRUE;
      node->peer_port = har_free_port ();
    }
  return FALSE;
}

static gboolean
is_ready (void *ctx)
{
  const struct dep_node *node = ctx;
  const struct har_call call
      = { .port = node->proc->admin_port, .path = "/readyz" };
  struct har_reply *reply = har_call (&call);
  gboolean ready = reply->status == 200;
  har_reply_free (reply);
  return ready;
}

gboolean
dep_wait_ready (struct dep *dep, guint i)
{
  return har_wait_until (is_ready, &dep->entries[i], HAR_DEADLINE_MS);
}

static gboolean
start_all (struct dep *dep)
{
  const struct dep_options *options = &dep->options;
  dep->platform = start_standin (dep, "standin_platform", "platform", NULL);
  if (dep->platform == NULL)
    return FALSE;
  for (const struct dep_domain *d = options->domains; d->name != NULL; d++)
    {
      if (!start_standins (dep, d, dep->engines, &dep->n_engines, d->engines,
                           "engine", options->engine_args)
          || !start_standins (dep, d, dep->services, &dep->n_services,
                              d->services, "service", NULL))
        return FALSE;
      place_entries (dep, d);
    }
  if (!options->no_config && !put_config (dep))
    return FALSE;
  for (guint i = 0; i < dep->n_entries; i++)
    if (!dep_start_entry (dep, i))
      return FALSE;
  for (guint i = 0; i < dep->n_entries && !options->no_config; i++)
    if (!dep_wait_ready (dep, i))
      return FALSE;
  return TRUE;
}

struct dep *
dep_start (struct har *har, const struct dep_options *options)
{
  struct dep *dep = g_new0 (struct dep, 1);
  dep->har = har;
  dep->options = *options;
  if (start_all (dep))
    return dep;
  dep_free (dep);
  return NULL;
}

void
dep_free (struct dep *dep)
{
  g_free (dep);
}

struct har_reply *
dep_chat (struct dep *dep, guint i, const char *class_name, const char *prompt,
          gboolean streamed)
{
  char *body = g_strdup_printf (
      "{\"model\":\"assistant\",\"stream\":%s,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
      streamed ? "true" : "false", prompt);
  const char *const headers[]
      = { "Authorization", DEP_TEAM_BEARER, "Jacinthward-Class",
          class_name ? class_name : "urgent", NULL };
  const struct har_call call = {
    .port = dep->entries[i].proc->http_port,
    .path = "/v1/chat/completions",
    .headers = headers,
    .body = body,
    .timeout_ms = 3 * HAR_DEADLINE_MS,
  };
  struct har_reply *reply = har_call (&call);
  g_free (body);
  return reply;
}

struct har_reply *
dep_activate (struct dep *dep, guint i, const char *body, const char *key)
{
  const char *const keyed[]
      = { "Authorization", DEP_TEAM_BEARER, "Idempotency-Key", key, NULL };
  const char *const plain[] = { "Authorization", DEP_TEAM_BEARER, NULL };
  const struct har_call call = {
    .port = dep->entries[i].proc->http_port,
    .path = "/services/account/activate",
    .headers = key ? keyed : plain,
    .body = body,
    .timeout_ms = 3 * HAR_DEADLINE_MS,
  };
  return har_call (&call);
}

gint64
dep_counter (struct dep *dep, guint i, const char *name)
{
  const char *const headers[] = { "Authorization", DEP_OPERATOR_BEARER, NULL };
  const struct har_call call = { .port = dep->entries[i].proc->admin_port,
                                 .path = "/stats",
                                 .headers = headers };
  struct har_reply *reply = har_call (&call);
  JsonNode *root = har_reply_json (reply);
  gint64 value = -1;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    value = json_object_get_int_member_with_default (
        json_node_get_object (root), name, -1);
  g_clear_pointer (&root, json_node_unref);
  har_reply_free (reply);
  return value;
}

char *
dep_error (const struct har_reply *reply, const char *name)
{
  JsonNode *root = har_reply_json (reply);
  char *value = NULL;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      JsonObject *object = json_node_get_object (root);
      JsonNode *error = json_object_get_member (object, "error");
      if (error != NULL && JSON_NODE_HOLDS_OBJECT (error))
        value = g_strdup (json_object_get_string_member_with_default (
            json_node_get_object (error), name, NULL));
    }
  g_clear_pointer (&root, json_node_unref);
  return value;
}
