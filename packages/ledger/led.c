#include "ledger/led_priv.h"
#include "base/json_add.h"

#include <string.h>

#define RESULT_WAIT_MAX_US (60 * CLK_S) /* then the entry sends it again */
#define AWAY_FAILURES                                                          \
  4 /* in a row; then intents do not wait for the next try */

/* Returns a server for one shard that the caller frees by led_free. It reads
   the shard's objects when the first intent or result comes.  */
struct led *
led_new (const struct led_options *options)
{
  struct led *led = g_new0 (struct led, 1);
  struct led_options *o = &led->options;
  *o = *options;
  o->head_max = o->head_max ? o->head_max : LED_HEAD_MAX;
  o->segment_max = o->segment_max ? o->segment_max : LED_SEGMENT_MAX;
  o->write_gap_us = o->write_gap_us ? o->write_gap_us : LED_WRITE_GAP_US;
  o->run_max_us = o->run_max_us ? o->run_max_us : LED_RUN_MAX_US;
  o->retention_us = o->retention_us ? o->retention_us : LED_RETENTION_US;
  o->keys_max = o->keys_max ? o->keys_max : LED_KEYS_MAX;
  led->rand = g_rand_new_with_seed (o->seed);
  led->tab = led_tab_new ();
  led->staged = g_hash_table_new (led_key_hash, led_key_equal);
  led->last_read = led->last_write = clk_now (o->clk) - o->write_gap_us;
  g_queue_init (&led->queue);
  g_queue_init (&led->replays);
  return led;
}

void
led_item_free (struct led_item *item)
{
  g_free (item->kept);
  g_free (item);
}

static void
free_staged (gpointer rec, gpointer value, gpointer data)
{
  (void)value;
  (void)data;
  g_free (((struct led_rec *)rec)->kept);
  g_free (rec);
}

void
led_free (struct led *led)
{
  if (!led)
    return;
  g_queue_clear_full (&led->queue, (GDestroyNotify)led_item_free);
  g_queue_clear_full (&led->replays, (GDestroyNotify)led_item_free);
  g_hash_table_foreach (led->staged, free_staged, NULL);
  g_hash_table_unref (led->staged);
  led_tab_free (led->tab);
  g_rand_free (led->rand);
  g_free (led);
}

/* Returns the shard of KEY, the same on every instance.  */
guint
led_shard_of (const guint8 key[MSG_KEY_BYTES])
{
  return key[0] % LED_SHARDS;
}

/* Returns the wall clock's time, seconds since 1970 UTC.  */
guint32
led_seconds (const struct led *led)
{
  return (guint32)(clk_wall (led->options.clk) / CLK_S);
}

/* Sends VERDICT on ITEM to its entry, with the answer KEPT or NULL.  */
void
led_say (struct led *led, const struct led_item *item, enum msg_verdict verdict,
         const struct led_kept *kept)
{
  struct msg_ledger_reply v = {
    .incarnation = item->incarnation,
    .ticket = item->ticket,
    .verdict = verdict,
    .replies_to_result = item->is_result,
    .unsettled = verdict == MSG_VERDICT_UNAVAILABLE && item->open,
  };
  if (kept)
    {
      v.status = kept->status;
      v.content_type = kept->content_type;
      v.answer = kept->answer;
    }
  if (verdict == MSG_VERDICT_DONE && !item->is_result)
    counter_add (led->options.counter_set, COUNTER_LEDGER_REPLAYS, 1);
  led->options.verdict (led->options.ctx, item->from.s, &v);
}

/* Returns the link of the waiting intent, or result, of ITEM's ticket, or
   NULL.  */
GList *
led_find_item (struct led *led, const struct led_item *item, gboolean is_result)
{
  for (GList *l = led->queue.head; l; l = l->next)
    {
      const struct led_item *other = l->data;
      if (other->is_result == is_result && other->ticket == item->ticket
          && other->holder == item->holder)
        return l;
    }
  return NULL;
}

static struct led_item *
item_new (struct led *led, const char *from, guint64 incarnation,
          guint64 ticket, const guint8 *key)
{
  struct led_item *item = g_new0 (struct led_item, 1);
  str_id_set (&item->from, str_of (from));
  item->incarnation = incarnation;
  item->ticket = ticket;
  item->holder = led_tab_holder (led->tab, str_of (from), incarnation);
  memcpy (item->key, key, MSG_KEY_BYTES);
  item->arrived = clk_now (led->options.clk);
  return item;
}

/* Answers an intent whose key has ended, from memory. Returns whether it
   did.  */
static gboolean
answer_final (struct led *led, struct led_item *item)
{
  const struct led_rec *rec = led_tab_find (led->tab, item->key);
  return rec && rec->state == LED_DONE && led_decide (led, item);
}

/* Tells whether intents are refused until the next try of the store.  */
static gboolean
store_is_away (const struct led *led)
{
  return led->failures >= AWAY_FAILURES
         && clk_now (led->options.clk) < led->retry_at;
}

/* Takes INTENT from entry FROM. Its verdict comes later or from within.  */
void
led_intent (struct led *led, const char *from,
            const struct msg_ledger_record *intent)
{
  struct led_item *item
      = item_new (led, from, intent->incarnation, intent->ticket, intent->key);
  memcpy (item->body, intent->body, MSG_KEY_BYTES);
  if (led_find_item (led, item, FALSE))
    led_item_free (item);
  else if (answer_final (led, item))
    led_replay (led);
  else if (store_is_away (led) || led->queue.length >= LED_QUEUE_MAX)
    {
      led_say (led, item, MSG_VERDICT_UNAVAILABLE, NULL);
      led_item_free (item);
    }
  else
    {
      g_queue_push_tail (&led->queue, item);
      led_pump (led);
    }
}

/* Takes back the waiting intent that ITEM's "did not run" overtook, if no
   write carries it.  */
static void
drop_intent (struct led *led, const struct led_item *item)
{
  GList *l = led_find_item (led, item, FALSE);
  if (!l || ((struct led_item *)l->data)->open)
    return;
  led_item_free (l->data);
  g_queue_delete_link (&led->queue, l);
}

/* Takes RESULT from entry FROM. If it cannot wait here the entry sends it
   again.  */
void
led_result (struct led *led, const char *from,
            const struct msg_ledger_result *result)
{
  struct led_item *item
      = item_new (led, from, result->incarnation, result->ticket, result->key);
  item->is_result = TRUE;
  item->did_not_run = result->did_not_run;
  if (result->answer.n > MSG_RESPONSE_MAX
      || result->content_type.n > LED_TYPE_MAX)
    led_say (led, item, MSG_VERDICT_UNKNOWN, NULL);
  else if (!led_find_item (led, item, TRUE)
           && led->queue.length < LED_QUEUE_MAX)
    {
      if (item->did_not_run)
        drop_intent (led, item);
      else
        item->kept = led_kept_new (result->status, result->content_type,
                                   result->answer);
      g_queue_push_tail (&led->queue, item);
      led_pump (led);
      return;
    }
  led_item_free (item);
}

/* Tells whether ITEM's time is over, and says so to its entry.  */
static gboolean
item_expired (struct led *led, const struct led_item *item)
{
  gint64 age = clk_now (led->options.clk) - item->arrived;
  if (item->is_result)
    return age >= RESULT_WAIT_MAX_US;
  gint64 limit = item->open ? LED_SETTLE_US : LED_INTENT_WAIT_US;
  if (age < limit && (item->open || !store_is_away (led)))
    return FALSE;
  led_say (led, item, MSG_VERDICT_UNAVAILABLE, NULL);
  return TRUE;
}

static void
expire_items (struct led *led)
{
  for (GList *l = led->queue.head, *next; l; l = next)
    {
      next = l->next;
      if (!item_expired (led, l->data))
        continue;
      led_item_free (l->data);
      g_queue_delete_link (&led->queue, l);
    }
}

/* Ends replays whose answer could not be read in time.  */
static void
expire_replays (struct led *led)
{
  gint64 now = clk_now (led->options.clk);
  struct led_item *item;
  while ((item = g_queue_peek_head (&led->replays))
         && now - item->arrived >= LED_INTENT_WAIT_US)
    {
      led_say (led, item, MSG_VERDICT_UNKNOWN, NULL);
      led_item_free (g_queue_pop_head (&led->replays));
    }
}

void
led_tick (struct led *led)
{
  expire_items (led);
  expire_replays (led);
  led_pump (led);
  led_replay (led);
}

gboolean
led_idle (const struct led *led)
{
  for (guint i = 0; i < LED_OPS_MAX; i++)
    if (led->ops[i].token)
      return FALSE;
  return led->queue.length == 0 && led->replays.length == 0;
}

static const char *
phase_name (enum led_phase phase)
{
  static const char *const names[] = {
#define LED_PHASE_NAME(id, name) name,
    LED_PHASES (LED_PHASE_NAME)
#undef LED_PHASE_NAME
  };
  return names[phase];
}

/* Adds one object with LED's state to JSON.  */
void
led_dump (const struct led *led, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_int (json, "shard", led->options.shard);
  json_add_str (json, "phase", phase_name (led->phase));
  json_add_int (json, "version", led->version);
  json_add_int (json, "keys", led_tab_size (led->tab));
  json_add_int (json, "head_records", led->tab->head->len);
  json_add_int (json, "first_segment", led->tab->first);
  json_add_int (json, "next_segment", led->tab->next);
  json_add_int (json, "waiting", led->queue.length);
  json_add_int (json, "replays", led->replays.length);
  json_add_int (json, "unresolved_write", (guint64)led->unresolved);
  json_add_int (json, "failures", led->failures);
  json_add_int (json, "conflicts", led->conflicts);
  json_add_str (json, "last_error", err_name (led->last_error));
  json_builder_end_object (json);
}
