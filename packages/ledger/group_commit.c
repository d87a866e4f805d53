#include "ledger/ledger_internal.h"

#include <string.h>

#define RECORD_OVERHEAD 72 /* of a record without its response, at most */
/* Memory counts as current for so long after a read or write of the head. */
#define SYNCED_FOR_US (10 * CLK_MS)
#define RESULT_BATCH_MIN 32 /* this many results are written without delay */

static gboolean
is_same_record (const struct ledger_item *item,
                const struct ledger_key_record *rec)
{
  return rec->ingress == item->ingress && rec->record_id == item->record_id;
}

/* Returns the state in which ITEM's key must be written, or LEDGER_NONE if
   nothing needs to be written.  */
static enum ledger_state
state_to_write (const struct ledger_shard *ledger,
                const struct ledger_item *item)
{
  const struct ledger_key_record *rec
      = ledger_table_find (ledger->table, item->key);
  if (!item->is_result)
    return !rec
                   || (rec->state == LEDGER_RELEASED
                       && !is_same_record (item, rec))
               ? LEDGER_PENDING
               : LEDGER_NONE;
  if (!rec || rec->state != LEDGER_PENDING || !is_same_record (item, rec))
    return LEDGER_NONE;
  return item->did_not_run ? LEDGER_RELEASED : LEDGER_DONE;
}

/* Replies to a result from memory. Returns FALSE if it must wait.  */
static gboolean
reply_to_result (struct ledger_shard *ledger, struct ledger_item *item)
{
  const struct ledger_key_record *rec
      = ledger_table_find (ledger->table, item->key);
  enum msg_verdict verdict = MSG_VERDICT_UNKNOWN;
  if (rec && is_same_record (item, rec))
    verdict = rec->state == LEDGER_DONE ? MSG_VERDICT_DONE
                                        : MSG_VERDICT_UNAVAILABLE;
  else if (item->did_not_run && ledger_find_item (ledger, item, FALSE))
    return FALSE;
  else if (item->did_not_run)
    verdict = MSG_VERDICT_UNAVAILABLE;
  ledger_send_reply (ledger, item, verdict, NULL);
  ledger_item_free (item);
  return TRUE;
}

/* Returns the verdict on ITEM, a record whose key has REC.  */
static enum msg_verdict
verdict_on_record (const struct ledger_shard *ledger,
                   const struct ledger_item *item,
                   const struct ledger_key_record *rec)
{
  gint64 age = ((gint64)ledger_wall_seconds (ledger) - rec->time) * CLK_S;
  if (rec->state == LEDGER_RELEASED)
    return MSG_VERDICT_UNAVAILABLE;
  if (rec->state == LEDGER_PENDING && is_same_record (item, rec))
    return MSG_VERDICT_RECORDED;
  if (memcmp (rec->body_digest, item->body_digest, MSG_KEY_BYTES) != 0)
    return MSG_VERDICT_MISMATCH;
  if (rec->state == LEDGER_DONE)
    return MSG_VERDICT_DONE;
  return age < ledger->options.run_max_us ? MSG_VERDICT_IN_PROGRESS
                                          : MSG_VERDICT_UNKNOWN;
}

/* Replies to ITEM from memory and takes it over; the caller unlinks it. Returns
   FALSE and changes nothing if something must be written or resolved first.  */
gboolean
ledger_try_reply (struct ledger_shard *ledger, struct ledger_item *item)
{
  if (state_to_write (ledger, item) != LEDGER_NONE)
    return FALSE;
  if (item->is_result)
    return reply_to_result (ledger, item);
  const struct ledger_key_record *rec
      = ledger_table_find (ledger->table, item->key);
  enum msg_verdict verdict = verdict_on_record (ledger, item, rec);
  if (verdict == MSG_VERDICT_DONE && !rec->response)
    {
      if (ledger->replays.length >= LEDGER_QUEUE_MAX)
        return FALSE;
      g_queue_push_tail (&ledger->replays, item);
      return TRUE;
    }
  ledger_send_reply (ledger, item, verdict, rec->response);
  ledger_item_free (item);
  return TRUE;
}

/* Replies to the items of the batch whose request to the store has ended.  */
void
ledger_reply_batch (struct ledger_shard *ledger)
{
  for (GList *l = ledger->queue.head, *next; l; l = next)
    {
      struct ledger_item *item = l->data;
      next = l->next;
      gboolean decided = item->in_batch && ledger_try_reply (ledger, item);
      if (decided)
        g_queue_delete_link (&ledger->queue, l);
      else
        item->in_batch = item->staged = FALSE;
    }
}

/* Returns a record, owned by the caller, that puts ITEM's key into STATE.  */
static struct ledger_key_record *
new_record (const struct ledger_shard *ledger, const struct ledger_item *item,
            enum ledger_state state)
{
  const struct ledger_key_record *old
      = ledger_table_find (ledger->table, item->key);
  struct ledger_key_record *rec = g_new0 (struct ledger_key_record, 1);
  memcpy (rec->key, item->key, MSG_KEY_BYTES);
  memcpy (rec->body_digest,
          item->is_result ? old->body_digest : item->body_digest,
          MSG_KEY_BYTES);
  rec->record_id = item->record_id;
  rec->ingress = item->ingress;
  rec->time = item->is_result ? old->time : ledger_wall_seconds (ledger);
  rec->state = (guint8)state;
  if (state == LEDGER_DONE)
    rec->response = ledger_response_new (item->response->status,
                                         item->response->content_type,
                                         item->response->body);
  return rec;
}

static gsize
record_bytes (const struct ledger_key_record *rec)
{
  gsize n = RECORD_OVERHEAD;
  if (rec->response)
    n += rec->response->content_type.n + rec->response->body.n;
  return n;
}

/* Adds ITEM's record to the batch. Returns its size in bytes, or 0 if the batch
   already has a record of the key.  */
static gsize
stage_record (struct ledger_shard *ledger, struct ledger_item *item,
              enum ledger_state state)
{
  struct ledger_key_record *rec = new_record (ledger, item, state);
  if (g_hash_table_contains (ledger->staged, rec))
    {
      g_free (rec->response);
      g_free (rec);
      return 0;
    }
  g_hash_table_add (ledger->staged, rec);
  item->staged = TRUE;
  return record_bytes (rec);
}

/* Selects the next batch; the records to write go to ledger->staged.  */
static void
stage_batch (struct ledger_shard *ledger)
{
  gsize bytes = 0;
  guint n = 0;
  guint room
      = ledger->options.keys_max
        - MIN (ledger_table_size (ledger->table), ledger->options.keys_max);
  for (GList *l = ledger->queue.head; l; l = l->next)
    {
      struct ledger_item *item = l->data;
      enum ledger_state state = state_to_write (ledger, item);
      item->in_batch = item->staged = FALSE;
      if (n >= LEDGER_BATCH_MAX || bytes >= ledger->options.head_max / 2)
        continue;
      if (state == LEDGER_PENDING && room == 0)
        continue;
      gsize more
          = state == LEDGER_NONE ? 0 : stage_record (ledger, item, state);
      item->in_batch = state == LEDGER_NONE || more > 0;
      n += item->in_batch;
      bytes += more;
      room -= state == LEDGER_PENDING && more > 0;
    }
}

static void
discard_staged (struct ledger_shard *ledger)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, ledger->staged);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct ledger_key_record *rec = key;
      g_hash_table_iter_remove (&iter);
      g_free (rec->response);
      g_free (rec);
    }
}

/* The head is at VERSION: writes that expected an older one can no longer take
   effect.  */
void
ledger_set_version (struct ledger_shard *ledger, guint64 version)
{
  ledger->version = ledger->min_version = version;
  ledger->unresolved = FALSE;
  ledger->slot_ready = FALSE;
  for (GList *l = ledger->queue.head; l; l = l->next)
    ((struct ledger_item *)l->data)->write_open = FALSE;
}

/* Moves the staged records to the table after their write succeeded.  */
static void
apply_staged (struct ledger_shard *ledger)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, ledger->staged);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct ledger_key_record *rec = key;
      if (rec->state == LEDGER_PENDING)
        counter_add (ledger->options.counter_set, COUNTER_LEDGER_RECORDS, 1);
      ledger_table_put (ledger->table, rec);
      rec->response = NULL;
    }
  discard_staged (ledger);
}

/* The open write of the head has made it VERSION. With SLOT_READY it was the
   last step of a rotation.  */
static void
write_succeeded (struct ledger_shard *ledger, guint64 version)
{
  if (ledger->slot_ready)
    {
      ledger_table_rotate_head (ledger->table, ledger->slot_seq,
                                ledger->write_header.time);
      ledger_table_expire (ledger->table, ledger->write_header.first_segment);
      ledger->table->rotated_version = ledger->write_header.rotated_version;
    }
  ledger->failures = ledger->conflicts = 0;
  ledger->synced_at = clk_now (ledger->options.clk);
  ledger_set_version (ledger, version);
  apply_staged (ledger);
  ledger_reply_batch (ledger);
}

/* Another instance wrote first. Nothing of this write was stored, but an
   earlier write of the same records without a response may have been: the head
   must be read to find out.  */
static void
write_conflicted (struct ledger_shard *ledger)
{
  discard_staged (ledger);
  counter_add (ledger->options.counter_set, COUNTER_LEDGER_CONFLICTS, 1);
  ledger->failures = 0;
  ledger->conflicts++;
  ledger->min_version = ledger->version + 1;
  ledger->phase = LEDGER_HEAD_UNREAD;
}

/* Handles a failed write that has changed nothing (UNCHANGED) or may still take
   effect.  */
static void
write_failed (struct ledger_shard *ledger,
              const struct storage_response *response, gboolean unchanged)
{
  discard_staged (ledger);
  for (GList *l = ledger->queue.head; l; l = l->next)
    {
      struct ledger_item *item = l->data;
      if (unchanged && item->staged)
        item->write_open = item->write_was_open;
    }
  ledger->unresolved |= !unchanged;
  ledger_call_failed (ledger, response->code, response->retry_after_us);
}

/* Handles the response to the open write of the head.  */
void
ledger_head_written (struct ledger_shard *ledger,
                     const struct storage_response *response)
{
  switch (response->code)
    {
    case 0:
      write_succeeded (ledger, response->version);
      break;
    case ERR_CONFLICT:
      write_conflicted (ledger);
      break;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      write_failed (ledger, response, TRUE);
      break;
    default:
      write_failed (ledger, response, FALSE);
      break;
    }
}

/* Starts the write of the staged records, or a rotation if they do not fit into
   the head.  */
static void
write_staged (struct ledger_shard *ledger)
{
  struct ledger_table *table = ledger->table;
  guint32 now = ledger_wall_seconds (ledger);
  guint32 retention = (guint32)(ledger->options.retention_us / CLK_S);
  struct ledger_object_parts parts
      = { NULL, !ledger->slot_ready, ledger->staged };
  ledger->write_header = (struct ledger_object_header){
    table->first_segment, table->next_segment, table->rotated_version, now
  };
  if (ledger->slot_ready)
    {
      ledger->write_header.first_segment
          = ledger_table_first_retained (table, now - MIN (now, retention));
      ledger->write_header.next_segment = ledger->slot_seq + 1;
      ledger->write_header.rotated_version = ledger->version;
    }
  GBytes *value = ledger_object_encode (&ledger->write_header, table, &parts);
  if (g_bytes_get_size (value) > ledger->options.head_max
      && table->head->len > 0 && !ledger->slot_ready)
    {
      discard_staged (ledger);
      ledger_rotate_head (ledger);
    }
  else
    ledger_write_head (ledger, value);
  g_bytes_unref (value);
}

/* Returns whether an item is queued that should not wait for a larger batch. */
static gboolean
is_due (const struct ledger_shard *ledger)
{
  gint64 now = clk_now (ledger->options.clk);
  guint results = 0;
  for (const GList *l = ledger->queue.head; l; l = l->next)
    {
      const struct ledger_item *item = l->data;
      if (!item->is_result || now - item->arrived_at >= LEDGER_RESULT_DELAY_US
          || ++results >= RESULT_BATCH_MIN)
        return TRUE;
    }
  return FALSE;
}

/* Returns whether a write would probably conflict with another instance's write
   that is not in memory yet. Reading first costs less than a conflict.  */
static gboolean
is_stale (const struct ledger_shard *ledger)
{
  gint64 now = clk_now (ledger->options.clk);
  return now < ledger->contended_until
         && now - ledger->synced_at > SYNCED_FOR_US;
}

/* Starts the next request of group commit if one is due and none is open.  */
void
ledger_start_next_call (struct ledger_shard *ledger)
{
  gint64 now = clk_now (ledger->options.clk);
  gint64 interval = ledger->options.write_interval_us;
  if (ledger->busy || now < ledger->next_call_at || !is_due (ledger))
    return;
  if (ledger->phase != LEDGER_READY)
    {
      ledger_read_head (ledger);
      return;
    }
  if (now - MIN (ledger->last_read_at, ledger->last_write_at) < interval)
    return;
  stage_batch (ledger);
  gboolean writes
      = g_hash_table_size (ledger->staged) > 0 || ledger->unresolved;
  if (now - (writes ? ledger->last_write_at : ledger->last_read_at) < interval)
    discard_staged (ledger);
  else if (writes && !is_stale (ledger))
    write_staged (ledger);
  else
    {
      discard_staged (ledger);
      ledger_read_head (ledger);
    }
}
