#include "ledger/led_priv.h"

#include <string.h>

#define BACKOFF_MIN_US (50 * CLK_MS)
#define BACKOFF_DOUBLINGS 7             /* at most */
#define RETRY_AFTER_MAX_US (60 * CLK_S) /* longer advice is cut */
#define SHARED_US (60 * CLK_S)          /* another instance may write again */
#define CONFLICT_WAIT_US (10 * CLK_MS)  /* first, doubles with each conflict */
#define CONFLICT_DOUBLINGS 5            /* at most */

/* Returns BASE doubled N times, between half of it and one and a half.  */
static gint64
backoff (struct led *led, gint64 base, guint n)
{
  return (gint64)((double)(base << n)
                  * g_rand_double_range (led->rand, 0.5, 1.5));
}

/* Notes that the open call failed, and when to try again.  */
void
led_fail (struct led *led, int code, gint64 retry_after_us)
{
  gint64 wait
      = backoff (led, BACKOFF_MIN_US, MIN (led->failures, BACKOFF_DOUBLINGS));
  wait = MAX (wait, MIN (retry_after_us, RETRY_AFTER_MAX_US));
  led->failures++;
  led->last_error = code;
  led->retry_at = clk_now (led->options.clk) + wait;
  for (GList *l = led->queue.head; l; l = l->next)
    ((struct led_item *)l->data)->in_batch = FALSE;
}

/* Starts a store call on the head, or on segment SEQ's slot.  */
static void
start (struct led *led, enum led_op_kind kind, guint32 seq, guint64 expected,
       GBytes *value)
{
  struct sto_call call = {
    .op = value ? STO_PUT : STO_GET,
    .expected = expected,
    .body = value,
    .timeout_us = LED_CALL_US,
  };
  if (kind == LED_READ_HEAD || kind == LED_WRITE_HEAD)
    g_snprintf (call.name, sizeof call.name, "ledger/%02u/head",
                led->options.shard);
  else
    g_snprintf (call.name, sizeof call.name, "ledger/%02u/%04u",
                led->options.shard, seq % LED_SEGMENTS);
  struct led_op *op = led->ops;
  while (op->token)
    op++;
  *op = (struct led_op){ ++led->last_token, kind, seq };
  if (value)
    counter_add (led->options.counter_set, COUNTER_LEDGER_WRITES, 1);
  if (kind != LED_READ_ANSWER)
    led->busy = TRUE;
  led->options.store (led->options.ctx, op->token, &call);
}

/* Reads the head; the answer decides all items that wait now.  */
void
led_read_head (struct led *led)
{
  led->last_read = clk_now (led->options.clk);
  for (GList *l = led->queue.head; l; l = l->next)
    ((struct led_item *)l->data)->in_batch = TRUE;
  start (led, LED_READ_HEAD, 0, 0, NULL);
}

/* Writes VALUE, which holds the staged records, as the head.  */
void
led_write_head (struct led *led, GBytes *value)
{
  led->last_write = clk_now (led->options.clk);
  for (GList *l = led->queue.head; l; l = l->next)
    {
      struct led_item *item = l->data;
      item->was_open = item->open;
      if (item->staged && !item->is_result)
        item->open = TRUE;
    }
  start (led, LED_WRITE_HEAD, 0, led->version, value);
}

/* Returns segment SEQ's value: BASE or NULL, and the head's records.  */
static GBytes *
slot_value (struct led *led, guint32 seq, const struct led_obj *base)
{
  struct led_obj_header header
      = { seq, seq + 1, led->version, led_seconds (led) };
  struct led_obj_parts parts = { base, TRUE, NULL };
  return led_obj_encode (&header, led->tab, &parts);
}

static void
write_slot (struct led *led, guint32 seq, guint64 expected, GBytes *value)
{
  led->slot_seq = seq;
  start (led, LED_WRITE_SLOT, seq, expected, value);
}

/* Writes the head's records as the next segment. EXPECTED is the version of
   what its slot holds.  */
static void
write_new_slot (struct led *led, guint64 expected)
{
  const struct led_tab *tab = led->tab;
  guint32 keep = (guint32)(led->options.retention_us / CLK_S);
  guint32 now = led_seconds (led);
  guint32 first = led_tab_expired (tab, now - MIN (now, keep));
  if (tab->next - first >= LED_SEGMENTS - 1)
    {
      led_fail (led, ERR_LIMIT, 0);
      return;
    }
  GBytes *value = slot_value (led, tab->next, NULL);
  write_slot (led, tab->next, expected, value);
  g_bytes_unref (value);
}

/* Adds the head's records to the last segment, whose slot holds BASE at
   VERSION, or starts the next one.  */
static void
extend_slot (struct led *led, const struct led_obj *base, guint64 version)
{
  GBytes *value = slot_value (led, led->tab->next - 1, base);
  if (g_bytes_get_size (value) <= led->options.segment_max)
    write_slot (led, led->tab->next - 1, version, value);
  else
    write_new_slot (led, 0);
  g_bytes_unref (value);
}

/* Starts to move the head's records, as they are at led->version, to a
   segment. The head is written without them once the segment's slot has
   them.  */
void
led_close_head (struct led *led)
{
  if (led->tab->next > led->tab->first)
    start (led, LED_READ_SLOT, led->tab->next - 1, 0, NULL);
  else
    write_new_slot (led, 0);
}

static void
slot_is_ready (struct led *led, guint32 seq)
{
  led->slot_seq = seq;
  led->slot_ready = TRUE;
  led->failures = 0;
  led->last_write = clk_now (led->options.clk) - led->options.write_gap_us;
}

static void
slot_written (struct led *led, guint32 seq, const struct sto_answer *answer)
{
  if (answer->code == 0)
    slot_is_ready (led, seq);
  else if (answer->code == ERR_CONFLICT || answer->code == ERR_NOT_FOUND)
    start (led, LED_READ_SLOT, seq, 0, NULL);
  else
    led_fail (led, answer->code, answer->retry_after_us);
}

/* Tells whether HEADER, of what segment SEQ's slot holds, shows that the head
   has moved on.  */
static gboolean
is_newer (const struct led *led, const struct led_obj_header *header,
          guint32 seq)
{
  return header->first > seq
         || (header->first == seq && header->closes > led->version);
}

/* Takes what segment SEQ's slot holds, OBJ at VERSION, or NULL if it cannot
   be read or is not there: the head's records already, or the last segment,
   or a leftover in the next one's place.  */
static void
take_slot (struct led *led, guint32 seq, const struct led_obj *obj,
           guint64 version)
{
  struct led_obj_header header = { 0 };
  if (obj)
    header = *led_obj_header (obj);
  if (obj && header.first == seq && header.closes == led->version)
    slot_is_ready (led, seq);
  else if (obj && is_newer (led, &header, seq))
    {
      led->min_version = led->version + 1;
      led->phase = LED_COLD;
    }
  else if (seq == led->tab->next)
    write_new_slot (led, version);
  else if (obj && header.first == seq)
    extend_slot (led, obj, version);
  else
    led_fail (led, ERR_PROTOCOL, 0);
}

static void
slot_read (struct led *led, guint32 seq, const struct sto_answer *answer)
{
  struct led_obj *obj = NULL;
  if (answer->code != 0 && answer->code != ERR_NOT_FOUND)
    {
      led_fail (led, answer->code, answer->retry_after_us);
      return;
    }
  if (answer->code == 0)
    led_obj_decode (answer->body, &obj);
  take_slot (led, seq, obj, answer->code == 0 ? answer->version : 0);
  led_obj_free (obj);
}

/* Puts OBJ's record I into memory, as one of the head (KEEP) or of segment
   SEQ.  */
static void
take_record (struct led *led, const struct led_obj *obj, guint i, gboolean keep,
             guint32 seq)
{
  struct led_obj_record record;
  led_obj_record (obj, i, &record);
  struct led_rec *rec = &record.rec;
  rec->holder = led_tab_holder (led->tab, record.holder, record.incarnation);
  if (keep && rec->state == LED_DONE)
    rec->kept
        = led_kept_new (record.status, record.content_type, record.answer);
  if (keep)
    led_tab_put (led->tab, rec);
  else
    led_tab_put_segment (led->tab, seq, rec);
}

static void
load_end (struct led *led)
{
  led->phase = LED_READY;
  led->failures = 0;
  led->synced = clk_now (led->options.clk);
  led_decide_batch (led);
}

/* Reads the segments that memory lacks, some at a time.  */
static void
load_more (struct led *led)
{
  const struct led_tab *tab = led->tab;
  for (; led->load_next < tab->next && led->loads < LED_LOADS_MAX;
       led->load_next++)
    if (!led_tab_has_segment (tab, led->load_next))
      {
        led->loads++;
        start (led, LED_READ_SEGMENT, led->load_next, 0, NULL);
      }
  if (led->loads == 0)
    load_end (led);
}

/* Gives up the load; answers of its other reads are ignored.  */
static void
load_fail (struct led *led, int code, gint64 retry_after_us)
{
  for (guint i = 0; i < LED_OPS_MAX; i++)
    if (led->ops[i].kind == LED_READ_SEGMENT)
      led->ops[i].token = 0;
  led->loads = 0;
  led->phase = LED_COLD;
  led_fail (led, code, retry_after_us);
}

/* Tells whether HEADER is that of segment SEQ, with all that was closed into
   it.  */
static gboolean
is_segment (const struct led *led, const struct led_obj_header *header,
            guint32 seq)
{
  return header->first == seq
         && (seq + 1 < led->tab->next || header->closes >= led->tab->closes);
}

static void
segment_read (struct led *led, guint32 seq, const struct sto_answer *answer)
{
  struct led_obj *obj = NULL;
  int code = answer->code;
  if (code == 0)
    code = led_obj_decode (answer->body, &obj);
  if (code == 0 && !is_segment (led, led_obj_header (obj), seq))
    code = ERR_PROTOCOL;
  if (code != 0)
    load_fail (led, code, answer->retry_after_us);
  else
    {
      led_tab_add_segment (led->tab, seq, led_obj_header (obj)->time);
      for (guint i = 0; i < led_obj_size (obj); i++)
        take_record (led, obj, i, FALSE, seq);
      led->loads--;
      load_more (led);
    }
  led_obj_free (obj);
}

/* Takes the head OBJ at VERSION into memory, then the segments.  */
static void
take_head (struct led *led, const struct led_obj *obj, guint64 version)
{
  const struct led_obj_header *header = led_obj_header (obj);
  struct led_tab *tab = led->tab;
  led_tab_clear_head (tab);
  led_tab_expire (tab, header->first);
  if (tab->closes != header->closes && tab->next > 0)
    led_tab_reopen_segment (tab, tab->next - 1);
  tab->next = header->next;
  tab->closes = header->closes;
  for (guint i = 0; i < led_obj_size (obj); i++)
    take_record (led, obj, i, TRUE, 0);
  led_version_moved (led, version);
  led->shared_until = clk_now (led->options.clk) + SHARED_US;
}

static void
head_read (struct led *led, const struct sto_answer *answer)
{
  struct led_obj *obj = NULL;
  guint64 version = answer->code == ERR_NOT_FOUND ? 0 : answer->version;
  int code = answer->code == ERR_NOT_FOUND ? 0 : answer->code;
  if (code == 0 && version < led->min_version)
    code = ERR_PROTOCOL;
  if (code == 0 && version > led->version)
    code = led_obj_decode (answer->body, &obj);
  if (code != 0)
    {
      led_fail (led, code, answer->retry_after_us);
      return;
    }
  if (obj)
    {
      take_head (led, obj, version);
      led->phase = LED_LOADING;
      led_obj_free (obj);
    }
  if (led->phase == LED_READY)
    {
      load_end (led);
      return;
    }
  led->phase = LED_LOADING;
  led->load_next = led->tab->first;
  load_more (led);
}

/* Answers ITEM if OBJ holds the answer of its key. Returns whether it
   does.  */
static gboolean
replay_item (struct led *led, const struct led_item *item,
             const struct led_obj *obj)
{
  struct led_obj_record record;
  for (guint i = 0; i < led_obj_size (obj); i++)
    {
      led_obj_record (obj, i, &record);
      if (memcmp (record.rec.key, item->key, MSG_KEY_BYTES) != 0
          || record.rec.state != LED_DONE)
        continue;
      struct led_kept *kept
          = led_kept_new (record.status, record.content_type, record.answer);
      led_say (led, item, MSG_VERDICT_DONE, kept);
      g_free (kept);
      return TRUE;
    }
  return FALSE;
}

/* Answers the waiting replays from segment OBJ.  */
static void
replay_from (struct led *led, const struct led_obj *obj)
{
  for (GList *l = led->replays.head, *next; l; l = next)
    {
      next = l->next;
      if (!replay_item (led, l->data, obj))
        continue;
      led_item_free (l->data);
      g_queue_delete_link (&led->replays, l);
    }
}

static void
answer_read (struct led *led, guint32 seq, const struct sto_answer *answer)
{
  struct led_obj *obj = NULL;
  if (answer->code == 0)
    led_obj_decode (answer->body, &obj);
  if (obj && led_obj_header (obj)->first == seq)
    replay_from (led, obj);
  else
    led->replay_at
        = clk_now (led->options.clk) + backoff (led, BACKOFF_MIN_US, 1);
  led_obj_free (obj);
}

/* Reads the segment of the first waiting replay, unless a read is open.  */
void
led_replay (struct led *led)
{
  const struct led_item *item = g_queue_peek_head (&led->replays);
  if (!item || clk_now (led->options.clk) < led->replay_at)
    return;
  for (guint i = 0; i < LED_OPS_MAX; i++)
    if (led->ops[i].token && led->ops[i].kind == LED_READ_ANSWER)
      return;
  const struct led_rec *rec = led_tab_find (led->tab, item->key);
  if (rec && rec->seq != LED_IN_HEAD)
    start (led, LED_READ_ANSWER, rec->seq, 0, NULL);
}

/* Waits a little before the next try after repeated conflicts, so that
   instances serving the same shard do not run in step.  */
static void
wait_after_conflict (struct led *led)
{
  led->last_write -= led->options.write_gap_us;
  if (led->conflicts > 1)
    led->retry_at = clk_now (led->options.clk)
                    + backoff (led, CONFLICT_WAIT_US,
                               MIN (led->conflicts - 2, CONFLICT_DOUBLINGS));
}

static void
dispatch (struct led *led, const struct led_op *op,
          const struct sto_answer *answer)
{
  switch (op->kind)
    {
    case LED_READ_HEAD:
      head_read (led, answer);
      break;
    case LED_WRITE_HEAD:
      led_head_written (led, answer);
      if (answer->code == ERR_CONFLICT)
        wait_after_conflict (led);
      break;
    case LED_READ_SLOT:
      slot_read (led, op->seq, answer);
      break;
    case LED_WRITE_SLOT:
      slot_written (led, op->seq, answer);
      break;
    case LED_READ_SEGMENT:
      segment_read (led, op->seq, answer);
      break;
    case LED_READ_ANSWER:
      answer_read (led, op->seq, answer);
      break;
    }
}

/* Takes the answer to the store call TOKEN; unknown ones are ignored.  */
void
led_answer (struct led *led, guint64 token, const struct sto_answer *answer)
{
  for (guint i = 0; token && i < LED_OPS_MAX; i++)
    {
      struct led_op op = led->ops[i];
      if (op.token != token)
        continue;
      led->ops[i].token = 0;
      if (op.kind != LED_READ_ANSWER)
        led->busy = FALSE;
      dispatch (led, &op, answer);
      led->busy |= led->loads > 0;
      led_pump (led);
      led_replay (led);
      return;
    }
}
