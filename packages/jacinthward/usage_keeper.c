#include "jacinthward/usage_keeper.h"

#include "base/json_add.h"
#include "base/log.h"
#include "usage/true_time.h"
#include "usage/usage_message.h"

#define COLLECTORS_MAX (GOSSIP_DUTY_CANDIDATES + 1) /* and the holder */
#define INTERVAL_MIN_US (500 * CLK_MS)
/* A collector gets 100 messages a second from all instances together. */
#define INTERVAL_PER_INSTANCE_US (10 * CLK_MS)
#define MEMBERS_INTERVAL_US (1 * CLK_S)
#define PARTS_MAX 64 /* of the counts of one round */

struct collector
{
  guint32 ip;
  guint64 held; /* last change of the own counts that it holds */
};

struct usage_keeper
{
  struct usage_keeper_options options;
  struct true_time *true_time;
  struct usage_account *account;
  struct usage_reports *reports;
  struct collector collectors[COLLECTORS_MAX];
  guint n_collectors;
  gint64 interval_us;
  gint64 next_send;  /* clock time */
  gint64 members_at; /* clock time at which the members were looked at */
  GArray *members;   /* of struct gossip_member */
  struct usage_message message;
  GByteArray *bytes;
};

struct usage_keeper *
usage_keeper_new (const struct usage_keeper_options *options)
{
  const struct proxy_settings_duties *duties = &options->settings->duties;
  if (duties->address[0] == '\0' || !duties->reports)
    return NULL;
  struct usage_keeper *keeper = g_new0 (struct usage_keeper, 1);
  gint64 now = clk_now (options->clk);
  keeper->options = *options;
  keeper->true_time = true_time_new (clk_wall (options->clk), now);
  keeper->account = usage_account_new (
      duties->usage_window_us, options->settings->id.s, options->incarnation);
  const struct usage_reports_options reports_options
      = { .window_us = duties->usage_window_us,
          .late_us = duties->usage_late_us,
          .account = keeper->account,
          .counter_set = options->counter_set };
  keeper->reports = usage_reports_new (&reports_options);
  keeper->interval_us = INTERVAL_MIN_US;
  keeper->next_send = now;
  keeper->members = g_array_new (FALSE, FALSE, sizeof (struct gossip_member));
  keeper->bytes = g_byte_array_new ();
  usage_message_init (&keeper->message);
  return keeper;
}

void
usage_keeper_free (struct usage_keeper *keeper)
{
  if (keeper == NULL)
    return;
  usage_reports_free (keeper->reports);
  usage_account_free (keeper->account);
  true_time_free (keeper->true_time);
  usage_message_clear (&keeper->message);
  g_array_unref (keeper->members);
  g_byte_array_unref (keeper->bytes);
  g_free (keeper);
}

gint64
usage_keeper_true_time (struct usage_keeper *keeper, gint64 now)
{
  return true_time_at (keeper->true_time, now);
}

struct usage_account *
usage_keeper_account (struct usage_keeper *keeper)
{
  return keeper->account;
}

struct usage_reports *
usage_keeper_reports (struct usage_keeper *keeper)
{
  return keeper != NULL ? keeper->reports : NULL;
}

/* Counts what a request uses, now.  */
void
usage_keeper_count (struct usage_keeper *keeper,
                    const struct proxy_usage *usage)
{
  if (keeper == NULL)
    return;
  gint64 now = clk_now (keeper->options.clk);
  gint64 true_now = true_time_at (keeper->true_time, now);
  const struct usage_totals totals
      = { .requests = usage->requests,
          .uncached_tokens = usage->uncached_tokens,
          .output_tokens = usage->output_tokens,
          .rejections = usage->rejections };
  usage_account_tick (keeper->account, true_now);
  usage_account_add_totals (keeper->account, usage->service,
                            keeper->options.settings->domain.s, &totals);
  if (usage->team == NULL)
    return;
  counter_add (keeper->options.counter_set, COUNTER_USAGE_COUNTED, 1);
  usage_account_add_request (keeper->account, str_of (usage->team), true_now);
}

static void
send_message (struct usage_keeper *keeper, guint32 ip)
{
  g_byte_array_set_size (keeper->bytes, 0);
  usage_message_encode (&keeper->message, keeper->bytes);
  counter_add (keeper->options.counter_set, COUNTER_USAGE_MSG_OUT, 1);
  counter_add (keeper->options.counter_set, COUNTER_USAGE_BYTES_OUT,
               keeper->bytes->len);
  keeper->options.send (
      keeper->options.ctx, ip,
      (struct str){ (const char *)keeper->bytes->data, keeper->bytes->len });
}

/* Sends to COLLECTOR what it does not hold, in as many parts as needed. What is
   lost on the way is sent again in the next round.  */
static void
send_counts (struct usage_keeper *keeper, const struct collector *collector,
             gint64 now)
{
  guint64 since = collector->held;
  gboolean is_more = TRUE;
  gboolean is_settled = true_time_is_settled (keeper->true_time, now);
  for (guint part = 0; is_more && part < PARTS_MAX; part++)
    {
      is_more = usage_account_fill (keeper->account, since, is_settled,
                                    true_time_at (keeper->true_time, now),
                                    &keeper->message);
      keeper->message.time = true_time_own (keeper->true_time, now);
      since = keeper->message.through;
      send_message (keeper, collector->ip);
    }
}

/* Adds the collector at IP, with what is known of it.  */
static void
add_collector (struct usage_keeper *keeper, const struct collector *known,
               guint n_known, guint32 ip)
{
  if (ip == 0 || ip == keeper->options.ip)
    return;
  for (guint i = 0; i < keeper->n_collectors; i++)
    if (keeper->collectors[i].ip == ip)
      return;
  struct collector collector = { .ip = ip };
  for (guint i = 0; i < n_known; i++)
    if (known[i].ip == ip)
      collector = known[i];
  keeper->collectors[keeper->n_collectors++] = collector;
}

/* Finds out who collects now. One that has come anew gets all.  */
static void
find_collectors (struct usage_keeper *keeper, gint64 now)
{
  struct collector known[COLLECTORS_MAX];
  guint32 ips[COLLECTORS_MAX];
  guint n_known = keeper->n_collectors;
  guint n
      = gossip_collectors (keeper->options.gossip, now, ips, COLLECTORS_MAX);
  for (guint i = 0; i < n_known; i++)
    known[i] = keeper->collectors[i];
  keeper->n_collectors = 0;
  for (guint i = 0; i < n; i++)
    add_collector (keeper, known, n_known, ips[i]);
}

/* Tells the account which instances live.  */
static void
look_at_members (struct usage_keeper *keeper, gint64 now)
{
  gint64 offset = true_time_at (keeper->true_time, now) - now;
  guint n = gossip_instance_count (keeper->options.gossip, now);
  keeper->members_at = now;
  keeper->interval_us
      = MAX (INTERVAL_MIN_US, (gint64)n * INTERVAL_PER_INSTANCE_US);
  usage_account_set_interval (keeper->account, keeper->interval_us);
  gossip_list_members (keeper->options.gossip, keeper->members);
  for (guint i = 0; i < keeper->members->len; i++)
    {
      const struct gossip_member *member
          = &g_array_index (keeper->members, struct gossip_member, i);
      if (member->alive_at > 0)
        usage_account_member (keeper->account, member->ip, member->domain,
                              member->alive_at + offset);
    }
}

static void
send_round (struct usage_keeper *keeper, gint64 now)
{
  find_collectors (keeper, now);
  for (guint i = 0; i < keeper->n_collectors; i++)
    send_counts (keeper, &keeper->collectors[i], now);
}

/* Does what is due. Called regularly.  */
void
usage_keeper_step (struct usage_keeper *keeper, gint64 now)
{
  if (keeper == NULL)
    return;
  usage_account_tick (keeper->account, true_time_at (keeper->true_time, now));
  if (now - keeper->members_at >= MEMBERS_INTERVAL_US)
    look_at_members (keeper, now);
  if (now < keeper->next_send)
    return;
  keeper->next_send = now + keeper->interval_us;
  send_round (keeper, now);
}

/* Tells the collectors what they do not hold, before the process ends.  */
void
usage_keeper_flush (struct usage_keeper *keeper, gint64 now)
{
  if (keeper != NULL)
    send_round (keeper, now);
}

/* A collector has said what it holds. Less than before means that it has
   started anew.  */
static void
receive_held (struct usage_keeper *keeper, guint32 ip, gint64 now)
{
  const struct usage_message *message = &keeper->message;
  if (message->incarnation != keeper->options.incarnation)
    return;
  true_time_heard (keeper->true_time, ip, TRUE, message->time, now);
  for (guint i = 0; i < keeper->n_collectors; i++)
    if (keeper->collectors[i].ip == ip)
      keeper->collectors[i].held = message->through;
}

static void
receive_counts (struct usage_keeper *keeper, guint32 ip, gint64 now)
{
  struct usage_message *message = &keeper->message;
  guint32 incarnation = message->incarnation;
  true_time_heard (keeper->true_time, ip, FALSE, message->time, now);
  gint64 true_now = true_time_at (keeper->true_time, now);
  guint64 held = usage_account_merge (keeper->account, ip, message, true_now);
  usage_message_reset (message, USAGE_MESSAGE_HELD);
  message->incarnation = incarnation;
  message->through = held;
  message->time = true_now;
  send_message (keeper, ip);
}

/* Takes a datagram, if it is about usage. Returns whether it is.  */
gboolean
usage_keeper_receive (struct usage_keeper *keeper, guint32 ip, struct str bytes,
                      gint64 now)
{
  struct err err = { 0 };
  if (!usage_message_is (bytes))
    return FALSE;
  if (keeper == NULL)
    return TRUE;
  counter_add (keeper->options.counter_set, COUNTER_USAGE_MSG_IN, 1);
  counter_add (keeper->options.counter_set, COUNTER_USAGE_BYTES_IN, bytes.n);
  if (usage_message_decode (bytes, &keeper->message, &err) < 0)
    {
      counter_add (keeper->options.counter_set, COUNTER_FRAME_INVALID, 1);
      log_event (LOG_WARN, "peer.unreadable", "%s", err.text);
    }
  else if (keeper->message.kind == USAGE_MESSAGE_HELD)
    receive_held (keeper, ip, now);
  else
    receive_counts (keeper, ip, now);
  return TRUE;
}

void
usage_keeper_dump (const struct usage_keeper *keeper, JsonBuilder *json)
{
  if (keeper == NULL)
    return;
  gint64 now = clk_now (keeper->options.clk);
  json_builder_set_member_name (json, "usage");
  json_builder_begin_object (json);
  json_add_int (json, "clock_off_us",
                true_time_at (keeper->true_time, now)
                    - true_time_own (keeper->true_time, now));
  json_add_int (json, "interval_ms", keeper->interval_us / CLK_MS);
  json_add_int (json, "collectors", keeper->n_collectors);
  json_add_int (json, "instances", usage_account_n_peers (keeper->account) + 1);
  json_add_int (json, "bytes", (gint64)usage_account_bytes (keeper->account));
  json_add_int (json, "lost", (gint64)usage_account_lost (keeper->account));
  json_builder_set_member_name (json, "reports");
  usage_reports_dump (keeper->reports, json);
  json_builder_end_object (json);
}
