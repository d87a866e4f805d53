#include "wire/mesh.h"
#include "wire/mesh_handshake.h"

#include <stdint.h>

/* libFuzzer sets the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n);

/* Decodes the N BYTES as a message, as a HELLO and as a PROOF frame.  */
int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n)
{
  struct str data = { (const char *)bytes, n };
  struct mesh_arena *arena = mesh_arena_new ();
  struct msg msg;
  struct mesh_hello hello;
  guint8 proof[MESH_PROOF_BYTES];
  mesh_decode (data, &msg, arena, NULL);
  mesh_decode_hello (data, &hello, NULL);
  mesh_decode_proof (data, proof, NULL);
  mesh_arena_free (arena);
  return 0;
}
