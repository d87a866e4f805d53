#include "cell/shard_internal.h"
#include "base/json_add.h"

/* Fills SUMMARY with what ingress instances need to choose a shard. The caller
   sets the owner and its address.  */
void
shard_summary (const struct shard_owner *shard,
               struct msg_shard_summary *summary)
{
  *summary = (struct msg_shard_summary){ .shard = shard->name };
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const struct shard_server *server = shard->servers->pdata[i];
      summary->free_slots += server_free_slots (server);
      summary->servers += server_accepts (server)
                          && server->health.state != SERVER_HEALTH_EJECTED;
    }
  summary->starts_per_s
      = (guint32)(rate_window_starts_per_s (&shard->rate) + 0.5);
  for (guint i = 0; i < shard->classes->len; i++)
    {
      const struct class_queue *class = shard->classes->pdata[i];
      summary->waiting[MIN (class->cfg.tier, CLUSTER_TIERS_MAX - 1)]
          += class->n_waiting;
    }
}

static void
dump_server (const struct shard_server *server, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "name", server->cfg.name.s);
  json_add_int (json, "target_us", server->target_us);
  json_add_int (json, "reserved", server->reserved);
  json_add_int (json, "limit", server_limit (server));
  json_add_int (json, "in_flight", server->in_flight.length);
  json_add_str (json, "health",
                server_health_state_name (server->health.state));
  json_add_int (json, "tbt_us", (gint64)server->health.tbt.value);
  json_add_int (json, "ttft_us", (gint64)server->health.ttft.value);
  json_add_double (json, "error_share", server->health.error_rate.value);
  json_add_int (json, "foreign", server->foreign);
  json_add_bool (json, "takes_work", server_accepts (server));
  json_builder_end_object (json);
}

static void
dump_class (const struct class_queue *class, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "name", class->cfg.name.s);
  json_add_int (json, "tier", class->cfg.tier);
  json_add_int (json, "waiting", class->n_waiting);
  json_add_int (json, "running", class->n_running);
  json_add_double (json, "share", class->start_share.share);
  json_add_double (json, "starts_due", class->start_share.credit);
  json_builder_end_object (json);
}

/* Adds one JSON object with the shard's servers and queues.  */
void
shard_dump (const struct shard_owner *shard, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_str (json, "cell", shard->name.s);
  json_add_int (json, "tickets", g_hash_table_size (shard->requests.all));
  json_add_int (json, "prefixes", affinity_size (shard->affinity));
  json_add_double (json, "starts_per_s",
                   rate_window_starts_per_s (&shard->rate));
  json_add_double (json, "drain_per_s", rate_window_drain_per_s (&shard->rate));
  json_builder_set_member_name (json, "servers");
  json_builder_begin_array (json);
  for (guint i = 0; i < shard->servers->len; i++)
    dump_server (shard->servers->pdata[i], json);
  json_builder_end_array (json);
  json_builder_set_member_name (json, "classes");
  json_builder_begin_array (json);
  for (guint i = 0; i < shard->classes->len; i++)
    dump_class (shard->classes->pdata[i], json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
