/* What an instance tells a peer: load, placements, freshness, who is there.
   Soft state: any message may be lost, late or repeated.  */
#ifndef GOSSIP_MESSAGE_H
#define GOSSIP_MESSAGE_H

#include "base/err.h"
#include "base/str.h"
#include "sched/pdr.h"
#include "sched/sld.h"

#define GOSSIP_MESSAGE_VERSION 1
#define GOSSIP_MESSAGE_BYTES_MAX 8192 /* of an encoded message */
#define GOSSIP_MESSAGE_MEMBERS_MAX 16
#define GOSSIP_MESSAGE_UNREACHABLE_MAX 32
#define GOSSIP_MESSAGE_SUMMARIES_MAX 12
#define GOSSIP_MESSAGE_LOADS_MAX                                               \
  200 /* busy servers of one instance or domain */
#define GOSSIP_MESSAGE_SUMMARY_LOADS_MAX GOSSIP_MESSAGE_LOADS_MAX
#define GOSSIP_MESSAGE_PLACEMENTS_MAX 64
#define GOSSIP_AGE_UNKNOWN (-1)

/* Load that the sender has at one backend server. */
struct gossip_message_load
{
  guint32 server_key; /* gossip_server_key */
  struct sld_load load;
};

/* Load that all instances of one failure domain have together. */
struct gossip_message_summary
{
  char domain[STR_ID_MAX + 1];
  struct gossip_message_load loads[GOSSIP_MESSAGE_SUMMARY_LOADS_MAX];
  guint n;
};

/* An instance lately heard. */
struct gossip_message_member
{
  guint32 ip;   /* host byte order */
  guint age_ms; /* since it was heard, by whomever */
  char domain[STR_ID_MAX + 1];
};

/* A prompt that the sender, or one it heard of, has sent to a backend
   server. */
struct gossip_message_placement
{
  guint32 server_key;
  struct pdr_prompt prompt;
};

struct gossip_message
{
  char id[STR_ID_MAX + 1]; /* of the sender */
  char domain[STR_ID_MAX + 1];
  guint32 incarnation;      /* drawn at the sender's start */
  guint32 seq;              /* of this message to this receiver, from 1 */
  guint32 echo_seq;         /* last seq that came from the receiver; 0: none */
  guint32 echo_incarnation; /* the receiver's incarnation at that message */
  guint64 config_version;   /* newest version known; 0: none */
  gint64 config_age_us; /* since that was proved; GOSSIP_AGE_UNKNOWN: never */
  guint64 server_list_digest; /* of the list of servers; 0: none read */
  gint64 server_list_age_us;  /* since the list was read; GOSSIP_AGE_UNKNOWN:
                                 never */
  gboolean wants_reply; /* the sender wants word back, although it is far */
  struct gossip_message_member members[GOSSIP_MESSAGE_MEMBERS_MAX];
  guint n_members;
  struct gossip_message_load loads[GOSSIP_MESSAGE_LOADS_MAX];
  guint n_loads;
  struct gossip_message_placement placements[GOSSIP_MESSAGE_PLACEMENTS_MAX];
  guint n_placements;
  guint n_own_placements; /* of the notes, the first: placed by the sender
                             itself */
  guint32
      unreachable[GOSSIP_MESSAGE_UNREACHABLE_MAX]; /* servers that the sender
                                                      could not reach */
  guint n_unreachable;
  struct gossip_message_summary summaries[GOSSIP_MESSAGE_SUMMARIES_MAX];
  guint n_summaries;
};

void gossip_message_encode (const struct gossip_message *gossip_message,
                            GByteArray *out);
int gossip_message_decode (struct str bytes,
                           struct gossip_message *gossip_message,
                           struct err *err);

#endif
