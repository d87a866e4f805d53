#include "ledger/led_priv.h"

#include <string.h>

#define RECORD_BYTES 72         /* of a record without its answer, at most */
#define SYNCED_US (10 * CLK_MS) /* memory is up to date for so long */
#define RESULTS_ENOUGH 32       /* waiting results that need no more company */

static gboolean
is_mine (const struct led_item *item, const struct led_rec *rec)
{
  return rec->holder == item->holder && rec->ticket == item->ticket;
}

/* Returns the state that ITEM's record has to be written in; LED_NONE if
   nothing needs to be written.  */
static enum led_state
state_to_write (const struct led *led, const struct led_item *item)
{
  const struct led_rec *rec = led_tab_find (led->tab, item->key);
  if (!item->is_result)
    return !rec || (rec->state == LED_FREED && !is_mine (item, rec))
               ? LED_INTENT
               : LED_NONE;
  if (!rec || rec->state != LED_INTENT || !is_mine (item, rec))
    return LED_NONE;
  return item->did_not_run ? LED_FREED : LED_DONE;
}

/* Answers a result from memory. Returns FALSE if it has to wait.  */
static gboolean
decide_result (struct led *led, struct led_item *item)
{
  const struct led_rec *rec = led_tab_find (led->tab, item->key);
  enum msg_verdict verdict = MSG_VERDICT_UNKNOWN;
  if (rec && is_mine (item, rec))
    verdict
        = rec->state == LED_DONE ? MSG_VERDICT_DONE : MSG_VERDICT_UNAVAILABLE;
  else if (item->did_not_run && led_find_item (led, item, FALSE))
    return FALSE;
  else if (item->did_not_run)
    verdict = MSG_VERDICT_UNAVAILABLE;
  led_say (led, item, verdict, NULL);
  led_item_free (item);
  return TRUE;
}

static enum msg_verdict
verdict_on_intent (const struct led *led, const struct led_item *item,
                   const struct led_rec *rec)
{
  gint64 age = ((gint64)led_seconds (led) - rec->time) * CLK_S;
  if (rec->state == LED_FREED)
    return MSG_VERDICT_UNAVAILABLE;
  if (rec->state == LED_INTENT && is_mine (item, rec))
    return MSG_VERDICT_RECORDED;
  if (memcmp (rec->body, item->body, MSG_KEY_BYTES) != 0)
    return MSG_VERDICT_MISMATCH;
  if (rec->state == LED_DONE)
    return MSG_VERDICT_DONE;
  return age < led->options.run_max_us ? MSG_VERDICT_IN_PROGRESS
                                       : MSG_VERDICT_UNKNOWN;
}

/* Answers ITEM from memory and takes it over, the caller unlinks it. Returns
   FALSE, changing nothing, if something has to be written or settled
   first.  */
gboolean
led_decide (struct led *led, struct led_item *item)
{
  if (state_to_write (led, item) != LED_NONE)
    return FALSE;
  if (item->is_result)
    return decide_result (led, item);
  const struct led_rec *rec = led_tab_find (led->tab, item->key);
  enum msg_verdict verdict = verdict_on_intent (led, item, rec);
  if (verdict == MSG_VERDICT_DONE && !rec->kept)
    {
      if (led->replays.length >= LED_QUEUE_MAX)
        return FALSE;
      g_queue_push_tail (&led->replays, item);
      return TRUE;
    }
  led_say (led, item, verdict, rec->kept);
  led_item_free (item);
  return TRUE;
}

/* Answers the items that the call just ended was to decide.  */
void
led_decide_batch (struct led *led)
{
  for (GList *l = led->queue.head, *next; l; l = next)
    {
      struct led_item *item = l->data;
      next = l->next;
      gboolean decided = item->in_batch && led_decide (led, item);
      if (decided)
        g_queue_delete_link (&led->queue, l);
      else
        item->in_batch = item->staged = FALSE;
    }
}

/* Returns the record by which ITEM changes its key to STATE.  */
static struct led_rec *
record_of (const struct led *led, const struct led_item *item,
           enum led_state state)
{
  const struct led_rec *old = led_tab_find (led->tab, item->key);
  struct led_rec *rec = g_new0 (struct led_rec, 1);
  memcpy (rec->key, item->key, MSG_KEY_BYTES);
  memcpy (rec->body, item->is_result ? old->body : item->body, MSG_KEY_BYTES);
  rec->ticket = item->ticket;
  rec->holder = item->holder;
  rec->time = item->is_result ? old->time : led_seconds (led);
  rec->state = (guint8)state;
  if (state == LED_DONE)
    rec->kept = led_kept_new (item->kept->status, item->kept->content_type,
                              item->kept->answer);
  return rec;
}

static gsize
record_bytes (const struct led_rec *rec)
{
  gsize n = RECORD_BYTES;
  if (rec->kept)
    n += rec->kept->content_type.n + rec->kept->answer.n;
  return n;
}

/* Stages ITEM's record. Returns its bytes, 0 if the batch holds a record of
   the key already.  */
static gsize
stage_record (struct led *led, struct led_item *item, enum led_state state)
{
  struct led_rec *rec = record_of (led, item, state);
  if (g_hash_table_contains (led->staged, rec))
    {
      g_free (rec->kept);
      g_free (rec);
      return 0;
    }
  g_hash_table_add (led->staged, rec);
  item->staged = TRUE;
  return record_bytes (rec);
}

/* Gathers the next batch; its writes go to led->staged.  */
static void
stage (struct led *led)
{
  gsize bytes = 0;
  guint n = 0;
  guint room = led->options.keys_max
               - MIN (led_tab_size (led->tab), led->options.keys_max);
  for (GList *l = led->queue.head; l; l = l->next)
    {
      struct led_item *item = l->data;
      enum led_state state = state_to_write (led, item);
      item->in_batch = item->staged = FALSE;
      if (n >= LED_BATCH_MAX || bytes >= led->options.head_max / 2)
        continue;
      if (state == LED_INTENT && room == 0)
        continue;
      gsize more = state == LED_NONE ? 0 : stage_record (led, item, state);
      item->in_batch = state == LED_NONE || more > 0;
      n += item->in_batch;
      bytes += more;
      room -= state == LED_INTENT && more > 0;
    }
}

static void
unstage (struct led *led)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, led->staged);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct led_rec *rec = key;
      g_hash_table_iter_remove (&iter);
      g_free (rec->kept);
      g_free (rec);
    }
}

/* Notes that the head is at VERSION: writes that expected an older one can no
   longer take effect.  */
void
led_version_moved (struct led *led, guint64 version)
{
  led->version = led->min_version = version;
  led->unresolved = FALSE;
  led->slot_ready = FALSE;
  for (GList *l = led->queue.head; l; l = l->next)
    ((struct led_item *)l->data)->open = FALSE;
}

/* Takes the staged records over into memory.  */
static void
apply_staged (struct led *led)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, led->staged);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct led_rec *rec = key;
      if (rec->state == LED_INTENT)
        counter_add (led->options.counter_set, COUNTER_LEDGER_RECORDS, 1);
      led_tab_put (led->tab, rec);
      rec->kept = NULL;
    }
  unstage (led);
}

static void
write_held (struct led *led, guint64 version)
{
  if (led->slot_ready)
    {
      led_tab_close_head (led->tab, led->slot_seq, led->write.time);
      led_tab_expire (led->tab, led->write.first);
      led->tab->closes = led->write.closes;
    }
  led->failures = led->conflicts = 0;
  led->synced = clk_now (led->options.clk);
  led_version_moved (led, version);
  apply_staged (led);
  led_decide_batch (led);
}

/* The write is lost to another instance's: nothing of it was recorded, unless
   an earlier write of the same records was. Reading tells.  */
static void
write_lost (struct led *led)
{
  unstage (led);
  counter_add (led->options.counter_set, COUNTER_LEDGER_CONFLICTS, 1);
  led->failures = 0;
  led->conflicts++;
  led->min_version = led->version + 1;
  led->phase = LED_COLD;
}

/* The write changed nothing (SURE) or may yet take effect.  */
static void
write_failed (struct led *led, const struct sto_answer *answer, gboolean sure)
{
  unstage (led);
  for (GList *l = led->queue.head; l; l = l->next)
    {
      struct led_item *item = l->data;
      if (sure && item->staged)
        item->open = item->was_open;
    }
  led->unresolved |= !sure;
  led_fail (led, answer->code, answer->retry_after_us);
}

/* Takes the answer to the open write of the head.  */
void
led_head_written (struct led *led, const struct sto_answer *answer)
{
  switch (answer->code)
    {
    case 0:
      write_held (led, answer->version);
      break;
    case ERR_CONFLICT:
      write_lost (led);
      break;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      write_failed (led, answer, TRUE);
      break;
    default:
      write_failed (led, answer, FALSE);
      break;
    }
}

/* Starts the write of the staged records, or closes the head's records into a
   segment if there is no room for more.  */
static void
commit (struct led *led)
{
  struct led_tab *tab = led->tab;
  guint32 now = led_seconds (led);
  guint32 keep = (guint32)(led->options.retention_us / CLK_S);
  struct led_obj_parts parts = { NULL, !led->slot_ready, led->staged };
  led->write
      = (struct led_obj_header){ tab->first, tab->next, tab->closes, now };
  if (led->slot_ready)
    {
      led->write.first = led_tab_expired (tab, now - MIN (now, keep));
      led->write.next = led->slot_seq + 1;
      led->write.closes = led->version;
    }
  GBytes *value = led_obj_encode (&led->write, tab, &parts);
  if (g_bytes_get_size (value) > led->options.head_max && tab->head->len > 0
      && !led->slot_ready)
    {
      unstage (led);
      led_close_head (led);
    }
  else
    led_write_head (led, value);
  g_bytes_unref (value);
}

/* Tells whether something waits that should not wait for company.  */
static gboolean
is_due (const struct led *led)
{
  gint64 now = clk_now (led->options.clk);
  guint results = 0;
  for (const GList *l = led->queue.head; l; l = l->next)
    {
      const struct led_item *item = l->data;
      if (!item->is_result || now - item->arrived >= LED_RESULT_WAIT_US
          || ++results >= RESULTS_ENOUGH)
        return TRUE;
    }
  return FALSE;
}

/* Tells whether a write would probably be lost to another instance's that
   memory does not have yet. Reading first costs less.  */
static gboolean
is_stale (const struct led *led)
{
  gint64 now = clk_now (led->options.clk);
  return now < led->shared_until && now - led->synced > SYNCED_US;
}

/* Starts the next call of group commit if one is due and none is open.  */
void
led_pump (struct led *led)
{
  gint64 now = clk_now (led->options.clk);
  gint64 gap = led->options.write_gap_us;
  if (led->busy || now < led->retry_at || !is_due (led))
    return;
  if (led->phase != LED_READY)
    {
      led_read_head (led);
      return;
    }
  if (now - MIN (led->last_read, led->last_write) < gap)
    return;
  stage (led);
  gboolean writes = g_hash_table_size (led->staged) > 0 || led->unresolved;
  if (now - (writes ? led->last_write : led->last_read) < gap)
    unstage (led);
  else if (writes && !is_stale (led))
    commit (led);
  else
    {
      unstage (led);
      led_read_head (led);
    }
}
