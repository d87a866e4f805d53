/* The operator's command line: one request to an instance's administration
   API and its answer.  */
#ifndef CTL_H
#define CTL_H

#include <json-glib/json-glib.h>

#include "base/err.h"

#define CTL_TIMEOUT_MS 10000            /* default time limit of a request */
#define CTL_BODY_MAX (16 * 1024 * 1024) /* bytes of an answer */

/* Exit status. X (NAME, number, "meaning") */
#define CTL_EXITS(X)                                                           \
  X (OK, 0, "done")                                                            \
  X (REFUSED, 1, "refused or invalid; nothing was changed")                    \
  X (USAGE, 2, "wrong command line")                                           \
  X (UNREACHABLE, 3, "the instance cannot be reached")                         \
  X (CONFLICT, 4, "a newer version is in force")                               \
  X (AUTH, 5, "not authorized")                                                \
  X (UNKNOWN, 6, "the outcome of a change is not known")

enum ctl_exit
{
#define CTL_EXIT_ENUM(id, number, meaning) CTL_##id = (number),
  CTL_EXITS (CTL_EXIT_ENUM)
#undef CTL_EXIT_ENUM
};

struct ctl
{
  const char *address; /* IP:PORT */
  const char *token;   /* of the operator; NULL: none */
  gboolean json;       /* print JSON */
  gint64 version;      /* expected by a change; -1: read it first */
  guint timeout_ms;
};

struct ctl_request
{
  const char *method;
  const char *path;
  gint64 version; /* for If-Match; -1: none */
  GBytes *body;   /* NULL: none */
};

struct ctl_answer
{
  guint status;   /* HTTP */
  gint64 version; /* from the ETag; -1: none */
  GBytes *body;   /* owned */
  JsonNode *json; /* parsed body, owned; NULL: it is none */
};

/* Makes REQUEST. Prints what is wrong unless the answer is a success, and
   returns the exit status. ctl_answer_clear frees what ANSWER holds. */
enum ctl_exit ctl_ask (const struct ctl *ctl, const struct ctl_request *request,
                       struct ctl_answer *answer);
void ctl_answer_clear (struct ctl_answer *answer);

/* A list that the API gives, shown as a table. */
struct ctl_list
{
  const char *path;
  const char *member;         /* of the answer, the list */
  const char *const *columns; /* members of its elements, NULL-terminated */
};

enum ctl_exit ctl_show_list (const struct ctl *ctl,
                             const struct ctl_list *list);
enum ctl_exit ctl_show_object (const struct ctl *ctl, const char *path,
                               gboolean table);
void ctl_print_body (const struct ctl_answer *answer);
void ctl_print_table (JsonArray *rows, const char *const *columns);

enum ctl_exit ctl_config_get (const struct ctl *ctl, const char *unused);
enum ctl_exit ctl_config_apply (const struct ctl *ctl, const char *file);
enum ctl_exit ctl_config_diff (const struct ctl *ctl, const char *file);
enum ctl_exit ctl_config_status (const struct ctl *ctl, const char *unused);
enum ctl_exit ctl_preset_use (const struct ctl *ctl, const char *name);
enum ctl_exit ctl_drain (const struct ctl *ctl, const char *name);
enum ctl_exit ctl_undrain (const struct ctl *ctl, const char *name);

#endif
