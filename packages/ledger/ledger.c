#include "ledger/ledger_internal.h"
#include "base/json_add.h"

#include <string.h>

#define RESULT_DROP_US (60 * CLK_S) /* the ingress sends it again */
/* After so many failures in a row, records do not wait for the next try. */
#define DOWN_FAILURES 4

/* Returns a server for one shard that the caller frees by ledger_free. It reads
   the shard's objects when the first record or result comes.  */
struct ledger_shard *
ledger_new (const struct ledger_options *options)
{
  struct ledger_shard *ledger = g_new0 (struct ledger_shard, 1);
  struct ledger_options *o = &ledger->options;
  *o = *options;
  o->head_max = o->head_max ? o->head_max : LEDGER_HEAD_MAX;
  o->segment_max = o->segment_max ? o->segment_max : LEDGER_SEGMENT_MAX;
  o->write_interval_us
      = o->write_interval_us ? o->write_interval_us : LEDGER_WRITE_INTERVAL_US;
  o->run_max_us = o->run_max_us ? o->run_max_us : LEDGER_RUN_MAX_US;
  o->retention_us = o->retention_us ? o->retention_us : LEDGER_RETENTION_US;
  o->keys_max = o->keys_max ? o->keys_max : LEDGER_KEYS_MAX;
  ledger->rand = g_rand_new_with_seed (o->seed);
  ledger->table = ledger_table_new ();
  ledger->staged = g_hash_table_new (ledger_key_hash, ledger_key_equal);
  ledger->last_read_at = ledger->last_write_at
      = clk_now (o->clk) - o->write_interval_us;
  g_queue_init (&ledger->queue);
  g_queue_init (&ledger->replays);
  return ledger;
}

void
ledger_item_free (struct ledger_item *item)
{
  g_free (item->response);
  g_free (item);
}

static void
free_staged_record (gpointer rec, gpointer value, gpointer data)
{
  (void)value;
  (void)data;
  g_free (((struct ledger_key_record *)rec)->response);
  g_free (rec);
}

void
ledger_free (struct ledger_shard *ledger)
{
  if (!ledger)
    return;
  g_queue_clear_full (&ledger->queue, (GDestroyNotify)ledger_item_free);
  g_queue_clear_full (&ledger->replays, (GDestroyNotify)ledger_item_free);
  g_hash_table_foreach (ledger->staged, free_staged_record, NULL);
  g_hash_table_unref (ledger->staged);
  ledger_table_free (ledger->table);
  g_rand_free (ledger->rand);
  g_free (ledger);
}

/* Returns the number of KEY's shard, the same on every instance.  */
guint
ledger_shard_of (const guint8 key[MSG_KEY_BYTES])
{
  return key[0] % LEDGER_SHARDS;
}

/* Returns the wall clock's time, seconds since 1970 UTC.  */
guint32
ledger_wall_seconds (const struct ledger_shard *ledger)
{
  return (guint32)(clk_wall (ledger->options.clk) / CLK_S);
}

/* Sends VERDICT on ITEM to its ingress, with the stored RESPONSE unless it is
   NULL.  */
void
ledger_send_reply (struct ledger_shard *ledger, const struct ledger_item *item,
                   enum msg_verdict verdict,
                   const struct ledger_response *response)
{
  struct msg_ledger_reply v = {
    .incarnation = item->incarnation,
    .record_id = item->record_id,
    .verdict = verdict,
    .replies_to_result = item->is_result,
    .unresolved = verdict == MSG_VERDICT_UNAVAILABLE && item->write_open,
  };
  if (response)
    {
      v.status = response->status;
      v.content_type = response->content_type;
      v.response_body = response->body;
    }
  if (verdict == MSG_VERDICT_DONE && !item->is_result)
    counter_add (ledger->options.counter_set, COUNTER_LEDGER_REPLAYS, 1);
  ledger->options.send_reply (ledger->options.ctx, item->from.s, &v);
}

/* Returns the queue link of the record or result with ITEM's record id, or
   NULL.  */
GList *
ledger_find_item (struct ledger_shard *ledger, const struct ledger_item *item,
                  gboolean is_result)
{
  for (GList *l = ledger->queue.head; l; l = l->next)
    {
      const struct ledger_item *other = l->data;
      if (other->is_result == is_result && other->record_id == item->record_id
          && other->ingress == item->ingress)
        return l;
    }
  return NULL;
}

static struct ledger_item *
item_new (struct ledger_shard *ledger, const char *from, guint64 incarnation,
          guint64 record_id, const guint8 *key)
{
  struct ledger_item *item = g_new0 (struct ledger_item, 1);
  str_id_set (&item->from, str_of (from));
  item->incarnation = incarnation;
  item->record_id = record_id;
  item->ingress
      = ledger_table_ingress_index (ledger->table, str_of (from), incarnation);
  memcpy (item->key, key, MSG_KEY_BYTES);
  item->arrived_at = clk_now (ledger->options.clk);
  return item;
}

/* Replies to a record whose key is done, from memory. Returns whether it did
   and took over ITEM.  */
static gboolean
reply_if_final (struct ledger_shard *ledger, struct ledger_item *item)
{
  const struct ledger_key_record *rec
      = ledger_table_find (ledger->table, item->key);
  return rec && rec->state == LEDGER_DONE && ledger_try_reply (ledger, item);
}

/* Returns whether records are rejected until the next request to the store.  */
static gboolean
store_is_down (const struct ledger_shard *ledger)
{
  return ledger->failures >= DOWN_FAILURES
         && clk_now (ledger->options.clk) < ledger->next_call_at;
}

/* Queues RECORD from ingress FROM. The verdict is sent later or at once.  */
void
ledger_add_record (struct ledger_shard *ledger, const char *from,
                   const struct msg_ledger_record *record)
{
  struct ledger_item *item = item_new (ledger, from, record->incarnation,
                                       record->record_id, record->key);
  memcpy (item->body_digest, record->body_digest, MSG_KEY_BYTES);
  if (ledger_find_item (ledger, item, FALSE))
    ledger_item_free (item);
  else if (reply_if_final (ledger, item))
    ledger_start_replay (ledger);
  else if (store_is_down (ledger) || ledger->queue.length >= LEDGER_QUEUE_MAX)
    {
      ledger_send_reply (ledger, item, MSG_VERDICT_UNAVAILABLE, NULL);
      ledger_item_free (item);
    }
  else
    {
      g_queue_push_tail (&ledger->queue, item);
      ledger_start_next_call (ledger);
    }
}

/* Removes the queued record that ITEM, a result with did_not_run, has
   overtaken, unless a write that carries it may still take effect.  */
static void
remove_queued_record (struct ledger_shard *ledger,
                      const struct ledger_item *item)
{
  GList *l = ledger_find_item (ledger, item, FALSE);
  if (!l || ((struct ledger_item *)l->data)->write_open)
    return;
  ledger_item_free (l->data);
  g_queue_delete_link (&ledger->queue, l);
}

/* Queues RESULT from ingress FROM. It is dropped if the queue is full: the
   ingress sends it again.  */
void
ledger_add_result (struct ledger_shard *ledger, const char *from,
                   const struct msg_ledger_result *result)
{
  struct ledger_item *item = item_new (ledger, from, result->incarnation,
                                       result->record_id, result->key);
  item->is_result = TRUE;
  item->did_not_run = result->did_not_run;
  if (result->response_body.n > MSG_RESPONSE_MAX
      || result->content_type.n > LEDGER_CONTENT_TYPE_MAX)
    ledger_send_reply (ledger, item, MSG_VERDICT_UNKNOWN, NULL);
  else if (!ledger_find_item (ledger, item, TRUE)
           && ledger->queue.length < LEDGER_QUEUE_MAX)
    {
      if (item->did_not_run)
        remove_queued_record (ledger, item);
      else
        item->response = ledger_response_new (
            result->status, result->content_type, result->response_body);
      g_queue_push_tail (&ledger->queue, item);
      ledger_start_next_call (ledger);
      return;
    }
  ledger_item_free (item);
}

/* Returns whether ITEM's time is over. If so, the ingress of a record gets
   UNAVAILABLE. Results are dropped without a reply, since the ingress sends
   them again.  */
static gboolean
item_expired (struct ledger_shard *ledger, const struct ledger_item *item)
{
  gint64 age = clk_now (ledger->options.clk) - item->arrived_at;
  if (item->is_result)
    return age >= RESULT_DROP_US;
  gint64 limit
      = item->write_open ? LEDGER_RESOLVE_TIMEOUT_US : LEDGER_RECORD_TIMEOUT_US;
  if (age < limit && (item->write_open || !store_is_down (ledger)))
    return FALSE;
  ledger_send_reply (ledger, item, MSG_VERDICT_UNAVAILABLE, NULL);
  return TRUE;
}

static void
expire_items (struct ledger_shard *ledger)
{
  for (GList *l = ledger->queue.head, *next; l; l = next)
    {
      next = l->next;
      if (!item_expired (ledger, l->data))
        continue;
      ledger_item_free (l->data);
      g_queue_delete_link (&ledger->queue, l);
    }
}

/* Replies UNKNOWN where the stored response could not be read in time.  */
static void
expire_replays (struct ledger_shard *ledger)
{
  gint64 now = clk_now (ledger->options.clk);
  struct ledger_item *item;
  while ((item = g_queue_peek_head (&ledger->replays))
         && now - item->arrived_at >= LEDGER_RECORD_TIMEOUT_US)
    {
      ledger_send_reply (ledger, item, MSG_VERDICT_UNKNOWN, NULL);
      ledger_item_free (g_queue_pop_head (&ledger->replays));
    }
}

void
ledger_tick (struct ledger_shard *ledger)
{
  expire_items (ledger);
  expire_replays (ledger);
  ledger_start_next_call (ledger);
  ledger_start_replay (ledger);
}

gboolean
ledger_idle (const struct ledger_shard *ledger)
{
  for (guint i = 0; i < LEDGER_OPS_MAX; i++)
    if (ledger->ops[i].token)
      return FALSE;
  return ledger->queue.length == 0 && ledger->replays.length == 0;
}

static const char *
phase_name (enum ledger_phase phase)
{
  static const char *const names[] = {
#define LEDGER_PHASE_NAME(id, name) name,
    LEDGER_PHASES (LEDGER_PHASE_NAME)
#undef LEDGER_PHASE_NAME
  };
  return names[phase];
}

/* Adds one object with the shard's state to JSON.  */
void
ledger_dump (const struct ledger_shard *ledger, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_int (json, "shard", ledger->options.shard);
  json_add_str (json, "phase", phase_name (ledger->phase));
  json_add_int (json, "version", ledger->version);
  json_add_int (json, "keys", ledger_table_size (ledger->table));
  json_add_int (json, "head_records", ledger->table->head->len);
  json_add_int (json, "first_segment", ledger->table->first_segment);
  json_add_int (json, "next_segment", ledger->table->next_segment);
  json_add_int (json, "waiting", ledger->queue.length);
  json_add_int (json, "replays", ledger->replays.length);
  json_add_int (json, "unresolved_write", (guint64)ledger->unresolved);
  json_add_int (json, "failures", ledger->failures);
  json_add_int (json, "conflicts", ledger->conflicts);
  json_add_str (json, "last_error", err_name (ledger->last_error));
  json_builder_end_object (json);
}
