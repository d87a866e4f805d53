/* The list of backend servers as instances hand it to each other.  */
#ifndef PFL_H
#define PFL_H

#include "fleet/flt.h"

#define PFL_ENTRIES_MAX 4096

/* A list as it was read from the store. */
struct pfl
{
  GArray *entries; /* of struct flt_entry, owned */
  gint64 asked;    /* clock time at which the question was sent */
};

void pfl_encode (const struct pfl *list, gint64 now, GByteArray *out);
int pfl_decode (struct str bytes, gint64 asked, struct pfl *list,
                struct err *err);

#endif
