/* The text that the stand-in engine generates: a function of the prompt and
   the token number, so that a test can compute the whole answer.  */
#ifndef TXT_H
#define TXT_H

#include "base/str.h"

#define TXT_TOKEN_MAX 16      /* bytes of a token with the NUL */
#define TXT_PREFIX_BYTES 256  /* of the prompt that the prefix cache keys on */
#define TXT_BYTES_PER_TOKEN 4 /* for the size of a prompt in tokens */

guint64 txt_hash (struct str prompt);
guint64 txt_prefix_hash (struct str prompt);
guint txt_prompt_tokens (struct str prompt);
guint txt_length (struct str prompt, guint64 hash);
gsize txt_token (guint64 hash, guint n, char *out);
void txt_append (GString *text, guint64 hash, guint from, guint to);

#endif
