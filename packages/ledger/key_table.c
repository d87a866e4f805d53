#include "ledger/key_table.h"

#include <string.h>

/* A closed segment. Records may since have moved to newer ones, and may stand
   twice in the list. */
struct segment
{
  gboolean complete; /* nothing was added since it was read */
  guint32 seq;
  guint32 time;       /* when it was closed, seconds since 1970 UTC */
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

/* Returns a copy of an answer that the caller frees by g_free.  */
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

/* Returns the hash of a struct ledger_key_record's key, which is itself a
 * digest.  */
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

/* Returns the number of entry ID's INCARNATION in this table. Numbers are
   kept until the table is freed.  */
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

/* Returns the record of KEY, or NULL if nothing is recorded.  */
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

/* Copies the recorded content of FROM to REC, which keeps its place.  */
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

/* Returns the record of KEY, made if there is none yet.  */
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

/* Records REC in the head. Takes over REC->kept.  */
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

/* Takes the head's records back, since the head is about to be read again.
   Each of them stands in the new head or in a segment closed since.  */
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

/* Notes that records may have been added to segment SEQ, if it is known.  */
void
ledger_table_reopen_segment (struct ledger_table *table, guint32 seq)
{
  struct segment *segment = segment_of (table, seq);
  if (segment)
    segment->complete = FALSE;
}

/* Adds segment SEQ, closed at TIME (seconds since 1970 UTC), without new
   records.  */
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

/* Records REC, without its answer, as read from segment SEQ, unless a newer
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

/* Moves the head's records to segment SEQ, closed at TIME: the last one or
   the next.  */
void
ledger_table_rotate_head (struct ledger_table *table, guint32 seq, guint32 time)
{
  table->next = seq + 1;
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

/* Returns the number of the oldest segment that was closed at BEFORE (seconds
   since 1970 UTC) or later.  */
guint32
ledger_table_first_retained (const struct ledger_table *table, guint32 before)
{
  guint32 seq = table->first;
  while (seq < table->next && segment_of (table, seq)->time < before)
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

/* Forgets the keys last recorded in SEGMENT.  */
static void
forget_keys (struct ledger_table *table, const struct segment *segment)
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

/* Forgets the segments before FIRST and the keys last recorded there.  */
void
ledger_table_expire (struct ledger_table *table, guint32 first)
{
  for (; table->first < first; table->first++)
    {
      struct segment *segment = segment_of (table, table->first);
      if (!segment)
        continue;
      forget_keys (table, segment);
      g_hash_table_remove (table->segments, GUINT_TO_POINTER (segment->seq));
    }
}
