#include "base/str.h"

#include <string.h>

#define FNV_OFFSET G_GUINT64_CONSTANT (0xcbf29ce484222325)
#define FNV_PRIME G_GUINT64_CONSTANT (0x100000001b3)

/* Returns a str that borrows NUL-terminated TEXT; empty if TEXT is NULL.  */
struct str
str_of (const char *text)
{
  return (struct str){ text, text ? strlen (text) : 0 };
}

gboolean
str_eq (struct str a, struct str b)
{
  return a.n == b.n && (a.n == 0 || memcmp (a.p, b.p, a.n) == 0);
}

/* Returns a NUL-terminated copy of S, to be freed with g_free.  */
char *
str_dup (struct str s)
{
  return g_strndup (s.p ? s.p : "", s.n);
}

/* Returns a 64-bit hash of S: FNV-1a, finished by the mixer of MurmurHash3 so
   that similar names differ in all bits. Instances compare hashes, so the
   function must be the same in every release.  */
guint64
str_hash (struct str s, guint64 seed)
{
  guint64 h = FNV_OFFSET ^ seed;
  for (gsize i = 0; i < s.n; i++)
    h = (h ^ (guint8)s.p[i]) * FNV_PRIME;
  h ^= h >> 33;
  h *= G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  h ^= h >> 33;
  h *= G_GUINT64_CONSTANT (0xc4ceb9fe1a85ec53);
  return h ^ (h >> 33);
}

/* Copies S into ID. Returns FALSE and leaves ID empty if S is too long.  */
gboolean
str_id_set (struct str_id *id, struct str s)
{
  memset (id, 0, sizeof *id);
  if (s.n > STR_ID_MAX)
    return FALSE;
  if (s.n > 0)
    memcpy (id->s, s.p, s.n);
  return TRUE;
}

/* Returns whether S is a valid identifier: 1 to STR_ID_MAX characters of
   [A-Za-z0-9._-].  */
gboolean
str_id_ok (struct str s)
{
  if (s.n == 0 || s.n > STR_ID_MAX)
    return FALSE;
  for (gsize i = 0; i < s.n; i++)
    if (!g_ascii_isalnum (s.p[i]) && strchr ("._-", s.p[i]) == NULL)
      return FALSE;
  return TRUE;
}
