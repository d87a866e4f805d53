/* The latest texts, and what has changed since each of them.  */
#include "transfer/text_delta.h"

#define TEXTS_MAX 8                 /* before the present one */
#define BYTES_MAX (3 * 1024 * 1024) /* of these together */

struct known_text
{
  guint64 digest;
  GBytes *text;
  GBytes *delta; /* from it to the present one; NULL: not made yet */
};

struct text_history
{
  struct known_text present; /* text NULL: none */
  GQueue earlier;            /* of struct known_text, the newest first */
  gsize n_bytes;             /* of the earlier ones */
};

static struct str
text_of (GBytes *bytes)
{
  gsize n;
  const char *p = g_bytes_get_data (bytes, &n);
  return (struct str){ p, n };
}

static void
known_text_free (gpointer data)
{
  struct known_text *known = data;
  g_bytes_unref (known->text);
  g_clear_pointer (&known->delta, g_bytes_unref);
  g_free (known);
}

struct text_history *
text_history_new (void)
{
  struct text_history *history = g_new0 (struct text_history, 1);
  g_queue_init (&history->earlier);
  return history;
}

void
text_history_free (struct text_history *history)
{
  if (history == NULL)
    return;
  g_queue_clear_full (&history->earlier, known_text_free);
  g_clear_pointer (&history->present.text, g_bytes_unref);
  g_free (history);
}

/* Makes TEXT the present one.  */
void
text_history_add (struct text_history *history, GBytes *text)
{
  for (GList *link = history->earlier.head; link != NULL; link = link->next)
    g_clear_pointer (&((struct known_text *)link->data)->delta, g_bytes_unref);
  if (history->present.text != NULL)
    {
      history->n_bytes += g_bytes_get_size (history->present.text);
      g_queue_push_head (
          &history->earlier,
          g_memdup2 (&history->present, sizeof history->present));
    }
  while (history->earlier.length > TEXTS_MAX || history->n_bytes > BYTES_MAX)
    {
      struct known_text *last = g_queue_pop_tail (&history->earlier);
      history->n_bytes -= g_bytes_get_size (last->text);
      known_text_free (last);
    }
  history->present
      = (struct known_text){ .digest = str_hash (text_of (text), 0),
                             .text = g_bytes_ref (text) };
}

/* Returns the digest of the present text; 0 if there is none.  */
guint64
text_history_digest (const struct text_history *history)
{
  return history->present.digest;
}

/* Returns the bytes of the earlier texts.  */
gsize
text_history_kept (const struct text_history *history)
{
  return history->n_bytes;
}

static struct known_text *
find (struct text_history *history, guint64 digest)
{
  for (GList *link = history->earlier.head; link != NULL; link = link->next)
    if (((struct known_text *)link->data)->digest == digest)
      return link->data;
  return NULL;
}

/* Keeps DELTA, which has changed the text with BASE_DIGEST to the present one,
   for others that need it.  */
void
text_history_note_delta (struct text_history *history, guint64 base_digest,
                         GBytes *delta)
{
  struct known_text *known = find (history, base_digest);
  if (known != NULL && known->delta == NULL)
    known->delta = g_bytes_ref (delta);
}

/* Returns what has changed from the text with BASE_DIGEST to the present one,
   borrowed until the next text; NULL if that text is not known any more, or if
   it would not be shorter than the present one.  */
GBytes *
text_history_delta (struct text_history *history, guint64 base_digest)
{
  struct known_text *known = find (history, base_digest);
  if (known == NULL)
    return NULL;
  if (known->delta == NULL)
    known->delta = text_delta_encode (text_of (known->text),
                                      text_of (history->present.text));
  return known->delta != NULL
                 && g_bytes_get_size (known->delta)
                        < g_bytes_get_size (history->present.text)
             ? known->delta
             : NULL;
}
