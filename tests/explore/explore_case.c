/* Words of a case, and its text: "route=W client=W first=W second=W event=W".
 */
#include "explore/explore.h"

#include <string.h>

#define X(id, word) word,
static const char *const routes[] = { EXPLORE_ROUTES (X) };
static const char *const clients[] = { EXPLORE_CLIENTS (X) };
static const char *const servers[] = { EXPLORE_SERVERS (X) };
static const char *const events[] = { EXPLORE_EVENTS (X) };
#undef X

#define X(id) #id,
static const char *const rules[] = { EXPLORE_RULES (X) };
#undef X

void
explore_result_init (struct explore_result *result)
{
  *result = (struct explore_result){ .why = g_string_new (NULL) };
}

void
explore_result_clear (struct explore_result *result)
{
  g_string_free (result->why, TRUE);
}

/* Records that the case breaks RULE, for the reason in FORMAT.  */
void
explore_break (struct explore_result *result, enum explore_rule rule,
               const char *format, ...)
{
  va_list args;
  va_start (args, format);
  result->broken |= 1U << rule;
  g_string_append_printf (result->why, "  %s: ", rules[rule]);
  g_string_append_vprintf (result->why, format, args);
  g_string_append_c (result->why, '\n');
  va_end (args);
}

/* Returns the text of C, to be freed.  */
char *
explore_case_text (const struct explore_case *c)
{
  return g_strdup_printf ("route=%s client=%s first=%s second=%s event=%s",
                          routes[c->route], clients[c->client],
                          servers[c->servers[0]], servers[c->servers[1]],
                          events[c->event]);
}

static gboolean
find_word (const char *const *words, guint n, const char *word, guint *index)
{
  for (guint i = 0; i < n; i++)
    if (g_str_equal (words[i], word))
      {
        *index = i;
        return TRUE;
      }
  return FALSE;
}

static gboolean
parse_word (const char *word, struct explore_case *c)
{
  guint i = 0;
  const char *value = strchr (word, '=');
  if (value == NULL)
    return FALSE;
  value++;
  if (g_str_has_prefix (word, "route=")
      && find_word (routes, EXPLORE_ROUTE_N, value, &i))
    c->route = (enum explore_route)i;
  else if (g_str_has_prefix (word, "client=")
           && find_word (clients, EXPLORE_CLIENT_N, value, &i))
    c->client = (enum explore_client)i;
  else if (g_str_has_prefix (word, "first=")
           && find_word (servers, EXPLORE_SERVER_N, value, &i))
    c->servers[0] = (enum explore_server)i;
  else if (g_str_has_prefix (word, "second=")
           && find_word (servers, EXPLORE_SERVER_N, value, &i))
    c->servers[1] = (enum explore_server)i;
  else if (g_str_has_prefix (word, "event=")
           && find_word (events, EXPLORE_EVENT_N, value, &i))
    c->event = (enum explore_event)i;
  else
    return FALSE;
  return TRUE;
}

/* Parses TEXT, words of which are left out being the first of their list.
   Returns FALSE and sets WRONG to the unknown word, static until the next
   call.  */
gboolean
explore_case_parse (const char *text, struct explore_case *c,
                    const char **wrong)
{
  static char unknown[64];
  char **words = g_strsplit_set (text, " \t", -1);
  gboolean ok = TRUE;
  *c = (struct explore_case){ 0 };
  for (char **word = words; ok && *word != NULL; word++)
    if (**word != '\0' && !parse_word (*word, c))
      {
        ok = FALSE;
        g_strlcpy (unknown, *word, sizeof unknown);
        *wrong = unknown;
      }
  g_strfreev (words);
  return ok;
}
