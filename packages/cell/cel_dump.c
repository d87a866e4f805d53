#include "cell/cel_int.h"
#include "base/json_add.h"

/* Fills SUMMARY with what entries need to pick a cell; owner and its address
   are left to the caller.  */
void
cel_summary (const struct cel *cel, struct msg_shard_summary *summary)
{
  *summary = (struct msg_shard_summary){ .cell = cel->cell };
  for (guint i = 0; i < cel->servers->len; i++)
    {
      const struct srv *srv = cel->servers->pdata[i];
      summary->free_slots += srv_free_slots (srv);
      summary->servers += srv_takes_work (srv)
                          && srv->server_health.state != SERVER_HEALTH_EJECTED;
    }
  summary->starts_per_s
      = (guint32)(rate_window_starts_per_s (&cel->rate) + 0.5);
  for (guint i = 0; i < cel->classes->len; i++)
    {
      const struct cls *cls = cel->classes->pdata[i];
      summary->waiting[MIN (cls->cfg.tier, CLUSTER_TIERS_MAX - 1)]
          += cls->n_waiting;
    }
}

static void
dump_server (const struct srv *srv, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "name", srv->cfg.name.s);
  json_add_int (json, "target_us", srv->target_us);
  json_add_int (json, "reserved", srv->reserved);
  json_add_int (json, "limit", srv_limit (srv));
  json_add_int (json, "in_flight", srv->in_flight.length);
  json_add_str (json, "health",
                server_health_state_name (srv->server_health.state));
  json_add_int (json, "tbt_us", (gint64)srv->server_health.tbt.value);
  json_add_int (json, "ttft_us", (gint64)srv->server_health.ttft.value);
  json_add_double (json, "error_share", srv->server_health.error_rate.value);
  json_add_int (json, "foreign", srv->foreign);
  json_add_bool (json, "takes_work", srv_takes_work (srv));
  json_builder_end_object (json);
}

static void
dump_class (const struct cls *cls, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "name", cls->cfg.name.s);
  json_add_int (json, "tier", cls->cfg.tier);
  json_add_int (json, "waiting", cls->n_waiting);
  json_add_int (json, "running", cls->n_running);
  json_add_double (json, "share", cls->share_credit.share);
  json_add_double (json, "starts_due", cls->share_credit.credit);
  json_builder_end_object (json);
}

/* Adds one JSON object with the cell's servers and queues.  */
void
cel_dump (const struct cel *cel, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "cell", cel->cell.s);
  json_add_int (json, "tickets", g_hash_table_size (cel->tickets.tickets));
  json_add_int (json, "prefixes", prefix_affinity_size (cel->prefix_affinity));
  json_add_double (json, "starts_per_s", rate_window_starts_per_s (&cel->rate));
  json_add_double (json, "drain_per_s", rate_window_drain_per_s (&cel->rate));
  json_builder_set_member_name (json, "servers");
  json_builder_begin_array (json);
  for (guint i = 0; i < cel->servers->len; i++)
    dump_server (cel->servers->pdata[i], json);
  json_builder_end_array (json);
  json_builder_set_member_name (json, "classes");
  json_builder_begin_array (json);
  for (guint i = 0; i < cel->classes->len; i++)
    dump_class (cel->classes->pdata[i], json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
