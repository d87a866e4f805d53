#include "chart/statechart.h"

#include <string.h>

#define STEP "chart.load"
#define CHART_GROUP "chart"
#define INITIAL_KEY "initial"
#define FINAL_KEY "final"
#define STATE_PREFIX "state:"

struct statechart
{
  char **names;    /* of the states, owned */
  guint n_states;  /* as in the binding */
  guint n_events;  /* as in the binding */
  int initial;     /* state */
  gboolean *final; /* by state: whether it is final */
  int *next;       /* [state * n_events + event]: next state or
                      STATECHART_NONE */
};

/* Context of statechart_load. */
struct loader
{
  const char *path;
  const struct statechart_binding *binding;
  struct statechart *chart;
  GKeyFile *file;
  struct err *err;
};

static int
find (const char *const *names, guint n, const char *name)
{
  for (guint i = 0; i < n; i++)
    if (strcmp (names[i], name) == 0)
      return (int)i;
  return STATECHART_NONE;
}

static int
find_state (const struct loader *loader, const char *name)
{
  return find (loader->binding->states, loader->binding->n_states, name);
}

static int
set_invalid (const struct loader *loader, const char *group, const char *key,
             const char *what)
{
  return err_set (loader->err, ERR_INVALID, STEP, "", "%s [%s] %s: %s",
                  loader->path, group, key, what);
}

/* Sets STATE to the state that KEY in GROUP names.  */
static int
read_state (const struct loader *loader, const char *group, const char *key,
            int *state)
{
  char *name = g_key_file_get_string (loader->file, group, key, NULL);
  *state = name ? find_state (loader, name) : STATECHART_NONE;
  int r = 0;
  if (*state == STATECHART_NONE)
    r = set_invalid (loader, group, key, name ? "unknown state" : "missing");
  g_free (name);
  return r;
}

static int
read_key (const struct loader *loader, const char *group, int state,
          const char *key)
{
  struct statechart *c = loader->chart;
  if (strcmp (key, FINAL_KEY) == 0)
    {
      GError *error = NULL;
      c->final[state]
          = g_key_file_get_boolean (loader->file, group, key, &error);
      if (error == NULL)
        return 0;
      g_error_free (error);
      return set_invalid (loader, group, key, "not a boolean");
    }
  int event = find (loader->binding->events, c->n_events, key);
  if (event == STATECHART_NONE)
    return set_invalid (loader, group, key, "unknown event");
  return read_state (loader, group, key,
                     &c->next[(guint)state * c->n_events + (guint)event]);
}

static int
read_group (const struct loader *loader, const char *group)
{
  gboolean is_chart = strcmp (group, CHART_GROUP) == 0;
  if (!is_chart && !g_str_has_prefix (group, STATE_PREFIX))
    return set_invalid (loader, group, "", "unknown group");
  int state = is_chart ? STATECHART_NONE
                       : find_state (loader, group + strlen (STATE_PREFIX));
  if (!is_chart && state == STATECHART_NONE)
    return set_invalid (loader, group, "", "unknown state");
  char **keys = g_key_file_get_keys (loader->file, group, NULL, NULL);
  int r = 0;
  for (guint i = 0; r == 0 && keys && keys[i]; i++)
    if (!is_chart)
      r = read_key (loader, group, state, keys[i]);
    else if (strcmp (keys[i], INITIAL_KEY) != 0)
      r = set_invalid (loader, group, keys[i], "unknown key");
  g_strfreev (keys);
  return r;
}

static int
read_groups (const struct loader *loader)
{
  char **groups = g_key_file_get_groups (loader->file, NULL);
  int r = 0;
  for (guint i = 0; r == 0 && groups[i]; i++)
    r = read_group (loader, groups[i]);
  g_strfreev (groups);
  if (r == 0)
    r = read_state (loader, CHART_GROUP, INITIAL_KEY, &loader->chart->initial);
  return r;
}

static gboolean
is_event_used (const struct statechart *c, guint event)
{
  for (guint s = 0; s < c->n_states; s++)
    if (c->next[s * c->n_events + event] != STATECHART_NONE)
      return TRUE;
  return FALSE;
}

/* Checks that the file has a group for every state of the binding, and that
   some state handles each of its events.  */
static int
check_complete (const struct loader *loader)
{
  const struct statechart *c = loader->chart;
  for (guint s = 0; s < c->n_states; s++)
    {
      char *group = g_strconcat (STATE_PREFIX, c->names[s], NULL);
      gboolean found = g_key_file_has_group (loader->file, group);
      int r = found ? 0 : set_invalid (loader, group, "", "missing state");
      g_free (group);
      if (!found)
        return r;
    }
  for (guint e = 0; e < c->n_events; e++)
    if (!is_event_used (c, e))
      return set_invalid (loader, STATE_PREFIX "*", loader->binding->events[e],
                          "event that no state takes");
  return 0;
}

/* Marks all states that are reachable from a marked state; if not FORWARD, all
   states from which a marked state is reachable.  */
static void
expand (const struct statechart *c, gboolean *marked, gboolean forward)
{
  for (gboolean changed = TRUE; changed;)
    {
      changed = FALSE;
      for (guint i = 0; i < c->n_states * c->n_events; i++)
        {
          if (c->next[i] == STATECHART_NONE)
            continue;
          guint from = i / c->n_events;
          guint to = (guint)c->next[i];
          guint known = forward ? from : to;
          guint added = forward ? to : from;
          if (marked[known] && !marked[added])
            changed = marked[added] = TRUE;
        }
    }
}

static int
check_all_marked (const struct loader *loader, const gboolean *marked,
                  const char *what)
{
  for (guint s = 0; s < loader->chart->n_states; s++)
    if (!marked[s])
      {
        char *group = g_strconcat (STATE_PREFIX, loader->chart->names[s], NULL);
        int r = set_invalid (loader, group, "", what);
        g_free (group);
        return r;
      }
  return 0;
}

static int
check_paths (const struct loader *loader)
{
  const struct statechart *c = loader->chart;
  /* Without states read_groups would have found no initial one. */
  g_assert (c->n_states > 0);
  gboolean *marked = g_new0 (gboolean, c->n_states);
  marked[c->initial] = TRUE;
  expand (c, marked, TRUE);
  int r = check_all_marked (loader, marked, "unreachable state");
  if (r == 0)
    {
      memcpy (marked, c->final, c->n_states * sizeof *marked);
      expand (c, marked, FALSE);
      r = check_all_marked (loader, marked, "no way to a final state");
    }
  g_free (marked);
  return r;
}

static struct statechart *
chart_new (const struct statechart_binding *binding)
{
  struct statechart *c = g_new0 (struct statechart, 1);
  c->n_states = binding->n_states;
  c->n_events = binding->n_events;
  c->names = g_new0 (char *, c->n_states + 1);
  for (guint s = 0; s < c->n_states; s++)
    c->names[s] = g_strdup (binding->states[s]);
  c->final = g_new0 (gboolean, c->n_states);
  c->next = g_new (int, c->n_states * c->n_events);
  for (guint i = 0; i < c->n_states * c->n_events; i++)
    c->next[i] = STATECHART_NONE;
  return c;
}

/* Loads the chart in the INI file PATH into CHART, to be freed with
   statechart_free. The file has a group [chart] with initial=STATE, and for
   each state a group [state:NAME] with a line EVENT=NEXT_STATE for each
   transition; final states have final=true. Returns 0; ERR_IO if PATH cannot be
   read; or ERR_INVALID if PATH is malformed or differs from BINDING in states
   or events, a state is unreachable from the initial one, or no final state is
   reachable from a state. The error text has the file, group and key.  */
int
statechart_load (const char *path, const struct statechart_binding *binding,
                 struct statechart **chart, struct err *err)
{
  struct loader loader = { .path = path, .binding = binding, .err = err };
  GError *error = NULL;
  int r;
  *chart = NULL;
  loader.file = g_key_file_new ();
  loader.chart = chart_new (binding);
  if (!g_key_file_load_from_file (loader.file, path, G_KEY_FILE_NONE, &error))
    {
      int code = error->domain == G_KEY_FILE_ERROR ? ERR_INVALID : ERR_IO;
      r = err_set (err, code, STEP, "", "%s: %s", path, error->message);
      g_error_free (error);
      goto fail;
    }
  if ((r = read_groups (&loader)) < 0 || (r = check_complete (&loader)) < 0
      || (r = check_paths (&loader)) < 0)
    goto fail;
  g_key_file_free (loader.file);
  *chart = loader.chart;
  return 0;
fail:
  statechart_free (loader.chart);
  g_key_file_free (loader.file);
  return r;
}

/* Frees CHART, which may be NULL.  */
void
statechart_free (struct statechart *chart)
{
  if (chart == NULL)
    return;
  g_strfreev (chart->names);
  g_free (chart->final);
  g_free (chart->next);
  g_free (chart);
}

int
statechart_initial (const struct statechart *chart)
{
  return chart->initial;
}

/* Returns the next state after EVENT in STATE, or STATECHART_NONE if STATE does
   not handle EVENT.  */
int
statechart_next (const struct statechart *chart, int state, int event)
{
  if (state < 0 || (guint)state >= chart->n_states || event < 0
      || (guint)event >= chart->n_events)
    return STATECHART_NONE;
  return chart->next[(guint)state * chart->n_events + (guint)event];
}

gboolean
statechart_is_final (const struct statechart *chart, int state)
{
  return state >= 0 && (guint)state < chart->n_states && chart->final[state];
}

/* Returns the name of STATE, owned by CHART, or "none" if STATE is invalid.  */
const char *
statechart_state_name (const struct statechart *chart, int state)
{
  if (state < 0 || (guint)state >= chart->n_states)
    return "none";
  return chart->names[state];
}
