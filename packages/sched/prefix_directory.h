/* Directory of prompt parts: which server probably still holds which part in
   its cache. Fed by what was sent where, by this instance and by its peers.
   A part counts only together with all parts before it, so the key of a part
   is a hash over the chain up to it.  */
#ifndef PREFIX_DIRECTORY_H
#define PREFIX_DIRECTORY_H

#include "base/clk.h"
#include "base/str.h"

#define PREFIX_BLOCKS_MAX 8 /* parts of one prompt that are told apart */
#define PREFIX_LARGE_TOKENS                                                    \
  1000 /* shared tokens of a prompt that is told to other domains and for      \
          which a way to their holder is worth while */

struct prefix_block
{
  guint32 key;  /* of the chain up to this part */
  guint tokens; /* of this part alone */
};

/* A prompt: its parts in order. The last belongs to the request alone. */
struct prefix_prompt
{
  struct prefix_block blocks[PREFIX_BLOCKS_MAX];
  guint n;
};

struct prefix_directory;

struct prefix_directory *prefix_directory_new (void);
void prefix_directory_free (struct prefix_directory *directory);
guint32 prefix_shared_key (const struct prefix_prompt *prompt);
guint32 prefix_chain_key (guint32 before, struct str block);
void prefix_directory_record (struct prefix_directory *directory, guint server,
                              guint64 memory,
                              const struct prefix_prompt *prompt, gint64 now);
void prefix_directory_sample_reuse (struct prefix_directory *directory,
                                    const struct prefix_prompt *prompt,
                                    gint64 now);
double prefix_directory_reuse_share (const struct prefix_directory *directory);
guint prefix_directory_cached_tokens (const struct prefix_directory *directory,
                                      guint server,
                                      const struct prefix_prompt *prompt,
                                      gint64 now);
gboolean prefix_directory_last_server (const struct prefix_directory *directory,
                                       const struct prefix_prompt *prompt,
                                       gint64 now, guint *server);
void prefix_directory_forget (struct prefix_directory *directory, guint server);
guint64
prefix_directory_recent_prefill (const struct prefix_directory *directory,
                                 guint server, gint64 now);
guint prefix_shared_tokens (const struct prefix_prompt *prompt);
guint prefix_prompt_tokens (const struct prefix_prompt *prompt);

#endif
