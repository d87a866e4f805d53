#include "ledger/ledger_internal.h"

#include <string.h>

#define BACKOFF_MIN_US (50 * CLK_MS)
#define BACKOFF_DOUBLINGS 7             /* at most */
#define RETRY_AFTER_MAX_US (60 * CLK_S) /* longer advice is cut */
#define SHARED_US (60 * CLK_S)          /* another instance may write again */
#define CONFLICT_WAIT_US (10 * CLK_MS)  /* first, doubles with each conflict */
#define CONFLICT_DOUBLINGS 5            /* at most */

/* Returns BASE doubled N times, between half of it and one and a half.  */
static gint64
backoff (struct ledger_shard *ledger, gint64 base, guint n)
{
  return (gint64)((double)(base << n)
                  * g_rand_double_range (ledger->rand, 0.5, 1.5));
}

/* Notes that the open call failed, and when to try again.  */
void
ledger_call_failed (struct ledger_shard *ledger, int code,
                    gint64 retry_after_us)
{
  gint64 wait = backoff (ledger, BACKOFF_MIN_US,
                         MIN (ledger->failures, BACKOFF_DOUBLINGS));
  wait = MAX (wait, MIN (retry_after_us, RETRY_AFTER_MAX_US));
  ledger->failures++;
  ledger->last_error = code;
  ledger->retry_at = clk_now (ledger->options.clk) + wait;
  for (GList *l = ledger->queue.head; l; l = l->next)
    ((struct ledger_item *)l->data)->in_batch = FALSE;
}

/* Starts a store call on the head, or on segment SEQ's slot.  */
static void
start (struct ledger_shard *ledger, enum ledger_op_kind kind, guint32 seq,
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
    ctr_add (ledger->options.ctr, CTR_LEDGER_WRITES, 1);
  if (kind != LEDGER_READ_RESPONSE)
    ledger->busy = TRUE;
  ledger->options.store (ledger->options.ctx, op->token, &call);
}

/* Reads the head; the answer decides all items that wait now.  */
void
ledger_read_head (struct ledger_shard *ledger)
{
  ledger->last_read = clk_now (ledger->options.clk);
  for (GList *l = ledger->queue.head; l; l = l->next)
    ((struct ledger_item *)l->data)->in_batch = TRUE;
  start (ledger, LEDGER_READ_HEAD, 0, 0, NULL);
}

/* Writes VALUE, which holds the staged records, as the head.  */
void
ledger_write_head (struct ledger_shard *ledger, GBytes *value)
{
  ledger->last_write = clk_now (ledger->options.clk);
  for (GList *l = ledger->queue.head; l; l = l->next)
    {
      struct ledger_item *item = l->data;
      item->was_open = item->open;
      if (item->staged && !item->is_result)
        item->open = TRUE;
    }
  start (ledger, LEDGER_WRITE_HEAD, 0, ledger->version, value);
}

/* Returns segment SEQ's value: BASE or NULL, and the head's records.  */
static GBytes *
slot_value (struct ledger_shard *ledger, guint32 seq,
            const struct ledger_object *base)
{
  struct ledger_object_header header
      = { seq, seq + 1, ledger->version, ledger_wall_seconds (ledger) };
  struct ledger_object_parts parts = { base, TRUE, NULL };
  return ledger_object_encode (&header, ledger->tab, &parts);
}

static void
write_slot (struct ledger_shard *ledger, guint32 seq, guint64 expected,
            GBytes *value)
{
  ledger->slot_seq = seq;
  start (ledger, LEDGER_WRITE_SLOT, seq, expected, value);
}

/* Writes the head's records as the next segment. EXPECTED is the version of
   what its slot holds.  */
static void
write_new_slot (struct ledger_shard *ledger, guint64 expected)
{
  const struct ledger_table *tab = ledger->tab;
  guint32 keep = (guint32)(ledger->options.retention_us / CLK_S);
  guint32 now = ledger_wall_seconds (ledger);
  guint32 first = ledger_table_first_retained (tab, now - MIN (now, keep));
  if (tab->next - first >= LEDGER_SEGMENT_SLOTS - 1)
    {
      ledger_call_failed (ledger, ERR_LIMIT, 0);
      return;
    }
  GBytes *value = slot_value (ledger, tab->next, NULL);
  write_slot (ledger, tab->next, expected, value);
  g_bytes_unref (value);
}

/* Adds the head's records to the last segment, whose slot holds BASE at
   VERSION, or starts the next one.  */
static void
extend_slot (struct ledger_shard *ledger, const struct ledger_object *base,
             guint64 version)
{
  GBytes *value = slot_value (ledger, ledger->tab->next - 1, base);
  if (g_bytes_get_size (value) <= ledger->options.segment_max)
    write_slot (ledger, ledger->tab->next - 1, version, value);
  else
    write_new_slot (ledger, 0);
  g_bytes_unref (value);
}

/* Starts to move the head's records, as they are at led->version, to a
   segment. The head is written without them once the segment's slot has
   them.  */
void
ledger_rotate_head (struct ledger_shard *ledger)
{
  if (ledger->tab->next > ledger->tab->first)
    start (ledger, LEDGER_READ_SLOT, ledger->tab->next - 1, 0, NULL);
  else
    write_new_slot (ledger, 0);
}

static void
slot_is_ready (struct ledger_shard *ledger, guint32 seq)
{
  ledger->slot_seq = seq;
  ledger->slot_ready = TRUE;
  ledger->failures = 0;
  ledger->last_write
      = clk_now (ledger->options.clk) - ledger->options.write_gap_us;
}

static void
slot_written (struct ledger_shard *ledger, guint32 seq,
              const struct storage_response *answer)
{
  if (answer->code == 0)
    slot_is_ready (ledger, seq);
  else if (answer->code == ERR_CONFLICT || answer->code == ERR_NOT_FOUND)
    start (ledger, LEDGER_READ_SLOT, seq, 0, NULL);
  else
    ledger_call_failed (ledger, answer->code, answer->retry_after_us);
}

/* Tells whether HEADER, of what segment SEQ's slot holds, shows that the head
   has moved on.  */
static gboolean
is_newer (const struct ledger_shard *ledger,
          const struct ledger_object_header *header, guint32 seq)
{
  return header->first > seq
         || (header->first == seq && header->closes > ledger->version);
}

/* Takes what segment SEQ's slot holds, OBJ at VERSION, or NULL if it cannot
   be read or is not there: the head's records already, or the last segment,
   or a leftover in the next one's place.  */
static void
take_slot (struct ledger_shard *ledger, guint32 seq,
           const struct ledger_object *obj, guint64 version)
{
  struct ledger_object_header header = { 0 };
  if (obj)
    header = *ledger_object_header (obj);
  if (obj && header.first == seq && header.closes == ledger->version)
    slot_is_ready (ledger, seq);
  else if (obj && is_newer (ledger, &header, seq))
    {
      ledger->min_version = ledger->version + 1;
      ledger->phase = LEDGER_HEAD_UNREAD;
    }
  else if (seq == ledger->tab->next)
    write_new_slot (ledger, version);
  else if (obj && header.first == seq)
    extend_slot (ledger, obj, version);
  else
    ledger_call_failed (ledger, ERR_PROTOCOL, 0);
}

static void
slot_read (struct ledger_shard *ledger, guint32 seq,
           const struct storage_response *answer)
{
  struct ledger_object *obj = NULL;
  if (answer->code != 0 && answer->code != ERR_NOT_FOUND)
    {
      ledger_call_failed (ledger, answer->code, answer->retry_after_us);
      return;
    }
  if (answer->code == 0)
    ledger_object_decode (answer->body, &obj);
  take_slot (ledger, seq, obj, answer->code == 0 ? answer->version : 0);
  ledger_object_free (obj);
}

/* Puts OBJ's record I into memory, as one of the head (KEEP) or of segment
   SEQ.  */
static void
take_record (struct ledger_shard *ledger, const struct ledger_object *obj,
             guint i, gboolean keep, guint32 seq)
{
  struct ledger_object_record record;
  ledger_object_record (obj, i, &record);
  struct ledger_key_record *rec = &record.rec;
  rec->holder = ledger_table_ingress_index (ledger->tab, record.holder,
                                            record.incarnation);
  if (keep && rec->state == LEDGER_DONE)
    rec->kept = ledger_response_new (record.status, record.content_type,
                                     record.answer);
  if (keep)
    ledger_table_put (ledger->tab, rec);
  else
    ledger_table_put_in_segment (ledger->tab, seq, rec);
}

static void
load_end (struct ledger_shard *ledger)
{
  ledger->phase = LEDGER_READY;
  ledger->failures = 0;
  ledger->synced = clk_now (ledger->options.clk);
  ledger_reply_batch (ledger);
}

/* Reads the segments that memory lacks, some at a time.  */
static void
load_more (struct ledger_shard *ledger)
{
  const struct ledger_table *tab = ledger->tab;
  for (; ledger->load_next < tab->next
         && ledger->loads < LEDGER_SEGMENT_READS_MAX;
       ledger->load_next++)
    if (!ledger_table_has_segment (tab, ledger->load_next))
      {
        ledger->loads++;
        start (ledger, LEDGER_READ_SEGMENT, ledger->load_next, 0, NULL);
      }
  if (ledger->loads == 0)
    load_end (ledger);
}

/* Gives up the load; answers of its other reads are ignored.  */
static void
load_fail (struct ledger_shard *ledger, int code, gint64 retry_after_us)
{
  for (guint i = 0; i < LEDGER_OPS_MAX; i++)
    if (ledger->ops[i].kind == LEDGER_READ_SEGMENT)
      ledger->ops[i].token = 0;
  ledger->loads = 0;
  ledger->phase = LEDGER_HEAD_UNREAD;
  ledger_call_failed (ledger, code, retry_after_us);
}

/* Tells whether HEADER is that of segment SEQ, with all that was closed into
   it.  */
static gboolean
is_segment (const struct ledger_shard *ledger,
            const struct ledger_object_header *header, guint32 seq)
{
  return header->first == seq
         && (seq + 1 < ledger->tab->next
             || header->closes >= ledger->tab->closes);
}

static void
segment_read (struct ledger_shard *ledger, guint32 seq,
              const struct storage_response *answer)
{
  struct ledger_object *obj = NULL;
  int code = answer->code;
  if (code == 0)
    code = ledger_object_decode (answer->body, &obj);
  if (code == 0 && !is_segment (ledger, ledger_object_header (obj), seq))
    code = ERR_PROTOCOL;
  if (code != 0)
    load_fail (ledger, code, answer->retry_after_us);
  else
    {
      ledger_table_add_segment (ledger->tab, seq,
                                ledger_object_header (obj)->time);
      for (guint i = 0; i < ledger_object_record_count (obj); i++)
        take_record (ledger, obj, i, FALSE, seq);
      ledger->loads--;
      load_more (ledger);
    }
  ledger_object_free (obj);
}

/* Takes the head OBJ at VERSION into memory, then the segments.  */
static void
take_head (struct ledger_shard *ledger, const struct ledger_object *obj,
           guint64 version)
{
  const struct ledger_object_header *header = ledger_object_header (obj);
  struct ledger_table *tab = ledger->tab;
  ledger_table_clear_head (tab);
  ledger_table_expire (tab, header->first);
  if (tab->closes != header->closes && tab->next > 0)
    ledger_table_reopen_segment (tab, tab->next - 1);
  tab->next = header->next;
  tab->closes = header->closes;
  for (guint i = 0; i < ledger_object_record_count (obj); i++)
    take_record (ledger, obj, i, TRUE, 0);
  ledger_set_version (ledger, version);
  ledger->shared_until = clk_now (ledger->options.clk) + SHARED_US;
}

static void
head_read (struct ledger_shard *ledger, const struct storage_response *answer)
{
  struct ledger_object *obj = NULL;
  guint64 version = answer->code == ERR_NOT_FOUND ? 0 : answer->version;
  int code = answer->code == ERR_NOT_FOUND ? 0 : answer->code;
  if (code == 0 && version < ledger->min_version)
    code = ERR_PROTOCOL;
  if (code == 0 && version > ledger->version)
    code = ledger_object_decode (answer->body, &obj);
  if (code != 0)
    {
      ledger_call_failed (ledger, code, answer->retry_after_us);
      return;
    }
  if (obj)
    {
      take_head (ledger, obj, version);
      ledger->phase = LEDGER_LOADING;
      ledger_object_free (obj);
    }
  if (ledger->phase == LEDGER_READY)
    {
      load_end (ledger);
      return;
    }
  ledger->phase = LEDGER_LOADING;
  ledger->load_next = ledger->tab->first;
  load_more (ledger);
}

/* Answers ITEM if OBJ holds the answer of its key. Returns whether it
   does.  */
static gboolean
replay_item (struct ledger_shard *ledger, const struct ledger_item *item,
             const struct ledger_object *obj)
{
  struct ledger_object_record record;
  for (guint i = 0; i < ledger_object_record_count (obj); i++)
    {
      ledger_object_record (obj, i, &record);
      if (memcmp (record.rec.key, item->key, MSG_KEY_BYTES) != 0
          || record.rec.state != LEDGER_DONE)
        continue;
      struct ledger_response *kept = ledger_response_new (
          record.status, record.content_type, record.answer);
      ledger_send_reply (ledger, item, MSG_VERDICT_DONE, kept);
      g_free (kept);
      return TRUE;
    }
  return FALSE;
}

/* Answers the waiting replays from segment OBJ.  */
static void
replay_from (struct ledger_shard *ledger, const struct ledger_object *obj)
{
  for (GList *l = ledger->replays.head, *next; l; l = next)
    {
      next = l->next;
      if (!replay_item (ledger, l->data, obj))
        continue;
      ledger_item_free (l->data);
      g_queue_delete_link (&ledger->replays, l);
    }
}

static void
answer_read (struct ledger_shard *ledger, guint32 seq,
             const struct storage_response *answer)
{
  struct ledger_object *obj = NULL;
  if (answer->code == 0)
    ledger_object_decode (answer->body, &obj);
  if (obj && ledger_object_header (obj)->first == seq)
    replay_from (ledger, obj);
  else
    ledger->replay_at
        = clk_now (ledger->options.clk) + backoff (ledger, BACKOFF_MIN_US, 1);
  ledger_object_free (obj);
}

/* Reads the segment of the first waiting replay, unless a read is open.  */
void
ledger_start_replay (struct ledger_shard *ledger)
{
  const struct ledger_item *item = g_queue_peek_head (&ledger->replays);
  if (!item || clk_now (ledger->options.clk) < ledger->replay_at)
    return;
  for (guint i = 0; i < LEDGER_OPS_MAX; i++)
    if (ledger->ops[i].token && ledger->ops[i].kind == LEDGER_READ_RESPONSE)
      return;
  const struct ledger_key_record *rec
      = ledger_table_find (ledger->tab, item->key);
  if (rec && rec->seq != LEDGER_IN_HEAD)
    start (ledger, LEDGER_READ_RESPONSE, rec->seq, 0, NULL);
}

/* Waits a little before the next try after repeated conflicts, so that
   instances serving the same shard do not run in step.  */
static void
wait_after_conflict (struct ledger_shard *ledger)
{
  ledger->last_write -= ledger->options.write_gap_us;
  if (ledger->conflicts > 1)
    ledger->retry_at
        = clk_now (ledger->options.clk)
          + backoff (ledger, CONFLICT_WAIT_US,
                     MIN (ledger->conflicts - 2, CONFLICT_DOUBLINGS));
}

static void
dispatch (struct ledger_shard *ledger, const struct ledger_op *op,
          const struct storage_response *answer)
{
  switch (op->kind)
    {
    case LEDGER_READ_HEAD:
      head_read (ledger, answer);
      break;
    case LEDGER_WRITE_HEAD:
      ledger_head_written (ledger, answer);
      if (answer->code == ERR_CONFLICT)
        wait_after_conflict (ledger);
      break;
    case LEDGER_READ_SLOT:
      slot_read (ledger, op->seq, answer);
      break;
    case LEDGER_WRITE_SLOT:
      slot_written (ledger, op->seq, answer);
      break;
    case LEDGER_READ_SEGMENT:
      segment_read (ledger, op->seq, answer);
      break;
    case LEDGER_READ_RESPONSE:
      answer_read (ledger, op->seq, answer);
      break;
    }
}

/* Takes the answer to the store call TOKEN; unknown ones are ignored.  */
void
ledger_store_response (struct ledger_shard *ledger, guint64 token,
                       const struct storage_response *answer)
{
  for (guint i = 0; token && i < LEDGER_OPS_MAX; i++)
    {
      struct ledger_op op = ledger->ops[i];
      if (op.token != token)
        continue;
      ledger->ops[i].token = 0;
      if (op.kind != LEDGER_READ_RESPONSE)
        ledger->busy = FALSE;
      dispatch (ledger, &op, answer);
      ledger->busy |= ledger->loads > 0;
      ledger_start_next_call (ledger);
      ledger_start_replay (ledger);
      return;
    }
}
