/* Tickets of one cell, keyed by the sending entry instance and its number.  */
#ifndef QUEUED_REQUEST_H
#define QUEUED_REQUEST_H

#include "base/str.h"
#include "msg/msg.h"

#define QUEUED_MAX 65536          /* tickets of one cell, waiting and running */
#define QUEUED_INGRESSES_MAX 1024 /* entry instances that one cell knows */

struct class_queue;
struct team_flow;
struct team_state;
struct shard_server;

enum queued_state
{
  QUEUED_WAITING,
  QUEUED_GRANTED, /* the entry has not shown yet that it uses the grant */
  QUEUED_RUNNING
};

/* An entry instance. */
struct ent
{
  struct str_id id;
  GQueue tickets; /* of struct tkt, by ent_link */
};

struct queued_request
{
  struct ent *ent; /* borrowed */
  guint64 id;      /* unique within ent */
  enum queued_state state;
  struct class_queue *class_queue; /* NULL: its class left the configuration */
  struct team_state *team;
  struct team_flow *team_flow; /* its team's flow within cls; NULL if cls is */
  struct shard_server *shard_server; /* NULL while waiting */

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
  GList server_link; /* while not waiting */
};

struct queued_table
{
  GHashTable *entries; /* id -> struct ent, owned */
  GHashTable *tickets; /* set of struct tkt, owned */
  GQueue by_heard;     /* of struct tkt, the longest silent first */
};

void queued_table_init (struct queued_table *table);
void queued_table_clear (struct queued_table *table);
struct ent *queued_find_ingress (const struct queued_table *table,
                                 const char *from);
struct queued_request *queued_find (const struct queued_table *table,
                                    const char *from, guint64 id);
gboolean queued_has_room (const struct queued_table *table, const char *from);
struct queued_request *queued_add (struct queued_table *table, const char *from,
                                   guint64 id, gint64 now);
void queued_touch (struct queued_table *table,
                   struct queued_request *queued_request, gint64 now);
void queued_remove (struct queued_table *table,
                    struct queued_request *queued_request);

#endif
