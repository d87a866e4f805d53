#include "gate/exc_read.h"

#include <string.h>

#define OUTPUT_DEFAULT 100  /* tokens, if the request does not tell */
#define TOKENS_MAX 10000000 /* of one part; more is malformed */

/* Finds the caller's key.  */
gboolean
exr_key (const struct http_head *head, const struct dia *dia, struct str *key)
{
  gsize n = strlen (dia->key_scheme);
  if (http_head_count (head, "authorization") != 1
      || !http_head_get (head, "authorization", key))
    return FALSE;
  if (key->n <= n + 1 || key->p[n] != ' '
      || g_ascii_strncasecmp (key->p, dia->key_scheme, n) != 0)
    return FALSE;
  key->p += n + 1;
  key->n -= n + 1;
  while (key->n > 0 && *key->p == ' ')
    key->p++, key->n--;
  return key->n > 0;
}

/* Takes the text up to the next comma off LIST.  */
static gboolean
next_item (struct str *list, struct str *item)
{
  if (list->n == 0)
    return FALSE;
  const char *comma = memchr (list->p, ',', list->n);
  gsize n = comma ? (gsize)(comma - list->p) : list->n;
  *item = (struct str){ list->p, n };
  n += comma != NULL;
  list->p += n;
  list->n -= n;
  while (item->n > 0 && *item->p == ' ')
    item->p++, item->n--;
  return TRUE;
}

static gboolean
read_part (struct str item, struct str *id, guint *tokens)
{
  const char *colon = memchr (item.p, ':', item.n);
  guint64 number;
  if (colon == NULL || colon == item.p)
    return FALSE;
  *id = (struct str){ item.p, (gsize)(colon - item.p) };
  struct str count = { colon + 1, item.n - id->n - 1 };
  if (!http_parse_number (count, &number) || number > TOKENS_MAX)
    return FALSE;
  *tokens = (guint)number;
  return TRUE;
}

/* Parts beyond the table's size are counted with the last one.  */
static void
read_parts (struct str list, struct pdr_prompt *prompt)
{
  struct str item;
  struct str id;
  guint tokens;
  guint32 key = 0;
  prompt->n = 0;
  while (next_item (&list, &item) && read_part (item, &id, &tokens))
    {
      key = pdr_chain (key, id);
      if (prompt->n == PDR_PARTS_MAX)
        prompt->parts[prompt->n - 1].tokens += tokens;
      else
        prompt->parts[prompt->n++] = (struct pdr_part){ key, tokens };
    }
}

static guint
read_tokens (const struct http_head *head, const char *name, guint index,
             guint fallback)
{
  struct str list;
  struct str item;
  guint64 number;
  if (!http_head_get (head, name, &list))
    return fallback;
  for (guint i = 0; next_item (&list, &item); i++)
    if (i == index && http_parse_number (item, &number) && number <= TOKENS_MAX)
      return (guint)number;
  return fallback;
}

/* Reads what placement needs to know. A request without prompt parts, or one
   of a route without affinity, is a plain one.  */
void
exr_prompt (const struct http_head *head, const struct dia *dia,
            const struct rtb_route *route, struct spl_request *request)
{
  struct str list;
  struct pdr_prompt *prompt = &request->prompt;
  prompt->n = 0;
  if (http_head_get (head, dia->prompt_parts, &list))
    read_parts (list, prompt);
  guint most = read_tokens (head, dia->token_counts, 1, OUTPUT_DEFAULT);
  request->prompt_tokens
      = read_tokens (head, dia->token_counts, 0, pdr_tokens (prompt));
  request->output_tokens
      = MIN (read_tokens (head, dia->length_hint, 0, most), most);
  request->gap_us = route->gap_us;
  guint shared = prompt->n > 1 ? prompt->n - 2 : 0;
  request->home = prompt->n > 0 ? prompt->parts[shared].key : 0;
}
