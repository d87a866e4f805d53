/* Messages between instances about where streams have begun: one asks, those
   that it asks answer; and each tells those that save it.  */
#ifndef STREAM_INQUIRY_H
#define STREAM_INQUIRY_H

#include "base/err.h"
#include "streams/begun_streams.h"

/* X (NAME, first element of the message); gossip and messages about usage have
   other ones */
#define STREAM_INQUIRY_KINDS(X)                                                \
  X (QUESTION, 32)                                                             \
  X (ANSWER, 33)                                                               \
  X (REPORT, 34) /* streams that the sender has seen begin */

enum stream_inquiry_kind
{
#define STREAM_INQUIRY_ENUM(id, number) STREAM_INQUIRY_##id = number,
  STREAM_INQUIRY_KINDS (STREAM_INQUIRY_ENUM)
#undef STREAM_INQUIRY_ENUM
};

struct stream_inquiry
{
  enum stream_inquiry_kind kind;
  guint64 key;       /* begun_streams_key; not of a REPORT */
  struct str report; /* REPORT: text of begun_streams_write_keys; borrowed */
  /* ANSWER: the sender knows it. The place may be ambiguous. */
  gboolean is_known;
  struct begun_place place;
};

gboolean stream_inquiry_is (struct str bytes);
void stream_inquiry_encode (const struct stream_inquiry *inquiry,
                            GByteArray *out);
int stream_inquiry_decode (struct str bytes, struct stream_inquiry *inquiry,
                           struct err *err);

#endif
