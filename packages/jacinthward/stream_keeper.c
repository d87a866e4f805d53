#include "jacinthward/stream_keeper.h"

#include "base/json_add.h"
#include "base/log.h"
#include "jacinthward/store_caller.h"
#include "peer/stream_inquiry.h"

#include <string.h>

/* Kind of the objects with the streams that have begun, one for each instance
   that has saved any, called by its id. */
#define STREAMS_KIND "jacinthward-streams"
/* Between two saves of the first collector; the other ones save less often, in
   case the first one cannot. */
#define SAVE_INTERVAL_US (250 * CLK_MS)
#define SAVE_INTERVAL_LATER_US (1 * CLK_S)
/* Instances that save what the others have seen, in each failure domain, or of
   all if there are few. */
#define COLLECTORS_MAX 2
#define COLLECTORS_INTERVAL_US (500 * CLK_MS) /* between two choices */
/* Between two reports to the collectors. */
#define REPORT_INTERVAL_US (100 * CLK_MS)
#define REPORT_INTERVAL_LARGE_US (250 * CLK_MS)
/* Between two reports of all streams, for collectors that are new. */
#define REPORT_ALL_US (2 * CLK_S)
#define REPORT_KEYS_MAX 600 /* in a message */
/* Peers that have been silent for longer are not asked. */
#define PEER_ALIVE_US (2 * CLK_S)
/* Up to so many instances belong together, else those of a failure domain:
   clients return to the instances of their domain. */
#define ALL_TOGETHER_MAX 16

struct stream_keeper
{
  struct stream_keeper_options options;
  const struct gossip *gossip; /* borrowed; NULL: none yet */
  guint32 ip;                  /* own, host byte order */
  struct stream_versions *versions;
  struct store_caller caller;
  GArray *members; /* of struct gossip_member, for one call */
  GByteArray *bytes;
  gboolean is_changed;  /* streams have become known since the last save */
  gboolean read_wanted; /* by a search */
  gint64 saved_at;      /* clock time of the last save */
  gboolean was_mixed; /* streams could begin at any version at the last step */
  guint32 collectors[COLLECTORS_MAX]; /* IPs; this instance may be one */
  guint n_collectors;
  gint64 collectors_at; /* clock time at which they were chosen */
  GArray *unreported;   /* keys of streams that have begun lately */
  guint n_reported;     /* the first ones of these, which were reported once */
  gint64 reported_at;
  gint64 reported_all_at;
};

/* Fills MEMBERS with the other live instances that belong together with this
   one.  */
static void
list_companions (struct stream_keeper *keeper, gint64 now)
{
  const struct stream_keeper_options *options = &keeper->options;
  g_array_set_size (keeper->members, 0);
  if (keeper->gossip == NULL)
    return;
  gboolean is_all
      = gossip_instance_count (keeper->gossip, now) <= ALL_TOGETHER_MAX;
  gossip_list_members (keeper->gossip, keeper->members);
  for (guint i = keeper->members->len; i-- > 0;)
    {
      const struct gossip_member *member
          = &g_array_index (keeper->members, struct gossip_member, i);
      if (member->ip == keeper->ip || now - member->alive_at > PEER_ALIVE_US
          || (!is_all && !g_str_equal (member->domain, options->domain)))
        g_array_remove_index_fast (keeper->members, i);
    }
}

static void
send_inquiry (struct stream_keeper *keeper, guint32 ip,
              const struct stream_inquiry *inquiry)
{
  g_byte_array_set_size (keeper->bytes, 0);
  stream_inquiry_encode (inquiry, keeper->bytes);
  keeper->options.send (
      keeper->options.ctx, ip,
      (struct str){ (char *)keeper->bytes->data, keeper->bytes->len });
}

static guint
ask_peers (void *ctx, guint64 key)
{
  struct stream_keeper *keeper = ctx;
  const struct stream_inquiry question
      = { .kind = STREAM_INQUIRY_QUESTION, .key = key };
  counter_add (keeper->options.counter_set, COUNTER_STREAM_SEARCHES, 1);
  list_companions (keeper, clk_now (keeper->options.clk));
  for (guint i = 0; i < keeper->members->len; i++)
    send_inquiry (keeper,
                  g_array_index (keeper->members, struct gossip_member, i).ip,
                  &question);
  return keeper->members->len;
}

static void
want_saved (void *ctx)
{
  ((struct stream_keeper *)ctx)->read_wanted = TRUE;
}

static void
note_began (void *ctx, guint64 key)
{
  struct stream_keeper *keeper = ctx;
  keeper->is_changed = TRUE;
  if (version_table_is_mixed (stream_versions_table (keeper->versions)))
    g_array_append_val (keeper->unreported, key);
}

static void
confirm_table (void *ctx)
{
  struct stream_keeper *keeper = ctx;
  keeper->options.confirm_table (keeper->options.ctx);
}

static void
note_changed (void *ctx)
{
  struct stream_keeper *keeper = ctx;
  keeper->options.changed (keeper->options.ctx);
}

struct stream_keeper *
stream_keeper_new (const struct stream_keeper_options *options)
{
  struct stream_keeper *keeper = g_new0 (struct stream_keeper, 1);
  const struct stream_versions_options versions_options
      = { .ask_peers = ask_peers,
          .read_saved = want_saved,
          .began = note_began,
          .confirm_table = confirm_table,
          .changed = note_changed,
          .ctx = keeper };
  const struct store_caller_options caller_options
      = { .address = options->store_address,
          .kind = STREAMS_KIND,
          .clk = options->clk,
          .counter_set = options->counter_set };
  gint64 now = clk_now (options->clk);
  keeper->options = *options;
  keeper->versions = stream_versions_new (&versions_options, now);
  keeper->members = g_array_new (FALSE, FALSE, sizeof (struct gossip_member));
  keeper->unreported = g_array_new (FALSE, FALSE, sizeof (guint64));
  keeper->bytes = g_byte_array_new ();
  keeper->collectors_at = now;
  store_caller_init (&keeper->caller, &caller_options);
  return keeper;
}

void
stream_keeper_free (struct stream_keeper *keeper)
{
  if (keeper == NULL)
    return;
  store_caller_clear (&keeper->caller);
  stream_versions_free (keeper->versions);
  g_array_unref (keeper->members);
  g_array_unref (keeper->unreported);
  g_byte_array_unref (keeper->bytes);
  g_free (keeper);
}

/* Returns what answers the proxy's questions, borrowed.  */
struct stream_versions *
stream_keeper_versions (struct stream_keeper *keeper)
{
  return keeper->versions;
}

/* Sets the source of the other instances; IP is the own address, in host byte
   order.  */
void
stream_keeper_set_gossip (struct stream_keeper *keeper,
                          const struct gossip *gossip, guint32 ip)
{
  keeper->gossip = gossip;
  keeper->ip = ip;
}

static void
on_streams_listed (void *ctx, const struct storage_response *response)
{
  struct stream_keeper *keeper = ctx;
  struct store_caller *caller = &keeper->caller;
  struct begun_streams *begun = stream_versions_begun (keeper->versions);
  if (response->code != 0 && response->code != ERR_NOT_FOUND)
    {
      store_caller_failed (caller, "list", response);
      return;
    }
  store_caller_succeeded (caller);
  caller->version = 0;
  for (guint i = 0; i < response->n_objects; i++)
    {
      const struct storage_object *object = &response->objects[i];
      gboolean is_own = g_str_equal (object->name, keeper->options.id);
      gsize n;
      const char *text = g_bytes_get_data (object->body, &n);
      if (is_own)
        caller->version = object->version;
      /* What this instance has saved since its start, it knows. */
      if (is_own && caller->is_known)
        continue;
      if (begun_streams_read (begun, (struct str){ text, n },
                              is_own ? BEGUN_OWN : BEGUN_SAVED)
          < 0)
        log_event (LOG_WARN, "streams.unreadable", "object=%s", object->name);
    }
  caller->is_known = TRUE;
  stream_versions_saved_read (keeper->versions, caller->started_at);
}

static void
on_streams_saved (void *ctx, const struct storage_response *response)
{
  struct stream_keeper *keeper = ctx;
  struct store_caller *caller = &keeper->caller;
  if (response->code == 0)
    {
      store_caller_succeeded (caller);
      caller->version = response->version;
      counter_add (keeper->options.counter_set, COUNTER_STREAMS_SAVED, 1);
      return;
    }
  /* The call may have taken effect; the list says so. */
  caller->is_known = FALSE;
  keeper->is_changed = TRUE;
  if (response->code == ERR_CONFLICT)
    store_caller_succeeded (caller);
  else
    store_caller_failed (caller, "save", response);
}

/* Chooses the collectors: the first instances by address.  */
static void
choose_collectors (struct stream_keeper *keeper, gint64 now)
{
  guint32 *ips = keeper->collectors;
  keeper->collectors_at = now;
  list_companions (keeper, now);
  ips[0] = keeper->ip;
  keeper->n_collectors = 1;
  for (guint i = 0; i < keeper->members->len; i++)
    {
      guint32 ip = g_array_index (keeper->members, struct gossip_member, i).ip;
      guint at = keeper->n_collectors;
      while (at > 0 && ips[at - 1] > ip)
        at--;
      if (at == COLLECTORS_MAX)
        continue;
      keeper->n_collectors = MIN (keeper->n_collectors + 1, COLLECTORS_MAX);
      memmove (&ips[at + 1], &ips[at],
               (keeper->n_collectors - 1 - at) * sizeof ips[0]);
      ips[at] = ip;
    }
}

/* Returns the position of this instance among the collectors, or COLLECTORS_MAX
   if it is none.  */
static guint
collector_rank (const struct stream_keeper *keeper)
{
  for (guint i = 0; i < keeper->n_collectors; i++)
    if (keeper->collectors[i] == keeper->ip)
      return i;
  return COLLECTORS_MAX;
}

/* Tells the other collectors of the N streams with KEYS.  */
static void
send_reports (struct stream_keeper *keeper, const guint64 *keys, guint n)
{
  const struct begun_streams *begun = stream_versions_begun (keeper->versions);
  for (guint at = 0; at < n; at += REPORT_KEYS_MAX)
    {
      g_autoptr (GBytes) text = begun_streams_write_keys (
          begun, keys + at, MIN (n - at, REPORT_KEYS_MAX));
      struct stream_inquiry report = { .kind = STREAM_INQUIRY_REPORT };
      report.report.p = g_bytes_get_data (text, &report.report.n);
      for (guint i = 0; i < keeper->n_collectors; i++)
        if (keeper->collectors[i] != keeper->ip)
          send_inquiry (keeper, keeper->collectors[i], &report);
    }
}

/* Reports to the collectors, if that is due. Any report may be lost, so each
   stream is in two, and all are told again from time to time.  */
static void
step_reports (struct stream_keeper *keeper, gint64 now)
{
  gboolean is_large
      = keeper->gossip != NULL
        && gossip_instance_count (keeper->gossip, now) > ALL_TOGETHER_MAX;
  GArray *keys = keeper->unreported;
  if (now - keeper->reported_at
      < (is_large ? REPORT_INTERVAL_LARGE_US : REPORT_INTERVAL_US))
    return;
  keeper->reported_at = now;
  if (now - keeper->reported_all_at >= REPORT_ALL_US)
    {
      keeper->reported_all_at = now;
      g_array_set_size (keys, 0);
      begun_streams_own_keys (stream_versions_begun (keeper->versions), keys);
      keeper->n_reported = keys->len;
    }
  send_reports (keeper, (const guint64 *)(void *)keys->data, keys->len);
  if (keeper->n_reported > 0)
    g_array_remove_range (keys, 0, keeper->n_reported);
  keeper->n_reported = keys->len;
}

/* Reads or saves streams, if that is due. Nothing is saved while all streams
   begin at one version.  */
static void
step_streams (struct stream_keeper *keeper, gint64 now)
{
  struct store_caller *caller = &keeper->caller;
  guint rank = collector_rank (keeper);
  gboolean saves = keeper->was_mixed && rank < COLLECTORS_MAX;
  if (caller->busy)
    return;
  if (now < caller->not_before)
    {
      if (keeper->read_wanted)
        stream_versions_saved_failed (keeper->versions);
      keeper->read_wanted = FALSE;
    }
  else if (keeper->read_wanted || (saves && !caller->is_known))
    {
      keeper->read_wanted = FALSE;
      store_caller_start (caller, STORAGE_LIST, "", NULL, on_streams_listed,
                          keeper);
    }
  else if (saves && keeper->is_changed
           && now - keeper->saved_at
                  >= (rank == 0 ? SAVE_INTERVAL_US : SAVE_INTERVAL_LATER_US))
    {
      g_autoptr (GBytes) text
          = begun_streams_write (stream_versions_begun (keeper->versions));
      keeper->is_changed = FALSE;
      keeper->saved_at = now;
      store_caller_start (caller, STORAGE_PUT, keeper->options.id, text,
                          on_streams_saved, keeper);
    }
}

/* Does what is due. Called regularly. When streams may begin at any version,
   what was seen before becomes necessary.  */
void
stream_keeper_step (struct stream_keeper *keeper)
{
  gint64 now = clk_now (keeper->options.clk);
  stream_versions_expire (keeper->versions, now);
  gboolean is_mixed
      = version_table_is_mixed (stream_versions_table (keeper->versions));
  if (is_mixed && !keeper->was_mixed)
    {
      keeper->is_changed = TRUE;
      keeper->reported_all_at = 0;
    }
  keeper->was_mixed = is_mixed;
  if (now - keeper->collectors_at >= COLLECTORS_INTERVAL_US)
    choose_collectors (keeper, now);
  if (is_mixed)
    step_reports (keeper, now);
  step_streams (keeper, now);
}

/* The store has come back from an older copy: what was saved may be lost.  */
void
stream_keeper_store_changed (struct stream_keeper *keeper)
{
  keeper->caller.is_known = FALSE;
  keeper->is_changed = TRUE;
}

static void
answer (struct stream_keeper *keeper, guint32 ip, guint64 key)
{
  const struct begun_place *place
      = begun_streams_find (stream_versions_begun (keeper->versions), key);
  struct stream_inquiry inquiry = { .kind = STREAM_INQUIRY_ANSWER,
                                    .key = key,
                                    .is_known = place != NULL };
  if (place != NULL)
    inquiry.place = *place;
  send_inquiry (keeper, ip, &inquiry);
}

static void
take_report (struct stream_keeper *keeper, struct str text)
{
  if (begun_streams_read (stream_versions_begun (keeper->versions), text,
                          BEGUN_TOLD)
      < 0)
    log_event (LOG_WARN, "streams.unreadable", "bytes=%" G_GSIZE_FORMAT,
               text.n);
  keeper->is_changed = TRUE;
}

/* Takes a datagram, if it is about streams that have begun. Returns whether it
   is.  */
gboolean
stream_keeper_receive (struct stream_keeper *keeper, guint32 ip,
                       struct str bytes)
{
  struct stream_inquiry inquiry;
  struct err err = { 0 };
  if (!stream_inquiry_is (bytes))
    return FALSE;
  if (stream_inquiry_decode (bytes, &inquiry, &err) < 0)
    {
      counter_add (keeper->options.counter_set, COUNTER_FRAME_INVALID, 1);
      log_event (LOG_WARN, "peer.unreadable", "%s", err.text);
    }
  else
    switch (inquiry.kind)
      {
      case STREAM_INQUIRY_QUESTION:
        answer (keeper, ip, inquiry.key);
        break;
      case STREAM_INQUIRY_ANSWER:
        stream_versions_peer_answered (keeper->versions, inquiry.key,
                                       inquiry.is_known ? &inquiry.place
                                                        : NULL);
        break;
      case STREAM_INQUIRY_REPORT:
        take_report (keeper, inquiry.report);
        break;
      }
  return TRUE;
}

/* Appends the member "streams" to JSON: who collects those that have begun, and
   what is not reported to them yet.  */
void
stream_keeper_dump (const struct stream_keeper *keeper, JsonBuilder *json)
{
  json_builder_set_member_name (json, "streams");
  json_builder_begin_object (json);
  json_add_int (json, "collectors", keeper->n_collectors);
  json_add_int (json, "rank", collector_rank (keeper));
  json_add_int (json, "unreported", keeper->unreported->len);
  json_add_int (json, "store_failures", keeper->caller.failures);
  json_builder_end_object (json);
}
