/* What an instance tells a peer: load, placements, freshness, who is there.
   Soft state: any message may be lost, late or repeated.  */
#ifndef PRM_H
#define PRM_H

#include "base/err.h"
#include "base/str.h"
#include "sched/pdr.h"
#include "sched/sld.h"

#define PRM_VERSION 1
#define PRM_BYTES_MAX 8192 /* of an encoded message */
#define PRM_MEMBERS_MAX 16
#define PRM_DOWN_MAX 32
#define PRM_SUMMARIES_MAX 12
#define PRM_LOADS_MAX 200 /* busy servers of one instance or domain */
#define PRM_SUMMARY_LOADS_MAX PRM_LOADS_MAX
#define PRM_NOTES_MAX 64
#define PRM_UNPROVED (-1)

/* Load that the sender has at one backend server. */
struct prm_load
{
  guint32 server; /* prs_server_key */
  struct sld_load load;
};

/* Load that all instances of one failure domain have together. */
struct prm_summary
{
  char domain[STR_ID_MAX + 1];
  struct prm_load loads[PRM_SUMMARY_LOADS_MAX];
  guint n;
};

/* An instance lately heard. */
struct prm_member
{
  guint32 ip;   /* host byte order */
  guint age_ms; /* since it was heard, by whomever */
  char domain[STR_ID_MAX + 1];
};

/* A prompt that the sender, or one it heard of, has sent to a backend
   server. */
struct prm_note
{
  guint32 server;
  struct pdr_prompt prompt;
};

struct prm
{
  char id[STR_ID_MAX + 1]; /* of the sender */
  char domain[STR_ID_MAX + 1];
  guint32 incarnation;  /* drawn at the sender's start */
  guint32 seq;          /* of this message to this receiver, from 1 */
  guint32 echo;         /* last seq that came from the receiver; 0: none */
  guint32 echo_of;      /* the receiver's incarnation at that message */
  guint64 config;       /* newest version known; 0: none */
  gint64 proof_age_us;  /* since that was proved; PRM_UNPROVED: never */
  guint64 fleet_digest; /* of the list of servers; 0: none read */
  gint64 fleet_age_us;  /* since the list was read; PRM_UNPROVED: never */
  gboolean asks;        /* the sender wants word back, although it is far */
  struct prm_member members[PRM_MEMBERS_MAX];
  guint n_members;
  struct prm_load loads[PRM_LOADS_MAX];
  guint n_loads;
  struct prm_note notes[PRM_NOTES_MAX];
  guint n_notes;
  guint n_own; /* of the notes, the first: placed by the sender itself */
  guint32 down[PRM_DOWN_MAX]; /* servers that the sender could not reach */
  guint n_down;
  struct prm_summary summaries[PRM_SUMMARIES_MAX];
  guint n_summaries;
};

void prm_encode (const struct prm *prm, GByteArray *out);
int prm_decode (struct str bytes, struct prm *prm, struct err *err);

#endif
