/* Messages about usage between instances, which carry soft state: what has
   changed of the counts of the sender since the last change that the receiver
   holds, and the receiver's answer. They come as datagrams on the same port as
   gossip and differ from it in their first element. No I/O.  */
#ifndef USAGE_MESSAGE_H
#define USAGE_MESSAGE_H

#include "base/clock.h"
#include "base/err.h"
#include "base/str.h"

#define USAGE_MESSAGE_BYTES_MAX 8192 /* when encoded */
#define USAGE_MESSAGE_NAME_MAX 255   /* bytes */
#define USAGE_MESSAGE_NAMES_MAX 1024
#define USAGE_MESSAGE_COUNTS_MAX 2048
#define USAGE_MESSAGE_TOTALS_MAX 128

/* The first element of a message; that of gossip is its version, 1. */
enum usage_message_kind
{
  USAGE_MESSAGE_COUNTS = 85, /* to a collector */
  USAGE_MESSAGE_HELD = 86    /* its answer */
};

/* A name and its number at the sender. */
struct usage_message_name
{
  guint32 number;
  char text[USAGE_MESSAGE_NAME_MAX + 1];
};

/* Requests of one team in one window. */
struct usage_message_count
{
  guint32 team; /* number */
  guint64 window;
  guint64 requests;
};

/* struct usage_totals of a service, since the sender's start. */
struct usage_message_total
{
  guint32 service; /* number */
  guint32 domain;  /* number */
  guint64 requests;
  guint64 uncached_tokens;
  guint64 output_tokens;
  guint64 rejections;
};

struct usage_message
{
  enum usage_message_kind kind;
  guint32 incarnation; /* of the instance that counts */
  /* The changes that it covers, by the numbers of the sender. In an answer,
     THROUGH is the last change that the collector holds. */
  guint64 since;
  guint64 through;
  guint64 first_window; /* in which the sender started */
  gint64 complete;      /* true time up to which the counts are complete with
                           this message; 0: not told */
  gint64 time;          /* the sender's own time; in an answer, the median */
  GArray *names;        /* of struct usage_message_name */
  GArray *counts;       /* of struct usage_message_count */
  GArray *totals;       /* of struct usage_message_total */
};

void usage_message_init (struct usage_message *message);
void usage_message_clear (struct usage_message *message);
void usage_message_reset (struct usage_message *message,
                          enum usage_message_kind kind);
gboolean usage_message_is (struct str bytes);
void usage_message_encode (const struct usage_message *message,
                           GByteArray *out);
int usage_message_decode (struct str bytes, struct usage_message *message,
                          struct err *err);

#endif
