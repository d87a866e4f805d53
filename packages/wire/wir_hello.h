/* The two frames of the handshake.  */
#ifndef WIR_HELLO_H
#define WIR_HELLO_H

#include "base/err.h"
#include "wire/wir_auth.h"

#define WIR_VERSION 1
#define WIR_HANDSHAKE_FRAME_MAX 256 /* bytes of a frame's body */

void wir_encode_hello (const struct wir_side *side, GByteArray *out);
int wir_decode_hello (struct str data, struct wir_side *side, struct err *err);
void wir_encode_proof (const guint8 proof[WIR_PROOF_BYTES], GByteArray *out);
int wir_decode_proof (struct str data, guint8 proof[WIR_PROOF_BYTES],
                      struct err *err);

#endif
