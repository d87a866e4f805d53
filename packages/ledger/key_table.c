#include "ledger/key_table.h"

#include <string.h>

/* A closed segment. Its list may have records that have since moved to newer
   segments, and may have a record twice. */
struct segment
{
  gboolean complete; /* in memory as in the store */
  guint32 seq;
  guint32 time;       /* of its last rotation, seconds since 1970 UTC */
  GPtrArray *records; /* struct ledger_key_record, borrowed from the table */
};

/* Returns the name of STATE, an enum ledger_state, for dumps.  */
const char *
ledger_state_name (guint state)
{
  static const char *const names[] = {
#define LEDGER_STATE_NAME(id, name) name,
    LEDGER_STATES (LEDGER_STATE_NAME)
#undef LEDGER_STATE_NAME
  };
  return state < G_N_ELEMENTS (names) ? names[state] : "?";
}

/* Returns a copy of a response that the caller frees by g_free.  */
struct ledger_response *
ledger_response_new (guint32 status, struct str content_type, struct str body)
{
  struct ledger_response *response
      = g_malloc (sizeof *response + content_type.n + body.n);
  char *p = (char *)(response + 1);
  response->status = status;
  response->content_type = (struct str){ p, content_type.n };
  response->body = (struct str){ p + content_type.n, body.n };
  if (content_type.n)
    memcpy (p, content_type.p, content_type.n);
  if (body.n)
    memcpy (p + content_type.n, body.p, body.n);
  return response;
}

/* Returns bytes of a struct ledger_key_record's key as its hash, since the key
   is itself a digest. The first byte is left out: it selects the shard.  */
guint
ledger_key_hash (gconstpointer rec)
{
  guint hash;
  memcpy (&hash, ((const struct ledger_key_record *)rec)->key + 1, sizeof hash);
  return hash;
}

gboolean
ledger_key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (((const struct ledger_key_record *)a)->key,
                 ((const struct ledger_key_record *)b)->key, MSG_KEY_BYTES)
         == 0;
}

static guint
ingress_hash (gconstpointer p)
{
  const struct ledger_ingress *ingress = p;
  return g_str_hash (ingress->id.s) ^ g_int64_hash (&ingress->incarnation);
}

static gboolean
ingress_equal (gconstpointer a, gconstpointer b)
{
  const struct ledger_ingress *x = a;
  const struct ledger_ingress *y = b;
  return x->incarnation == y->incarnation && strcmp (x->id.s, y->id.s) == 0;
}

static void
rec_free (gpointer p)
{
  struct ledger_key_record *rec = p;
  g_free (rec->response);
  g_free (rec);
}

static void
segment_free (gpointer p)
{
  struct segment *segment = p;
  g_ptr_array_unref (segment->records);
  g_free (segment);
}

/* Returns an empty table that the caller frees by ledger_table_free.  */
struct ledger_table *
ledger_table_new (void)
{
  struct ledger_table *table = g_new0 (struct ledger_table, 1);
  table->records = g_hash_table_new_full (ledger_key_hash, ledger_key_equal,
                                          rec_free, NULL);
  table->head = g_ptr_array_new ();
  table->segments = g_hash_table_new_full (NULL, NULL, NULL, segment_free);
  table->ingresses = g_ptr_array_new_with_free_func (g_free);
  table->ingress_index = g_hash_table_new (ingress_hash, ingress_equal);
  return table;
}

void
ledger_table_free (struct ledger_table *table)
{
  if (!table)
    return;
  g_ptr_array_unref (table->head);
  g_hash_table_unref (table->segments);
  g_hash_table_unref (table->records);
  g_hash_table_unref (table->ingress_index);
  g_ptr_array_unref (table->ingresses);
  g_free (table);
}

/* Returns the index of incarnation INCARNATION of ingress ID in this table, and
   adds it if needed. Indices are valid until the table is freed.  */
guint32
ledger_table_ingress_index (struct ledger_table *table, struct str id,
                            guint64 incarnation)
{
  struct ledger_ingress probe = { .incarnation = incarnation };
  gpointer found;
  str_id_set (&probe.id, id);
  if (g_hash_table_lookup_extended (table->ingress_index, &probe, NULL, &found))
    return GPOINTER_TO_UINT (found);
  struct ledger_ingress *ingress = g_memdup2 (&probe, sizeof probe);
  guint32 number = table->ingresses->len;
  g_ptr_array_add (table->ingresses, ingress);
  g_hash_table_insert (table->ingress_index, ingress,
                       GUINT_TO_POINTER (number));
  return number;
}

const struct ledger_ingress *
ledger_table_ingress_at (const struct ledger_table *table, guint32 ingress)
{
  return g_ptr_array_index (table->ingresses, ingress);
}

static struct ledger_key_record *
find_any (const struct ledger_table *table, const guint8 key[MSG_KEY_BYTES])
{
  struct ledger_key_record probe;
  memcpy (probe.key, key, MSG_KEY_BYTES);
  return g_hash_table_lookup (table->records, &probe);
}

/* Returns the record of KEY, or NULL if there is none or its state is NONE.  */
const struct ledger_key_record *
ledger_table_find (const struct ledger_table *table,
                   const guint8 key[MSG_KEY_BYTES])
{
  const struct ledger_key_record *rec = find_any (table, key);
  return rec && rec->state != LEDGER_NONE ? rec : NULL;
}

guint
ledger_table_size (const struct ledger_table *table)
{
  return g_hash_table_size (table->records);
}

/* Copies FROM to REC except for its segment number.  */
static void
assign_record (struct ledger_key_record *rec,
               const struct ledger_key_record *from)
{
  guint32 seq = rec->seq;
  if (rec->response != from->response)
    g_free (rec->response);
  *rec = *from;
  rec->seq = seq;
}

/* Returns the record of KEY, added if there is none.  */
static struct ledger_key_record *
find_or_add (struct ledger_table *table, const guint8 key[MSG_KEY_BYTES])
{
  struct ledger_key_record *rec = find_any (table, key);
  if (rec)
    return rec;
  rec = g_new0 (struct ledger_key_record, 1);
  memcpy (rec->key, key, MSG_KEY_BYTES);
  g_hash_table_add (table->records, rec);
  return rec;
}

/* Adds REC to the head or replaces the record of its key. Takes over
   REC->response.  */
void
ledger_table_put (struct ledger_table *table,
                  const struct ledger_key_record *rec)
{
  struct ledger_key_record *own = find_or_add (table, rec->key);
  gboolean in_head = own->state != LEDGER_NONE && own->seq == LEDGER_IN_HEAD;
  assign_record (own, rec);
  own->seq = LEDGER_IN_HEAD;
  if (!in_head)
    g_ptr_array_add (table->head, own);
}

/* Removes the head's records before the head is loaded again. Each of them is
   in the new head or in a segment that was closed since.  */
void
ledger_table_clear_head (struct ledger_table *table)
{
  for (guint i = 0; i < table->head->len; i++)
    {
      struct ledger_key_record *rec = g_ptr_array_index (table->head, i);
      g_clear_pointer (&rec->response, g_free);
      rec->state = LEDGER_NONE;
    }
  g_ptr_array_set_size (table->head, 0);
}

static struct segment *
segment_of (const struct ledger_table *table, guint32 seq)
{
  return g_hash_table_lookup (table->segments, GUINT_TO_POINTER (seq));
}

gboolean
ledger_table_has_segment (const struct ledger_table *table, guint32 seq)
{
  const struct segment *segment = segment_of (table, seq);
  return segment && segment->complete;
}

/* Marks segment SEQ, if it is in memory, to be read again since records may
   have been added to it.  */
void
ledger_table_reopen_segment (struct ledger_table *table, guint32 seq)
{
  struct segment *segment = segment_of (table, seq);
  if (segment)
    segment->complete = FALSE;
}

/* Adds segment SEQ, last rotated at TIME (seconds since 1970 UTC), or updates
   its time. Its records are added by ledger_table_put_in_segment.  */
void
ledger_table_add_segment (struct ledger_table *table, guint32 seq, guint32 time)
{
  struct segment *segment = segment_of (table, seq);
  if (!segment)
    {
      segment = g_new0 (struct segment, 1);
      segment->seq = seq;
      segment->records = g_ptr_array_new ();
      g_hash_table_insert (table->segments, GUINT_TO_POINTER (seq), segment);
    }
  segment->time = time;
  segment->complete = TRUE;
}

/* Adds REC, without its response, as read from segment SEQ, unless a newer
   segment or the head has the key.  */
void
ledger_table_put_in_segment (struct ledger_table *table, guint32 seq,
                             const struct ledger_key_record *rec)
{
  struct ledger_key_record *own = find_or_add (table, rec->key);
  if (own->state != LEDGER_NONE && own->seq > seq)
    return;
  assign_record (own, rec);
  own->response = NULL;
  own->seq = seq;
  g_ptr_array_add (segment_of (table, seq)->records, own);
}

/* Moves the head's records to segment SEQ, the last or the next one, at TIME
   (seconds since 1970 UTC).  */
void
ledger_table_rotate_head (struct ledger_table *table, guint32 seq, guint32 time)
{
  table->next_segment = seq + 1;
  ledger_table_add_segment (table, seq, time);
  struct segment *segment = segment_of (table, seq);
  for (guint i = 0; i < table->head->len; i++)
    {
      struct ledger_key_record *rec = g_ptr_array_index (table->head, i);
      g_clear_pointer (&rec->response, g_free);
      rec->seq = seq;
      g_ptr_array_add (segment->records, rec);
    }
  g_ptr_array_set_size (table->head, 0);
}

/* Returns the number of the oldest segment that was last rotated at BEFORE
   (seconds since 1970 UTC) or later.  */
guint32
ledger_table_first_retained (const struct ledger_table *table, guint32 before)
{
  guint32 seq = table->first_segment;
  while (seq < table->next_segment && segment_of (table, seq)->time < before)
    seq++;
  return seq;
}

static int
compare_pointers (gconstpointer a, gconstpointer b)
{
  const char *x = *(const char *const *)a;
  const char *y = *(const char *const *)b;
  return x < y ? -1 : x > y;
}

/* Removes the keys whose newest record is in SEGMENT.  */
static void
remove_keys (struct ledger_table *table, const struct segment *segment)
{
  struct ledger_key_record *last = NULL;
  g_ptr_array_sort (segment->records, compare_pointers);
  for (guint i = 0; i < segment->records->len; i++)
    {
      struct ledger_key_record *rec = g_ptr_array_index (segment->records, i);
      if (rec != last && rec->seq == segment->seq)
        g_hash_table_remove (table->records, rec);
      last = rec;
    }
}

/* Removes the segments before FIRST, and the keys with no newer record.  */
void
ledger_table_expire (struct ledger_table *table, guint32 first)
{
  for (; table->first_segment < first; table->first_segment++)
    {
      struct segment *segment = segment_of (table, table->first_segment);
      if (!segment)
        continue;
      remove_keys (table, segment);
      g_hash_table_remove (table->segments, GUINT_TO_POINTER (segment->seq));
    }
}
