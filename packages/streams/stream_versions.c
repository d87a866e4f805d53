#include "streams/stream_versions.h"

/* Until the answers of peers are no longer waited for: longer than a message
   takes there and back between two regions. */
#define PEERS_US (100 * CLK_MS)
/* The same for what is saved, if the store does not answer. */
#define SAVED_US (1 * CLK_S)
#define SEARCHES_MAX 10000

enum search_step
{
  SEARCH_PEERS,
  SEARCH_SAVED,
  SEARCH_FAILED
};

/* A search for where a stream has begun.  */
struct search
{
  enum search_step step;
  gint64 step_since; /* clock time */
  guint unanswered;  /* by peers */
};

struct stream_versions
{
  struct stream_versions_options options;
  struct version_table *table;
  struct begun_streams *begun;
  GHashTable *searches; /* key: struct search, owned */
  gint64 confirmed_at;  /* clock time at which the table was the newest one */
};

struct stream_versions *
stream_versions_new (const struct stream_versions_options *options, gint64 now)
{
  struct stream_versions *versions = g_new0 (struct stream_versions, 1);
  versions->options = *options;
  versions->table = version_table_new ();
  versions->begun = begun_streams_new (now);
  versions->searches
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return versions;
}

void
stream_versions_free (struct stream_versions *versions)
{
  if (versions == NULL)
    return;
  version_table_free (versions->table);
  begun_streams_free (versions->begun);
  g_hash_table_unref (versions->searches);
  g_free (versions);
}

/* Returns the table, borrowed.  */
struct version_table *
stream_versions_table (struct stream_versions *versions)
{
  return versions->table;
}

/* Returns what is known of streams, borrowed.  */
struct begun_streams *
stream_versions_begun (struct stream_versions *versions)
{
  return versions->begun;
}

static gboolean
is_search_over (gpointer key, gpointer value, gpointer data)
{
  const struct search *search = value;
  gint64 now = *(const gint64 *)data;
  (void)key;
  return now - search->step_since > SAVED_US + PEERS_US;
}

/* Drops what is too old. Called regularly.  */
void
stream_versions_expire (struct stream_versions *versions, gint64 now)
{
  begun_streams_expire (versions->begun, now);
  g_hash_table_foreach_remove (versions->searches, is_search_over, &now);
}

/* Records that the table was the newest one at the clock time AT.  */
void
stream_versions_confirmed (struct stream_versions *versions, gint64 at)
{
  versions->confirmed_at = MAX (versions->confirmed_at, at);
}

/* Returns whether the table says where all streams have begun: no other
   instance can have begun one at another version since it was confirmed. Else
   has that done.  */
static gboolean
is_table_current (const struct stream_versions *versions, gint64 now)
{
  const struct stream_versions_options *options = &versions->options;
  if (options->confirm_table == NULL
      || (versions->confirmed_at != 0
          && now - versions->confirmed_at < VERSION_TABLE_HOLD_US))
    return TRUE;
  options->confirm_table (options->ctx);
  return FALSE;
}

/* Returns at which versions a stream of SERVICE may begin, as
   version_table_rule; also VERSION_RULE_ANY if all its servers have the one
   version, and VERSION_RULE_ONE shortly after the rule has changed.  */
enum version_rule
stream_versions_may_begin (const struct stream_versions *versions,
                           const char *service, gint64 now,
                           const char **version)
{
  enum version_rule rule
      = version_table_rule (versions->table, service, version);
  if (version_table_holds (versions->table, service, now, version))
    return VERSION_RULE_ONE;
  return rule == VERSION_RULE_ONE
                 && !version_table_has_several (versions->table, service)
             ? VERSION_RULE_ANY
             : rule;
}

/* Records that the request ID has brought the first event of a stream, from a
   server of VERSION of SERVICE.  */
void
stream_versions_record (struct stream_versions *versions, struct str id,
                        const char *service, const char *version)
{
  guint64 key = begun_streams_key (id);
  begun_streams_add (versions->begun, key, service, version, BEGUN_OWN);
  if (versions->options.began != NULL)
    versions->options.began (versions->options.ctx, key);
}

static void
begin_step (const struct stream_versions *versions, struct search *search,
            enum search_step step, gint64 now)
{
  search->step = step;
  search->step_since = now;
  if (step != SEARCH_SAVED)
    return;
  if (versions->options.read_saved != NULL)
    versions->options.read_saved (versions->options.ctx);
  else
    search->step = SEARCH_FAILED;
}

/* Returns the search for KEY; it begins if there is none yet. NULL: there are
   too many.  */
static struct search *
search_of (struct stream_versions *versions, guint64 key, gint64 now)
{
  struct search *search = g_hash_table_lookup (versions->searches, &key);
  if (search != NULL)
    return search;
  if (g_hash_table_size (versions->searches) >= SEARCHES_MAX)
    return NULL;
  search = g_new0 (struct search, 1);
  g_hash_table_insert (versions->searches, g_memdup2 (&key, sizeof key),
                       search);
  if (versions->options.ask_peers != NULL)
    search->unanswered
        = versions->options.ask_peers (versions->options.ctx, key);
  begin_step (versions, search, SEARCH_PEERS, now);
  return search;
}

/* Goes on with the search for KEY. Returns FALSE when it has failed.  */
static gboolean
search_on (struct stream_versions *versions, guint64 key, gint64 now)
{
  struct search *search = search_of (versions, key, now);
  if (search == NULL)
    return FALSE;
  if (search->step == SEARCH_PEERS
      && (search->unanswered == 0 || now - search->step_since >= PEERS_US))
    begin_step (versions, search, SEARCH_SAVED, now);
  if (search->step == SEARCH_SAVED && now - search->step_since >= SAVED_US)
    search->step = SEARCH_FAILED;
  return search->step != SEARCH_FAILED;
}

/* Finds the version of SERVICE at which the stream has begun whose first event
   the request ID has brought; "": the client does not say which one. VERSION is
   borrowed for a moment.  */
enum stream_search_result
stream_versions_find (struct stream_versions *versions, struct str id,
                      const char *service, gint64 now, const char **version)
{
  guint64 key = begun_streams_key (id);
  const struct begun_place *place
      = id.n > 0 ? begun_streams_find (versions->begun, key) : NULL;
  if (place != NULL)
    {
      *version = place->version;
      return !place->is_ambiguous && g_str_equal (place->service, service)
                 ? STREAM_SEARCH_FOUND
                 : STREAM_SEARCH_ABSENT;
    }
  switch (version_table_rule (versions->table, service, version))
    {
    case VERSION_RULE_ONE:
      return is_table_current (versions, now) ? STREAM_SEARCH_FOUND
                                              : STREAM_SEARCH_SEARCHING;
    case VERSION_RULE_UNKNOWN:
      return STREAM_SEARCH_SEARCHING;
    case VERSION_RULE_ANY:
      break;
    }
  return id.n > 0 && search_on (versions, key, now) ? STREAM_SEARCH_SEARCHING
                                                    : STREAM_SEARCH_ABSENT;
}

static void
note_change (const struct stream_versions *versions)
{
  if (versions->options.changed != NULL)
    versions->options.changed (versions->options.ctx);
}

/* A peer says where the stream with KEY has begun; PLACE is NULL if it does not
   know.  */
void
stream_versions_peer_answered (struct stream_versions *versions, guint64 key,
                               const struct begun_place *place)
{
  struct search *search = g_hash_table_lookup (versions->searches, &key);
  if (search == NULL)
    return;
  search->unanswered -= MIN (search->unanswered, 1);
  if (place != NULL)
    begun_streams_add (versions->begun, key, place->service, place->version,
                       BEGUN_SAVED);
  if (place != NULL || search->unanswered == 0)
    note_change (versions);
}

/* What all instances have saved has been read by a call that began at clock
   time BEGAN_AT: what was searched for since before then and is not known by
   now, nobody knows.  */
void
stream_versions_saved_read (struct stream_versions *versions, gint64 began_at)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, versions->searches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct search *search = value;
      if (search->step == SEARCH_SAVED && search->step_since <= began_at)
        search->step = SEARCH_FAILED;
    }
  note_change (versions);
}

/* What is saved cannot be read at present.  */
void
stream_versions_saved_failed (struct stream_versions *versions)
{
  stream_versions_saved_read (versions, G_MAXINT64);
}
