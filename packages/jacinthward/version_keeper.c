#include "jacinthward/version_keeper.h"

#include "base/json_add.h"
#include "base/log.h"
#include "jacinthward/store_caller.h"

#define TABLE_NAME "versions"
/* Until the instance of the next rank changes the table instead of one that has
   not. */
#define TURN_US (300 * CLK_MS)
#define OBSERVE_INTERVAL_US (1 * CLK_S)
/* Time for which streams are remembered, at least. It is longer than any stream
   with all tries of its client: these end with the route's time-out, and the
   client may wait longer by as much. */
#define KEEP_MIN_US (20 * CLK_S)
#define KEEP_TIMEOUTS 2
/* A newer table that a peer has named and that cannot be had for this time is
   lost with the peer. */
#define NEWER_LOST_US (3 * CLK_S)

/* From the question whether the table is the newest one until the peers answer
   it if the store has not. */
#define CONFIRM_US (300 * CLK_MS)

struct version_keeper
{
  struct version_keeper_options options;
  const struct gossip *gossip; /* borrowed; NULL: none yet */
  struct store_caller caller;
  gint64 keep_us; /* time for which streams are remembered */
  gint64 observed_at;
  guint64 era;         /* of the store; 0: not stated */
  guint64 heard;       /* highest number of a table that a peer has */
  gint64 due_since;    /* clock time since which the table is to change; 0: it
                          is not */
  gboolean must_write; /* the store has no table, or an older one */
  gboolean must_read;  /* the table is in the store, and not known here */
  GBytes *proposed;    /* that is being written, owned; NULL: none */
  gint64 behind_since; /* clock time since which a peer has a newer table; 0:
                          none has */
  gint64 sought_at; /* clock time at which that was looked for in the store */
  gint64 confirm_since; /* clock time since which it is asked whether the table
                           is the newest one; 0: it is not */
};

struct version_keeper *
version_keeper_new (const struct version_keeper_options *options)
{
  struct version_keeper *keeper = g_new0 (struct version_keeper, 1);
  const struct store_caller_options caller_options
      = { .address = options->store_address,
          .clk = options->clk,
          .counter_set = options->counter_set };
  keeper->options = *options;
  keeper->keep_us = KEEP_MIN_US;
  keeper->must_read = TRUE;
  store_caller_init (&keeper->caller, &caller_options);
  return keeper;
}

void
version_keeper_free (struct version_keeper *keeper)
{
  if (keeper == NULL)
    return;
  store_caller_clear (&keeper->caller);
  g_clear_pointer (&keeper->proposed, g_bytes_unref);
  g_free (keeper);
}

/* Sets the source of the other instances, which take turns.  */
void
version_keeper_set_gossip (struct version_keeper *keeper,
                           const struct gossip *gossip)
{
  keeper->gossip = gossip;
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
  begun_streams_keep_for (stream_versions_begun (keeper->options.versions),
                          keeper->keep_us);
}

/* Logs the table that is in force from now on, and lets the requests go on that
   have waited for it.  */
static void
table_changed (struct version_keeper *keeper, const char *source)
{
  struct version_table *table
      = stream_versions_table (keeper->options.versions);
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
  if (version_table_number (table) >= keeper->heard)
    keeper->behind_since = 0;
  version_keeper_observe (keeper);
  keeper->options.changed (keeper->options.ctx);
}

/* The table that is known was the newest one at the clock time AT.  */
static void
note_confirmed (struct version_keeper *keeper, gint64 at)
{
  stream_versions_confirmed (keeper->options.versions, at);
  if (keeper->confirm_since == 0)
    return;
  keeper->confirm_since = 0;
  keeper->options.changed (keeper->options.ctx);
}

/* Takes over TEXT, a table in the store of ERA, which a call has read that
   began at the clock time READ_AT. One that is older than that known, or that
   cannot be read, is to be replaced.  */
static void
take_stored (struct version_keeper *keeper, struct str text, guint64 era,
             gint64 read_at)
{
  struct version_table *table
      = stream_versions_table (keeper->options.versions);
  guint64 before = version_table_number (table);
  gint64 now = clk_now (keeper->options.clk);
  switch (version_table_read (table, text, era, now))
    {
    case 0:
      if (version_table_number (table) != before)
        {
          keeper->must_write = FALSE;
          table_changed (keeper, "store");
        }
      note_confirmed (keeper, read_at);
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
  struct store_caller *caller = &keeper->caller;
  store_caller_succeeded (caller);
  keeper->must_read = FALSE;
  keeper->era = MAX (keeper->era, response->era);
  caller->is_known = TRUE;
  caller->version = response->version;
  if (response->version > 0)
    take_stored (keeper, store_caller_text (response), response->era,
                 caller->started_at);
  else
    keeper->must_write = TRUE;
}

static void
on_table_read (void *ctx, const struct storage_response *response)
{
  struct version_keeper *keeper = ctx;
  /* An object without a value that can be read has a version nevertheless. */
  if (response->code == 0 || response->version > 0
      || response->code == ERR_NOT_FOUND)
    take_object (keeper, response);
  else
    store_caller_failed (&keeper->caller, "read", response);
}

static void
on_table_written (void *ctx, const struct storage_response *response)
{
  struct version_keeper *keeper = ctx;
  struct store_caller *caller = &keeper->caller;
  g_autoptr (GBytes) proposed = g_steal_pointer (&keeper->proposed);
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
      store_caller_failed (caller, "write", response);
    }
}

static void
write_table (struct version_keeper *keeper, gint64 now)
{
  const struct version_table *table
      = stream_versions_table (keeper->options.versions);
  guint64 number = MAX (version_table_number (table), keeper->heard) + 1;
  keeper->proposed = version_table_propose (table, number, keeper->era,
                                            keeper->keep_us, now);
  store_caller_start (&keeper->caller, STORAGE_PUT, TABLE_NAME,
                      keeper->proposed, on_table_written, keeper);
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
  const struct version_table *table
      = stream_versions_table (keeper->options.versions);
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
  struct store_caller *caller = &keeper->caller;
  if (caller->busy || now < caller->not_before)
    return;
  if (is_behind (keeper, now) && now - keeper->behind_since >= TURN_US
      && now - keeper->sought_at >= TURN_US)
    {
      keeper->sought_at = now;
      keeper->must_read = TRUE;
    }
  gboolean is_turn = has_turn (keeper, now);
  if (keeper->must_read || (is_turn && !caller->is_known))
    store_caller_start (caller, STORAGE_GET, TABLE_NAME, NULL, on_table_read,
                        keeper);
  else if (is_turn)
    write_table (keeper, now);
}

/* The list of servers may have changed.  */
void
version_keeper_observe (struct version_keeper *keeper)
{
  keeper->observed_at = clk_now (keeper->options.clk);
  if (registry_is_loaded (keeper->options.registry))
    version_table_observe (stream_versions_table (keeper->options.versions),
                           keeper->options.registry, keeper->observed_at);
}

/* Finds out whether the table is the newest one: from the store or, if that
   does not answer, from the peers, who hear of a newer one soon. An instance
   that is cut off from most of them gets no answer.  */
void
version_keeper_confirm (struct version_keeper *keeper)
{
  gint64 now = clk_now (keeper->options.clk);
  if (keeper->confirm_since != 0)
    return;
  keeper->confirm_since = now;
  keeper->must_read = TRUE;
  step_table (keeper, now);
}

static void
step_confirmation (struct version_keeper *keeper, gint64 now)
{
  if (keeper->confirm_since == 0 || now - keeper->confirm_since < CONFIRM_US
      || is_behind (keeper, now) || keeper->gossip == NULL
      || !gossip_hears_most (keeper->gossip, now))
    return;
  note_confirmed (keeper, now);
}

/* Does what is due. Called regularly.  */
void
version_keeper_step (struct version_keeper *keeper)
{
  gint64 now = clk_now (keeper->options.clk);
  if (now - keeper->observed_at >= OBSERVE_INTERVAL_US)
    version_keeper_observe (keeper);
  step_table (keeper, now);
  step_confirmation (keeper, now);
}

/* The store has come back from an older copy, in ERA: the table may be an older
   one.  */
void
version_keeper_store_changed (struct version_keeper *keeper, guint64 era)
{
  keeper->era = MAX (keeper->era, era);
  keeper->caller.is_known = FALSE;
  keeper->must_write = TRUE;
}

/* A peer has the table NUMBER. Returns whether that is to be fetched from
   it.  */
gboolean
version_keeper_heard (struct version_keeper *keeper, guint64 number)
{
  gboolean is_newer = number > version_table_number (
                          stream_versions_table (keeper->options.versions));
  keeper->heard = MAX (keeper->heard, number);
  if (is_newer && keeper->behind_since == 0)
    keeper->behind_since = clk_now (keeper->options.clk);
  return is_newer;
}

/* Takes over the TEXT of a peer's table. Returns 0 or an ERR_ number.  */
int
version_keeper_take (struct version_keeper *keeper, struct str text)
{
  struct version_table *table
      = stream_versions_table (keeper->options.versions);
  guint64 before = version_table_number (table);
  int code = version_table_read (table, text, 0, clk_now (keeper->options.clk));
  if (version_table_number (table) > before)
    {
      /* Its writer has seen what the store had. */
      keeper->must_write = FALSE;
      keeper->caller.is_known = FALSE;
      table_changed (keeper, "peer");
    }
  return code == ERR_CONFLICT ? 0 : code;
}

/* Appends the member "versions" to JSON: the table.  */
void
version_keeper_dump (const struct version_keeper *keeper, JsonBuilder *json)
{
  const struct version_table *table
      = stream_versions_table (keeper->options.versions);
  json_builder_set_member_name (json, "versions");
  json_builder_begin_object (json);
  json_add_int (json, "table", (gint64)version_table_number (table));
  json_builder_set_member_name (json, "services");
  json_builder_begin_object (json);
  version_table_dump (table, json);
  json_builder_end_object (json);
  json_add_int (json, "store_failures", keeper->caller.failures);
  json_builder_end_object (json);
}
