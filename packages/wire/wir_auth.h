/* Proofs of the shared key and tags of frames, all HMAC-SHA-256.  */
#ifndef WIR_AUTH_H
#define WIR_AUTH_H

#include "base/str.h"

#define WIR_NONCE_BYTES 16
#define WIR_PROOF_BYTES 32
#define WIR_TAG_BYTES 16 /* of a frame, the first of an HMAC's 32 */

enum wir_role
{
  WIR_DIALER,
  WIR_LISTENER,
  WIR_ROLE_N
};

/* What a side says of itself in its HELLO. */
struct wir_side
{
  struct str_id id;
  guint8 nonce[WIR_NONCE_BYTES];
};

int wir_nonce (guint8 nonce[WIR_NONCE_BYTES]);
void wir_prove (struct str key, enum wir_role prover,
                const struct wir_side sides[WIR_ROLE_N],
                guint8 proof[WIR_PROOF_BYTES]);
GHmac *wir_frame_key (struct str key, enum wir_role sender,
                      const struct wir_side sides[WIR_ROLE_N]);
void wir_tag (const GHmac *frame_key, guint64 counter, struct str body,
              guint8 tag[WIR_TAG_BYTES]);
gboolean wir_equal (const guint8 *a, const guint8 *b, gsize n);

#endif
