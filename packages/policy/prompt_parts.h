/* What a request shares with others: the parts of its prompt, each by itself
   (unlike the blocks of a prefix, a part has the same key wherever it stands),
   and its fingerprints, which only the same request shares.  */
#ifndef PROMPT_PARTS_H
#define PROMPT_PARTS_H

#include "base/str.h"
#include "policy/request_fingerprint.h"

#define PROMPT_SHARED_MAX 32 /* parts beyond it are not told apart */
#define PROMPT_PARTS_MAX (PROMPT_SHARED_MAX + FINGERPRINTS_MAX)

struct prompt_parts
{
  /* In the order of the prompt, then the fingerprints, the broadest first. */
  guint64 keys[PROMPT_PARTS_MAX];
  guint n;
};

guint64 prompt_part_key (struct str id);
guint64 prompt_part_request_key (guint64 hash);
gboolean prompt_part_is_request (guint64 key);
gboolean prompt_parts_contain (const struct prompt_parts *parts, guint64 key);
void prompt_parts_print (const struct prompt_parts *parts, char *text,
                         gsize size);

#endif
