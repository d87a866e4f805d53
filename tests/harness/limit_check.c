#include "harness/limit_check.h"

struct arrival
{
  gint64 at;
  gint64 allowed_from; /* clock time at which the limit was first named; 0: it
                          names none */
  double per_s;
  gboolean told; /* its sender had been told */
};

struct limit_check
{
  double per_s; /* 0: none is named */
  gint64 named_at;
  GArray *arrivals; /* of struct arrival */
  GHashTable *told; /* sender: time of the first response, gint64, owned */
};

struct limit_check *
limit_check_new (void)
{
  struct limit_check *check = g_new0 (struct limit_check, 1);
  check->arrivals = g_array_new (FALSE, FALSE, sizeof (struct arrival));
  check->told = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return check;
}

void
limit_check_free (struct limit_check *check)
{
  g_array_unref (check->arrivals);
  g_hash_table_unref (check->told);
  g_free (check);
}

void
limit_check_name (struct limit_check *check, double per_s, gint64 now)
{
  if (check->per_s == 0 || per_s == 0)
    {
      check->named_at = per_s > 0 ? now : 0;
      g_hash_table_remove_all (check->told);
    }
  check->per_s = per_s;
}

double
limit_check_named (const struct limit_check *check)
{
  return check->per_s;
}

void
limit_check_arrived (struct limit_check *check, gconstpointer sender,
                     gint64 now)
{
  const gint64 *told = g_hash_table_lookup (check->told, sender);
  const struct arrival arrival
      = { .at = now,
          .allowed_from = check->named_at,
          .per_s = check->per_s,
          .told = told != NULL && now >= *told + LIMIT_CHECK_HEARD_US };
  g_array_append_val (check->arrivals, arrival);
  if (check->per_s > 0 && told == NULL)
    {
      gint64 *at = g_new (gint64, 1);
      *at = now;
      g_hash_table_insert (check->told, (gpointer)sender, at);
    }
}

guint
limit_check_excess (const struct limit_check *check, guint *most)
{
  guint excess = 0;
  guint max = 0;
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const struct arrival *last
          = &g_array_index (check->arrivals, struct arrival, i);
      double per_s = last->per_s;
      guint n = 0;
      if (last->allowed_from == 0
          || last->at < last->allowed_from + LIMIT_CHECK_SETTLE_US)
        continue;
      for (guint j = i + 1; j-- > 0;)
        {
          const struct arrival *arrival
              = &g_array_index (check->arrivals, struct arrival, j);
          if (arrival->at <= last->at - LIMIT_CHECK_WINDOW_US)
            break;
          n += arrival->told && arrival->allowed_from != 0;
          per_s = MAX (per_s, arrival->per_s);
        }
      double allowed
          = LIMIT_CHECK_FACTOR * per_s * LIMIT_CHECK_WINDOW_US / G_USEC_PER_SEC
            + LIMIT_CHECK_SLACK;
      max = MAX (max, n);
      if (n > allowed)
        excess = MAX (excess, n - (guint)allowed);
    }
  if (most != NULL)
    *most = max;
  return excess;
}

guint
limit_check_count (const struct limit_check *check, gint64 from, gint64 to)
{
  guint n = 0;
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      gint64 at = g_array_index (check->arrivals, struct arrival, i).at;
      n += at >= from && at < to;
    }
  return n;
}
