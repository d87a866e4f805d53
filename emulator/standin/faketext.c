#include "standin/faketext.h"

#include <string.h>

#define LENGTH_MIN 16 /* tokens of a response without a marker */
#define LENGTH_SPREAD 112
#define LENGTH_MARKER "[len="
#define LENGTH_DIGITS_MAX 6

static const char syllables[16][3] = {
  "ba", "de", "fi", "go", "hu", "ja", "ke", "li",
  "mo", "nu", "pa", "re", "si", "to", "vu", "za",
};

/* Returns the hash of PROMPT that determines the text of its response.  */
guint64
faketext_hash (struct str prompt)
{
  return str_hash (prompt, 0);
}

/* Returns the key of PROMPT in a prefix cache.  */
guint64
faketext_prefix_hash (struct str prompt)
{
  prompt.n = MIN (prompt.n, FAKETEXT_PREFIX_BYTES);
  return str_hash (prompt, 0);
}

/* Returns the length of PROMPT in tokens, at least 1.  */
guint
faketext_prompt_tokens (struct str prompt)
{
  return (guint)(prompt.n / FAKETEXT_BYTES_PER_TOKEN) + 1;
}

/* Returns the length in tokens of the complete response to PROMPT, whose hash
   is HASH: N if the prompt has a marker "[len=N]", else a number derived from
   HASH.  */
guint
faketext_length (struct str prompt, guint64 hash)
{
  const char *at = prompt.n == 0 ? NULL
                                 : g_strstr_len (prompt.p, (gssize)prompt.n,
                                                 LENGTH_MARKER);
  if (at == NULL)
    return LENGTH_MIN + (guint)(hash % LENGTH_SPREAD);
  const char *end = prompt.p + prompt.n;
  guint n = 0;
  at += strlen (LENGTH_MARKER);
  for (int i = 0; at < end && g_ascii_isdigit (*at) && i < LENGTH_DIGITS_MAX;
       i++)
    n = n * 10 + (guint)g_ascii_digit_value (*at++);
  return MAX (n, 1);
}

/* Writes token number N, counted from 0, of the response with HASH to OUT,
   which has FAKETEXT_TOKEN_MAX bytes. Returns its length in bytes without the
   NUL.  */
gsize
faketext_token (guint64 hash, guint n, char *out)
{
  guint64 h = str_hash ((struct str){ (const char *)&n, sizeof n }, hash);
  guint count = 1 + (guint)(h & 3);
  char *p = out;
  *p++ = ' ';
  for (guint i = 0; i < count; i++)
    {
      h >>= 4;
      memcpy (p, syllables[h & 15], 2);
      p += 2;
    }
  *p = '\0';
  return (gsize)(p - out);
}

/* Appends tokens FROM to TO - 1 of the response with HASH to TEXT.  */
void
faketext_append (GString *text, guint64 hash, guint from, guint to)
{
  char token[FAKETEXT_TOKEN_MAX];
  for (guint n = from; n < to; n++)
    {
      gsize size = faketext_token (hash, n, token);
      g_string_append_len (text, token, (gssize)size);
    }
}
