/* Stand-in for the platform's object store. It serves the API that the users'
   platform publishes below /-/objects, and a plain API for tests below
   /objects (docs/INTERFACES.md).  */
#include "standin/datastore.h"
#include "standin/published.h"
#include "standin/standin.h"

#include <string.h>

#define OBJECTS "/objects"
#define PUBLISHED "/-/objects/"
#define STATUS_GONE 410
#define WATCH_MAX_MS 60000
#define US_PER_MS 1000
/* The condition of a request is missing or malformed. */
#define VERSION_INVALID G_MAXUINT64

struct faults
{
  gboolean down;                /* all requests get 503 and change nothing */
  gboolean forgotten;           /* watches get 410: their version is too old */
  gint64 lose_answer_after_put; /* writes applied without a response */
  gint64 lose_before_put;       /* PUTs and POSTs dropped before they apply */
  gint64 go_back_ms;            /* the store returns to its state of so long
                                   ago, once */
};

static struct standin_field fields[] = {
  STANDIN_FIELD (down, STANDIN_BOOL),
  STANDIN_FIELD (forgotten, STANDIN_BOOL),
  STANDIN_FIELD (lose_answer_after_put, STANDIN_INT),
  STANDIN_FIELD (lose_before_put, STANDIN_INT),
  STANDIN_FIELD (go_back_ms, STANDIN_INT),
};

/* X (NAME, "name") */
#define COUNTS(X)                                                              \
  X (GET, "get")                                                               \
  X (PUT, "put")                                                               \
  X (DELETE, "delete")                                                         \
  X (WATCH, "watch")                                                           \
  X (LIST, "list")                                                             \
  X (LIMITED, "limited")                                                       \
  X (DOWN, "down")

enum count
{
#define COUNT_ENUM(id, name) COUNT_##id,
  COUNTS (COUNT_ENUM)
#undef COUNT_ENUM
      COUNT_N
};

static const char *const count_names[] = {
#define COUNT_NAME(id, name) [COUNT_##id] = (name),
  COUNTS (COUNT_NAME)
#undef COUNT_NAME
};

struct platform
{
  struct standin standin; /* first, so that callbacks can cast from it */
  struct faults faults;
  struct datastore *store;
  GList *watches; /* struct watch, owned */
  struct datastore_bucket reads;
  struct datastore_bucket writes;
  guint64 era; /* rises each time the store goes back */
  gint64 counts[COUNT_N];
};

struct watch
{
  struct platform *platform;
  SoupServerMessage *msg; /* ref */
  char *name;             /* of an object, or of a kind if published */
  gboolean published;
  guint64 after_version; /* waits for a newer one */
  guint timeout;
};

static void
set_etag (SoupServerMessage *msg, guint64 version)
{
  char *etag = g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", version);
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "ETag", etag);
  g_free (etag);
}

static void
respond_object (SoupServerMessage *msg, const struct datastore_object *object)
{
  gsize size;
  const char *value = g_bytes_get_data (object->value, &size);
  set_etag (msg, object->version);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (msg, "application/octet-stream",
                                    SOUP_MEMORY_COPY, value, size);
  soup_server_message_unpause (msg);
}

static void
record_event (struct platform *platform, const char *kind, const char *name,
              guint64 version)
{
  struct standin_event event
      = { .kind = kind, .name = name, .version = version };
  standin_history (&platform->standin, &event);
}

static void
watch_end (struct watch *watch)
{
  struct platform *platform = watch->platform;
  platform->watches = g_list_remove (platform->watches, watch);
  if (watch->timeout != 0)
    g_source_remove (watch->timeout);
  g_signal_handlers_disconnect_by_data (watch->msg, watch);
  g_object_unref (watch->msg);
  g_free (watch->name);
  g_free (watch);
}

static void
on_watch_finished (SoupServerMessage *msg, gpointer ctx)
{
  (void)msg;
  watch_end (ctx);
}

static gboolean
on_watch_timeout (gpointer ctx)
{
  struct watch *watch = ctx;
  watch->timeout = 0;
  if (watch->published)
    {
      char *none
          = g_strdup_printf ("{\"events\":[],\"at\":%" G_GUINT64_FORMAT "}",
                             datastore_last_version (watch->platform->store));
      standin_respond (watch->msg, SOUP_STATUS_OK, none);
      g_free (none);
    }
  else
    {
      soup_server_message_set_status (watch->msg, SOUP_STATUS_NO_CONTENT, NULL);
      soup_server_message_unpause (watch->msg);
    }
  watch_end (watch);
  return G_SOURCE_REMOVE;
}

/* Responds to a watch of a kind, and ends it, if an object of the kind is
   newer.  */
static void
respond_published_watch (struct watch *watch)
{
  struct datastore *store = watch->platform->store;
  char *events = published_events (store, watch->name, watch->after_version,
                                   datastore_last_version (store));
  if (events == NULL)
    return;
  standin_respond (watch->msg, SOUP_STATUS_OK, events);
  g_free (events);
  watch_end (watch);
}

/* Responds to the watches that wait for a change of OBJECT.  */
static void
notify_watches (struct platform *platform,
                const struct datastore_object *object)
{
  GList *next;
  for (GList *l = platform->watches; l != NULL; l = next)
    {
      next = l->next;
      struct watch *watch = l->data;
      if (watch->published)
        {
          respond_published_watch (watch);
          continue;
        }
      if (strcmp (watch->name, object->name) != 0
          || object->version <= watch->after_version)
        continue;
      respond_object (watch->msg, object);
      watch_end (watch);
    }
}

static struct watch *
start_watch (struct platform *platform, SoupServerMessage *msg,
             const char *name, guint64 after_version, guint timeout_ms)
{
  struct watch *watch = g_new0 (struct watch, 1);
  watch->platform = platform;
  watch->msg = g_object_ref (msg);
  watch->name = g_strdup (name);
  watch->after_version = after_version;
  watch->timeout
      = g_timeout_add (MIN (timeout_ms, WATCH_MAX_MS), on_watch_timeout, watch);
  g_signal_connect (msg, "finished", G_CALLBACK (on_watch_finished), watch);
  platform->watches = g_list_prepend (platform->watches, watch);
  return watch;
}

static const char *
query_text (GHashTable *query, const char *name)
{
  return query != NULL ? g_hash_table_lookup (query, name) : NULL;
}

static void
handle_get (struct platform *platform, SoupServerMessage *msg, const char *name,
            GHashTable *query)
{
  const struct datastore_object *object = datastore_get (platform->store, name);
  const char *after = query_text (query, "watch");
  const char *timeout = query_text (query, "timeout_ms");
  platform->counts[after != NULL ? COUNT_WATCH : COUNT_GET]++;
  if (after != NULL)
    {
      guint64 version = g_ascii_strtoull (after, NULL, 10);
      guint64 ms = timeout != NULL ? g_ascii_strtoull (timeout, NULL, 10) : 0;
      if (object != NULL && object->version > version)
        respond_object (msg, object);
      else
        start_watch (platform, msg, name, version,
                     (guint)MIN (ms, WATCH_MAX_MS));
      return;
    }
  if (object != NULL)
    respond_object (msg, object);
  else
    standin_error (msg, SOUP_STATUS_NOT_FOUND, "not_found");
}

/* Returns the version that the request's condition expects, 0 if the object
   must not exist, or VERSION_INVALID.  */
static guint64
expected_version (SoupServerMessage *msg)
{
  const char *match = standin_header (msg, "If-Match");
  const char *none = standin_header (msg, "If-None-Match");
  if (match == NULL)
    return none != NULL && strcmp (none, "*") == 0 ? 0 : VERSION_INVALID;
  char *end;
  if (*match != '"')
    return VERSION_INVALID;
  guint64 version = g_ascii_strtoull (match + 1, &end, 10);
  return version > 0 && strcmp (end, "\"") == 0 ? version : VERSION_INVALID;
}

/* Responds that the condition failed, with the current version in the ETag.  */
static void
respond_conflict (struct platform *platform, SoupServerMessage *msg,
                  const char *name)
{
  const struct datastore_object *object = datastore_get (platform->store, name);
  if (object != NULL)
    set_etag (msg, object->version);
  record_event (platform, "conflict", name,
                object != NULL ? object->version : 0);
  standin_error (msg, SOUP_STATUS_PRECONDITION_FAILED, "conflict");
}

/* Responds to a request that has changed an object, unless a fault drops the
   response. VERSION is 0 if the object was deleted.  */
static void
respond_written (struct platform *platform, SoupServerMessage *msg,
                 guint64 version)
{
  if (platform->faults.lose_answer_after_put > 0)
    {
      platform->faults.lose_answer_after_put--;
      standin_drop (msg);
      return;
    }
  if (version != 0)
    set_etag (msg, version);
  standin_respond (msg, SOUP_STATUS_OK, "{}");
}

static void
handle_put (struct platform *platform, SoupServerMessage *msg, const char *name)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  guint64 expected = expected_version (msg);
  platform->counts[COUNT_PUT]++;
  if (platform->faults.lose_before_put > 0)
    {
      platform->faults.lose_before_put--;
      standin_drop (msg);
      return;
    }
  if (expected == VERSION_INVALID || body->length > DATASTORE_VALUE_MAX)
    {
      standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_request");
      return;
    }
  GBytes *value = g_bytes_new (body->data, (gsize)body->length);
  enum datastore_result result = datastore_put (platform->store, name, expected,
                                                value, g_get_monotonic_time ());
  g_bytes_unref (value);
  if (result == DATASTORE_CONFLICT)
    {
      respond_conflict (platform, msg, name);
      return;
    }
  const struct datastore_object *object = datastore_get (platform->store, name);
  record_event (platform, "put", name, object->version);
  respond_written (platform, msg, object->version);
  notify_watches (platform, object);
}

static void
handle_delete (struct platform *platform, SoupServerMessage *msg,
               const char *name)
{
  guint64 expected = expected_version (msg);
  platform->counts[COUNT_DELETE]++;
  if (datastore_delete (platform->store, name, expected,
                        g_get_monotonic_time ())
      == DATASTORE_CONFLICT)
    {
      respond_conflict (platform, msg, name);
      return;
    }
  record_event (platform, "delete", name, expected);
  respond_written (platform, msg, 0);
}

static void
handle_list (struct platform *platform, SoupServerMessage *msg,
             GHashTable *query)
{
  const char *prefix = query_text (query, "prefix");
  GPtrArray *found
      = datastore_list (platform->store, prefix != NULL ? prefix : "");
  JsonBuilder *json = json_builder_new ();
  platform->counts[COUNT_LIST]++;
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "objects");
  json_builder_begin_array (json);
  for (guint i = 0; i < found->len; i++)
    {
      const struct datastore_object *object = found->pdata[i];
      json_builder_begin_object (json);
      json_builder_set_member_name (json, "name");
      json_builder_add_string_value (json, object->name);
      json_builder_set_member_name (json, "version");
      json_builder_add_int_value (json, (gint64)object->version);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
  json_builder_end_object (json);
  char *text = standin_json_end (json);
  standin_respond (msg, SOUP_STATUS_OK, text);
  g_free (text);
  g_ptr_array_unref (found);
}

static void
respond_published (SoupServerMessage *msg, guint status,
                   const struct datastore_object *object, const char *kind,
                   const char *name)
{
  char *text = published_object (object, kind, name);
  standin_respond (msg, status, text);
  g_free (text);
}

static void
read_published (struct platform *platform, SoupServerMessage *msg,
                const char *kind, const char *name, GHashTable *query)
{
  struct datastore *store = platform->store;
  const char *after = query_text (query, "watch");
  const char *wait = query_text (query, "wait_ms");
  platform->counts[after != NULL  ? COUNT_WATCH
                   : name != NULL ? COUNT_GET
                                  : COUNT_LIST]++;
  if (after != NULL
      && (platform->faults.forgotten
          || g_ascii_strtoull (after, NULL, 10)
                 > datastore_last_version (store)))
    standin_error (msg, STATUS_GONE, "gone");
  else if (after != NULL)
    {
      struct watch *watch = start_watch (
          platform, msg, kind, g_ascii_strtoull (after, NULL, 10),
          wait != NULL ? (guint)g_ascii_strtoull (wait, NULL, 10) : 0);
      watch->published = TRUE;
      respond_published_watch (watch);
    }
  else if (name == NULL)
    {
      char *page = published_list (store, kind, datastore_last_version (store));
      standin_respond (msg, SOUP_STATUS_OK, page);
      g_free (page);
    }
  else
    {
      char *key = published_store_name (kind, name);
      const struct datastore_object *object = datastore_get (store, key);
      if (object != NULL)
        respond_published (msg, SOUP_STATUS_OK, object, kind, name);
      else
        standin_error (msg, SOUP_STATUS_NOT_FOUND, "not_found");
      g_free (key);
    }
}

/* Creates (PATH_NAME is NULL) or updates an object. An update needs the
   expected version, unless its body names none.  */
static void
write_published (struct platform *platform, SoupServerMessage *msg,
                 const char *kind, const char *path_name)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  char *name = NULL;
  guint64 expected = 0;
  GBytes *value = NULL;
  platform->counts[COUNT_PUT]++;
  if (platform->faults.lose_before_put > 0)
    {
      platform->faults.lose_before_put--;
      standin_drop (msg);
      return;
    }
  gboolean ok = body->length > 0
                && published_read (kind, body->data, (gsize)body->length, &name,
                                   &expected, &value);
  if (!ok || (path_name == NULL && name == NULL))
    {
      standin_error (msg, SOUP_STATUS_BAD_REQUEST, "bad_request");
      g_free (name);
      g_clear_pointer (&value, g_bytes_unref);
      return;
    }
  const char *object_name = path_name ? path_name : name;
  char *key = published_store_name (kind, object_name);
  const struct datastore_object *current = datastore_get (platform->store, key);
  if (path_name == NULL)
    expected = 0;
  else if (expected == 0 && current != NULL)
    expected = current->version;
  if (path_name != NULL && current == NULL)
    standin_error (msg, SOUP_STATUS_NOT_FOUND, "not_found");
  else if (datastore_put (platform->store, key, expected, value,
                          g_get_monotonic_time ())
           == DATASTORE_CONFLICT)
    {
      record_event (platform, "conflict", key, current->version);
      respond_published (msg, SOUP_STATUS_CONFLICT, current, kind, object_name);
    }
  else
    {
      const struct datastore_object *object
          = datastore_get (platform->store, key);
      record_event (platform, "put", key, object->version);
      if (platform->faults.lose_answer_after_put > 0)
        {
          platform->faults.lose_answer_after_put--;
          standin_drop (msg);
        }
      else
        respond_published (msg, SOUP_STATUS_OK, object, kind, object_name);
      notify_watches (platform, object);
    }
  g_bytes_unref (value);
  g_free (key);
  g_free (name);
}

static void
handle_published (struct platform *platform, SoupServerMessage *msg,
                  const char *path, GHashTable *query)
{
  const char *method = soup_server_message_get_method (msg);
  char **parts = g_strsplit (path, "/", 2);
  const char *kind = parts[0];
  const char *name = parts[0] != NULL ? parts[1] : NULL;
  if (kind == NULL || *kind == '\0')
    standin_error (msg, SOUP_STATUS_NOT_FOUND, "unknown_path");
  else if (strcmp (method, "GET") == 0)
    read_published (platform, msg, kind, name, query);
  else if (strcmp (method, "POST") == 0 && name == NULL)
    write_published (platform, msg, kind, NULL);
  else if (strcmp (method, "PUT") == 0 && name != NULL)
    write_published (platform, msg, kind, name);
  else
    standin_error (msg, SOUP_STATUS_METHOD_NOT_ALLOWED, "bad_method");
  g_strfreev (parts);
}

/* Responds to MSG with an error if the platform is down or its rate limit is
   exceeded. Returns whether it did.  */
static gboolean
reject (struct platform *platform, SoupServerMessage *msg, gboolean writes)
{
  struct datastore_bucket *bucket
      = writes ? &platform->writes : &platform->reads;
  if (platform->faults.down)
    {
      platform->counts[COUNT_DOWN]++;
      standin_error (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "down");
      return TRUE;
    }
  if (datastore_bucket_take (bucket, g_get_monotonic_time ()))
    return FALSE;
  platform->counts[COUNT_LIMITED]++;
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "Retry-After", "1");
  standin_error (msg, STANDIN_TOO_MANY_REQUESTS, "limited");
  return TRUE;
}

/* States the era, which all responses do.  */
static void
set_era (const struct platform *platform, SoupServerMessage *msg)
{
  char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, platform->era);
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "Store-Era", era);
  g_free (era);
}

/* Drops the watches when the store goes back: none of them is answered in an
   era other than that of its request.  */
static void
on_faults_changed (struct standin *standin)
{
  struct platform *platform = (struct platform *)standin;
  if (platform->faults.go_back_ms <= 0)
    return;
  gint64 to = g_get_monotonic_time () - platform->faults.go_back_ms * US_PER_MS;
  platform->faults.go_back_ms = 0;
  platform->era++;
  guint undone = datastore_go_back (platform->store, to);
  const struct standin_event event
      = { .kind = "go_back", .n = undone, .version = platform->era };
  standin_history (standin, &event);
  GList *next;
  for (GList *l = platform->watches; l != NULL; l = next)
    {
      next = l->next;
      struct watch *watch = l->data;
      standin_drop (watch->msg);
      watch_end (watch);
    }
}

static void
handle (struct standin *standin, SoupServerMessage *msg, const char *path,
        GHashTable *query)
{
  struct platform *platform = (struct platform *)standin;
  const char *method = soup_server_message_get_method (msg);
  gboolean reads = strcmp (method, "GET") == 0;
  const char *name = g_str_has_prefix (path, OBJECTS "/")
                         ? path + strlen (OBJECTS "/")
                         : NULL;
  set_era (platform, msg);
  if (reject (platform, msg, !reads))
    return;
  if (g_str_has_prefix (path, PUBLISHED))
    handle_published (platform, msg, path + strlen (PUBLISHED), query);
  else if (reads && strcmp (path, OBJECTS) == 0)
    handle_list (platform, msg, query);
  else if (name == NULL || *name == '\0')
    standin_error (msg, SOUP_STATUS_NOT_FOUND, "unknown_path");
  else if (reads)
    handle_get (platform, msg, name, query);
  else if (strcmp (method, "PUT") == 0)
    handle_put (platform, msg, name);
  else if (strcmp (method, "DELETE") == 0)
    handle_delete (platform, msg, name);
  else
    standin_error (msg, SOUP_STATUS_METHOD_NOT_ALLOWED, "bad_method");
}

static char *
counts_json (struct standin *standin)
{
  struct platform *platform = (struct platform *)standin;
  GString *out = g_string_new ("{");
  for (guint i = 0; i < COUNT_N; i++)
    g_string_append_printf (out, "%s\"%s\": %" G_GINT64_FORMAT,
                            i > 0 ? ", " : "", count_names[i],
                            platform->counts[i]);
  g_string_append (out, "}");
  return g_string_free (out, FALSE);
}

int
main (int argc, char **argv)
{
  static struct platform platform;
  platform.store = datastore_new ();
  platform.era = 1;
  GOptionEntry entries[] = {
    { "reads-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &platform.reads.per_s,
      "Rate limit of GET; 0: none", "N" },
    { "writes-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &platform.writes.per_s,
      "Rate limit of PUT and DELETE; 0: none", "N" },
    G_OPTION_ENTRY_NULL,
  };
  struct standin_options options = { .kind = "platform",
                                     .entries = entries,
                                     .handler = handle,
                                     .counts = counts_json,
                                     .changed = on_faults_changed,
                                     .faults = &platform.faults,
                                     .fields = fields,
                                     .n_fields = G_N_ELEMENTS (fields) };
  return standin_main (&platform.standin, &options, argc, argv);
}
