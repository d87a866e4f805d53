/* Tickets of one cell, keyed by the sending entry instance and its number.  */
#ifndef TKT_H
#define TKT_H

#include "base/str.h"
#include "msg/msg.h"

#define TKT_MAX 65536        /* tickets of one cell, waiting and running */
#define TKT_ENTRIES_MAX 1024 /* entry instances that one cell knows */

struct cls;
struct flw;
struct tem;
struct srv;

enum tkt_state
{
  TKT_WAITING,
  TKT_GRANTED, /* the entry has not shown yet that it uses the grant */
  TKT_RUNNING
};

/* An entry instance. */
struct ent
{
  struct str_id id;
  GQueue tickets; /* of struct tkt, by ent_link */
};

struct tkt
{
  struct ent *ent; /* borrowed */
  guint64 id;      /* unique within ent */
  enum tkt_state state;
  struct cls *cls; /* NULL: its class left the configuration */
  struct tem *team;
  struct flw *flw; /* its team's flow within cls; NULL if cls is */
  struct srv *srv; /* NULL while waiting */

  gint64 arrived;  /* when the request arrived, clock time */
  gint64 deadline; /* for its start, clock time */
  gint64 granted;  /* clock time of the grant */
  gint64 sent_us;  /* the entry's own clock when it last spoke of this */
  gint64 heard;    /* clock time of the last word on it */
  guint64 prefix;  /* 0: none */
  guint32 prompt_tokens;
  guint32 generated; /* tokens so far */
  gboolean resumable;
  guint32 charged;    /* tokens charged at its start */
  gboolean preempted; /* PREEMPT was sent */
  gboolean rescued;   /* another was preempted for this one */
  struct str_id avoid[MSG_AVOID_MAX];

  GSequenceIter *in_class;    /* while waiting */
  GSequenceIter *in_flow;     /* while waiting */
  GSequenceIter *in_deadline; /* while waiting */
  GList heard_link;
  GList ent_link;
  GList srv_link; /* while not waiting */
};

struct tkt_table
{
  GHashTable *entries; /* id -> struct ent, owned */
  GHashTable *tickets; /* set of struct tkt, owned */
  GQueue by_heard;     /* of struct tkt, the longest silent first */
};

void tkt_table_init (struct tkt_table *table);
void tkt_table_clear (struct tkt_table *table);
struct ent *tkt_entry (const struct tkt_table *table, const char *from);
struct tkt *tkt_find (const struct tkt_table *table, const char *from,
                      guint64 id);
gboolean tkt_room (const struct tkt_table *table, const char *from);
struct tkt *tkt_add (struct tkt_table *table, const char *from, guint64 id,
                     gint64 now);
void tkt_touch (struct tkt_table *table, struct tkt *tkt, gint64 now);
void tkt_remove (struct tkt_table *table, struct tkt *tkt);

#endif
