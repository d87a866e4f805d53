/* Declarations shared by the files of the program jacinthctl: a client of the
   administration API of an instance, the output of its responses, and the
   commands.  */
#ifndef JACINTHCTL_H
#define JACINTHCTL_H

#include <json-glib/json-glib.h>

#include "base/err.h"

#define CTL_TIMEOUT_MS 10000 /* default time limit of a request */
#define CTL_RESPONSE_MAX                                                       \
  (16 * 1024 * 1024) /* bytes; a larger one is an error */

/* Exit codes of the program. X (NAME, number, "meaning") */
#define CTL_EXIT_CODES(X)                                                      \
  X (OK, 0, "done")                                                            \
  X (REJECTED, 1, "rejected or invalid; nothing was changed")                  \
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

/* Options of the command line that apply to all commands. */
struct ctl_options
{
  const char *address; /* of the administration API, IP:PORT */
  const char *token;   /* of the operator; NULL: sent without one */
  gboolean json;       /* print responses as JSON */
  gint64 version;      /* a change applies only to this version; -1: the one
                          in force */
  guint timeout_ms;
  const char *against; /* config check: file to compare with; NULL: the version
                          in force, if ADDRESS is not NULL */
};

struct ctl_request
{
  const char *method;
  const char *path;
  gint64 version; /* sent in If-Match; -1: no such header */
  GBytes *body;   /* NULL: none */
};

struct ctl_response
{
  guint status;   /* of HTTP */
  gint64 version; /* from the ETag; -1: none */
  GBytes *body;   /* owned */
  JsonNode *json; /* parsed body, owned; NULL: the body is not JSON */
};

/* Sends REQUEST and waits for the response. Unless its status is 200, prints an
   error message. Returns the exit code. RESPONSE is set in any case, to be
   freed by ctl_response_clear. */
enum ctl_exit_code ctl_send (const struct ctl_options *ctl_options,
                             const struct ctl_request *request,
                             struct ctl_response *response);
void ctl_response_clear (struct ctl_response *response);

/* A list in a response of the API, and how to print it as a table. */
struct ctl_list
{
  const char *path;
  const char *member;         /* of the response; its value is the list */
  const char *const *columns; /* members of its elements, NULL-terminated */
};

enum ctl_exit_code ctl_show_list (const struct ctl_options *ctl_options,
                                  const struct ctl_list *list);
enum ctl_exit_code ctl_show_object (const struct ctl_options *ctl_options,
                                    const char *path, gboolean table);
void ctl_print_body (const struct ctl_response *response);
void ctl_print_table (JsonArray *rows, const char *const *columns);

/* The commands. Each returns the exit code. */
enum ctl_exit_code ctl_config_get (const struct ctl_options *ctl_options,
                                   const char *unused);
enum ctl_exit_code ctl_config_apply (const struct ctl_options *ctl_options,
                                     const char *file);
enum ctl_exit_code ctl_config_diff (const struct ctl_options *ctl_options,
                                    const char *file);
enum ctl_exit_code ctl_config_check (const struct ctl_options *ctl_options,
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
