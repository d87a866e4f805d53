/* Completion requests of the OpenAI API, as far as the stand-in engine reads
   them, and their responses.  */
#ifndef COMPLETION_H
#define COMPLETION_H

#include <glib.h>
#include <json-glib/json-glib.h>

struct completion
{
  gboolean chat;
  gboolean stream;
  char *model;         /* owned, JSON-quoted */
  char *id;            /* owned */
  guint64 prompt_hash; /* determines the text of the response */
  guint64 prefix_hash; /* of the prompt; key in the prefix cache */
  guint prompt_tokens;
  guint prefix_tokens;
  guint response_tokens; /* length of the complete response */
  gboolean truncated;    /* by max_tokens */
};

gboolean completion_parse (struct completion *completion, JsonObject *object,
                           gboolean chat, guint64 number);
void completion_clear (struct completion *completion);
void completion_chunk (const struct completion *completion, guint n,
                       GString *out);
void completion_last_chunk (const struct completion *completion, GString *out);
void completion_object (const struct completion *completion, guint first_token,
                        GString *out);

#endif
