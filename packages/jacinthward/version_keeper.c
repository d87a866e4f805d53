#include "jacinthward/version_keeper.h"

#include "base/json_add.h"
#include "base/log.h"
#include "peer/stream_inquiry.h"
#include "platform/object_client.h"

#include <string.h>

#define TABLE_NAME "versions"
/* Kind of the objects with the streams that have begun, one for each instance
   that has saved any, called by its id. */
#define STREAMS_KIND "jacinthward-streams"
#define TIMEOUT_US (800 * CLK_MS)
/* Between two tries, doubled with each failure in a row. */
#define RETRY_US (100 * CLK_MS)
#define RETRY_DOUBLINGS 4
/* Until the instance of the next rank changes the table instead of one that has
   not. */
#define TURN_US (300 * CLK_MS)
/* Between two saves of the first collector; the other ones save less often, in
   case the first one cannot. */
#define SAVE_INTERVAL_US (250 * CLK_MS)
#define SAVE_INTERVAL_LATER_US (1 * CLK_S)
/* Instances that save what the others have seen, in each failure domain, or of
   all if there are few. */
#define COLLECTORS_MAX 2
#define COLLECTORS_INTERVAL_US                                                 \
  (500 * CLK_MS) /* between two choices of them                                \
                  */
/* Between two reports to the collectors. */
#define REPORT_INTERVAL_US (100 * CLK_MS)
#define REPORT_INTERVAL_LARGE_US (250 * CLK_MS)
/* Between two reports of all streams, for collectors that are new. */
#define REPORT_ALL_US (2 * CLK_S)
#define REPORT_KEYS_MAX 600 /* in a message */
#define OBSERVE_INTERVAL_US (1 * CLK_S)
/* Time for which streams are remembered, at least. It is longer than any stream
   with all tries of its client: these end with the route's time-out, and the
   client may wait longer by as much. */
#define KEEP_MIN_US (20 * CLK_S)
#define KEEP_TIMEOUTS 2
/* A newer table that a peer has named and that cannot be had for this time is
   lost with the peer. */
#define NEWER_LOST_US (3 * CLK_S)
/* Peers that have been silent for longer are not asked. */
#define PEER_ALIVE_US (2 * CLK_S)
/* Up to so many instances belong together, else those of a failure domain:
   clients return to the instances of their domain. */
#define ALL_TOGETHER_MAX 16

/* Calls for one kind of object, one at a time. */
struct caller
{
  struct object_client *client;
  gboolean busy;
  guint64 version;   /* of the object; 0: there is none */
  gboolean is_known; /* VERSION is */
  guint failures;    /* in a row */
  gint64 not_before; /* clock time of the next call */
  gint64 started_at; /* clock time of the call in progress */
};

struct version_keeper
{
  struct version_keeper_options options;
  const struct gossip *gossip; /* borrowed; NULL: none yet */
  struct stream_versions *versions;
  GArray *members; /* of struct gossip_member, for one call */
  GByteArray *bytes;
  gint64 keep_us;
  gint64 observed_at;
  guint64 era;   /* of the store; 0: not stated */
  guint64 heard; /* highest number of a table that a peer has */
  struct caller table;
  gint64 due_since;    /* clock time since which the table is to change; 0: it
                          is not */
  gboolean must_write; /* the store has no table, or an older one */
  gboolean must_read;  /* the table is in the store, and not known here */
  GBytes *proposed;    /* that is being written, owned; NULL: none */
  gint64 behind_since; /* clock time since which a peer has a newer table; 0:
                          none has */
  gint64
      asked_store_at; /* clock time at which it was looked for in the store */
  struct caller streams;
  gboolean is_changed;  /* streams have become known since the last save */
  gboolean read_wanted; /* by a search */
  gint64 saved_at;      /* clock time of the last save */
  gboolean was_mixed;   /* at the last step */
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
list_companions (struct version_keeper *keeper, gint64 now)
{
  const struct version_keeper_options *options = &keeper->options;
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
      if (member->ip == options->ip || now - member->alive_at > PEER_ALIVE_US
          || (!is_all && !g_str_equal (member->domain, options->domain)))
        g_array_remove_index_fast (keeper->members, i);
    }
}

static void
send_inquiry (struct version_keeper *keeper, guint32 ip,
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
  struct version_keeper *keeper = ctx;
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
  ((struct version_keeper *)ctx)->read_wanted = TRUE;
}

static void
note_began (void *ctx, guint64 key)
{
  struct version_keeper *keeper = ctx;
  keeper->is_changed = TRUE;
  if (version_table_is_mixed (stream_versions_table (keeper->versions)))
    g_array_append_val (keeper->unreported, key);
}

static void
note_changed (void *ctx)
{
  struct version_keeper *keeper = ctx;
  keeper->options.changed (keeper->options.ctx);
}

struct version_keeper *
version_keeper_new (const struct version_keeper_options *options)
{
  struct version_keeper *keeper = g_new0 (struct version_keeper, 1);
  const struct stream_versions_options versions_options
      = { .ask_peers = ask_peers,
          .read_saved = want_saved,
          .began = note_began,
          .changed = note_changed,
          .ctx = keeper };
  struct object_client_options client_options
      = { .address = options->store_address,
          .counter_set = options->counter_set };
  keeper->options = *options;
  keeper->versions
      = stream_versions_new (&versions_options, clk_now (options->clk));
  keeper->members = g_array_new (FALSE, FALSE, sizeof (struct gossip_member));
  keeper->unreported = g_array_new (FALSE, FALSE, sizeof (guint64));
  keeper->bytes = g_byte_array_new ();
  keeper->collectors_at = clk_now (options->clk);
  keeper->keep_us = KEEP_MIN_US;
  keeper->must_read = TRUE;
  keeper->table.client = object_client_new (&client_options);
  client_options.kind = STREAMS_KIND;
  keeper->streams.client = object_client_new (&client_options);
  return keeper;
}

void
version_keeper_free (struct version_keeper *keeper)
{
  if (keeper == NULL)
    return;
  object_client_free (keeper->table.client);
  object_client_free (keeper->streams.client);
  g_clear_pointer (&keeper->proposed, g_bytes_unref);
  stream_versions_free (keeper->versions);
  g_array_unref (keeper->members);
  g_array_unref (keeper->unreported);
  g_byte_array_unref (keeper->bytes);
  g_free (keeper);
}

/* Returns what answers the proxy's questions, borrowed.  */
struct stream_versions *
version_keeper_versions (struct version_keeper *keeper)
{
  return keeper->versions;
}

/* Sets the source of the other instances; IP is the own address, in host byte
   order.  */
void
version_keeper_set_gossip (struct version_keeper *keeper,
                           const struct gossip *gossip, guint32 ip)
{
  keeper->gossip = gossip;
  keeper->options.ip = ip;
}

static void
add_timeout (void *ctx, const struct routing_route *route)
{
  struct version_keeper *keeper = ctx;
  if (route->kind == ROUTING_STREAM && route->resumable)
    keeper->keep_us = MAX (keeper->keep_us, KEEP_TIMEOUTS * route->timeout_us);
}

/* Takes over how long streams may last. An earlier configuration may have
   allowed longer ones, so the time does not fall.  */
void
version_keeper_set_routes (struct version_keeper *keeper,
                           const struct routing_table *routing_table)
{
  routing_table_each_route (routing_table, add_timeout, keeper);
  begun_streams_keep_for (stream_versions_begun (keeper->versions),
                          keeper->keep_us);
}

static void
start_call (struct version_keeper *keeper, struct caller *caller,
            enum storage_op op, const char *name, GBytes *body,
            storage_callback done)
{
  struct storage_request request = { .op = op,
                                     .expected = caller->version,
                                     .body = body,
                                     .timeout_us = TIMEOUT_US };
  g_strlcpy (request.name, name, sizeof request.name);
  caller->busy = TRUE;
  caller->started_at = clk_now (keeper->options.clk);
  object_client_start (caller->client, &request, done, keeper);
}

static void
note_failure (struct version_keeper *keeper, struct caller *caller,
              const char *what, const struct storage_response *response)
{
  gint64 delay = RETRY_US << MIN (caller->failures, RETRY_DOUBLINGS);
  if (response->retry_after_us > 0)
    delay = response->retry_after_us;
  counter_add (keeper->options.counter_set, COUNTER_STREAMS_UNSAVED, 1);
  if (caller->failures++ == 0)
    log_event (LOG_WARN, "versions.store_failed",
               "what=%s cause=%s retry_ms=%" G_GINT64_FORMAT, what,
               err_name (response->code), delay / CLK_MS);
  caller->not_before = clk_now (keeper->options.clk) + delay;
}

static void
note_success (struct caller *caller)
{
  if (caller->failures > 0)
    log_event (LOG_INFO, "versions.store_regained", "failures=%u",
               caller->failures);
  caller->failures = 0;
}

static struct str
body_text (const struct storage_response *response)
{
  gsize n = 0;
  const char *text
      = response->body != NULL ? g_bytes_get_data (response->body, &n) : "";
  return (struct str){ text, n };
}

/* Logs the table that is in force from now on, and lets the requests go on that
   have waited for it.  */
static void
table_changed (struct version_keeper *keeper, const char *source)
{
  struct version_table *table = stream_versions_table (keeper->versions);
  g_autoptr (GBytes) text = version_table_text (table);
  g_autofree char *shown
      = text != NULL
            ? g_strndup (g_bytes_get_data (text, NULL), g_bytes_get_size (text))
            : g_strdup ("");
  log_event (LOG_INFO, "versions.changed",
             "number=%" G_GUINT64_FORMAT " source=%s table=\"%s\"",
             version_table_number (table), source,
             g_strdelimit (g_strchomp (shown), "\n", ';'));
  counter_add (keeper->options.counter_set, COUNTER_VERSION_TABLES, 1);
  keeper->due_since = 0;
  version_keeper_observe (keeper);
  note_changed (keeper);
}

/* Takes over TEXT, a table in the store of ERA. One that is older than that
   known, or that cannot be read, is to be replaced.  */
static void
take_stored (struct version_keeper *keeper, struct str text, guint64 era)
{
  struct version_table *table = stream_versions_table (keeper->versions);
  guint64 before = version_table_number (table);
  gint64 now = clk_now (keeper->options.clk);
  switch (version_table_read (table, text, era, now))
    {
    case 0:
      if (version_table_number (table) == before)
        return;
      keeper->must_write = FALSE;
      table_changed (keeper, "store");
      return;
    case ERR_CONFLICT:
      break;
    default:
      log_event (LOG_WARN, "versions.unreadable", "bytes=%" G_GSIZE_FORMAT,
                 text.n);
      version_keeper_observe (keeper);
      version_table_distrust (table, now);
      break;
    }
  keeper->must_write = TRUE;
}

/* Takes over what a response says of the object of the table.  */
static void
take_object (struct version_keeper *keeper,
             const struct storage_response *response)
{
  struct caller *caller = &keeper->table;
  note_success (caller);
  keeper->must_read = FALSE;
  keeper->era = MAX (keeper->era, response->era);
  caller->is_known = TRUE;
  caller->version = response->version;
  if (response->version > 0)
    take_stored (keeper, body_text (response), response->era);
  else
    keeper->must_write = TRUE;
}

static void
on_table_read (void *ctx, const struct storage_response *response)
{
  struct version_keeper *keeper = ctx;
  keeper->table.busy = FALSE;
  /* An object without a value that can be read has a version nevertheless. */
  if (response->code == 0 || response->version > 0
      || response->code == ERR_NOT_FOUND)
    take_object (keeper, response);
  else
    note_failure (keeper, &keeper->table, "read", response);
}

static void
on_table_written (void *ctx, const struct storage_response *response)
{
  struct version_keeper *keeper = ctx;
  struct caller *caller = &keeper->table;
  g_autoptr (GBytes) proposed = g_steal_pointer (&keeper->proposed);
  caller->busy = FALSE;
  if (response->code == 0)
    {
      struct storage_response written = *response;
      written.body = proposed;
      take_object (keeper, &written);
    }
  else if (response->code == ERR_CONFLICT && response->body != NULL)
    take_object (keeper, response);
  else
    {
      /* The call may have taken effect; the object says so. */
      keeper->must_read = TRUE;
      note_failure (keeper, caller, "write", response);
    }
}

static void
write_table (struct version_keeper *keeper, gint64 now)
{
  const struct version_table *table = stream_versions_table (keeper->versions);
  guint64 number = MAX (version_table_number (table), keeper->heard) + 1;
  keeper->proposed = version_table_propose (table, number, keeper->era,
                                            keeper->keep_us, now);
  start_call (keeper, &keeper->table, STORAGE_PUT, TABLE_NAME, keeper->proposed,
              on_table_written);
}

/* Returns whether a peer has a newer table, which is not lost yet.  */
static gboolean
is_behind (const struct version_keeper *keeper, gint64 now)
{
  return keeper->behind_since != 0
         && now - keeper->behind_since < NEWER_LOST_US;
}

/* Returns whether it is this instance's turn to change the table: the first one
   does so at once, each of the others if all before it have not.  */
static gboolean
has_turn (struct version_keeper *keeper, gint64 now)
{
  const struct version_table *table = stream_versions_table (keeper->versions);
  gboolean is_due = version_table_is_due (table, keeper->keep_us, now)
                    || (keeper->must_write && version_table_number (table) > 0);
  if (!is_due || is_behind (keeper, now))
    {
      keeper->due_since = 0;
      return FALSE;
    }
  if (keeper->due_since == 0)
    keeper->due_since = now;
  guint rank
      = keeper->gossip != NULL ? gossip_reader_rank (keeper->gossip, now) : 0;
  return now - keeper->due_since >= (gint64)rank * TURN_US;
}

/* Reads or writes the table, if that is due. A newer table of a peer is fetched
   from it; if that takes too long, it is looked for in the store.  */
static void
step_table (struct version_keeper *keeper, gint64 now)
{
  struct caller *caller = &keeper->table;
  if (caller->busy || now < caller->not_before)
    return;
  if (is_behind (keeper, now) && now - keeper->behind_since >= TURN_US
      && now - keeper->asked_store_at >= TURN_US)
    {
      keeper->asked_store_at = now;
      keeper->must_read = TRUE;
    }
  gboolean is_turn = has_turn (keeper, now);
  if (keeper->must_read || (is_turn && !caller->is_known))
    start_call (keeper, caller, STORAGE_GET, TABLE_NAME, NULL, on_table_read);
  else if (is_turn)
    write_table (keeper, now);
}

static void
on_streams_listed (void *ctx, const struct storage_response *response)
{
  struct version_keeper *keeper = ctx;
  struct caller *caller = &keeper->streams;
  struct begun_streams *begun = stream_versions_begun (keeper->versions);
  caller->busy = FALSE;
  if (response->code != 0 && response->code != ERR_NOT_FOUND)
    {
      note_failure (keeper, caller, "list", response);
      return;
    }
  note_success (caller);
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
  struct version_keeper *keeper = ctx;
  struct caller *caller = &keeper->streams;
  caller->busy = FALSE;
  if (response->code == 0)
    {
      note_success (caller);
      caller->version = response->version;
      counter_add (keeper->options.counter_set, COUNTER_STREAMS_SAVED, 1);
      return;
    }
  /* The call may have taken effect; the list says so. */
  caller->is_known = FALSE;
  keeper->is_changed = TRUE;
  if (response->code != ERR_CONFLICT)
    note_failure (keeper, caller, "save", response);
}

/* Chooses the collectors: the first instances by address.  */
static void
choose_collectors (struct version_keeper *keeper, gint64 now)
{
  guint32 *ips = keeper->collectors;
  keeper->collectors_at = now;
  list_companions (keeper, now);
  ips[0] = keeper->options.ip;
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
collector_rank (const struct version_keeper *keeper)
{
  for (guint i = 0; i < keeper->n_collectors; i++)
    if (keeper->collectors[i] == keeper->options.ip)
      return i;
  return COLLECTORS_MAX;
}

/* Tells the other collectors of the N streams with KEYS.  */
static void
send_reports (struct version_keeper *keeper, const guint64 *keys, guint n)
{
  const struct begun_streams *begun = stream_versions_begun (keeper->versions);
  for (guint at = 0; at < n; at += REPORT_KEYS_MAX)
    {
      g_autoptr (GBytes) text = begun_streams_write_keys (
          begun, keys + at, MIN (n - at, REPORT_KEYS_MAX));
      struct stream_inquiry report = { .kind = STREAM_INQUIRY_REPORT };
      report.report.p = g_bytes_get_data (text, &report.report.n);
      for (guint i = 0; i < keeper->n_collectors; i++)
        if (keeper->collectors[i] != keeper->options.ip)
          send_inquiry (keeper, keeper->collectors[i], &report);
    }
}

/* Reports to the collectors, if that is due. Any report may be lost, so each
   stream is in two, and all are told again from time to time.  */
static void
step_reports (struct version_keeper *keeper, gint64 now)
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
step_streams (struct version_keeper *keeper, gint64 now)
{
  struct caller *caller = &keeper->streams;
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
      start_call (keeper, caller, STORAGE_LIST, "", NULL, on_streams_listed);
    }
  else if (saves && keeper->is_changed
           && now - keeper->saved_at
                  >= (rank == 0 ? SAVE_INTERVAL_US : SAVE_INTERVAL_LATER_US))
    {
      g_autoptr (GBytes) text
          = begun_streams_write (stream_versions_begun (keeper->versions));
      keeper->is_changed = FALSE;
      keeper->saved_at = now;
      start_call (keeper, caller, STORAGE_PUT, keeper->options.id, text,
                  on_streams_saved);
    }
}

/* Collects and saves streams while they may begin at any version. When that
   begins, what was seen before becomes necessary.  */
static void
step_memory (struct version_keeper *keeper, gint64 now)
{
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

/* The list of servers may have changed.  */
void
version_keeper_observe (struct version_keeper *keeper)
{
  keeper->observed_at = clk_now (keeper->options.clk);
  if (registry_is_loaded (keeper->options.registry))
    version_table_observe (stream_versions_table (keeper->versions),
                           keeper->options.registry, keeper->observed_at);
}

/* Does what is due. Called regularly.  */
void
version_keeper_step (struct version_keeper *keeper)
{
  gint64 now = clk_now (keeper->options.clk);
  if (now - keeper->observed_at >= OBSERVE_INTERVAL_US)
    version_keeper_observe (keeper);
  stream_versions_expire (keeper->versions, now);
  step_table (keeper, now);
  step_memory (keeper, now);
}

/* The store has come back from an older copy, in ERA: what was saved may be
   lost.  */
void
version_keeper_store_changed (struct version_keeper *keeper, guint64 era)
{
  keeper->era = MAX (keeper->era, era);
  keeper->table.is_known = FALSE;
  keeper->must_write = TRUE;
  keeper->streams.is_known = FALSE;
  keeper->is_changed = TRUE;
}

/* A peer has the table NUMBER. Returns whether that is to be fetched from
   it.  */
gboolean
version_keeper_heard (struct version_keeper *keeper, guint64 number)
{
  gboolean is_newer = number > version_table_number (
                          stream_versions_table (keeper->versions));
  keeper->heard = MAX (keeper->heard, number);
  if (is_newer && keeper->behind_since == 0)
    keeper->behind_since = clk_now (keeper->options.clk);
  return is_newer;
}

/* Takes over the TEXT of a peer's table. Returns 0 or an ERR_ number.  */
int
version_keeper_take (struct version_keeper *keeper, struct str text)
{
  struct version_table *table = stream_versions_table (keeper->versions);
  guint64 before = version_table_number (table);
  int code = version_table_read (table, text, 0, clk_now (keeper->options.clk));
  if (version_table_number (table) >= keeper->heard)
    keeper->behind_since = 0;
  if (version_table_number (table) > before)
    {
      /* Its writer has seen what the store had. */
      keeper->must_write = FALSE;
      keeper->table.is_known = FALSE;
      table_changed (keeper, "peer");
    }
  return code == ERR_CONFLICT ? 0 : code;
}

static void
answer (struct version_keeper *keeper, guint32 ip, guint64 key)
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
take_report (struct version_keeper *keeper, struct str text)
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
version_keeper_receive (struct version_keeper *keeper, guint32 ip,
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

/* Appends the member "versions" to JSON: the table, and who collects the
   streams that have begun.  */
void
version_keeper_dump (const struct version_keeper *keeper, JsonBuilder *json)
{
  const struct version_table *table = stream_versions_table (keeper->versions);
  json_builder_set_member_name (json, "versions");
  json_builder_begin_object (json);
  json_add_int (json, "table", (gint64)version_table_number (table));
  json_builder_set_member_name (json, "services");
  json_builder_begin_object (json);
  version_table_dump (table, json);
  json_builder_end_object (json);
  json_add_int (json, "collectors", keeper->n_collectors);
  json_add_int (json, "unreported", keeper->unreported->len);
  json_add_int (json, "store_failures",
                keeper->table.failures + keeper->streams.failures);
  json_builder_end_object (json);
}
