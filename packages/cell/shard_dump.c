#include "cell/shard_internal.h"
#include "base/jsb.h"

/* Fills SUMMARY with what entries need to pick a cell; owner and its address
   are left to the caller.  */
void
shard_summary (const struct shard_owner *shard_owner,
               struct msg_cell_summary *summary)
{
  *summary = (struct msg_cell_summary){ .cell = shard_owner->cell };
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      const struct shard_server *shard_server = shard_owner->servers->pdata[i];
      summary->free_slots += server_free_slots (shard_server);
      summary->servers += server_accepts (shard_server)
                          && shard_server->hea.state != HEA_EJECTED;
    }
  summary->starts_per_s
      = (guint32)(rte_starts_per_s (&shard_owner->rate) + 0.5);
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      const struct class_queue *class_queue = shard_owner->classes->pdata[i];
      summary->waiting[MIN (class_queue->cfg.tier, CFG_TIERS_MAX - 1)]
          += class_queue->n_waiting;
    }
}

static void
dump_server (const struct shard_server *shard_server, JsonBuilder *json)
{
  json_builder_begin_object (json);
  jsb_str (json, "name", shard_server->cfg.name.s);
  jsb_int (json, "target_us", shard_server->target_us);
  jsb_int (json, "reserved", shard_server->reserved);
  jsb_int (json, "limit", server_limit (shard_server));
  jsb_int (json, "in_flight", shard_server->in_flight.length);
  jsb_str (json, "health", hea_state_name (shard_server->hea.state));
  jsb_int (json, "tbt_us", (gint64)shard_server->hea.tbt.value);
  jsb_int (json, "ttft_us", (gint64)shard_server->hea.ttft.value);
  jsb_double (json, "error_share", shard_server->hea.errors.value);
  jsb_int (json, "foreign", shard_server->foreign);
  jsb_bool (json, "takes_work", server_accepts (shard_server));
  json_builder_end_object (json);
}

static void
dump_class (const struct class_queue *class_queue, JsonBuilder *json)
{
  json_builder_begin_object (json);
  jsb_str (json, "name", class_queue->cfg.name.s);
  jsb_int (json, "tier", class_queue->cfg.tier);
  jsb_int (json, "waiting", class_queue->n_waiting);
  jsb_int (json, "running", class_queue->n_running);
  jsb_double (json, "share", class_queue->shr.share);
  jsb_double (json, "starts_due", class_queue->shr.credit);
  json_builder_end_object (json);
}

/* Adds one JSON object with the cell's servers and queues.  */
void
shard_dump (const struct shard_owner *shard_owner, JsonBuilder *json)
{
  json_builder_begin_object (json);
  jsb_str (json, "cell", shard_owner->cell.s);
  jsb_int (json, "tickets", g_hash_table_size (shard_owner->tickets.tickets));
  jsb_int (json, "prefixes", aff_size (shard_owner->aff));
  jsb_double (json, "starts_per_s", rte_starts_per_s (&shard_owner->rate));
  jsb_double (json, "drain_per_s", rte_drain_per_s (&shard_owner->rate));
  json_builder_set_member_name (json, "servers");
  json_builder_begin_array (json);
  for (guint i = 0; i < shard_owner->servers->len; i++)
    dump_server (shard_owner->servers->pdata[i], json);
  json_builder_end_array (json);
  json_builder_set_member_name (json, "classes");
  json_builder_begin_array (json);
  for (guint i = 0; i < shard_owner->classes->len; i++)
    dump_class (shard_owner->classes->pdata[i], json);
  json_builder_end_array (json);
  json_builder_end_object (json);
}
