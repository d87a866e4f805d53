/* The platform's object store: named objects with versions, conditional update
   and watch. The core describes requests and handles responses; the adapter in
   platform/ carries the requests out.  */
#ifndef STORAGE_H
#define STORAGE_H

#include <glib.h>

#include "base/err.h"
#include "base/str.h"

#define STORAGE_OBJECT_MAX (1024 * 1024) /* bytes of a value */
#define STORAGE_NAME_MAX 128             /* bytes, including the NUL */

/* X (NAME, "name") */
#define STORAGE_OPS(X)                                                         \
  X (GET, "get")                                                               \
  X (PUT, "put")     /* if the object is at the expected version */            \
  X (WATCH, "watch") /* responds once the version is above EXPECTED */         \
  X (LIST, "list")   /* all objects, of any name */

enum storage_op
{
#define STORAGE_OP_ENUM(id, name) STORAGE_##id,
  STORAGE_OPS (STORAGE_OP_ENUM)
#undef STORAGE_OP_ENUM
};

struct storage_request
{
  enum storage_op op;
  char name[STORAGE_NAME_MAX];
  guint64 expected; /* version; 0 in a PUT: the object must not exist */
  GBytes *body;     /* PUT: the new value, borrowed; else NULL */
  gint64 timeout_us;
};

/* An object in the response to a LIST. */
struct storage_object
{
  const char *name;
  guint64 version;
  GBytes *body;
};

struct storage_response
{
  int code;        /* 0: success;
                      ERR_NOT_FOUND, ERR_CONFLICT: definite;
                      ERR_LIMIT: rate limited, nothing changed;
                      ERR_UNAVAILABLE: not accepted, nothing changed;
                      ERR_INVALID, ERR_AUTH, ERR_TOO_LARGE: rejected,
                      nothing changed;
                      ERR_TIMEOUT, ERR_IO: a PUT may have taken effect;
                      ERR_TIMEOUT also ends a WATCH without a change */
  guint64 version; /* of the object, if known */
  GBytes *body;    /* GET, WATCH: the value, borrowed; ERR_CONFLICT: the
                      one that is stored, NULL if not given; else NULL */
  const struct storage_object *objects; /* LIST; borrowed */
  guint n_objects;
  gint64 retry_after_us; /* ERR_LIMIT, ERR_UNAVAILABLE: 0 if not given */
  guint64 era; /* of the store, which rises when it is restored from an
                  older copy; 0: not stated */
};

typedef void (*storage_callback) (void *ctx,
                                  const struct storage_response *response);

const char *storage_op_name (enum storage_op op);

#endif
