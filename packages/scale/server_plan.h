/* How many servers of each kind each failure domain should have for a given
   load. A pure function of numbers.  */
#ifndef SERVER_PLAN_H
#define SERVER_PLAN_H

#include <glib.h>

/* X (NAME, "name"): servers that are counted and ordered separately */
#define SERVER_KINDS_LIST(X)                                                   \
  X (REGULAR, "regular")                                                       \
  X (SPOT, "spot") /* cheaper; all of a domain may be reclaimed at once */

enum server_kind
{
#define SERVER_KIND_ENUM(id, name) SERVER_##id,
  SERVER_KINDS_LIST (SERVER_KIND_ENUM)
#undef SERVER_KIND_ENUM
      SERVER_KINDS
};

#define SERVER_PLAN_UNLIMITED G_MAXUINT
#define SERVER_PLAN_UTILIZATION 0.5 /* target for the predicted load */

struct server_plan_limits
{
  guint min; /* servers of both kinds in a domain */
  guint max; /* likewise */
};

struct server_plan_domain
{
  double load;  /* predicted: servers that would be busy all the time */
  double price; /* of a regular server */
  guint available[SERVER_KINDS]; /* at most; SERVER_PLAN_UNLIMITED */
  guint wanted[SERVER_KINDS];    /* the result */
};

const char *server_kind_name (enum server_kind kind);
guint server_plan_total (const struct server_plan_domain *domain);
void server_plan_make (const struct server_plan_limits *limits,
                       struct server_plan_domain *domains, guint n);

#endif
