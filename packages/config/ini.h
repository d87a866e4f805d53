/* Validated reading of INI text into plain structs, driven by tables of keys.
   All problems are collected; reading goes on after the first one.  */
#ifndef INI_H
#define INI_H

#include <glib.h>

#include "base/err.h"
#include "base/str.h"

#define INI_DIGEST_BYTES 65 /* hexadecimal SHA-256 with the NUL */

/* Types of values, with the C type of the target field.
   X (TYPE, "allowed values, for messages") */
#define INI_TYPES(X)                                                           \
  X (BOOL, "yes or no")                  /* gboolean */                        \
  X (COUNT, "a whole number")            /* guint */                           \
  X (BYTES, "a whole number")            /* guint64 */                         \
  X (MS, "a number of milliseconds")     /* gint64, microseconds */            \
  X (NUMBER, "a decimal number")         /* double */                          \
  X (CHOICE, "one of the names")         /* int, index of the name */          \
  X (ID, "1 to 63 of A-Z a-z 0-9 . _ -") /* struct str_id */                   \
  X (ADDRESS, "IP:PORT, such as 10.0.0.1:80 or [::1]:80") /* char[64] */       \
  X (LISTEN, "IP:PORT, with port 0 the kernel chooses")   /* char[64] */       \
  X (DIGEST, "64 hexadecimal digits of a SHA-256") /* char[65], lower case */  \
  X (PATH, "the name of a file or folder")         /* char *, g_free */        \
  X (LIST, "names separated by ;")                 /* char **, g_strfreev */

enum ini_type
{
#define INI_TYPE_ENUM(id, allowed) INI_##id,
  INI_TYPES (INI_TYPE_ENUM)
#undef INI_TYPE_ENUM
};

struct ini_key
{
  const char *name;
  enum ini_type type;
  gboolean required;
  gsize offset; /* of the field in the target struct */
  double min;   /* of a number, in the unit of the INI text */
  double max;
  double fallback;            /* value if an optional number, bool or choice is
                                 absent; in the same unit */
  const char *const *choices; /* INI_CHOICE: names, NULL-terminated */
  const char *in_seconds;     /* INI_MS: name under which the same time may be
                                 given in seconds instead; NULL: none */
};

struct ini
{
  GKeyFile *file;      /* owned */
  const char *source;  /* file name, for messages and ini_load; NULL: none;
                          borrowed */
  GPtrArray *problems; /* of char *, borrowed; each problem adds one entry */
  /* For text that is filled in from a template; NULL: each problem counts.
     Optional numbers that are empty or wrong get their fallback value, with an
     entry here. Borrowed.  */
  GPtrArray *tolerated;
};

int ini_open (struct ini *ini, const char *text, gsize n);
int ini_load (struct ini *ini, gsize max);
void ini_close (struct ini *ini);
void ini_problem (struct ini *ini, const char *group, const char *key,
                  const char *format, ...) G_GNUC_PRINTF (4, 5);
void ini_read_group (struct ini *ini, const char *group,
                     const struct ini_key *keys, guint n_keys,
                     const char *ignored_prefix, void *target);
void ini_read_key (struct ini *ini, const char *group, const char *name,
                   const struct ini_key *key, void *target);
gboolean ini_address_ok (const char *text, gboolean any_port);

#endif
