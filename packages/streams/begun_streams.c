#include "streams/begun_streams.h"

#include "base/err.h"

#include <string.h>

/* Entries are kept by generations. The oldest one is dropped as a whole, so an
   entry lives for KEEP_US at least and a third more at most. */
#define GENERATIONS 4
#define KEEP_DEFAULT_US (60 * (gint64)G_USEC_PER_SEC)
/* Of one generation, by one source. Beyond it the streams that begin are not
   remembered, and their clients have to begin anew. */
#define ENTRIES_MAX 50000
#define FIRST_LINE "streams 1"
#define NOT_STATED "*" /* no version can be called so */

struct generation
{
  GHashTable *places[BEGUN_SOURCES_N]; /* key: struct begun_place, borrowed */
};

struct begun_streams
{
  struct generation generations[GENERATIONS];
  guint current; /* generation that new entries join */
  gint64 current_since;
  gint64 keep_us;
  GPtrArray *places; /* of struct begun_place, owned */
  struct begun_place ambiguous;
};

static void
generation_clear (struct generation *generation)
{
  for (guint i = 0; i < BEGUN_SOURCES_N; i++)
    g_hash_table_remove_all (generation->places[i]);
}

struct begun_streams *
begun_streams_new (gint64 now)
{
  struct begun_streams *streams = g_new0 (struct begun_streams, 1);
  streams->places = g_ptr_array_new_with_free_func (g_free);
  streams->ambiguous.is_ambiguous = TRUE;
  streams->keep_us = KEEP_DEFAULT_US;
  streams->current_since = now;
  for (guint i = 0; i < GENERATIONS; i++)
    for (guint k = 0; k < BEGUN_SOURCES_N; k++)
      streams->generations[i].places[k]
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return streams;
}

void
begun_streams_free (struct begun_streams *streams)
{
  if (streams == NULL)
    return;
  for (guint i = 0; i < GENERATIONS; i++)
    for (guint k = 0; k < BEGUN_SOURCES_N; k++)
      g_hash_table_unref (streams->generations[i].places[k]);
  g_ptr_array_unref (streams->places);
  g_free (streams);
}

/* Sets for how many microseconds entries are kept at least.  */
void
begun_streams_keep_for (struct begun_streams *streams, gint64 us)
{
  streams->keep_us = us;
}

/* Drops the entries that are too old. Called regularly.  */
void
begun_streams_expire (struct begun_streams *streams, gint64 now)
{
  if (now - streams->current_since < streams->keep_us / (GENERATIONS - 1))
    return;
  streams->current_since = now;
  streams->current = (streams->current + 1) % GENERATIONS;
  generation_clear (&streams->generations[streams->current]);
}

/* Returns the key of the stream that the request ID has begun.  */
guint64
begun_streams_key (struct str id)
{
  return str_hash (id, 0);
}

static const struct begun_place *
place_of (struct begun_streams *streams, const char *service,
          const char *version)
{
  for (guint i = 0; i < streams->places->len; i++)
    {
      const struct begun_place *place = streams->places->pdata[i];
      if (g_str_equal (place->service, service)
          && g_str_equal (place->version, version))
        return place;
    }
  struct begun_place *place = g_new0 (struct begun_place, 1);
  g_strlcpy (place->service, service, sizeof place->service);
  g_strlcpy (place->version, version, sizeof place->version);
  g_ptr_array_add (streams->places, place);
  return place;
}

/* Returns where the stream with KEY has begun, borrowed; NULL: unknown.  */
const struct begun_place *
begun_streams_find (const struct begun_streams *streams, guint64 key)
{
  const struct begun_place *found = NULL;
  for (guint i = 0; i < GENERATIONS; i++)
    for (guint k = 0; k < BEGUN_SOURCES_N; k++)
      {
        const struct begun_place *place
            = g_hash_table_lookup (streams->generations[i].places[k], &key);
        if (place != NULL && found != NULL && place != found)
          return &streams->ambiguous;
        if (place != NULL)
          found = place;
      }
  return found;
}

static void
insert (struct begun_streams *streams, guint64 key,
        const struct begun_place *place, enum begun_source source)
{
  GHashTable *places = streams->generations[streams->current].places[source];
  if (g_hash_table_size (places) >= ENTRIES_MAX)
    return;
  g_hash_table_insert (places, g_memdup2 (&key, sizeof key), (gpointer)place);
}

static gboolean
is_from (const struct begun_streams *streams, guint64 key,
         enum begun_source source)
{
  for (guint i = 0; i < GENERATIONS; i++)
    if (g_hash_table_contains (streams->generations[i].places[source], &key))
      return TRUE;
  return FALSE;
}

/* Records that the stream with KEY has begun at VERSION of SERVICE. Two streams
   under the same key make the place ambiguous, unless it is the same.  */
void
begun_streams_add (struct begun_streams *streams, guint64 key,
                   const char *service, const char *version,
                   enum begun_source source)
{
  const struct begun_place *place = place_of (streams, service, version);
  const struct begun_place *known = begun_streams_find (streams, key);
  if (known == NULL
      || (known == place && source != BEGUN_SAVED
          && !is_from (streams, key, source)))
    insert (streams, key, place, source);
  else if (known != place)
    insert (streams, key, &streams->ambiguous, source);
}

/* Appends the keys of the streams that this instance has seen begin to
   KEYS.  */
void
begun_streams_own_keys (const struct begun_streams *streams, GArray *keys)
{
  for (guint i = 0; i < GENERATIONS; i++)
    {
      GHashTableIter iter;
      gpointer key;
      g_hash_table_iter_init (&iter, streams->generations[i].places[BEGUN_OWN]);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        g_array_append_vals (keys, key, 1);
    }
}

/* Appends KEY to KEYS as eight bytes, the most significant first.  */
static void
append_key (GByteArray *keys, guint64 key)
{
  guint64 big_endian = GUINT64_TO_BE (key);
  g_byte_array_append (keys, (const guint8 *)&big_endian, sizeof big_endian);
}

/* Appends a line with KEYS, which have begun at PLACE, unless there are none.
   KEYS is empty afterwards.  */
static void
append_line (GString *out, const struct begun_place *place, GByteArray *keys)
{
  if (keys->len > 0)
    {
      g_autofree char *base64 = g_base64_encode (keys->data, keys->len);
      g_string_append_printf (
          out, "%s %s %s\n", place->service,
          place->version[0] != '\0' ? place->version : NOT_STATED, base64);
    }
  g_byte_array_set_size (keys, 0);
}

/* Appends the keys that have begun at PLACE, as far as this instance has seen
   them or was told of them.  */
static void
collect_keys (const struct begun_streams *streams,
              const struct begun_place *place, GByteArray *keys)
{
  for (guint i = 0; i < GENERATIONS; i++)
    for (guint k = BEGUN_OWN; k <= BEGUN_TOLD; k++)
      {
        GHashTableIter iter;
        gpointer key;
        gpointer value;
        g_hash_table_iter_init (&iter, streams->generations[i].places[k]);
        while (g_hash_table_iter_next (&iter, &key, &value))
          if (value == place)
            append_key (keys, *(guint64 *)key);
      }
}

/* Returns the text of what this instance has seen and was told, owned by the
   caller: a line for each place, with the keys in base64.  */
GBytes *
begun_streams_write (const struct begun_streams *streams)
{
  GString *out = g_string_new (FIRST_LINE "\n");
  GByteArray *keys = g_byte_array_new ();
  for (guint i = 0; i < streams->places->len; i++)
    {
      collect_keys (streams, streams->places->pdata[i], keys);
      append_line (out, streams->places->pdata[i], keys);
    }
  g_byte_array_unref (keys);
  return g_string_free_to_bytes (out);
}

/* Returns the same text of the N streams with KEYS, as far as they are
   known.  */
GBytes *
begun_streams_write_keys (const struct begun_streams *streams,
                          const guint64 *keys, guint n)
{
  GString *out = g_string_new (FIRST_LINE "\n");
  GByteArray *at_place = g_byte_array_new ();
  for (guint i = 0; i < streams->places->len; i++)
    {
      const struct begun_place *place = streams->places->pdata[i];
      for (guint k = 0; k < n; k++)
        if (begun_streams_find (streams, keys[k]) == place)
          append_key (at_place, keys[k]);
      append_line (out, place, at_place);
    }
  g_byte_array_unref (at_place);
  return g_string_free_to_bytes (out);
}

static gboolean
read_line (struct begun_streams *streams, const char *line,
           enum begun_source source)
{
  g_auto (GStrv) fields = g_strsplit (line, " ", 3);
  if (g_strv_length (fields) != 3 || !str_id_ok (str_of (fields[0]))
      || (!g_str_equal (fields[1], NOT_STATED)
          && !str_id_ok (str_of (fields[1]))))
    return FALSE;
  const char *version = g_str_equal (fields[1], NOT_STATED) ? "" : fields[1];
  gsize n;
  g_autofree guchar *bytes = g_base64_decode (fields[2], &n);
  for (gsize at = 0; at + sizeof (guint64) <= n; at += sizeof (guint64))
    {
      guint64 key;
      memcpy (&key, bytes + at, sizeof key);
      begun_streams_add (streams, GUINT64_FROM_BE (key), fields[0], version,
                         source);
    }
  return n % sizeof (guint64) == 0;
}

/* Joins what TEXT says, which was written by begun_streams_write. Returns 0 or
   ERR_PROTOCOL; lines before a malformed one count.  */
int
begun_streams_read (struct begun_streams *streams, struct str text,
                    enum begun_source source)
{
  g_autofree char *copy = str_dup (text);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", -1);
  if (strlen (copy) != text.n || lines[0] == NULL
      || !g_str_equal (lines[0], FIRST_LINE))
    return ERR_PROTOCOL;
  for (guint i = 1; lines[i] != NULL && lines[i][0] != '\0'; i++)
    if (!read_line (streams, lines[i], source))
      return ERR_PROTOCOL;
  return 0;
}
