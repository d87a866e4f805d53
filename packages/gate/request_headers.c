#include "gate/request_headers.h"

#include <string.h>

#define OUTPUT_TOKENS_DEFAULT                                                  \
  100 /* expected, if the request has no such header */
#define TOKENS_MAX                                                             \
  10000000 /* of one prefix block; a higher number is malformed */

/* Finds the team key in the Authorization header. Returns FALSE if there is
   none or the header occurs more than once. KEY is borrowed from HEAD.  */
gboolean
request_headers_key (const struct http_head *head,
                     const struct header_names *header_names, struct str *key)
{
  gsize n = strlen (header_names->key_scheme);
  if (http_head_count (head, "authorization") != 1
      || !http_head_get (head, "authorization", key))
    return FALSE;
  if (key->n <= n + 1 || key->p[n] != ' '
      || g_ascii_strncasecmp (key->p, header_names->key_scheme, n) != 0)
    return FALSE;
  key->p += n + 1;
  key->n -= n + 1;
  while (key->n > 0 && *key->p == ' ')
    key->p++, key->n--;
  return key->n > 0;
}

/* Removes the first item of the comma-separated LIST and stores it in ITEM.
   Returns FALSE at the end.  */
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

/* Parses "id:tokens".  */
static gboolean
parse_prefix_block (struct str item, struct str *id, guint *tokens)
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

/* Parses prefix blocks up to the first malformed one. Blocks beyond
   PREFIX_BLOCKS_MAX are added to the last one. PARTS gets all but the last,
   which belongs to the request alone.  */
static void
parse_prefix_blocks (struct str list, struct prefix_prompt *prompt,
                     struct prompt_parts *parts)
{
  struct str item;
  struct str id;
  guint tokens;
  guint32 key = 0;
  guint64 last_part = 0;
  while (next_item (&list, &item) && parse_prefix_block (item, &id, &tokens))
    {
      if (last_part != 0 && parts->n < PROMPT_SHARED_MAX)
        parts->keys[parts->n++] = last_part;
      last_part = prompt_part_key (id);
      key = prefix_chain_key (key, id);
      if (prompt->n == PREFIX_BLOCKS_MAX)
        prompt->blocks[prompt->n - 1].tokens += tokens;
      else
        prompt->blocks[prompt->n++] = (struct prefix_block){ key, tokens };
    }
}

/* Returns the number at INDEX in the list of the header NAME; FALLBACK if it is
   missing or malformed.  */
static guint
parse_token_count (const struct http_head *head, const char *name, guint index,
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

/* Fills in what placement needs to know of the request. A request without the
   header of prefix blocks gets a prompt without blocks. The preferred server
   follows from the last shared prefix block, so that prompts with the same
   shared prefix prefer the same server.  */
void
request_headers_prompt (const struct http_head *head,
                        const struct header_names *header_names,
                        const struct routing_route *route,
                        struct placement_request *request)
{
  struct str list;
  struct prefix_prompt *prompt = &request->prompt;
  prompt->n = 0;
  request->parts.n = 0;
  if (http_head_get (head, header_names->prefix_blocks, &list))
    parse_prefix_blocks (list, prompt, &request->parts);
  guint max_output_tokens = parse_token_count (head, header_names->token_counts,
                                               1, OUTPUT_TOKENS_DEFAULT);
  request->prompt_tokens = parse_token_count (head, header_names->token_counts,
                                              0, prefix_prompt_tokens (prompt));
  request->output_tokens = MIN (
      parse_token_count (head, header_names->length_hint, 0, max_output_tokens),
      max_output_tokens);
  request->gap_us = route->event_gap_us;
  guint last_shared = prompt->n > 1 ? prompt->n - 2 : 0;
  request->affinity_hash = prompt->n > 0 ? prompt->blocks[last_shared].key : 0;
}

/* Stores the fingerprints of the request with BODY in KEYS, FINGERPRINTS_MAX at
   most. Returns how many there are.  */
guint
request_headers_fingerprint (const struct http_head *head,
                             const struct header_names *header_names,
                             struct str body, guint64 *keys)
{
  struct fingerprint_input input = { .method = str_of (head->method),
                                     .target = http_head_target (head),
                                     .body = body };
  if (!request_headers_key (head, header_names, &input.caller))
    http_head_get (head, "authorization", &input.caller);
  http_head_get (head, header_names->prefix_blocks, &input.prompt);
  return fingerprint_request (&input, keys);
}
