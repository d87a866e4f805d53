/* The text that the stand-in engine generates. It is a function of the prompt
   and the token number, so that a test can compute the complete response.  */
#ifndef FAKETEXT_H
#define FAKETEXT_H

#include "base/str.h"

#define FAKETEXT_TOKEN_MAX 16      /* bytes of a token, including the NUL */
#define FAKETEXT_PREFIX_BYTES 256  /* of a prompt, for its prefix cache key */
#define FAKETEXT_BYTES_PER_TOKEN 4 /* assumed for prompts */

guint64 faketext_hash (struct str prompt);
guint64 faketext_prefix_hash (struct str prompt);
guint faketext_prompt_tokens (struct str prompt);
guint faketext_length (struct str prompt, guint64 hash);
gsize faketext_token (guint64 hash, guint n, char *out);
void faketext_append (GString *text, guint64 hash, guint from, guint to);

#endif
