#include "harness/proxy_site.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define LOOP_SLEEP_US 200
#define SETTLE_STEP_MS 5
#define READY_POLL_MS 10
#define REQUEST_TIMEOUT_MS 2000 /* to the store or the readiness endpoint */
#define READY_TIMEOUT_MS 15000
#define SLOTS_DEFAULT 500
#define GRACE_DEFAULT_MS 5000
#define DRAIN_DEFAULT_MS 3000
/* A connection that ends without a response to a request that was not passed on
   must do so this soon after the last byte of the request. As this process may
   be delayed, it counts when the connection was last seen open.  */
#define CROSSED_WITHIN_US (200 * 1000)
/* A response that takes this much longer than it should was delayed here. */
#define SERVED_LATE_US (300 * 1000)
/* What is unfinished when this part of the grace time is left may be ended. */
#define GRACE_END_PART 6
#define VIOLATIONS_PRINTED 8

/* Creates a site with servers and without instances.  */
struct proxy_site *
proxy_site_new (const struct proxy_site_options *options)
{
  struct proxy_site *site = g_new0 (struct proxy_site, 1);
  site->harness = harness_new ();
  site->options = *options;
  site->born_ms = g_get_real_time () / 1000;
  if (site->options.slots == 0)
    site->options.slots = SLOTS_DEFAULT;
  if (site->options.grace_ms == 0)
    site->options.grace_ms = GRACE_DEFAULT_MS;
  if (site->options.drain_ms == 0)
    site->options.drain_ms = DRAIN_DEFAULT_MS;
  site->clients = g_ptr_array_new_with_free_func (proxy_site_client_free);
  site->requests = g_ptr_array_new ();
  site->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  site->scheduled = g_ptr_array_new ();
  for (guint i = 0; i < PROXY_SITE_SERVERS; i++)
    site->servers[i] = proxy_site_server_new (site, i);
  return site;
}

/* Ends all processes.  */
void
proxy_site_free (struct proxy_site *site)
{
  for (guint i = 0; i < site->scheduled->len; i++)
    {
      g_source_destroy (site->scheduled->pdata[i]);
      g_source_unref (site->scheduled->pdata[i]);
    }
  g_ptr_array_unref (site->scheduled);
  g_ptr_array_unref (site->clients);
  for (guint i = 0; i < PROXY_SITE_SERVERS; i++)
    scripted_server_free (site->servers[i]);
  for (guint i = 0; i < site->requests->len; i++)
    {
      struct proxy_site_request *request = site->requests->pdata[i];
      g_string_free (request->body, TRUE);
      g_free (request);
    }
  g_ptr_array_unref (site->requests);
  g_hash_table_unref (site->by_id);
  for (guint i = 0; i < site->n_instances; i++)
    g_free (site->instances[i].settings);
  harness_free (site->harness);
  g_free (site);
}

/* Writes object NAME to the instance's store: creates it, or replaces the
   present version. Returns whether the store has acknowledged it.  */
static gboolean
put_object (const struct proxy_site_instance *instance, const char *name,
            const char *body)
{
  char *path = g_strdup_printf ("/objects/%s", name);
  struct harness_request call = { .port = instance->store->port,
                                  .path = path,
                                  .timeout_ms = REQUEST_TIMEOUT_MS };
  const char *headers[] = { "If-None-Match", "*", NULL };
  struct harness_response *before = harness_request (&call);
  if (before->status == 200)
    {
      headers[0] = "If-Match";
      headers[1] = g_hash_table_lookup (before->headers, "etag");
    }
  call.method = "PUT";
  call.headers = headers;
  call.body = body;
  struct harness_response *reply = harness_request (&call);
  gboolean ok = reply->status == 200;
  harness_response_free (reply);
  harness_response_free (before);
  g_free (path);
  return ok;
}

static void
substitute (GString *text, const char *name, guint64 value)
{
  char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, value);
  g_string_replace (text, name, number, 0);
  g_free (number);
}

gboolean
proxy_site_put (struct proxy_site_instance *instance,
                const struct proxy_site_config *config)
{
  char *contents = NULL;
  if (!g_file_get_contents (JW_SOURCE_DIR "/platform/test_config.json",
                            &contents, NULL, NULL))
    return FALSE;
  GString *text = g_string_new (contents);
  g_free (contents);
  substitute (text, "@VERSION@", ++instance->config_version);
  substitute (text, "@TIMEOUT_MS@", config->timeout_ms);
  substitute (text, "@IDLE_MS@", config->idle_ms);
  substitute (text, "@OTHER_KEY@", config->other_key);
  g_string_replace (text, "@MOVED_TO@", config->moved ? "pool2" : "pool", 0);
  g_string_replace (text, "@RENAMED@",
                    config->renamed ? "renamed-2" : "renamed", 0);
  gboolean ok = put_object (instance, "config/main", text->str);
  g_string_free (text, TRUE);
  return ok;
}

gboolean
proxy_site_put_servers (struct proxy_site_instance *instance)
{
  const struct proxy_site *site = instance->site;
  gboolean ok = TRUE;
  for (guint i = 0; i < PROXY_SITE_SERVERS; i++)
    {
      char *name = g_strdup_printf ("servers/s-%u", i);
      char *body = g_strdup_printf (
          "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"d0\","
          "\"max_batch\":%u,\"state\":\"ready\",\"born\":%" G_GINT64_FORMAT "}",
          i % 2 == 0 || site->options.one_service ? "pool" : "pool2",
          scripted_server_port (site->servers[i]), site->options.slots,
          site->born_ms);
      ok = put_object (instance, name, body) && ok;
      g_free (name);
      g_free (body);
    }
  return ok;
}

/* Fills in an IP address of the instance's own. Connections of other processes
   come from 127.0.0.1, so that none of them can take a port of the instance
   before it listens.  */
static void
make_ip (char *ip, gsize size, guint instance)
{
  guint pid = (guint)getpid ();
  g_snprintf (ip, size, "127.%u.%u.%u", 1 + (pid >> 8) % 250, pid % 256,
              1 + instance);
}

static gboolean
write_settings (struct proxy_site_instance *instance)
{
  const struct proxy_site *site = instance->site;
  guint number = (guint)(instance - site->instances);
  char *name = g_strdup_printf ("gate-%u", number);
  char ip[16];
  make_ip (ip, sizeof ip, number);
  g_snprintf (instance->address, sizeof instance->address, "%s:%d", ip,
              harness_free_port ());
  g_snprintf (instance->ready_address, sizeof instance->ready_address, "%s:%d",
              ip, harness_free_port ());
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "[instance]\nid=%s\ndomain=d0\nregion=r\ncharts=" JW_SOURCE_DIR
      "/charts\n[gate]\ncallers=%s\nready=%s\nkey_limit_ms=%u\n"
      "grace_ms=%u\ndrain_ms=%u\nretry_ratio=0.2\nretry_slack=50\n"
      "[peers]\nlisten=%s:%d\nseeds=%s;\n"
      "[store]\naddress=127.0.0.1:%d\n[domains]\nd0=r\n",
      name, instance->address, instance->ready_address,
      site->options.key_limit_ms, site->options.grace_ms,
      site->options.drain_ms, ip, harness_free_port (), ip,
      instance->store->port);
  for (guint i = 0; i < site->options.comment_lines; i++)
    g_string_append (text, "#\n");
  instance->settings
      = g_strdup_printf ("%s/%s.ini", harness_dir (site->harness), name);
  gboolean ok = g_file_set_contents (instance->settings, text->str, -1, NULL);
  g_string_free (text, TRUE);
  g_free (name);
  return ok;
}

struct proxy_site_instance *
proxy_site_prepare (struct proxy_site *site)
{
  const char *argv[]
      = { "emulator/standin/standin_platform", "--history", "/dev/null", NULL };
  g_assert (site->n_instances < PROXY_SITE_INSTANCES_MAX);
  struct proxy_site_instance *instance = &site->instances[site->n_instances];
  char *name = g_strdup_printf ("store-%u", site->n_instances++);
  instance->site = site;
  instance->grace_ms = site->options.grace_ms;
  instance->store = harness_start (site->harness, name, argv);
  g_free (name);
  gboolean ok = instance->store != NULL && harness_wait_ready (instance->store)
                && proxy_site_put (instance, &site->options.config)
                && proxy_site_put_servers (instance)
                && write_settings (instance);
  return ok ? instance : NULL;
}

gboolean
proxy_site_launch (struct proxy_site_instance *instance)
{
  const struct proxy_site *site = instance->site;
  char *name = g_strdup_printf ("gate-%u", (guint)(instance - site->instances));
  const char *argv[] = { "packages/jacinthward/jacinthward", "--settings",
                         instance->settings, NULL };
  instance->proc = harness_start (site->harness, name, argv);
  g_free (name);
  return instance->proc != NULL;
}

gboolean
proxy_site_is_ready (struct proxy_site_instance *instance)
{
  static const char request[]
      = "GET /readyz HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
  static const char ok[] = "HTTP/1.1 200 ";
  char reply[sizeof ok - 1];
  gsize n = 0;
  GSocketClient *client = g_socket_client_new ();
  g_socket_client_set_timeout (client, REQUEST_TIMEOUT_MS / 1000);
  GSocketConnection *connection = g_socket_client_connect_to_host (
      client, instance->ready_address, 0, NULL, NULL);
  gboolean ready = FALSE;
  if (connection != NULL)
    {
      GIOStream *stream = G_IO_STREAM (connection);
      ready = g_output_stream_write_all (g_io_stream_get_output_stream (stream),
                                         request, strlen (request), NULL, NULL,
                                         NULL)
              && g_input_stream_read_all (g_io_stream_get_input_stream (stream),
                                          reply, sizeof reply, &n, NULL, NULL)
              && n == sizeof reply && memcmp (reply, ok, sizeof reply) == 0;
      g_object_unref (connection);
    }
  g_object_unref (client);
  return ready;
}

struct proxy_site_instance *
proxy_site_add (struct proxy_site *site)
{
  struct proxy_site_instance *instance = proxy_site_prepare (site);
  if (instance == NULL || !proxy_site_launch (instance))
    return NULL;
  gint64 end = g_get_monotonic_time () + (gint64)READY_TIMEOUT_MS * 1000;
  while (instance->ended_at == 0 && g_get_monotonic_time () < end)
    {
      if (proxy_site_is_ready (instance))
        return instance;
      proxy_site_run_for (site, READY_POLL_MS);
    }
  harness_explain (site->harness);
  return NULL;
}

gboolean
proxy_site_go_back (struct proxy_site_instance *instance, gint64 time)
{
  gint64 ms = (g_get_monotonic_time () - time) / 1000 + 1;
  char *faults = g_strdup_printf ("{\"go_back_ms\": %" G_GINT64_FORMAT "}", ms);
  gboolean ok = harness_set_faults (instance->store->port, faults);
  g_free (faults);
  return ok;
}

void
proxy_site_signal (struct proxy_site_instance *instance, int signal)
{
  if (signal == SIGTERM && instance->terminated_at == 0)
    instance->terminated_at = g_get_monotonic_time ();
  if (signal == SIGSTOP || signal == SIGKILL)
    instance->disturbed_until = G_MAXINT64;
  if (signal == SIGCONT)
    instance->disturbed_until = g_get_monotonic_time ();
  harness_signal (instance->proc, signal);
}

static void
note_ended (struct proxy_site *site)
{
  for (guint i = 0; i < site->n_instances; i++)
    {
      struct proxy_site_instance *instance = &site->instances[i];
      if (instance->proc != NULL && instance->ended_at == 0
          && harness_pid (instance->proc) == 0)
        instance->ended_at = g_get_monotonic_time ();
    }
}

gboolean
proxy_site_run_until (struct proxy_site *site, harness_condition condition,
                      void *ctx, guint ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;
  for (;;)
    {
      gint64 polled_at = g_get_monotonic_time ();
      while (g_main_context_iteration (NULL, FALSE))
        ;
      site->polled_at = polled_at;
      note_ended (site);
      if (condition (ctx))
        return TRUE;
      if (g_get_monotonic_time () >= end)
        return FALSE;
      g_usleep (LOOP_SLEEP_US);
    }
}

static gboolean
never (void *ctx)
{
  (void)ctx;
  return FALSE;
}

void
proxy_site_run_for (struct proxy_site *site, guint ms)
{
  proxy_site_run_until (site, never, NULL, ms);
}

static gboolean
has_ended (void *ctx)
{
  return ((struct proxy_site_instance *)ctx)->ended_at != 0;
}

int
proxy_site_wait_ended (struct proxy_site_instance *instance, guint ms)
{
  if (!proxy_site_run_until (instance->site, has_ended, instance, ms))
    return -1;
  return harness_reap (instance->proc, 0);
}

/* An action that is called at a time, with microseconds rather than the
   milliseconds of g_timeout_add.  */
struct scheduled
{
  GSource base;
  struct proxy_site *site;
  proxy_site_action action;
  gpointer data;
  GDestroyNotify destroy;
};

static gboolean
dispatch_scheduled (GSource *base, GSourceFunc callback, gpointer data)
{
  struct scheduled *scheduled = (struct scheduled *)base;
  (void)callback;
  (void)data;
  scheduled->action (scheduled->data);
  g_ptr_array_remove_fast (scheduled->site->scheduled, base);
  g_source_unref (base);
  return G_SOURCE_REMOVE;
}

static void
finalize_scheduled (GSource *base)
{
  struct scheduled *scheduled = (struct scheduled *)base;
  if (scheduled->destroy != NULL)
    scheduled->destroy (scheduled->data);
}

static GSourceFuncs scheduled_funcs
    = { .dispatch = dispatch_scheduled, .finalize = finalize_scheduled };

void
proxy_site_at (struct proxy_site *site, gint64 at, proxy_site_action action,
               gpointer data, GDestroyNotify destroy)
{
  GSource *base = g_source_new (&scheduled_funcs, sizeof (struct scheduled));
  struct scheduled *scheduled = (struct scheduled *)base;
  scheduled->site = site;
  scheduled->action = action;
  scheduled->data = data;
  scheduled->destroy = destroy;
  g_source_set_ready_time (base, at);
  g_source_attach (base, NULL);
  g_ptr_array_add (site->scheduled, base);
}

static gboolean
is_settled (const struct proxy_site *site)
{
  if (site->scheduled->len > 0)
    return FALSE;
  for (guint i = 0; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      if (request->done_at == 0)
        return FALSE;
    }
  return TRUE;
}

gboolean
proxy_site_settle (struct proxy_site *site, guint ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;
  while (!is_settled (site))
    {
      if (g_get_monotonic_time () >= end)
        return FALSE;
      proxy_site_run_for (site, SETTLE_STEP_MS);
    }
  return TRUE;
}

/* Returns whether the server, which runs in this process, has sent its response
   later than it should have, so that the instance could not deliver it in
   time.  */
static gboolean
was_served_late (const struct proxy_site_request *request)
{
  gint64 due = request->executed_at + (gint64)request->call.respond_ms * 1000;
  return request->executed_at != 0
         && (request->served_at == 0
             || request->served_at > due + SERVED_LATE_US);
}

/* Returns whether the instance may have ended the request before the server's
   response was complete: the end of its grace time had come. A response that
   was completed shortly before may still have been on its way.  */
static gboolean
may_be_cut (const struct proxy_site_request *request)
{
  const struct proxy_site_instance *instance = request->instance;
  gint64 grace_us = (gint64)instance->grace_ms * 1000;
  return (instance->site->options.outlasts_grace || was_served_late (request))
         && instance->terminated_at != 0
         && (request->served_at == 0
             || request->served_at > request->done_at - CROSSED_WITHIN_US)
         && request->done_at >= instance->terminated_at + grace_us
                                    - grace_us / GRACE_END_PART;
}

static const char *
check_success (const struct proxy_site_request *request)
{
  GString *expected = proxy_site_expected_body (request);
  gboolean same = g_string_equal (expected, request->body);
  g_string_free (expected, TRUE);
  if (request->executions == 0)
    return "a success that no server has sent";
  return same ? NULL : "a wrong or incomplete response was marked complete";
}

static const char *
check_incomplete (const struct proxy_site_request *request,
                  struct proxy_site_counts *counts)
{
  if (request->done_at == 0)
    return "neither a response nor the end of the connection";
  if (may_be_cut (request) && request->executions > 0 && request->status != 0)
    {
      counts->cut++;
      return NULL;
    }
  if (request->executions > 0)
    return "passed on to a server, and no complete response";
  if (request->status != 0)
    return "an incomplete response";
  if (request->open_at > request->last_byte_at + CROSSED_WITHIN_US)
    return "the connection ended late and without a response";
  counts->crossed++;
  return NULL;
}

/* Counts the result of REQUEST. Returns the rule that it breaks as static text,
   or NULL.  */
static const char *
check_request (const struct proxy_site_request *request,
               struct proxy_site_counts *counts)
{
  counts->sent++;
  if (request->broken != NULL)
    return request->broken;
  if (request->executions > 1)
    return "ran more than once";
  if (!request->complete)
    return check_incomplete (request, counts);
  switch (request->status)
    {
    case 200:
      counts->served++;
      return check_success (request);
    case 408:
    case 421:
    case 429:
    case 503:
      counts->rejected++;
      return request->executions > 0 ? "reported as not run, but it has run"
                                     : NULL;
    case 401:
    case 404:
      counts->denied++;
      return request->call.may_be_denied ? NULL : "denied";
    case 502:
    case 504:
      counts->cut++;
      return may_be_cut (request) ? NULL : "outcome unknown";
    default:
      return "unexpected status";
    }
}

static double
ms_between (gint64 from, gint64 to)
{
  return from == 0 || to == 0 ? -1 : (double)(to - from) / 1e3;
}

/* Prints the log lines of the instance that contain the request's id.  */
static void
print_log_lines (const struct proxy_site_request *request)
{
  char *log = NULL;
  if (!g_file_get_contents (request->instance->proc->output_path, &log, NULL,
                            NULL))
    return;
  char *needle = g_strdup_printf ("\"%s\"", request->id);
  char **lines = g_strsplit (log, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    if (strstr (lines[i], needle) != NULL)
      g_printerr ("  %s\n", lines[i]);
  g_strfreev (lines);
  g_free (needle);
  g_free (log);
}

static void
print_violation (const struct proxy_site_request *request,
                 const char *violation)
{
  const struct proxy_site_instance *instance = request->instance;
  g_printerr (
      "%s: %s\n  path=%s instance=%s pieces=%d respond_ms=%u sent_whole=%d"
      " executions=%u status=%u complete=%d; ms after the first byte:"
      " last byte %.1f, executed %.1f, served %.1f, done %.1f, SIGTERM %.1f,"
      " process end %.1f\n",
      request->id, violation, request->call.path, instance->proc->name,
      (int)request->call.pieces, request->call.respond_ms, request->sent_whole,
      request->executions, request->status, request->complete,
      ms_between (request->begun_at, request->last_byte_at),
      ms_between (request->begun_at, request->executed_at),
      ms_between (request->begun_at, request->served_at),
      ms_between (request->begun_at, request->done_at),
      ms_between (request->begun_at, instance->terminated_at),
      ms_between (request->begun_at, instance->ended_at));
  print_log_lines (request);
}

struct proxy_site_counts
proxy_site_check (struct proxy_site *site)
{
  struct proxy_site_counts counts = { 0 };
  for (guint i = 0; i < site->requests->len; i++)
    {
      const struct proxy_site_request *request = site->requests->pdata[i];
      const char *violation = check_request (request, &counts);
      if (violation == NULL)
        continue;
      if (counts.violations++ < VIOLATIONS_PRINTED)
        print_violation (request, violation);
    }
  if (site->unknown_requests > 0)
    {
      g_printerr ("%u malformed or unknown requests at servers\n",
                  site->unknown_requests);
      counts.violations += site->unknown_requests;
    }
  if (counts.violations > 0)
    harness_explain (site->harness);
  g_print ("sent %u, served %u, rejected %u, denied %u, cut %u, crossed %u, "
           "violations %u\n",
           counts.sent, counts.served, counts.rejected, counts.denied,
           counts.cut, counts.crossed, counts.violations);
  return counts;
}
