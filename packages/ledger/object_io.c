#include "ledger/ledger_internal.h"

#include <string.h>

#define RETRY_DELAY_MIN_US (50 * CLK_MS)
#define RETRY_DOUBLINGS_MAX 7
#define RETRY_AFTER_MAX_US (60 * CLK_S) /* longer values are cut */
/* For so long after another instance wrote, it may write again. */
#define CONTENDED_US (60 * CLK_S)
/* Delay after the second conflict in a row; each further one doubles it. */
#define CONFLICT_DELAY_US (10 * CLK_MS)
#define CONFLICT_DOUBLINGS_MAX 5

/* Returns BASE doubled N times, times a random factor from 0.5 to 1.5.  */
static gint64
backoff (struct ledger_shard *ledger, gint64 base, guint n)
{
  return (gint64)((double)(base << n)
                  * g_rand_double_range (ledger->rand, 0.5, 1.5));
}

/* Handles a failed request to the store: sets the time of the next one.  */
void
ledger_call_failed (struct ledger_shard *ledger, int code,
                    gint64 retry_after_us)
{
  gint64 wait = backoff (ledger, RETRY_DELAY_MIN_US,
                         MIN (ledger->failures, RETRY_DOUBLINGS_MAX));
  wait = MAX (wait, MIN (retry_after_us, RETRY_AFTER_MAX_US));
  ledger->failures++;
  ledger->last_error = code;
  ledger->next_call_at = clk_now (ledger->options.clk) + wait;
  for (GList *l = ledger->queue.head; l; l = l->next)
    ((struct ledger_item *)l->data)->in_batch = FALSE;
}

/* Starts a request for the head object or the slot of segment SEQ. VALUE is
   written if the object is at version EXPECTED; NULL reads it.  */
static void
start_call (struct ledger_shard *ledger, enum ledger_op_kind kind, guint32 seq,
            guint64 expected, GBytes *value)
{
  struct storage_request call = {
    .op = value ? STORAGE_PUT : STORAGE_GET,
    .expected = expected,
    .body = value,
    .timeout_us = LEDGER_STORE_TIMEOUT_US,
  };
  if (kind == LEDGER_READ_HEAD || kind == LEDGER_WRITE_HEAD)
    g_snprintf (call.name, sizeof call.name, "ledger/%02u/head",
                ledger->options.shard);
  else
    g_snprintf (call.name, sizeof call.name, "ledger/%02u/%04u",
                ledger->options.shard, seq % LEDGER_SEGMENT_SLOTS);
  struct ledger_op *op = ledger->ops;
  while (op->token)
    op++;
  *op = (struct ledger_op){ ++ledger->last_token, kind, seq };
  if (value)
    counter_add (ledger->options.counter_set, COUNTER_LEDGER_WRITES, 1);
  if (kind != LEDGER_READ_RESPONSE)
    ledger->busy = TRUE;
  ledger->options.start_request (ledger->options.ctx, op->token, &call);
}

/* Reads the head; its response decides all items that are queued now.  */
void
ledger_read_head (struct ledger_shard *ledger)
{
  ledger->last_read_at = clk_now (ledger->options.clk);
  for (GList *l = ledger->queue.head; l; l = l->next)
    ((struct ledger_item *)l->data)->in_batch = TRUE;
  start_call (ledger, LEDGER_READ_HEAD, 0, 0, NULL);
}

/* Writes VALUE, which contains the staged records, as the head.  */
void
ledger_write_head (struct ledger_shard *ledger, GBytes *value)
{
  ledger->last_write_at = clk_now (ledger->options.clk);
  for (GList *l = ledger->queue.head; l; l = l->next)
    {
      struct ledger_item *item = l->data;
      item->write_was_open = item->write_open;
      if (item->staged && !item->is_result)
        item->write_open = TRUE;
    }
  start_call (ledger, LEDGER_WRITE_HEAD, 0, ledger->version, value);
}

/* Returns the value of segment SEQ: the records of BASE, unless it is NULL, and
   those of the head. The caller unrefs it.  */
static GBytes *
encode_slot (struct ledger_shard *ledger, guint32 seq,
             const struct ledger_object *base)
{
  struct ledger_object_header header
      = { seq, seq + 1, ledger->version, ledger_wall_seconds (ledger) };
  struct ledger_object_parts parts = { base, TRUE, NULL };
  return ledger_object_encode (&header, ledger->table, &parts);
}

static void
write_slot (struct ledger_shard *ledger, guint32 seq, guint64 expected,
            GBytes *value)
{
  ledger->slot_seq = seq;
  start_call (ledger, LEDGER_WRITE_SLOT, seq, expected, value);
}

/* Writes the head's records as the next segment. EXPECTED is the version of the
   object in its slot, 0 if there is none.  */
static void
write_new_slot (struct ledger_shard *ledger, guint64 expected)
{
  const struct ledger_table *table = ledger->table;
  guint32 retention = (guint32)(ledger->options.retention_us / CLK_S);
  guint32 now = ledger_wall_seconds (ledger);
  guint32 first
      = ledger_table_first_retained (table, now - MIN (now, retention));
  if (table->next_segment - first >= LEDGER_SEGMENT_SLOTS - 1)
    {
      ledger_call_failed (ledger, ERR_LIMIT, 0);
      return;
    }
  GBytes *value = encode_slot (ledger, table->next_segment, NULL);
  write_slot (ledger, table->next_segment, expected, value);
  g_bytes_unref (value);
}

/* Adds the head's records to the last segment, which is BASE at VERSION, or
   starts the next segment if they do not fit.  */
static void
extend_slot (struct ledger_shard *ledger, const struct ledger_object *base,
             guint64 version)
{
  GBytes *value = encode_slot (ledger, ledger->table->next_segment - 1, base);
  if (g_bytes_get_size (value) <= ledger->options.segment_max)
    write_slot (ledger, ledger->table->next_segment - 1, version, value);
  else
    write_new_slot (ledger, 0);
  g_bytes_unref (value);
}

/* Starts a rotation, which moves the head's records as of ledger->version to a
   segment. The head is written without them once the segment has them.  */
void
ledger_rotate_head (struct ledger_shard *ledger)
{
  if (ledger->table->next_segment > ledger->table->first_segment)
    start_call (ledger, LEDGER_READ_SLOT, ledger->table->next_segment - 1, 0,
                NULL);
  else
    write_new_slot (ledger, 0);
}

/* The slot of segment SEQ has the head's records as of ledger->version: the
   head can be written without them at once.  */
static void
slot_is_ready (struct ledger_shard *ledger, guint32 seq)
{
  ledger->slot_seq = seq;
  ledger->slot_ready = TRUE;
  ledger->failures = 0;
  ledger->last_write_at
      = clk_now (ledger->options.clk) - ledger->options.write_interval_us;
}

static void
slot_written (struct ledger_shard *ledger, guint32 seq,
              const struct storage_response *response)
{
  if (response->code == 0)
    slot_is_ready (ledger, seq);
  else if (response->code == ERR_CONFLICT || response->code == ERR_NOT_FOUND)
    start_call (ledger, LEDGER_READ_SLOT, seq, 0, NULL);
  else
    ledger_call_failed (ledger, response->code, response->retry_after_us);
}

/* Returns whether HEADER, read from the slot of segment SEQ, shows that another
   instance has rotated a newer head than the one in memory.  */
static gboolean
is_newer (const struct ledger_shard *ledger,
          const struct ledger_object_header *header, guint32 seq)
{
  return header->first_segment > seq
         || (header->first_segment == seq
             && header->rotated_version > ledger->version);
}

/* Continues a rotation with the object in the slot of segment SEQ: OBJ at
   VERSION, or NULL if there is none or it cannot be decoded. The slot may
   already contain the head's records, or the last segment, or, if SEQ is the
   next segment, an outdated object.  */
static void
handle_slot (struct ledger_shard *ledger, guint32 seq,
             const struct ledger_object *obj, guint64 version)
{
  struct ledger_object_header header = { 0 };
  if (obj)
    header = *ledger_object_header (obj);
  if (obj && header.first_segment == seq
      && header.rotated_version == ledger->version)
    slot_is_ready (ledger, seq);
  else if (obj && is_newer (ledger, &header, seq))
    {
      ledger->min_version = ledger->version + 1;
      ledger->phase = LEDGER_HEAD_UNREAD;
    }
  else if (seq == ledger->table->next_segment)
    write_new_slot (ledger, version);
  else if (obj && header.first_segment == seq)
    extend_slot (ledger, obj, version);
  else
    ledger_call_failed (ledger, ERR_PROTOCOL, 0);
}

static void
slot_read (struct ledger_shard *ledger, guint32 seq,
           const struct storage_response *response)
{
  struct ledger_object *obj = NULL;
  if (response->code != 0 && response->code != ERR_NOT_FOUND)
    {
      ledger_call_failed (ledger, response->code, response->retry_after_us);
      return;
    }
  if (response->code == 0)
    ledger_object_decode (response->body, &obj);
  handle_slot (ledger, seq, obj, response->code == 0 ? response->version : 0);
  ledger_object_free (obj);
}

/* Adds record I of OBJ to the table, as one of the head (IN_HEAD) or of segment
   SEQ.  */
static void
load_record (struct ledger_shard *ledger, const struct ledger_object *obj,
             guint i, gboolean in_head, guint32 seq)
{
  struct ledger_object_record record;
  ledger_object_record (obj, i, &record);
  struct ledger_key_record *rec = &record.rec;
  rec->ingress = ledger_table_ingress_index (ledger->table, record.ingress,
                                             record.incarnation);
  if (in_head && rec->state == LEDGER_DONE)
    rec->response
        = ledger_response_new (record.status, record.content_type, record.body);
  if (in_head)
    ledger_table_put (ledger->table, rec);
  else
    ledger_table_put_in_segment (ledger->table, seq, rec);
}

static void
loading_done (struct ledger_shard *ledger)
{
  ledger->phase = LEDGER_READY;
  ledger->failures = 0;
  ledger->synced_at = clk_now (ledger->options.clk);
  ledger_reply_batch (ledger);
}

/* Reads the segments that are not in memory, several at a time.  */
static void
load_segments (struct ledger_shard *ledger)
{
  const struct ledger_table *table = ledger->table;
  for (; ledger->next_segment_read < table->next_segment
         && ledger->segment_reads < LEDGER_SEGMENT_READS_MAX;
       ledger->next_segment_read++)
    if (!ledger_table_has_segment (table, ledger->next_segment_read))
      {
        ledger->segment_reads++;
        start_call (ledger, LEDGER_READ_SEGMENT, ledger->next_segment_read, 0,
                    NULL);
      }
  if (ledger->segment_reads == 0)
    loading_done (ledger);
}

/* Ends loading with an error; responses to its other reads are ignored.  */
static void
loading_failed (struct ledger_shard *ledger, int code, gint64 retry_after_us)
{
  for (guint i = 0; i < LEDGER_OPS_MAX; i++)
    if (ledger->ops[i].kind == LEDGER_READ_SEGMENT)
      ledger->ops[i].token = 0;
  ledger->segment_reads = 0;
  ledger->phase = LEDGER_HEAD_UNREAD;
  ledger_call_failed (ledger, code, retry_after_us);
}

/* Returns whether HEADER is that of segment SEQ, with all records that were
   rotated into it.  */
static gboolean
is_current_segment (const struct ledger_shard *ledger,
                    const struct ledger_object_header *header, guint32 seq)
{
  return header->first_segment == seq
         && (seq + 1 < ledger->table->next_segment
             || header->rotated_version >= ledger->table->rotated_version);
}

/* Loads segment SEQ from RESPONSE and continues with the next ones.  */
static void
segment_read (struct ledger_shard *ledger, guint32 seq,
              const struct storage_response *response)
{
  struct ledger_object *obj = NULL;
  int code = response->code;
  if (code == 0)
    code = ledger_object_decode (response->body, &obj);
  if (code == 0
      && !is_current_segment (ledger, ledger_object_header (obj), seq))
    code = ERR_PROTOCOL;
  if (code != 0)
    loading_failed (ledger, code, response->retry_after_us);
  else
    {
      ledger_table_add_segment (ledger->table, seq,
                                ledger_object_header (obj)->time);
      for (guint i = 0; i < ledger_object_record_count (obj); i++)
        load_record (ledger, obj, i, FALSE, seq);
      ledger->segment_reads--;
      load_segments (ledger);
    }
  ledger_object_free (obj);
}

/* Replaces the head in memory by OBJ, read at VERSION, and drops segments out
   of retention.  */
static void
load_head (struct ledger_shard *ledger, const struct ledger_object *obj,
           guint64 version)
{
  const struct ledger_object_header *header = ledger_object_header (obj);
  struct ledger_table *table = ledger->table;
  ledger_table_clear_head (table);
  ledger_table_expire (table, header->first_segment);
  if (table->rotated_version != header->rotated_version
      && table->next_segment > 0)
    ledger_table_reopen_segment (table, table->next_segment - 1);
  table->next_segment = header->next_segment;
  table->rotated_version = header->rotated_version;
  for (guint i = 0; i < ledger_object_record_count (obj); i++)
    load_record (ledger, obj, i, TRUE, 0);
  ledger_set_version (ledger, version);
  ledger->contended_until = clk_now (ledger->options.clk) + CONTENDED_US;
}

/* Handles the response to a read of the head. Closed segments that are not in
   memory are read next, then the queued items are replied to.  */
static void
head_read (struct ledger_shard *ledger, const struct storage_response *response)
{
  struct ledger_object *obj = NULL;
  guint64 version = response->code == ERR_NOT_FOUND ? 0 : response->version;
  int code = response->code == ERR_NOT_FOUND ? 0 : response->code;
  if (code == 0 && version < ledger->min_version)
    code = ERR_PROTOCOL;
  if (code == 0 && version > ledger->version)
    code = ledger_object_decode (response->body, &obj);
  if (code != 0)
    {
      ledger_call_failed (ledger, code, response->retry_after_us);
      return;
    }
  if (obj)
    {
      load_head (ledger, obj, version);
      ledger->phase = LEDGER_LOADING;
      ledger_object_free (obj);
    }
  if (ledger->phase == LEDGER_READY)
    {
      loading_done (ledger);
      return;
    }
  ledger->phase = LEDGER_LOADING;
  ledger->next_segment_read = ledger->table->first_segment;
  load_segments (ledger);
}

/* Replies to ITEM if OBJ contains the response of its key. Returns whether it
   does.  */
static gboolean
reply_from (struct ledger_shard *ledger, const struct ledger_item *item,
            const struct ledger_object *obj)
{
  struct ledger_object_record record;
  for (guint i = 0; i < ledger_object_record_count (obj); i++)
    {
      ledger_object_record (obj, i, &record);
      if (memcmp (record.rec.key, item->key, MSG_KEY_BYTES) != 0
          || record.rec.state != LEDGER_DONE)
        continue;
      struct ledger_response *response = ledger_response_new (
          record.status, record.content_type, record.body);
      ledger_send_reply (ledger, item, MSG_VERDICT_DONE, response);
      g_free (response);
      return TRUE;
    }
  return FALSE;
}

/* Replies to the queued replays whose response is in segment OBJ.  */
static void
reply_to_replays (struct ledger_shard *ledger, const struct ledger_object *obj)
{
  for (GList *l = ledger->replays.head, *next; l; l = next)
    {
      next = l->next;
      if (!reply_from (ledger, l->data, obj))
        continue;
      ledger_item_free (l->data);
      g_queue_delete_link (&ledger->replays, l);
    }
}

/* Replies to replays from segment SEQ. If RESPONSE does not have the segment,
   it is read again after a delay.  */
static void
replay_segment_read (struct ledger_shard *ledger, guint32 seq,
                     const struct storage_response *response)
{
  struct ledger_object *obj = NULL;
  if (response->code == 0)
    ledger_object_decode (response->body, &obj);
  if (obj && ledger_object_header (obj)->first_segment == seq)
    reply_to_replays (ledger, obj);
  else
    ledger->next_replay_at = clk_now (ledger->options.clk)
                             + backoff (ledger, RETRY_DELAY_MIN_US, 1);
  ledger_object_free (obj);
}

/* Reads the segment of the first queued replay, unless such a read is open.  */
void
ledger_start_replay (struct ledger_shard *ledger)
{
  const struct ledger_item *item = g_queue_peek_head (&ledger->replays);
  if (!item || clk_now (ledger->options.clk) < ledger->next_replay_at)
    return;
  for (guint i = 0; i < LEDGER_OPS_MAX; i++)
    if (ledger->ops[i].token && ledger->ops[i].kind == LEDGER_READ_RESPONSE)
      return;
  const struct ledger_key_record *rec
      = ledger_table_find (ledger->table, item->key);
  if (rec && rec->seq != LEDGER_IN_HEAD)
    start_call (ledger, LEDGER_READ_RESPONSE, rec->seq, 0, NULL);
}

/* Lets the next write follow a conflict without the write interval. Repeated
   conflicts delay it by a random time, so that instances that serve the same
   shard do not conflict again and again.  */
static void
delay_after_conflict (struct ledger_shard *ledger)
{
  ledger->last_write_at -= ledger->options.write_interval_us;
  if (ledger->conflicts > 1)
    ledger->next_call_at
        = clk_now (ledger->options.clk)
          + backoff (ledger, CONFLICT_DELAY_US,
                     MIN (ledger->conflicts - 2, CONFLICT_DOUBLINGS_MAX));
}

static void
dispatch (struct ledger_shard *ledger, const struct ledger_op *op,
          const struct storage_response *response)
{
  switch (op->kind)
    {
    case LEDGER_READ_HEAD:
      head_read (ledger, response);
      break;
    case LEDGER_WRITE_HEAD:
      ledger_head_written (ledger, response);
      if (response->code == ERR_CONFLICT)
        delay_after_conflict (ledger);
      break;
    case LEDGER_READ_SLOT:
      slot_read (ledger, op->seq, response);
      break;
    case LEDGER_WRITE_SLOT:
      slot_written (ledger, op->seq, response);
      break;
    case LEDGER_READ_SEGMENT:
      segment_read (ledger, op->seq, response);
      break;
    case LEDGER_READ_RESPONSE:
      replay_segment_read (ledger, op->seq, response);
      break;
    }
}

/* Handles the response to the store request TOKEN; unknown tokens are
   ignored.  */
void
ledger_store_response (struct ledger_shard *ledger, guint64 token,
                       const struct storage_response *response)
{
  for (guint i = 0; token && i < LEDGER_OPS_MAX; i++)
    {
      struct ledger_op op = ledger->ops[i];
      if (op.token != token)
        continue;
      ledger->ops[i].token = 0;
      if (op.kind != LEDGER_READ_RESPONSE)
        ledger->busy = FALSE;
      dispatch (ledger, &op, response);
      ledger->busy |= ledger->segment_reads > 0;
      ledger_start_next_call (ledger);
      ledger_start_replay (ledger);
      return;
    }
}
