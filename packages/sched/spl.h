/* Placement: which backend server a request goes to.  */
#ifndef SPL_H
#define SPL_H

#include "fleet/flt.h"
#include "fleet/top.h"
#include "route/routing_table.h"
#include "sched/pdr.h"
#include "sched/sld.h"

#define SPL_TRIED_MAX 8
#define SPL_TURN_US                                                            \
  (250 * CLK_MS) /* in which what one instance sends becomes known in its      \
                    domain */

/* What placement needs to know of a request.  */
struct spl_request
{
  struct pdr_prompt prompt; /* n is 0 for plain requests */
  guint prompt_tokens;
  guint output_tokens; /* expected */
  gsize body_bytes;
  gint64 gap_us;              /* longest pause between events; 0: any */
  gint64 left_us;             /* until the first event is due; 0: not told */
  guint64 home;               /* hash that spreads requests over servers */
  guint tried[SPL_TRIED_MAX]; /* numbers of servers not to use again */
  guint n_tried;
};

/* How much a stream minds pauses between its events.  */
enum spl_pace
{
  SPL_ANY,   /* bears any that engines make */
  SPL_PACED, /* bears a few long prompts in a row */
  SPL_TIGHT  /* bears hardly one */
};

/* This instance among the others, which place at the same time.  */
struct spl_self
{
  guint near;         /* instances of the own domain, this one among them */
  guint rank;         /* of this one among them, from 0 */
  guint all;          /* instances of all domains, this one among them */
  guint64 hash;       /* of this one's name */
  gboolean hears_all; /* the others tell it their load themselves, not one of
                         each domain */
};

/* The state that placement goes by, all borrowed.  */
struct spl_view
{
  struct flt_server *const *servers; /* all of the fleet */
  guint n_servers;
  const char *service;
  const struct routing_engine *engine; /* NULL: plain servers */
  const struct top *top;
  struct sld *sld;
  const struct pdr *pdr;
  double known;         /* share of shared parts that were in use lately */
  struct spl_self self; /* this instance among the others */
  guint64 turn;         /* number of the present turn, the same at all */
  gboolean contended;   /* requests wait, and probably at other instances too */
  double us_per_token;  /* that engines take to read a prompt, as learned */
  gint64 now;
};

struct spl_choice
{
  struct flt_server *server;     /* NULL: no server may be used */
  struct flt_server *fetch_from; /* holds more of the prompt; NULL: none */
  struct sld_load load;          /* of SERVER, as known */
  guint held;                    /* tokens that SERVER is known to hold */
  guint unread;                  /* tokens that SERVER has to read */
  gint64 first_us;               /* predicted time to the first event */
  gint64 room_us;                /* until some server has room, predicted */
  gboolean full;                 /* no server has room; work should wait */
  guint usable; /* servers that may be used and were not tried */
  double busy;  /* share of all slots that are taken */
};

enum spl_pace spl_pace (gint64 gap_us);
void spl_choose (const struct spl_view *view, const struct spl_request *request,
                 struct spl_choice *choice);

#endif
