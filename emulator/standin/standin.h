/* What all stand-ins share: command line, HTTP listener, injected faults and
   the history, a log of events that tests read.  */
#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>

#define STANDIN_TOO_MANY_REQUESTS 429 /* libsoup has no name for it */

enum standin_type
{
  STANDIN_INT,    /* gint64 */
  STANDIN_DOUBLE, /* double */
  STANDIN_BOOL    /* gboolean */
};

/* A field of struct faults that POST /fault may set.  */
struct standin_field
{
  const char *name;
  enum standin_type type;
  gsize offset; /* in bytes */
};

/* Describes a field of struct faults; its name is the one in the JSON body.  */
#define STANDIN_FIELD(field, kind)                                             \
  {                                                                            \
    .name = #field, .type = (kind),                                            \
    .offset = G_STRUCT_OFFSET (struct faults, field)                           \
  }

struct standin_event
{
  const char *kind;    /* such as "start" */
  const char *id;      /* of the request or order; NULL if none */
  const char *attempt; /* NULL if none */
  const char *name;    /* of the object, model or role; NULL if none */
  gint64 n;            /* number of tokens or executions */
  guint64 version;     /* of the object, or fencing number; 0: none */
};

struct standin;

/* Responds to MSG, which is paused, by standin_respond, standin_error,
   standin_drop or its own stream. If it responds later, it takes a reference on
   MSG.  */
typedef void (*standin_handler) (struct standin *standin,
                                 SoupServerMessage *msg, const char *path,
                                 GHashTable *query);
/* Called after POST /fault has changed the faults. */
typedef void (*standin_changed) (struct standin *standin);
/* Returns the counts as JSON, freed by the caller. */
typedef char *(*standin_counts) (struct standin *standin);
/* Called once the options are parsed. Returns FALSE if one is out of range.  */
typedef gboolean (*standin_prepare) (struct standin *standin);

struct standin_options
{
  const char *kind;        /* such as "engine" */
  GOptionEntry *entries;   /* ends with NULL */
  standin_prepare prepare; /* may be NULL */
  standin_handler handler; /* for all paths but /fault and /counts */
  standin_counts counts;   /* for GET /counts */
  standin_changed changed; /* may be NULL */
  void *faults;            /* the struct that FIELDS describe */
  struct standin_field *fields;
  guint n_fields;
};

struct standin
{
  struct standin_options options;
  char *listen;       /* IP:PORT */
  char *name;         /* of the process, in its history lines */
  char *history_path; /* NULL: standard error */
  FILE *history;
  SoupServer *server;
  GMainLoop *loop;
  GQueue deferred; /* of struct deferred, owned, while frozen */
  gboolean frozen;
  gint64 slow_ms; /* delay before each request is handled */
};

int standin_main (struct standin *standin,
                  const struct standin_options *options, int argc, char **argv);
void standin_history (struct standin *standin,
                      const struct standin_event *event);
void standin_respond (SoupServerMessage *msg, guint status, const char *json);
void standin_error (SoupServerMessage *msg, guint status, const char *code);
void standin_drop (SoupServerMessage *msg);
char *standin_json_end (JsonBuilder *json);
JsonNode *standin_body (SoupServerMessage *msg);
const char *standin_header (SoupServerMessage *msg, const char *name);

#endif
