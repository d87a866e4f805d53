/* A completion request of the OpenAI API, as the stand-in engine reads it, and
   the chunks of its answer.  */
#ifndef CMP_H
#define CMP_H

#include <glib.h>
#include <json-glib/json-glib.h>

struct cmp
{
  gboolean chat;
  gboolean stream;
  char *model;    /* owned, JSON-quoted */
  char *id;       /* owned */
  guint64 hash;   /* of the prompt; its answer follows from it */
  guint64 prefix; /* hash of the prompt's prefix */
  guint prompt_tokens;
  guint prefix_tokens;
  guint total;  /* tokens of the answer */
  gboolean cut; /* by max_tokens */
};

gboolean cmp_parse (struct cmp *cmp, JsonObject *object, gboolean chat,
                    guint64 number);
void cmp_clear (struct cmp *cmp);
void cmp_chunk (const struct cmp *cmp, guint n, GString *out);
void cmp_last_chunk (const struct cmp *cmp, GString *out);
void cmp_whole (const struct cmp *cmp, guint first, GString *out);

#endif
