/* The requests of one shard, from their ENQUEUE message to their release. The
   key is the id of the sending ingress instance and the number that it chose
   for the queue entry.  */
#ifndef QUEUED_REQUEST_H
#define QUEUED_REQUEST_H

#include "base/str.h"
#include "msg/msg.h"

#define QUEUED_MAX 65536 /* requests of one shard, waiting and running */
/* Ingress instances that may have requests in one shard at a time. */
#define QUEUED_INGRESSES_MAX 1024

struct class_queue;
struct team_flow;
struct team_state;
struct shard_server;

enum queued_state
{
  QUEUED_WAITING,
  QUEUED_GRANTED, /* the ingress has not confirmed yet that it uses the grant */
  QUEUED_RUNNING
};

/* An ingress instance with requests in the shard. */
struct ingress_instance
{
  struct str_id id;
  GQueue requests; /* of struct queued_request, linked by ingress_link */
};

struct queued_request
{
  struct ingress_instance *ingress; /* borrowed */
  guint64 id; /* number of the queue entry, unique within the ingress */
  enum queued_state state;
  /* NULL if the class was removed from the configuration. */
  struct class_queue *class;
  struct team_state *team;
  /* The team's flow within the class; NULL if class is. */
  struct team_flow *flow;
  struct shard_server *server; /* NULL while waiting */

  gint64 arrived;  /* clock time of the request's arrival at the ingress */
  gint64 deadline; /* clock time until which it may wait for its start */
  gint64 granted;  /* clock time of the grant */
  /* The ingress's own clock in its last message on this request. */
  gint64 sent_us;
  gint64 last_heard; /* clock time of the last message on this request */
  guint64 prefix;    /* hash of the shared prompt prefix; 0: none */
  guint32 prompt_tokens;
  guint32 generated; /* tokens generated so far */
  guint32 resumed;   /* of these, in earlier attempts */
  gboolean resumable;
  guint32 charged;    /* tokens charged to team and class at its start */
  gboolean preempted; /* a PREEMPT message was sent for it */
  /* The request that it was preempted for: its ingress instance and number. */
  struct str_id preempted_for;
  guint64 preempted_for_id;
  gboolean has_victim; /* another request was preempted for this one */
  struct str_id avoid[MSG_AVOID_MAX];

  GSequenceIter *in_class;    /* position while waiting */
  GSequenceIter *in_flow;     /* position while waiting */
  GSequenceIter *in_deadline; /* position while waiting */
  GList heard_link;
  GList ingress_link;
  GList server_link; /* in the server's in_flight while granted or running */
};

struct queued_table
{
  GHashTable *ingresses; /* id -> struct ingress_instance, owned */
  GHashTable *all;       /* set of struct queued_request, owned */
  /* Of struct queued_request, the longest silent first. */
  GQueue by_last_heard;
};

void queued_table_init (struct queued_table *table);
void queued_table_clear (struct queued_table *table);
struct ingress_instance *queued_find_ingress (const struct queued_table *table,
                                              const char *from);
struct queued_request *queued_find (const struct queued_table *table,
                                    const char *from, guint64 id);
gboolean queued_has_room (const struct queued_table *table, const char *from);
struct queued_request *queued_add (struct queued_table *table, const char *from,
                                   guint64 id, gint64 now);
void queued_touch (struct queued_table *table, struct queued_request *request,
                   gint64 now);
void queued_remove (struct queued_table *table, struct queued_request *request);

#endif
