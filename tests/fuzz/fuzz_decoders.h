/* Entry point of the fuzz target for the decoders of the platform and of peers.
 */
#ifndef FUZZ_DECODERS_H
#define FUZZ_DECODERS_H

#include <stddef.h>
#include <stdint.h>

/* libFuzzer sets the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n);

#endif
