/* A check of msgpack text before the library reads it, as that takes memory by
   what heads claim.  */
#ifndef MSGPACK_CHECK_H
#define MSGPACK_CHECK_H

#include <glib.h>

#include "base/str.h"

#define MSGPACK_CHECK_VALUES_MAX 65536 /* values in one text */

/* Returns the bytes that the first msgpack value in DATA takes, or 0 if DATA
   ends before it does, is no msgpack, or holds over MSGPACK_CHECK_VALUES_MAX
   values. Takes no memory.  */
gsize msgpack_check (struct str data);

#endif
