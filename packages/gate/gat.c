#include "gate/gat_int.h"

#include "base/json_add.h"
#include "base/log.h"

#define DRAIN_NOTICE_US                                                        \
  (2500 * CLK_MS)                     /* until the balancer, which asks once   \
                                         a second, has missed two answers */
#define STOP_MARGIN_US (400 * CLK_MS) /* before the end of the grace period */
#define STOP_STEP_MS 100

static const char *const states[] = {
#define EXC_NAME(id, name) name,
  EXC_STATES (EXC_NAME)
};
static const char *const events[] = { EXC_EVENTS (EXC_NAME) };
#undef EXC_NAME

static void
on_caller (void *ctx, int fd, const char *peer)
{
  gcl_accept (ctx, fd, peer);
}

/* Opens the listener.  */
int
gat_new (const struct gat_options *options, struct gat **result,
         struct err *err)
{
  const struct statechart_binding binding
      = { states, G_N_ELEMENTS (states), events, G_N_ELEMENTS (events) };
  struct gat *gat = g_new0 (struct gat, 1);
  gat->options = *options;
  gat->dia = options->dialect;
  gat->bkp = bkp_new (options->clk);
  gat->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gat->rand = g_rand_new ();
  gat->instances = 1;
  g_queue_init (&gat->callers);
  int code = statechart_load (options->chart, &binding, &gat->chart, err);
  if (code < 0)
    goto fail;
  gat->listener = tcp_listener_new (options->listen, on_caller, gat, err);
  if (gat->listener == NULL)
    {
      code = ERR_IO;
      goto fail;
    }
  *result = gat;
  return 0;
fail:
  gat_free (gat);
  return code;
}

void
gat_free (struct gat *gat)
{
  if (gat == NULL)
    return;
  g_clear_handle_id (&gat->stop_timer, g_source_remove);
  while (gat->callers.head != NULL)
    gcl_free (gat->callers.head->data);
  tcp_listener_free (gat->listener);
  g_clear_handle_id (&gat->wake, g_source_remove);
  bkp_free (gat->bkp);
  g_hash_table_unref (gat->budgets);
  rtb_unref (gat->rtb);
  g_rand_free (gat->rand);
  statechart_free (gat->chart);
  g_free (gat);
}

/* Takes over a configuration that is newer than the one in force.  */
void
gat_set_table (struct gat *gat, struct rtb *rtb)
{
  if (gat->rtb != NULL && rtb_version (rtb) <= rtb_version (gat->rtb))
    return;
  rtb_unref (gat->rtb);
  gat->rtb = rtb_ref (rtb);
  sch_set_table (gat->options.sch, rtb);
  counter_add (gat->options.counter_set, COUNTER_CONFIG_APPLIED, 1);
  log_event (LOG_INFO, "config.applied",
             "version=%" G_GUINT64_FORMAT " routes=%u", rtb_version (rtb),
             rtb_n_routes (rtb));
}

/* VERSION was the newest at some moment after ASKED.  */
void
gat_proved (struct gat *gat, guint64 version, gint64 asked)
{
  if (gat->rtb != NULL && version == rtb_version (gat->rtb))
    frs_take (&gat->frs, version, asked);
}

/* The version of the configuration in force; 0: none.  */
guint64
gat_version (const struct gat *gat)
{
  return gat->rtb ? rtb_version (gat->rtb) : 0;
}

/* Microseconds since the configuration was last proved to be the newest.  */
gint64
gat_proof_age (const struct gat *gat, gint64 now)
{
  return frs_age (&gat->frs, now);
}

/* How many instances share the budgets.  */
void
gat_set_instances (struct gat *gat, guint instances)
{
  gat->instances = MAX (instances, 1);
}

/* Tells what the list of servers has changed.  */
void
gat_server_changed (struct gat *gat, const struct flt_change *change)
{
  const struct flt_server *server = change->server;
  switch (change->kind)
    {
    case FLT_APPEARED:
      break;
    case FLT_BEGAN_TO_LEAVE:
      break;
    case FLT_VANISHED:
      bkp_drop (gat->bkp, server);
      pdr_forget (sch_directory (gat->options.sch), server->number);
      break;
    }
}

/* Starts or refuses what waits, after anything has changed.  */
void
gat_poll (struct gat *gat)
{
  sch_poll (gat->options.sch, clk_now (gat->options.clk), exc_decided, NULL);
}

/* Tells whether callers should come here.  */
gboolean
gat_is_ready (const struct gat *gat)
{
  return gat->stopping == 0 && gat->rtb != NULL
         && flt_is_known (gat->options.flt)
         && (gat->options.key_limit_us == 0
             || frs_holds (&gat->frs, clk_now (gat->options.clk),
                           gat->options.key_limit_us));
}

static gboolean
on_stop_step (gpointer data)
{
  struct gat *gat = data;
  gint64 now = clk_now (gat->options.clk);
  gint64 since = now - gat->stopping;
  if (since >= DRAIN_NOTICE_US)
    g_clear_pointer (&gat->listener, tcp_listener_free);
  if (since >= DRAIN_NOTICE_US)
    for (GList *link = gat->callers.head, *next; link != NULL; link = next)
      {
        next = link->next;
        gcl_stop (link->data);
      }
  gboolean nothing_left = since >= DRAIN_NOTICE_US && gat->callers.length == 0;
  gboolean out_of_time = gat->options.grace_us > 0
                         && since >= gat->options.grace_us - STOP_MARGIN_US;
  if (!nothing_left && !out_of_time)
    return G_SOURCE_CONTINUE;
  log_event (LOG_INFO, "gate.drained", "exchanges=%u callers=%u",
             gat->exchanges, gat->callers.length);
  gat->stop_timer = 0;
  gat->options.idle (gat->options.ctx);
  return G_SOURCE_REMOVE;
}

/* Begins a shutdown: not ready at once, serves on until callers have gone
   elsewhere, then ends idle connections and waits for requests.  */
void
gat_shut_down (struct gat *gat)
{
  if (gat->stopping != 0)
    return;
  gat->stopping = clk_now (gat->options.clk);
  gat->stop_timer = g_timeout_add (STOP_STEP_MS, on_stop_step, gat);
}

guint
gat_port (const struct gat *gat)
{
  return tcp_listener_port (gat->listener);
}

static gboolean
on_wake (gpointer data)
{
  struct gat *gat = data;
  gat->wake = 0;
  gat_poll (gat);
  return G_SOURCE_REMOVE;
}

/* Room may have come free: looks at what waits once this turn of the loop is
   over.  */
void
gat_wake (struct gat *gat)
{
  if (gat->wake == 0 && sch_waiting (gat->options.sch) > 0)
    gat->wake = g_idle_add (on_wake, gat);
}

static void
put_gauge (GString *out, const char *name, const char *help, gint64 value)
{
  g_string_append_printf (out,
                          "# HELP jacinthward_%s %s\n"
                          "# TYPE jacinthward_%s gauge\n"
                          "jacinthward_%s %" G_GINT64_FORMAT "\n",
                          name, help, name, name, value);
}

/* Appends what stands now, in the Prometheus text format.  */
void
gat_gauges (const struct gat *gat, GString *out)
{
  gint64 now = clk_now (gat->options.clk);
  guint n;
  guint ready = 0;
  guint ejected = 0;
  struct flt_server *const *servers = flt_servers (gat->options.flt, &n);
  for (guint i = 0; i < n; i++)
    {
      ready += servers[i]->state == FLT_READY;
      ejected += servers[i]->hea.state == HEA_EJECTED;
    }
  put_gauge (out, "ready", "1: callers should come here", gat_is_ready (gat));
  put_gauge (out, "config_version", "configuration in force; 0: none",
             (gint64)gat_version (gat));
  put_gauge (out, "config_proof_age_ms",
             "since it was proved to be the newest; -1: never",
             gat->frs.proved ? gat_proof_age (gat, now) / CLK_MS : -1);
  put_gauge (out, "callers", "open connections of callers",
             gat->callers.length);
  put_gauge (out, "requests_in_progress", "requests not yet answered in full",
             gat->exchanges);
  put_gauge (out, "requests_waiting", "requests that wait for a server",
             sch_waiting (gat->options.sch));
  put_gauge (out, "servers_ready", "backend servers that may be used", ready);
  put_gauge (out, "servers_ejected", "backend servers ejected as outliers",
             ejected);
  put_gauge (out, "instances", "instances that share the retry budget",
             gat->instances);
  put_gauge (out, "log_lines_dropped", "lines left out of the log",
             (gint64)log_dropped ());
}

static void
dump_server (JsonBuilder *json, const struct gat *gat,
             const struct flt_server *server)
{
  struct sld_load load
      = sld_total (sch_loads (gat->options.sch), server->number);
  json_builder_begin_object (json);
  json_add_str (json, "id", server->entry.id);
  json_add_str (json, "service", server->entry.service);
  json_add_str (json, "domain", server->entry.domain);
  json_add_str (json, "state", flt_state_name (server->state));
  json_add_str (json, "health", hea_state_name (server->hea.state));
  json_add_int (json, "requests", load.requests);
  json_add_int (json, "unread_tokens", (gint64)load.unread);
  json_add_int (json, "memory_tokens", (gint64)load.memory);
  json_builder_end_object (json);
}

/* Writes the state into an open object.  */
void
gat_dump (const struct gat *gat, JsonBuilder *json)
{
  gint64 now = clk_now (gat->options.clk);
  guint n;
  struct flt_server *const *servers = flt_servers (gat->options.flt, &n);
  json_add_bool (json, "ready", gat_is_ready (gat));
  json_add_int (json, "config_version", (gint64)gat_version (gat));
  json_add_int (json, "proof_age_ms",
                gat->frs.proved ? gat_proof_age (gat, now) / CLK_MS : -1);
  json_add_int (json, "callers", gat->callers.length);
  json_add_int (json, "exchanges", gat->exchanges);
  json_add_int (json, "waiting", sch_waiting (gat->options.sch));
  json_add_int (json, "idle_backend_connections", bkp_idle (gat->bkp));
  json_builder_set_member_name (json, "servers");
  json_builder_begin_array (json);
  for (guint i = 0; i < n; i++)
    dump_server (json, gat, servers[i]);
  json_builder_end_array (json);
}
