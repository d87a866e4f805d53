/* The operator's command line: one request to an instance's administration
   API and its answer.  */
#ifndef JACINTHCTL_H
#define JACINTHCTL_H

#include <json-glib/json-glib.h>

#include "base/err.h"

#define CTL_TIMEOUT_MS 10000 /* default time limit of a request */
#define CTL_RESPONSE_MAX (16 * 1024 * 1024) /* bytes of an answer */

/* Exit status. X (NAME, number, "meaning") */
#define CTL_EXIT_CODES(X)                                                      \
  X (OK, 0, "done")                                                            \
  X (REJECTED, 1, "refused or invalid; nothing was changed")                   \
  X (USAGE, 2, "wrong command line")                                           \
  X (UNREACHABLE, 3, "the instance cannot be reached")                         \
  X (CONFLICT, 4, "a newer version is in force")                               \
  X (AUTH, 5, "not authorized")                                                \
  X (UNKNOWN, 6, "the outcome of a change is not known")

enum ctl_exit_code
{
#define CTL_EXIT_ENUMERATOR(id, number, meaning) CTL_EXIT_##id = (number),
  CTL_EXIT_CODES (CTL_EXIT_ENUMERATOR)
#undef CTL_EXIT_ENUMERATOR
};

struct ctl_options
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

struct ctl_response
{
  guint status;   /* HTTP */
  gint64 version; /* from the ETag; -1: none */
  GBytes *body;   /* owned */
  JsonNode *json; /* parsed body, owned; NULL: it is none */
};

/* Makes REQUEST. Prints what is wrong unless the answer is a success, and
   returns the exit status. ctl_response_clear frees what ANSWER holds. */
enum ctl_exit_code ctl_send (const struct ctl_options *ctl_options,
                             const struct ctl_request *request,
                             struct ctl_response *response);
void ctl_response_clear (struct ctl_response *response);

/* A list that the API gives, shown as a table. */
struct ctl_list
{
  const char *path;
  const char *member;         /* of the answer, the list */
  const char *const *columns; /* members of its elements, NULL-terminated */
};

enum ctl_exit_code ctl_show_list (const struct ctl_options *ctl_options,
                                  const struct ctl_list *list);
enum ctl_exit_code ctl_show_object (const struct ctl_options *ctl_options,
                                    const char *path, gboolean table);
void ctl_print_body (const struct ctl_response *response);
void ctl_print_table (JsonArray *rows, const char *const *columns);

enum ctl_exit_code ctl_config_get (const struct ctl_options *ctl_options,
                                   const char *unused);
enum ctl_exit_code ctl_config_apply (const struct ctl_options *ctl_options,
                                     const char *file);
enum ctl_exit_code ctl_config_diff (const struct ctl_options *ctl_options,
                                    const char *file);
enum ctl_exit_code ctl_config_status (const struct ctl_options *ctl_options,
                                      const char *unused);
enum ctl_exit_code ctl_preset_use (const struct ctl_options *ctl_options,
                                   const char *name);
enum ctl_exit_code ctl_drain (const struct ctl_options *ctl_options,
                              const char *name);
enum ctl_exit_code ctl_undrain (const struct ctl_options *ctl_options,
                                const char *name);

#endif
