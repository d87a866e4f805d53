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
  guint n_states;  /* of the binding */
  guint n_events;  /* of the binding */
  int initial;     /* state */
  gboolean *final; /* by state */
  int *next;       /* state by state * n_events + event, or STATECHART_NONE */
};

/* What loading needs besides the chart. */
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
find_state (const struct loader *l, const char *name)
{
  return find (l->binding->states, l->binding->n_states, name);
}

static int
bad (const struct loader *l, const char *group, const char *key,
     const char *what)
{
  return err_set (l->err, ERR_INVALID, STEP, "", "%s [%s] %s: %s", l->path,
                  group, key, what);
}

/* Reads the state named by the value of KEY in GROUP into STATE.  */
static int
read_state (const struct loader *l, const char *group, const char *key,
            int *state)
{
  char *name = g_key_file_get_string (l->file, group, key, NULL);
  *state = name ? find_state (l, name) : STATECHART_NONE;
  int r = 0;
  if (*state == STATECHART_NONE)
    r = bad (l, group, key, name ? "unknown state" : "missing");
  g_free (name);
  return r;
}

static int
read_key (const struct loader *l, const char *group, int state, const char *key)
{
  struct statechart *c = l->chart;
  if (strcmp (key, FINAL_KEY) == 0)
    {
      GError *error = NULL;
      c->final[state] = g_key_file_get_boolean (l->file, group, key, &error);
      if (error == NULL)
        return 0;
      g_error_free (error);
      return bad (l, group, key, "not a boolean");
    }
  int event = find (l->binding->events, c->n_events, key);
  if (event == STATECHART_NONE)
    return bad (l, group, key, "unknown event");
  return read_state (l, group, key,
                     &c->next[(guint)state * c->n_events + (guint)event]);
}

static int
read_group (const struct loader *l, const char *group)
{
  gboolean is_chart = strcmp (group, CHART_GROUP) == 0;
  if (!is_chart && !g_str_has_prefix (group, STATE_PREFIX))
    return bad (l, group, "", "unknown group");
  int state = is_chart ? STATECHART_NONE
                       : find_state (l, group + strlen (STATE_PREFIX));
  if (!is_chart && state == STATECHART_NONE)
    return bad (l, group, "", "unknown state");
  char **keys = g_key_file_get_keys (l->file, group, NULL, NULL);
  int r = 0;
  for (guint i = 0; r == 0 && keys && keys[i]; i++)
    if (!is_chart)
      r = read_key (l, group, state, keys[i]);
    else if (strcmp (keys[i], INITIAL_KEY) != 0)
      r = bad (l, group, keys[i], "unknown key");
  g_strfreev (keys);
  return r;
}

static int
read_groups (const struct loader *l)
{
  char **groups = g_key_file_get_groups (l->file, NULL);
  int r = 0;
  for (guint i = 0; r == 0 && groups[i]; i++)
    r = read_group (l, groups[i]);
  g_strfreev (groups);
  if (r == 0)
    r = read_state (l, CHART_GROUP, INITIAL_KEY, &l->chart->initial);
  return r;
}

static gboolean
takes (const struct statechart *c, guint event)
{
  for (guint s = 0; s < c->n_states; s++)
    if (c->next[s * c->n_events + event] != STATECHART_NONE)
      return TRUE;
  return FALSE;
}

/* Checks that the file has every state and event of the binding.  */
static int
check_complete (const struct loader *l)
{
  const struct statechart *c = l->chart;
  for (guint s = 0; s < c->n_states; s++)
    {
      char *group = g_strconcat (STATE_PREFIX, c->names[s], NULL);
      gboolean found = g_key_file_has_group (l->file, group);
      int r = found ? 0 : bad (l, group, "", "missing state");
      g_free (group);
      if (!found)
        return r;
    }
  for (guint e = 0; e < c->n_events; e++)
    if (!takes (c, e))
      return bad (l, STATE_PREFIX "*", l->binding->events[e],
                  "event that no state takes");
  return 0;
}

/* Adds to SET, until nothing changes, the states that some state of SET goes
   to (FORWARD) or that go to some state of SET.  */
static void
spread (const struct statechart *c, gboolean *set, gboolean forward)
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
          if (set[known] && !set[added])
            changed = set[added] = TRUE;
        }
    }
}

static int
check_all_in (const struct loader *l, const gboolean *set, const char *what)
{
  for (guint s = 0; s < l->chart->n_states; s++)
    if (!set[s])
      {
        char *group = g_strconcat (STATE_PREFIX, l->chart->names[s], NULL);
        int r = bad (l, group, "", what);
        g_free (group);
        return r;
      }
  return 0;
}

static int
check_paths (const struct loader *l)
{
  const struct statechart *c = l->chart;
  g_assert (c->n_states > 0); /* else the initial one were unknown */
  gboolean *set = g_new0 (gboolean, c->n_states);
  set[c->initial] = TRUE;
  spread (c, set, TRUE);
  int r = check_all_in (l, set, "unreachable state");
  if (r == 0)
    {
      memcpy (set, c->final, c->n_states * sizeof *set);
      spread (c, set, FALSE);
      r = check_all_in (l, set, "no way to a final state");
    }
  g_free (set);
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

/* Reads the chart in the INI file PATH into CHART, which the caller frees:
   group [chart] with initial=STATE, a group [state:NAME] for each state with
   EVENT=NEXT lines, final=true in end states. Returns 0; ERR_IO if PATH cannot
   be read; ERR_INVALID if a name is not in BINDING, one of BINDING is missing,
   a state is unreachable or a state has no way to a final one. The error
   names file, group and key.  */
int
statechart_load (const char *path, const struct statechart_binding *binding,
                 struct statechart **chart, struct err *err)
{
  struct loader l = { .path = path, .binding = binding, .err = err };
  GError *error = NULL;
  int r;
  *chart = NULL;
  l.file = g_key_file_new ();
  l.chart = chart_new (binding);
  if (!g_key_file_load_from_file (l.file, path, G_KEY_FILE_NONE, &error))
    {
      int code = error->domain == G_KEY_FILE_ERROR ? ERR_INVALID : ERR_IO;
      r = err_set (err, code, STEP, "", "%s: %s", path, error->message);
      g_error_free (error);
      goto fail;
    }
  if ((r = read_groups (&l)) < 0 || (r = check_complete (&l)) < 0
      || (r = check_paths (&l)) < 0)
    goto fail;
  g_key_file_free (l.file);
  *chart = l.chart;
  return 0;
fail:
  statechart_free (l.chart);
  g_key_file_free (l.file);
  return r;
}

/* Frees CHART; NULL is allowed.  */
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

/* Returns the state that EVENT leads to from STATE, or STATECHART_NONE if STATE
   does not take EVENT.  */
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

/* Returns the name of STATE, owned by CHART; "none" for STATECHART_NONE.  */
const char *
statechart_state_name (const struct statechart *chart, int state)
{
  if (state < 0 || (guint)state >= chart->n_states)
    return "none";
  return chart->names[state];
}
