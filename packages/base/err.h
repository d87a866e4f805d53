/* Error reporting. A function that can fail returns 0 or a negative ERR_ code
   and then fills the struct err that its caller passes.  */
#ifndef ERR_H
#define ERR_H

#include <glib.h>

/* X (name, number, text) */
#define ERR_LIST(X)                                                            \
  X (INVALID, -1, "invalid input")                                             \
  X (TOO_LARGE, -2, "too large")                                               \
  X (NOT_FOUND, -3, "not found")                                               \
  X (CONFLICT, -4, "conflict")                                                 \
  X (UNAVAILABLE, -5, "unavailable")                                           \
  X (TIMEOUT, -6, "timed out")                                                 \
  X (CLOSED, -7, "connection closed")                                          \
  X (PROTOCOL, -8, "protocol error")                                           \
  X (AUTH, -9, "not authorized")                                               \
  X (LIMIT, -10, "limit reached")                                              \
  X (UNKNOWN_OUTCOME, -11, "outcome unknown")                                  \
  X (IO, -12, "input/output error")                                            \
  X (CANCELLED, -13, "cancelled")

enum err_code
{
#define ERR_ENUM(name, number, text) ERR_##name = (number),
  ERR_LIST (ERR_ENUM)
#undef ERR_ENUM
};

#define ERR_STEP_MAX 32  /* bytes with the NUL */
#define ERR_PEER_MAX 64  /* bytes with the NUL */
#define ERR_TEXT_MAX 192 /* bytes with the NUL */

struct err
{
  int code;                /* 0 or an enum err_code */
  char step[ERR_STEP_MAX]; /* the operation that failed, such as "wire.read" */
  char peer[ERR_PEER_MAX]; /* instance, server or address; "": a local error */
  char text[ERR_TEXT_MAX];
};

int err_set (struct err *err, int code, const char *step, const char *peer,
             const char *format, ...) G_GNUC_PRINTF (5, 6);
const char *err_name (int code);
const char *err_text (int code);

#endif
