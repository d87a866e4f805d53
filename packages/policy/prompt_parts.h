/* The shared parts of a prompt, each by itself: unlike the blocks of a prefix,
   a part has the same key wherever it stands.  */
#ifndef PROMPT_PARTS_H
#define PROMPT_PARTS_H

#include "base/str.h"

#define PROMPT_PARTS_MAX 32 /* parts beyond it are not told apart */

struct prompt_parts
{
  guint64 keys[PROMPT_PARTS_MAX]; /* in the order of the prompt */
  guint n;
};

guint64 prompt_part_key (struct str id);
gboolean prompt_parts_contain (const struct prompt_parts *parts, guint64 key);
void prompt_parts_print (const struct prompt_parts *parts, char *text,
                         gsize size);

#endif
