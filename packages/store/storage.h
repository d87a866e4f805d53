/* The platform's object API: named objects with versions, conditional update
   and watch. The core speaks in calls and answers; the adapter carries
   them out.  */
#ifndef STORAGE_H
#define STORAGE_H

#include <glib.h>

#include "base/err.h"
#include "base/str.h"

#define STORAGE_OBJECT_MAX (1024 * 1024) /* bytes of a value */
#define STORAGE_NAME_MAX 128             /* bytes with the NUL */

/* X (NAME, "name") */
#define STORAGE_OPS(X)                                                         \
  X (GET, "get")                                                               \
  X (PUT, "put")     /* if the object still has the expected version */        \
  X (WATCH, "watch") /* answers once the version is above the expected one */

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
  guint64 expected; /* version; for STORAGE_PUT 0: the object must not exist */
  GBytes *body;     /* STORAGE_PUT: the new value, borrowed; else NULL */
  gint64 timeout_us;
};

struct storage_response
{
  int code;              /* 0; ERR_NOT_FOUND, ERR_CONFLICT: a sure answer;
                            ERR_LIMIT: rate limited, nothing changed;
                            ERR_UNAVAILABLE: refused, nothing changed;
                            ERR_INVALID, ERR_AUTH, ERR_TOO_LARGE: turned
                            down, nothing changed;
                            ERR_TIMEOUT, ERR_IO: a PUT may have taken effect;
                            STORAGE_WATCH without news: ERR_TIMEOUT */
  guint64 version;       /* of the object, if known */
  GBytes *body;          /* GET, WATCH: the value, borrowed; else NULL */
  gint64 retry_after_us; /* ERR_LIMIT, ERR_UNAVAILABLE: 0 if not told */
};

typedef void (*storage_callback) (void *ctx,
                                  const struct storage_response *answer);

const char *storage_op_name (enum storage_op op);

#endif
