#include "harness/proxy_fleet.h"

#include "unit/unit.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define REAP_MS 3000 /* until a killed process is gone */

static void
write_free (gpointer data)
{
  struct proxy_fleet_write *write = data;
  g_free (write->name);
  g_free (write->body);
  g_free (write);
}

/* Creates object NAME of the store with BODY, or deletes it if BODY is NULL;
   while the store is down, as soon as it is back. */
static void
put (const struct proxy_fleet *fleet, const char *name, const char *body)
{
  if (fleet->store_is_down)
    {
      struct proxy_fleet_write *write = g_new0 (struct proxy_fleet_write, 1);
      *write = (struct proxy_fleet_write){ g_strdup (name), g_strdup (body) };
      g_ptr_array_add (fleet->unwritten, write);
      return;
    }
  char *path = g_strdup_printf ("/objects/%s", name);
  struct harness_request request = { .port = fleet->store->port, .path = path };
  const char *headers[] = { "If-None-Match", "*", NULL };
  struct harness_response *before = harness_request (&request);
  if (body == NULL)
    {
      headers[0] = "If-Match";
      headers[1] = g_hash_table_lookup (before->headers, "etag");
    }
  request.method = body != NULL ? "PUT" : "DELETE";
  request.headers = headers;
  request.body = body;
  struct harness_response *response = harness_request (&request);
  CU_ASSERT_EQUAL (response->status, 200);
  harness_response_free (response);
  harness_response_free (before);
  g_free (path);
}

static char *
server_name (guint number, guint life)
{
  return g_strdup_printf ("servers/s-%u-%u", number, life);
}

void
proxy_fleet_list_server (const struct proxy_fleet *fleet, guint number,
                         guint life, guint port)
{
  char *name = server_name (number, life);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"d%u\","
      "\"version\":\"%s\",\"max_batch\":%u,\"state\":\"ready\","
      "\"born\":%" G_GINT64_FORMAT "}",
      fleet->service ? fleet->service : "pool", port,
      number % PROXY_FLEET_DOMAINS, fleet->version ? fleet->version : "v1",
      fleet->slots ? fleet->slots : 64, g_get_real_time () / 1000);
  put (fleet, name, body);
  g_free (body);
  g_free (name);
}

void
proxy_fleet_unlist_server (const struct proxy_fleet *fleet, guint number,
                           guint life)
{
  char *name = server_name (number, life);
  put (fleet, name, NULL);
  g_free (name);
}

void
proxy_fleet_run_for (guint ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;
  while (g_get_monotonic_time () < end)
    if (!g_main_context_iteration (NULL, FALSE))
      g_usleep (200);
}

static void
launch (struct proxy_fleet *fleet, guint number, guint start)
{
  char *name = g_strdup_printf ("gate-%u-%u", number, start);
  char *redirects = g_strdup_printf ("%s/redirects-%u",
                                     harness_dir (fleet->harness), number);
  g_setenv ("JW_REDIRECTS", redirects, TRUE); /* for redirect_connect */
  g_free (redirects);
  const char *argv[] = { "packages/jacinthward/jacinthward", "--settings",
                         fleet->instances[number].settings, NULL };
  fleet->instances[number].proc = harness_start (fleet->harness, name, argv);
  g_assert (fleet->instances[number].proc != NULL);
  g_free (fleet->instances[number].log);
  fleet->instances[number].log
      = g_strdup_printf ("%s/%s.out", harness_dir (fleet->harness), name);
  g_free (name);
}

void
proxy_fleet_kill_instance (struct proxy_fleet *fleet)
{
  guint number = fleet->n_killed++ % PROXY_FLEET_INSTANCES;
  harness_signal (fleet->instances[number].proc, SIGKILL);
  harness_reap (fleet->instances[number].proc, REAP_MS);
  launch (fleet, number, fleet->n_killed);
}

void
proxy_fleet_end_all (struct proxy_fleet *fleet)
{
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    harness_signal (fleet->instances[i].proc, SIGKILL);
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    harness_reap (fleet->instances[i].proc, REAP_MS);
}

void
proxy_fleet_start_all (struct proxy_fleet *fleet)
{
  fleet->n_killed += PROXY_FLEET_INSTANCES;
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    launch (fleet, i, fleet->n_killed);
}

void
proxy_fleet_set_store_down (struct proxy_fleet *fleet, gboolean down)
{
  g_assert (harness_set_faults (
      fleet->store->port, down ? "{\"down\": true}" : "{\"down\": false}"));
  fleet->store_is_down = down;
  for (guint i = 0; !down && i < fleet->unwritten->len; i++)
    {
      const struct proxy_fleet_write *write = fleet->unwritten->pdata[i];
      put (fleet, write->name, write->body);
    }
  if (!down)
    g_ptr_array_set_size (fleet->unwritten, 0);
}

void
proxy_fleet_resume (struct proxy_fleet *fleet)
{
  guint number = (fleet->n_frozen - 1) % PROXY_FLEET_INSTANCES;
  if (fleet->n_frozen > 0)
    harness_signal (fleet->instances[number].proc, SIGCONT);
}

void
proxy_fleet_freeze_next (struct proxy_fleet *fleet)
{
  proxy_fleet_resume (fleet);
  guint number = fleet->n_frozen++ % PROXY_FLEET_INSTANCES;
  harness_signal (fleet->instances[number].proc, SIGSTOP);
}

static void
add_instance (struct proxy_fleet *fleet, guint number)
{
  struct proxy_fleet_instance *instance = &fleet->instances[number];
  guint pid = (guint)getpid ();
  char *net = g_strdup_printf ("127.%u.%u", 1 + (pid >> 8) % 250, pid % 256);
  int base = 20000 + (int)(pid % 5000) * 3;
  g_snprintf (instance->address, sizeof instance->address, "%s.%u:%d", net,
              10 + number, base);
  g_autofree char *memory = g_strdup_printf ("%u\n", fleet->memory_mb);
  char *text = g_strdup_printf (
      "[instance]\nid=gate-%u\ndomain=d%u\nregion=r\ncharts=" JW_SOURCE_DIR
      "/charts\n[gate]\ncallers=%s\nready=%s.%u:%d\nkey_limit_ms=4000\n"
      "grace_ms=4000\ndrain_ms=3000\nretry_ratio=0.2\nretry_slack=50\n"
      "%s%s[peers]\nlisten=%s.%u:%d\nseeds=%s.10;%s.11;%s.12;\n"
      "[store]\naddress=127.0.0.1:%d\n[domains]\nd0=r\nd1=r\nd2=r\n",
      number, number % PROXY_FLEET_DOMAINS, instance->address, net, 10 + number,
      base + 1, fleet->memory_mb > 0 ? "memory_mb=" : "",
      fleet->memory_mb > 0 ? memory : "", net, 10 + number, base + 2, net, net,
      net, fleet->store->port);
  instance->settings = g_strdup_printf ("%s/gate-%u.ini",
                                        harness_dir (fleet->harness), number);
  g_assert (g_file_set_contents (instance->settings, text, -1, NULL));
  g_free (text);
  g_free (net);
  launch (fleet, number, 0);
}

guint
proxy_fleet_count_logged (const struct proxy_fleet *fleet, const char *event)
{
  guint n = 0;
  char *quoted = g_strdup_printf ("\"event\":\"%s\"", event);
  GDir *dir = g_dir_open (harness_dir (fleet->harness), 0, NULL);
  const char *name;
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (harness_dir (fleet->harness), name, NULL);
      char *text = NULL;
      if (g_str_has_prefix (name, "gate-")
          && g_file_get_contents (path, &text, NULL, NULL))
        for (const char *at = text; (at = strstr (at, quoted)) != NULL; at++)
          n++;
      g_free (text);
      g_free (path);
    }
  g_dir_close (dir);
  g_free (quoted);
  return n;
}

char *
proxy_fleet_log (const struct proxy_fleet *fleet, guint number)
{
  char *text = NULL;
  g_assert (
      g_file_get_contents (fleet->instances[number].log, &text, NULL, NULL));
  return text;
}

struct proxy_fleet *
proxy_fleet_new (const char *config)
{
  const char *argv[]
      = { "emulator/standin/standin_platform", "--history", "/dev/null", NULL };
  struct proxy_fleet *fleet = g_new0 (struct proxy_fleet, 1);
  char *text = NULL;
  fleet->harness = harness_new ();
  fleet->unwritten = g_ptr_array_new_with_free_func (write_free);
  fleet->store = harness_start (fleet->harness, "store", argv);
  g_assert (fleet->store != NULL && harness_wait_ready (fleet->store));
  g_assert (g_file_get_contents (config, &text, NULL, NULL));
  put (fleet, "config/main", text);
  g_free (text);
  return fleet;
}

void
proxy_fleet_launch (struct proxy_fleet *fleet)
{
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    add_instance (fleet, i);
}

void
proxy_fleet_free (struct proxy_fleet *fleet)
{
  for (guint i = 0; i < PROXY_FLEET_INSTANCES; i++)
    {
      g_free (fleet->instances[i].settings);
      g_free (fleet->instances[i].log);
    }
  harness_free (fleet->harness);
  g_ptr_array_unref (fleet->unwritten);
  g_free (fleet);
}
