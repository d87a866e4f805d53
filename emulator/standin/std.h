/* What the stand-ins share: command line, listener, faults, history. */
#ifndef STD_H
#define STD_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>

#define STD_TOO_MANY_REQUESTS 429 /* libsoup has no name for it */

enum std_type
{
  STD_INT,    /* gint64 */
  STD_DOUBLE, /* double */
  STD_BOOL    /* gboolean */
};

/* A field of a struct of faults that POST /fault may set. */
struct std_field
{
  const char *name;
  enum std_type type;
  gsize offset; /* bytes into the struct */
};

/* A field of struct faults. */
#define STD_FIELD(field, kind)                                                 \
  {                                                                            \
    .name = #field, .type = (kind),                                            \
    .offset = G_STRUCT_OFFSET (struct faults, field)                           \
  }

struct std_event
{
  const char *kind;    /* such as "start" */
  const char *id;      /* of the request; NULL if none */
  const char *attempt; /* NULL if none */
  const char *name;    /* of an object, path or order; NULL if none */
  gint64 n;            /* tokens, executions or status */
  guint64 version;     /* of an object, or a fencing number; 0: none */
};

struct std;

/* Answers MSG, which is paused, by std_reply, std_error, std_drop or a stream
   of its own, now or later; then it holds a reference on MSG.  */
typedef void (*std_handler) (struct std *std, SoupServerMessage *msg,
                             const char *path, GHashTable *query);
/* Called after POST /fault has changed the faults. */
typedef void (*std_changed) (struct std *std);
typedef char *(*std_counts) (struct std *std); /* JSON, freed by the caller */
/* Called once the options are read; FALSE: one of them is wrong. */
typedef gboolean (*std_prepare) (struct std *std);

struct std_options
{
  const char *kind;      /* such as "engine" */
  GOptionEntry *entries; /* ends with NULL */
  std_prepare prepare;   /* may be NULL */
  std_handler handler;   /* all paths but /fault and /counts */
  std_counts counts;     /* GET /counts */
  std_changed changed;   /* may be NULL */
  void *faults;          /* the struct that FIELDS describe */
  struct std_field *fields;
  guint n_fields;
};

struct std
{
  struct std_options options;
  char *listen;       /* IP:PORT */
  char *name;         /* of the process in its history lines */
  char *history_path; /* NULL: standard error */
  FILE *history;
  SoupServer *server;
  GMainLoop *loop;
  GQueue held; /* of struct held, while frozen */
  gboolean frozen;
  gint64 slow_ms; /* before each request is handled */
};

int std_main (struct std *std, const struct std_options *options, int argc,
              char **argv);
void std_history (struct std *std, const struct std_event *event);
void std_reply (SoupServerMessage *msg, guint status, const char *json);
void std_error (SoupServerMessage *msg, guint status, const char *code);
void std_drop (SoupServerMessage *msg);
char *std_json_end (JsonBuilder *json);
JsonNode *std_body (SoupServerMessage *msg);
const char *std_header (SoupServerMessage *msg, const char *name);

#endif
