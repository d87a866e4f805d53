/* Helpers to pack msgpack into a GByteArray.  */
#ifndef PEER_MSGPACK_H
#define PEER_MSGPACK_H

#include <glib.h>
#include <msgpack.h>
#include <string.h>

/* A write callback for msgpack_packer_init; DATA is the GByteArray.  */
static inline int
peer_msgpack_append (void *data, const char *bytes, size_t n)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)n);
  return 0;
}

static inline void
peer_msgpack_pack_text (msgpack_packer *pk, const char *text)
{
  size_t n = strlen (text);
  msgpack_pack_str (pk, n);
  msgpack_pack_str_body (pk, text, n);
}

#endif
