#include "policy/request_fingerprint.h"

#include "policy/prompt_parts.h"

#include <string.h>

/* Appends FIELD, with its length, so that no two lists of fields look alike. */
static void
add_field (GHmac *hmac, struct str field)
{
  guint64 n = GUINT64_TO_LE ((guint64)field.n);
  g_hmac_update (hmac, (const guchar *)&n, sizeof n);
  /* A length of 0 is valid, a null pointer is not. */
  if (field.n > 0)
    g_hmac_update (hmac, (const guchar *)field.p, (gssize)field.n);
}

/* Returns the key that stands for what HMAC was given, which is freed.  */
static guint64
finish (GHmac *hmac)
{
  guint8 digest[32];
  gsize n = sizeof digest;
  guint64 number;
  g_hmac_get_digest (hmac, digest, &n);
  g_hmac_unref (hmac);
  memcpy (&number, digest, sizeof number);
  return prompt_part_request_key (GUINT64_FROM_LE (number));
}

/* Stores the fingerprints of the request in KEYS, FINGERPRINTS_MAX at most, the
   broadest first, and returns how many there are. The first one covers method,
   path, caller and body. A request with a query or a prompt in parts has a
   second one that covers these too. The caller's key is the key of the hash, so
   that nobody else can find a request with the same fingerprint.  */
guint
fingerprint_request (const struct fingerprint_input *input, guint64 *keys)
{
  const char *query = input->target.n > 0
                          ? memchr (input->target.p, '?', input->target.n)
                          : NULL;
  gsize path_n
      = query != NULL ? (gsize)(query - input->target.p) : input->target.n;
  struct str path = { input->target.p, path_n };
  struct str rest = { input->target.p + path_n, input->target.n - path_n };
  guint n = 0;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)input->caller.p,
                            input->caller.n);
  add_field (hmac, input->method);
  add_field (hmac, path);
  add_field (hmac, input->body);
  if (rest.n > 0 || input->prompt.n > 0)
    {
      keys[n++] = finish (g_hmac_copy (hmac));
      add_field (hmac, rest);
      add_field (hmac, input->prompt);
    }
  keys[n++] = finish (hmac);
  return n;
}
