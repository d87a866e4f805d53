/* Fingerprints of requests: a request that a client sends again has the same
   ones, whatever its id. Instances exchange them, so they depend on the request
   alone.  */
#ifndef REQUEST_FINGERPRINT_H
#define REQUEST_FINGERPRINT_H

#include "base/str.h"

#define FINGERPRINTS_MAX 2 /* of one request */

struct fingerprint_input
{
  struct str caller; /* secret key of the caller; empty: none */
  struct str method;
  struct str target; /* path and query */
  struct str prompt; /* header that names the parts of the prompt */
  struct str body;
};

guint fingerprint_request (const struct fingerprint_input *input,
                           guint64 *keys);

#endif
