/* Directory of prompt parts: which server probably still holds which part in
   its cache. Fed by what was sent where, by this instance and by its peers.
   A part counts only together with all parts before it, so the key of a part
   is a hash over the chain up to it.  */
#ifndef PDR_H
#define PDR_H

#include "base/clock.h"
#include "base/str.h"

#define PDR_PARTS_MAX 8 /* parts of one prompt that are told apart */
#define PDR_LARGE_TOKENS                                                       \
  1000 /* shared tokens of a prompt that is told to other domains and for      \
          which a way to their holder is worth while */

struct pdr_part
{
  guint32 key;  /* of the chain up to this part */
  guint tokens; /* of this part alone */
};

/* A prompt: its parts in order. The last belongs to the request alone. */
struct pdr_prompt
{
  struct pdr_part parts[PDR_PARTS_MAX];
  guint n;
};

struct pdr;

struct pdr *pdr_new (void);
void pdr_free (struct pdr *pdr);
guint32 pdr_shared_key (const struct pdr_prompt *prompt);
guint32 pdr_chain (guint32 before, struct str part);
void pdr_note (struct pdr *pdr, guint server, guint64 memory,
               const struct pdr_prompt *prompt, gint64 now);
void pdr_sample (struct pdr *pdr, const struct pdr_prompt *prompt, gint64 now);
double pdr_known (const struct pdr *pdr);
guint pdr_held (const struct pdr *pdr, guint server,
                const struct pdr_prompt *prompt, gint64 now);
gboolean pdr_last (const struct pdr *pdr, const struct pdr_prompt *prompt,
                   gint64 now, guint *server);
void pdr_forget (struct pdr *pdr, guint server);
guint64 pdr_read_lately (const struct pdr *pdr, guint server, gint64 now);
guint pdr_shared_tokens (const struct pdr_prompt *prompt);
guint pdr_tokens (const struct pdr_prompt *prompt);

#endif
