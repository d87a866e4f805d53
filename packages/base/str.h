/* Strings with a length. A struct str borrows its bytes; strings that own their
   memory are GString or GBytes.  */
#ifndef STR_H
#define STR_H

#include <glib.h>

struct str
{
  const char *p; /* bytes, borrowed, not NUL-terminated */
  gsize n;       /* bytes */
};

#define STR_LIT(s) ((struct str){ (s), sizeof (s) - 1 })
#define STR_FMT "%.*s"
#define STR_ARG(s) (int)(s).n, (s).p ? (s).p : ""

/* Identifier of an instance, class, team or backend server, stored inline. */
#define STR_ID_MAX 63 /* bytes, without the NUL */
struct str_id
{
  char s[STR_ID_MAX + 1]; /* NUL-terminated */
};

struct str str_of (const char *text);
gboolean str_eq (struct str a, struct str b);
char *str_dup (struct str s);
guint64 str_hash (struct str s, guint64 seed);
gboolean str_id_set (struct str_id *id, struct str s);
gboolean str_id_ok (struct str s);

#endif
