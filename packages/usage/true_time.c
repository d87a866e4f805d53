#include "usage/true_time.h"

/* Offsets of peers are forgotten that have not been heard for this time. */
#define KEPT_US (120 * CLK_S)
#define PEERS_MAX 1024
/* From as many offsets of instances on, medians that others have found do not
   count: they are of the same offsets. */
#define OFFSETS_MIN 3
#define REVIEW_US (500 * CLK_MS)
/* Peers answer within the longest interval between messages, 3.9 s with 390
   instances. Without any answer for longer, there is nobody to disagree with.
 */
#define SETTLED_PEERS 2
#define SETTLED_US (5 * CLK_S)

struct offset
{
  gint64 offset;      /* true time minus the clock here */
  gint64 heard_at;    /* clock time */
  gboolean is_median; /* of many instances, as the peer has found it */
};

struct true_time
{
  gint64 started_at;  /* clock time */
  gint64 own;         /* offset of the own wall clock at the start */
  gint64 median;      /* offset in use */
  gint64 reviewed_at; /* clock time */
  GHashTable *peers;  /* IP: struct offset, owned */
};

struct true_time *
true_time_new (gint64 wall, gint64 now)
{
  struct true_time *true_time = g_new0 (struct true_time, 1);
  true_time->started_at = true_time->reviewed_at = now;
  true_time->own = true_time->median = wall - now;
  true_time->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return true_time;
}

void
true_time_free (struct true_time *true_time)
{
  if (true_time == NULL)
    return;
  g_hash_table_unref (true_time->peers);
  g_free (true_time);
}

/* The instance at IP has stated that it is STATED now: by its own wall clock,
   or the median that it has found.  */
void
true_time_heard (struct true_time *true_time, guint32 ip, gboolean is_median,
                 gint64 stated, gint64 now)
{
  gpointer key = GUINT_TO_POINTER (ip);
  struct offset *offset = g_hash_table_lookup (true_time->peers, key);
  if (offset == NULL && g_hash_table_size (true_time->peers) >= PEERS_MAX)
    return;
  if (offset == NULL)
    {
      offset = g_new0 (struct offset, 1);
      g_hash_table_insert (true_time->peers, key, offset);
      true_time->reviewed_at = 0;
    }
  else if (is_median && !offset->is_median
           && now - offset->heard_at < REVIEW_US * 20)
    return; /* its own offset is known already */
  *offset = (struct offset){ stated - now, now, is_median };
}

/* What a peer's wall clock said at its start, on the clock here: the time that
   this instance states to others.  */
gint64
true_time_own (const struct true_time *true_time, gint64 now)
{
  return now + true_time->own;
}

static int
compare_offsets (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;
  return (x > y) - (x < y);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return *(const gint64 *)data - ((struct offset *)value)->heard_at > KEPT_US;
}

static void
append_offsets (struct true_time *true_time, gboolean is_median, GArray *out)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, true_time->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct offset *offset = value;
      if (offset->is_median == is_median)
        g_array_append_val (out, offset->offset);
    }
}

static void
review (struct true_time *true_time, gint64 now)
{
  GArray *offsets = g_array_new (FALSE, FALSE, sizeof (gint64));
  g_hash_table_foreach_remove (true_time->peers, is_old, &now);
  g_array_append_val (offsets, true_time->own);
  append_offsets (true_time, FALSE, offsets);
  if (offsets->len < OFFSETS_MIN)
    append_offsets (true_time, TRUE, offsets);
  g_array_sort (offsets, compare_offsets);
  gint64 low = g_array_index (offsets, gint64, (offsets->len - 1) / 2);
  gint64 high = g_array_index (offsets, gint64, offsets->len / 2);
  true_time->median = low + (high - low) / 2;
  true_time->reviewed_at = now;
  g_array_unref (offsets);
}

/* Returns the estimate of true time, in microseconds since 1970.  */
gint64
true_time_at (struct true_time *true_time, gint64 now)
{
  if (now - true_time->reviewed_at >= REVIEW_US || true_time->reviewed_at == 0)
    review (true_time, now);
  return now + true_time->median;
}

/* Returns whether the estimate is more than the own wall clock, or will not
   become so.  */
gboolean
true_time_is_settled (const struct true_time *true_time, gint64 now)
{
  return g_hash_table_size (true_time->peers) >= SETTLED_PEERS
         || now - true_time->started_at >= SETTLED_US;
}
