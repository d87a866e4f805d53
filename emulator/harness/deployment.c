#include "harness/deployment.h"

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
add_backend (GString *text, const struct deployment_process *node,
             const char *pool, guint max_running)
{
  g_string_append_printf (text,
                          "[backend:%s]\n"
                          "address=127.0.0.1:%d\n"
                          "pool=%s\ndomain=%s\nmax_running=%u\n",
                          node->name, node->proc->port, pool, node->domain,
                          max_running);
}

gboolean
deployment_checks_fence (guint engine)
{
  return engine % 2 == 0;
}

static GKeyFile *
read_example (const struct deployment *deployment, const char *name)
{
  GKeyFile *file = g_key_file_new ();
  char *path = g_build_filename (JW_SOURCE_DIR, "examples",
                                 deployment->options.example, name, NULL);
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
set_backends (GKeyFile *file, const struct deployment_process *nodes, guint n,
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
example_config (const struct deployment *deployment, const char *preset)
{
  GKeyFile *file = read_example (deployment, "config.ini");
  set_backends (file, deployment->engines, deployment->n_engines, "engine");
  set_backends (file, deployment->services, deployment->n_services, "account");
  set_digest (file, "team:crew", "key_sha256", DEPLOYMENT_TEAM_KEY);
  set_digest (file, "operator:ops", "token_sha256", DEPLOYMENT_OPERATOR_TOKEN);
  g_key_file_set_string (file, "jacinthward", "preset", preset);
  char *text = g_key_file_to_data (file, NULL, NULL);
  g_key_file_unref (file);
  return text;
}

char *
deployment_config (const struct deployment *deployment, const char *preset)
{
  if (deployment->options.example != NULL)
    return example_config (deployment, preset);
  GString *text = g_string_new (NULL);
  char *key = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                             DEPLOYMENT_TEAM_KEY, -1);
  char *token = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                               DEPLOYMENT_OPERATOR_TOKEN, -1);
  guint max_running = deployment->options.max_running;
  g_string_append_printf (text, config_head, preset, key, token);
  for (const struct deployment_domain *d = deployment->options.domains;
       d->name != NULL; d++)
    g_string_append_printf (text, "[domain:%s]\nregion=%s\n", d->name,
                            d->region);
  for (guint i = 0; i < deployment->n_engines; i++)
    {
      add_backend (text, &deployment->engines[i], "assistant",
                   max_running ? max_running : 64);
      if (deployment->options.mixed_fences)
        g_string_append_printf (text, "checks_fence=%s\n",
                                deployment_checks_fence (i) ? "yes" : "no");
    }
  for (guint i = 0; i < deployment->n_services; i++)
    add_backend (text, &deployment->services[i], "account", 32);
  g_free (key);
  g_free (token);
  return g_string_free (text, FALSE);
}

static gboolean
put_config (struct deployment *deployment)
{
  char *text = deployment_config (deployment, "ordinary");
  static const char *const headers[] = { "If-None-Match", "*", NULL };
  const struct harness_request call = {
    .method = "PUT",
    .port = deployment->platform->port,
    .path = "/objects/config",
    .headers = headers,
    .body = text,
  };
  struct harness_response *reply = harness_request (&call);
  gboolean ok = reply->status == 200;
  harness_response_free (reply);
  g_free (text);
  return ok;
}

static struct harness_process *
start_standin (struct deployment *deployment, const char *program,
               const char *name, const char *const *args)
{
  GPtrArray *argv = g_ptr_array_new ();
  char *path = g_strconcat (STANDINS, program, NULL);
  char *history_file = g_strdup_printf (
      "%s/%s.history", harness_dir (deployment->harness), name);
  const char *const fixed[]
      = { path, "--name", name, "--history", history_file, NULL };
  for (guint i = 0; fixed[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)fixed[i]);
  if (deployment->options.mixed_fences
      && strcmp (program, "standin_engine") == 0
      && !deployment_checks_fence (deployment->n_engines - 1))
    {
      g_ptr_array_add (argv, "--checks-fence");
      g_ptr_array_add (argv, "no");
    }
  for (guint i = 0; args != NULL && args[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)args[i]);
  g_ptr_array_add (argv, NULL);
  struct harness_process *proc = harness_start (
      deployment->harness, name, (const char *const *)argv->pdata);
  g_ptr_array_unref (argv);
  g_free (history_file);
  g_free (path);
  return proc != NULL && harness_wait_ready (proc) ? proc : NULL;
}

static gboolean
start_standins (struct deployment *deployment,
                const struct deployment_domain *domain,
                struct deployment_process *nodes, guint *n, guint count,
                const char *kind, const char *const *args)
{
  char *program = g_strconcat ("standin_", kind, NULL);
  gboolean ok = TRUE;
  for (guint i = 0; i < count && ok; i++)
    {
      struct deployment_process *node = &nodes[(*n)++];
      node->domain = domain->name;
      node->region = domain->region;
      g_snprintf (node->name, sizeof node->name, "%s-%s-%u", domain->name, kind,
                  i + 1);
      node->proc = start_standin (deployment, program, node->name, args);
      ok = node->proc != NULL;
    }
  g_free (program);
  return ok;
}

static void
add_instances (struct deployment *deployment,
               const struct deployment_domain *domain)
{
  for (guint i = 0; i < domain->instances; i++)
    {
      struct deployment_process *node
          = &deployment->instances[deployment->n_instances++];
      node->domain = domain->name;
      node->region = domain->region;
      node->peer_port = harness_free_port ();
      g_snprintf (node->name, sizeof node->name, "%s-%c", domain->name,
                  'a' + (char)(i % LETTERS));
      if (i >= LETTERS)
        g_snprintf (node->name, sizeof node->name, "%s-%u", domain->name, i);
    }
}

/* Returns the settings of the example's instance with this run's ports.  */
static char *
example_settings (const struct deployment *deployment,
                  const struct deployment_process *node, const char *peers,
                  const char *key)
{
  char *name = g_strconcat (node->name, ".ini", NULL);
  GKeyFile *file = read_example (deployment, name);
  g_key_file_set_string (file, "instance", "charts", JW_SOURCE_DIR "/charts");
  set_port (file, "listen", "callers", 0);
  set_port (file, "listen", "admin", 0);
  set_port (file, "listen", "peers", node->peer_port);
  g_key_file_set_string (file, "peers", "addresses", peers);
  g_key_file_set_string (file, "peers", "key_file", key);
  set_port (file, "platform", "address", deployment->platform->port);
  g_key_file_set_string (file, "limits", "shutdown_grace_ms", "300");
  char *text = g_key_file_to_data (file, NULL, NULL);
  g_key_file_unref (file);
  g_free (name);
  return text;
}

static char *
made_settings (const struct deployment *deployment,
               const struct deployment_process *node, const char *peers,
               const char *key)
{
  return g_strdup_printf (
      "[instance]\nid=%s\ndomain=%s\nregion=%s\nlog_level=info\ncharts=%s\n"
      "[listen]\ncallers=127.0.0.1:0\nadmin=127.0.0.1:0\n"
      "peers=127.0.0.1:%d\n"
      "[peers]\naddresses=%s\nkey_file=%s\n"
      "[platform]\naddress=127.0.0.1:%d\n"
      "[limits]\n%s\n",
      node->name, node->domain, node->region, JW_SOURCE_DIR "/charts",
      node->peer_port, peers, key, deployment->platform->port,
      deployment->options.limits ? deployment->options.limits
                                 : "shutdown_grace_ms=300");
}

static char *
write_settings (struct deployment *deployment,
                const struct deployment_process *node)
{
  const char *dir = harness_dir (deployment->harness);
  GString *peers = g_string_new (NULL);
  char *path = g_strdup_printf ("%s/%s.ini", dir, node->name);
  char *key = g_strdup_printf ("%s/peer.key", dir);
  for (guint i = 0; i < deployment->n_instances; i++)
    g_string_append_printf (peers, "127.0.0.1:%d;",
                            deployment->instances[i].peer_port);
  char *text = deployment->options.example != NULL
                   ? example_settings (deployment, node, peers->str, key)
                   : made_settings (deployment, node, peers->str, key);
  g_file_set_contents (key, "a shared key of the test's instances", -1, NULL);
  g_file_set_contents (path, text, -1, NULL);
  g_string_free (peers, TRUE);
  g_free (text);
  g_free (key);
  return path;
}

static gboolean
start_instance (struct deployment *deployment, struct deployment_process *node)
{
  char *settings = write_settings (deployment, node);
  const char *const argv[]
      = { PROGRAMS "jacinthward", "--settings", settings, NULL };
  node->proc = harness_start (deployment->harness, node->name, argv);
  g_free (settings);
  return node->proc != NULL && harness_wait_ready (node->proc);
}

/* Another process may have taken the port meanwhile; then another is
   chosen.  */
gboolean
deployment_start_instance (struct deployment *deployment, guint i)
{
  struct deployment_process *node = &deployment->instances[i];
  for (guint tries = 0; tries < START_TRIES_MAX; tries++)
    {
      if (start_instance (deployment, node))
        return TRUE;
      node->peer_port = harness_free_port ();
    }
  return FALSE;
}

static gboolean
is_ready (void *ctx)
{
  const struct deployment_process *node = ctx;
  const struct harness_request call
      = { .port = node->proc->admin_port, .path = "/readyz" };
  struct harness_response *reply = harness_request (&call);
  gboolean ready = reply->status == 200;
  harness_response_free (reply);
  return ready;
}

gboolean
deployment_wait_ready (struct deployment *deployment, guint i)
{
  return harness_wait_until (is_ready, &deployment->instances[i],
                             HARNESS_TIMEOUT_MS);
}

static gboolean
start_all (struct deployment *deployment)
{
  const struct deployment_options *options = &deployment->options;
  deployment->platform
      = start_standin (deployment, "standin_platform", "platform", NULL);
  if (deployment->platform == NULL)
    return FALSE;
  for (const struct deployment_domain *d = options->domains; d->name != NULL;
       d++)
    {
      if (!start_standins (deployment, d, deployment->engines,
                           &deployment->n_engines, d->engines, "engine",
                           options->engine_args)
          || !start_standins (deployment, d, deployment->services,
                              &deployment->n_services, d->services, "service",
                              NULL))
        return FALSE;
      add_instances (deployment, d);
    }
  if (!options->no_config && !put_config (deployment))
    return FALSE;
  for (guint i = 0; i < deployment->n_instances; i++)
    if (!deployment_start_instance (deployment, i))
      return FALSE;
  for (guint i = 0; i < deployment->n_instances && !options->no_config; i++)
    if (!deployment_wait_ready (deployment, i))
      return FALSE;
  return TRUE;
}

struct deployment *
deployment_start (struct harness *harness,
                  const struct deployment_options *options)
{
  struct deployment *deployment = g_new0 (struct deployment, 1);
  deployment->harness = harness;
  deployment->options = *options;
  if (start_all (deployment))
    return deployment;
  deployment_free (deployment);
  return NULL;
}

void
deployment_free (struct deployment *deployment)
{
  g_free (deployment);
}

struct harness_response *
deployment_chat (struct deployment *deployment, guint i, const char *class_name,
                 const char *prompt, gboolean streamed)
{
  char *body = g_strdup_printf (
      "{\"model\":\"assistant\",\"stream\":%s,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
      streamed ? "true" : "false", prompt);
  const char *const headers[]
      = { "Authorization", DEPLOYMENT_TEAM_BEARER, "Jacinthward-Class",
          class_name ? class_name : "urgent", NULL };
  const struct harness_request call = {
    .port = deployment->instances[i].proc->http_port,
    .path = "/v1/chat/completions",
    .headers = headers,
    .body = body,
    .timeout_ms = 3 * HARNESS_TIMEOUT_MS,
  };
  struct harness_response *reply = harness_request (&call);
  g_free (body);
  return reply;
}

struct harness_response *
deployment_activate (struct deployment *deployment, guint i, const char *body,
                     const char *key)
{
  const char *const keyed[] = { "Authorization", DEPLOYMENT_TEAM_BEARER,
                                "Idempotency-Key", key, NULL };
  const char *const plain[] = { "Authorization", DEPLOYMENT_TEAM_BEARER, NULL };
  const struct harness_request call = {
    .port = deployment->instances[i].proc->http_port,
    .path = "/services/account/activate",
    .headers = key ? keyed : plain,
    .body = body,
    .timeout_ms = 3 * HARNESS_TIMEOUT_MS,
  };
  return harness_request (&call);
}

gint64
deployment_counter (struct deployment *deployment, guint i, const char *name)
{
  const char *const headers[]
      = { "Authorization", DEPLOYMENT_OPERATOR_BEARER, NULL };
  const struct harness_request call
      = { .port = deployment->instances[i].proc->admin_port,
          .path = "/stats",
          .headers = headers };
  struct harness_response *reply = harness_request (&call);
  JsonNode *root = harness_response_json (reply);
  gint64 value = -1;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    value = json_object_get_int_member_with_default (
        json_node_get_object (root), name, -1);
  g_clear_pointer (&root, json_node_unref);
  harness_response_free (reply);
  return value;
}

char *
deployment_error (const struct harness_response *reply, const char *name)
{
  JsonNode *root = harness_response_json (reply);
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
