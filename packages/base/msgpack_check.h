/* Validates MessagePack data before the msgpack library decodes it. The library
   allocates memory for the element counts in the data before it has read the
   elements, so a short message could exhaust the memory.  */
#ifndef MSGPACK_CHECK_H
#define MSGPACK_CHECK_H

#include <glib.h>

#include "base/str.h"

/* In one top-level value, nested ones included. */
#define MSGPACK_CHECK_VALUES_MAX 65536

/* Returns the length in bytes of the first MessagePack value in DATA, or 0 if
   it is truncated, invalid, or has more than MSGPACK_CHECK_VALUES_MAX values.
   Allocates nothing.  */
gsize msgpack_check (struct str data);

#endif
