#include "wire/wir.h"
#include "wire/wir_hello.h"

#include <stdint.h>

/* libFuzzer sets the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n);

/* Reads the N BYTES as a message and as both frames of the handshake.  */
int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n)
{
  struct str data = { (const char *)bytes, n };
  struct wir_arena *arena = wir_arena_new ();
  struct msg msg;
  struct wir_side side;
  guint8 proof[WIR_PROOF_BYTES];
  wir_decode (data, &msg, arena, NULL);
  wir_decode_hello (data, &side, NULL);
  wir_decode_proof (data, proof, NULL);
  wir_arena_free (arena);
  return 0;
}
