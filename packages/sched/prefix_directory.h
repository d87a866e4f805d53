/* Directory of prompt prefixes: estimates which server has which prefix block
   in its cache, from the prompts that this instance and its peers sent. A
   block can only be used together with all blocks before it, so its key is a
   hash over the chain up to it.  */
#ifndef PREFIX_DIRECTORY_H
#define PREFIX_DIRECTORY_H

#include "base/clock.h"
#include "base/str.h"

#define PREFIX_BLOCKS_MAX 8 /* blocks of one prompt that are distinguished */
/* Number of shared tokens from which a prompt is reported to other domains and
   is worth routing to a server that has them cached. */
#define PREFIX_LARGE_TOKENS 1000

struct prefix_block
{
  guint32 key;  /* of the chain up to and including this block */
  guint tokens; /* of this block alone */
};

/* A prompt: its blocks in order. The last one belongs to this request alone. */
struct prefix_prompt
{
  struct prefix_block blocks[PREFIX_BLOCKS_MAX];
  guint n;
};

struct prefix_directory;

struct prefix_directory *directory_new (void);
void directory_free (struct prefix_directory *directory);
guint32 prefix_shared_key (const struct prefix_prompt *prompt);
guint32 prefix_chain_key (guint32 before, struct str block);
void directory_record (struct prefix_directory *directory, guint server,
                       guint64 memory, const struct prefix_prompt *prompt,
                       gint64 now);
void directory_sample_reuse (struct prefix_directory *directory,
                             const struct prefix_prompt *prompt, gint64 now);
double directory_reuse_share (const struct prefix_directory *directory);
guint directory_cached_tokens (const struct prefix_directory *directory,
                               guint server, const struct prefix_prompt *prompt,
                               gint64 now);
gboolean directory_last_server (const struct prefix_directory *directory,
                                const struct prefix_prompt *prompt, gint64 now,
                                guint *server);
void directory_forget (struct prefix_directory *directory, guint server);
guint64 directory_recent_prefill (const struct prefix_directory *directory,
                                  guint server, gint64 now);
guint prefix_shared_tokens (const struct prefix_prompt *prompt);
guint prefix_prompt_tokens (const struct prefix_prompt *prompt);

#endif
