#include "fleet/registry.h"

#include "base/log.h"
#include "fleet/leave_records.h"

#include <string.h>

/* Entries that expired while the store was unavailable are written again
   within this time after its return. Servers whose entries are still missing
   then are removed.  */
#define REAPPEAR_GRACE_US (2 * CLK_S)
/* A server that an attempt could not reach is avoided for this time. It doubles
   with each further attempt, up to UNREACHABLE_DOUBLINGS times. */
#define UNREACHABLE_PAUSE_US (500 * CLK_MS)
#define UNREACHABLE_DOUBLINGS 3
#define PEER_PAUSE_US (600 * CLK_MS) /* the same after a peer's report */
/* A peer's report is ignored if this instance had contact with the server
   within this time. */
#define RECENT_CONTACT_US (300 * CLK_MS)
/* A server that starts is in the list within this time. */
#define REGISTRATION_US (2 * CLK_S)

struct registry
{
  GPtrArray *servers; /* of struct registry_server, referenced, sorted by id */
  GHashTable *by_id;  /* id: struct registry_server, borrowed from SERVERS */
  registry_changed changed;
  void *ctx;
  gboolean loaded;            /* a list was received */
  gboolean store_unavailable; /* a read has failed since the last list */
  gint64 store_failed_at;     /* time of that */
  gint64 store_back_at;       /* time of the first list after the store was
                                 unavailable; 0: none */
  guint next_number;
  guint generation;                    /* counts added and removed servers */
  guint list_number;                   /* counts the lists received */
  struct leave_records *leave_records; /* owned */
  gint64 drain_us; /* how long a server that has said that it is leaving may
                      get new requests */
  gint64 previous_list_at; /* clock time as of which the store had the list
                              before the present one; 0: none */
  gint64 wall_offset;      /* wall clock minus clock; 0: unknown */
};

static const char *const state_names[] = {
#define REGISTRY_STATE_NAME(id, name) name,
  REGISTRY_STATES (REGISTRY_STATE_NAME)
#undef REGISTRY_STATE_NAME
};

static const char *const source_names[] = {
#define REGISTRY_SOURCE_NAME(id, name) name,
  REGISTRY_SOURCES (REGISTRY_SOURCE_NAME)
#undef REGISTRY_SOURCE_NAME
};

const char *
registry_state_name (enum registry_state state)
{
  return state_names[state];
}

const char *
registry_source_name (enum registry_source source)
{
  return source_names[source];
}

struct registry_server *
registry_server_ref (struct registry_server *server)
{
  server->refs++;
  return server;
}

void
registry_server_unref (struct registry_server *server)
{
  if (server != NULL && --server->refs == 0)
    g_free (server);
}

/* Records that SERVER has sent something.  */
void
registry_mark_reached (struct registry_server *server, gint64 now)
{
  server->last_reached = now;
  server->unreachable_in_row = 0;
  server->peer_avoid_until = 0;
}

/* Records that an attempt could not reach SERVER. When many servers become
   unreachable at once, each attempt costs a time-out, so the server is avoided
   for longer each time.  */
void
registry_mark_unreachable (struct registry_server *server, gint64 now)
{
  gint64 pause = UNREACHABLE_PAUSE_US
                 << MIN (server->unreachable_in_row, UNREACHABLE_DOUBLINGS);
  server->unreachable_in_row++;
  server->avoid_until = MAX (server->avoid_until, now + pause);
}

/* Forgets which servers this instance could not reach: it was cut off itself.
 */
void
registry_forget_unreachable (struct registry *registry)
{
  for (guint i = 0; i < registry->servers->len; i++)
    {
      struct registry_server *server = g_ptr_array_index (registry->servers, i);
      if (server->unreachable_in_row > 0)
        server->avoid_until = 0;
      server->unreachable_in_row = 0;
    }
}

/* Returns whether this instance avoids SERVER because its own attempts could
   not reach it.  */
gboolean
registry_is_unreachable (const struct registry_server *server, gint64 now)
{
  return server->unreachable_in_row > 0 && server->avoid_until > now;
}

/* Records that a peer could not reach SERVER. This instance's own experience
   with the server takes precedence: it tries servers that peers could not reach
   if there are no others, as the peers may be cut off from all of them.  */
void
registry_peer_found_unreachable (struct registry_server *server, gint64 now)
{
  if (server->unreachable_in_row > 0
      || (server->last_reached != 0
          && now - server->last_reached < RECENT_CONTACT_US))
    return;
  if (server->peer_avoid_until <= now)
    log_write (&(struct log_entry){ .level = LOG_INFO,
                                    .event = "server.avoided",
                                    .peer = server->entry.id },
               "source=peer contact_ms=%" G_GINT64_FORMAT,
               server->last_reached != 0 ? (now - server->last_reached) / CLK_MS
                                         : -1);
  server->peer_avoid_until
      = MAX (server->peer_avoid_until, now + PEER_PAUSE_US);
}

/* Records that SERVER has asked this instance to send nothing for US. After
   that time requests are sent one at a time until it answers one.  */
void
registry_back_off (struct registry_server *server, gint64 now, gint64 us)
{
  server->backoff.until = MAX (server->backoff.until, now + us);
  server->backoff.asked = now;
  server->backoff.trial = TRUE;
}

/* Returns whether this instance must send nothing to SERVER, because it has
   asked for that.  */
gboolean
registry_is_backing_off (const struct registry_server *server, gint64 now)
{
  return server->backoff.until > now;
}

/* Records that SERVER has begun to answer a request without asking to send
   nothing.  */
void
registry_mark_serving (struct registry_server *server)
{
  server->backoff.trial = FALSE;
}

static void
unref_server (gpointer data)
{
  registry_server_unref (data);
}

/* Creates an empty registry. CHANGED is called for each change that a list or
   an observation brings.  */
struct registry *
registry_new (registry_changed changed, void *ctx)
{
  struct registry *registry = g_new0 (struct registry, 1);
  registry->servers = g_ptr_array_new_with_free_func (unref_server);
  registry->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  registry->leave_records = leave_records_new ();
  registry->changed = changed;
  registry->ctx = ctx;
  return registry;
}

void
registry_free (struct registry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_unref (registry->by_id);
  g_ptr_array_unref (registry->servers);
  leave_records_free (registry->leave_records);
  g_free (registry);
}

/* Sets for how many microseconds a server may get new requests after it has
   said that it is leaving; 0, the default: not at all.  */
void
registry_set_drain_time (struct registry *registry, gint64 us)
{
  registry->drain_us = us;
}

/* Relates the next list to responses: PREVIOUS_LIST_AT is the clock time as of
   which the store still had the list before, WALL_OFFSET the wall clock minus
   the clock.  */
void
registry_set_times (struct registry *registry, gint64 previous_list_at,
                    gint64 wall_offset)
{
  registry->previous_list_at = previous_list_at;
  registry->wall_offset = wall_offset;
}

static void
notify (struct registry *registry, enum registry_change_kind kind,
        struct registry_server *server)
{
  const struct registry_change change
      = { .kind = kind, .server = server, .source = REGISTRY_FROM_LIST };
  registry->changed (registry->ctx, &change);
}

static void
notify_leaving (struct registry *registry, struct registry_server *server,
                enum registry_source source)
{
  const struct registry_change change
      = { .kind = REGISTRY_SERVER_LEAVING, .server = server, .source = source };
  registry->changed (registry->ctx, &change);
}

/* Applies to SERVER what it has said about leaving in its present life.  */
static void
apply_leave_record (struct registry *registry, struct registry_server *server,
                    gint64 now)
{
  gint64 said_at
      = leave_records_find (registry->leave_records, &server->entry, now);
  if (said_at == 0 || server->said_leaving_at != 0)
    return;
  server->said_leaving_at = said_at;
  server->drain_until = said_at + registry->drain_us;
  notify_leaving (registry, server, REGISTRY_FROM_RESPONSE);
}

/* Decides whether SERVER may have said already that it is leaving, in a
   response that was received for the life before because the entry of this one
   was not known. Its next response says which. Until then it gets requests like
   any other server, but only for the drain time, since it may have said so.  */
static void
apply_earlier_record (struct registry *registry, struct registry_server *server,
                      gint64 now)
{
  if (server->said_leaving_at != 0 || server->may_leave_since != 0
      || server->may_leave_from == 0)
    return;
  gint64 since = leave_records_find_earlier (
      registry->leave_records, &server->entry, server->may_leave_from, now);
  if (since == 0)
    return;
  server->may_leave_since = since;
  server->drain_until = since + registry->drain_us;
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "server.may_leave",
                                  .peer = server->entry.id },
             "born=%" G_GINT64_FORMAT " since_ms=%" G_GINT64_FORMAT,
             server->entry.start_time_ms, (now - since) / CLK_MS);
}

/* Records that SERVER has said in a response to this instance that it is
   leaving. SERVER may have been removed from the list meanwhile.  */
void
registry_mark_leaving (struct registry *registry,
                       const struct registry_server *server, gint64 now)
{
  gint64 since = server->may_leave_since;
  leave_records_add (registry->leave_records, &server->entry,
                     since != 0 ? since : now, now);
  struct registry_server *listed = registry_find (registry, server->entry.id);
  if (listed == NULL)
    return;
  apply_leave_record (registry, listed, now);
  apply_earlier_record (registry, listed, now);
}

/* Records that a response of SERVER to an attempt that began at STARTED does
   not say that it is leaving. A life says it in all its responses once it has
   said it, so those before STARTED were not of this one.  */
void
registry_mark_not_leaving (struct registry *registry,
                           struct registry_server *server, gint64 started,
                           gint64 now)
{
  if (server->said_leaving_at != 0 || server->may_leave_from == 0)
    return;
  server->may_leave_from = MAX (server->may_leave_from, started);
  if (server->may_leave_since == 0)
    return;
  server->may_leave_since = 0;
  server->drain_until = 0;
  apply_earlier_record (registry, server, now);
}

/* Records that SERVER has said to another instance that it is leaving. This is
   a reason to prefer other servers; the drain time begins with a response to
   this instance.  */
void
registry_peer_found_leaving (struct registry *registry,
                             struct registry_server *server)
{
  if (server->peer_said_leaving)
    return;
  server->peer_said_leaving = TRUE;
  notify_leaving (registry, server, REGISTRY_FROM_PEER);
}

/* Returns whether SERVER is leaving, by any source: it gets new requests only
   if no other server can take them, if at all.  */
gboolean
registry_is_leaving (const struct registry_server *server)
{
  return server->state == REGISTRY_LEAVING || server->said_leaving_at != 0
         || server->peer_said_leaving;
}

/* Returns whether SERVER may get new requests. One that the list has as leaving
   gets none; one that has said so itself, or may have, may get some for the
   drain time.  */
gboolean
registry_may_serve (const struct registry_server *server, gint64 now)
{
  return server->state == REGISTRY_READY
         && (server->drain_until == 0 || now <= server->drain_until);
}

static gint
by_id (gconstpointer a, gconstpointer b)
{
  const struct registry_server *x = *(struct registry_server *const *)a;
  const struct registry_server *y = *(struct registry_server *const *)b;
  return strcmp (x->entry.id, y->entry.id);
}

struct registry_server *
registry_find (const struct registry *registry, const char *id)
{
  return g_hash_table_lookup (registry->by_id, id);
}

/* Removes SERVER; requests that hold a reference keep it.  */
static void
remove_server (struct registry *registry, struct registry_server *server)
{
  server->state = REGISTRY_REMOVED;
  registry->generation++;
  registry_server_ref (server);
  g_hash_table_remove (registry->by_id, server->entry.id);
  g_ptr_array_remove (registry->servers, server);
  notify (registry, REGISTRY_SERVER_REMOVED, server);
  registry_server_unref (server);
}

/* Returns the clock time before which no response was of the life of ENTRY,
   which is listed for the first time; 0: unknown. The start time is by the
   clock of the server. Should this one be ahead, responses of the life before
   would seem to be of this one; the list before, which did not have it,
   excludes most.  */
static gint64
earliest_response (const struct registry *registry,
                   const struct registry_entry *entry, gint64 now)
{
  if (entry->start_time_ms == 0 || registry->wall_offset == 0)
    return 0;
  gint64 started = entry->start_time_ms * CLK_MS - registry->wall_offset;
  return MAX (MIN (started, now), registry->previous_list_at - REGISTRATION_US);
}

static void
add_server (struct registry *registry, const struct registry_entry *entry,
            gint64 now)
{
  struct registry_server *server = g_new0 (struct registry_server, 1);
  server->refs = 1;
  server->entry = *entry;
  server->number = ++registry->next_number;
  registry->generation++;
  server->state = entry->leaving ? REGISTRY_LEAVING : REGISTRY_READY;
  server->listed_since = now;
  server->may_leave_from = leave_records_first_response (
      registry->leave_records, entry, earliest_response (registry, entry, now));
  server_health_init (&server->server_health, now);
  server->list_number = registry->list_number;
  g_ptr_array_add (registry->servers, server);
  g_hash_table_insert (registry->by_id, server->entry.id, server);
  notify (registry, REGISTRY_SERVER_ADDED, server);
  apply_leave_record (registry, server, now);
  apply_earlier_record (registry, server, now);
}

/* Replaces SERVER, an earlier life, by that of ENTRY. If it asked for nothing
   so late that the response may have been of the new life, this one has asked.
 */
static void
replace_server (struct registry *registry, struct registry_server *server,
                const struct registry_entry *entry, gint64 now)
{
  struct registry_backoff backoff = server->backoff;
  gboolean same_place = g_str_equal (entry->service, server->entry.service)
                        && g_str_equal (entry->address, server->entry.address);
  remove_server (registry, server);
  add_server (registry, entry, now);
  server = registry_find (registry, entry->id);
  if (!same_place || backoff.until <= now || server->may_leave_from == 0
      || backoff.asked < server->may_leave_from)
    return;
  server->backoff = backoff;
  server->backoff.trials = 0;
}

/* Returns whether the versions of A and B differ. Older instances pass entries
   on without one.  */
static gboolean
has_other_version (const struct registry_entry *a,
                   const struct registry_entry *b)
{
  return a->version[0] != '\0' && b->version[0] != '\0'
         && strcmp (a->version, b->version) != 0;
}

/* Updates the server of ENTRY. Its health and other measurements are kept until
   it restarts. An entry with an older start time than the present one arrived
   late and is ignored.  */
static void
apply_entry (struct registry *registry, const struct registry_entry *entry,
             gint64 now)
{
  struct registry_server *server = registry_find (registry, entry->id);
  if (server != NULL)
    server->list_number = registry->list_number;
  if (server != NULL && entry->start_time_ms < server->entry.start_time_ms)
    {
      server->missing_since = 0;
      return;
    }
  gboolean restarted
      = server != NULL
        && (entry->start_time_ms != server->entry.start_time_ms
            || has_other_version (entry, &server->entry)
            || strcmp (entry->service, server->entry.service) != 0
            || strcmp (entry->address, server->entry.address) != 0);
  if (restarted)
    replace_server (registry, server, entry, now);
  else if (server == NULL)
    add_server (registry, entry, now);
  if (server == NULL || restarted)
    return;
  server->missing_since = 0;
  if (server->entry.version[0] == '\0')
    g_strlcpy (server->entry.version, entry->version,
               sizeof server->entry.version);
  server->entry.slots = entry->slots;
  server->entry.warming_until = entry->warming_until;
  server->entry.is_spot = entry->is_spot;
  server->entry.leaving_at = entry->leaving_at;
  if (entry->leaving && server->state == REGISTRY_READY)
    {
      server->entry.leaving = TRUE;
      server->state = REGISTRY_LEAVING;
      notify (registry, REGISTRY_SERVER_LEAVING, server);
    }
}

/* Records that a read of the list has failed: from now on, entries may expire
   although their servers have not left.  */
void
registry_store_failed (struct registry *registry, gint64 now)
{
  registry->store_unavailable = TRUE;
  registry->store_failed_at = now;
}

/* Records that the present list was read again, here or by a peer, at READ_AT
   or later, and has not changed: the store is back if a read had failed before.
   Entries that a later list lacks have then been removed after the outage, and
   not expired in it.  */
void
registry_list_confirmed (struct registry *registry, gint64 read_at, gint64 now)
{
  if (!registry->store_unavailable || read_at <= registry->store_failed_at)
    return;
  registry->store_unavailable = FALSE;
  registry->store_back_at = now;
}

/* Applies a complete list, read at NOW. The time grows with the number of
   entries, not with its square: every instance of a large deployment does this
   for thousands of servers whenever one of them changes.  */
void
registry_update (struct registry *registry,
                 const struct registry_entry *entries, guint n, gint64 now)
{
  if (registry->store_unavailable)
    registry->store_back_at = now;
  registry->store_unavailable = FALSE;
  registry->list_number++;
  for (guint i = 0; i < n; i++)
    apply_entry (registry, &entries[i], now);
  for (guint i = 0; i < registry->servers->len; i++)
    {
      struct registry_server *server = g_ptr_array_index (registry->servers, i);
      if (server->missing_since == 0
          && server->list_number != registry->list_number)
        server->missing_since = now;
      if (server->said_leaving_at != 0) /* keeps its record from expiring */
        leave_records_find (registry->leave_records, &server->entry, now);
    }
  g_ptr_array_sort (registry->servers, by_id);
  leave_records_expire (registry->leave_records, now);
  registry->loaded = TRUE;
  registry_tick (registry, now);
}

/* Removes servers that are no longer listed, except during the time in which
   their entries may reappear. Only ready servers get that time: those that were
   leaving are removed at once. While the store is unavailable, no server is
   removed.  */
void
registry_tick (struct registry *registry, gint64 now)
{
  gboolean in_grace = registry->store_back_at != 0
                      && now - registry->store_back_at < REAPPEAR_GRACE_US;
  for (guint i = registry->servers->len; i-- > 0;)
    {
      struct registry_server *server = g_ptr_array_index (registry->servers, i);
      if (server->missing_since != 0
          && !(in_grace && !registry_is_leaving (server))
          && !registry->store_unavailable)
        remove_server (registry, server);
    }
}

/* Returns whether any list was received.  */
gboolean
registry_is_loaded (const struct registry *registry)
{
  return registry->loaded;
}

struct registry_server *const *
registry_servers (const struct registry *registry, guint *n)
{
  *n = registry->servers->len;
  return (struct registry_server *const *)registry->servers->pdata;
}

/* Returns a key of the life of SERVER, the same at all instances.  */
guint64
registry_life_key (const struct registry_server *server)
{
  return str_hash (str_of (server->entry.id),
                   (guint64)server->entry.start_time_ms);
}

/* Returns a number that changes whenever a server is added or removed.  */
guint
registry_generation (const struct registry *registry)
{
  return registry->generation;
}
