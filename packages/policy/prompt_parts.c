#include "policy/prompt_parts.h"

#define KEY_SEED 0x70617274
#define REQUEST_BIT ((guint64)1) /* set in fingerprints only */

/* Returns the key of the part named ID, never 0.  */
guint64
prompt_part_key (struct str id)
{
  guint64 key = str_hash (id, KEY_SEED) & ~REQUEST_BIT;
  return key != 0 ? key : REQUEST_BIT << 1;
}

/* Returns the key of a request with HASH as a fingerprint.  */
guint64
prompt_part_request_key (guint64 hash)
{
  return hash | REQUEST_BIT;
}

/* Returns whether KEY is a fingerprint.  */
gboolean
prompt_part_is_request (guint64 key)
{
  return (key & REQUEST_BIT) != 0;
}

gboolean
prompt_parts_contain (const struct prompt_parts *parts, guint64 key)
{
  for (guint i = 0; i < parts->n; i++)
    if (parts->keys[i] == key)
      return TRUE;
  return FALSE;
}

/* Writes the keys to TEXT in hexadecimal, separated by commas, as many as fit
   into SIZE bytes.  */
void
prompt_parts_print (const struct prompt_parts *parts, char *text, gsize size)
{
  gsize n = 0;
  text[0] = '\0';
  for (guint i = 0; i < parts->n; i++)
    {
      char key[20];
      int length = g_snprintf (key, sizeof key, "%s%016" G_GINT64_MODIFIER "x",
                               i > 0 ? "," : "", parts->keys[i]);
      if (n + (gsize)length >= size)
        return;
      g_strlcpy (text + n, key, size - n);
      n += (gsize)length;
    }
}
